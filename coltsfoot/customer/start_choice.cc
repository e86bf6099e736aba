#include "coltsfoot/customer/start_choice.h"

#include <algorithm>
#include <utility>

namespace coltsfoot {
namespace {

double free_share(const unit_directory& directory, const rack_id& rack) {
  const unit_entry* entry = directory.find(rack_unit(rack));
  return entry == nullptr
             ? 0
             : 1 - dominant_share(entry->total_capacity - entry->total_free, entry->total_capacity);
}

}  // namespace

std::optional<start_choice> choose_start(const std::vector<rack_id>& candidates,
                                         const start_options& options,
                                         const std::map<rack_id, time_point>& not_before,
                                         const unit_directory& directory, random_engine& random,
                                         time_point now) {
  std::vector<rack_id> fitting;
  std::vector<rack_id> full;
  for (const rack_id& rack : candidates) {
    const auto wait = not_before.find(rack);
    if (wait != not_before.end() && now < wait->second) continue;
    const unit_entry* entry = directory.find(rack_unit(rack));
    if (entry == nullptr || !entry->ready || directory.address_of(entry->owner).empty()) continue;
    (options.limit.fits_in(entry->largest_free) ? fitting : full).push_back(rack);
  }
  if (fitting.empty() && options.ignore_hints) fitting = std::move(full);
  if (fitting.empty()) return std::nullopt;
  std::shuffle(fitting.begin(), fitting.end(), random);
  if (fitting.size() > 1 && free_share(directory, fitting[1]) > free_share(directory, fitting[0])) {
    std::swap(fitting[0], fitting[1]);
  }
  return start_choice{fitting.front(), {fitting.begin() + 1, fitting.end()}};
}

bool ignores_hints(urgency priority, bool has_waited) {
  return has_waited || priority == urgency::urgent;
}

duration wait_after_refusal(urgency priority, duration retry_after, duration back_off) {
  return priority == urgency::urgent ? retry_after : std::max(retry_after, back_off);
}

std::string reason_infeasible(const resources& limit, const resources& plan_limit,
                              const host_list& hosts) {
  if (!limit.fits_in(plan_limit)) return "larger than the whole plan";
  const bool fits_worker = std::ranges::any_of(
      hosts.workers, [&](const worker_info& worker) { return limit.fits_in(worker.capacity); });
  return fits_worker ? std::string{} : "larger than any listed worker";
}

}  // namespace coltsfoot
