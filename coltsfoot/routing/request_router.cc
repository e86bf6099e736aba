#include "coltsfoot/routing/request_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

// Time that a caller is told to wait when this node refuses for lack of room.
constexpr duration overload_wait{500};

service_answer refusal(refusal_reason reason, std::string detail,
                       execution executed = execution::not_run,
                       duration retry_after = duration{0}) {
  return {.answered = false,
          .reason = reason,
          .executed = executed,
          .retry_after = retry_after,
          .detail = std::move(detail)};
}

// Returns whether a refusal may say "not run" of a request whose id was sent before. Only the owner
// of its customer knows what became of the earlier calls, and that only within the id window.
bool is_known_not_run(const service_request& request, refusal_reason reason, bool by_owner) {
  if (!request.repeated) return true;
  return by_owner && !request.idempotent && reason != refusal_reason::id_too_old;
}

// Reasons that another rack or a later time can cure.
bool is_passing(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::overloaded:
    case refusal_reason::no_backend:
    case refusal_reason::not_owner:
    case refusal_reason::recovering:
    case refusal_reason::backend_failed:
    case refusal_reason::shutting_down:
      return true;
    default:
      return false;
  }
}

service_answer shutting_down_refusal() {
  return refusal(refusal_reason::shutting_down, "this node is shutting down");
}

service_answer refusal_of(peer_failure failure) {
  if (failure == peer_failure::not_processed) {
    return refusal(refusal_reason::not_owner, "the owner was not reached");
  }
  return refusal(refusal_reason::backend_failed, "no reply from the owner", execution::unknown);
}

service_answer answer_of(const tl::expected<peer_reply, peer_failure>& reply) {
  if (!reply) return refusal_of(reply.error());
  if (const auto* answer = std::get_if<request_reply>(&*reply)) return answer->answer;
  return refusal(refusal_reason::not_owner, "the node does not own the unit");
}

}  // namespace

request_router::request_router(request_router_options options, state_chart chart)
    : options_(std::move(options)),
      chart_(std::move(chart)),
      random_(options_.seed),
      budget_(options_.budget) {}

void request_router::on_caller_request(call_id call, const service_request& request, time_point now,
                                       router_view& view) {
  view.out.count("router_requests_total");
  if (auto refused = check(request, view.config)) {
    if (!is_known_not_run(request, refused->reason, false)) refused->executed = execution::unknown;
    view.out.count("router_requests_refused_total");
    view.out.log(severity::info,
                 fmt::format("event=refuse_request request={} customer={} service={} reason={}",
                             log_value(request.id.value), log_value(request.customer.value),
                             log_value(request.service.value), name_of(refused->reason)));
    view.out.push(answer_caller{.call = call, .answer = *refused});
    return;
  }
  budget_.on_first_attempt();
  if (request.priority == urgency::urgent) ++urgent_in_progress_;
  requests_.emplace(
      call, routed_request{.request = request,
                           .received = now,
                           .deadline = now + std::min(request.time_left, options_.longest_deadline),
                           .last_refusal = refusal(refusal_reason::deadline, "deadline passed")});
  attempt(call, now, view);
}

void request_router::on_peer_replied(call_id call,
                                     const tl::expected<peer_reply, peer_failure>& reply,
                                     time_point now, router_view& view) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const call_id caller = found->second;
  calls_.erase(found);
  const auto answer = answer_of(reply);
  if (answer.answered) {
    const auto& routed = requests_.at(caller);
    auto& latency =
        routed.request.priority == urgency::urgent ? urgent_latency_ : deferrable_latency_;
    latency.record(now - routed.received);
    return finish(caller, answer, "answer", view);
  }
  requests_.at(caller).refused_by_owner =
      reply.has_value() && std::holds_alternative<request_reply>(*reply);
  on_refusal(caller, answer, now, view);
}

void request_router::on_tick(time_point now, router_view& view) {
  std::vector<call_id> due;
  for (const auto& [caller, routed] : requests_) {
    if (routed.phase == request_phase::backing_off && now >= routed.next_attempt) {
      due.push_back(caller);
    }
  }
  for (const auto caller : due) attempt(caller, now, view);
}

