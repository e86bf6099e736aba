// Receives requests of other entry nodes: HTTP/2 with prior knowledge, POST /peer, msgpack bodies.
//
//   peer_server server{{.address = "127.0.0.1", .port = 7400},
//                      [&](call_id call, peer_request request) { mailbox.push(...); },
//                      log};
//   if (const auto started = server.start(); !started) return started.error().message;
//   server.reply(call, reply);
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot {

struct peer_server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;                                     // 0: any free port
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;  // of one request
  std::uint32_t max_concurrent_streams = 256;                 // per connection
  std::size_t max_connections = 256;  // of which the least active one is closed for a new one
  // Of all streams: incomplete requests, requests that are not answered yet, and unread replies.
  std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
  duration idle_timeout{120'000};  // longer than the client's, so that the client closes first
};

// Counts since the start.
struct peer_server_stats {
  std::uint64_t requests = 0;              // passed to the handler
  std::uint64_t malformed = 0;             // answered 400 or 404
  std::uint64_t oversized = 0;             // answered 413
  std::uint64_t refused = 0;               // reset with REFUSED_STREAM
  std::uint64_t connections = 0;           // accepted
  std::uint64_t rejected_connections = 0;  // closed because of `max_connections`
  std::uint64_t received_bytes = 0;        // of the sockets
  std::uint64_t sent_bytes = 0;
};

// All member functions may be called from any thread. The handler runs on the server's thread and
// must not block. Each request must be answered by one `reply` or `refuse`; one for a call that is
// unknown or whose stream has ended has no effect.
class peer_server {
 public:
  // `call` is unique within this server.
  using request_handler = std::function<void(call_id call, peer_request request)>;

  peer_server(peer_server_options options, request_handler handler, log_sink log = {});
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  // Binds the address and starts the server's thread.
  tl::expected<void, transport_error> start();

  // Closes all connections and joins the thread. The destructor does the same.
  void stop();

  // The port that is listened on; 0 before `start`.
  std::uint16_t port() const;

  void reply(call_id call, const peer_reply& reply);

  // Tells the peer that the request was certainly not acted upon.
  void refuse(call_id call);

  // Stops accepting connections and sends GOAWAY; streams in progress end normally.
  void begin_drain();

  // Requests that were passed to the handler and are not answered yet. While the server drains,
  // connections that are still open count too: replies may be on their way.
  std::size_t in_progress() const;

  peer_server_stats stats() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace coltsfoot
