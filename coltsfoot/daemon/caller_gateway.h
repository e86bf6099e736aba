// The HTTP server for callers of a job node. Holds each request until the node answers it, and
// leaves none without a response when the node has ended.
//
//   caller_gateway gateway{{.ip = "10.1.0.13", .port = 8161}, refusal,
//                          [&](call_id call, const internal::rest_request& request) { ... }};
//   if (const auto started = gateway.start(); !started) return started.error().message;
//   gateway.answer(call, response);
//   gateway.close(duration{1'000});  // once the node has ended
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <tl/expected.hpp>
#include <unordered_map>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/transport/internal/rest_listener.h"

namespace coltsfoot {

class caller_gateway {
 public:
  // Runs on the thread of the server and must not block.
  using request_handler = std::function<void(call_id, const internal::rest_request&)>;

  // `refusal` is the response to requests that no node takes any more.
  caller_gateway(internal::rest_listener_options options, internal::rest_response refusal,
                 request_handler handler);
  ~caller_gateway() { listener_.stop(); }
  caller_gateway(const caller_gateway&) = delete;
  caller_gateway& operator=(const caller_gateway&) = delete;

  tl::expected<void, transport_error> start();
  std::uint16_t port() const { return listener_.port(); }

  // Responds to a request; may be called from any thread. No effect if it is answered already.
  void answer(call_id call, internal::rest_response response);

  // Refuses all open and further requests, waits until all responses are written and no request has
  // come for a moment, for `limit` at most, and stops the server. Returns the number of responses
  // that could not be written in time. Open requests must not have had an effect: the node answers
  // all that it has seen before it ends.
  std::size_t close(duration limit);

 private:
  void receive(const internal::rest_request& request, const internal::rest_responder& respond);
  std::optional<call_id> add(const internal::rest_responder& respond);
  internal::rest_responder take(call_id call);
  void refuse_open_calls();
  void write(const internal::rest_responder& respond, internal::rest_response response);

  internal::rest_response refusal_;
  request_handler handler_;
  std::atomic<std::size_t> writes_ = 0;  // responses so far
  // Shared with the responses that are being written.
  std::shared_ptr<std::atomic<std::size_t>> unwritten_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  // Destroyed after the calls, whose responders refer to it; its threads end before that.
  internal::rest_listener listener_;
  std::mutex mutex_;
  bool closing_ = false;
  call_id last_call_ = 0;
  std::unordered_map<call_id, internal::rest_responder> calls_;
};

}  // namespace coltsfoot
