// Soak of real coltsfoot_fleetd processes on loopback, with faults that are drawn from a seed:
//
//   fleet_soak --seed 7 --seconds 60 --folder /tmp/soak-7 [--program target/coltsfoot_fleetd]
//
// Exits with 1 if a promise was broken: no task runs twice, each accepted job ends, no process ends
// by itself. The folder keeps the record, the settings and the logs of the processes.
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "tests/soak/fault_series.h"

namespace coltsfoot::testing {
namespace {

constexpr std::int64_t step_ms = 50;
constexpr std::int64_t longest_pause_between_jobs_ms = 400;
// After the last fault, within which all accepted jobs have to end.
constexpr std::int64_t calm_ms = 60'000;

struct soak_options {
  long seed = 1;
  long seconds = 60;
  std::string folder;
  std::string program;
};

void sleep_ms(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

class soak_run {
 public:
  explicit soak_run(const soak_options& options)
      : options_(options),
        random_(static_cast<std::uint64_t>(options.seed) + 1'000'000),
        fleet_({.program = options.program, .folder = options.folder}) {}

  int run() {
    if (!fleet_.start()) return conclude("the processes did not become ready");
    for (int i = 0; i < 4; ++i) submit(0);
    sleep_ms(3'000);
    fault_series faults{fleet_, static_cast<std::uint64_t>(options_.seed)};
    const auto end = fleet_.record().now_ms() + options_.seconds * 1'000;
    std::int64_t next_job = 0;
    while (fleet_.record().now_ms() < end) {
      faults.step();
      crashed_ += fleet_.revive_crashed();
      if (fleet_.record().now_ms() >= next_job) {
        submit(300 + static_cast<std::int64_t>(draw(6'000)));
        next_job = fleet_.record().now_ms() +
                   static_cast<std::int64_t>(draw(longest_pause_between_jobs_ms));
      }
      sleep_ms(step_ms);
    }
    faults.mend_all();
    wait_until([&] { return fleet_.open_jobs() == 0 || !(sleep_ms(500), true); },
               std::chrono::milliseconds{calm_ms});
    return conclude({});
  }

 private:
  std::size_t draw(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  void submit(std::int64_t work_ms) {
    fleet_.submit(fmt::format("{:016x}", ++last_job_), draw(fleet_.node_count()), 1 + draw(4),
                  work_ms);
  }

  int conclude(const std::string& failure) {
    auto broken = fleet_.workers().broken();
    if (!failure.empty()) broken.insert(failure);
    if (crashed_ > 0) broken.insert(fmt::format("{} processes ended by themselves", crashed_));
    const auto jobs = fleet_.jobs();
    std::size_t accepted = 0;
    for (const auto& [id, job] : jobs) {
      accepted += job.accepted ? 1 : 0;
      if (job.accepted && !job.lasts && !job.completed) broken.insert("LOST job " + id);
    }
    fmt::print("seed={} verdict={} jobs={} accepted={} starts={} broken={}\n", options_.seed,
               broken.empty() ? "held" : "broken", jobs.size(), accepted, fleet_.workers().starts(),
               broken.size());
    for (const auto& text : broken) fmt::print("seed={} {}\n", options_.seed, text);
    return broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
  }

  soak_options options_;
  random_engine random_;
  soak_fleet fleet_;
  std::uint64_t last_job_ = 0;
  std::size_t crashed_ = 0;
};

}  // namespace
}  // namespace coltsfoot::testing

int main(int argc, const char** argv) {
  coltsfoot::testing::soak_options options;
  char* folder = nullptr;
  char* program = nullptr;
  const std::vector<poptOption> table{
      {"seed", 0, POPT_ARG_LONG, &options.seed, 0, "seed of the faults and jobs", "N"},
      {"seconds", 0, POPT_ARG_LONG, &options.seconds, 0, "how long faults come", "S"},
      {"folder", 0, POPT_ARG_STRING, static_cast<void*>(&folder), 0, "for logs and the record",
       "PATH"},
      {"program", 0, POPT_ARG_STRING, static_cast<void*>(&program), 0, "coltsfoot_fleetd to run",
       "PATH"},
      POPT_AUTOHELP POPT_TABLEEND};
  auto* context = poptGetContext(nullptr, argc, argv, table.data(), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1 || folder == nullptr) {
    fmt::print(stderr, "fleet_soak: {}\n",
               parsed == -1 ? "--folder is missing" : poptStrerror(parsed));
    return EXIT_FAILURE;
  }
  options.folder = folder;
  options.program =
      program == nullptr ? coltsfoot::testing::program_path("coltsfoot_fleetd") : program;
  std::filesystem::create_directories(options.folder);
  return coltsfoot::testing::soak_run{options}.run();
}
