// Settings of the daemon, read from a YAML file with one flat map and checked as a whole.
//
//   auto settings = load_settings("node.yaml");
//   if (!settings) report(to_string(settings.error()));  // "node.yaml:7: lease: wrong unit"
//
// Durations are written with a unit (ms, s, m, h), addresses as "ip:port" with IP numbers.
// Keys, defaults and ranges are in the table of settings.cc.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/config/yaml_input.h"
#include "coltsfoot/node/commands.h"

namespace coltsfoot {

// Members have the names of the keys. `settings_reference` describes them.
struct node_settings {
  node_id node;
  zone_id zone;
  std::string caller_address;
  std::string operator_address;  // may equal `caller_address`: one server then serves both
  std::string peer_address;
  std::string advertised_peer_address;
  std::vector<std::string> seed_peers;
  std::string log_url;
  std::string hosts_url;
  std::string charts_directory;

  duration heartbeat_interval{0};
  duration suspect_time{0};
  duration config_poll_interval{0};
  duration stream_poll_interval{0};
  duration host_list_interval{0};
  duration worker_sync_interval{0};
  duration lease{0};
  duration lease_margin{0};
  duration confirmation_period{0};
  duration peer_timeout{0};
  duration log_timeout{0};
  duration request_timeout{0};
  duration longest_backend_call{0};
  duration retention{0};
  duration shutdown_limit{0};

  std::uint64_t max_body_bytes = 0;
  std::uint64_t max_requests_in_flight = 0;
  std::uint64_t max_queued_requests = 0;
  std::uint64_t max_queued_tasks = 0;
  // Limits on clients. 0: derived, see client_limits.h.
  std::uint64_t memory_mb = 0;
  std::uint64_t file_descriptors = 0;
  std::uint64_t client_memory_mb = 0;
  std::uint64_t client_connections = 0;
  double urgent_floor = 0;
  double deferrable_floor = 0;
  double retry_budget = 0;

  severity log_level = severity::info;
  std::uint64_t seed = 0;
};

// Parses settings. Errors name `file`, line and key.
tl::expected<node_settings, config_error> parse_settings(std::string_view yaml,
                                                         const std::string& file);

// Same, from a file of at most 64 KiB.
tl::expected<node_settings, config_error> load_settings(const std::string& path);

// Returns a Markdown table of all keys with default, range and meaning.
std::string settings_reference();

// Whether `text` is "ip:port" with an IPv4 number or a bracketed IPv6 number and a port from 1 up.
bool is_ip_port(std::string_view text);

}  // namespace coltsfoot
