#include "coltsfoot/customer/attempt_manager.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/customer/candidate_choice.h"
#include "coltsfoot/customer/start_choice.h"

namespace coltsfoot {
namespace {

// Time after which an infeasible task is checked against the plan and the hosts again.
constexpr duration infeasible_check_interval = std::chrono::seconds{1};
// Bounds the records that one tick appends to forget old tasks.
constexpr std::size_t max_forgotten_per_tick = 256;
// Bounds the workers that a rack is asked to avoid.
constexpr std::size_t max_avoided_workers = 8;

bool is_ended_phase(task_phase phase) {
  return phase == task_phase::finished || phase == task_phase::failed ||
         phase == task_phase::cancelled;
}

std::string text_of(const attempt_number& attempt) {
  return fmt::format("{}.{}", attempt.customer_epoch, attempt.counter);
}

std::string text_of(const resources& size) {
  return fmt::format("{}m/{}MB/{}", size.millicores, size.memory_mb, size.accelerators);
}

// Returns the last workers on which attempts failed, fewer than there are workers.
std::vector<worker_id> workers_to_avoid(const ledger_task& task, std::size_t listed_workers) {
  std::vector<worker_id> out;
  const std::size_t limit =
      std::min(max_avoided_workers, listed_workers > 0 ? listed_workers - 1 : 0);
  for (auto it = task.failures.rbegin(); it != task.failures.rend() && out.size() < limit; ++it) {
    if (std::ranges::find(out, it->worker) == out.end()) out.push_back(it->worker);
  }
  return out;
}

}  // namespace

attempt_manager::attempt_manager(const customer_owner_options& options)
    : options_(options), random_(options.seed), queue_(options.deferrable_dispatch_floor) {}

// --- Records ---

void attempt_manager::append(record entry, unit_context& context) {
  ++records_in_flight_;
  context.append.push_back(std::move(entry));
}

void attempt_manager::append_accepted(const task_spec& spec, unit_context& context) {
  auto candidates = choose_candidates(
      context.directory, {.limit = sizes_.limit_for(spec), .count = options_.candidate_count},
      random_);
  append(task_accepted_record{spec, std::move(candidates)}, context);
}

void attempt_manager::append_for(task_run& run, record entry, unit_context& context) {
  run.record_pending = true;
  append(std::move(entry), context);
}

bool attempt_manager::apply(const record& entry, time_point now, unit_context& context) {
  const task_id* id = task_of(entry);
  if (id == nullptr) return false;
  const bool changed = ledger_.apply(entry);
  if (!owning_) return changed;
  if (records_in_flight_ > 0) --records_in_flight_;
  if (const auto* accepted = std::get_if<task_accepted_record>(&entry)) {
    if (!changed) return false;
    runs_.try_emplace(*id);
    queue_.add(*id, accepted->spec.priority);
  } else if (const auto* outcome = std::get_if<task_outcome_record>(&entry)) {
    if (changed) end_task(*outcome, context);
  } else if (const auto* intent = std::get_if<start_intent_record>(&entry)) {
    on_intent(*intent, now, context);
  } else if (const auto* voided = std::get_if<start_void_record>(&entry)) {
    on_attempt_over(*id, voided->attempt, "refused", now, context);
  } else if (const auto* evicted = std::get_if<task_evicted_record>(&entry)) {
    on_attempt_over(*id, evicted->attempt, "attempt_ended", now, context);
  } else if (const auto* failed = std::get_if<attempt_failed_record>(&entry)) {
    on_attempt_over(*id, failed->attempt, "attempt_ended", now, context);
    wait_after_failure(*failed, now);
  } else if (const auto run = runs_.find(*id); run != runs_.end()) {
    if (std::holds_alternative<task_candidates_record>(entry)) {
      run->second.candidates_pending = false;
      run->second.no_room_since.reset();
      if (run->second.phase == task_phase::queued && !run->second.bound) queue_.delay(*id, now);
    } else if (std::holds_alternative<cancel_requested_record>(entry)) {
      attention_.insert(*id);
    }
  }
  return changed;
}

void attempt_manager::on_dropped(const record& entry, time_point now, unit_context& context) {
  const task_id* id = task_of(entry);
  if (id == nullptr) return;
  if (records_in_flight_ > 0) --records_in_flight_;
  if (std::holds_alternative<task_forgotten_record>(entry)) {
    if (ledger_.find(*id) != nullptr) ended_.emplace(context.wall + options_.clock_margin, *id);
    return;
  }
  const auto found = runs_.find(*id);
  if (found == runs_.end()) return;
  task_run& run = found->second;
  if (std::holds_alternative<task_candidates_record>(entry)) {
    run.candidates_pending = false;
    return;
  }
  if (std::holds_alternative<task_accepted_record>(entry) ||
      std::holds_alternative<cancel_requested_record>(entry)) {
    return;
  }
  attention_.insert(*id);
  if (!std::holds_alternative<start_intent_record>(entry)) {
    // The end of an attempt stays true. Starting the task before it is recorded would lose a result
    // or a checkpoint, so that the task waits until the record is written.
    run.retry = entry;
    return;
  }
  run.record_pending = false;
  if (!run.bound) return;
  release(*id, run.attempt);
  unbind(*id, run);
  requeue(*id, run);
  delay(*id, run, "the log is unavailable", now + back_off(0));
}

bool attempt_manager::move(const task_id& id, task_run& run, std::string_view event,
                           unit_context& context) {
  const auto next = next_state(options_.task_chart, run.phase, event);
  if (!next) {
    context.out.count("customer_undefined_transitions_total");
    context.out.log(
        severity::error,
        fmt::format("event=undefined_transition chart=task state={} transition={} task={}",
                    name_of(run.phase), event, log_value(id.value)));
    return false;
  }
  if (run.phase == task_phase::recovering && *next != run.phase && recovering_ > 0) --recovering_;
  run.phase = *next;
  return true;
}

void attempt_manager::end_task(const task_outcome_record& entry, unit_context& context) {
  const auto found = runs_.find(entry.task);
  if (found != runs_.end()) {
    task_run& run = found->second;
    move(entry.task, run, name_of(entry.outcome), context);
    if (run.bound) {
      release(entry.task, run.attempt);
      unbind(entry.task, run);
    }
    release(entry.task, {});
    for (const rack_id& rack : std::exchange(run.awaiting, {})) unlink(rack, entry.task, run);
    runs_.erase(found);
  }
  attention_.erase(entry.task);
  queue_.forget(entry.task);
  const auto& spec = ledger_.find(entry.task)->spec;
  ended_.emplace(
      std::max(entry.ended_at, spec.issued_at) + options_.id_window + options_.clock_margin,
      entry.task);
  context.out.count(fmt::format("customer_tasks_{}_total", name_of(entry.outcome)));
  context.out.log(severity::info, fmt::format("event=task_ended task={} outcome={} reason={}",
                                              log_value(entry.task.value), name_of(entry.outcome),
                                              log_value(entry.reason)));
}

void attempt_manager::on_attempt_over(const task_id& id, const attempt_number& attempt,
                                      std::string_view event, time_point /*now*/,
                                      unit_context& context) {
  release(id, attempt);
  strays_.erase({id, attempt});
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  task_run& run = found->second;
  run.record_pending = false;
  if (run.bound && run.attempt == attempt) {
    unbind(id, run);
    if (run.phase != task_phase::queued && run.phase != task_phase::recovering) {
      move(id, run, run.phase == task_phase::placing ? event : "attempt_ended", context);
    }
  }
  if (run.phase == task_phase::recovering && run.awaiting.empty()) {
    finish_recovery(id, run, context);
  }
  requeue(id, run);
  attention_.insert(id);
}

void attempt_manager::wait_after_failure(const attempt_failed_record& entry, time_point now) {
  // A task that was lost with its worker starts again at once; one that failed by itself would use
  // up its attempts within moments.
  const auto found = runs_.find(entry.task);
  if (entry.worker.empty() || found == runs_.end()) return;
  task_run& run = found->second;
  if (run.phase == task_phase::queued && !run.bound) {
    delay(entry.task, run, entry.reason, now + back_off(run.refusals++));
  }
}

void attempt_manager::on_intent(const start_intent_record& entry, time_point now,
                                unit_context& context) {
  const auto found = runs_.find(entry.task);
  if (found == runs_.end() || !found->second.bound || found->second.attempt != entry.attempt) {
    return;
  }
  found->second.record_pending = false;
  attention_.insert(entry.task);
  step(entry.task, now, context);
}

void attempt_manager::append_outcome(const task_id& id, task_run& run,
                                     const attempt_number& attempt, outcome_kind outcome,
                                     std::string reason, unit_context& context) {
  queue_.remove(id);
  append_for(run,
             task_outcome_record{.task = id,
                                 .attempt = attempt,
                                 .outcome = outcome,
                                 .reason = std::move(reason),
                                 .ended_at = context.wall},
             context);
}

void attempt_manager::forget_old_tasks(unit_context& context) {
  if (!context.log_available) return;
  for (std::size_t i = 0; i < max_forgotten_per_tick && !ended_.empty(); ++i) {
    if (ended_.begin()->first > context.wall) return;
    append(task_forgotten_record{ended_.begin()->second}, context);
    ended_.erase(ended_.begin());
  }
}

// --- Ownership ---

void attempt_manager::start_owning(epoch unit_epoch, time_point now, unit_context& context) {
  owning_ = true;
  epoch_ = unit_epoch;
  for (const auto& [id, task] : ledger_.tasks()) {
    if (!task.is_open()) {
      ended_.emplace(std::max(task.outcome->ended_at, task.spec.issued_at) + options_.id_window +
                         options_.clock_margin,
                     id);
      continue;
    }
    task_run& run = runs_[id];
    run.phase = task_phase::recovering;
    ++recovering_;
    run.awaiting.insert(task.candidates.begin(), task.candidates.end());
    for (const rack_id& rack : run.awaiting) {
      tasks_at_[rack].insert(id);
      queries_[rack].next_send = now;
    }
    // The limit of an attempt that may run is unknown, so that the largest possible one is charged.
    account_.charge({id, {}}, sizes_.largest_limit(task.spec));
    if (run.awaiting.empty()) finish_recovery(id, run, context);
  }
  send_queries(now, context);
}

void attempt_manager::finish_recovery(const task_id& id, task_run& run, unit_context& context) {
  release(id, {});
  if (run.phase != task_phase::recovering || run.bound || run.record_pending) return;
  const ledger_task& task = *ledger_.find(id);
  if (task.intent) {
    // No rack holds the attempt: it may have run and been lost with its worker.
    append_outcome(id, run, task.intent->attempt, outcome_kind::failed, "outcome unknown", context);
    return;
  }
  move(id, run, "none_found", context);
  requeue(id, run);
  if (task.cancel_requested) attention_.insert(id);
}

// Puts a task into the queue if nothing of it runs and no record about it is on its way.
void attempt_manager::requeue(const task_id& id, task_run& run) {
  if (run.phase != task_phase::queued || run.bound || run.record_pending) return;
  const ledger_task& task = *ledger_.find(id);
  if (!task.cancel_requested) queue_.add(id, task.spec.priority);
}

void attempt_manager::on_tick(time_point now, unit_context& context) {
  if (!owning_) return;
  send_queries(now, context);
  stop_strays(now, context);
  for (auto it = attention_.begin(); it != attention_.end();) {
    const task_id id = *it;
    ++it;
    step(id, now, context);
  }
  dispatch(now, context);
  forget_old_tasks(context);
}

// --- Dispatch ---

void attempt_manager::dispatch(time_point now, unit_context& context) {
  if (draining_ || stale_ || !context.may_act) return;
  queue_.wake(now);
  while (places_in_flight_ < options_.max_places_in_flight) {
    const task_id* front = queue_.front();
    if (front == nullptr) return;
    const task_id id = *front;
    const auto run = runs_.find(id);
    if (run == runs_.end()) {
      queue_.forget(id);
      continue;
    }
    if (try_start(id, run->second, now, context) == dispatch_result::plan_full) return;
  }
}

attempt_manager::dispatch_result attempt_manager::delay(const task_id& id, task_run& run,
                                                        std::string reason, time_point until) {
  run.reason = std::move(reason);
  queue_.delay(id, until);
  return dispatch_result::delayed;
}

attempt_manager::dispatch_result attempt_manager::try_start(const task_id& id, task_run& run,
                                                            time_point now, unit_context& context) {
  const ledger_task& task = *ledger_.find(id);
  if (run.phase != task_phase::queued || run.bound || run.record_pending || task.intent ||
      task.cancel_requested) {
    queue_.remove(id);
    return dispatch_result::delayed;
  }
  const time_point soon = now + options_.retry_interval;
  if (run.candidates_pending) return delay(id, run, "waits for more candidate racks", soon);
  if (has_stray(id)) return delay(id, run, "an older attempt is being stopped", soon);
  const plan* its_plan = context.config.plan_of(options_.customer);
  if (its_plan == nullptr) {
    return delay(id, run, "customer has no plan", now + infeasible_check_interval);
  }
  resources limit = sizes_.limit_for(task.spec);
  if (!reason_infeasible(limit, its_plan->limit, context.hosts).empty()) {
    // A correction must not make a task infeasible that is feasible as declared.
    limit = task.spec.size;
    std::string reason = reason_infeasible(limit, its_plan->limit, context.hosts);
    if (!reason.empty()) return delay(id, run, reason, now + infeasible_check_interval);
  }
  if (!account_.has_room(limit, its_plan->limit)) {
    // Smaller tasks behind this one wait too, or it would never find room.
    run.reason = "the plan is in use";
    return dispatch_result::plan_full;
  }
  if (!task.spec.idempotent && !context.log_available) {
    return delay(id, run, "the log is unavailable", soon);
  }
  start(id, task, run, limit, now, context);
  return run.bound ? dispatch_result::started : wait_for_room(id, task, run, now, context);
}

attempt_manager::dispatch_result attempt_manager::wait_for_room(const task_id& id,
                                                                const ledger_task& task,
                                                                task_run& run, time_point now,
                                                                unit_context& context) {
  if (!run.no_room_since) run.no_room_since = now;
  const bool waited = now - *run.no_room_since >= options_.candidate_wait;
  if (waited && context.log_available && task.candidates.size() < options_.max_candidates) {
    auto racks = choose_candidates(context.directory,
                                   {.limit = sizes_.limit_for(task.spec),
                                    .count = options_.candidate_count,
                                    .excluded = task.candidates},
                                   random_);
    if (!racks.empty()) {
      run.candidates_pending = true;
      append(task_candidates_record{id, std::move(racks)}, context);
    }
  }
  return delay(id, run, "no room on the candidate racks", now + options_.retry_interval);
}

void attempt_manager::start(const task_id& id, const ledger_task& task, task_run& run,
                            const resources& limit, time_point now, unit_context& context) {
  const bool waited = run.no_room_since && now - *run.no_room_since >= options_.candidate_wait;
  const auto choice = choose_start(
      task.candidates, {.limit = limit, .ignore_hints = ignores_hints(task.spec.priority, waited)},
      run.not_before, context.directory, random_, now);
  if (!choice) return;
  const attempt_number attempt{epoch_, ++last_attempt_};
  account_.charge({id, attempt}, limit);
  bind(id, run, attempt, choice->rack, limit);
  queue_.started(id);
  run.reason.clear();
  std::string runners_up;
  for (const rack_id& rack : choice->runners_up) {
    runners_up += (runners_up.empty() ? "" : ",") + rack.value;
  }
  context.out.count("customer_dispatches_total");
  context.out.log(
      severity::info,
      fmt::format("event=dispatch task={} attempt={} rack={} limit={} reason={} runners_up={}",
                  log_value(id.value), text_of(attempt), log_value(choice->rack.value),
                  text_of(limit), waited ? "hints_ignored" : "room",
                  log_value_or_none(runners_up)));
  if (task.spec.idempotent) {
    send_place(id, task, run, now, context);
  } else {
    append_for(run, start_intent_record{id, attempt, choice->rack}, context);
  }
}

void attempt_manager::step(const task_id& id, time_point now, unit_context& context) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    attention_.erase(id);
    return;
  }
  task_run& run = found->second;
  const ledger_task& task = *ledger_.find(id);
  if (run.retry && context.log_available) {
    append(*run.retry, context);
    run.retry.reset();
  }
  if (run.record_pending) return;
  if (run.phase == task_phase::recovering) {
    if (run.awaiting.empty()) finish_recovery(id, run, context);
    attention_.erase(id);
  } else if (run.phase == task_phase::placing || (run.phase == task_phase::queued && run.bound)) {
    step_placing(id, task, run, now, context);
  } else if (!task.cancel_requested) {
    attention_.erase(id);
  } else if (run.phase == task_phase::queued) {
    if (!has_stray(id) && context.log_available) {
      append_outcome(id, run, task.last_ended, outcome_kind::cancelled, "cancelled while queued",
                     context);
    }
  } else if (run.call == 0 && now >= run.next_send &&
             stops_in_flight_ < options_.max_stops_in_flight) {
    if (run.phase == task_phase::running) move(id, run, "stop_sent", context);
    send_stop(id, run, now, context);
  }
}

