// Runs a job node: its listeners, its clients and its control thread.
#pragma once

#include "coltsfoot/config/fleet_settings.h"

namespace coltsfoot {

// Returns the exit code of the process. Ends at SIGTERM or SIGINT; SIGHUP reads the settings file
// at `settings_path` again.
int run_fleet_daemon(const fleet_settings& settings, const std::string& settings_path);

}  // namespace coltsfoot
