// What short tasks need of a service's workers, as its highest figure of the last seconds. Former
// figures fade, so that room for a burst stays for a while and is given back when none follows.
//
//   short_task_demand demand;
//   demand.observe({.total = running + waiting, .largest_waiting = largest}, now);
//   keep(demand.at(now).total);
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

// Amounts in millicores.
struct short_task_figures {
  std::int64_t total = 0;            // of all short tasks that run or wait for room
  std::int64_t largest_waiting = 0;  // of one that waits for room
};

// A peak that fades exponentially.
class fading_peak {
 public:
  void observe(std::int64_t value, time_point now) {
    if (value < at(now)) return;
    value_ = value;
    seen_at_ = now;
  }

  std::int64_t at(time_point now) const {
    constexpr double time_constant_ms = 10'000;
    const auto age = std::max(now - seen_at_, duration{0});
    const auto left = std::exp(-static_cast<double>(age.count()) / time_constant_ms);
    return static_cast<std::int64_t>(static_cast<double>(value_) * left);
  }

 private:
  std::int64_t value_ = 0;
  time_point seen_at_{};
};

class short_task_demand {
 public:
  void observe(const short_task_figures& figures, time_point now) {
    total_.observe(figures.total, now);
    largest_waiting_.observe(figures.largest_waiting, now);
  }

  short_task_figures at(time_point now) const {
    return {.total = total_.at(now), .largest_waiting = largest_waiting_.at(now)};
  }

 private:
  fading_peak total_;
  fading_peak largest_waiting_;
};

}  // namespace coltsfoot::jobs
