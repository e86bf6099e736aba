// Entry point of the job node daemon.
#include <fmt/format.h>
#include <popt.h>

#include <string>

#include "coltsfoot/config/fleet_settings.h"
#include "coltsfoot/daemon/fleet_daemon.h"

namespace {

constexpr int exit_usage = 2;

struct command_line {
  std::string settings_path;
  bool check_only = false;
  bool print_version = false;
};

// Parses the command line into `out`. On failure, prints the error to stderr and returns false.
bool parse_command_line(int argc, const char** argv, command_line& out) {
  char* path = nullptr;
  int check = 0;
  int version = 0;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, static_cast<void*>(&path), 0, "settings file (YAML)",
       "FILE"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings file and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("coltsfoot_fleetd", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  const char* extra = poptGetArg(context);
  if (result < -1) {
    fmt::print(stderr, "coltsfoot_fleetd: {}: {}\n", poptBadOption(context, 0),
               poptStrerror(result));
  } else if (extra != nullptr) {
    fmt::print(stderr, "coltsfoot_fleetd: unexpected argument: {}\n", extra);
  }
  out = {.settings_path = path == nullptr ? "" : path,
         .check_only = check != 0,
         .print_version = version != 0};
  const bool valid = result >= -1 && extra == nullptr;
  poptFreeContext(context);
  return valid;
}

}  // namespace

int main(int argc, const char** argv) {
  command_line line;
  if (!parse_command_line(argc, argv, line)) return exit_usage;
  if (line.print_version) {
    fmt::print("coltsfoot_fleetd {}\n", COLTSFOOT_VERSION);
    return 0;
  }
  if (line.settings_path.empty()) {
    fmt::print(stderr, "coltsfoot_fleetd: --config FILE is required\n");
    return exit_usage;
  }
  const auto settings = coltsfoot::load_fleet_settings(line.settings_path);
  if (!settings) {
    fmt::print(stderr, "coltsfoot_fleetd: {}\n", coltsfoot::to_string(settings.error()));
    return exit_usage;
  }
  if (line.check_only) {
    for (const auto& key : settings->unfilled) {
      fmt::print("{}: {}: is not filled in, the default holds\n", line.settings_path, key);
    }
    fmt::print("{}: settings are valid\n", line.settings_path);
    return 0;
  }
  return coltsfoot::run_fleet_daemon(*settings, line.settings_path);
}
