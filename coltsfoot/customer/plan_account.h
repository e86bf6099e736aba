// Accounts for what a customer uses of its plan: the sum of the limits of all attempts that run or
// may run.
//
//   account.charge({task, attempt}, limit);       // before place_task is sent
//   account.release({task, attempt});             // when the rack says refused, ended or lost
#pragma once

#include <map>
#include <utility>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

class plan_account {
 public:
  using key = std::pair<task_id, attempt_number>;

  // Sets the charge of an attempt; a former charge of the same attempt is replaced.
  void charge(const key& attempt, const resources& limit);

  // Releases the charge of an attempt, if it has one.
  void release(const key& attempt);

  bool is_charged(const key& attempt) const { return charges_.contains(attempt); }
  const resources& used() const { return used_; }

  // Whether `limit` may be charged in addition without exceeding `plan_limit`. False for every
  // limit while the use exceeds the plan in any kind, for instance after the plan was lowered.
  bool has_room(const resources& limit, const resources& plan_limit) const;

 private:
  std::map<key, resources> charges_;
  resources used_;
};

}  // namespace coltsfoot
