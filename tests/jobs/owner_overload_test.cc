// An owner that has more to send than its link carries: starts wait, and nothing else suffers.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr duration settle_limit{20'000};

jobs::job_spec wide_job(std::uint32_t tasks) {
  return {.payload = "p",
          .steps = {{.count = tasks,
                     .demand = {.millicores = 1'000, .memory_mb = 500},
                     .estimate = duration{1'000}}}};
}

fleet_options narrow_link(std::uint64_t seed) {
  // About 90 starts a second; the workers could take 190.
  return {.nodes = 2,
          .workers = 24,
          .seed = seed,
          .link_bytes_per_s = 100'000,
          .listed_ends_are_noted = true};
}

class owner_overload_test : public ::testing::TestWithParam<std::uint64_t> {};

// Calls that are given up and repeated fill the link further, sound workers count as lost, and
// their tasks are started again although they have ended.
TEST_P(owner_overload_test, a_burst_past_the_link_of_the_owner_repeats_no_run) {
  constexpr int jobs_in_burst = 25;
  constexpr std::uint32_t tasks = 40;
  virtual_fleet fleet{narrow_link(GetParam())};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, settle_limit));
  fleet.run_for(duration{2'000});
  for (int i = 0; i < jobs_in_burst; ++i) {
    fleet.submit(i % 2, "burst-" + std::to_string(i), wide_job(tasks));
    fleet.run_for(duration{20});
  }
  for (int i = 0; i < jobs_in_burst; ++i) {
    EXPECT_TRUE(fleet.reaches(0, "burst-" + std::to_string(i), jobs::job_state::completed,
                              duration{30'000}))
        << i;
  }
  EXPECT_EQ(fleet.starts(), jobs_in_burst * tasks) << "each task ran once";
  EXPECT_EQ(fleet.lapsed(), 0U);
  for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation;
}

// The load is over within seconds, and so must be what it has caused.
TEST_P(owner_overload_test, a_job_is_served_as_before_five_seconds_after_a_burst) {
  virtual_fleet fleet{narrow_link(GetParam())};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, settle_limit));
  fleet.run_for(duration{2'000});
  for (int i = 0; i < 10; ++i) fleet.submit(i % 2, "burst-" + std::to_string(i), wide_job(40));
  fleet.run_for(duration{10'000});
  fleet.submit(0, "after", wide_job(4));
  EXPECT_TRUE(fleet.reaches(0, "after", jobs::job_state::completed, duration{2'000}));
}

INSTANTIATE_TEST_SUITE_P(seeds, owner_overload_test, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace coltsfoot::testing
