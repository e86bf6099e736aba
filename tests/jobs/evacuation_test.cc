// End-to-end tests on virtual time of evacuated availability zones.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

// A request that was written this long ago has been read and carried out.
constexpr duration effective{1'000};

// Workers 0 and 1 are in zone z0, workers 2 and 3 in z1.
const fleet_options two_zones{.workers = 4, .zones = 2};

jobs::job_spec short_job(std::uint32_t width) {
  return {.payload = "p",
          .steps = {{.count = width,
                     .demand = {.millicores = 1'000, .memory_mb = 500},
                     .estimate = duration{300}}}};
}

jobs::job_spec long_running_job(std::uint32_t width, std::uint32_t max_unavailable) {
  return {.payload = "p",
          .steps = {{.count = width,
                     .demand = {.millicores = 1'000, .memory_mb = 500},
                     .long_running = true,
                     .max_unavailable = max_unavailable}}};
}

void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
}

// Submits a job of 16 tasks every 200 ms, more than one zone takes at once.
void submit_jobs(virtual_fleet& fleet, const std::string& prefix, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    fleet.submit(0, prefix + std::to_string(i), short_job(16));
    fleet.run_for(duration{200});
  }
}

time_point last_start(virtual_fleet& fleet, int worker) {
  return fleet.worker(worker).last_start().value_or(time_point{});
}

// Guards against starts in an evacuated zone, and against a zone that stays closed when the request
// is revoked.
TEST(evacuation_test, no_task_is_started_in_an_evacuated_zone_until_the_request_is_revoked) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  submit_jobs(fleet, "a", 5);
  fleet.write_config("evacuate/z0", "{}");
  const auto written = fleet.now();
  submit_jobs(fleet, "b", 20);
  for (const int worker : {0, 1}) {
    EXPECT_GT(last_start(fleet, worker), time_point{});
    EXPECT_LT(last_start(fleet, worker), written + effective);
  }
  EXPECT_GT(last_start(fleet, 2), written + effective);
  fleet.write_config("evacuate/z0", "");
  const auto revoked = fleet.now();
  submit_jobs(fleet, "c", 10);
  EXPECT_GT(last_start(fleet, 0), revoked);
  EXPECT_TRUE(fleet.reaches(0, "b19", jobs::job_state::completed, duration{8'000}));
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against starts that were decided or sent before the request and begin long after it: their
// records take long, and their orders are lost, repeated or carried out seconds later.
TEST(evacuation_test, starts_under_way_do_not_begin_late) {
  constexpr duration allowed{5'000};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{
        {.workers = 4, .seed = seed, .lost_answers = 0.2, .late_orders = 0.1, .zones = 2}};
    wait_until_settled(fleet);
    fleet.set_append_time(duration{300});
    submit_jobs(fleet, "a", 10);
    fleet.write_config("evacuate/z0", "{}");
    const auto written = fleet.now();
    submit_jobs(fleet, "b", 60);
    EXPECT_LT(last_start(fleet, 0), written + allowed) << "seed " << seed;
    EXPECT_LT(last_start(fleet, 1), written + allowed) << "seed " << seed;
    EXPECT_GT(last_start(fleet, 2), written + allowed) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Guards against a successor that knows of no request, and against one that interrupts what runs.
TEST(evacuation_test, a_successor_starts_nothing_in_the_zone_and_leaves_what_runs_there) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet{{.workers = 4, .seed = seed, .lost_answers = 0.1, .zones = 2}};
    wait_until_settled(fleet);
    submit_jobs(fleet, "a", 5);
    fleet.write_config("evacuate/z0", "{}");
    const auto written = fleet.now();
    fleet.run_for(duration{100 + 150 * static_cast<int>(seed)});
    const int owner = fleet.owner();
    ASSERT_GE(owner, 0);
    fleet.kill_node(owner);
    fleet.compact_store();  // a node that starts now reads the request in a listing
    fleet.run_for(duration{1'000});
    fleet.start_node(owner);
    submit_jobs(fleet, "b", 30);
    EXPECT_LT(last_start(fleet, 0), written + effective) << "seed " << seed;
    EXPECT_LT(last_start(fleet, 1), written + effective) << "seed " << seed;
    EXPECT_GT(last_start(fleet, 2), written + duration{4'000}) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Guards against nodes that place tasks, or repeat former starts, before they have read the
// request.
TEST(evacuation_test, nodes_that_all_start_anew_start_nothing_in_the_zone) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet{{.workers = 4, .seed = seed, .lost_answers = 0.1, .zones = 2}};
    wait_until_settled(fleet);
    submit_jobs(fleet, "a", 5);
    fleet.write_config("evacuate/z0", "{}");
    fleet.submit(0, "b", short_job(40));
    fleet.run_for(duration{100 + 20 * static_cast<int>(seed)});
    for (int node = 0; node < 3; ++node) fleet.kill_node(node);
    fleet.run_for(duration{200});
    const auto restarted = fleet.now();
    fleet.set_config_readable(false);
    for (int node = 0; node < 3; ++node) fleet.start_node(node);
    fleet.run_for(duration{8'000});
    fleet.set_config_readable(true);
    fleet.run_for(duration{1'000});
    submit_jobs(fleet, "c", 10);
    EXPECT_LT(last_start(fleet, 0), restarted) << "seed " << seed;
    EXPECT_LT(last_start(fleet, 1), restarted) << "seed " << seed;
    EXPECT_GT(last_start(fleet, 2), restarted) << "seed " << seed;
    EXPECT_TRUE(fleet.reaches(0, "c9", jobs::job_state::completed, duration{8'000}));
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Guards against a request that is forgotten while the store can't be read.
TEST(evacuation_test, the_request_stays_in_force_while_the_store_is_down) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  submit_jobs(fleet, "a", 5);
  fleet.write_config("evacuate/z0", "{}");
  const auto written = fleet.now();
  fleet.run_for(duration{300});
  fleet.set_store_down(true);
  submit_jobs(fleet, "b", 20);
  fleet.set_store_down(false);
  submit_jobs(fleet, "c", 20);
  EXPECT_LT(last_start(fleet, 0), written + effective);
  EXPECT_GT(last_start(fleet, 2), written + duration{4'000});
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against jobs that are lost while no zone is open.
TEST(evacuation_test, jobs_wait_while_all_zones_are_evacuated) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  fleet.write_config("evacuate/z0", "{}");
  fleet.write_config("evacuate/z1", "{}");
  fleet.run_for(effective);
  submit_jobs(fleet, "a", 10);
  fleet.run_for(duration{5'000});
  EXPECT_EQ(fleet.starts(), 0U);
  EXPECT_TRUE(fleet.reaches(0, "a0", jobs::job_state::queued, duration{500}));
  fleet.write_config("evacuate/z1", "");
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(
        fleet.reaches(0, "a" + std::to_string(i), jobs::job_state::completed, duration{8'000}));
  }
  EXPECT_EQ(last_start(fleet, 0), time_point{});
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against malformed values that open or close a zone, and against requests for unknown zones
// that have an effect.
TEST(evacuation_test, malformed_values_and_unknown_zones_change_nothing) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  fleet.write_config("evacuate/z0", "{}");
  fleet.write_config("evacuate/z1", "[]");
  fleet.write_config("evacuate/", "{}");
  fleet.write_config("evacuate/elsewhere", "{}");
  fleet.run_for(effective);
  fleet.write_config("evacuate/z0", "no");
  fleet.run_for(effective);
  const auto begun = fleet.now();
  submit_jobs(fleet, "a", 10);
  EXPECT_LT(last_start(fleet, 0), begun);
  EXPECT_GT(last_start(fleet, 2), begun);
}

// Guards against a shard that starts tasks in the zone, or gets them from others for workers there.
TEST(evacuation_test, no_shard_starts_tasks_in_the_zone) {
  virtual_fleet fleet{{.workers = 16, .workers_per_shard = 4, .zones = 2}};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{15'000}));
  fleet.run_for(duration{1'000});
  submit_jobs(fleet, "a", 10);
  fleet.write_config("evacuate/z0", "{}");
  const auto written = fleet.now();
  submit_jobs(fleet, "b", 30);
  for (int worker = 0; worker < 16; ++worker) {
    if (worker / 2 % 2 != 0) continue;
    EXPECT_LT(last_start(fleet, worker), written + effective) << worker;
  }
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(
        fleet.reaches(0, "b" + std::to_string(i), jobs::job_state::completed, duration{8'000}));
  }
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against a worker that is open again because it was away.
TEST(evacuation_test, a_worker_that_restarts_or_rejoins_is_still_closed) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  submit_jobs(fleet, "a", 5);
  fleet.write_config("evacuate/z0", "{}");
  const auto written = fleet.now();
  fleet.run_for(duration{500});
  fleet.crash_worker(0, duration{600});
  fleet.set_worker_reachable(1, false);
  submit_jobs(fleet, "b", 10);
  fleet.set_worker_reachable(1, true);
  submit_jobs(fleet, "c", 60);
  EXPECT_LT(last_start(fleet, 0), written + effective);
  EXPECT_LT(last_start(fleet, 1), written + effective);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Runs of long-running tasks that have started up.
std::size_t at_work(virtual_fleet& fleet, int workers) {
  constexpr duration start_up{200};
  std::size_t count = 0;
  for (int i = 0; i < workers; ++i) {
    for (const auto& [task, run] : fleet.worker(i).runs()) {
      if (run.work.lasts && fleet.now() - run.began >= start_up) ++count;
    }
  }
  return count;
}

// Returns the least number of runs that were at work at a time while zone z0 was emptied.
std::size_t least_at_work_until_empty(virtual_fleet& fleet, std::size_t width) {
  std::size_t least = width;
  const bool emptied = fleet.run_until(
      [&] {
        least = std::min(least, at_work(fleet, 4));
        return !fleet.runs_tasks(0) && !fleet.runs_tasks(1) && at_work(fleet, 4) == width;
      },
      duration{30'000});
  EXPECT_TRUE(emptied);
  return least;
}

// Guards against moves that take down more tasks of a step than it allows, also if the owner that
// began them dies.
TEST(evacuation_test, long_running_tasks_leave_the_zone_within_the_bound_of_their_step) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const std::uint32_t max_unavailable : {0U, 1U, 3U}) {
      virtual_fleet fleet{{.workers = 4, .seed = seed, .lost_answers = 0.05, .zones = 2}};
      wait_until_settled(fleet);
      fleet.submit(0, "j", long_running_job(12, max_unavailable));
      ASSERT_TRUE(fleet.run_until([&] { return at_work(fleet, 4) == 12; }, duration{8'000}));
      fleet.run_for(duration{1'000});
      ASSERT_TRUE(fleet.runs_tasks(0) || fleet.runs_tasks(1));
      fleet.write_config("evacuate/z0", "{}");
      if (seed % 2 == 0) {
        fleet.run_for(duration{seed * 100});
        fleet.kill_node(fleet.owner());
      }
      const std::size_t bound = std::max(max_unavailable, 1U);
      EXPECT_GE(least_at_work_until_empty(fleet, 12) + bound, 12U)
          << "seed " << seed << " max_unavailable " << max_unavailable;
      EXPECT_EQ(fleet.lapsed(), 0U) << "seed " << seed;
      EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
    }
  }
}

// Guards against tasks that are stopped although they can't run elsewhere.
TEST(evacuation_test, tasks_stay_while_there_is_no_room_elsewhere) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(40, 30));  // more than fit
  fleet.run_for(duration{10'000});
  const auto full = at_work(fleet, 4);
  fleet.write_config("evacuate/z0", "{}");
  auto least = full;
  fleet.run_until(
      [&] {
        least = std::min(least, at_work(fleet, 4));
        return false;
      },
      duration{10'000});
  EXPECT_GE(least + 4, full);  // four moves at once
  EXPECT_EQ(at_work(fleet, 4), full);
  EXPECT_EQ(fleet.worker(2).runs().size() + fleet.worker(3).runs().size(), 16U);
  EXPECT_TRUE(fleet.runs_tasks(0) && fleet.runs_tasks(1));
}

// Guards against stopping tasks of a step of which more than its bound wait for their first start:
// they are not at work either.
TEST(evacuation_test, tasks_that_have_never_started_count_as_unavailable) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(40, 4));  // more than fit
  fleet.run_for(duration{10'000});
  const auto full = at_work(fleet, 4);
  ASSERT_LE(full, 36U);
  fleet.write_config("evacuate/z0", "{}");
  for (int i = 0; i < 100; ++i) {
    fleet.run_for(duration{100});
    ASSERT_GE(at_work(fleet, 4), full) << i;
  }
}

// Guards against stopping tasks while their next start can't be recorded.
TEST(evacuation_test, no_more_tasks_are_moved_while_the_store_is_down) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(16, 16));
  ASSERT_TRUE(fleet.run_until([&] { return at_work(fleet, 4) == 16; }, duration{8'000}));
  fleet.run_for(duration{1'000});
  fleet.write_config("evacuate/z0", "{}");
  ASSERT_TRUE(fleet.run_until([&] { return at_work(fleet, 4) < 16; }, duration{2'000}));
  fleet.set_store_down(true);
  fleet.run_for(duration{25'000});
  EXPECT_GE(at_work(fleet, 4), 12U);  // four moves at once
  fleet.set_store_down(false);
  least_at_work_until_empty(fleet, 16);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against tasks that wait for a zone that is cut off while it is evacuated.
TEST(evacuation_test, tasks_of_a_zone_that_is_cut_off_too_continue_elsewhere) {
  virtual_fleet fleet{two_zones};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(8, 1));
  ASSERT_TRUE(fleet.run_until([&] { return at_work(fleet, 4) == 8; }, duration{8'000}));
  fleet.write_config("evacuate/z0", "{}");
  fleet.run_for(duration{150});
  fleet.set_worker_reachable(0, false);
  fleet.set_worker_reachable(1, false);
  fleet.run_for(duration{16'000});
  EXPECT_EQ(fleet.worker(2).runs().size() + fleet.worker(3).runs().size(), 8U);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

}  // namespace
}  // namespace coltsfoot::testing
