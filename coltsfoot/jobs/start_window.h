// Bounds the start commands of an owner that are under way at a time. The bound halves when many
// answers are late and grows when it is reached while they are not, so that an owner sends no more
// than its processor and its link carry, and polls and stops never wait behind many starts.
//
//   start_window window{{}};
//   if (window.has_room()) { send_start(); window.on_sent(); }
//   window.on_ended(now - sent_at);  // once for each, without an answer too
//   window.adjust(now);              // regularly
#pragma once

#include <algorithm>
#include <cstddef>

#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

struct start_window_options {
  std::size_t initial = 64;
  std::size_t smallest = 8;
  std::size_t largest = 1'024;
  duration late{200};      // an answer that takes longer is late
  duration interval{250};  // between two adjustments
};

class start_window {
 public:
  explicit start_window(const start_window_options& options)
      : options_(options), size_(options.initial) {}

  bool has_room() const { return under_way_ < size_; }
  // Starts that may be begun beside `unsent` ones that wait to be sent, if those that are begun now
  // can be sent after `delay` only: meanwhile, the ones under way are answered and make room.
  std::size_t room_beside(std::size_t unsent, duration delay) const {
    const auto passed = size_ * static_cast<std::size_t>(delay / options_.late);
    const auto most = std::min(size_ + passed, std::max(size_, options_.largest));
    const auto taken = under_way_ + unsent;
    return taken < most ? most - taken : 0;
  }
  std::size_t size() const { return size_; }
  // Whether many answers were late before the newest adjustment.
  bool congested() const { return congested_; }
  std::size_t under_way() const { return under_way_; }

  void on_sent() {
    ++under_way_;
    if (under_way_ >= size_) reached_ = true;
  }

  // A start has ended after `taken`, with or without an answer.
  void on_ended(duration taken) {
    if (under_way_ > 0) --under_way_;
    ++ended_;
    if (taken > options_.late) ++late_;
  }

  void adjust(time_point now) {
    if (now < next_adjustment_) return;
    next_adjustment_ = now + options_.interval;
    congested_ = late_ >= fewest_late && late_ * late_share > ended_;
    if (congested_) {
      size_ = std::max(options_.smallest, size_ / 2);
    } else if (reached_) {
      size_ = std::min(options_.largest, size_ + size_ / 4 + 1);
    }
    ended_ = 0;
    late_ = 0;
    reached_ = under_way_ >= size_;
  }

 private:
  // The window shrinks when more than one in `late_share` answers is late, and a single worker that
  // does not answer never shrinks it.
  static constexpr std::size_t late_share = 4;
  static constexpr std::size_t fewest_late = 4;

  start_window_options options_;
  std::size_t size_;
  std::size_t under_way_ = 0;
  std::size_t ended_ = 0;  // since the last adjustment
  std::size_t late_ = 0;   // of these
  bool reached_ = false;   // since the last adjustment
  bool congested_ = false;
  time_point next_adjustment_{};
};

}  // namespace coltsfoot::jobs
