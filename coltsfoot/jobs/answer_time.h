// Estimates how long workers take to answer, the delays of this node's own threads and link
// included. Timeouts that follow the estimate grow with a load that slows all answers down, so that
// calls are not repeated because of it.
//
//   answer_time answers;
//   answers.observe(now - sent_at);
//   const auto repeat_at = now + answers.timeout();
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

struct answer_time_options {
  duration shortest_timeout{400};
  duration longest_timeout{1'500};
};

class answer_time {
 public:
  explicit answer_time(const answer_time_options& options) : options_(options) {}

  // Notes a call that was answered after `taken`.
  void observe(duration taken) {
    // A single worker that is slow must not raise the timeouts of all others.
    const auto sample = static_cast<double>(std::min(taken, timeout()).count());
    const double error = sample - mean_ms_;
    mean_ms_ += error * mean_weight;
    deviation_ms_ += (std::abs(error) - deviation_ms_) * deviation_weight;
  }

  duration mean() const { return duration{std::llround(mean_ms_)}; }

  // A call without an answer for this long is taken for unanswered.
  duration timeout() const {
    const duration estimate{std::llround(mean_ms_ + deviations_in_timeout * deviation_ms_)};
    return std::clamp(estimate, options_.shortest_timeout, options_.longest_timeout);
  }

 private:
  // The weights and the factor of the retransmission timeout of TCP (RFC 6298).
  static constexpr double mean_weight = 1.0 / 8;
  static constexpr double deviation_weight = 1.0 / 4;
  static constexpr double deviations_in_timeout = 4;

  answer_time_options options_;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
};

}  // namespace coltsfoot::jobs
