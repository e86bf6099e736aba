// Requests of the administration API.
#include <fmt/format.h>

#include <utility>

#include "coltsfoot/node/node_core.h"

namespace coltsfoot {
namespace {

operator_reply to_operator(const peer_reply& reply) {
  return std::visit(
      [](const auto& body) -> operator_reply {
        if constexpr (std::is_constructible_v<operator_reply, decltype(body)>) {
          return body;
        } else {
          return operator_error{.reason = "the customer has no owner at the moment; try again",
                                .not_run = true};
        }
      },
      reply);
}

}  // namespace

void node_core::on(const operator_request_received& e, time_point now) {
  std::visit([&](const auto& request) { serve(e.call, request, now); }, e.request);
}

void node_core::serve(call_id call, const publish_config& request, time_point now) {
  out_.set_origin({core_module::config, {}});
  config_.on_operator_request(call, request, now, wall_of(now), out_);
}

void node_core::serve(call_id call, const mark_host& request, time_point now) {
  out_.set_origin({core_module::config, {}});
  config_.on_operator_request(call, request, now, wall_of(now), out_);
}

void node_core::serve(call_id call, const show_config& request, time_point now) {
  out_.set_origin({core_module::config, {}});
  config_.on_operator_request(call, request, now, wall_of(now), out_);
}

void node_core::serve(call_id call, const list_hosts& /*request*/, time_point /*now*/) {
  list_hosts_reply reply{.hosts = hosts_.workers};
  for (auto& worker : reply.hosts) {
    worker.leaving = worker.leaving || config_.current().leaving.contains(worker.id.value);
  }
  out_.push(answer_operator{.call = call, .reply = std::move(reply)});
}

void node_core::serve(call_id call, const show_node& request, time_point /*now*/) {
  show_node_reply reply{.node = options_.self.node,
                        .ready = phase_ == node_phase::serving,
                        .config_version = config_.current().version};
  for (const auto& [node, member] : members_.members()) {
    if (member.alive) reply.members.push_back(member.entry);
  }
  if (request.with_units) {
    for (const auto& [unit, entry] : members_.directory().entries()) reply.units.push_back(entry);
  }
  out_.push(answer_operator{.call = call, .reply = std::move(reply)});
}

template <typename Request>
void node_core::serve(call_id call, const Request& request, time_point /*now*/) {
  pass_to_customer(call, request.customer, request);
}

void node_core::pass_to_customer(call_id call, const customer_id& customer, peer_request request) {
  const auto address = members_.directory().owner_address(customer_unit(customer));
  if (address.empty()) {
    const bool known = config_.current().customers.contains(customer.value);
    out_.push(answer_operator{
        .call = call,
        .reply =
            operator_error{.reason = known ? "the customer has no owner at the moment; try again"
                                           : "no such customer: " + customer.value,
                           .not_run = true}});
    return;
  }
  out_.set_origin({core_module::operators, {}});
  const call_id peer_call = out_.new_call();
  operator_calls_.emplace(peer_call, call);
  out_.push(send_peer_request{.call = peer_call,
                              .address = address,
                              .request = std::move(request),
                              .timeout = options_.operator_timeout});
}

void node_core::on_customer_reply(call_id call,
                                  const tl::expected<peer_reply, peer_failure>& reply) {
  const auto found = operator_calls_.find(call);
  if (found == operator_calls_.end()) return;
  const call_id operator_call = found->second;
  operator_calls_.erase(found);
  if (reply) {
    out_.push(answer_operator{.call = operator_call, .reply = to_operator(*reply)});
    return;
  }
  const bool not_run = reply.error() == peer_failure::not_processed;
  out_.push(answer_operator{
      .call = operator_call,
      .reply = operator_error{.reason = not_run ? "the customer's owner was not reached"
                                                : "no reply from the customer's owner; ask by id",
                              .not_run = not_run}});
}

}  // namespace coltsfoot
