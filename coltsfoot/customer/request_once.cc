#include "coltsfoot/customer/request_once.h"

#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/customer/submit_check.h"
#include "coltsfoot/routing/rack_choice.h"

namespace coltsfoot {
namespace {

service_answer refused(refusal_reason reason, execution executed, std::string detail) {
  return {.reason = reason, .executed = executed, .detail = std::move(detail)};
}

// What a forward_request came to.
service_answer result_of(const tl::expected<peer_reply, peer_failure>& reply) {
  if (!reply) {
    const auto executed =
        reply.error() == peer_failure::not_processed ? execution::not_run : execution::unknown;
    return refused(refusal_reason::outcome_unknown, executed, "rack owner gave no reply");
  }
  if (const auto* answered = std::get_if<request_reply>(&*reply)) return answered->answer;
  if (std::holds_alternative<not_owner_reply>(*reply)) {
    return refused(refusal_reason::not_owner, execution::not_run, "rack has another owner");
  }
  return refused(refusal_reason::outcome_unknown, execution::unknown, "unexpected reply");
}

}  // namespace

std::optional<service_answer> request_once::refusal_of(const service_request& request,
                                                       const unit_context& context) const {
  const auto not_run = [](refusal_reason reason, std::string detail) {
    return refused(reason, execution::not_run, std::move(detail));
  };
  if (request.id.empty() || request.id.value.size() > options_.max_id_bytes) {
    return not_run(refusal_reason::bad_request, "request id missing or too long");
  }
  if (request.issued_at == wall_time{}) {
    return not_run(refusal_reason::bad_request, "issued-at missing");
  }
  if (is_outside_id_window(request.issued_at, options_, context.wall)) {
    return not_run(refusal_reason::id_too_old, "issued-at outside the id window");
  }
  const plan* its_plan = context.config.plan_of(options_.customer);
  if (its_plan == nullptr || request.customer != options_.customer) {
    return not_run(refusal_reason::unknown_customer, "unknown customer");
  }
  if (request.priority > its_plan->highest_urgency) {
    return not_run(refusal_reason::not_permitted, "urgency above the plan");
  }
  if (!context.log_available || !context.may_act) {
    return not_run(refusal_reason::log_unavailable, "the log is unavailable");
  }
  if (request.time_left <= duration{0}) {
    return not_run(refusal_reason::deadline, "no time left");
  }
  if (active_.size() >= options_.request_limit) {
    return not_run(refusal_reason::overloaded, "too many requests in progress");
  }
  return std::nullopt;
}

std::optional<service_answer> request_once::answer_of_repeat(const request_id& id) const {
  if (active_.contains(id)) {
    return refused(refusal_reason::duplicate, execution::unknown, "in progress");
  }
  const auto kept = answers_.find(id);
  if (kept != answers_.end()) return kept->second;
  const auto found = intents_.find(id);
  if (found == intents_.end()) return std::nullopt;
  return refused(
      refusal_reason::outcome_unknown, found->second.ran ? execution::ran : execution::unknown,
      found->second.ran ? "was run before; its answer is not kept" : "may have been run before");
}

void request_once::answer(call_id caller, service_answer answer, unit_context& context) {
  context.out.push(send_peer_reply{caller, request_reply{std::move(answer)}});
}

void request_once::on_request(call_id caller, const service_request& request, time_point now,
                              unit_context& context) {
  if (auto repeat = answer_of_repeat(request.id)) {
    context.out.count("customer_requests_repeated_total");
    answer(caller, std::move(*repeat), context);
    return;
  }
  if (auto refusal = refusal_of(request, context)) {
    context.out.count("customer_requests_refused_total");
    answer(caller, std::move(*refusal), context);
    return;
  }
  active_.emplace(
      request.id,
      active_request{.caller = caller, .request = request, .deadline = now + request.time_left});
  context.append.emplace_back(request_intent_record{request.id, request.issued_at});
}

bool request_once::apply(const record& entry, time_point now, unit_context& context) {
  if (const auto* begun = std::get_if<request_intent_record>(&entry)) {
    intents_[begun->request] = {.issued_at = begun->issued_at};
    by_age_.emplace(begun->issued_at, begun->request);
    const auto found = active_.find(begun->request);
    if (found != active_.end() && found->second.at == stage::intent_pending) {
      forward(found, now, context);
    }
    return true;
  }
  if (const auto* closed = std::get_if<request_closed_record>(&entry)) {
    const auto known = intents_.find(closed->request);
    if (known == intents_.end()) return true;
    if (closed->ran) {
      known->second.ran = true;
      return true;
    }
    by_age_.erase({known->second.issued_at, closed->request});
    intents_.erase(known);
    const auto found = active_.find(closed->request);
    if (found != active_.end()) finish(found, found->second.refusal, context);
    return true;
  }
  return false;
}

void request_once::on_dropped(const record& entry, time_point /*now*/, unit_context& context) {
  if (const auto* begun = std::get_if<request_intent_record>(&entry)) {
    const auto found = active_.find(begun->request);
    if (found == active_.end()) return;
    finish(found,
           refused(refusal_reason::log_unavailable, execution::not_run, "the log is unavailable"),
           context);
  } else if (const auto* closed = std::get_if<request_closed_record>(&entry)) {
    const auto found = active_.find(closed->request);
    if (closed->ran || found == active_.end()) return;
    // The intent stays in the log, so a repeat will be refused as possibly run.
    finish(found, refused(refusal_reason::outcome_unknown, execution::unknown, "not closed"),
           context);
  }
}

void request_once::forward(active_map::iterator at, time_point now, unit_context& context) {
  active_request& active = at->second;
  const auto close = [&](refusal_reason reason, std::string detail) {
    close_not_run(active, refused(reason, execution::not_run, std::move(detail)), context);
  };
  if (now >= active.deadline) return close(refusal_reason::deadline, "no time left");
  if (!context.may_act) return close(refusal_reason::log_unavailable, "ownership not confirmed");
  const auto choice = choose_rack(
      context.directory,
      {.service = active.request.service, .zone = options_.zone, .excluded = active.tried},
      random_);
  if (!choice) return close(refusal_reason::no_backend, "no rack serves the service");
  active.tried.push_back(choice->rack);
  std::string address = context.directory.owner_address(rack_unit(choice->rack));
  if (address.empty()) {
    if (active.tried.size() < options_.request_tries) return forward(at, now, context);
    return close(refusal_reason::no_backend, "owner of the rack is unknown");
  }
  active.at = stage::forwarded;
  active.forward = context.out.new_call();
  forwards_.emplace(active.forward, at->first);
  service_request request = active.request;
  request.time_left = active.deadline - now;
  context.out.log(
      severity::info,
      fmt::format("event=forward_once request={} rack={} runner_up={}", log_value(at->first.value),
                  log_value(choice->rack.value), log_value_or_none(choice->runner_up.value)));
  context.out.push(send_peer_request{.call = active.forward,
                                     .address = std::move(address),
                                     .request = forward_request{choice->rack, std::move(request)},
                                     .timeout = active.deadline - now});
}

void request_once::close_not_run(active_request& active, service_answer refusal,
                                 unit_context& context) {
  active.at = stage::closing;
  active.refusal = std::move(refusal);
  context.append.emplace_back(request_closed_record{active.request.id, false});
}

bool request_once::on_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                              time_point now, unit_context& context) {
  const auto known = forwards_.find(call);
  if (known == forwards_.end()) return false;
  const auto at = active_.find(known->second);
  forwards_.erase(known);
  if (at == active_.end()) return true;
  active_request& active = at->second;
  service_answer result = result_of(reply);
  if (result.answered) {
    keep_answer(at->first, result);
    context.append.emplace_back(request_closed_record{at->first, true});
    context.out.count("customer_requests_answered_total");
    finish(at, std::move(result), context);
  } else if (result.executed == execution::not_run) {
    if (now < active.deadline && active.tried.size() < options_.request_tries) {
      forward(at, now, context);
    } else {
      close_not_run(active, std::move(result), context);
    }
  } else {
    context.out.count("customer_requests_unknown_total");
    result.reason = refusal_reason::outcome_unknown;
    finish(at, std::move(result), context);
  }
  return true;
}

