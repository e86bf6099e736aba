// Time types of the deciding core.
//
// The core keeps no clock: each deciding function takes the present time as an argument.
//
//   void on_tick(time_point now);
#pragma once

#include <chrono>

namespace coltsfoot {

// Tag of the monotonic clock whose readings the daemon passes to the core. It has no `now()`.
struct monotonic_clock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<monotonic_clock, duration>;
  static constexpr bool is_steady = true;
};

using duration = std::chrono::milliseconds;

// A reading of the process's monotonic clock. It means nothing to another process.
using time_point = monotonic_clock::time_point;

// Wall clock time, for times that pass between processes or into the log.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

}  // namespace coltsfoot
