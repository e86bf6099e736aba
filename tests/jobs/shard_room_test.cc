// Room that one shard lacks and another one has.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

// After its last run, a long-running task may be away for this long where there is room for it.
constexpr duration longest_absence{6'000};

// A worker that does not answer holds its tasks until its lease is over.
constexpr duration longest_lease{5'200};

// Four shards with four workers each; a worker has room for seven or eight of the tasks below.
fleet_options four_shards(std::uint64_t seed) {
  return {.nodes = 6, .workers = 16, .seed = seed, .workers_per_shard = 4};
}

jobs::job_spec lasting(std::uint32_t width) {
  jobs::job_spec spec{.payload = "p", .steps = {{.count = width}}};
  spec.steps[0].demand = {.millicores = 1'000, .memory_mb = 500};
  spec.steps[0].estimate = duration{100};
  spec.steps[0].long_running = true;
  return spec;
}

void settle(virtual_fleet& fleet) {
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

TEST(shard_room_test, long_running_tasks_do_not_wait_while_another_shard_has_room) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{four_shards(seed)};
    settle(fleet);
    const auto names = names_in_first_shard(fleet, 6);
    for (const auto& name : names) fleet.submit(0, name, lasting(8));
    fleet.run_until([&] { return running(fleet, names) == 48; }, longest_absence);
    EXPECT_EQ(running(fleet, names), 48U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

TEST(shard_room_test, tasks_of_a_lost_worker_do_not_wait_while_another_shard_has_room) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{four_shards(seed)};
    settle(fleet);
    const auto names = names_in_first_shard(fleet, 4);
    for (const auto& name : names) fleet.submit(0, name, lasting(7));
    ASSERT_TRUE(fleet.run_until([&] { return running(fleet, names) == 28; }, longest_absence));
    for (int worker = 0; worker < 16; ++worker) {
      if (fleet.worker(worker).runs().empty()) continue;
      fleet.set_worker_reachable(worker, false);
      break;
    }
    fleet.run_for(longest_lease + longest_absence);
    EXPECT_EQ(running(fleet, names), 28U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
