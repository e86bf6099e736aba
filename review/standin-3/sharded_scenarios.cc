// Scenarios of fleets with several shards.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "kind_registry.h"
#include "review_fleet.h"
#include "scenario_result.h"
#include "scenarios.h"

namespace coltsfoot::review {
namespace {

using nlohmann::json;

// More than one shard serves.
constexpr std::size_t fleet_workers = 140;

}  // namespace

int play_foreign_entry(const scenario_options& options) {
  constexpr std::int64_t round_gap_ms = 100;
  constexpr int rounds_before = 30;
  constexpr int rounds_after = 60;
  constexpr int jobs_per_round = 6;
  review_fleet fleet{
      {.folder = options.folder, .record = options.record, .workers = fleet_workers}};
  if (!fleet.start()) return exit_not_run;
  int submitted = 0;
  const auto submit_round = [&] {
    for (int i = 0; i < jobs_per_round; ++i) {
      const simple_job job{
          .tasks = 4, .work_ms = 100 + 3 * i, .millicores = 1'000, .data_rack = "r1-0"};
      const auto number = static_cast<std::uint64_t>(submitted++);
      fleet.submit(number % fleet.node_count(), job_name(number), body_of(job));
    }
    sleep_for(round_gap_ms);
  };
  for (int i = 0; i < rounds_before; ++i) submit_round();
  if (options.trouble) {
    const std::string id = "i-0007";
    auto entry = json::parse(fleet.store().newest("keyed.servers", id));
    entry.erase("labels");
    fleet.record().note("entry without labels written: " + id);
    fleet.store().put("keyed.servers", id, entry.dump());
  }
  for (int i = 0; i < rounds_after; ++i) submit_round();
  finish_jobs(fleet, 14'000);
  return verdict(fleet);
}

int play_new_rack(const scenario_options& options) {
  constexpr int jobs = 2;  // one for each shard
  constexpr std::size_t new_workers = 4;
  constexpr std::int64_t lost_for_ms = 2'600;
  constexpr std::int64_t late_by_ms = 4'500;
  review_fleet fleet{{.folder = options.folder,
                      .record = options.record,
                      .workers = fleet_workers,
                      .silent_workers = new_workers}};
  if (!fleet.start()) return exit_not_run;
  sleep_for(2'000);
  const auto records_before = fleet.journal_end(0) + fleet.journal_end(1);
  if (options.trouble) {
    fleet.store().delay_caller_appends(late_by_ms);
    fleet.record().note("appends of acceptances get no answer and are executed 4.5 s later");
  }
  const auto body = body_of({.tasks = 2, .work_ms = 8'000, .data_rack = "r1-new"});
  for (int i = 0; i < jobs; ++i) {
    fleet.submit(0, job_name(static_cast<std::uint64_t>(i)), body);
  }
  sleep_for(300);
  for (auto i = fleet_workers - new_workers; i < fleet_workers; ++i) {
    fleet.workers().cut_store(i, false);
  }
  fleet.record().note("workers of a new rack register");
  sleep_for(lost_for_ms - 300);
  fleet.store().delay_caller_appends(0);
  // The owners append one record at a time while nothing runs.
  fleet.record().note(
      fmt::format("appends are answered again; records of other appends meanwhile: {}",
                  fleet.journal_end(0) + fleet.journal_end(1) - records_before));
  sleep_for(6'000);
  finish_jobs(fleet, 20'000);
  return verdict(fleet);
}

int play_lost_kind(const scenario_options& options) {
  // LOST: 14 s after the end of the traffic, no job may have nothing running for 3 s while there is
  // room for it.
  constexpr std::int64_t finish_ms = 14'000;
  constexpr std::int64_t watched_ms = 30'000;
  constexpr int jobs = 8;
  review_fleet fleet{
      {.folder = options.folder, .record = options.record, .workers = fleet_workers}};
  if (!fleet.start_workers()) return exit_not_run;
  fleet.start_world();
  kind_registry registry{fleet, {"r1-8", "r1-9"}};
  if (!registry.start() || !fleet.start()) return exit_not_run;
  sleep_for(2'000);
  if (options.trouble) {
    const auto lost = registry.lose_rack("r1-9");
    fleet.record().note(fmt::format("all workers of rack r1-9 are lost for good: {}", lost));
  }
  sleep_for(12'000);
  const auto body = body_of({.tasks = 2, .work_ms = 500, .label = rare_kind});
  for (int i = 0; i < jobs; ++i) {
    fleet.submit(static_cast<std::size_t>(i) % fleet.node_count(),
                 job_name(static_cast<std::uint64_t>(i)), body);
  }
  sleep_for(finish_ms);
  const auto open = finish_jobs(fleet, watched_ms);
  const auto exit_code = verdict(fleet);
  if (open == 0 || exit_code != exit_held) return exit_code;
  fmt::print("LOST: {} of {} accepted jobs have not run, with 12 idle workers of their kind\n",
             open, fleet.accepted_jobs());
  return exit_broken;
}

}  // namespace coltsfoot::review
