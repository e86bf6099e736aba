#include "coltsfoot/jobs/shard_balance.h"

#include <algorithm>
#include <limits>

namespace coltsfoot::jobs {

resources plausible_capacity(const std::vector<resources>& capacities) {
  constexpr std::int64_t times_median = 4;
  if (capacities.empty()) return {};
  const auto bound = [&](std::int64_t resources::* kind) {
    std::vector<std::int64_t> amounts;
    amounts.reserve(capacities.size());
    for (const auto& capacity : capacities) amounts.push_back(capacity.*kind);
    const auto median = amounts.begin() + static_cast<std::ptrdiff_t>(amounts.size() / 2);
    std::nth_element(amounts.begin(), median, amounts.end());
    return *median * times_median;
  };
  return {.millicores = bound(&resources::millicores),
          .memory_mb = bound(&resources::memory_mb),
          // Accelerators are on few workers as a rule, so that their median tells nothing.
          .accelerators = std::numeric_limits<std::int64_t>::max()};
}

void move_worker(std::vector<shard_load>& loads, shard_number from, shard_number to,
                 const resources& capacity) {
  loads.at(from).capacity -= capacity;
  --loads.at(from).workers;
  loads.at(to).capacity += capacity;
  ++loads.at(to).workers;
}

resources wanted_room(const job& j, const resources& largest, wall_time now,
                      const std::function<bool(const step_spec&)>& can_run) {
  resources wanted;
  if (j.ended() || j.cancel_requested) return wanted;
  const auto& spec = j.accepted.spec;
  task_index first = 0;
  for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
    if (!occurrence_due(spec, occurrence, now)) break;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      const auto& of_step = spec.steps[step];
      const auto last = first + of_step.count;
      const bool counts = !of_step.fill && of_step.demand.fits_in(largest) &&
                          j.step_ready(occurrence, step) && (!can_run || can_run(of_step));
      for (auto i = first; counts && i < last; ++i) {
        const auto phase = j.tasks[i].phase;
        const bool here = phase != task_phase::done && phase != task_phase::elsewhere;
        if (here) wanted += of_step.demand;
      }
      first = last;
    }
  }
  return wanted;
}

std::set<std::string> wanted_racks(const job_table& table) {
  std::set<std::string> racks;
  for (const auto& [id, j] : table) {
    if (j.ended()) continue;
    for (const auto& step : j.accepted.spec.steps) {
      if (!step.data_label.empty()) racks.insert(step.data_label);
    }
  }
  return racks;
}

namespace {

bool can_spare(const std::vector<shard_load>& loads, shard_number own,
               const balance_options& options) {
  std::size_t all = 0;
  for (const auto& load : loads) all += load.workers;
  const auto even = static_cast<double>(all) / static_cast<double>(loads.size());
  const auto left = static_cast<double>(loads[own].workers) - 1;
  return left >= std::max(1.0, even * options.least_part);
}

}  // namespace

std::optional<shard_number> shard_in_need(const std::vector<shard_load>& loads, shard_number own,
                                          const resources& capacity,
                                          const balance_options& options) {
  const auto& giver = loads.at(own);
  if (!can_spare(loads, own, options)) return std::nullopt;
  const auto share_after_giving = dominant_share(giver.wanted, giver.capacity - capacity);
  std::optional<shard_number> neediest;
  double largest_share = 0;
  for (shard_number shard = 0; shard < loads.size(); ++shard) {
    const auto& load = loads[shard];
    if (shard == own || load.workers >= options.most_workers) continue;
    if (dominant_share(load.wanted, load.capacity) <= options.needy_above) continue;
    const auto share_after_getting = dominant_share(load.wanted, load.capacity + capacity);
    if (share_after_giving + options.least_difference >= share_after_getting) continue;
    if (share_after_getting <= largest_share) continue;
    neediest = shard;
    largest_share = share_after_getting;
  }
  return neediest;
}

}  // namespace coltsfoot::jobs
