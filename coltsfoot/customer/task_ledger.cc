#include "coltsfoot/customer/task_ledger.h"

#include <algorithm>
#include <type_traits>

namespace coltsfoot {

bool task_ledger::apply(const record& entry) {
  return std::visit([this](const auto& body) { return on(body); }, entry);
}

const ledger_task* task_ledger::find(const task_id& id) const {
  const auto found = tasks_.find(id);
  return found == tasks_.end() ? nullptr : &found->second;
}

ledger_task* task_ledger::open_task(const task_id& id) {
  const auto found = tasks_.find(id);
  return found == tasks_.end() || !found->second.is_open() ? nullptr : &found->second;
}

bool task_ledger::on(const task_accepted_record& entry) {
  const auto [found, inserted] = tasks_.try_emplace(entry.spec.id);
  if (!inserted) return false;
  found->second.spec = entry.spec;
  found->second.candidates = entry.candidates;
  ++open_[static_cast<std::size_t>(entry.spec.priority)];
  return true;
}

bool task_ledger::on(const task_candidates_record& entry) {
  ledger_task* task = open_task(entry.task);
  if (task == nullptr) return false;
  for (const rack_id& rack : entry.candidates) {
    if (std::ranges::find(task->candidates, rack) == task->candidates.end()) {
      task->candidates.push_back(rack);
    }
  }
  return true;
}

bool task_ledger::on(const start_intent_record& entry) {
  ledger_task* task = open_task(entry.task);
  if (task == nullptr || entry.attempt <= task->last_ended) return false;
  task->intent = start_intent{entry.attempt, entry.rack};
  return true;
}

bool task_ledger::end_attempt(ledger_task& task, const attempt_number& attempt) {
  if (task.intent && task.intent->attempt <= attempt) task.intent.reset();
  if (attempt <= task.last_ended) return false;
  task.last_ended = attempt;
  return true;
}

bool task_ledger::on(const start_void_record& entry) {
  ledger_task* task = open_task(entry.task);
  return task != nullptr && end_attempt(*task, entry.attempt);
}

bool task_ledger::on(const task_evicted_record& entry) {
  ledger_task* task = open_task(entry.task);
  if (task == nullptr) return false;
  // An eviction without a checkpoint keeps the older one, from which the task can still resume.
  if (entry.attempt > task->checkpoint_attempt && !entry.checkpoint.empty()) {
    task->checkpoint = entry.checkpoint;
    task->checkpoint_attempt = entry.attempt;
  }
  return end_attempt(*task, entry.attempt);
}

bool task_ledger::on(const attempt_failed_record& entry) {
  ledger_task* task = open_task(entry.task);
  if (task == nullptr) return false;
  const bool known = std::ranges::find(task->failures, entry.attempt, &failed_attempt::attempt) !=
                     task->failures.end();
  if (!known && !entry.worker.empty()) {
    task->failures.push_back({entry.attempt, entry.worker, entry.reason});
  }
  return end_attempt(*task, entry.attempt);
}

bool task_ledger::on(const cancel_requested_record& entry) {
  ledger_task* task = open_task(entry.task);
  if (task == nullptr || task->cancel_requested) return false;
  task->cancel_requested = true;
  return true;
}

bool task_ledger::on(const task_outcome_record& entry) {
  ledger_task* task = open_task(entry.task);
  if (task == nullptr) return false;
  task->outcome = entry;
  --open_[static_cast<std::size_t>(task->spec.priority)];
  return true;
}

bool task_ledger::on(const task_forgotten_record& entry) {
  const auto found = tasks_.find(entry.task);
  if (found == tasks_.end() || found->second.is_open()) return false;
  tasks_.erase(found);
  return true;
}

std::vector<record> task_ledger::snapshot_records() const {
  std::vector<record> out;
  for (const auto& [id, task] : tasks_) {
    out.emplace_back(task_accepted_record{task.spec, task.candidates});
    if (task.outcome) {
      out.emplace_back(*task.outcome);
      continue;
    }
    if (!task.checkpoint.empty()) {
      out.emplace_back(task_evicted_record{id, task.checkpoint_attempt, task.checkpoint});
    }
    for (const failed_attempt& failure : task.failures) {
      out.emplace_back(attempt_failed_record{id, failure.attempt, failure.worker, failure.reason});
    }
    // Restores the number of the newest ended attempt, whatever ended it.
    if (task.last_ended != attempt_number{}) {
      out.emplace_back(attempt_failed_record{.task = id, .attempt = task.last_ended});
    }
    if (task.intent) {
      out.emplace_back(start_intent_record{id, task.intent->attempt, task.intent->rack});
    }
    if (task.cancel_requested) out.emplace_back(cancel_requested_record{id});
  }
  return out;
}

const task_id* task_of(const record& entry) {
  return std::visit(
      [](const auto& body) -> const task_id* {
        if constexpr (requires {
                        { body.task } -> std::convertible_to<task_id>;
                      }) {
          return &body.task;
        } else if constexpr (std::is_same_v<std::decay_t<decltype(body)>, task_accepted_record>) {
          return &body.spec.id;
        } else {
          return nullptr;
        }
      },
      entry);
}

}  // namespace coltsfoot
