// Workers that are cut off, restart and carry orders out late, in series and overlapping.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

// Guards against runs at the same time in two lives of a worker, one of which nobody has heard of,
// and against tasks that wait for a late start for good.
TEST(late_order_test, late_orders_beside_restarts_and_cuts_run_nothing_twice_and_lose_nothing) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    virtual_fleet fleet{
        {.workers = 5, .seed = seed, .late_orders = 0.06, .latest_order = duration{12'000}}};
    random_engine random{seed};
    const auto draw = [&](int from, int to) {
      return duration{std::uniform_int_distribution<int>{from, to}(random)};
    };
    wait_until_settled(fleet);
    fleet.submit(0, "long", long_running_job(6));
    const jobs::job_spec spec{.payload = "p",
                              .steps = {{.count = 3,
                                         .demand = {.millicores = 1'000, .memory_mb = 500},
                                         .estimate = duration{2'000}}}};
    std::vector<std::pair<call_id, std::string>> submitted;
    for (int round = 0; round < 10; ++round) {
      for (int i = 0; i < 3; ++i) {
        const std::string id = "j" + std::to_string(submitted.size());
        submitted.emplace_back(fleet.submit(i, id, spec), id);
        fleet.run_for(draw(50, 400));
      }
      const int worker = static_cast<int>(random() % 5);
      const bool cut = random() % 2 == 0;
      if (cut) fleet.set_worker_reachable(worker, false);
      fleet.run_for(draw(100, 1'000));
      fleet.crash_worker(worker, draw(100, 1'500));
      fleet.run_for(draw(100, 6'000));
      if (cut) fleet.set_worker_reachable(worker, true);
      fleet.run_for(draw(0, 1'500));
    }
    for (const auto& [call, id] : submitted) {
      const auto* answer = fleet.answer_of(call);
      if (answer == nullptr || answer->verdict != jobs::caller_verdict::accepted) continue;
      EXPECT_TRUE(fleet.reaches(0, id, jobs::job_state::completed, duration{40'000}))
          << id << " seed " << seed;
    }
    EXPECT_TRUE(fleet.run_until([&] { return fleet.running("long") == 6U; }, duration{10'000}))
        << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

}  // namespace
}  // namespace coltsfoot::testing
