// Orders the queued tasks of a customer: urgent ones first with a floor share for deferrable ones,
// then by age.
//
//   queue.add(id, spec.priority);
//   queue.wake(now);
//   if (const task_id* id = queue.front()) ...   // then started(*id) or delay(*id, until)
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

class dispatch_queue {
 public:
  explicit dispatch_queue(double deferrable_floor) : deferrable_floor_(deferrable_floor) {}

  // Adds a task. A task keeps its age when it is added again after an attempt.
  void add(const task_id& id, urgency priority);
  void remove(const task_id& id);  // of a task that is not queued now but may be again
  void forget(const task_id& id);  // of a task that ended

  // Takes a task out of the order until `until`.
  void delay(const task_id& id, time_point until);
  // Puts delayed tasks whose time has come back into the order.
  void wake(time_point now);

  // Returns the task to start next, or null. The pointer is valid until the next change.
  const task_id* front() const;
  // Removes a task that was started and counts it for the shares.
  void started(const task_id& id);

  std::size_t size() const { return ready_[0].size() + ready_[1].size() + delayed_.size(); }

 private:
  struct place {
    urgency priority = urgency::deferrable;
    std::uint64_t age = 0;
    bool ready = false;
    bool delayed = false;
    time_point until;
  };
  std::map<std::uint64_t, task_id>& ready_of(const place& at) {
    return ready_[static_cast<std::size_t>(at.priority)];
  }
  void take_out(const task_id& id, place& at);
  void make_ready(const task_id& id, place& at);
  urgency next_kind() const;

  double deferrable_floor_;
  double deferrable_credit_ = 0;  // dispatches that deferrable tasks are owed
  std::uint64_t last_age_ = 0;
  std::map<std::uint64_t, task_id> ready_[2];  // by age, for each urgency
  std::set<std::pair<time_point, task_id>> delayed_;
  std::unordered_map<task_id, place> places_;
};

}  // namespace coltsfoot
