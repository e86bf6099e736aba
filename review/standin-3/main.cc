// Plays a scenario of the review: review_fleet SCENARIO FOLDER RECORD. TROUBLE=0 in the environment
// leaves out the disruption. Exits with 1 if a rule was broken, 0 if not, 2 if it could not run.
#include <fmt/format.h>

#include <cstdlib>
#include <exception>

#include "scenarios.h"

int main(int argc, const char** argv) {
  using namespace coltsfoot::review;
  if (argc != 4) {
    fmt::print(stderr, "usage: review_fleet SCENARIO FOLDER RECORD\n");
    return exit_not_run;
  }
  const char* trouble = std::getenv("TROUBLE");
  const scenario_options options{.folder = argv[2],
                                 .record = argv[3],
                                 .trouble = trouble == nullptr || std::string_view{trouble} != "0"};
  for (const auto& scenario : scenarios) {
    if (scenario.name != argv[1]) continue;
    try {
      return scenario.play(options);
    } catch (const std::exception& error) {
      fmt::print(stderr, "review_fleet: {}\n", error.what());
      return exit_not_run;
    }
  }
  fmt::print(stderr, "review_fleet: no scenario {}\n", argv[1]);
  return exit_not_run;
}
