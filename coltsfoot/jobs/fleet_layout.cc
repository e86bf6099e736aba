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

// Each rack goes to the shard with the fewest workers, the largest one first.
fleet_layout first_layout(const rack_sizes& racks, const layout_options& options) {
  fleet_layout layout{.shards = shards_for(count_workers(racks), options)};
  std::vector<std::pair<std::size_t, std::string>> by_size;
  for (const auto& [rack, workers] : racks) by_size.emplace_back(workers, rack);
  std::sort(by_size.begin(), by_size.end(), std::greater<>{});
  std::vector<std::size_t> loads(layout.shards, 0);
  for (const auto& [workers, rack] : by_size) {
    const auto least = std::min_element(loads.begin(), loads.end());
    layout.racks.push_back(
        {.rack = rack, .shard = static_cast<shard_number>(least - loads.begin())});
    *least += workers;
  }
  std::sort(layout.racks.begin(), layout.racks.end(), by_name);
  return layout;
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

shard_number fleet_layout::shard_of_name(std::string_view name) const {
  return shards <= 1 ? first_shard : static_cast<shard_number>(stable_hash(name) % shards);
}

shard_number fleet_layout::shard_of_job(const job_id& id, const job_spec& spec) const {
  for (const auto& step : spec.steps) {
    if (step.data_label.empty()) continue;
    return shard_of_rack(step.data_label).value_or(shard_of_name(step.data_label));
  }
  return shard_of_name(id.value);
}

std::string rack_of(const worker_listing& worker) {
  return worker.rack().empty() ? worker.id.value : std::string{worker.rack()};
}

fleet_layout extended(const fleet_layout& layout, const rack_sizes& racks,
                      const layout_options& options) {
  if (!layout.decided()) return first_layout(racks, options);
  fleet_layout next = layout;
  for (const auto& [rack, workers] : racks) {
    if (layout.shard_of_rack(rack)) continue;
    next.racks.push_back({.rack = rack, .shard = layout.shard_of_name(rack)});
  }
  std::sort(next.racks.begin(), next.racks.end(), by_name);
  return next;
}

}  // namespace coltsfoot::jobs