void attempt_manager::send_stop(const task_id& id, task_run& run, time_point now,
                                unit_context& context) {
  run.next_send = now + back_off(run.refusals);
  run.call = send({call_kind::stop, {id, run.attempt}, run.rack},
                  stop_task{run.rack, epoch_, {options_.customer, id, run.attempt}}, context);
  if (run.call != 0) ++stops_in_flight_;
}

// Whether the owner of the rack that the attempt was sent to has been replaced.
bool attempt_manager::was_replaced(const task_run& run, const unit_context& context) {
  const unit_entry* owner = context.directory.find(rack_unit(run.rack));
  return run.sends > 0 && owner != nullptr && owner->unit_epoch != run.rack_epoch;
}

void attempt_manager::step_placing(const task_id& id, const ledger_task& task, task_run& run,
                                   time_point now, unit_context& context) {
  if (run.call != 0 || now < run.next_send) return;
  const bool unsent_and_cancelled = run.phase == task_phase::queued && task.cancel_requested;
  if (run.void_needed || unsent_and_cancelled) {
    if (!context.log_available) return;
    append_for(run, start_void_record{id, run.attempt}, context);
  } else if (was_replaced(run, context) && !run.delivered) {
    on_refused(id, task, run, "owner has changed", duration{0}, now, context);
  } else if ((!task.spec.idempotent && run.delivered) || was_replaced(run, context)) {
    // Sending it again could start it a second time: the rack may have forgotten the first.
    rack_query& query = queries_[run.rack];
    query.next_send = std::min(query.next_send, now);
    run.next_send = now + options_.max_retry_interval;
  } else {
    send_place(id, task, run, now, context);
  }
}

