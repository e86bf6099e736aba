#include "coltsfoot/rack/request_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

// Weight of the newest answer in the moving average of a backend server's latency.
constexpr double latency_weight = 0.2;

// Time that a refused caller is told to wait. Slots turn over within this time under usual load.
constexpr duration refusal_wait{200};

std::int32_t floor_slots(double share, std::int32_t total) {
  return static_cast<std::int32_t>(std::ceil(share * total));
}

std::size_t floor_places(double share, std::size_t limit) {
  return static_cast<std::size_t>(std::ceil(share * static_cast<double>(limit)));
}

}  // namespace

void request_service::set_workers(const std::vector<worker_info>& usable) {
  for (auto& [id, backend] : backends_) backend.usable = false;
  for (const auto& worker : usable) {
    for (const auto& info : worker.backends) {
      auto& backend = backends_[info.id];
      backend.info = info;
      backend.worker = worker.id;
      backend.usable = true;
    }
  }
  drop_unused_backends();
}

void request_service::on_forward(call_id call, const forward_request& message, time_point now,
                                 unit_context& context) {
  waiting_request waiting{
      .caller = call, .request = message.request, .deadline = now + message.request.time_left};
  const auto& request = waiting.request;
  if (!context.may_act) {
    return refuse(call, request, refusal_reason::not_owner, context);
  }
  if (now < held_until_) {
    return refuse(call, request, refusal_reason::recovering, context);
  }
  if (use_of(request.service).total == 0) {
    return refuse(call, request, refusal_reason::no_backend, context);
  }
  if (!deadline_can_be_met(request.service, waiting.deadline, now)) {
    return refuse(call, request, refusal_reason::deadline, context);
  }
  auto& queue = queue_of(request.priority);
  if (queue.size == 0 && try_start(waiting, now, context)) return;
  if (!queue_has_room(request.priority)) {
    return refuse(call, request, refusal_reason::overloaded, context);
  }
  enqueue(queue, std::move(waiting));
}

void request_service::on_backend_answered(call_id call, const service_answer& answer,
                                          time_point now, unit_context& context) {
  const auto found = running_.find(call);
  if (found == running_.end()) return;
  const auto running = std::move(found->second);
  running_.erase(found);
  if (const auto at = backends_.find(running.backend); at != backends_.end()) {
    auto& backend = at->second;
    if (answer.answered) {
      const auto took = static_cast<double>((now - running.started).count());
      backend.latency_ms = backend.latency_ms == 0
                               ? took
                               : backend.latency_ms + latency_weight * (took - backend.latency_ms);
    }
    if (!answer.answered && answer.executed == execution::unknown) {
      backend.abandoned.emplace_back(running.started + options_.longest_call, running.priority);
    } else {
      release_slot(backend, running.priority);
    }
  }
  context.out.count(answer.answered ? "rack_requests_answered_total"
                                    : "rack_requests_failed_total");
  context.out.push(send_peer_reply{.call = running.caller, .reply = request_reply{answer}});
  on_tick(now, context);
}

void request_service::on_tick(time_point now, unit_context& context) {
  expire_abandoned(now);
  refuse_late(urgent_queue_, now, context);
  refuse_late(deferrable_queue_, now, context);
  if (context.may_act && now >= held_until_) {
    start_waiting(urgent_queue_, now, context);
    start_waiting(deferrable_queue_, now, context);
  }
  drop_unused_backends();
}

void request_service::refuse_queued(refusal_reason reason, unit_context& context) {
  for (auto* queue : {&urgent_queue_, &deferrable_queue_}) {
    for (const auto& [service, waiting_here] : queue->services) {
      for (const auto& [arrival, waiting] : waiting_here.by_arrival) {
        refuse(waiting.caller, waiting.request, reason, context);
      }
    }
    queue->services.clear();
    queue->size = 0;
  }
}

std::size_t request_service::in_progress() const {
  std::size_t count = running_.size();
  for (const auto& [id, backend] : backends_) count += backend.abandoned.size();
  return count;
}

std::vector<service_room> request_service::room() const {
  std::map<service_id, service_room> by_service;
  for (const auto& [id, backend] : backends_) {
    if (!backend.usable) continue;
    auto& entry = by_service[backend.info.service];
    entry.service = backend.info.service;
    entry.total_slots += backend.capacity();
    entry.free_slots += std::max(0, backend.capacity() - backend.used());
  }
  std::vector<service_room> out;
  out.reserve(by_service.size());
  for (auto& [service, entry] : by_service) out.push_back(std::move(entry));
  return out;
}

request_service::service_use request_service::use_of(const service_id& service) const {
  service_use use;
  for (const auto& [id, backend] : backends_) {
    if (!backend.usable || backend.info.service != service) continue;
    use.total += backend.capacity();
    use.urgent += backend.used_urgent;
    use.deferrable += backend.used_deferrable;
  }
  return use;
}

bool request_service::may_take_slot(const service_id& service, urgency priority) const {
  const auto use = use_of(service);
  if (priority == urgency::deferrable) {
    return use.deferrable < use.total - floor_slots(options_.urgent_slot_floor, use.total);
  }
  if (!deferrable_waits(service)) return true;
  return use.urgent < use.total - floor_slots(options_.deferrable_slot_floor, use.total);
}

bool request_service::deferrable_waits(const service_id& service) const {
  return deferrable_queue_.services.contains(service);
}

request_service::backend_state* request_service::choose_backend(const service_id& service,
                                                                const backend_state** runner_up) {
  const auto cost = [](const backend_state& backend) {
    return (backend.used() + 1) * (backend.latency_ms + 1.0) / backend.capacity();
  };
  backend_state* best = nullptr;
  for (auto& [id, backend] : backends_) {
    if (!backend.usable || backend.info.service != service) continue;
    if (backend.used() >= backend.capacity()) continue;
    if (best == nullptr || cost(backend) < cost(*best)) {
      *runner_up = best;
      best = &backend;
    }
  }
  return best;
}

