// Requests of peers to the rack owner, and the placement of tasks.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "coltsfoot/rack/rack_owner.h"

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

attempt_id attempt_of(const place_task& message) {
  return attempt_id{
      .customer = message.spec.customer, .task = message.spec.id, .attempt = message.attempt};
}

service_answer refused_request(refusal_reason reason) {
  return service_answer{.answered = false, .reason = reason, .executed = execution::not_run};
}

}  // namespace

void rack_owner::on_peer_request(call_id call, const peer_request& request, time_point now,
                                 unit_context& context) {
  if (const auto* place = std::get_if<place_task>(&request)) {
    on_place(call, *place, now, context);
  } else if (const auto* query = std::get_if<query_tasks>(&request)) {
    on_query(call, *query, context);
  } else if (const auto* stop = std::get_if<stop_task>(&request)) {
    on_stop(call, *stop, now, context);
  } else if (const auto* forward = std::get_if<forward_request>(&request)) {
    on_forward(call, *forward, now, context);
  } else {
    context.out.push(refuse_peer_request{.call = call});
  }
}

void rack_owner::on_place(call_id call, const place_task& message, time_point now,
                          unit_context& context) {
  if (const auto reply = answer_without_placing(message, context)) {
    context.out.push(send_peer_reply{.call = call, .reply = *reply});
    return;
  }
  waiting_.push_back(waiting_place{.call = call, .message = message, .received = now});
  if (now >= waiting_.front().received + options_.batching_window) decide_waiting(now, context);
}

void rack_owner::on_query(call_id call, const query_tasks& message, unit_context& context) {
  query_tasks_reply reply{.rack_epoch = epoch_};
  if (!owning_) {
    reply.status = place_status::not_owner;
  } else if (!fence_.accept_epoch(message.customer, message.customer_epoch)) {
    reply.status = place_status::stale_customer;
  } else if (!recovered()) {
    reply.status = place_status::recovering;
  } else {
    for (auto next = index_.lower_bound(attempt_id{.customer = message.customer});
         next != index_.end() && next->first.customer == message.customer; ++next) {
      const auto* attempt = find_attempt(next->first);
      if (attempt == nullptr || (attempt->recorded && attempt->ended())) continue;
      reply.held.push_back(attempt->update(next->second));
    }
  }
  context.out.push(send_peer_reply{.call = call, .reply = std::move(reply)});
}

void rack_owner::on_stop(call_id call, const stop_task& message, time_point now,
                         unit_context& context) {
  stop_task_reply reply;
  const auto& id = message.attempt;
  if (!owning_) {
    reply.status = place_status::not_owner;
  } else if (!fence_.accept_epoch(id.customer, message.customer_epoch)) {
    reply.status = place_status::stale_customer;
  } else if (auto* session = session_of(id)) {
    context.out.count("rack_stops_total");
    if (session->request(id, worker_command_kind::stop, now)) end_attempts({id}, now, context);
    sync_workers(now, context);
    send_reports(now, context);
  } else if (!recovered()) {
    reply.status = place_status::recovering;
  } else {
    // A place request that is still under way must not start it after this answer.
    fence_.close(id);
    reply.status = place_status::refused;
  }
  context.out.push(send_peer_reply{.call = call, .reply = reply});
}

void rack_owner::on_forward(call_id call, const forward_request& message, time_point now,
                            unit_context& context) {
  if (owning_ && !draining_) {
    requests_.on_forward(call, message, now, context);
    return;
  }
  const auto reason = owning_ ? refusal_reason::shutting_down : refusal_reason::not_owner;
  context.out.push(
      send_peer_reply{.call = call, .reply = request_reply{.answer = refused_request(reason)}});
}

void rack_owner::on_backend_answered(call_id call, const service_answer& answer, time_point now,
                                     unit_context& context) {
  requests_.on_backend_answered(call, answer, now, context);
}

