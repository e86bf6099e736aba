// An owner that is asked to stop while jobs come and the store takes longer than usual.
#include <gtest/gtest.h>

#include <string>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

// Without an owner a shard starts nothing: no longer than after the death of one.
constexpr duration longest_gap{2'000};

// Its tasks end long after the owner has been asked to stop.
jobs::job_spec long_steps(int number) {
  const duration length{1'500 + number % 7 * 400};
  jobs::job_spec spec{.payload = "p", .steps = {step(12, length), step(12, length)}};
  spec.steps[1].depends_on = {0};
  return spec;
}

class owner_leaves_test : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against an owner that resigns only once it has nothing to record, which load prevents.
TEST_P(owner_leaves_test, another_node_owns_the_shard_soon_under_load) {
  virtual_fleet fleet{{.nodes = 4,
                       .workers = 24,
                       .seed = GetParam(),
                       .capacity = {.millicores = 16'000, .memory_mb = 64'000},
                       .serial_appends = true}};
  wait_until_settled(fleet);
  fleet.set_append_time(duration{120});
  const int leaving = fleet.owner();
  int jobs = 0;
  const auto load_for = [&](duration time, const std::function<bool()>& done) {
    const auto end = fleet.now() + time;
    while (fleet.now() < end && !done()) {
      const auto node = (leaving + 1 + jobs % 3) % 4;
      fleet.submit(node, "j" + std::to_string(jobs), long_steps(jobs));
      ++jobs;
      fleet.run_for(duration{60});
    }
  };
  load_for(duration{6'000}, [] { return false; });
  ASSERT_EQ(fleet.owner(), leaving);
  fleet.ask_shutdown(leaving);
  const auto asked = fleet.now();
  load_for(duration{8'000}, [&] { return fleet.owner() >= 0 && fleet.owner() != leaving; });
  EXPECT_LE(fleet.now() - asked, longest_gap) << (fleet.now() - asked).count() << " ms";
  for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation;
}

INSTANTIATE_TEST_SUITE_P(seeds, owner_leaves_test, ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace coltsfoot::testing
