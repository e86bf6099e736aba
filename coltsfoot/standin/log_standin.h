// Stand-in for the log service: in-memory streams with injected failures.
//
//   log_standin log{{.port = 0}};
//   log.start();
//   // POST /v1/streams/<name>, GET /v1/streams/<name>?from=N&max=M, GET and POST /control
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/model/records.h"
#include "coltsfoot/standin/internal/standin_server.h"

namespace coltsfoot {

// POST /control changes the fields that its JSON object has.
struct log_switches {
  bool down = false;                     // answers 503
  std::int64_t slow_ms = 0;              // delay of each answer
  std::int64_t lose_append_answers = 0;  // appends that are written but get no answer
  std::int64_t retention_entries = 0;    // per stream; 0: no limit
  std::int64_t retention_ms = 0;         // 0: no limit
};
COLTSFOOT_CODEC(log_switches, down, slow_ms, lose_append_answers, retention_entries, retention_ms)

struct log_standin_options {
  std::uint16_t port = 0;
  log_switches switches;
};

class log_standin {
 public:
  explicit log_standin(log_standin_options options);

  tl::expected<void, transport_error> start() { return server_.start(); }
  void stop() { server_.stop(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  struct stored_entry {
    std::string payload;
    time_point appended_at;
  };
  struct stream {
    log_offset first = 0;
    std::deque<stored_entry> entries;
  };

  void handle(const internal::rest_request& request, const internal::rest_responder& respond);
  void control(const internal::rest_request& request, const internal::rest_responder& respond);
  internal::rest_response append(const std::string& name, const std::string& payload);
  internal::rest_response read(const std::string& name, const std::string& target);
  void trim(stream& stream, time_point now) const;

  log_switches switches_;
  std::map<std::string, stream> streams_;
  std::uint64_t appends_ = 0;
  std::uint64_t append_bytes_ = 0;
  std::uint64_t lost_answers_ = 0;
  std::uint64_t reads_ = 0;
  internal::standin_server server_;
};

}  // namespace coltsfoot
