// The part of the attempt manager that talks to rack owners.

#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/customer/attempt_manager.h"
#include "coltsfoot/customer/start_choice.h"

namespace coltsfoot {
namespace {

constexpr std::uint32_t max_doublings = 8;

bool has_ended(const attempt_update& update) {
  return update.lost || update.state == attempt_state::finished ||
         update.state == attempt_state::failed || update.state == attempt_state::stopped;
}

}  // namespace

// Returns a time between half and the whole of the doubled interval.
duration attempt_manager::back_off(std::uint32_t failures) {
  const auto factor = std::int64_t{1} << std::min(failures, max_doublings);
  const duration longest = std::min(options_.retry_interval * factor, options_.max_retry_interval);
  std::uniform_int_distribution<std::int64_t> jitter{longest.count() / 2, longest.count()};
  return duration{jitter(random_)};
}

// --- Attempts ---

void attempt_manager::bind(const task_id& id, task_run& run, const attempt_number& attempt,
                           const rack_id& rack, const resources& limit) {
  run.bound = true;
  run.attempt = attempt;
  run.rack = rack;
  run.rack_epoch = 0;
  run.worker = {};
  run.limit = limit;
  run.call = 0;
  run.sends = 0;
  run.delivered = false;
  run.void_needed = false;
  run.known_at = ++sequence_;
  run.next_send = {};
  tasks_at_[rack].insert(id);
}

void attempt_manager::unbind(const task_id& id, task_run& run) {
  run.bound = false;
  run.call = 0;
  run.void_needed = false;
  run.worker = {};
  unlink(run.rack, id, run);
}

void attempt_manager::unlink(const rack_id& rack, const task_id& id, const task_run& run) {
  if ((run.bound && run.rack == rack) || run.awaiting.contains(rack)) return;
  const auto found = tasks_at_.find(rack);
  if (found == tasks_at_.end()) return;
  found->second.erase(id);
  if (found->second.empty()) tasks_at_.erase(found);
}

void attempt_manager::release(const task_id& id, const attempt_number& attempt) {
  account_.release({id, attempt});
}

void attempt_manager::make_stray(const task_id& id, const attempt_number& attempt,
                                 const rack_id& rack, const resources& limit) {
  if (!account_.is_charged({id, attempt})) account_.charge({id, attempt}, limit);
  strays_.try_emplace({id, attempt}, stray_attempt{.rack = rack});
}

bool attempt_manager::has_stray(const task_id& id) const {
  const auto next = strays_.lower_bound({id, {}});
  return next != strays_.end() && next->first.first == id;
}

// Returns 0 if the owner of the rack is not known.
call_id attempt_manager::send(sent_call origin, peer_request request, unit_context& context) {
  std::string address = context.directory.owner_address(rack_unit(origin.rack));
  if (address.empty()) return 0;
  const call_id call = context.out.new_call();
  calls_.emplace(call, std::move(origin));
  context.out.push(send_peer_request{.call = call,
                                     .address = std::move(address),
                                     .request = std::move(request),
                                     .timeout = options_.place_timeout});
  return call;
}

bool attempt_manager::on_replied(call_id call, const reply_type& reply, time_point now,
                                 unit_context& context) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return false;
  const sent_call sent = found->second;
  calls_.erase(found);
  ++sequence_;
  switch (sent.kind) {
    case call_kind::place:
      --places_in_flight_;
      on_placed(sent, reply, now, context);
      break;
    case call_kind::stop:
      --stops_in_flight_;
      on_stopped(sent, reply, now, context);
      break;
    case call_kind::stop_stray:
      --stops_in_flight_;
      on_stray_stopped(sent, reply, now);
      break;
    case call_kind::query:
      on_queried(sent, reply, now, context);
      break;
  }
  return true;
}

void attempt_manager::on_placed(const sent_call& sent, const reply_type& reply, time_point now,
                                unit_context& context) {
  const auto& [id, attempt] = sent.attempt;
  const auto found = runs_.find(id);
  if (found == runs_.end() || !found->second.bound || found->second.attempt != attempt) return;
  task_run& run = found->second;
  if (run.phase != task_phase::placing) return;  // an update was faster
  run.call = 0;
  run.known_at = sequence_;
  run.next_send = now + back_off(run.sends);
  attention_.insert(id);
  const ledger_task& task = *ledger_.find(id);
  if (!reply) {
    context.out.count("customer_place_failures_total");
    if (reply.error() == peer_failure::not_processed && !run.delivered) {
      on_refused(id, task, run, "not delivered", duration{0}, now, context);
    } else if (reply.error() == peer_failure::unknown) {
      run.delivered = true;
    }
    return;
  }
  const auto* placed = std::get_if<place_task_reply>(&*reply);
  if (placed == nullptr) {
    run.delivered = true;
    return;
  }
  switch (placed->status) {
    case place_status::placed:
      run.worker = placed->worker;
      run.refusals = 0;
      run.next_send = now;
      move(id, run, "placed", context);
      context.out.count("customer_tasks_placed_total");
      break;
    case place_status::refused:
      on_refused(id, task, run, placed->reason, placed->retry_after, now, context);
      break;
    case place_status::stale_customer:
      stale_ = true;
      context.out.log(severity::warning, "event=stale_customer rack=" + log_value(sent.rack.value));
      break;
    case place_status::not_owner:
      // Certainly not started, unless an earlier copy reached the owner that it names.
      if (!run.delivered) {
        on_refused(id, task, run, "owner has changed", placed->retry_after, now, context);
      }
      break;
    case place_status::recovering:
      break;
  }
}

