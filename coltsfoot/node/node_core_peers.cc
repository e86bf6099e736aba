// Requests of other nodes, passed to the part of the core that they are addressed to.
#include <fmt/format.h>

#include <concepts>
#include <utility>

#include "coltsfoot/node/node_core.h"

namespace coltsfoot {
namespace {

template <typename Message>
concept rack_message =
    requires(const Message& m) { m.rack; } && !std::same_as<Message, task_updates>;

customer_id customer_of(const run_request_once& message) {
  return message.request.customer;
}
template <typename Message>
customer_id customer_of(const Message& message) {
  return message.customer;
}

}  // namespace

template <typename Units, typename F>
bool node_core::with_owned(Units& units, const unit_id& unit, time_point now, F&& f) {
  auto* stream = units.find(unit);
  if (stream == nullptr || !stream->is_owner()) return false;
  stream->with_unit(now, env(now), std::forward<F>(f));
  return true;
}

void node_core::on(const peer_request_received& e, time_point now) {
  std::visit([&](const auto& message) { receive(e.call, message, now); }, e.request);
}

void node_core::receive(call_id call, const gossip& message, time_point now) {
  out_.set_origin({core_module::membership, {}});
  members_.on_gossip(call, message, now, out_);
}

void node_core::receive(call_id call, const fetch_config& message, time_point /*now*/) {
  out_.set_origin({core_module::config, {}});
  config_.on_fetch_config(call, message, out_);
}

void node_core::receive(call_id call, const job_notice& /*message*/, time_point /*now*/) {
  out_.push(refuse_peer_request{.call = call});
}

void node_core::receive(call_id call, const job_query& /*message*/, time_point /*now*/) {
  out_.push(refuse_peer_request{.call = call});
}

void node_core::receive(call_id call, const journal_records& /*message*/, time_point /*now*/) {
  out_.push(refuse_peer_request{.call = call});
}

template <typename Message>
void node_core::receive(call_id call, const Message& message, time_point now) {
  const auto pass_on = [&](auto& unit, unit_context& context) {
    unit.on_peer_request(call, peer_request{message}, now, context);
  };
  unit_id unit;
  bool owned = false;
  if constexpr (rack_message<Message>) {
    unit = rack_unit(message.rack);
    owned = with_owned(racks_, unit, now, pass_on);
  } else {
    unit = customer_unit(customer_of(message));
    owned = with_owned(customers_, unit, now, pass_on);
  }
  if (owned) return;
  out_.count("peer_requests_not_owner_total");
  out_.push(send_peer_reply{
      .call = call, .reply = not_owner_reply{.unit = unit, .reason = "not the owner of the unit"}});
}

}  // namespace coltsfoot
