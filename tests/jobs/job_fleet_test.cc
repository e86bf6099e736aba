// End-to-end tests of jobs on virtual time: their steps, attempts, ids and limits.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

TEST(job_fleet_test, runs_steps_in_order_and_shows_the_end_at_every_node) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const auto call = fleet.submit(1, "j", two_steps(4));
  fleet.run_for(duration{50});
  ASSERT_NE(fleet.answer_of(call), nullptr);
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::accepted);
  for (int node = 0; node < 3; ++node) {
    EXPECT_TRUE(fleet.reaches(node, "j", job_state::completed, duration{2'000})) << node;
  }
  EXPECT_EQ(fleet.starts(), 8U);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

TEST(job_fleet_test, an_id_that_is_submitted_twice_is_one_job) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", two_steps(3));
  fleet.submit(2, "j", two_steps(3));
  ASSERT_TRUE(fleet.reaches(1, "j", job_state::completed, duration{3'000}));
  fleet.submit(1, "j", two_steps(3));
  fleet.run_for(duration{2'000});
  EXPECT_EQ(fleet.starts(), 6U);
  EXPECT_TRUE(fleet.broken().empty());
}

// Guards against one job whose record the store refuses holding up those of other callers.
TEST(job_fleet_test, a_job_that_is_too_large_for_a_record_is_refused_at_once) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  jobs::job_spec large{.payload = "p", .steps = {}};
  large.steps.assign(5'000, step(1, duration{300}));
  const auto refused = fleet.submit(0, "large", large);
  const auto accepted = fleet.submit(0, "small", two_steps(1));
  fleet.run_for(duration{100});
  ASSERT_NE(fleet.answer_of(refused), nullptr);
  EXPECT_EQ(fleet.answer_of(refused)->verdict, caller_verdict::malformed);
  ASSERT_NE(fleet.answer_of(accepted), nullptr);
  EXPECT_EQ(fleet.answer_of(accepted)->verdict, caller_verdict::accepted);
}

// Guards against a key whose length the store's format can't hold: the job would be lost.
TEST(job_fleet_test, a_job_id_that_is_too_long_for_a_key_is_refused_at_once) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const auto refused = fleet.submit(0, std::string(300, 'j'), two_steps(1));
  ASSERT_NE(fleet.answer_of(refused), nullptr);
  EXPECT_EQ(fleet.answer_of(refused)->verdict, caller_verdict::malformed);
}

TEST(job_fleet_test, a_job_fails_after_its_attempts_and_no_start_follows) {
  virtual_fleet fleet{{.failing_tasks = 1, .max_attempts = 2}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", two_steps(1));
  EXPECT_TRUE(fleet.reaches(1, "j", job_state::failed, duration{15'000}));
  const auto starts = fleet.starts();
  fleet.run_for(duration{3'000});
  EXPECT_EQ(starts, 2U);
  EXPECT_EQ(fleet.starts(), starts);
}

}  // namespace
}  // namespace coltsfoot::testing