void attempt_manager::on_refused(const task_id& id, const ledger_task& task, task_run& run,
                                 const std::string& reason, duration retry_after, time_point now,
                                 unit_context& context) {
  context.out.count("customer_place_refusals_total");
  run.not_before[run.rack] =
      now + wait_after_refusal(task.spec.priority, retry_after, back_off(run.refusals++));
  run.reason = "refused by " + run.rack.value + ": " + reason;
  release(id, run.attempt);
  if (!task.spec.idempotent) {
    run.void_needed = true;
    run.next_send = now;
    return;
  }
  unbind(id, run);
  move(id, run, "refused", context);
  requeue(id, run);
}

// Takes an attempt of an idempotent task that its rack doesn't hold and will never start.
void attempt_manager::drop_unheld(const task_id& id, task_run& run, unit_context& context) {
  context.out.count("customer_attempts_unheld_total");
  run.reason = "not held by the new owner of " + run.rack.value;
  release(id, run.attempt);
  unbind(id, run);
  move(id, run, "refused", context);
  requeue(id, run);
}

bool attempt_manager::is_newest_owner(const rack_id& rack, epoch rack_epoch,
                                      const unit_context& context) {
  const unit_entry* owner = context.directory.find(rack_unit(rack));
  epoch& newest = rack_epochs_[rack];
  newest = std::max({newest, rack_epoch, owner == nullptr ? epoch{0} : owner->unit_epoch});
  return rack_epoch == newest;
}

void attempt_manager::on_stopped(const sent_call& sent, const reply_type& reply, time_point now,
                                 unit_context& context) {
  const auto& [id, attempt] = sent.attempt;
  const auto found = runs_.find(id);
  if (found == runs_.end() || !found->second.bound || found->second.attempt != attempt) return;
  task_run& run = found->second;
  run.call = 0;
  run.next_send = now + back_off(run.refusals++);
  const auto* stopped = reply ? std::get_if<stop_task_reply>(&*reply) : nullptr;
  if (stopped == nullptr) return;
  if (stopped->status == place_status::stale_customer) stale_ = true;
  if (stopped->status == place_status::refused && !run.record_pending) {
    on_lost(id, run, "not held by the rack", context);
  }
}

void attempt_manager::on_stray_stopped(const sent_call& sent, const reply_type& reply,
                                       time_point now) {
  const auto found = strays_.find(sent.attempt);
  if (found == strays_.end()) return;
  found->second.call = 0;
  found->second.next_send = now + back_off(0);
  const auto* stopped = reply ? std::get_if<stop_task_reply>(&*reply) : nullptr;
  if (stopped == nullptr || stopped->status != place_status::refused) return;
  release(sent.attempt.first, sent.attempt.second);
  strays_.erase(found);
}

void attempt_manager::stop_strays(time_point now, unit_context& context) {
  for (auto& [attempt, stray] : strays_) {
    if (stray.call != 0 || now < stray.next_send) continue;
    if (stops_in_flight_ >= options_.max_stops_in_flight) return;
    stray.next_send = now + back_off(0);
    stray.call = send(
        {call_kind::stop_stray, attempt, stray.rack},
        stop_task{stray.rack, epoch_, {options_.customer, attempt.first, attempt.second}}, context);
    if (stray.call != 0) ++stops_in_flight_;
  }
}

// --- Updates ---

task_updates_reply attempt_manager::on_updates(const task_updates& message, time_point now,
                                               unit_context& context) {
  task_updates_reply reply;
  if (!is_newest_owner(message.rack, message.rack_epoch, context)) {
    context.out.count("customer_former_rack_reports_total");
    return reply;
  }
  for (const attempt_update& update : message.updates) {
    switch (on_update(message.rack, update, now, context)) {
      case disposition::recorded:
        reply.recorded.push_back(update.attempt);
        break;
      case disposition::obsolete:
        reply.obsolete.push_back(update.attempt);
        break;
      case disposition::none:
        break;
    }
  }
  return reply;
}

