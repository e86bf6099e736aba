#include "coltsfoot/relocation/run_progress.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfoot::relocation {
namespace {

constexpr double whole_percent = 100;
constexpr double ms_per_s = 1'000;

// Work at the typical speed that counts beside the run's own: a run that has been halted from the
// start has none of its own, and percentages are whole numbers.
constexpr double assumed_full_pace_ms = 500;

// Serving load swings within seconds; a pace cut for a moment is no reason to move. With 2 s, runs
// stayed up to half a second longer after a lasting rise of the load.
constexpr double pace_time_constant_ms = 1'000;

// A percentage may jump when a checkpoint has been restored.
constexpr double most_speed_factor = 4;

// A percentage that stands still rises by this much at the most in that time; workers round it.
constexpr double unseen_percent = 2;

// Of a run that counts for its image: less is blurred by starting and by rounding.
constexpr duration least_learned_time{300};
constexpr std::uint32_t least_learned_percent = 20;
constexpr double least_learned_pace = 0.5;

constexpr double observation_weight = 0.1;
// Estimates are off by a factor of 2; the rest is for tasks slowed by their worker.
constexpr double least_factor = 0.25;
constexpr double most_factor = 4;

constexpr duration shortest_estimate{10};

double ms_between(time_point from, time_point to) {
  return std::max(static_cast<double>((to - from).count()), 0.0);
}

}  // namespace

void run_progress::begin(std::uint32_t percent, std::uint32_t pace, time_point from) {
  *this = {};
  known_ = true;
  first_percent_ = percent;
  percent_ = percent;
  recent_pace_ = static_cast<double>(pace) / whole_percent;
  observed_at_ = from;
  changed_at_ = from;
}

void run_progress::observe(std::uint32_t percent, std::uint32_t pace, time_point now) {
  if (!known_) return begin(percent, pace, now);
  const double passed = ms_between(observed_at_, now);
  const double share = static_cast<double>(pace) / whole_percent;
  full_pace_ms_ += passed * share;
  recent_pace_ += (1 - std::exp(-passed / pace_time_constant_ms)) * (share - recent_pace_);
  if (percent > percent_) changed_at_ = now;
  percent_ = std::max(percent, percent_);
  observed_at_ = std::max(now, observed_at_);
}

double run_progress::full_speed(double typical) const {
  const double work = done() + typical * assumed_full_pace_ms / ms_per_s;
  const double speed = work / (full_pace_ms_ + assumed_full_pace_ms) * ms_per_s;
  return std::min(speed, typical * most_speed_factor);
}

double run_progress::speed_here(double typical) const {
  const double paced = full_speed(typical) * recent_pace_;
  const double still_ms = ms_between(changed_at_, observed_at_);
  return still_ms > 0 ? std::min(paced, unseen_percent * ms_per_s / still_ms) : paced;
}

void typical_speeds::observe(const std::string& image, const run_progress& progress,
                             duration estimate) {
  const bool tells = progress.done() >= least_learned_percent &&
                     progress.full_pace_time() >= least_learned_time &&
                     progress.recent_pace() >= least_learned_pace;
  if (!tells || estimate <= duration{0}) return;
  const double percent_per_ms =
      progress.done() / static_cast<double>(progress.full_pace_time().count());
  const double factor = percent_per_ms * static_cast<double>(estimate.count()) / whole_percent;
  auto& known = factors_.try_emplace(image, 1.0).first->second;
  known += observation_weight * (std::clamp(factor, least_factor, most_factor) - known);
}

double typical_speeds::percent_per_s(const std::string& image, duration estimate) const {
  const auto found = factors_.find(image);
  const double factor = found == factors_.end() ? 1.0 : found->second;
  const auto estimated = static_cast<double>(std::max(estimate, shortest_estimate).count());
  return factor * whole_percent / estimated * ms_per_s;
}

}  // namespace coltsfoot::relocation
