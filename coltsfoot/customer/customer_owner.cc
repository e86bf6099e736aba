#include "coltsfoot/customer/customer_owner.h"

#include <algorithm>
#include <utility>

#include "coltsfoot/customer/candidate_choice.h"
#include "coltsfoot/customer/submit_check.h"

namespace coltsfoot {
namespace {

constexpr duration log_retry_after = std::chrono::seconds{1};
constexpr duration full_retry_after = std::chrono::seconds{5};

}  // namespace

customer_owner::customer_owner(customer_owner_options options)
    : options_(std::move(options)), attempts_(options_), requests_(options_) {}

// --- Stream ---

void customer_owner::apply(const record& entry, time_point now, unit_context& context) {
  if (requests_.apply(entry, now, context)) return;
  attempts_.apply(entry, now, context);
  if (!owning_) return;
  if (const auto* accepted = std::get_if<task_accepted_record>(&entry)) {
    const auto found = submits_.find(accepted->spec.id);
    if (found == submits_.end()) return;
    --pending_by_kind_[static_cast<std::size_t>(found->second.spec.priority)];
    auto waiting = std::move(found->second.waiting);
    submits_.erase(found);
    context.out.count("customer_tasks_accepted_total");
    settle(waiting, submit_status::accepted, "", duration{0}, context);
  } else if (const auto* cancelled = std::get_if<cancel_requested_record>(&entry)) {
    const auto found = cancels_.find(cancelled->task);
    if (found == cancels_.end()) return;
    auto waiting = std::move(found->second);
    cancels_.erase(found);
    settle(waiting, submit_status::accepted, "", duration{0}, context);
  }
}

std::vector<record> customer_owner::snapshot_records() const {
  std::vector<record> out = attempts_.ledger().snapshot_records();
  std::vector<record> requests = requests_.snapshot_records();
  out.insert(out.end(), requests.begin(), requests.end());
  return out;
}

void customer_owner::start_owning(epoch unit_epoch, time_point now, unit_context& context) {
  owning_ = true;
  attempts_.start_owning(unit_epoch, now, context);
}

void customer_owner::on_dropped(const record& entry, time_point now, unit_context& context) {
  requests_.on_dropped(entry, now, context);
  attempts_.on_dropped(entry, now, context);
  const std::string reason = "the log is unavailable";
  if (const auto* accepted = std::get_if<task_accepted_record>(&entry)) {
    const auto found = submits_.find(accepted->spec.id);
    if (found == submits_.end()) return;
    --pending_by_kind_[static_cast<std::size_t>(found->second.spec.priority)];
    auto waiting = std::move(found->second.waiting);
    submits_.erase(found);
    settle(waiting, submit_status::not_run, reason, log_retry_after, context);
  } else if (const auto* cancelled = std::get_if<cancel_requested_record>(&entry)) {
    const auto found = cancels_.find(cancelled->task);
    if (found == cancels_.end()) return;
    auto waiting = std::move(found->second);
    cancels_.erase(found);
    settle(waiting, submit_status::not_run, reason, log_retry_after, context);
  }
}

void customer_owner::settle(const std::vector<result_slot>& slots, submit_status status,
                            const std::string& reason, duration retry_after,
                            unit_context& context) {
  for (const result_slot& slot : slots) {
    results_.settle(slot, status, reason, retry_after, context.out);
  }
}

// --- Requests of other nodes ---

void customer_owner::on_peer_request(call_id call, const peer_request& request, time_point now,
                                     unit_context& context) {
  if (!owning_) {
    context.out.push(refuse_peer_request{call});
    return;
  }
  if (const auto* submit = std::get_if<submit_tasks>(&request)) {
    on_submit(call, *submit, now, context);
  } else if (const auto* cancel = std::get_if<cancel_tasks>(&request)) {
    on_cancel(call, *cancel, now, context);
  } else if (const auto* query = std::get_if<query_status>(&request)) {
    on_query(call, *query, context);
  } else if (const auto* updates = std::get_if<task_updates>(&request)) {
    context.out.push(send_peer_reply{call, attempts_.on_updates(*updates, now, context)});
  } else if (const auto* once = std::get_if<run_request_once>(&request)) {
    on_run_once(call, *once, now, context);
  } else {
    context.out.push(refuse_peer_request{call});
  }
}

void customer_owner::on_submit(call_id call, const submit_tasks& message, time_point now,
                               unit_context& context) {
  std::vector<task_id> ids;
  ids.reserve(message.tasks.size());
  for (const task_spec& spec : message.tasks) ids.push_back(spec.id);
  results_.open(call, result_kind::submit, ids, now + options_.submit_timeout, context.out);
  for (std::size_t i = 0; i < message.tasks.size(); ++i) {
    submit_one({call, i}, message.tasks[i], context);
  }
}

// Returns why the queue takes no further task of this kind, or "".
std::string customer_owner::reason_full(urgency priority) const {
  const urgency other = priority == urgency::urgent ? urgency::deferrable : urgency::urgent;
  const auto count = [this](urgency kind) {
    return attempts_.ledger().open_count(kind) + pending_by_kind_[static_cast<std::size_t>(kind)];
  };
  const double other_floor =
      other == urgency::urgent ? options_.urgent_queue_floor : options_.deferrable_queue_floor;
  const auto limit = options_.open_task_limit;
  const auto own_limit = static_cast<std::size_t>(static_cast<double>(limit) * (1 - other_floor));
  const bool full = count(priority) + count(other) >= limit || count(priority) >= own_limit;
  return full ? "too many open tasks" : "";
}

void customer_owner::submit_one(const result_slot& slot, const task_spec& spec,
                                unit_context& context) {
  const auto answer = [&](submit_status status, const std::string& reason, duration wait) {
    if (status == submit_status::not_run) context.out.count("customer_tasks_refused_total");
    results_.settle(slot, status, reason, wait, context.out);
  };
  // Repeats come first: they are answered whatever the state of the log and the plan.
  if (const auto found = submits_.find(spec.id); found != submits_.end()) {
    if (is_same_spec(found->second.spec, spec)) {
      found->second.waiting.push_back(slot);
      return;
    }
    return answer(submit_status::conflict, "the id is in use by a different task", duration{0});
  }
  if (const ledger_task* known = attempts_.ledger().find(spec.id)) {
    const bool same = is_same_spec(known->spec, spec);
    return answer(same ? submit_status::accepted : submit_status::conflict,
                  same ? "" : "the id is in use by a different task", duration{0});
  }
  if (draining_) return answer(submit_status::not_run, "shutting down", log_retry_after);
  const std::string fault = reason_to_refuse(spec, options_, context.config, context.wall);
  if (!fault.empty()) return answer(submit_status::not_run, fault, duration{0});
  if (!context.log_available) {
    return answer(submit_status::not_run, "the log is unavailable", log_retry_after);
  }
  const std::string full = reason_full(spec.priority);
  if (!full.empty()) return answer(submit_status::not_run, full, full_retry_after);
  submits_.emplace(spec.id, pending_submit{spec, {slot}});
  ++pending_by_kind_[static_cast<std::size_t>(spec.priority)];
  attempts_.append_accepted(spec, context);
}

void customer_owner::on_cancel(call_id call, const cancel_tasks& message, time_point now,
                               unit_context& context) {
  results_.open(call, result_kind::cancel, message.tasks, now + options_.submit_timeout,
                context.out);
  for (std::size_t i = 0; i < message.tasks.size(); ++i) {
    cancel_one({call, i}, message.tasks[i], context);
  }
}

void customer_owner::cancel_one(const result_slot& slot, const task_id& id, unit_context& context) {
  const auto answer = [&](submit_status status, const std::string& reason) {
    results_.settle(slot, status, reason, duration{0}, context.out);
  };
  const ledger_task* task = attempts_.ledger().find(id);
  if (task == nullptr) return answer(submit_status::not_run, "unknown task");
  if (task->outcome && task->outcome->outcome != outcome_kind::cancelled) {
    return answer(submit_status::not_run,
                  "already ended: " + std::string{name_of(task->outcome->outcome)});
  }
  if (task->outcome || task->cancel_requested) return answer(submit_status::accepted, "");
  if (const auto found = cancels_.find(id); found != cancels_.end()) {
    found->second.push_back(slot);
    return;
  }
  if (!context.log_available) return answer(submit_status::not_run, "the log is unavailable");
  cancels_[id].push_back(slot);
  context.out.count("customer_cancellations_total");
  attempts_.append(cancel_requested_record{id}, context);
}

void customer_owner::on_query(call_id call, const query_status& message, unit_context& context) {
  query_status_reply reply;
  if (message.tasks.empty()) {
    for (const auto& [id, task] : attempts_.ledger().tasks()) {
      reply.tasks.push_back(attempts_.status_of(id));
    }
  }
  for (const task_id& id : message.tasks) {
    if (attempts_.ledger().find(id) != nullptr) reply.tasks.push_back(attempts_.status_of(id));
  }
  context.out.push(send_peer_reply{call, std::move(reply)});
}

void customer_owner::on_run_once(call_id call, const run_request_once& message, time_point now,
                                 unit_context& context) {
  // A repeat may have been run, so that it is never refused as "not run" because of the drain.
  if (draining_ && !requests_.answer_of_repeat(message.request.id)) {
    context.out.push(send_peer_reply{call, request_reply{{.reason = refusal_reason::shutting_down,
                                                          .executed = execution::not_run,
                                                          .retry_after = log_retry_after,
                                                          .detail = "the owner is changing"}}});
    return;
  }
  requests_.on_request(call, message.request, now, context);
}

void customer_owner::on_peer_replied(call_id call,
                                     const tl::expected<peer_reply, peer_failure>& reply,
                                     time_point now, unit_context& context) {
  if (requests_.on_replied(call, reply, now, context)) return;
  attempts_.on_replied(call, reply, now, context);
}

// --- Ownership ---

void customer_owner::on_ownership_lost(time_point /*now*/, unit_context& context) {
  owning_ = false;
  results_.expire_all("ownership lost; ask by id", context.out);
  requests_.on_ownership_lost(context);
}

void customer_owner::on_tick(time_point now, unit_context& context) {
  if (!owning_) return;
  results_.expire(now, context.out);
  requests_.on_tick(now, context);
  attempts_.on_tick(now, context);
}

bool customer_owner::drain(time_point /*now*/, unit_context& /*context*/) {
  draining_ = true;
  attempts_.drain();
  return attempts_.idle() && requests_.idle() && results_.empty();
}

unit_entry customer_owner::describe(time_point /*now*/) const {
  return {.ready = owning_ && !draining_};
}

}  // namespace coltsfoot
