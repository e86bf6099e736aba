// Short jobs beside long-running ones that want more than the workers have.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr resources worker_capacity{.millicores = 64'000, .memory_mb = 250'000};
constexpr int workers = 16;
constexpr duration load_length{20'000};
constexpr duration submit_interval{800};
constexpr duration short_task_length{800};
// Within this time a short job is still worth something to its caller.
constexpr duration longest_service{3'000};

jobs::job_spec one_step(std::uint32_t count, std::int64_t millicores, bool long_running) {
  return {.payload = "p",
          .steps = {{.count = count,
                     .demand = {.millicores = millicores, .memory_mb = 1'000},
                     .estimate = short_task_length,
                     .long_running = long_running}}};
}

bool is_served(const virtual_fleet& fleet, const std::string& id) {
  const auto* job = fleet.node(0).shards().front()->table().find(jobs::job_id{id});
  return job != nullptr && job->outcome == jobs::job_outcome::completed &&
         job->ended_at - job->accepted.accepted_at <= longest_service;
}

// The long-running tasks want 114 % of the processors, the short ones 6 %.
TEST(short_task_load_test, short_jobs_are_served_in_time_in_a_fleet_that_long_running_ones_fill) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    virtual_fleet fleet{
        {.nodes = 2, .workers = workers, .seed = seed, .capacity = worker_capacity}};
    ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
    fleet.run_for(duration{1'000});
    for (int i = 0; i < 9; ++i) {
      fleet.submit(i % 2, "lasting" + std::to_string(i), one_step(10, 13'000, true));
    }
    fleet.run_for(duration{4'000});
    std::vector<std::string> short_jobs;
    for (auto left = load_length; left > duration{0}; left -= submit_interval) {
      short_jobs.push_back("short" + std::to_string(short_jobs.size()));
      fleet.submit(0, short_jobs.back(), one_step(3, 21'000, false));
      fleet.run_for(submit_interval);
    }
    fleet.run_for(longest_service);
    const auto served = std::count_if(short_jobs.begin(), short_jobs.end(),
                                      [&](const auto& id) { return is_served(fleet, id); });
    EXPECT_EQ(served, static_cast<std::int64_t>(short_jobs.size())) << "seed " << seed;
    std::size_t lasting = 0;
    for (int i = 0; i < 9; ++i) lasting += fleet.running("lasting" + std::to_string(i));
    // Four on each worker, less what a tenth of the processors makes.
    EXPECT_GE(lasting, 56U) << "seed " << seed;
    for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
