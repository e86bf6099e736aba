#include "coltsfoot/observe/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {
namespace {

using histogram = latency_histogram;

// Bucket i holds the values above bound(i - 1) and up to bound(i).
const std::array<std::int64_t, histogram::bucket_count>& bounds() {
  static const auto table = [] {
    std::array<std::int64_t, histogram::bucket_count> out{};
    for (std::size_t i = 0; i < out.size(); ++i) {
      const double exponent = static_cast<double>(i) / histogram::buckets_per_octave;
      out[i] = static_cast<std::int64_t>(std::floor(std::exp2(exponent)));
    }
    return out;
  }();
  return table;
}

}  // namespace

void latency_histogram::record(std::chrono::microseconds value) {
  // Larger values would overflow the sum; a day is beyond the last bucket.
  constexpr std::int64_t longest_us = 86'400'000'000;
  const std::int64_t us = std::clamp<std::int64_t>(value.count(), 0, longest_us);
  const auto& table = bounds();
  const auto found = std::ranges::lower_bound(table, us);
  const auto last = table.end() - 1;
  ++buckets_[static_cast<std::size_t>(std::min(found, last) - table.begin())];
  ++count_;
  sum_ += std::chrono::microseconds{us};
}

void latency_histogram::merge(const latency_histogram& other) {
  for (std::size_t i = 0; i < bucket_count; ++i) buckets_[i] += other.buckets_[i];
  count_ += other.count_;
  sum_ += other.sum_;
}

std::chrono::microseconds latency_histogram::quantile(double q) const {
  if (count_ == 0) return std::chrono::microseconds{0};
  const double wanted = std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(count_));
  const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < bucket_count; ++i) {
    seen += buckets_[i];
    if (seen >= rank) return std::chrono::microseconds{bounds()[i]};
  }
  return std::chrono::microseconds{bounds().back()};
}

std::uint64_t latency_histogram::count_up_to(std::chrono::microseconds limit) const {
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < bucket_count && bounds()[i] <= limit.count(); ++i) {
    seen += buckets_[i];
  }
  return seen;
}

}  // namespace coltsfoot