void request_once::finish(active_map::iterator at, service_answer result, unit_context& context) {
  if (!at->second.answered) answer(at->second.caller, std::move(result), context);
  active_.erase(at);
}

void request_once::keep_answer(const request_id& id, const service_answer& answer) {
  if (answer.body.size() > options_.answer_cache_body || options_.answer_cache_limit == 0) return;
  if (answer_order_.size() >= options_.answer_cache_limit) {
    answers_.erase(answer_order_.front());
    answer_order_.pop_front();
  }
  answers_[id] = answer;
  answer_order_.push_back(id);
}

void request_once::on_tick(time_point now, unit_context& context) {
  for (auto& [id, active] : active_) {
    if (active.answered || now < active.deadline || active.at == stage::forwarded) continue;
    // The record is still on its way: the request won't be run, but a repeat may be refused.
    active.answered = true;
    answer(active.caller, refused(refusal_reason::deadline, execution::unknown, "not confirmed"),
           context);
  }
  const wall_time forget_before = context.wall - options_.id_window - options_.clock_margin;
  while (!by_age_.empty() && by_age_.begin()->first < forget_before) {
    intents_.erase(by_age_.begin()->second);
    by_age_.erase(by_age_.begin());
  }
}

void request_once::on_ownership_lost(unit_context& context) {
  while (!active_.empty()) {
    const auto at = active_.begin();
    const bool sent = at->second.at == stage::forwarded;
    // A request that was not sent will not be run: only this object sends it.
    finish(at,
           refused(sent ? refusal_reason::outcome_unknown : refusal_reason::not_owner,
                   sent ? execution::unknown : execution::not_run, "ownership lost"),
           context);
  }
  forwards_.clear();
}

std::vector<record> request_once::snapshot_records() const {
  std::vector<record> out;
  for (const auto& [id, known] : intents_) {
    out.emplace_back(request_intent_record{id, known.issued_at});
    if (known.ran) out.emplace_back(request_closed_record{id, true});
  }
  return out;
}

}  // namespace coltsfoot
