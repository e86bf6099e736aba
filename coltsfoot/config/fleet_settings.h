// Settings of a job node, read from one YAML file.
//
//   auto settings = load_fleet_settings("fleet.yaml");
//   if (!settings) report(to_string(settings.error()));
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/time.h"
#include "coltsfoot/config/yaml_input.h"

namespace coltsfoot {

struct fleet_settings {
  std::string node;                        // name of this node, unique in the fleet
  std::string zone;                        // availability zone
  std::string caller_address;              // "ip:port" for callers
  std::string readiness_address;           // "ip:port" of the readiness probe
  std::string peer_address;                // "ip:port" for other nodes
  std::string metrics_address;             // "ip:port" of /metrics
  std::string store_address;               // "ip:port" of the metadata store
  std::uint32_t processor_millicores = 0;  // of this node, in thousandths of a core; 0: unknown
  double link_bytes_per_s = 0;             // of this node's link; 0: unknown
  std::uint32_t journal_partitions = 1;    // of the store, the most shards there can be
  // Limits on clients. 0: derived, see client_limits.h.
  std::uint32_t memory_mb = 0;           // of this node; 0: of the machine
  std::uint32_t file_descriptors = 0;    // of this node; 0: the limit of the process
  std::uint32_t client_memory_mb = 0;    // unfinished requests and unread responses
  std::uint32_t client_connections = 0;  // open connections of clients, all listeners
  duration longest_lease{10'000};        // that a worker grants
  duration shutdown_grace{6'000};        // from the stop signal to the kill
  // That a task takes to resume from a checkpoint; 0: slow fill tasks stay where they are.
  duration restore{0};
  std::vector<std::string> unfilled;  // keys whose placeholders were not filled in
};

// What becomes of a setting with a default whose placeholder (`{{name}}`) was not filled in. Who
// fills a template in may know fewer fields than the template has.
enum class unfilled_setting {
  takes_default,  // and is named in `unfilled`
  is_an_error     // for a process that has a value already
};

// All keys that have no default must be given. Unknown keys are errors.
tl::expected<fleet_settings, config_error> parse_fleet_settings(
    std::string_view text, const std::string& file,
    unfilled_setting unfilled = unfilled_setting::takes_default);
tl::expected<fleet_settings, config_error> load_fleet_settings(
    const std::string& path, unfilled_setting unfilled = unfilled_setting::takes_default);

}  // namespace coltsfoot
