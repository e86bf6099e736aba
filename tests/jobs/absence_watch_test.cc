#include "tests/jobs/absence_watch.h"

#include <gtest/gtest.h>

namespace coltsfoot::testing {
namespace {

constexpr resources demand{.millicores = 1'000, .memory_mb = 100};
constexpr resources ample_capacity{.millicores = 2'500, .memory_mb = 1'000};

watched_task task(bool running) {
  return {.task = {.job = jobs::job_id{"j"}}, .demand = demand, .running = running};
}

// Records a run of the task before the times that the tests observe.
void record_run(absence_watch& watch) {
  watch.observe({}, {task(true)}, time_point{duration{9'000}});
}

// Observes once a second up to `seconds`, each time with the same free capacity.
void observe(absence_watch& watch, const std::vector<resources>& free, int from, int to,
             bool running = false) {
  for (int second = from; second <= to; ++second) {
    watch.observe(free, {task(running)}, time_point{duration{second * 1'000}});
  }
}

TEST(absence_watch_test, reports_a_long_absence_with_free_capacity) {
  absence_watch watch{{}};
  record_run(watch);
  observe(watch, {ample_capacity}, 10, 15);
  EXPECT_TRUE(watch.broken().empty());
  observe(watch, {ample_capacity}, 16, 16);
  EXPECT_EQ(watch.broken().size(), 1U);
}

TEST(absence_watch_test, ignores_capacity_for_one_task_or_for_a_short_time) {
  absence_watch capacity_for_one{{}};
  record_run(capacity_for_one);
  observe(capacity_for_one, {{.millicores = 1'900, .memory_mb = 1'000}}, 10, 30);
  EXPECT_TRUE(capacity_for_one.broken().empty());
  absence_watch brief{{}};
  record_run(brief);
  for (int second = 10; second < 30; second += 4) {
    observe(brief, {ample_capacity}, second, second + 2);
    observe(brief, {}, second + 3, second + 3);
  }
  EXPECT_TRUE(brief.broken().empty());
  EXPECT_GE(brief.longest_absence(), duration{18'000});
}

TEST(absence_watch_test, ignores_a_task_that_has_never_run) {
  absence_watch watch{{}};
  observe(watch, {ample_capacity}, 10, 40);
  EXPECT_TRUE(watch.broken().empty());
}

TEST(absence_watch_test, faults_and_runs_restart_the_interval) {
  absence_watch faulty{{}};
  record_run(faulty);
  faulty.on_trouble(time_point{duration{14'000}});
  observe(faulty, {ample_capacity}, 10, 20);
  EXPECT_TRUE(faulty.broken().empty());
  observe(faulty, {ample_capacity}, 21, 21);
  EXPECT_FALSE(faulty.broken().empty());
  absence_watch restarted{{}};
  record_run(restarted);
  observe(restarted, {ample_capacity}, 10, 15);
  observe(restarted, {ample_capacity}, 16, 16, true);
  observe(restarted, {ample_capacity}, 17, 22);
  EXPECT_TRUE(restarted.broken().empty());
}

}  // namespace
}  // namespace coltsfoot::testing
