#include "coltsfoot/jobs/answer_time.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

TEST(answer_time_test, a_timeout_follows_answers_that_become_slow_and_prompt_again) {
  answer_time answers{{.shortest_timeout = duration{400}, .longest_timeout = duration{1'500}}};
  EXPECT_EQ(answers.timeout(), duration{400});
  for (int i = 0; i < 50; ++i) answers.observe(duration{700});
  EXPECT_NEAR(static_cast<double>(answers.mean().count()), 700, 10);
  EXPECT_GT(answers.timeout(), duration{700});
  for (int i = 0; i < 100; ++i) answers.observe(duration{5});
  EXPECT_EQ(answers.timeout(), duration{400});
}

// The others would be repeated, and taken for silent, later than they need be.
TEST(answer_time_test, a_single_slow_answer_hardly_changes_the_timeout) {
  answer_time answers{{.shortest_timeout = duration{400}, .longest_timeout = duration{1'500}}};
  for (int i = 0; i < 50; ++i) answers.observe(duration{5});
  answers.observe(duration{60'000});
  for (int i = 0; i < 4; ++i) answers.observe(duration{5});
  EXPECT_LT(answers.timeout(), duration{500});
}

TEST(answer_time_test, a_timeout_stays_within_its_bounds) {
  answer_time answers{{.shortest_timeout = duration{400}, .longest_timeout = duration{1'500}}};
  for (int i = 0; i < 50; ++i) answers.observe(duration{60'000});
  EXPECT_EQ(answers.timeout(), duration{1'500});
}

}  // namespace
}  // namespace coltsfoot::jobs
