#include "coltsfoot/lease/restart_watch.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point start{duration{50'000}};
constexpr duration longest_lease{10'000};

TEST(restart_watch_test, expects_nothing_of_a_former_life_at_first) {
  const restart_watch watch;
  EXPECT_FALSE(watch.in_doubt());
  EXPECT_LE(watch.former_leases_over(longest_lease), start);
  EXPECT_LE(watch.unknown_life_over(longest_lease), start);
}

TEST(restart_watch_test, former_leases_last_from_the_first_answer_with_the_new_fence) {
  restart_watch watch;
  watch.on_restart(start);
  EXPECT_EQ(watch.former_leases_over(longest_lease), start + late_order_limit + longest_lease);
  watch.on_answer(start - duration{1}, start + duration{50});  // sent to the former life
  watch.on_answer(start + duration{10}, start + duration{100});
  watch.on_answer(start + duration{200}, start + duration{300});
  EXPECT_EQ(watch.former_leases_over(longest_lease), start + duration{100} + longest_lease);
}

TEST(restart_watch_test, a_doubt_lasts_until_an_order_that_was_sent_since_is_answered) {
  restart_watch watch;
  watch.on_doubt(start);
  watch.on_answer(start - duration{1}, start + duration{50});
  EXPECT_TRUE(watch.in_doubt());
  EXPECT_EQ(watch.unknown_life_over(longest_lease), start + late_order_limit + longest_lease);
  EXPECT_LE(watch.former_leases_over(longest_lease), start);
  watch.on_answer(start + duration{60}, start + duration{70});
  EXPECT_FALSE(watch.in_doubt());
  EXPECT_LE(watch.unknown_life_over(longest_lease), start);
}

TEST(restart_watch_test, a_restart_settles_a_doubt) {
  restart_watch watch;
  watch.on_doubt(start);
  watch.on_restart(start + duration{100});
  EXPECT_FALSE(watch.in_doubt());
}

}  // namespace
}  // namespace coltsfoot::jobs
