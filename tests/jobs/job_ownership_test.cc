// The owner of the fleet's jobs, through failures and shutdowns of nodes.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::job_state;

TEST(job_fleet_test, one_of_several_claims_at_once_wins) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.nodes = 8, .seed = seed}};
    fleet.run_for(duration{2'000});
    EXPECT_GE(fleet.owner(), 0) << "seed " << seed;
  }
}

TEST(job_fleet_test, a_killed_owner_is_replaced_and_running_work_goes_on) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  jobs::job_spec spec{.payload = "p", .steps = {step(4, duration{4'000})}};
  fleet.submit(0, "j", spec);
  fleet.run_for(duration{500});
  ASSERT_EQ(fleet.running("j"), 4U);
  const int first = fleet.owner();
  fleet.kill_node(first);
  ASSERT_TRUE(fleet.run_until([&] { return fleet.owner() >= 0; }, duration{2'500}));
  EXPECT_TRUE(fleet.reaches((first + 1) % 3, "j", job_state::completed, duration{6'000}));
  EXPECT_EQ(fleet.starts(), 4U) << "no task was started again";
  EXPECT_TRUE(fleet.broken().empty());
}

// Records of callers advance the end of the journal continuously.
TEST(job_fleet_test, an_owner_is_replaced_in_time_while_many_jobs_come) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet{{.nodes = 4, .seed = seed}};
    wait_until_settled(fleet);
    const int first = fleet.owner();
    fleet.kill_node(first);
    const auto killed_at = fleet.now();
    for (int i = 0; i < 1'500 && fleet.owner() < 0; ++i) {
      const int node = (first + 1 + i % 3) % 4;
      fleet.submit(node, "j" + std::to_string(i), two_steps(1));
      fleet.run_for(duration{2});
    }
    EXPECT_GE(fleet.owner(), 0) << "seed " << seed;
    EXPECT_LE(fleet.now() - killed_at, duration{2'200}) << "seed " << seed;
  }
}

TEST(job_fleet_test, a_frozen_owner_sends_no_orders_after_it_resumes) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "long", long_running_job(4));
  fleet.run_for(duration{300});
  const int first = fleet.owner();
  fleet.freeze_node(first, true);
  for (int i = 0; i < 5; ++i) {
    fleet.submit((first + 1) % 3, "j" + std::to_string(i), two_steps(4));
    fleet.run_for(duration{800});
  }
  fleet.freeze_node(first, false);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("long"), 4U);
  EXPECT_GE(fleet.owner(), 0);
  EXPECT_NE(fleet.owner(), first);
  EXPECT_TRUE(fleet.broken().empty());
}

// Polls sent under the previous ownership are rejected because the same node has since claimed a
// newer fence.
TEST(job_fleet_test, an_owner_does_not_step_down_on_responses_to_its_previous_orders) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet{{.nodes = 1, .seed = seed, .slow_looks = 0.5}};
    wait_until_settled(fleet);
    fleet.submit(0, "j", long_running_job(4));
    fleet.run_for(duration{2'000});
    fleet.freeze_node(0, true);
    fleet.run_for(duration{1'050});
    fleet.freeze_node(0, false);
    fleet.run_for(duration{5'000});
    EXPECT_EQ(fleet.node(0).stats().step_downs, 1U) << "seed " << seed;
    EXPECT_EQ(fleet.owner(), 0) << "seed " << seed;
    EXPECT_EQ(fleet.running("j"), 4U) << "seed " << seed;
  }
}

TEST(job_fleet_test, all_nodes_killed_at_once_lose_no_accepted_job) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  for (int i = 0; i < 6; ++i) fleet.submit(i % 3, "j" + std::to_string(i), two_steps(5));
  fleet.run_for(duration{200});
  for (int i = 0; i < 3; ++i) fleet.kill_node(i);
  fleet.run_for(duration{1'500});
  for (int i = 0; i < 3; ++i) fleet.start_node(i);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(
        fleet.reaches(i % 3, "j" + std::to_string(i), job_state::completed, duration{12'000}));
  }
  EXPECT_TRUE(fleet.broken().empty());
}

// An owner that has not read the progress of its jobs would start all their tasks again.
TEST(job_fleet_test, an_owner_whose_claim_comes_with_a_listing_knows_what_runs) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.seed = seed, .compacted_appends = 0.5}};
    wait_until_settled(fleet);
    fleet.submit(0, "j", long_running_job(6));
    fleet.run_for(duration{1'500});
    ASSERT_EQ(fleet.starts(), 6U);
    fleet.kill_node(fleet.owner());
    fleet.run_for(duration{8'000});
    EXPECT_GE(fleet.owner(), 0) << "seed " << seed;
    EXPECT_EQ(fleet.running("j"), 6U) << "seed " << seed;
    EXPECT_EQ(fleet.starts(), 6U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

TEST(job_fleet_test, a_node_that_shuts_down_hands_the_jobs_over_at_once) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const int first = fleet.owner();
  fleet.ask_shutdown(first);
  EXPECT_TRUE(
      fleet.run_until([&] { return fleet.owner() >= 0 && fleet.owner() != first; }, duration{800}));
}

}  // namespace
}  // namespace coltsfoot::testing
