// Tasks that only workers of another shard can run.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::job_state;

constexpr int nodes = 6;
constexpr int racks = 8;  // of two workers, two racks a shard

fleet_options four_shards(std::uint64_t seed, std::set<int> rare_racks) {
  return {.nodes = nodes,
          .workers = 2 * racks,
          .seed = seed,
          .workers_per_shard = 4,
          .rare_racks = std::move(rare_racks)};
}

jobs::job_spec rare(jobs::job_spec spec) {
  for (auto& step : spec.steps) step.required_label = "b";
  return spec;
}

std::string name_of_job(int number) {
  return "j" + std::to_string(number);
}

// Guards against jobs that are accepted and never run, as their shard has no worker of their kind.
TEST(rare_kind_test, jobs_run_whose_shard_has_no_worker_of_their_kind) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    virtual_fleet fleet{four_shards(seed, {0})};
    wait_until_settled(fleet);
    for (int i = 0; i < 12; ++i) fleet.submit(i % nodes, name_of_job(i), rare(two_steps(3)));
    for (int i = 0; i < 12; ++i) {
      EXPECT_TRUE(
          fleet.reaches((i + 1) % nodes, name_of_job(i), job_state::completed, duration{15'000}))
          << i << " seed " << seed;
    }
    EXPECT_EQ(fleet.starts(), 72U);
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Guards against a gang that is divided between shards.
TEST(rare_kind_test, a_gang_goes_to_another_shard_as_a_whole) {
  virtual_fleet fleet{four_shards(1, {0})};
  wait_until_settled(fleet);
  auto spec = rare(two_steps(4));
  spec.steps[0].gang = true;
  spec.steps[1].tightly_coupled = true;
  for (int i = 0; i < 8; ++i) fleet.submit(0, name_of_job(i), spec);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(fleet.reaches(1, name_of_job(i), job_state::completed, duration{15'000})) << i;
  }
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against a gang that waits for good, as its shard has too few workers for all of it.
TEST(rare_kind_test, a_gang_runs_that_needs_more_workers_than_its_shard_has) {
  virtual_fleet fleet{four_shards(1, {0, 1, 5})};  // of racks 1 and 5 in one shard
  wait_until_settled(fleet);
  auto spec = rare({.payload = "p", .steps = {step(4, duration{300})}});
  spec.steps[0].demand.millicores = 6'000;  // one a worker
  spec.steps[0].gang = true;
  for (int i = 0; i < 6; ++i) fleet.submit(0, name_of_job(i), spec);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(fleet.reaches(1, name_of_job(i), job_state::completed, duration{20'000})) << i;
  }
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against tasks that wait for good for workers that were lost after the acceptance.
TEST(rare_kind_test, tasks_go_on_elsewhere_when_the_last_worker_of_their_kind_is_lost) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    virtual_fleet fleet{four_shards(seed, {0, 1})};
    wait_until_settled(fleet);
    for (int i = 0; i < 8; ++i) fleet.submit(0, name_of_job(i), rare(long_running_job(2)));
    const auto all_run = [&] {
      std::size_t running = 0;
      for (int i = 0; i < 8; ++i) running += fleet.running(name_of_job(i));
      return running == 16U;
    };
    EXPECT_TRUE(fleet.run_until(all_run, duration{6'000})) << "seed " << seed;
    fleet.set_worker_reachable(0, false);
    fleet.set_worker_reachable(1, false);
    fleet.run_for(duration{4'000});
    EXPECT_TRUE(fleet.run_until(all_run, duration{8'000})) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Guards against attempts that are counted anew in each shard.
TEST(rare_kind_test, a_job_fails_after_its_attempts_in_another_shard) {
  virtual_fleet fleet{four_shards(1, {0})};
  wait_until_settled(fleet);
  fleet.set_worker_failing(0, true);
  fleet.set_worker_failing(1, true);
  const jobs::job_spec spec{.payload = "p", .steps = {step(1, duration{300})}};
  for (int i = 0; i < 8; ++i) fleet.submit(0, name_of_job(i), rare(spec));
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(fleet.reaches(1, name_of_job(i), job_state::failed, duration{30'000})) << i;
  }
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.starts(), 24U);
}

// Guards against tasks that run on in another shard after the cancellation.
TEST(rare_kind_test, a_cancelled_job_ends_in_all_shards) {
  virtual_fleet fleet{four_shards(1, {0})};
  wait_until_settled(fleet);
  for (int i = 0; i < 8; ++i) fleet.submit(0, name_of_job(i), rare(long_running_job(1)));
  fleet.run_for(duration{6'000});
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(fleet.running(name_of_job(i)), 1U) << i;
    fleet.cancel(2, name_of_job(i));
  }
  fleet.run_for(duration{3'000});
  for (int i = 0; i < 8; ++i) EXPECT_EQ(fleet.running(name_of_job(i)), 0U) << i;
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against a count of waiting jobs that depends on the shard in which they run.
TEST(rare_kind_test, jobs_count_as_waiting_until_a_task_of_them_was_started_in_any_shard) {
  virtual_fleet fleet{four_shards(1, {0})};
  wait_until_settled(fleet);
  const auto pending = [&] {
    const auto call = fleet.count(3);
    fleet.run_for(duration{100});
    return fleet.answer_of(call)->pending;
  };
  auto impossible = rare(long_running_job(1));
  impossible.steps[0].required_label = "c";
  for (int i = 0; i < 5; ++i) fleet.submit(0, "c" + std::to_string(i), impossible);
  for (int i = 0; i < 8; ++i) fleet.submit(0, name_of_job(i), rare(long_running_job(1)));
  fleet.run_for(duration{8'000});
  EXPECT_EQ(pending(), 5U);
  const auto call = fleet.query(0, "c0");
  fleet.run_for(duration{200});
  EXPECT_EQ(fleet.answer_of(call)->state, job_state::queued);
}

// Guards against tasks that are lost or run twice while they change their shard.
TEST(rare_kind_test, nothing_is_lost_or_runs_twice_while_owners_are_killed) {
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    auto options = four_shards(seed, {0, 1});
    options.lost_answers = 0.03;
    options.lost_append_answers = 0.03;
    options.late_orders = 0.02;
    virtual_fleet fleet{options};
    random_engine random{seed};
    const auto draw = [&](int from, int to) {
      return duration{std::uniform_int_distribution<int>{from, to}(random)};
    };
    wait_until_settled(fleet);
    std::vector<std::pair<call_id, std::string>> submitted;
    for (int i = 0; i < 24; ++i) {
      const auto id = name_of_job(i);
      submitted.emplace_back(fleet.submit(i % nodes, id, rare(two_steps(2))), id);
      fleet.run_for(draw(50, 500));
      if (i % 4 != 3) continue;
      const int node = static_cast<int>(random() % nodes);
      fleet.kill_node(node);
      const int worker = static_cast<int>(random() % 4);
      if (random() % 2 == 0) fleet.crash_worker(worker, draw(100, 1'500));
      fleet.run_for(draw(100, 1'500));
      fleet.start_node(node);
    }
    for (const auto& [call, id] : submitted) {
      const auto* answer = fleet.answer_of(call);
      if (answer == nullptr || answer->verdict != jobs::caller_verdict::accepted) continue;
      EXPECT_TRUE(fleet.reaches(0, id, job_state::completed, duration{40'000}))
          << id << " seed " << seed;
    }
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
