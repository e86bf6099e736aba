// Keeps new work away from a worker that fails what it starts, and lets it back.
//
// Several failures without a success close the worker for a fixed time. After that its starts are
// spaced until one succeeds, so that a worker that still fails costs few tasks an attempt, and one
// that has recovered is in use again soon, however often it had failed before. Only runs that began
// after the first of these failures tell whether it works.
//
//   worker_backoff backoff;
//   if (backoff.on_failure(now)) log_closed();
//   if (!backoff.is_closed(now)) {
//     start_a_task();
//     backoff.on_start(now);
//   }
#pragma once

#include <algorithm>
#include <cstdint>

#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

class worker_backoff {
 public:
  // Failures without a success between them that close a worker.
  static constexpr std::uint32_t closing_failures = 3;

  // Returns whether the worker is closed now.
  bool on_failure(time_point now) {
    if (failures_++ == 0) first_failure_ = now;
    if (!is_suspect()) return false;
    closed_until_ = now + closed_for;
    return true;
  }

  // A run that began at `began` has ended well or is at work.
  void on_success(time_point began) {
    if (failures_ > 0 && began <= first_failure_) return;
    failures_ = 0;
    closed_until_ = {};
  }

  void on_start(time_point now) {
    if (is_suspect()) closed_until_ = std::max(closed_until_, now + start_spacing);
  }

  // The worker has rejected a start; successes of other runs don't shorten this pause.
  void on_rejection(time_point pause_end) { paused_until_ = std::max(paused_until_, pause_end); }

  bool is_closed(time_point now) const { return now < std::max(closed_until_, paused_until_); }
  std::uint32_t failures() const { return failures_; }

 private:
  static constexpr duration closed_for{2'000};
  static constexpr duration start_spacing{500};

  bool is_suspect() const { return failures_ >= closing_failures; }

  std::uint32_t failures_ = 0;  // since the last success
  time_point first_failure_{};  // of these
  time_point closed_until_{};
  time_point paused_until_{};
};

}  // namespace coltsfoot::jobs
