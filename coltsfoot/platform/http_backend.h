// Backend servers over HTTP/1.1. The protocol is described in docs/platform.md.
//
//   http_backend backends{client};
//   backends.call("10.0.1.4:8000", request, duration{200}, [](service_answer answer) { ... });
#pragma once

#include <string>

#include "coltsfoot/platform/concepts.h"
#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

// A request that can't be sent as HTTP.
struct backend_protocol_error {
  std::string message;
};

class http_backend {
 public:
  // `client` must outlive the adapter. `log` gets a line for each failed call.
  explicit http_backend(http_client& client, log_sink log = {});

  // Without a whole answer, the result is a refusal: `backend_failed`, `not_run` if no byte of the
  // request was sent and `unknown` otherwise.
  void call(const std::string& address, service_request request, duration timeout,
            backend_callback done);

 private:
  http_client& client_;
  log_sink log_;
};

static_assert(backend_service<http_backend>);

}  // namespace coltsfoot
