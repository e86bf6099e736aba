#include "tests/jobs/absence_watch.h"

#include <gtest/gtest.h>

namespace coltsfoot::testing {
namespace {

constexpr resources demand{.millicores = 1'000, .memory_mb = 100};
constexpr resources roomy{.millicores = 2'500, .memory_mb = 1'000};

watched_task task(bool running) {
  return {.task = {.job = jobs::job_id{"j"}}, .demand = demand, .running = running};
}

// The task has run before the times below.
void note_run(absence_watch& watch) {
  watch.observe({}, {task(true)}, time_point{duration{9'000}});
}

// Observes once a second up to `seconds`, each time with the same room.
void observe(absence_watch& watch, const std::vector<resources>& free, int from, int to,
             bool running = false) {
  for (int second = from; second <= to; ++second) {
    watch.observe(free, {task(running)}, time_point{duration{second * 1'000}});
  }
}

TEST(absence_watch_test, a_task_that_is_away_for_long_with_room_for_it_is_noted) {
  absence_watch watch{{}};
  note_run(watch);
  observe(watch, {roomy}, 10, 15);
  EXPECT_TRUE(watch.broken().empty());
  observe(watch, {roomy}, 16, 16);
  EXPECT_EQ(watch.broken().size(), 1U);
}

TEST(absence_watch_test, room_for_one_task_or_for_a_short_time_is_not_enough) {
  absence_watch one_place{{}};
  note_run(one_place);
  observe(one_place, {{.millicores = 1'900, .memory_mb = 1'000}}, 10, 30);
  EXPECT_TRUE(one_place.broken().empty());
  absence_watch brief{{}};
  note_run(brief);
  for (int second = 10; second < 30; second += 4) {
    observe(brief, {roomy}, second, second + 2);
    observe(brief, {}, second + 3, second + 3);
  }
  EXPECT_TRUE(brief.broken().empty());
  EXPECT_GE(brief.longest_absence(), duration{18'000});
}

TEST(absence_watch_test, a_task_that_has_never_run_is_not_awaited) {
  absence_watch watch{{}};
  observe(watch, {roomy}, 10, 40);
  EXPECT_TRUE(watch.broken().empty());
}

TEST(absence_watch_test, troubles_and_runs_begin_the_count_anew) {
  absence_watch troubled{{}};
  note_run(troubled);
  troubled.on_trouble(time_point{duration{14'000}});
  observe(troubled, {roomy}, 10, 20);
  EXPECT_TRUE(troubled.broken().empty());
  observe(troubled, {roomy}, 21, 21);
  EXPECT_FALSE(troubled.broken().empty());
  absence_watch restarted{{}};
  note_run(restarted);
  observe(restarted, {roomy}, 10, 15);
  observe(restarted, {roomy}, 16, 16, true);
  observe(restarted, {roomy}, 17, 22);
  EXPECT_TRUE(restarted.broken().empty());
}

}  // namespace
}  // namespace coltsfoot::testing
