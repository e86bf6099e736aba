#include "coltsfoot/rack/interference_table.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

double interference_table::aged_excess(const estimate& value, time_point now) const {
  const auto age = std::max(now - value.updated, duration{0});
  const double half_lives =
      static_cast<double>(age.count()) / static_cast<double>(options_.half_life.count());
  return value.excess * std::exp2(-half_lives);
}

void interference_table::observe(const std::string& victim,
                                 const std::vector<std::string>& neighbours, double slowdown,
                                 time_point now) {
  if (neighbours.empty() || !std::isfinite(slowdown)) return;
  std::map<std::string, double> counts;  // tasks by class
  for (const auto& neighbour : neighbours) counts[neighbour] += 1.0;
  const double measured = std::clamp(slowdown, 1.0, options_.highest) - 1.0;
  double explained = 0;
  double squares = 0;
  for (const auto& [neighbour, count] : counts) {
    explained += count * (expected(victim, neighbour, now) - 1.0);
    squares += count * count;
  }
  // The step of the normalised least mean squares method: the corrections of all neighbours
  // together close the share `weight` of the difference.
  const double step = options_.weight * (measured - explained) / squares;
  for (const auto& [neighbour, count] : counts) {
    const auto key = std::pair{victim, neighbour};
    auto found = pairs_.find(key);
    if (found == pairs_.end()) {
      if (pairs_.size() >= options_.pair_limit) continue;
      found = pairs_.emplace(key, estimate{}).first;
    }
    found->second.excess =
        std::clamp(aged_excess(found->second, now) + step * count, 0.0, options_.highest);
    found->second.updated = now;
  }
}

double interference_table::expected(const std::string& victim, const std::string& neighbour,
                                    time_point now) const {
  const auto found = pairs_.find(std::pair{victim, neighbour});
  return found == pairs_.end() ? 1.0 : 1.0 + aged_excess(found->second, now);
}

}  // namespace coltsfoot