void attempt_manager::send_place(const task_id& id, const ledger_task& task, task_run& run,
                                 time_point now, unit_context& context) {
  attention_.insert(id);
  run.next_send = now + back_off(run.sends);
  if (stale_ || !context.may_act) return;
  const unit_entry* owner = context.directory.find(rack_unit(run.rack));
  if (owner == nullptr) return;
  run.rack_epoch = owner->unit_epoch;
  const plan* its_plan = context.config.plan_of(options_.customer);
  run.call = send(
      {call_kind::place, {id, run.attempt}, run.rack},
      place_task{.rack = run.rack,
                 .rack_epoch = run.rack_epoch,
                 .customer_epoch = epoch_,
                 .attempt = run.attempt,
                 .spec = task.spec,
                 .limit = run.limit,
                 .checkpoint = task.checkpoint,
                 .avoid = workers_to_avoid(task, context.hosts.workers.size()),
                 .customer_share =
                     its_plan == nullptr ? 1.0 : dominant_share(account_.used(), its_plan->limit)},
      context);
  if (run.call == 0) return;
  ++run.sends;
  ++places_in_flight_;
  if (run.phase == task_phase::queued) move(id, run, "place_sent", context);
}

task_status attempt_manager::status_of(const task_id& id) const {
  task_status out{.id = id};
  const ledger_task* task = ledger_.find(id);
  if (task == nullptr) return out;
  out.attempt = task->last_ended;
  if (task->outcome) {
    out.phase = *parse_name<task_phase>(name_of(task->outcome->outcome));
    out.attempt = task->outcome->attempt;
    out.reason = task->outcome->reason;
    out.result = task->outcome->result;
  }
  const auto run = runs_.find(id);
  if (run == runs_.end() || is_ended_phase(out.phase)) return out;
  out.phase = run->second.phase;
  out.reason = run->second.reason;
  if (run->second.bound) {
    out.attempt = run->second.attempt;
    out.rack = run->second.rack;
    out.worker = run->second.worker;
  }
  return out;
}

}  // namespace coltsfoot
