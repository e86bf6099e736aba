// Invariants that hold through series of faults, drawn from seeds.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

// What a series of faults draws. Higher numbers are rounds without a fault.
enum class series_fault : std::uint64_t {
  kill_node,
  freeze_node,
  cut_store,
  cut_worker,
  restart_worker,
  compact_store
};
constexpr std::uint64_t series_fault_draws = 9;

void begin_fault(virtual_fleet& fleet, series_fault fault, int node, int worker) {
  if (fault == series_fault::kill_node) fleet.kill_node(node);
  if (fault == series_fault::freeze_node) fleet.freeze_node(node, true);
  if (fault == series_fault::cut_store) fleet.cut_store(node, true);
  if (fault == series_fault::cut_worker) fleet.set_worker_reachable(worker, false);
  if (fault == series_fault::restart_worker) fleet.restart_worker(worker);
  if (fault == series_fault::compact_store) fleet.compact_store();
}

void end_fault(virtual_fleet& fleet, series_fault fault, int node, int worker) {
  if (fault == series_fault::kill_node) fleet.start_node(node);
  if (fault == series_fault::freeze_node) fleet.freeze_node(node, false);
  if (fault == series_fault::cut_store) fleet.cut_store(node, false);
  if (fault == series_fault::cut_worker) fleet.set_worker_reachable(worker, true);
}

// Owners are repeatedly killed, frozen and cut off while responses are lost and orders are delayed.
TEST(job_fleet_test, invariants_hold_through_repeated_faults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    virtual_fleet fleet{{.nodes = 4,
                         .workers = 6,
                         .seed = seed,
                         .lost_answers = 0.03,
                         .late_orders = 0.03,
                         .lost_append_answers = 0.03,
                         .failing_tasks = 0.02,
                         .max_attempts = 6}};
    random_engine random{seed};
    wait_until_settled(fleet);
    const auto long_job = fleet.submit(0, "long", long_running_job(3));
    ASSERT_TRUE(
        fleet.run_until([&] { return fleet.answer_of(long_job) != nullptr; }, duration{3'000}));
    ASSERT_EQ(fleet.answer_of(long_job)->verdict, caller_verdict::accepted);
    int next_job = 0;
    std::vector<std::pair<call_id, std::string>> submitted;
    for (int round = 0; round < 25; ++round) {
      const std::string id = "j" + std::to_string(next_job++);
      submitted.emplace_back(fleet.submit(static_cast<int>(random() % 4), id, two_steps(4)), id);
      const int node = fleet.owner() >= 0 ? fleet.owner() : static_cast<int>(random() % 4);
      const int worker = static_cast<int>(random() % 6);
      const auto fault = static_cast<series_fault>(random() % series_fault_draws);
      begin_fault(fleet, fault, node, worker);
      fleet.run_for(duration{static_cast<int>(200 + random() % 2'500)});
      end_fault(fleet, fault, node, worker);
    }
    fleet.run_for(duration{10'000});
    for (const auto& [call, id] : submitted) {
      const auto* answer = fleet.answer_of(call);
      if (answer == nullptr || answer->verdict != caller_verdict::accepted) continue;
      EXPECT_TRUE(fleet.reaches(0, id, job_state::completed, duration{8'000}))
          << id << " seed " << seed;
    }
    EXPECT_EQ(fleet.running("long"), 3U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Jobs are cancelled at any node, some as soon as they are accepted, while nodes and workers fail.
TEST(job_fleet_test, no_task_of_a_cancelled_job_runs_on_through_repeated_faults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.nodes = 4,
                         .workers = 6,
                         .seed = seed,
                         .lost_answers = 0.1,
                         .late_orders = 0.03,
                         .lost_append_answers = 0.03,
                         .failing_tasks = 0.02,
                         .max_attempts = 6}};
    random_engine random{seed};
    wait_until_settled(fleet);
    for (int round = 0; round < 20; ++round) {
      const std::string id = "j" + std::to_string(round);
      fleet.submit(static_cast<int>(random() % 4), id,
                   random() % 2 == 0 ? long_running_job(3) : two_steps(4));
      fleet.run_for(duration{static_cast<int>(random() % 2 == 0 ? 12 : random() % 1'000)});
      fleet.cancel(static_cast<int>(random() % 4), id);
      const int node = fleet.owner() >= 0 ? fleet.owner() : static_cast<int>(random() % 4);
      const int worker = static_cast<int>(random() % 6);
      const auto fault = static_cast<series_fault>(random() % series_fault_draws);
      begin_fault(fleet, fault, node, worker);
      fleet.run_for(duration{static_cast<int>(100 + random() % 1'500)});
      end_fault(fleet, fault, node, worker);
    }
    fleet.run_for(duration{12'000});
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