// Returns the reply to a place request that needs no decision.
std::optional<place_task_reply> rack_owner::answer_without_placing(const place_task& message,
                                                                   unit_context& context) {
  if (!owning_) return place_task_reply{.status = place_status::not_owner};
  if (!fence_.accept_epoch(message.spec.customer, message.customer_epoch)) {
    return place_task_reply{.status = place_status::stale_customer};
  }
  // A former owner may have started it on a worker that forgot it, or may have refused it.
  if (message.rack_epoch != epoch_) return place_task_reply{.status = place_status::not_owner};
  if (auto known = answer_for_known(message, context)) return known;
  if (draining_) return refuse(message, "draining", context);
  if (message.limit.is_negative()) return refuse(message, "negative_limit", context);
  if (!recovered() || !context.may_act) {
    return place_task_reply{
        .status = place_status::recovering,
        .reason = recovered() ? "ownership is not confirmed" : "workers are being inventoried",
        .retry_after = options_.refusal_retry};
  }
  return std::nullopt;
}

// Returns the reply to a repeat, to a closed attempt and to one beside another attempt of its task.
std::optional<place_task_reply> rack_owner::answer_for_known(const place_task& message,
                                                             unit_context& context) {
  const auto id = attempt_of(message);
  for (auto next = index_.lower_bound(attempt_id{.customer = id.customer, .task = id.task});
       next != index_.end() && next->first.customer == id.customer && next->first.task == id.task;
       ++next) {
    const auto* attempt = find_attempt(next->first);
    if (attempt == nullptr) continue;
    if (next->first == id) {
      if (attempt->stage == attempt_stage::gone && !attempt->started) {
        return refuse(message, "withdrawn", context);
      }
      return place_task_reply{.status = place_status::placed, .worker = next->second};
    }
    if (id < next->first) return refuse(message, "newer_attempt_held", context);
    // Two attempts of a task must not run at once, whatever the customer's owner believes.
    if (!attempt->ended()) return refuse(message, "older_attempt_held", context);
  }
  if (fence_.closed(id)) return refuse(message, "attempt_closed", context);
  return std::nullopt;
}

// Returns the index of the request to decide next: kinds below their floor first, urgent ones
// first, then the customer with the lowest dominant share, counting what this batch gave it.
std::size_t rack_owner::next_to_serve(const std::vector<waiting_place>& batch,
                                      const std::map<customer_id, double>& served) const {
  const auto used = usage_by_kind();
  const auto capacity = usable_capacity();
  const auto rank = [&](const place_task& message) {
    const auto kind = message.spec.priority;
    const auto given = served.find(message.spec.customer);
    return std::tuple{!floors_.within_floor(kind, used, message.limit, capacity),
                      kind != urgency::urgent,
                      message.customer_share + (given == served.end() ? 0.0 : given->second)};
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < batch.size(); ++i) {
    if (rank(batch[i].message) < rank(batch[best].message)) best = i;
  }
  return best;
}

void rack_owner::decide_waiting(time_point now, unit_context& context) {
  auto batch = std::exchange(waiting_, {});
  if (batch.empty()) return;
  update_leaving(now, context);
  std::map<customer_id, double> served;
  while (!batch.empty()) {
    const auto next = batch.begin() + static_cast<std::ptrdiff_t>(next_to_serve(batch, served));
    const auto waiting = std::move(*next);
    batch.erase(next);
    const auto& message = waiting.message;
    const auto known = answer_without_placing(message, context);
    const auto reply = known ? *known : decide(message, now, context);
    if (!known && reply.status == place_status::placed) {
      const auto* its_plan = context.config.plan_of(message.spec.customer);
      const auto whole = its_plan == nullptr ? usable_capacity() : its_plan->limit;
      served[message.spec.customer] += dominant_share(message.limit, whole);
    }
    context.out.push(send_peer_reply{.call = waiting.call, .reply = reply});
  }
  sync_workers(now, context);
}

