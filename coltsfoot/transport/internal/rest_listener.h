// One RESTinio listener with typed requests and answers. Used by the caller and operator server and
// by the stand-ins.
//
//   rest_listener listener{{.port = 0}, [](rest_request request, const rest_responder& respond) {
//                            respond({.status = 200, .body = "hello"});
//                          }};
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/time.h"
#include "coltsfoot/model/request.h"
#include "coltsfoot/transport/client_budget.h"
#include "coltsfoot/transport/internal/http_text.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot::internal {

struct rest_request {
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string body;
  std::shared_ptr<waiting_request> waiting;  // what it counts as until it is answered

  // Returns the value of the first header of this name (case ignored), or null.
  const std::string* header(std::string_view name) const;
};

struct rest_response {
  int status = 200;
  std::vector<http_header> headers;  // without Content-Length, which follows from `body`
  std::string body;
  bool close = false;  // close the connection after the answer
  // For tests of truncation: announce this Content-Length instead of the body's and close.
  std::size_t announced_length = 0;
  bool drop = false;  // for tests of lost answers: close the connection without an answer
  // Destroyed once the answer is handed to the kernel or can't be sent any more.
  std::shared_ptr<void> until_written;
};

// Tells a client that its request was not run for want of memory, and when to come back.
rest_response not_run_response();

// Answers one request; may be called from any thread, but not while the listener is being
// destroyed. Later calls have no effect, nor has one after the listener's end.
using rest_responder = std::function<void(rest_response)>;
// Runs on a thread of the listener and must not block.
using rest_handler = std::function<void(rest_request, const rest_responder&)>;

struct rest_listener_options {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t threads = 1;
  // Requests beyond these bounds are cut off by closing the connection.
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_header_value_bytes = std::size_t{64} * 1024;
  std::size_t max_header_count = 256;
  std::size_t max_target_bytes = std::size_t{64} * 1024;
  std::size_t max_connections = 4096;  // without `clients`, which have a limit of their own
  duration idle_timeout{60'000};
  duration answer_timeout{600'000};        // the connection is closed if there is no answer by then
  std::shared_ptr<client_budget> clients;  // shared with other listeners; null: no limits
  // To complete requests that the budget has no memory for. The connection is closed after it.
  rest_response refusal = not_run_response();
};

// Counts since the start.
struct rest_listener_stats {
  std::uint64_t connections = 0;           // accepted
  std::uint64_t rejected_connections = 0;  // closed at once because of `max_connections`
  std::uint64_t received_body_bytes = 0;   // of whole requests
  std::uint64_t sent_body_bytes = 0;       // of answers
};

class rest_listener {
 public:
  rest_listener(rest_listener_options options, rest_handler handler);
  ~rest_listener();
  rest_listener(const rest_listener&) = delete;
  rest_listener& operator=(const rest_listener&) = delete;

  tl::expected<void, transport_error> start();
  // Stops the threads. Responders may be kept longer than the listener.
  void stop();
  std::uint16_t port() const;
  rest_listener_stats stats() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::internal
