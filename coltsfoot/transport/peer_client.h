// Sends requests to other entry nodes: HTTP/2 with prior knowledge, one connection per address.
//
//   peer_client client{{}, log};
//   client.send("10.0.0.7:7400", request, duration{500}, [&](peer_result result) { ... });
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

struct peer_client_options {
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;  // of one request or reply
  duration connect_timeout{1'000};
  duration first_backoff{50};  // after a failed connect; doubles with each further failure
  duration longest_backoff{2'000};
  duration idle_timeout{60'000};  // a connection without calls is closed after this time
};

// Counts since the start.
struct peer_client_stats {
  std::uint64_t requests = 0;          // calls of `send`
  std::uint64_t not_processed = 0;     // of these, certainly not acted upon
  std::uint64_t unknown = 0;           // of these, without a verdict
  std::uint64_t malformed = 0;         // replies that can't be decoded or are too large
  std::uint64_t connections = 0;       // made
  std::uint64_t connect_failures = 0;  // not made, also because an address is invalid
  std::uint64_t received_bytes = 0;    // of the sockets
  std::uint64_t sent_bytes = 0;
};

using peer_result = tl::expected<peer_reply, peer_failure>;

// All member functions may be called from any thread. Callbacks run on the client's thread and must
// not block. Each call gets exactly one result, at the latest when the client is destroyed.
class peer_client {
 public:
  using callback = std::function<void(peer_result)>;

  explicit peer_client(peer_client_options options = {}, log_sink log = {});
  ~peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;

  // Sends `request` to `address` ("ip:port"). A call made during the back-off after a failed
  // connect fails at once as `not_processed`.
  void send(std::string address, const peer_request& request, duration timeout, callback done);

  // Ends all calls that are open and joins the thread. The destructor does the same.
  void stop();

  peer_client_stats stats() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace coltsfoot
