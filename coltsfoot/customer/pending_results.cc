#include "coltsfoot/customer/pending_results.h"

namespace coltsfoot {

void pending_results::open(call_id call, result_kind kind, const std::vector<task_id>& tasks,
                           time_point deadline, outbox& out) {
  waiting_call& waiting = calls_[call];
  waiting.kind = kind;
  waiting.deadline = deadline;
  waiting.missing = tasks.size();
  waiting.known.resize(tasks.size());
  for (const task_id& task : tasks) waiting.results.push_back({.task = task});
  deadlines_.emplace(deadline, call);
  if (tasks.empty()) answer(call, out);
}

void pending_results::settle(const result_slot& slot, submit_status status,
                             const std::string& reason, duration retry_after, outbox& out) {
  const auto found = calls_.find(slot.call);
  if (found == calls_.end() || found->second.known[slot.index]) return;
  submit_result& result = found->second.results[slot.index];
  result.status = status;
  result.reason = reason;
  result.retry_after = retry_after;
  found->second.known[slot.index] = true;
  if (--found->second.missing == 0) answer(slot.call, out);
}

void pending_results::answer(call_id call, outbox& out) {
  const auto found = calls_.find(call);
  waiting_call waiting = std::move(found->second);
  calls_.erase(found);
  deadlines_.erase({waiting.deadline, call});
  if (waiting.kind == result_kind::submit) {
    out.push(send_peer_reply{call, submit_tasks_reply{std::move(waiting.results)}});
  } else {
    out.push(send_peer_reply{call, cancel_tasks_reply{std::move(waiting.results)}});
  }
}

void pending_results::answer_unknown(call_id call, const std::string& reason, outbox& out) {
  waiting_call& waiting = calls_.at(call);
  for (std::size_t i = 0; i < waiting.results.size(); ++i) {
    if (waiting.known[i]) continue;
    waiting.results[i].status = submit_status::unknown;
    waiting.results[i].reason = reason;
  }
  answer(call, out);
}

void pending_results::expire(time_point now, outbox& out) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    answer_unknown(deadlines_.begin()->second, "not confirmed in time; ask by id", out);
  }
}

void pending_results::expire_all(const std::string& reason, outbox& out) {
  while (!deadlines_.empty()) answer_unknown(deadlines_.begin()->second, reason, out);
}

}  // namespace coltsfoot
