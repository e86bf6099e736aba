// The entry node process: wires settings, transport, platform adapters and the core together.
//
//   auto settings = load_settings("node.yaml");
//   return run_daemon(*settings);
#pragma once

#include "coltsfoot/config/settings.h"
#include "coltsfoot/node/node_core.h"

namespace coltsfoot {

// Options of the core that follow from the settings. `incarnation` names this run of the node;
// `wall_offset` is the wall clock minus the monotonic clock.
node_core_options core_options(const node_settings& settings, chart_set charts,
                               std::uint64_t incarnation, duration wall_offset);

// Runs a node until SIGTERM or SIGINT and its graceful shutdown. Returns the exit status: 0, or 1
// if listening on an address or reading a chart failed.
int run_daemon(const node_settings& settings);

}  // namespace coltsfoot
