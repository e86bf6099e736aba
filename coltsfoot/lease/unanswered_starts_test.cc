#include "coltsfoot/lease/unanswered_starts.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point start{duration{50'000}};
constexpr duration second{1'000};

TEST(unanswered_starts_test, an_answered_order_can_not_come_late) {
  unanswered_starts starts;
  starts.on_sent(start);
  EXPECT_TRUE(starts.may_come(start + second));
  starts.on_answered(start);
  EXPECT_FALSE(starts.may_come(start + second));
  EXPECT_FALSE(starts.is_uncertain());
}

// Guards against a later answer that clears an earlier order without one.
TEST(unanswered_starts_test, the_answer_to_a_repetition_does_not_settle_the_first_order) {
  unanswered_starts starts;
  starts.on_sent(start);
  starts.on_sent(start + second);
  starts.on_answered(start + second);
  starts.on_listed();
  EXPECT_EQ(starts.late_until(start + second), start + late_order_limit);
}

// Guards against a doubt that stays for good.
TEST(unanswered_starts_test, an_order_can_not_be_carried_out_after_the_limit) {
  unanswered_starts starts;
  starts.on_sent(start);
  starts.on_given_up(start);
  EXPECT_TRUE(starts.may_come(start + late_order_limit - duration{1}));
  EXPECT_FALSE(starts.may_come(start + late_order_limit));
}

TEST(unanswered_starts_test, the_only_order_of_a_listed_run_has_been_carried_out) {
  unanswered_starts starts;
  starts.on_sent(start);
  starts.on_listed();
  EXPECT_FALSE(starts.may_come(start));
}

// Guards against long waits for the tasks of a worker that is lost for good.
TEST(unanswered_starts_test, an_order_that_the_worker_has_not_outlived_is_not_late) {
  unanswered_starts starts;
  starts.on_sent(start);
  starts.on_given_up(start);
  EXPECT_EQ(starts.late_until(start), time_point{});
  EXPECT_FALSE(starts.is_to_be_recorded(start, start));
  EXPECT_EQ(starts.late_until(start + second), start + late_order_limit);
  EXPECT_TRUE(starts.is_to_be_recorded(start + second, start + second));
  EXPECT_FALSE(starts.is_to_be_recorded(start + second, start + late_order_limit));
}

TEST(unanswered_starts_test, an_order_whose_answer_is_awaited_is_not_recorded) {
  unanswered_starts starts;
  starts.on_sent(start);
  EXPECT_FALSE(starts.is_to_be_recorded(start + second, start + second));
}

TEST(unanswered_starts_test, orders_of_a_former_owner_are_late_only_if_it_has_said_so) {
  unanswered_starts unrecorded;
  unrecorded.on_adopted(start, false);
  EXPECT_TRUE(unrecorded.may_come(start + second));
  EXPECT_EQ(unrecorded.late_until(start + second), time_point{});
  unanswered_starts recorded;
  recorded.on_adopted(start, true);
  EXPECT_EQ(recorded.late_until({}), start + late_order_limit);
  EXPECT_FALSE(recorded.may_come(start + late_order_limit));
}

}  // namespace
}  // namespace coltsfoot::jobs
