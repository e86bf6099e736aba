// Large jobs beside small ones while more work comes than the workers can do.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr duration task_length{1'000};
constexpr double slack_factor = 2;
constexpr duration latency_target{1'000};
// A job that takes longer earns nothing: three times what it may take (two steps).
constexpr duration longest_service{15'000};
constexpr duration load_length{30'000};
constexpr duration submit_interval{50};

struct submitted_job {
  std::string id;
  std::uint32_t width = 0;  // tasks of each step
};

// Most jobs are small; the largest tenth has eight times the tasks of a typical one.
std::uint32_t draw_width(random_engine& random) {
  const auto draw = random() % 100;
  if (draw < 60) return 2 + static_cast<std::uint32_t>(random() % 3);
  if (draw < 90) return 6 + static_cast<std::uint32_t>(random() % 5);
  return 24 + static_cast<std::uint32_t>(random() % 17);
}

jobs::job_spec two_steps(std::uint32_t width) {
  const jobs::step_spec step{
      .count = width, .demand = {.millicores = 1'000, .memory_mb = 100}, .estimate = task_length};
  jobs::job_spec spec{.payload = "p", .steps = {step, step}};
  spec.steps[1].depends_on = {0};
  return spec;
}

bool is_served(const virtual_fleet& fleet, const submitted_job& submitted) {
  const auto* job = fleet.node(0).shards().front()->table().find(jobs::job_id{submitted.id});
  return job != nullptr && job->outcome == jobs::job_outcome::completed &&
         job->ended_at - job->accepted.accepted_at <= longest_service;
}

double share_served(const virtual_fleet& fleet, const std::vector<submitted_job>& jobs,
                    std::size_t count) {
  const auto served = std::count_if(jobs.begin(), jobs.begin() + static_cast<std::ptrdiff_t>(count),
                                    [&](const auto& job) { return is_served(fleet, job); });
  return static_cast<double>(served) / static_cast<double>(count);
}

// Three times what the workers can do.
TEST(large_job_test, the_largest_tenth_is_served_at_least_half_as_often_as_all_jobs) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    virtual_fleet fleet{{.nodes = 2,
                         .workers = 12,
                         .seed = seed,
                         .slack_factor = slack_factor,
                         .latency_target = latency_target}};
    ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
    fleet.run_for(duration{1'000});
    random_engine random{seed};
    std::vector<submitted_job> jobs;
    for (auto left = load_length; left > duration{0}; left -= submit_interval) {
      jobs.push_back({.id = "j" + std::to_string(jobs.size()), .width = draw_width(random)});
      fleet.submit(static_cast<int>(random() % 2), jobs.back().id, two_steps(jobs.back().width));
      fleet.run_for(submit_interval);
    }
    fleet.run_for(longest_service);
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const auto& a, const auto& b) { return a.width > b.width; });
    const double of_largest = share_served(fleet, jobs, jobs.size() / 10);
    const double of_all = share_served(fleet, jobs, jobs.size());
    EXPECT_GE(2 * of_largest, of_all) << "seed " << seed;
    for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
