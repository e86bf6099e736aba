// The lease of one worker, kept in the worker's own clock.
//
//   lease.observe(report.clock, now);
//   if (const auto end = lease.extend(now, duration{5000})) send_with(*end);
//   if (now >= lease.lapses_at()) nothing_runs_there();
#pragma once

#include <algorithm>
#include <optional>

#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/worker_calls.h"

namespace coltsfoot::jobs {

class lease_clock {
 public:
  // `inherited_until`: time up to which a former owner's lease can last.
  explicit lease_clock(time_point inherited_until) : lapses_at_(inherited_until) {}

  // Notes a reading of the worker's clock from an answer that arrived at `now`.
  void observe(worker_clock clock, time_point now) {
    sample_ = reading{.clock = clock, .arrived = now};
  }

  // Returns the end of a lease of `length` from now on and counts it as granted. Nothing before the
  // first reading.
  std::optional<worker_clock> extend(time_point now, duration length) {
    if (!sample_) return std::nullopt;
    const worker_clock end = sample_->clock + (now - sample_->arrived + length).count();
    // The reading was taken before it arrived, so the clock was at least there on arrival. A clock
    // that is slow takes longer to reach the end.
    const auto clock_time = duration{end - sample_->clock};
    const auto longest = clock_time * 100 / slowest_clock_percent + margin;
    lapses_at_ = std::max(lapses_at_, sample_->arrived + longest);
    return end;
  }

  // Whether a reading, from the answer at `now` to a call that was sent at `sent_at`, is of another
  // clock: one that runs steadily does not go back, and is never faster than time.
  bool is_of_another_clock(worker_clock clock, time_point sent_at, time_point now) const {
    if (!sample_) return false;
    const bool behind = sample_->arrived <= sent_at && clock < sample_->clock;
    const auto passed = now - sample_->arrived + oldest_reading;
    return behind || clock > sample_->clock + passed.count();
  }

  // The newest reading of the worker's clock; nothing before the first one.
  std::optional<worker_clock> newest_reading() const {
    return sample_ ? std::optional{sample_->clock} : std::nullopt;
  }

  // From this time on, no lease lasts that is inherited or was granted here.
  time_point lapses_at() const { return lapses_at_; }

  // The longest time that a lease of `length` can last in real time.
  static duration longest(duration length) { return length * 100 / slowest_clock_percent + margin; }

 private:
  struct reading {
    worker_clock clock = 0;
    time_point arrived;
  };
  static constexpr int slowest_clock_percent = 98;  // the platform's bound on worker clocks
  static constexpr duration margin{50};             // for ending the runs
  static constexpr duration oldest_reading{5'000};  // when it arrives, however late the answer is

  std::optional<reading> sample_;
  time_point lapses_at_;
};

}  // namespace coltsfoot::jobs
