// The durable state of a customer's tasks: a fold of the records of its stream.
//
//   ledger.apply(entry);
//   if (const ledger_task* task = ledger.find(id)) ...
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/model/records.h"

namespace coltsfoot {

// An attempt of a non-idempotent task that may have been sent to a rack.
struct start_intent {
  attempt_number attempt;
  rack_id rack;
};

struct failed_attempt {
  attempt_number attempt;
  worker_id worker;
  std::string reason;
};

struct ledger_task {
  task_spec spec;
  std::vector<rack_id> candidates;
  std::string checkpoint;  // of the newest eviction
  attempt_number checkpoint_attempt;
  std::vector<failed_attempt> failures;  // without attempts that were lost with their worker
  attempt_number last_ended;             // newest attempt that is recorded as over
  bool cancel_requested = false;
  std::optional<start_intent> intent;
  std::optional<task_outcome_record> outcome;

  bool is_open() const { return !outcome; }
};

class task_ledger {
 public:
  // Applies a record. Returns whether it changed anything: records of unknown or ended tasks and
  // repeated records don't.
  bool apply(const record& entry);

  // Returns records that rebuild this state when applied to an empty ledger.
  std::vector<record> snapshot_records() const;

  const ledger_task* find(const task_id& id) const;
  const std::map<task_id, ledger_task>& tasks() const { return tasks_; }
  std::size_t open_count(urgency priority) const {
    return open_[static_cast<std::size_t>(priority)];
  }

 private:
  bool on(const task_accepted_record& entry);
  bool on(const task_candidates_record& entry);
  bool on(const start_intent_record& entry);
  bool on(const start_void_record& entry);
  bool on(const task_evicted_record& entry);
  bool on(const attempt_failed_record& entry);
  bool on(const cancel_requested_record& entry);
  bool on(const task_outcome_record& entry);
  bool on(const task_forgotten_record& entry);
  template <typename Other>
  bool on(const Other& /*of another module*/) {
    return false;
  }
  ledger_task* open_task(const task_id& id);
  bool end_attempt(ledger_task& task, const attempt_number& attempt);

  std::map<task_id, ledger_task> tasks_;
  std::size_t open_[2] = {0, 0};
};

// Returns the task that a record of this module is about, or null.
const task_id* task_of(const record& entry);

}  // namespace coltsfoot
