#include "coltsfoot/lease/lease_clock.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point start{duration{50'000}};
constexpr duration lease{5'000};

TEST(lease_clock_test, grants_nothing_before_the_workers_clock_is_known) {
  lease_clock clock{start};
  EXPECT_FALSE(clock.extend(start, lease));
  EXPECT_EQ(clock.lapses_at(), start);
}

TEST(lease_clock_test, lasts_as_long_as_a_slow_clock_takes) {
  lease_clock clock{start};
  clock.observe(700, start);
  EXPECT_EQ(clock.extend(start + duration{1'000}, lease), 6'700);
  // A clock that is two percent slow reaches 6700 after 6000 / 0.98 ms.
  EXPECT_GE(clock.lapses_at(), start + duration{6'122});
  EXPECT_LE(clock.lapses_at(), start + duration{6'300});
}

TEST(lease_clock_test, an_inherited_lease_counts) {
  lease_clock clock{start + duration{60'000}};
  clock.observe(700, start);
  clock.extend(start, lease);
  EXPECT_EQ(clock.lapses_at(), start + duration{60'000});
}

// Answers overtake each other: only a reading from before the call tells of another clock.
TEST(lease_clock_test, a_reading_that_goes_back_is_of_another_clock) {
  lease_clock clock{start};
  const auto now = start + duration{10};
  EXPECT_FALSE(clock.is_of_another_clock(700, start, now));
  clock.observe(700, start);
  EXPECT_TRUE(clock.is_of_another_clock(699, start, now));
  EXPECT_FALSE(clock.is_of_another_clock(699, start - duration{1}, now));
  EXPECT_FALSE(clock.is_of_another_clock(700, start, now));
}

// An answer may be late, so that the reading before was older than it seemed.
TEST(lease_clock_test, a_reading_that_is_seconds_ahead_is_of_another_clock) {
  lease_clock clock{start};
  clock.observe(700, start);
  const auto now = start + duration{1'000};
  EXPECT_FALSE(clock.is_of_another_clock(6'700, start, now));
  EXPECT_TRUE(clock.is_of_another_clock(6'701, start, now));
}

}  // namespace
}  // namespace coltsfoot::jobs
