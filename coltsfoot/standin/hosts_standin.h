// Stand-in for the host list service.
//
//   hosts_standin hosts{{.hosts = list}};
//   hosts.start();
//   // GET /v1/hosts, GET and POST /control
//   // {"add": [{...}], "remove": ["w-1"], "leaving": ["w-2"], "not_leaving": [], "lag_ms": 500}
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/model/worker.h"
#include "coltsfoot/standin/internal/standin_server.h"

namespace coltsfoot {

struct hosts_switches {
  bool down = false;         // answers 503
  std::int64_t slow_ms = 0;  // delay of each answer
  std::int64_t lag_ms = 0;   // answers with the list as it was this long ago
};
COLTSFOOT_CODEC(hosts_switches, down, slow_ms, lag_ms)

struct hosts_standin_options {
  std::uint16_t port = 0;
  host_list hosts;
  hosts_switches switches;
};

// Reads a host list from a YAML or JSON file with the fields of `host_list`.
tl::expected<host_list, transport_error> load_host_list(const std::string& path);

class hosts_standin {
 public:
  explicit hosts_standin(hosts_standin_options options);

  tl::expected<void, transport_error> start() { return server_.start(); }
  void stop() { server_.stop(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  void handle(const internal::rest_request& request, const internal::rest_responder& respond);
  void control(const internal::rest_request& request, const internal::rest_responder& respond);
  const host_list& listed() const;

  hosts_switches switches_;
  // Each version of the list with the time since when it holds; never empty.
  std::vector<std::pair<time_point, host_list>> versions_;
  internal::standin_server server_;
};

}  // namespace coltsfoot