void request_router::refuse_in_progress(router_view& view) {
  std::vector<call_id> open;
  open.reserve(requests_.size());
  for (const auto& [caller, routed] : requests_) open.push_back(caller);
  for (const auto caller : open) {
    const auto& routed = requests_.at(caller);
    const bool may_run = routed.maybe_ran || routed.phase == request_phase::forwarding;
    finish(caller, may_run ? refusal_of(peer_failure::unknown) : shutting_down_refusal(), "refuse",
           view);
  }
  calls_.clear();
}

std::optional<service_answer> request_router::check(const service_request& request,
                                                    const cluster_config& config) const {
  if (draining_) return shutting_down_refusal();
  if (request.customer.empty() || request.service.empty()) {
    return refusal(refusal_reason::bad_request, "customer and service are required");
  }
  if (!request.idempotent && request.id.empty()) {
    return refusal(refusal_reason::bad_request, "a non-idempotent request needs an id");
  }
  if (!request.idempotent && request.issued_at == wall_time{}) {
    return refusal(refusal_reason::bad_request, "a non-idempotent request needs its issue time");
  }
  if (request.time_left <= duration{0}) {
    return refusal(refusal_reason::deadline, "the deadline has passed");
  }
  const plan* its_plan = config.plan_of(request.customer);
  if (its_plan == nullptr) {
    return refusal(refusal_reason::unknown_customer, "no such customer is configured");
  }
  if (request.priority == urgency::urgent && its_plan->highest_urgency != urgency::urgent) {
    return refusal(refusal_reason::not_permitted, "the plan does not include urgent requests");
  }
  if (!has_room(request.priority)) {
    return refusal(refusal_reason::overloaded, "too many requests in progress at this node",
                   execution::not_run, overload_wait);
  }
  return std::nullopt;
}

bool request_router::has_room(urgency priority) const {
  const bool is_urgent = priority == urgency::urgent;
  const std::size_t deferrable = requests_.size() - urgent_in_progress_;
  const std::size_t own = is_urgent ? urgent_in_progress_ : deferrable;
  const std::size_t other = is_urgent ? deferrable : urgent_in_progress_;
  const double other_floor = is_urgent ? options_.deferrable_floor : options_.urgent_floor;
  const auto kept = static_cast<std::size_t>(
      std::ceil(other_floor * static_cast<double>(options_.most_in_progress)));
  return own + std::max(other, kept) < options_.most_in_progress;
}

void request_router::attempt(call_id caller, time_point now, router_view& view) {
  auto& routed = requests_.at(caller);
  if (now >= routed.deadline) {
    auto last = routed.last_refusal;
    last.detail += last.detail.empty() ? "deadline passed" : "; deadline passed";
    return finish(caller, last, "refuse", view);
  }
  if (routed.request.idempotent) {
    forward_to_rack(caller, routed, now, view);
  } else {
    forward_to_customer(caller, routed, now, view);
  }
}

void request_router::forward_to_rack(call_id caller, routed_request& routed, time_point now,
                                     router_view& view) {
  const rack_choice_options wanted{
      .service = routed.request.service, .zone = options_.zone, .excluded = routed.refused_by};
  const auto choice = choose_rack(view.directory, wanted, random_);
  if (!choice) {
    // Every known rack refused it: the next attempt may ask them again.
    routed.refused_by.clear();
    return on_refusal(caller, refusal(refusal_reason::no_backend, "no rack serves the service"),
                      now, view);
  }
  routed.refused_by_owner = false;
  routed.rack = choice->rack;
  view.out.log(
      severity::info,
      fmt::format("event=route_rack request={} customer={} service={} rack={} attempt={} "
                  "reason=two_choices runner_up={}",
                  log_value(routed.request.id.value), log_value(routed.request.customer.value),
                  log_value(routed.request.service.value), log_value(choice->rack.value),
                  routed.attempts + 1, log_value_or_none(choice->runner_up.value)));
  send(caller, routed, view.directory.owner_address(rack_unit(choice->rack)),
       forward_request{.rack = choice->rack, .request = routed.request}, now, view);
}

