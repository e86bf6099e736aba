// Stand-in for a backend server: answers after a given time and keeps a journal of what it ran.
//
//   backend_standin backend{{.slots = 8}};
//   backend.start();
//   // any method on /work?ms=N, GET and POST /control
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/standin/internal/standin_server.h"

namespace coltsfoot {

struct backend_switches {
  bool down = false;                  // closes connections; requests are not run
  std::int64_t slow_ms = 0;           // added to each run time
  std::int64_t fail = 0;              // requests that are answered with status 500
  std::int64_t truncate_answers = 0;  // answers that are cut off after half of their length
  std::int64_t lose_answers = 0;      // requests that are run but get no answer
};
COLTSFOOT_CODEC(backend_switches, down, slow_ms, fail, truncate_answers, lose_answers)

struct backend_standin_options {
  std::uint16_t port = 0;
  std::int64_t slots = 8;  // requests that run at once; others wait in order of arrival
  backend_switches switches;
};

class backend_standin {
 public:
  explicit backend_standin(backend_standin_options options);
  ~backend_standin();
  backend_standin(const backend_standin&) = delete;
  backend_standin& operator=(const backend_standin&) = delete;

  tl::expected<void, transport_error> start() { return server_.start(); }
  void stop() { server_.stop(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  void handle(const internal::rest_request& request, const internal::rest_responder& respond);
  void control(const internal::rest_request& request, const internal::rest_responder& respond);
  void run(const internal::rest_request& request, const internal::rest_responder& respond);
  void finish(const std::string& request_id, const internal::rest_responder& respond);
  internal::rest_response answer_for(const std::string& request_id);

  std::int64_t slots_ = 0;
  backend_switches switches_;
  std::int64_t running_ = 0;
  std::int64_t max_concurrent_ = 0;  // running and waiting
  std::deque<std::function<void()>> waiting_;
  nlohmann::json journal_ = nlohmann::json::array();
  internal::standin_server server_;
};

}  // namespace coltsfoot
