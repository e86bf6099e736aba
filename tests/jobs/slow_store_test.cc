// A store that carries out the appends to a journal one at a time turns slow under load.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr int nodes = 24;
constexpr duration warm_up{2'000};
constexpr duration load_length{34'000};
constexpr duration burst_from{2'700};
constexpr duration burst_to{8'300};
constexpr double burst_factor = 2.6;
constexpr duration slow_from{13'000};
constexpr duration slow_to{18'200};
constexpr duration usual_append{4};
constexpr duration slow_append{276};
constexpr double slack_factor = 2;
constexpr duration latency_target{1'000};
constexpr int late_limit = 3;         // times the objective: a job that ends later earns nothing
constexpr double late_worth = 0.15;   // of a job that ends in time
constexpr double least_worth = 0.30;  // of what is owed, for each kind of job

// A kind of job, in two steps.
struct job_kind {
  double per_second = 0;
  bool bursts = false;
  std::uint32_t width = 0;  // tasks of a step, on average
  std::int64_t millicores = 0;
  duration task_length{0};
};
constexpr job_kind quick{
    .per_second = 3.6, .width = 8, .millicores = 2'600, .task_length = duration{800}};
constexpr job_kind wide{.per_second = 4,
                        .bursts = true,
                        .width = 20,
                        .millicores = 1'800,
                        .task_length = duration{2'700}};

struct submitted_job {
  std::string id;
  duration objective{0};
  bool while_slow = false;  // submitted while the store was slow
};

struct load {
  std::vector<submitted_job> quick_jobs;
  std::vector<submitted_job> wide_jobs;
};

fleet_options fleet_of(std::uint64_t seed) {
  return {.nodes = nodes,
          .workers = 64,
          .seed = seed,
          .capacity = {.millicores = 16'000, .memory_mb = 64'000},
          .serial_appends = true,
          .slack_factor = slack_factor,
          .latency_target = latency_target};
}

double between(random_engine& random, double least, double most) {
  return std::uniform_real_distribution<double>{least, most}(random);
}

jobs::job_spec draw_job(const job_kind& kind, random_engine& random) {
  const auto width =
      static_cast<std::uint32_t>(std::lround(kind.width * between(random, 0.5, 1.5)));
  const duration length{
      std::llround(static_cast<double>(kind.task_length.count()) * between(random, 0.5, 1.5))};
  const jobs::step_spec step{.count = std::max(width, 1U),
                             .demand = {.millicores = kind.millicores, .memory_mb = 100},
                             .estimate = length};
  jobs::job_spec spec{.payload = "p", .steps = {step, step}};
  spec.steps[1].depends_on = {0};
  return spec;
}

submitted_job submit(virtual_fleet& fleet, const std::string& id, const job_kind& kind,
                     random_engine& random) {
  auto spec = draw_job(kind, random);
  const auto chain = 2.0 * static_cast<double>(spec.steps[0].estimate.count());
  const duration objective{std::llround(chain * slack_factor)};
  fleet.submit(static_cast<int>(random() % nodes), id, std::move(spec));
  return {.id = id, .objective = objective + latency_target};
}

// Submits jobs at nodes drawn at random; their callers don't repeat what is refused.
load play_load(virtual_fleet& fleet, std::uint64_t seed) {
  constexpr duration step{10};
  random_engine random{seed};
  load jobs;
  for (duration at{0}; at < load_length; at += step) {
    fleet.set_append_time(at >= slow_from && at < slow_to ? slow_append : usual_append);
    const bool burst = at >= burst_from && at < burst_to;
    const auto submit_some = [&](const job_kind& kind, char name, auto& list) {
      const auto rate = kind.per_second * (burst && kind.bursts ? burst_factor : 1);
      if (between(random, 0, 1'000) >= rate * static_cast<double>(step.count())) return;
      list.push_back(submit(fleet, name + std::to_string(list.size()), kind, random));
      list.back().while_slow = at >= slow_from && at < slow_to;
    };
    submit_some(quick, 'q', jobs.quick_jobs);
    submit_some(wide, 'w', jobs.wide_jobs);
    fleet.run_for(step);
  }
  fleet.run_for(duration{45'000});
  return jobs;
}

// Share of what is owed that was earned, for the jobs that were submitted while the store was slow.
double worth_while_slow(const virtual_fleet& fleet, const std::vector<submitted_job>& jobs) {
  double owed = 0;
  double worth = 0;
  for (const auto& submitted : jobs) {
    if (!submitted.while_slow) continue;
    ++owed;
    const auto* job = fleet.node(0).shards().front()->table().find(jobs::job_id{submitted.id});
    if (job == nullptr || job->outcome != jobs::job_outcome::completed) continue;
    const auto age = job->ended_at - job->accepted.accepted_at;
    if (age <= submitted.objective * late_limit) {
      worth += age <= submitted.objective ? 1 : late_worth;
    }
  }
  return worth / owed;
}

class slow_store_test : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against appends of all nodes that queue at a slow store until those of the owner fail.
TEST_P(slow_store_test, jobs_that_come_while_the_store_is_slow_earn_their_floor) {
  virtual_fleet fleet{fleet_of(GetParam())};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(warm_up);
  const auto jobs = play_load(fleet, GetParam());
  EXPECT_GE(worth_while_slow(fleet, jobs.quick_jobs), least_worth);
  EXPECT_GE(worth_while_slow(fleet, jobs.wide_jobs), least_worth);
  for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation;
}

// Guards against starts that stop, and owners that change, while a store is slow but takes appends.
TEST_P(slow_store_test, the_owner_goes_on_starting_tasks_while_the_store_is_slow) {
  virtual_fleet fleet{fleet_of(GetParam())};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(warm_up);
  const auto takeovers = fleet.takeovers();
  random_engine random{GetParam()};
  const auto play_for = [&](duration length) {
    constexpr duration gap{125};
    const auto starts = fleet.starts();
    for (duration at{0}; at < length; at += gap) {
      submit(fleet, "q" + std::to_string(random()), quick, random);
      fleet.run_for(gap);
    }
    return fleet.starts() - starts;
  };
  play_for(duration{2'000});
  const auto usual = play_for(duration{5'000});
  fleet.set_append_time(slow_append);
  play_for(duration{1'000});
  const auto slow = play_for(duration{5'000});
  // The same load, of which each start comes at most a second later.
  EXPECT_GE(slow * 2, usual);
  EXPECT_EQ(fleet.takeovers(), takeovers);
  for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation;
}

INSTANTIATE_TEST_SUITE_P(seeds, slow_store_test, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace coltsfoot::testing
