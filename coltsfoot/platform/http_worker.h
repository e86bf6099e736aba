// Worker synchronisation over HTTP. The protocol is described in docs/platform.md.
//
//   http_worker workers{client};
//   workers.sync("10.0.1.4:9200", request, duration{500}, [](sync_result result) { ... });
#pragma once

#include <string>

#include "coltsfoot/platform/concepts.h"
#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

// An answer of a worker that does not follow the protocol.
struct worker_protocol_error {
  std::string message;
};

class http_worker {
 public:
  // `client` must outlive the adapter. `log` gets a line for each failed call.
  explicit http_worker(http_client& client, log_sink log = {});

  void sync(const std::string& address, const worker_sync_request& request, duration timeout,
            sync_callback done);

 private:
  http_client& client_;
  log_sink log_;
};

static_assert(worker_service<http_worker>);

}  // namespace coltsfoot
