// Runs a job node: its listeners, its clients and its control thread.
#pragma once

#include "coltsfoot/config/fleet_settings.h"

namespace coltsfoot {

// Runs until SIGTERM or SIGINT and returns the exit code of the process. SIGHUP reads and validates
// the settings file at `settings_path`; the limits on clients take effect at once, the other values
// at the next start.
int run_fleet_daemon(const fleet_settings& settings, const std::string& settings_path);

}  // namespace coltsfoot
