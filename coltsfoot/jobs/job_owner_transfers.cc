// The part of the owner that gives workers to shards which lack room.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

bool runs_long(const worker_link& link) {
  return std::any_of(link.runs.begin(), link.runs.end(),
                     [](const auto& entry) { return entry.second.long_running; });
}

}  // namespace

// A worker with long-running tasks stays: emptying it would interrupt them. So does one with a long
// lease or a late start, of which the next owner would not know.
const worker_listing* job_owner::spare_worker(const std::set<std::string>& wanted_racks,
                                              time_point now) const {
  const worker_link* best = nullptr;
  for (const auto& [id, link] : links_) {
    if (!link.usable(now) || runs_long(link) || may_have_long_lease(link, now)) continue;
    if (has_late_starts(id)) continue;
    if (wanted_racks.contains(std::string{link.listing->rack()})) continue;
    if (best == nullptr || link.runs.size() < best->runs.size()) best = &link;
  }
  return best == nullptr ? nullptr : &*best->listing;
}

void job_owner::begin_transfer(const worker_id& worker, shard_number to, time_point now) {
  const auto found = links_.find(worker);
  if (found == links_.end()) return;
  auto& link = found->second;
  link.transfer = {.to = to, .give_up = now + options_.transfer_patience};
  log(severity::info, fmt::format("event=worker_transfer_begun worker={} to_shard={} runs={}",
                                  log_value(worker.value), to, link.runs.size()));
  settle_transfer(link, now);
}

std::vector<std::pair<worker_listing, shard_number>> job_owner::transfers_under_way() const {
  std::vector<std::pair<worker_listing, shard_number>> out;
  for (const auto& [id, link] : links_) {
    if (link.transfer && link.listing) out.emplace_back(*link.listing, link.transfer->to);
  }
  return out;
}

bool job_owner::may_begin_transfer() const {
  const auto under_way = std::count_if(links_.begin(), links_.end(), [](const auto& entry) {
    return entry.second.transfer.has_value();
  });
  return static_cast<std::size_t>(under_way) < options_.most_transfers_at_once;
}

// Records the transfer once nothing of this shard runs on the worker and all ends there are in the
// journal, so that the next owner has nothing to learn from it.
void job_owner::settle_transfer(worker_link& link, time_point now) {
  if (!link.transfer || link.transfer->recording) return;
  const bool leaves = !link.listed || link.listing->draining || link.failed_looks > 0;
  if (leaves || may_have_long_lease(link, now) || now >= link.transfer->give_up)
    return give_up_transfer(link);
  if (!link.runs.empty() || has_late_starts(link.life.worker)) return;
  if (link.recorded_end != link.seen_end) return;
  link.transfer->recording = true;
  next_.transfers.push_back(
      {.worker = link.life.worker, .to = link.transfer->to, .number = link.listing->transfers + 1});
}

void job_owner::give_up_transfer(worker_link& link) {
  log(severity::info,
      fmt::format("event=worker_transfer_given_up worker={} to_shard={} runs={}",
                  log_value(link.life.worker.value), link.transfer->to, link.runs.size()));
  link.transfer.reset();
}

// Gives up a transfer that is not on its way to the journal if its worker can take a task of the
// request. Returns whether there is one.
bool job_owner::keep_worker_for(const placement_request& request, time_point now) {
  for (auto& [id, link] : links_) {
    if (!link.transfer || link.transfer->recording) continue;
    const auto transfer = std::exchange(link.transfer, std::nullopt);
    const bool suits = !obstacle_to(request, link, model_, now);
    link.transfer = transfer;
    if (!suits) continue;
    give_up_transfer(link);
    return true;
  }
  return false;
}

}  // namespace coltsfoot::jobs
