// End-to-end tests on virtual time of workers that start again under their ids.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

jobs::job_spec long_running_job(std::uint32_t width) {
  return {.payload = "p",
          .steps = {{.count = width,
                     .demand = {.millicores = 1'000, .memory_mb = 500},
                     .long_running = true}}};
}

void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
}

constexpr duration silence{600};

// Guards against starting tasks elsewhere while they run on under a lease in the clock of the
// worker's former life.
TEST(worker_restart_test, tasks_of_a_restarted_worker_that_is_cut_off_do_not_run_twice) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.seed = seed}};
    wait_until_settled(fleet);
    fleet.submit(0, "j", long_running_job(8));
    fleet.run_for(duration{12'000} + duration{seed * 37});
    fleet.crash_worker(0, silence);
    fleet.run_for(duration{2'600});
    fleet.set_worker_reachable(0, false);
    fleet.run_for(duration{14'000});
    fleet.set_worker_reachable(0, true);
    fleet.run_for(duration{3'000});
    EXPECT_EQ(fleet.running("j"), 8U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// The same for an owner that did not see the restart.
TEST(worker_restart_test, tasks_do_not_run_twice_if_the_owner_is_replaced_after_the_restart) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.seed = seed}};
    wait_until_settled(fleet);
    fleet.submit(0, "j", long_running_job(8));
    fleet.run_for(duration{12'000} + duration{seed * 37});
    fleet.crash_worker(0, silence);
    fleet.run_for(duration{2'000});
    const int owner = fleet.owner();
    ASSERT_GE(owner, 0);
    fleet.kill_node(owner);
    fleet.run_for(duration{600});
    fleet.set_worker_reachable(0, false);
    fleet.run_for(duration{1'000});
    fleet.start_node(owner);
    fleet.run_for(duration{16'000});
    fleet.set_worker_reachable(0, true);
    fleet.run_for(duration{3'000});
    EXPECT_EQ(fleet.running("j"), 8U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Guards against both, and against ends of a new life that count as noted ones of the former life.
TEST(worker_restart_test, nothing_runs_twice_or_is_lost_through_restarts_and_cuts) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    virtual_fleet fleet{{.workers = 5, .seed = seed, .lost_answers = 0.02, .failing_tasks = 0.02}};
    random_engine random{seed};
    const auto draw = [&](int from, int to) {
      return duration{std::uniform_int_distribution<int>{from, to}(random)};
    };
    wait_until_settled(fleet);
    fleet.submit(0, "long", long_running_job(6));
    jobs::job_spec spec{.payload = "p",
                        .steps = {{.count = 4,
                                   .demand = {.millicores = 1'000, .memory_mb = 500},
                                   .estimate = duration{400}}}};
    spec.steps.push_back(spec.steps.front());
    spec.steps[1].depends_on = {0};
    int next_job = 0;
    for (int round = 0; round < 8; ++round) {
      std::vector<std::pair<call_id, std::string>> submitted;
      for (int i = 0; i < 4; ++i) {
        const std::string id = "j" + std::to_string(next_job++);
        submitted.emplace_back(fleet.submit(i % 3, id, spec), id);
        fleet.run_for(draw(50, 400));
      }
      const int worker = static_cast<int>(random() % 5);
      fleet.crash_worker(worker, draw(100, 1'500));
      fleet.run_for(draw(100, 3'000));
      const int owner = fleet.owner();
      const bool kill = owner >= 0 && random() % 3 == 0;
      if (kill) fleet.kill_node(owner);
      fleet.run_for(draw(0, 1'000));
      fleet.set_worker_reachable(worker, false);
      fleet.run_for(draw(500, 13'000));
      if (kill) fleet.start_node(owner);
      fleet.set_worker_reachable(worker, true);
      fleet.run_for(draw(500, 3'000));
      for (const auto& [call, id] : submitted) {
        const auto* answer = fleet.answer_of(call);
        if (answer == nullptr || answer->verdict != jobs::caller_verdict::accepted) continue;
        EXPECT_TRUE(fleet.reaches(0, id, jobs::job_state::completed, duration{8'000}))
            << id << " seed " << seed;
      }
    }
    EXPECT_TRUE(fleet.run_until([&] { return fleet.running("long") == 6U; }, duration{10'000}))
        << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