attempt_manager::disposition attempt_manager::on_update(const rack_id& rack,
                                                        const attempt_update& update,
                                                        time_point /*now*/, unit_context& context) {
  const task_id& id = update.attempt.task;
  const attempt_number& attempt = update.attempt.attempt;
  if (!owning_ || attempt.customer_epoch > epoch_) return disposition::none;
  const bool ended = has_ended(update);
  const ledger_task* task = ledger_.find(id);
  if (task == nullptr || !task->is_open()) {
    if (ended) {
      release(id, attempt);
      strays_.erase({id, attempt});
      return disposition::recorded;
    }
    const bool may_be_unknown_yet = task == nullptr && recovering_ > 0;
    return may_be_unknown_yet ? disposition::none : disposition::obsolete;
  }
  task_run& run = runs_.at(id);
  const bool over = attempt <= task->last_ended || (run.bound && attempt < run.attempt);
  if (over && ended) {
    release(id, attempt);
    strays_.erase({id, attempt});
    return disposition::recorded;
  }
  if (over) {
    make_stray(id, attempt, rack, update.limit);
    return run.phase == task_phase::recovering ? disposition::none : disposition::obsolete;
  }
  if (run.record_pending) return disposition::none;
  if (run.bound && attempt > run.attempt) {
    make_stray(id, run.attempt, run.rack, run.limit);
    unbind(id, run);
  }
  if (ended) {
    on_ended(id, *task, run, update, context);
  } else {
    on_running(id, run, rack, update, context);
  }
  return disposition::none;
}

void attempt_manager::on_running(const task_id& id, task_run& run, const rack_id& rack,
                                 const attempt_update& update, unit_context& context) {
  sizes_.report(ledger_.find(id)->spec, update.peak_used);
  if (!run.bound) {
    queue_.remove(id);
    account_.charge({id, update.attempt.attempt}, update.limit);
    bind(id, run, update.attempt.attempt, rack, update.limit);
    if (run.phase == task_phase::queued || run.phase == task_phase::recovering) {
      move(id, run, "found_running", context);
    }
    context.out.count("customer_attempts_found_total");
  }
  run.known_at = ++sequence_;
  run.worker = update.worker;
  run.void_needed = false;
  if (run.phase == task_phase::placing) {
    run.call = 0;
    move(id, run, "placed", context);
  }
  attention_.insert(id);
}

// Whether a task has failed often enough, on enough different workers, to end as failed.
bool attempt_manager::give_up(const ledger_task& task, const attempt_update& update,
                              const unit_context& context) const {
  std::set<worker_id> workers{update.worker};
  for (const failed_attempt& failure : task.failures) workers.insert(failure.worker);
  const std::size_t needed =
      std::min<std::size_t>(options_.min_failed_workers, context.hosts.workers.size());
  return task.failures.size() + 1 >= options_.max_attempts && workers.size() >= needed;
}

// Appends the record that follows from the end of an attempt; the task moves on when it is applied.
void attempt_manager::on_ended(const task_id& id, const ledger_task& task, task_run& run,
                               const attempt_update& update, unit_context& context) {
  const attempt_number& attempt = update.attempt.attempt;
  release(id, attempt);
  queue_.remove(id);
  sizes_.report(task.spec, update.peak_used);
  // A lost attempt may be seen to finish later, but its result was given up with it.
  const bool finished = update.state == attempt_state::finished && !update.lost;
  const bool evicted = update.state == attempt_state::stopped && !update.lost;
  const auto end_as = [&](outcome_kind outcome, std::string reason) {
    append_outcome(id, run, attempt, outcome, std::move(reason), context);
  };
  if (finished) {
    append_for(run,
               task_outcome_record{.task = id,
                                   .attempt = attempt,
                                   .outcome = outcome_kind::finished,
                                   .result = update.result,
                                   .ended_at = context.wall},
               context);
    return;
  }
  if (!task.spec.idempotent && update.started) {
    if (evicted && task.cancel_requested) return end_as(outcome_kind::cancelled, "cancelled");
    const bool known_failure = update.state == attempt_state::failed && !update.lost;
    return end_as(outcome_kind::failed, known_failure ? update.reason : "outcome unknown");
  }
  if (task.cancel_requested) return end_as(outcome_kind::cancelled, "cancelled");
  if (update.lost || (evicted && !task.spec.idempotent)) {
    context.out.count("customer_attempts_lost_total");
    const std::string reason = update.reason.empty() ? "worker lost" : update.reason;
    return append_for(run, attempt_failed_record{id, attempt, worker_id{}, reason}, context);
  }
  if (evicted) {
    context.out.count("customer_evictions_total");
    return append_for(run, task_evicted_record{id, attempt, update.checkpoint}, context);
  }
  context.out.count("customer_attempts_failed_total");
  if (is_out_of_memory(update.reason)) sizes_.report_out_of_memory(task.spec, update.limit);
  if (give_up(task, update, context)) return end_as(outcome_kind::failed, update.reason);
  append_for(run, attempt_failed_record{id, attempt, update.worker, update.reason}, context);
}

