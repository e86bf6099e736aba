#include "coltsfoot/daemon/caller_gateway.h"

#include <chrono>
#include <thread>
#include <utility>

namespace coltsfoot {
namespace {

constexpr duration write_check_interval{5};

// Without a new request for this long, none is taken to be on its way through the server.
constexpr duration quiet_time{50};

}  // namespace

caller_gateway::caller_gateway(internal::rest_listener_options options,
                               internal::rest_response refusal, request_handler handler)
    : refusal_(std::move(refusal)),
      handler_(std::move(handler)),
      listener_(std::move(options),
                [this](const internal::rest_request& request,
                       const internal::rest_responder& respond) { receive(request, respond); }) {
  refusal_.close = true;
}

tl::expected<void, transport_error> caller_gateway::start() {
  return listener_.start();
}

void caller_gateway::receive(const internal::rest_request& request,
                             const internal::rest_responder& respond) {
  if (const auto call = add(respond)) {
    handler_(*call, request);
  } else {
    write(respond, refusal_);
  }
}

// Returns nothing if the gateway is closing.
std::optional<call_id> caller_gateway::add(const internal::rest_responder& respond) {
  const std::lock_guard lock{mutex_};
  if (closing_) return std::nullopt;
  calls_.emplace(++last_call_, respond);
  return last_call_;
}

internal::rest_responder caller_gateway::take(call_id call) {
  const std::lock_guard lock{mutex_};
  const auto found = calls_.find(call);
  if (found == calls_.end()) return {};
  auto respond = std::move(found->second);
  calls_.erase(found);
  return respond;
}

void caller_gateway::answer(call_id call, internal::rest_response response) {
  if (const auto respond = take(call)) write(respond, std::move(response));
}

void caller_gateway::write(const internal::rest_responder& respond,
                           internal::rest_response response) {
  ++writes_;
  ++*unwritten_;
  response.until_written = {nullptr, [unwritten = unwritten_](void*) { --*unwritten; }};
  respond(std::move(response));
}

void caller_gateway::refuse_open_calls() {
  std::unordered_map<call_id, internal::rest_responder> open;
  {
    const std::lock_guard lock{mutex_};
    closing_ = true;
    open.swap(calls_);
  }
  for (const auto& [call, respond] : open) write(respond, refusal_);
}

std::size_t caller_gateway::close(duration limit) {
  using clock = std::chrono::steady_clock;
  refuse_open_calls();
  const auto end = clock::now() + limit;
  auto quiet_since = clock::now();
  std::size_t writes_seen = writes_;
  while (clock::now() < end && clock::now() - quiet_since < quiet_time) {
    std::this_thread::sleep_for(write_check_interval);
    const bool quiet = *unwritten_ == 0 && writes_ == writes_seen;
    if (!quiet) quiet_since = clock::now();
    writes_seen = writes_;
  }
  const std::size_t left = *unwritten_;
  listener_.stop();
  return left;
}

}  // namespace coltsfoot
