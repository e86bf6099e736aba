// Tasks of a shard without free capacity while another shard has some.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

// Maximum time from the last run of a long-running task to its restart if there is free capacity.
constexpr duration max_absence{6'000};

// A worker that does not answer keeps its tasks until its lease expires.
constexpr duration max_lease{5'200};

// Four shards with four workers each; a worker has capacity for seven or eight of the tasks below.
fleet_options four_shards(std::uint64_t seed) {
  return {.nodes = 6, .workers = 16, .seed = seed, .workers_per_shard = 4};
}

jobs::job_spec long_running_job(std::uint32_t width) {
  jobs::job_spec spec{.payload = "p", .steps = {{.count = width}}};
  spec.steps[0].demand = {.millicores = 1'000, .memory_mb = 500};
  spec.steps[0].estimate = duration{100};
  spec.steps[0].long_running = true;
  return spec;
}

void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
}

// Names of jobs that all belong to the first shard.
std::vector<std::string> names_in_first_shard(const virtual_fleet& fleet, std::size_t count) {
  const auto& layout = fleet.node(0).shards().front()->layout();
  std::vector<std::string> names;
  for (int i = 0; names.size() < count; ++i) {
    std::string name = "j" + std::to_string(i);
    if (layout.shard_of_job(jobs::job_id{name}, {}) == jobs::first_shard) names.push_back(name);
  }
  return names;
}

std::size_t running(const virtual_fleet& fleet, const std::vector<std::string>& names) {
  std::size_t sum = 0;
  for (const auto& name : names) sum += fleet.running(name);
  return sum;
}

TEST(shard_room_test, long_running_tasks_do_not_wait_while_another_shard_has_capacity) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{four_shards(seed)};
    wait_until_settled(fleet);
    const auto names = names_in_first_shard(fleet, 6);
    for (const auto& name : names) fleet.submit(0, name, long_running_job(8));
    fleet.run_until([&] { return running(fleet, names) == 48; }, max_absence);
    EXPECT_EQ(running(fleet, names), 48U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

TEST(shard_room_test, tasks_of_a_lost_worker_do_not_wait_while_another_shard_has_capacity) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{four_shards(seed)};
    wait_until_settled(fleet);
    const auto names = names_in_first_shard(fleet, 4);
    for (const auto& name : names) fleet.submit(0, name, long_running_job(7));
    ASSERT_TRUE(fleet.run_until([&] { return running(fleet, names) == 28; }, max_absence));
    for (int worker = 0; worker < 16; ++worker) {
      if (fleet.worker(worker).runs().empty()) continue;
      fleet.set_worker_reachable(worker, false);
      break;
    }
    fleet.run_for(max_lease + max_absence);
    EXPECT_EQ(running(fleet, names), 28U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Submits a job until it is accepted: responses of the store can be lost.
void submit_until_accepted(virtual_fleet& fleet, const std::string& name,
                           const jobs::job_spec& spec) {
  const auto accepted = [&](call_id call) {
    const auto* answer = fleet.answer_of(call);
    return answer != nullptr && answer->verdict == jobs::caller_verdict::accepted;
  };
  for (int i = 0; i < 10; ++i) {
    const auto call = fleet.submit(0, name, spec);
    if (fleet.run_until([&] { return accepted(call); }, duration{1'000})) return;
  }
  ADD_FAILURE() << name << " was not accepted";
}

std::size_t transfers(const virtual_fleet& fleet) {
  std::size_t sum = 0;
  for (const auto& shard : fleet.node(0).shards()) sum += shard->transfers().size();
  return sum;
}

// A worker with two owners would start a task twice, or reject its rightful owner.
TEST(shard_room_test, invariants_hold_while_workers_change_shards_under_repeated_faults) {
  std::size_t transferred = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    auto options = four_shards(seed);
    options.lost_answers = 0.03;
    options.late_orders = 0.03;
    options.lost_append_answers = 0.03;
    options.failing_tasks = 0.02;
    options.max_attempts = 6;
    virtual_fleet fleet{options};
    random_engine random{seed};
    wait_until_settled(fleet);
    const auto names = names_in_first_shard(fleet, 15);
    std::vector<std::string> long_running_names;
    std::vector<std::pair<call_id, std::string>> submitted;
    for (std::size_t round = 0; round < names.size(); ++round) {
      const auto& name = names[round];
      const int caller = static_cast<int>(random() % 6);
      if (round < 5) {
        long_running_names.push_back(name);
        submit_until_accepted(fleet, name, long_running_job(8));
      } else {
        jobs::job_spec spec{.payload = "p", .steps = {{.count = 6}}};
        spec.steps[0].demand = {.millicores = 1'000, .memory_mb = 500};
        spec.steps[0].estimate = duration{600};
        submitted.emplace_back(fleet.submit(caller, name, spec), name);
      }
      // The first node is spared so that it can be queried at any time.
      const int node = 1 + static_cast<int>(random() % 5);
      const int worker = static_cast<int>(random() % 16);
      const auto fault = random() % 8;
      if (fault == 0) fleet.kill_node(node);
      if (fault == 1) fleet.freeze_node(node, true);
      if (fault == 2) fleet.cut_store(node, true);
      if (fault == 3) fleet.set_worker_reachable(worker, false);
      if (fault == 4) fleet.restart_worker(worker);
      if (fault == 5) fleet.compact_store();
      fleet.run_for(duration{static_cast<int>(200 + random() % 2'500)});
      if (fault == 0) fleet.start_node(node);
      if (fault == 1) fleet.freeze_node(node, false);
      if (fault == 2) fleet.cut_store(node, false);
      if (fault == 3) fleet.set_worker_reachable(worker, true);
    }
    fleet.run_for(duration{15'000});
    for (const auto& [call, name] : submitted) {
      const auto* answer = fleet.answer_of(call);
      if (answer == nullptr || answer->verdict != jobs::caller_verdict::accepted) continue;
      EXPECT_TRUE(fleet.reaches(0, name, jobs::job_state::completed, duration{8'000}))
          << name << " seed " << seed;
    }
    EXPECT_EQ(running(fleet, long_running_names), 40U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
    transferred += transfers(fleet);
  }
  EXPECT_GT(transferred, 30U);
}

}  // namespace
}  // namespace coltsfoot::testing
