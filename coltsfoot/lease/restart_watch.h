// What the orders for a former life of a worker may have brought about in its present one.
//
// A worker may restart under its id and its address. Until it has obeyed an order with the fence of
// its new life, it carries out orders that were sent to the former one. Such an order can start a
// run, and can grant a lease that ends at a time of the former life's clock. The new clock starts
// anew, so that the worker shortens this lease to the longest one it grants.
//
//   restart_watch watch;
//   watch.on_doubt(now);                  // the registry lists another life
//   watch.on_restart(now);                // the worker has answered in another life
//   watch.on_answer(sent_at, now);        // the worker has answered in the known life
//   if (now >= watch.former_leases_over(longest_lease)) ...
//
// A doubt concerns only runs whose start may still be carried out: others are gone if the worker
// has restarted, and are under an ordinary lease if it has not.
#pragma once

#include <optional>

#include "coltsfoot/base/time.h"
#include "coltsfoot/lease/unanswered_starts.h"

namespace coltsfoot::jobs {

class restart_watch {
 public:
  // The worker may have restarted: somebody else says so.
  void on_doubt(time_point now) {
    if (!doubted_since_) doubted_since_ = now;
  }

  // The worker has said itself that it has restarted. Orders from now on have the fence of the new
  // life.
  void on_restart(time_point now) {
    doubted_since_.reset();
    noticed_ = now;
    fenced_at_.reset();
  }

  // The known life has answered an order that was sent at `sent_at`.
  void on_answer(time_point sent_at, time_point now) {
    if (doubted_since_ && sent_at >= *doubted_since_) doubted_since_.reset();
    if (noticed_ && !fenced_at_ && sent_at >= *noticed_) fenced_at_ = now;
  }

  // Whether another life than the known one may be up.
  bool in_doubt() const { return doubted_since_.has_value(); }

  // Whether the known life can't carry out any order that was sent to a former one.
  bool is_fenced() const { return !doubted_since_ && (!noticed_ || fenced_at_); }

  // From when on no lease lasts in the known life that an order for a former one has granted.
  // `longest_lease`: in real time, of those that the worker grants.
  time_point former_leases_over(duration longest_lease) const {
    if (!noticed_) return {};
    return fenced_at_.value_or(*noticed_ + late_order_limit) + longest_lease;
  }

  // From when on nothing runs in a life that is not known.
  time_point unknown_life_over(duration longest_lease) const {
    if (!doubted_since_) return {};
    return *doubted_since_ + late_order_limit + longest_lease;
  }

 private:
  std::optional<time_point> doubted_since_;
  std::optional<time_point> noticed_;    // of the newest restart
  std::optional<time_point> fenced_at_;  // when an order with the fence of that life was answered
};

}  // namespace coltsfoot::jobs
