// Log service over HTTP. The protocol is described in docs/platform.md.
//
//   http_log log{client, {.url = "http://10.0.0.9:9000", .timeout = duration{2'000}}};
//   log.append("config", payload, [](append_result result) { ... });
#pragma once

#include <cstdint>
#include <string>

#include "coltsfoot/platform/concepts.h"
#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

struct http_log_options {
  std::string url;  // without a trailing slash
  duration timeout{2'000};
};

// An answer of the log service that does not follow the protocol.
struct log_protocol_error {
  std::string message;
};

class http_log {
 public:
  // `client` must outlive the adapter. `log` gets a line for each failed call.
  http_log(http_client& client, http_log_options options, log_sink log = {});

  void append(const std::string& stream, std::string payload, append_callback done);
  void read(const std::string& stream, log_offset from, std::uint32_t max_entries,
            read_callback done);

 private:
  http_client& client_;
  http_log_options options_;
  log_sink log_;
};

static_assert(log_service<http_log>);

}  // namespace coltsfoot
