// The store when it is down, unreachable for one node, compacted or short of room in an append.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

TEST(job_fleet_test, a_store_that_is_down_refuses_jobs_at_once_and_stops_nothing) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "long", long_running_job(4));
  fleet.run_for(duration{500});
  fleet.set_store_down(true);
  const auto call = fleet.submit(1, "j", two_steps(1));
  fleet.run_for(duration{1'000});
  ASSERT_NE(fleet.answer_of(call), nullptr);
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::unavailable);
  EXPECT_GT(fleet.answer_of(call)->retry_after, duration{0});
  fleet.run_for(duration{9'000});
  EXPECT_EQ(fleet.running("long"), 4U);
  fleet.set_store_down(false);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("long"), 4U);
  EXPECT_EQ(fleet.running("j"), 0U) << "it was refused as not run";
  EXPECT_TRUE(fleet.broken().empty());
}

TEST(job_fleet_test, an_owner_that_loses_the_store_is_replaced) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const int first = fleet.owner();
  fleet.cut_store(first, true);
  fleet.run_for(duration{3'000});
  const int second = fleet.owner();
  EXPECT_GE(second, 0);
  EXPECT_NE(second, first);
  fleet.submit(second, "j", two_steps(4));
  EXPECT_TRUE(fleet.reaches(second, "j", job_state::completed, duration{3'000}));
  fleet.cut_store(first, false);
  fleet.run_for(duration{2'000});
  EXPECT_EQ(fleet.owner(), second);
}

// A newer configuration may have the queue: the caller would believe that it does not exist.
TEST(job_fleet_test,
     a_node_that_cannot_read_the_configuration_says_of_no_queue_that_it_is_unknown) {
  virtual_fleet fleet{{.nodes = 2, .seed = 17}};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{10'000}));
  fleet.run_for(duration{1'000});
  const auto known = fleet.submit_to(0, "/other/job", two_steps(1));
  EXPECT_EQ(fleet.answer_of(known)->verdict, jobs::caller_verdict::no_such_queue);
  fleet.cut_store(0, true);
  fleet.run_for(duration{4'000});
  const auto cut = fleet.submit_to(0, "/other/job", two_steps(1));
  EXPECT_EQ(fleet.answer_of(cut)->verdict, jobs::caller_verdict::unavailable);
}

// Guards against an owner that tries an append which is too large again and again.
TEST(job_fleet_test, more_progress_than_an_append_holds_is_recorded_in_parts) {
  virtual_fleet fleet{{.workers = 1, .store = {.append_bytes = 1'200}}};
  wait_until_settled(fleet);
  constexpr int jobs = 100;
  jobs::job_spec spec{.payload = "p", .steps = {step(1, duration{2'000})}};
  spec.steps[0].demand = {.millicores = 50, .memory_mb = 50};
  const auto id = [](int i) { return "j" + std::to_string(i); };
  for (int i = 0; i < jobs; ++i) {
    fleet.submit(i % 3, id(i), spec);
    fleet.run_for(duration{5});
  }
  fleet.run_for(duration{500});
  ASSERT_EQ(fleet.starts(), 100U);
  // All of them end meanwhile.
  fleet.set_store_down(true);
  fleet.run_for(duration{3'000});
  fleet.set_store_down(false);
  for (int i = 0; i < jobs; ++i) {
    EXPECT_TRUE(fleet.reaches(i % 3, id(i), job_state::completed, duration{4'000})) << id(i);
  }
  EXPECT_EQ(fleet.starts(), 100U);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

TEST(job_fleet_test, a_compacted_history_is_read_again) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  for (int i = 0; i < 4; ++i) {
    fleet.submit(i % 3, "j" + std::to_string(i), two_steps(3));
    fleet.run_for(duration{100});
    fleet.compact_store();
  }
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(
        fleet.reaches(i % 3, "j" + std::to_string(i), job_state::completed, duration{6'000}));
  }
  EXPECT_TRUE(fleet.broken().empty());
}

}  // namespace
}  // namespace coltsfoot::testing
