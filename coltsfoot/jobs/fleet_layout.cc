#include "coltsfoot/jobs/fleet_layout.h"

#include <algorithm>
#include <utility>

#include "coltsfoot/base/hash.h"

namespace coltsfoot::jobs {
namespace {

// What an owner sends for a worker that is kept busy with short tasks: about two starts a second
// with their specifications, looks, and the progress in the journal.
constexpr double bytes_per_worker_and_s = 2'600;

// Share of the link that an owner's orders may fill on average. The rest is for bursts, for callers
// and for the journals.
constexpr double order_share_of_link = 0.25;

bool by_name(const rack_shard& a, const rack_shard& b) {
  return a.rack < b.rack;
}

std::size_t count_workers(const rack_sizes& racks) {
  std::size_t sum = 0;
  for (const auto& [rack, workers] : racks) sum += workers;
  return sum;
}

std::uint32_t shards_for(std::size_t workers, const layout_options& options) {
  const auto per_shard = most_workers_per_shard(options);
  const auto needed = (workers + per_shard - 1) / per_shard;
  return static_cast<std::uint32_t>(
      std::clamp<std::size_t>(needed, 1, std::max<std::uint32_t>(options.most_shards, 1)));
}

// Workers of each shard, as far as they are listed.
std::vector<std::size_t> loads_of(const fleet_layout& layout, const rack_sizes& racks) {
  std::vector<std::size_t> loads(layout.shards, 0);
  for (const auto& entry : layout.racks) {
    const auto found = racks.find(entry.rack);
    if (found != racks.end() && entry.shard < loads.size()) loads[entry.shard] += found->second;
  }
  return loads;
}

}  // namespace

std::size_t most_workers_per_shard(const layout_options& options) {
  if (options.link_bytes_per_s <= 0) return options.workers_per_shard;
  const auto by_link = static_cast<std::size_t>(options.link_bytes_per_s * order_share_of_link /
                                                bytes_per_worker_and_s);
  return std::clamp<std::size_t>(by_link, 1, options.workers_per_shard);
}

std::optional<shard_number> fleet_layout::shard_of_rack(std::string_view rack) const {
  const auto found =
      std::lower_bound(racks.begin(), racks.end(), rack,
                       [](const auto& entry, auto name) { return entry.rack < name; });
  if (found == racks.end() || found->rack != rack) return std::nullopt;
  return found->shard;
}

shard_number fleet_layout::shard_of_job(const job_id& id, const job_spec& spec) const {
  for (const auto& step : spec.steps) {
    if (step.data_label.empty()) continue;
    if (const auto shard = shard_of_rack(step.data_label)) return *shard;
  }
  return shards <= 1 ? first_shard : static_cast<shard_number>(stable_hash(id.value) % shards);
}

std::string rack_of(const worker_listing& worker) {
  return worker.rack().empty() ? worker.id.value : std::string{worker.rack()};
}

fleet_layout extended(const fleet_layout& layout, const rack_sizes& racks,
                      const layout_options& options) {
  fleet_layout next = layout;
  if (!next.decided()) next.shards = shards_for(count_workers(racks), options);
  auto loads = loads_of(next, racks);
  std::vector<std::pair<std::size_t, std::string>> fresh;  // by size
  for (const auto& [rack, workers] : racks) {
    if (!layout.shard_of_rack(rack)) fresh.emplace_back(workers, rack);
  }
  std::sort(fresh.begin(), fresh.end(), std::greater<>{});  // the largest first, for even shards
  for (const auto& [workers, rack] : fresh) {
    const auto least = std::min_element(loads.begin(), loads.end());
    next.racks.push_back({.rack = rack, .shard = static_cast<shard_number>(least - loads.begin())});
    *least += workers;
  }
  std::sort(next.racks.begin(), next.racks.end(), by_name);
  return next;
}

}  // namespace coltsfoot::jobs
