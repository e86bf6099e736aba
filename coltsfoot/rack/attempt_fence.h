// Remembers which place requests must not be acted upon any more: those of former customer owners,
// and attempts that were refused or have ended here. Kept in memory; a new rack owner learns it
// again from place requests, queries and what the workers hold.
//
//   if (!fence.accept_epoch(customer, message.customer_epoch)) return stale_customer;
//   if (fence.closed(attempt)) return refused;
#pragma once

#include <deque>
#include <map>
#include <utility>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

class attempt_fence {
 public:
  // `limit` bounds the tasks remembered; the one that was added first is forgotten first.
  explicit attempt_fence(std::size_t limit) : limit_(limit) {}

  // Returns false if a higher epoch of the customer's owner is known. Remembers `seen` otherwise.
  bool accept_epoch(const customer_id& customer, epoch seen);

  // This attempt and all older ones of its task will not be started from now on.
  void close(const attempt_id& attempt);
  bool closed(const attempt_id& attempt) const;
  std::size_t size() const { return closed_.size(); }

 private:
  using task_key = std::pair<customer_id, task_id>;

  std::size_t limit_;
  std::map<customer_id, epoch> epochs_;
  std::map<task_key, attempt_number> closed_;
  std::deque<task_key> order_;
};

}  // namespace coltsfoot
