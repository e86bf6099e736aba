// Workers that are cut off, restart or drain.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::job_state;

TEST(job_fleet_test, a_worker_that_is_cut_off_keeps_its_tasks_until_its_lease_is_over) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(4));
  fleet.run_for(duration{500});
  ASSERT_EQ(fleet.running("j"), 4U);
  fleet.set_worker_reachable(0, false);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.starts(), 4U) << "the lease is not over";
  fleet.run_for(duration{5'000});
  EXPECT_EQ(fleet.starts(), 5U) << "the lease is over, though each look could have renewed it";
  fleet.set_worker_reachable(0, true);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("j"), 4U);
  EXPECT_TRUE(fleet.broken().empty());
}

// Guards against starting tasks again whose ends did not fit into the answer to the first look.
TEST(job_fleet_test, more_ends_than_a_worker_lists_at_once_are_all_taken) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{
        {.workers = 1, .seed = seed, .capacity = {.millicores = 64'000, .memory_mb = 256'000}}};
    wait_until_settled(fleet);
    jobs::job_spec spec{.payload = "p", .steps = {step(620, duration{4'000})}};
    spec.steps[0].demand = {.millicores = 100, .memory_mb = 64};
    fleet.submit(0, "j", spec);
    ASSERT_TRUE(fleet.run_until([&] { return fleet.running("j") == 620; }, duration{3'000}));
    fleet.run_for(duration{1'500});
    fleet.set_worker_reachable(0, false);
    fleet.run_for(duration{3'500});
    fleet.set_worker_reachable(0, true);
    EXPECT_TRUE(fleet.reaches(0, "j", job_state::completed, duration{8'000})) << "seed " << seed;
    EXPECT_EQ(fleet.starts(), 620U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
  }
}

TEST(job_fleet_test, a_worker_that_restarts_under_its_id_gets_its_tasks_anew) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(4));
  fleet.run_for(duration{500});
  fleet.restart_worker(0);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.running("j") == 4U; }, duration{3'000}));
  EXPECT_TRUE(fleet.broken().empty());
}

// A restarted worker does not remember which runs were stopped on it.
TEST(job_fleet_test, late_orders_for_a_previous_incarnation_of_a_worker_have_no_effect) {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    virtual_fleet fleet{{.seed = seed, .late_orders = 0.25}};
    wait_until_settled(fleet);
    for (int i = 0; i < 12; ++i) {
      fleet.submit(0, "j" + std::to_string(i), two_steps(4));
      fleet.run_for(duration{700});
      fleet.restart_worker(i % 4);
    }
    fleet.run_for(duration{8'000});
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

TEST(job_fleet_test, a_draining_worker_is_emptied_of_lasting_tasks) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(8));
  fleet.run_for(duration{500});
  fleet.list_worker(0, true);
  fleet.run_for(duration{2'000});
  EXPECT_TRUE(fleet.worker(0).runs().empty());
  EXPECT_EQ(fleet.running("j"), 8U);
}

}  // namespace
}  // namespace coltsfoot::testing
