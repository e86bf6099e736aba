#include "coltsfoot/jobs/pacing.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::jobs {
namespace {

// A change below this is not worth an order.
constexpr std::uint32_t least_change_percent = 10;

struct disturbance {
  const task_key* key = nullptr;
  const placed_run* run = nullptr;
  double full_pressure = 0;  // at full speed
};

// Filling runs that work, the most disturbing first.
std::vector<disturbance> disturbances(const worker_link& link, const interference_model& model) {
  std::vector<disturbance> out;
  const auto capacity =
      static_cast<double>(std::max<std::int64_t>(link.listing->capacity.millicores, 1));
  for (const auto& [key, run] : link.runs) {
    if (run.fill_millicores == 0 || run.phase != start_phase::confirmed || run.stop_wanted) {
      continue;
    }
    const double share = static_cast<double>(run.fill_millicores) / capacity;
    out.push_back({.key = &key, .run = &run, .full_pressure = model.pressure_of(run.image, share)});
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& a, const auto& b) { return a.full_pressure > b.full_pressure; });
  return out;
}

// Percent of its speed by which a run's pressure changes by `amount`.
std::uint32_t percent_for(double amount, double full_pressure) {
  constexpr double most = 100;
  if (full_pressure <= 0) return static_cast<std::uint32_t>(most);
  return static_cast<std::uint32_t>(std::clamp(amount / full_pressure * most, 0.0, most));
}

std::vector<pace_change> slow(const worker_link& link, const interference_model& model,
                              const pacing_options& options) {
  std::vector<pace_change> changes;
  double excess = std::log(link.tail_ratio / options.slow_to);
  for (const auto& entry : disturbances(link, model)) {
    if (excess <= 0) break;
    const auto pace = entry.run->pace;
    if (pace == 0) continue;
    const auto cut =
        std::min(pace, std::max(percent_for(excess, entry.full_pressure), least_change_percent));
    changes.push_back({.key = *entry.key, .percent = pace - cut});
    excess -= entry.full_pressure * cut / 100;
  }
  return changes;
}

std::vector<pace_change> release(const worker_link& link, const interference_model& model,
                                 const pacing_options& options) {
  std::vector<pace_change> changes;
  constexpr double least_ratio = 0.05;
  double room = std::log(options.release_to / std::max(link.tail_ratio, least_ratio));
  const auto order = disturbances(link, model);
  for (auto at = order.rbegin(); at != order.rend(); ++at) {
    const auto pace = at->run->pace;
    if (pace >= 100) continue;
    const auto raise =
        link.serving == 0 ? 100 - pace : std::min(100 - pace, percent_for(room, at->full_pressure));
    if (raise < std::min(least_change_percent, 100 - pace)) break;
    changes.push_back({.key = *at->key, .percent = pace + raise});
    room -= at->full_pressure * raise / 100;
  }
  return changes;
}

}  // namespace

std::vector<pace_change> pacing_changes(const worker_link& link, const interference_model& model,
                                        const pacing_options& options, time_point now) {
  if (!link.listing || now - link.paced_at < options.settle) return {};
  if (link.serving > 0 && link.tail_ratio > options.slow_above) return slow(link, model, options);
  if (link.serving == 0 || link.tail_ratio < options.release_to) {
    return release(link, model, options);
  }
  return {};
}

}  // namespace coltsfoot::jobs
