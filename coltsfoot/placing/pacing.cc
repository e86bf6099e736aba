#include "coltsfoot/placing/pacing.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <tuple>

namespace coltsfoot::jobs {
namespace {

// A change below this is not worth an order.
constexpr std::uint32_t least_change_percent = 10;

// Headroom that is too little to slow another task for.
constexpr double negligible_headroom = 0.03;

// Tasks whose losses differ by less than about this factor disturb about equally: the model is no
// more exact.
constexpr double equal_loss_factor = 1.5;

// Losses below this are the same.
constexpr double least_loss = 0.01;

struct filling_run {
  const task_key* key = nullptr;
  const placed_run* run = nullptr;
  double share = 0;   // at full speed
  bool last = false;  // of its step
};

std::vector<filling_run> filling_runs(const worker_link& link,
                                      const std::set<task_key>& last_tasks) {
  std::vector<filling_run> out;
  for (const auto& [key, run] : link.runs) {
    if (run.fill_millicores == 0 || run.phase != start_phase::confirmed || run.stop_wanted) {
      continue;
    }
    out.push_back({.key = &key,
                   .run = &run,
                   .share = fill_share(link, run.fill_millicores),
                   .last = last_tasks.contains(key)});
  }
  return out;
}

// The least headroom of the serving runs, by image.
std::map<std::string, double> headrooms(const worker_link& link) {
  std::map<std::string, double> out;
  for (const auto& [key, run] : link.runs) {
    if (!run.serves || run.headroom <= 0) continue;
    const auto [at, fresh] = out.try_emplace(run.image, run.headroom);
    if (!fresh) at->second = std::min(at->second, run.headroom);
  }
  return out;
}

std::uint32_t percent_of(double part, double whole) {
  constexpr double most = 100;
  if (whole <= 0) return static_cast<std::uint32_t>(most);
  return static_cast<std::uint32_t>(std::clamp(part / whole * most, 0.0, most));
}

int loss_class(double loss) {
  return static_cast<int>(
      std::lround(std::log(std::max(loss, least_loss)) / std::log(equal_loss_factor)));
}

std::vector<pace_change> slow(const std::string& serving, double missing, const worker_link& link,
                              const interference_model& model,
                              const std::set<task_key>& last_tasks) {
  auto order = filling_runs(link, last_tasks);
  const auto full_loss = [&](const filling_run& entry) {
    return model.loss(serving, entry.run->image, entry.share);
  };
  const auto rank = [&](const filling_run& entry) {
    const auto loss = full_loss(entry);
    return std::tuple{-loss_class(loss), entry.last, -loss};
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::vector<pace_change> changes;
  for (const auto& entry : order) {
    if (missing <= negligible_headroom) break;
    const auto pace = entry.run->pace;
    if (pace == 0) continue;
    const auto wanted = std::max(percent_of(missing, full_loss(entry)), least_change_percent);
    const auto cut = std::min(pace, wanted);
    changes.push_back({.key = *entry.key, .percent = pace - cut});
    missing -= full_loss(entry) * cut / 100;
  }
  return changes;
}

bool is_over_for_long(const worker_link& link, duration limit, time_point now) {
  return std::any_of(link.runs.begin(), link.runs.end(), [&](const auto& entry) {
    const auto& since = entry.second.over_since;
    return entry.second.serves && since && now - *since >= limit;
  });
}

std::vector<pace_change> halt(const worker_link& link) {
  std::vector<pace_change> changes;
  for (const auto& entry : filling_runs(link, {})) {
    if (entry.run->pace > 0) changes.push_back({.key = *entry.key, .percent = 0});
  }
  return changes;
}

std::vector<pace_change> release(std::map<std::string, double> room, const worker_link& link,
                                 const interference_model& model,
                                 const std::set<task_key>& last_tasks) {
  std::vector<pace_change> changes;
  auto order = filling_runs(link, last_tasks);
  std::stable_partition(order.begin(), order.end(), [](const auto& entry) { return entry.last; });
  for (const auto& entry : order) {
    const auto pace = entry.run->pace;
    if (pace >= 100) continue;
    auto raise = 100 - pace;
    for (const auto& [serving, left] : room) {
      const auto full_loss = model.loss(serving, entry.run->image, entry.share);
      raise = std::min(raise, left <= 0 ? 0U : percent_of(left, full_loss));
    }
    if (raise < std::min(least_change_percent, 100 - pace)) continue;
    changes.push_back({.key = *entry.key, .percent = pace + raise});
    for (auto& [serving, left] : room) {
      left -= model.loss(serving, entry.run->image, entry.share) * raise / 100;
    }
  }
  return changes;
}

}  // namespace

double fill_share(const worker_link& link, std::int64_t millicores) {
  const auto capacity = std::max<std::int64_t>(link.listing->capacity.millicores, 1);
  return static_cast<double>(millicores) / static_cast<double>(capacity);
}

std::vector<pace_change> pacing_changes(const worker_link& link, const interference_model& model,
                                        const pacing_options& options,
                                        const std::set<task_key>& last_tasks, time_point now) {
  if (!link.listing) return {};
  if (is_over_for_long(link, options.halt_after, now)) return halt(link);
  if (now - link.paced_at < options.settle) return {};
  auto rooms = headrooms(link);
  const auto least = std::min_element(
      rooms.begin(), rooms.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  if (least != rooms.end() && least->second < options.slow_below) {
    return slow(least->first, options.slow_to - least->second, link, model, last_tasks);
  }
  for (auto& [serving, headroom] : rooms) headroom -= options.release_to;
  return release(std::move(rooms), link, model, last_tasks);
}

}  // namespace coltsfoot::jobs
