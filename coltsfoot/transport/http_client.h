// HTTP/1.1 client: libcurl's multi interface on one thread of its own.
//
//   http_client client{{}};
//   client.send({.method = "GET", .url = "http://10.0.0.9/v1/hosts", .timeout = duration{500}},
//               [](http_result result) { ... });
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/time.h"
#include "coltsfoot/model/request.h"

namespace coltsfoot {

struct http_client_options {
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;  // body; larger answers fail
  std::size_t max_header_bytes = std::size_t{64} * 1024;
  long max_connections_per_host = 64;
  duration connect_timeout{1'000};
  // Shorter than the keep-alive time of common servers: a request on a connection that the server
  // is about to close has an unknown outcome.
  duration max_idle_connection{15'000};
};

struct http_request {
  std::string method = "GET";
  std::string url;  // http only
  std::vector<http_header> headers;
  std::string body;
  duration timeout{10'000};  // connecting and waiting for a connection included
  // If set, the request also fails once no byte of the answer has come for this long. `timeout` may
  // then be far longer: a large answer over a slow link is waited for as long as it makes progress.
  std::optional<duration> stall_timeout;
  std::string_view kind = "other";  // under which its traffic is counted; a string literal
};

// Traffic of the requests of one kind that have ended, headers included.
struct http_traffic {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;  // without a complete answer
  std::uint64_t connections = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;

  http_traffic& operator+=(const http_traffic& other);
  friend http_traffic operator-(const http_traffic& a, const http_traffic& b);
  friend bool operator==(const http_traffic&, const http_traffic&) = default;
};
using http_traffic_by_kind = std::map<std::string_view, http_traffic>;

// A complete answer: the body has the announced length, or its last chunk was received.
struct http_response {
  std::int32_t status = 0;
  std::vector<http_header> headers;
  std::string body;
};

enum class http_failure {
  not_sent,  // not connected, or no byte of the request was sent
  unknown    // at least a part was sent and no complete answer was received
};
template <>
struct enum_names<http_failure> {
  static constexpr std::array table{std::pair{http_failure::not_sent, std::string_view{"not_sent"}},
                                    std::pair{http_failure::unknown, std::string_view{"unknown"}}};
};

struct http_error {
  http_failure kind = http_failure::unknown;
  std::string detail;
};

using http_result = tl::expected<http_response, http_error>;

// `send` may be called from any thread. Callbacks run on the client's thread and must not block.
// Each request gets exactly one result, at the latest when the client is destroyed. Redirects are
// not followed and no request is sent twice.
class http_client {
 public:
  using callback = std::function<void(http_result)>;

  explicit http_client(http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  void send(http_request request, callback done);

  // Traffic since the start. May be called from any thread.
  http_traffic_by_kind traffic() const;
  // Returns the longest time that a request has waited for the client's thread since the last call.
  duration take_longest_delay();

  // Ends all requests that are open and joins the thread. The destructor does the same.
  void stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Returns `text` with every byte outside the unreserved set of RFC 3986 percent-encoded.
std::string url_encode(std::string_view text);

}  // namespace coltsfoot
