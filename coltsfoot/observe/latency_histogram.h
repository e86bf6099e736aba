// Histogram of latencies with fixed logarithmic buckets, so that histograms of several nodes can be
// merged.
//
//   latency_histogram waits;
//   waits.record(std::chrono::microseconds{730});
//   waits.quantile(0.99);  // upper bound of the bucket, at most 9.1% above the true value
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace coltsfoot {

class latency_histogram {
 public:
  static constexpr std::size_t buckets_per_octave = 8;
  static constexpr std::size_t octaves = 34;  // 1 us to about 4.7 h
  static constexpr std::size_t bucket_count = buckets_per_octave * octaves + 1;

  // Adds a value. Values outside the range go to the first or last bucket.
  void record(std::chrono::microseconds value);

  void merge(const latency_histogram& other);

  std::uint64_t count() const { return count_; }
  std::chrono::microseconds sum() const { return sum_; }

  // Returns the upper bound of the bucket that holds the value at `q` (0 to 1); 0 if empty.
  std::chrono::microseconds quantile(double q) const;

  // Returns how many values lie in buckets with an upper bound of at most `limit`.
  std::uint64_t count_up_to(std::chrono::microseconds limit) const;

 private:
  std::array<std::uint64_t, bucket_count> buckets_{};
  std::uint64_t count_ = 0;
  std::chrono::microseconds sum_{0};
};

}  // namespace coltsfoot