bool request_service::queue_has_room(urgency priority) const {
  const bool is_urgent = priority == urgency::urgent;
  const auto& other = is_urgent ? deferrable_queue_ : urgent_queue_;
  const double other_floor =
      is_urgent ? options_.deferrable_queue_floor : options_.urgent_queue_floor;
  const auto kept = std::max(other.size, floor_places(other_floor, options_.queue_limit));
  const auto& own = is_urgent ? urgent_queue_ : deferrable_queue_;
  return own.size + kept < options_.queue_limit;
}

bool request_service::deadline_can_be_met(const service_id& service, time_point deadline,
                                          time_point now) const {
  double fastest_ms = -1;
  for (const auto& [id, backend] : backends_) {
    if (!backend.usable || backend.info.service != service) continue;
    if (fastest_ms < 0 || backend.latency_ms < fastest_ms) fastest_ms = backend.latency_ms;
  }
  const auto left = static_cast<double>((deadline - now).count());
  return left > 0 && left >= std::max(0.0, fastest_ms);
}

bool request_service::try_start(const waiting_request& waiting, time_point now,
                                unit_context& context) {
  const auto& request = waiting.request;
  if (!may_take_slot(request.service, request.priority)) return false;
  const backend_state* runner_up = nullptr;
  backend_state* backend = choose_backend(request.service, &runner_up);
  if (backend == nullptr) return false;

  auto& used =
      request.priority == urgency::urgent ? backend->used_urgent : backend->used_deferrable;
  ++used;
  const call_id call = context.out.new_call();
  running_.emplace(call, running_request{.caller = waiting.caller,
                                         .backend = backend->info.id,
                                         .priority = request.priority,
                                         .started = now});
  context.out.log(
      severity::info,
      fmt::format("event=route_backend request={} customer={} service={} backend={} "
                  "used={} slots={} reason=least_cost runner_up={}",
                  log_value(request.id.value), log_value(request.customer.value),
                  log_value(request.service.value), backend->info.id.value, backend->used(),
                  backend->info.slots, runner_up == nullptr ? "none" : runner_up->info.id.value));
  context.out.push(
      call_backend{.call = call,
                   .address = backend->info.address,
                   .request = request,
                   .timeout = std::min(waiting.deadline - now, options_.longest_call)});
  return true;
}

request_service::request_queue& request_service::queue_of(urgency priority) {
  return priority == urgency::urgent ? urgent_queue_ : deferrable_queue_;
}

void request_service::enqueue(request_queue& queue, waiting_request waiting) {
  auto& own = queue.services[waiting.request.service];
  const auto arrival = queue.arrived++;
  own.by_deadline.emplace(waiting.deadline, arrival);
  own.by_arrival.emplace(arrival, std::move(waiting));
  ++queue.size;
}

// A request that can meet its deadline lets all later deadlines of its service be met, so the
// search ends at the first one.
void request_service::refuse_late(request_queue& queue, time_point now, unit_context& context) {
  for (auto at = queue.services.begin(); at != queue.services.end();) {
    auto& [service, own] = *at;
    while (!own.by_deadline.empty()) {
      const auto [deadline, arrival] = *own.by_deadline.begin();
      if (deadline_can_be_met(service, deadline, now)) break;
      const auto late = own.by_arrival.find(arrival);
      refuse(late->second.caller, late->second.request, refusal_reason::deadline, context);
      own.by_arrival.erase(late);
      own.by_deadline.erase(own.by_deadline.begin());
      --queue.size;
    }
    at = own.by_arrival.empty() ? queue.services.erase(at) : std::next(at);
  }
}

// Requests of one kind for one service start in the order of arrival; when one can't start, the
// later ones can't either. Services share no slots, so their order among each other has no effect.
void request_service::start_waiting(request_queue& queue, time_point now, unit_context& context) {
  for (auto at = queue.services.begin(); at != queue.services.end();) {
    auto& own = at->second;
    while (!own.by_arrival.empty()) {
      const auto first = own.by_arrival.begin();
      if (!try_start(first->second, now, context)) break;
      own.by_deadline.erase({first->second.deadline, first->first});
      own.by_arrival.erase(first);
      --queue.size;
    }
    at = own.by_arrival.empty() ? queue.services.erase(at) : std::next(at);
  }
}

void request_service::release_slot(backend_state& backend, urgency priority) {
  auto& used = priority == urgency::urgent ? backend.used_urgent : backend.used_deferrable;
  --used;
}

void request_service::expire_abandoned(time_point now) {
  for (auto& [id, backend] : backends_) {
    std::erase_if(backend.abandoned, [&](const auto& held) {
      if (now < held.first) return false;
      release_slot(backend, held.second);
      return true;
    });
  }
}

void request_service::drop_unused_backends() {
  std::erase_if(backends_,
                [](const auto& entry) { return !entry.second.usable && entry.second.used() == 0; });
}

void request_service::refuse(call_id caller, const service_request& request, refusal_reason reason,
                             unit_context& context) {
  context.out.count("rack_requests_refused_total");
  context.out.log(severity::info,
                  fmt::format("event=refuse_request request={} customer={} service={} reason={}",
                              log_value(request.id.value), log_value(request.customer.value),
                              log_value(request.service.value), name_of(reason)));
  context.out.push(send_peer_reply{.call = caller,
                                   .reply = request_reply{{.answered = false,
                                                           .reason = reason,
                                                           .executed = execution::not_run,
                                                           .retry_after = refusal_wait}}});
}

}  // namespace coltsfoot
