#include "coltsfoot/placing/short_task_demand.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr time_point start{duration{100'000}};

// Room for a burst must not be given away between two waves of it.
TEST(short_task_demand_test, the_highest_figure_of_the_last_seconds_counts) {
  short_task_demand demand;
  demand.observe({.total = 90'000, .largest_waiting = 21'000}, start);
  demand.observe({.total = 10'000}, start + duration{1'000});
  const auto figures = demand.at(start + duration{1'000});
  EXPECT_GT(figures.total, 80'000);
  EXPECT_GT(figures.largest_waiting, 18'000);
}

// Room for a burst that is over must not be kept for good.
TEST(short_task_demand_test, a_peak_that_does_not_come_again_fades) {
  short_task_demand demand;
  demand.observe({.total = 90'000, .largest_waiting = 21'000}, start);
  demand.observe({.total = 10'000}, start + duration{60'000});
  const auto figures = demand.at(start + duration{60'000});
  EXPECT_EQ(figures.total, 10'000);
  EXPECT_LT(figures.largest_waiting, 100);
}

TEST(short_task_demand_test, nothing_is_needed_before_anything_was_observed) {
  const short_task_demand demand;
  EXPECT_EQ(demand.at(start).total, 0);
  EXPECT_EQ(demand.at(start).largest_waiting, 0);
}

}  // namespace
}  // namespace coltsfoot::jobs
