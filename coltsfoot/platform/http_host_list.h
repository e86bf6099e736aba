// Host list over HTTP. The protocol is described in docs/platform.md.
//
//   http_host_list hosts{client, {.url = "http://10.0.0.9:9100", .timeout = duration{1'000}}};
//   hosts.read([](host_list_result result) { ... });
#pragma once

#include <string>

#include "coltsfoot/platform/concepts.h"
#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

struct http_host_list_options {
  std::string url;  // without a trailing slash
  duration timeout{1'000};
};

// An answer of the host list service that does not follow the protocol.
struct host_list_protocol_error {
  std::string message;
};

class http_host_list {
 public:
  // `client` must outlive the adapter. `log` gets a line for each failed call.
  http_host_list(http_client& client, http_host_list_options options, log_sink log = {});

  void read(host_list_callback done);

 private:
  http_client& client_;
  http_host_list_options options_;
  log_sink log_;
};

static_assert(host_list_service<http_host_list>);

}  // namespace coltsfoot
