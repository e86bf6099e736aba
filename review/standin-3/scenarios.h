// Scenarios of the review. Each one plays a deployment and returns the exit code of its script.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace coltsfoot::review {

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

struct scenario_options {
  std::string folder;  // for settings and logs
  std::string record;  // path of the record
  bool trouble = true;
};

// One entry of a worker in the registry lacks its labels until the worker's next check-in.
int play_foreign_entry(const scenario_options& options);
// The store loses its answers to acceptances and executes them late, while a rack is added.
int play_new_rack(const scenario_options& options);
// All workers of one rack are lost, while another rack has idle workers of the same kind.
int play_lost_kind(const scenario_options& options);
// A worker restarts under its id while start orders for its former life are under way.
int play_reborn(const scenario_options& options);
// A worker restarts behind a cut, and nothing is heard of that.
int play_unheard_restart(const scenario_options& options);

struct scenario {
  std::string_view name;
  int (*play)(const scenario_options&);
};
inline constexpr std::array scenarios{
    scenario{"foreign_entry", play_foreign_entry}, scenario{"new_rack", play_new_rack},
    scenario{"lost_kind", play_lost_kind}, scenario{"reborn", play_reborn},
    scenario{"unheard_restart", play_unheard_restart}};

}  // namespace coltsfoot::review
