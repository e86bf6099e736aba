// Reports of the rack owner to the owners of customers, and evictions.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/rack/rack_owner.h"

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {

worker_session* rack_owner::session_of(const attempt_id& id) {
  const auto found = index_.find(id);
  if (found == index_.end()) return nullptr;
  const auto session = sessions_.find(found->second);
  return session == sessions_.end() ? nullptr : &session->second;
}

rack_attempt* rack_owner::find_attempt(const attempt_id& id) {
  auto* session = session_of(id);
  return session == nullptr ? nullptr : session->find(id);
}

// Takes attempts that ended without the worker, since they had not been sent to it.
void rack_owner::end_attempts(const std::vector<attempt_id>& ids, time_point now,
                              unit_context& context) {
  for (const auto& id : ids) {
    const auto* attempt = find_attempt(id);
    if (attempt == nullptr) continue;
    note_end(index_.at(id), *attempt, now, context);
    if (attempt->recorded) {
      set_recorded(id);
    } else {
      reporter_.mark(id, true);
    }
  }
}

void rack_owner::send_reports(time_point now, unit_context& context) {
  for (const auto& due : reporter_.due(now)) {
    const auto address = context.directory.owner_address(customer_unit(due.customer));
    if (address.empty()) {
      reporter_.postpone(due.customer, now);
      continue;
    }
    task_updates message{
        .rack = options_.rack, .rack_epoch = epoch_, .customer = due.customer, .updates = {}};
    for (const auto& id : due.attempts) {
      const auto* attempt = find_attempt(id);
      if (attempt == nullptr) {
        reporter_.forget(id);
      } else {
        message.updates.push_back(attempt->update(index_.at(id)));
      }
    }
    if (message.updates.empty()) continue;
    const auto call = context.out.new_call();
    reporter_.sent(due, call, now);
    context.out.push(send_peer_request{.call = call,
                                       .address = address,
                                       .request = std::move(message),
                                       .timeout = options_.report_timeout});
    context.out.count("rack_reports_total");
  }
}

// Reports all attempts of a customer to a new owner.
void rack_owner::watch_customers(unit_context& context) {
  auto next = index_.begin();
  while (next != index_.end()) {
    const auto customer = next->first.customer;
    const auto* entry = context.directory.find(customer_unit(customer));
    const bool changed = entry != nullptr && reported_epochs_[customer] != entry->unit_epoch;
    if (changed) reported_epochs_[customer] = entry->unit_epoch;
    for (; next != index_.end() && next->first.customer == customer; ++next) {
      if (!changed) continue;
      const auto* attempt = find_attempt(next->first);
      if (attempt == nullptr || attempt->recorded) continue;
      reporter_.mark(next->first, attempt->ended());
    }
  }
}

void rack_owner::on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                                 time_point now, unit_context& context) {
  const auto* answer = reply ? std::get_if<task_updates_reply>(&*reply) : nullptr;
  const auto ended = reporter_.on_result(call, answer != nullptr);
  if (!ended || !owning_) return;
  if (answer == nullptr) {
    context.out.count("rack_report_failures_total");
    return;
  }
  take_report_reply(*ended, *answer, now, context);
  sync_workers(now, context);
  send_reports(now, context);
}

void rack_owner::take_report_reply(const due_report& ended, const task_updates_reply& reply,
                                   time_point now, unit_context& context) {
  for (const auto& id : reply.recorded) {
    // An attempt that was reported as running may have ended since, with a result not yet told.
    const bool told =
        std::find(ended.attempts.begin(), ended.attempts.end(), id) != ended.attempts.end();
    if (told) set_recorded(id);
  }
  for (const auto& id : reply.obsolete) stop_obsolete(id, now, context);
}

void rack_owner::stop_obsolete(const attempt_id& id, time_point now, unit_context& context) {
  auto* session = session_of(id);
  auto* attempt = session == nullptr ? nullptr : session->find(id);
  if (attempt == nullptr) return;
  context.out.count("rack_obsolete_attempts_total");
  fence_.close(id);
  attempt->recorded = true;
  reporter_.forget(id);
  if (attempt->ended()) {
    set_recorded(id);
  } else if (session->request(id, worker_command_kind::stop, now)) {
    end_attempts({id}, now, context);
  }
}

void rack_owner::set_recorded(const attempt_id& id) {
  reporter_.forget(id);
  auto* session = session_of(id);
  if (session != nullptr && session->set_recorded(id)) index_.erase(id);
}

// --- Eviction ---

eviction_worker rack_owner::eviction_view(const worker_session& session, time_point now) const {
  eviction_worker view{.id = session.info().id,
                       .leaving = leaving_.contains(session.info().id),
                       .free = session.free(),
                       .running = {}};
  const auto& attempts = session.attempts();
  for (const auto& [id, attempt] : attempts) {
    if (!attempt.occupies() || attempt.spec.priority != urgency::urgent) continue;
    view.has_urgent = true;
    const auto worst = std::pair{view.urgent_slowdown, view.measured_at};
    if (std::pair{attempt.slowdown, attempt.measured_at} < worst) continue;
    view.urgent_slowdown = attempt.slowdown;
    view.measured_at = attempt.measured_at;
  }
  for (const auto& [id, attempt] : attempts) {
    if (!attempt.occupies() || attempt.stage != attempt_stage::held) continue;
    const bool throttled = attempt.wanted == worker_command_kind::throttle ||
                           (attempt.state == attempt_state::throttled &&
                            attempt.wanted != worker_command_kind::unthrottle);
    eviction_candidate candidate{.attempt = id,
                                 .kind = attempt.spec.kind,
                                 .priority = attempt.spec.priority,
                                 .idempotent = attempt.spec.idempotent,
                                 .stopping = attempt.stopping(),
                                 .throttled = throttled,
                                 .throttled_since = attempt.throttled_since,
                                 .limit = attempt.limit};
    for (const auto& [other_id, other] : attempts) {
      if (!other.occupies() || other.spec.priority != urgency::urgent || other_id == id) continue;
      candidate.interference += interference_.expected(other.spec.interference_class,
                                                       attempt.spec.interference_class, now) -
                                1.0;
    }
    view.running.push_back(std::move(candidate));
  }
  return view;
}

std::vector<eviction_worker> rack_owner::eviction_view(time_point now) const {
  std::vector<eviction_worker> view;
  for (const auto& [id, session] : sessions_) {
    if (session.usable()) view.push_back(eviction_view(session, now));
  }
  return view;
}

void rack_owner::evict(time_point now, unit_context& context) {
  if (draining_ || !context.may_act) return;
  if (eviction_run_ && now < *eviction_run_ + options_.eviction_interval) return;
  eviction_run_ = now;
  const auto demands = floors_.take_demands(usage_by_kind(), usable_capacity());
  for (const auto& action : eviction_.plan(eviction_view(now), demands, now, context.wall)) {
    sessions_.at(action.worker).request(action.attempt, action.kind, now);
    const bool stops = action.kind == worker_command_kind::checkpoint_and_stop;
    context.out.count(stops ? "rack_evictions_total" : "rack_throttle_changes_total");
    context.out.log(
        severity::info,
        fmt::format("event=eviction rack={} worker={} customer={} task={} action={} reason={}",
                    log_value(options_.rack.value), log_value(action.worker.value),
                    log_value(action.attempt.customer.value), log_value(action.attempt.task.value),
                    name_of(action.kind), action.reason));
  }
}

}  // namespace coltsfoot