place_task_reply rack_owner::decide(const place_task& message, time_point now,
                                    unit_context& context) {
  const auto kind = message.spec.priority;
  const auto used = usage_by_kind();
  const auto capacity = usable_capacity();
  const placement_request request{.interference_class = message.spec.interference_class,
                                  .service = message.spec.service,
                                  .priority = kind,
                                  .limit = message.limit,
                                  .avoid = message.avoid};
  auto decision =
      choose_worker(request, placement_view(now), interference_, options_.placement, now);
  if (decision.worker && !floors_.admits(kind, used, message.limit, capacity, now)) {
    decision.worker.reset();
    decision.reason = "floor_of_other_kind";
  }
  log_decision(message, decision, context);
  if (!decision.worker) {
    if (decision.capacity) {
      floors_.on_refused({message.spec.customer, message.spec.id}, kind, message.limit, used,
                         capacity, now);
    }
    note_refused_capacity(message, now);
    return refuse(message, decision.reason, context);
  }
  const auto id = attempt_of(message);
  sessions_.at(*decision.worker)
      .reserve(rack_attempt{.id = id,
                            .spec = message.spec,
                            .limit = message.limit,
                            .start_checkpoint = message.checkpoint});
  index_[id] = *decision.worker;
  floors_.on_placed({id.customer, id.task});
  quarantine_.on_started(*decision.worker, {id.customer, id.task}, now);
  context.out.count("rack_placements_total");
  return place_task_reply{.status = place_status::placed, .worker = *decision.worker};
}

place_task_reply rack_owner::refuse(const place_task& message, std::string_view reason,
                                    unit_context& context) {
  fence_.close(attempt_of(message));
  context.out.count("rack_refusals_total");
  return place_task_reply{.status = place_status::refused,
                          .reason = std::string{reason},
                          .retry_after = options_.refusal_retry};
}

void rack_owner::log_decision(const place_task& message, const placement_decision& decision,
                              unit_context& context) const {
  std::string others;
  for (const auto& [worker, score] : decision.runners_up) {
    others += fmt::format("{}{}:{:.3f}", others.empty() ? "" : ",", worker.value, score);
  }
  context.out.log(
      severity::info,
      fmt::format(
          "event=placement rack={} customer={} task={} attempt={}.{} worker={} score={:.3f} "
          "reason={} runners_up={}",
          log_value(options_.rack.value), log_value(message.spec.customer.value),
          log_value(message.spec.id.value), message.attempt.customer_epoch, message.attempt.counter,
          log_value_or_none(decision.worker ? decision.worker->value : ""), decision.score,
          decision.reason, log_value_or_none(others)));
}

std::vector<placement_worker> rack_owner::placement_view(time_point now) const {
  std::vector<placement_worker> view;
  for (const auto& [id, session] : sessions_) {
    placement_worker worker{.id = id,
                            .capacity = session.info().capacity,
                            .used = session.used(),
                            .admits = takes_work(session) && quarantine_.admits(id, now),
                            .running = {}};
    for (const auto& [attempt_key, attempt] : session.attempts()) {
      if (!attempt.occupies()) continue;
      worker.running.push_back(
          placement_neighbour{.interference_class = attempt.spec.interference_class,
                              .service = attempt.spec.service,
                              .priority = attempt.spec.priority});
    }
    view.push_back(std::move(worker));
  }
  return view;
}

kind_usage rack_owner::usage_by_kind() const {
  kind_usage used;
  for (const auto& [id, session] : sessions_) {
    if (!takes_work(session)) continue;
    for (const auto& [attempt_key, attempt] : session.attempts()) {
      if (attempt.occupies()) used.of(attempt.spec.priority) += attempt.limit;
    }
  }
  return used;
}

resources rack_owner::usable_capacity() const {
  resources sum;
  for (const auto& [id, session] : sessions_) {
    if (takes_work(session)) sum += session.info().capacity;
  }
  return sum;
}

void rack_owner::note_refused_capacity(const place_task& message, time_point now) {
  refused_share_ = pressure(now) + dominant_share(message.limit, usable_capacity());
  refused_at_ = now;
}

// Refused requests come back after a while, so that they count as demand with a half-life of the
// time after which they are tried again.
double rack_owner::pressure(time_point now) const {
  const auto passed = static_cast<double>(std::max(now - refused_at_, duration{0}).count());
  return refused_share_ * std::exp2(-passed / static_cast<double>(options_.refusal_retry.count()));
}

}  // namespace coltsfoot
