// The start orders of one run that got no answer, and until when they can be carried out.
//
// A worker may carry such an order out seconds later. A stop, or the end of the run, bars it in the
// life of the worker that knows of it; a later life knows of neither. What an order brings about
// there is not seen before that life has been looked at, so the next run of the task must not be
// elsewhere meanwhile.
//
// An order that a silent worker has not answered was most likely lost with that worker. It counts
// as late only if the worker has answered something that was sent after it: `outlived` is when the
// newest order was sent that the worker has answered, of any kind.
//
//   unanswered_starts starts;
//   starts.on_sent(now);
//   starts.on_answered(sent_at);  // this order is settled
//   if (now < starts.late_until(outlived)) keep_task_with(worker);
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

// How long after its sending an order without an answer may be carried out. The platform speaks of
// seconds.
inline constexpr duration late_order_limit{12'000};

class unanswered_starts {
 public:
  void on_sent(time_point now) {
    ++sent_;
    open_.push_back({.sent_at = now});
  }

  // The order that was sent at `sent_at` has been answered, or was certainly not carried out.
  void on_answered(time_point sent_at) {
    std::erase_if(open_, [&](const auto& order) { return order.sent_at == sent_at; });
  }
  // Nobody waits for its answer any more.
  void on_given_up(time_point sent_at) {
    for (auto& order : open_) order.given_up = order.given_up || order.sent_at == sent_at;
  }

  // The worker lists the run. A single order can't be carried out twice.
  void on_listed() {
    if (sent_ == 1 && !adopted_at_) open_.clear();
  }

  // A former owner has sent orders of the run until `now` at the latest; `late` if it has recorded
  // that one of them is late.
  void on_adopted(time_point now, bool late) {
    adopted_at_ = now;
    adopted_late_ = late;
  }

  // Whether an order may be under way, or be carried out later.
  bool may_come(time_point now) const {
    if (adopted_at_ && now < *adopted_at_ + late_order_limit) return true;
    return std::any_of(open_.begin(), open_.end(),
                       [now](const auto& order) { return now < order.sent_at + late_order_limit; });
  }

  // Whether some order of the run may have had an effect without its answer being known.
  bool is_uncertain() const { return adopted_at_ || !open_.empty(); }

  // Until when a late order can be carried out. Of a former owner's orders, only its journal tells
  // whether one is late.
  time_point late_until(time_point outlived) const {
    time_point until{};
    if (adopted_late_) until = *adopted_at_ + late_order_limit;
    for (const auto& order : open_) {
      if (order.sent_at < outlived) until = std::max(until, order.sent_at + late_order_limit);
    }
    return until;
  }
  // Whether an order is late and no answer to it is awaited any more, so that a successor has to
  // know of it for as long as it can be carried out.
  bool is_to_be_recorded(time_point outlived, time_point now) const {
    if (adopted_late_ && now < *adopted_at_ + late_order_limit) return true;
    return std::any_of(open_.begin(), open_.end(), [&](const auto& order) {
      return order.given_up && order.sent_at < outlived && now < order.sent_at + late_order_limit;
    });
  }

 private:
  struct open_order {
    time_point sent_at;
    bool given_up = false;
  };

  std::vector<open_order> open_;  // without an answer
  std::size_t sent_ = 0;          // by this owner
  std::optional<time_point> adopted_at_;
  bool adopted_late_ = false;
};

}  // namespace coltsfoot::jobs