// The rack no longer knows the attempt, so that it doesn't run; how it ended is not known.
void attempt_manager::on_lost(const task_id& id, task_run& run, std::string reason,
                              unit_context& context) {
  on_ended(id, *ledger_.find(id), run,
           {.attempt = {options_.customer, id, run.attempt},
            .worker = run.worker,
            .lost = true,
            .reason = std::move(reason)},
           context);
}

// --- Queries ---

void attempt_manager::send_queries(time_point now, unit_context& context) {
  if (stale_) return;
  std::erase_if(queries_, [this](const auto& entry) {
    return entry.second.call == 0 && !tasks_at_.contains(entry.first);
  });
  for (const auto& [rack, tasks] : tasks_at_) {
    const auto [found, inserted] = queries_.try_emplace(rack);
    rack_query& query = found->second;
    if (inserted) query.next_send = now + options_.query_interval;
    if (query.call != 0 || now < query.next_send) continue;
    query.sent_at = ++sequence_;
    query.next_send = now + back_off(query.failures);
    query.call =
        send({call_kind::query, {}, rack}, query_tasks{rack, options_.customer, epoch_}, context);
    if (query.call == 0) ++query.failures;
  }
}

void attempt_manager::on_queried(const sent_call& sent, const reply_type& reply, time_point now,
                                 unit_context& context) {
  const auto found = queries_.find(sent.rack);
  if (found == queries_.end()) return;
  rack_query& query = found->second;
  query.call = 0;
  const auto* answer = reply ? std::get_if<query_tasks_reply>(&*reply) : nullptr;
  if (answer != nullptr && answer->status == place_status::stale_customer) stale_ = true;
  if (answer == nullptr || answer->status != place_status::placed ||
      !is_newest_owner(sent.rack, answer->rack_epoch, context)) {
    query.next_send = now + back_off(query.failures++);
    return;
  }
  query.failures = 0;
  query.answered_by = answer->rack_epoch;
  query.next_send = now + options_.query_interval;
  std::set<plan_account::key> held;
  for (const attempt_update& update : answer->held) {
    held.emplace(update.attempt.task, update.attempt.attempt);
    on_update(sent.rack, update, now, context);
  }
  check_tasks_of(sent.rack, held, query, now, context);
}

// Looks at the tasks that depend on a rack after it has told all that it holds. Only attempts that
// the rack confirmed before the query was sent must be in its list. The place request of one that
// it never confirmed may still be under way: the answer to a stop is what keeps it from starting.
void attempt_manager::check_tasks_of(const rack_id& rack, const std::set<plan_account::key>& held,
                                     const rack_query& query, time_point now,
                                     unit_context& context) {
  std::erase_if(strays_, [&](const auto& entry) {
    if (entry.second.rack != rack || entry.second.call != 0 || held.contains(entry.first)) {
      return false;
    }
    release(entry.first.first, entry.first.second);
    return true;
  });
  const auto at_rack = tasks_at_.find(rack);
  if (at_rack == tasks_at_.end()) return;
  const std::set<task_id> ids = at_rack->second;
  for (const task_id& id : ids) {
    task_run& run = runs_.at(id);
    const ledger_task& task = *ledger_.find(id);
    if (run.awaiting.erase(rack) > 0) {
      unlink(rack, id, run);
      if (run.awaiting.empty()) finish_recovery(id, run, context);
    }
    if (!run.bound || run.rack != rack || run.record_pending || run.known_at > query.sent_at ||
        held.contains({id, run.attempt})) {
      continue;
    }
    const bool confirmed = run.phase == task_phase::running || run.phase == task_phase::stopping;
    const bool unconfirmed = run.phase == task_phase::placing && !task.spec.idempotent &&
                             run.delivered && run.call == 0 && !run.void_needed;
    if (confirmed) {
      on_lost(id, run, "not held by the rack", context);
    } else if (unconfirmed) {
      send_stop(id, run, now, context);
    } else if (run.phase == task_phase::placing && task.spec.idempotent && run.sends > 0 &&
               run.rack_epoch < query.answered_by) {
      drop_unheld(id, run, context);
    }
  }
}

}  // namespace coltsfoot
