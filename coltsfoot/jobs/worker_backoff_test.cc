#include "coltsfoot/jobs/worker_backoff.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr time_point start{duration{100'000}};

worker_backoff after_failures(int count) {
  worker_backoff backoff;
  for (int i = 0; i < count; ++i) backoff.on_failure(start);
  return backoff;
}

TEST(worker_backoff_test, two_failures_keep_a_worker_open) {
  EXPECT_FALSE(after_failures(2).is_closed(start));
  EXPECT_TRUE(after_failures(3).is_closed(start));
}

// A worker that has recovered would stay unused long after its last failure.
TEST(worker_backoff_test, a_worker_opens_equally_soon_however_often_it_has_failed) {
  const auto open_at = start + duration{2'000};
  for (const int failures : {3, 4, 8, 50}) {
    EXPECT_TRUE(after_failures(failures).is_closed(open_at - duration{1})) << failures;
    EXPECT_FALSE(after_failures(failures).is_closed(open_at)) << failures;
  }
}

// A worker that still fails would fail as many tasks as it has room for.
TEST(worker_backoff_test, starts_are_spaced_until_one_succeeds) {
  auto backoff = after_failures(3);
  const auto open_at = start + duration{2'000};
  backoff.on_start(open_at);
  EXPECT_TRUE(backoff.is_closed(open_at + duration{499}));
  EXPECT_FALSE(backoff.is_closed(open_at + duration{500}));
  backoff.on_start(open_at + duration{500});
  backoff.on_success(open_at + duration{500});
  EXPECT_FALSE(backoff.is_closed(open_at + duration{501}));
  backoff.on_start(open_at + duration{501});
  EXPECT_FALSE(backoff.is_closed(open_at + duration{501}));
}

TEST(worker_backoff_test, a_failure_after_the_pause_closes_the_worker_again) {
  auto backoff = after_failures(3);
  const auto later = start + duration{2'500};
  EXPECT_TRUE(backoff.on_failure(later));
  EXPECT_TRUE(backoff.is_closed(later + duration{1'999}));
  EXPECT_FALSE(backoff.is_closed(later + duration{2'000}));
}

TEST(worker_backoff_test, a_rejection_does_not_shorten_a_pause) {
  auto backoff = after_failures(3);
  backoff.on_rejection(start + duration{400});
  EXPECT_TRUE(backoff.is_closed(start + duration{1'999}));
}

TEST(worker_backoff_test, a_success_does_not_end_the_pause_after_a_rejection) {
  worker_backoff backoff;
  backoff.on_rejection(start + duration{400});
  backoff.on_success(start);
  EXPECT_TRUE(backoff.is_closed(start + duration{399}));
  EXPECT_FALSE(backoff.is_closed(start + duration{400}));
}

// Tasks fail by their own fault now and then, on sound workers too.
TEST(worker_backoff_test, scattered_failures_between_successes_do_not_close_a_worker) {
  worker_backoff backoff;
  for (int i = 0; i < 20; ++i) {
    const auto now = start + duration{i * 300};
    EXPECT_FALSE(backoff.on_failure(now)) << i;
    EXPECT_FALSE(backoff.on_failure(now + duration{200})) << i;
    backoff.on_success(now + duration{100});
  }
}

// Runs that began before the fault may end well while all new ones fail.
TEST(worker_backoff_test, a_success_of_a_run_that_began_before_the_failures_does_not_count) {
  auto backoff = after_failures(3);
  backoff.on_success(start - duration{1});
  EXPECT_TRUE(backoff.is_closed(start + duration{1'999}));
  EXPECT_EQ(backoff.failures(), 3U);
  backoff.on_success(start + duration{1});
  EXPECT_FALSE(backoff.is_closed(start + duration{1}));
}

}  // namespace
}  // namespace coltsfoot::jobs
