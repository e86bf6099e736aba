// HTTP/1.1 server for callers (/v1/services/) and operators (/v1/admin/, /healthz, /readyz,
// /metrics).
//
//   http_server server{{.callers = {"127.0.0.1", 8080}, .operators = {"127.0.0.1", 8081}},
//                      {.on_caller = [&](call_id call, service_request request) { ... },
//                       .on_operator = [&](call_id call, operator_request request) { ... },
//                       .metrics = [&] { return exposition(); }}};
//   if (const auto started = server.start(); !started) return started.error().message;
//   server.answer_caller(call, answer);
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/operator_messages.h"
#include "coltsfoot/model/request.h"
#include "coltsfoot/transport/client_budget.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

struct listen_address {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port
  friend bool operator==(const listen_address&, const listen_address&) = default;
};

struct http_server_options {
  listen_address callers;
  // One listener serves both APIs if this equals `callers` and the port is not 0.
  listen_address operators;
  bool share_listener = false;  // one listener for both, also with port 0
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t max_header_value_bytes = std::size_t{8} * 1024;
  std::size_t max_header_count = 64;
  std::size_t max_target_bytes = std::size_t{8} * 1024;
  std::size_t max_connections = 4096;  // per listener; without `clients`
  duration default_deadline{30'000};   // of requests without coltsfoot-deadline-ms
  duration longest_deadline{300'000};
  duration idle_timeout{60'000};
  duration retry_after{1'000};  // told to callers that are refused while the server drains
  std::shared_ptr<client_budget> clients;  // null: no limits
};

// Handlers run on a thread of the server and must not block. `call` is unique within the server.
struct http_server_handlers {
  std::function<void(call_id call, service_request request)> on_caller;
  std::function<void(call_id call, operator_request request)> on_operator;
  std::function<std::string()> metrics;  // body of GET /metrics
};

struct http_server_stats {
  std::uint64_t caller_requests = 0;    // passed to the handler
  std::uint64_t operator_requests = 0;  // passed to the handler
  std::uint64_t malformed = 0;          // answered 400, 404, 405 or 413
  std::uint64_t refused_draining = 0;
  std::uint64_t connections = 0;           // accepted
  std::uint64_t rejected_connections = 0;  // closed at once because of `max_connections`
  std::uint64_t received_body_bytes = 0;   // of whole requests
  std::uint64_t sent_body_bytes = 0;       // of answers
};

// All member functions may be called from any thread. Each call must be answered once; an answer to
// a call that is unknown has no effect.
class http_server {
 public:
  http_server(http_server_options options, http_server_handlers handlers, log_sink log = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // A body up to this size is read, and answered with 413 if it is above `max_body_bytes`.
  static constexpr std::size_t listener_body_bytes(std::size_t max_body_bytes) {
    return 2 * max_body_bytes + 65'536;
  }

  tl::expected<void, transport_error> start();

  // Closes all connections and joins the threads. The destructor does the same.
  void stop();

  std::uint16_t caller_port() const;
  std::uint16_t operator_port() const;

  void answer_caller(call_id call, const service_answer& answer);
  void answer_operator(call_id call, const operator_reply& reply);

  // Sets what /readyz answers: 200 or 503.
  void set_ready(bool ready);

  // Refuses further caller requests with 503 shutting_down and closes connections after their
  // answer. The operator API and the health addresses stay in service.
  void begin_drain();

  // Drains, and refuses the caller requests that are not answered yet. For a handler that has ended
  // after it answered all requests that it may have dispatched: the others are refused as not run.
  void refuse_open_calls();

  // Caller requests that were passed to the handler and whose answers are not written yet.
  std::size_t in_progress() const;

  http_server_stats stats() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace coltsfoot