void request_router::forward_to_customer(call_id caller, routed_request& routed, time_point now,
                                         router_view& view) {
  routed.refused_by_owner = false;
  const auto address = view.directory.owner_address(customer_unit(routed.request.customer));
  if (address.empty()) {
    return on_refusal(caller, refusal(refusal_reason::recovering, "the customer has no owner now"),
                      now, view);
  }
  send(caller, routed, address, run_request_once{.request = routed.request}, now, view);
}

void request_router::send(call_id caller, routed_request& routed, std::string address,
                          peer_request message, time_point now, router_view& view) {
  if (!advance(routed, "send", view)) return;
  ++routed.attempts;
  const duration left = routed.deadline - now;
  std::visit(
      [left](auto& body) {
        if constexpr (requires { body.request.time_left; }) body.request.time_left = left;
      },
      message);
  const call_id call = view.out.new_call();
  calls_.emplace(call, caller);
  view.out.push(send_peer_request{.call = call,
                                  .address = std::move(address),
                                  .request = std::move(message),
                                  .timeout = left + options_.reply_grace});
}

void request_router::on_refusal(call_id caller, const service_answer& refused, time_point now,
                                router_view& view) {
  auto& routed = requests_.at(caller);
  routed.maybe_ran = routed.maybe_ran || refused.executed != execution::not_run;
  routed.last_refusal = refused;
  if (routed.request.idempotent && !routed.rack.empty()) routed.refused_by.push_back(routed.rack);
  routed.rack = {};
  if (!may_try_again(routed, refused, now)) return finish(caller, refused, "refuse", view);
  view.out.count("router_retries_total");
  back_off(routed, now, view);
}

bool request_router::may_try_again(const routed_request& routed, const service_answer& refused,
                                   time_point now) {
  if (!is_passing(refused.reason) || routed.attempts >= options_.most_attempts) return false;
  // A verdict of "unknown" may hide a run, so only an idempotent request is sent again.
  if (refused.executed != execution::not_run && !routed.request.idempotent) return false;
  if (now + options_.first_backoff >= routed.deadline) return false;
  return routed.phase != request_phase::forwarding || budget_.try_retry();
}

void request_router::back_off(routed_request& routed, time_point now, router_view& view) {
  // An attempt that found no owner to send to counts as well, so that the refusal comes early.
  if (routed.phase != request_phase::forwarding) ++routed.attempts;
  if (!advance(routed, "wait", view)) return;
  const auto doubled = options_.first_backoff * (1 << std::min(routed.attempts, 8));
  const auto longest = std::min<duration>(doubled, options_.longest_backoff);
  std::uniform_int_distribution<duration::rep> jitter{longest.count() / 2, longest.count()};
  routed.next_attempt = now + duration{jitter(random_)};
}

void request_router::finish(call_id caller, const service_answer& answer,
                            std::string_view chart_event, router_view& view) {
  const auto found = requests_.find(caller);
  if (found == requests_.end() || !advance(found->second, chart_event, view)) return;
  service_answer last = answer;
  // "Not run" must hold for the request as a whole, not for its last attempt alone.
  const auto& routed = found->second;
  if (!last.answered && (routed.maybe_ran ||
                         !is_known_not_run(routed.request, last.reason, routed.refused_by_owner))) {
    last.executed = execution::unknown;
  }
  if (routed.request.priority == urgency::urgent) --urgent_in_progress_;
  requests_.erase(found);
  view.out.count(last.answered ? "router_requests_answered_total" : "router_requests_failed_total");
  view.out.push(answer_caller{.call = caller, .answer = std::move(last)});
}

bool request_router::advance(routed_request& routed, std::string_view chart_event,
                             router_view& view) {
  const auto next = next_state(chart_, routed.phase, chart_event);
  if (!next) {
    view.out.count("chart_undefined_transitions_total");
    view.out.log(severity::error, fmt::format("event=undefined_transition chart=request state={} "
                                              "transition={} request={}",
                                              name_of(routed.phase), chart_event,
                                              log_value(routed.request.id.value)));
    return false;
  }
  routed.phase = *next;
  return true;
}

}  // namespace coltsfoot
