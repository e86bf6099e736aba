#include "coltsfoot/jobs/start_window.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr duration prompt{10};
constexpr duration late{300};

class start_window_test : public ::testing::Test {
 protected:
  // Sends as many starts as there is room for, all of which take `taken`.
  void play_interval(duration taken) {
    while (window_.has_room()) window_.on_sent();
    while (window_.under_way() > 0) window_.on_ended(taken);
    now_ += duration{250};
    window_.adjust(now_);
  }

  time_point now_{duration{1'000}};
  start_window window_{{.initial = 64, .smallest = 8, .largest = 200}};
};

TEST_F(start_window_test, shrinks_while_answers_are_late_and_never_closes) {
  play_interval(late);
  EXPECT_EQ(window_.size(), 32U);
  EXPECT_TRUE(window_.congested());
  for (int i = 0; i < 10; ++i) play_interval(late);
  EXPECT_EQ(window_.size(), 8U);
  EXPECT_TRUE(window_.has_room());
}

TEST_F(start_window_test, grows_again_when_it_is_reached_and_answers_are_prompt) {
  for (int i = 0; i < 10; ++i) play_interval(late);
  play_interval(prompt);
  EXPECT_GT(window_.size(), 8U);
  for (int i = 0; i < 40; ++i) play_interval(prompt);
  EXPECT_EQ(window_.size(), 200U);
}

TEST_F(start_window_test, does_not_grow_while_it_is_not_reached) {
  for (int i = 0; i < 10; ++i) {
    window_.on_sent();
    window_.on_ended(prompt);
    now_ += duration{250};
    window_.adjust(now_);
  }
  EXPECT_EQ(window_.size(), 64U);
}

// One worker that is cut off says nothing about the owner's link.
TEST_F(start_window_test, few_late_answers_do_not_shrink_it) {
  for (int i = 0; i < 60; ++i) {
    window_.on_sent();
    window_.on_ended(i < 10 ? late : prompt);
  }
  now_ += duration{250};
  window_.adjust(now_);
  EXPECT_EQ(window_.size(), 64U);
}

TEST_F(start_window_test, unsent_starts_take_room) {
  window_.on_sent();
  EXPECT_EQ(window_.room_beside(3, prompt), 60U);
  EXPECT_EQ(window_.room_beside(90, prompt), 0U);
}

// Guards against starts that are held back by the window while they wait for a slow store.
TEST_F(start_window_test, starts_that_can_be_sent_later_only_may_be_more) {
  while (window_.has_room()) window_.on_sent();
  EXPECT_EQ(window_.room_beside(0, prompt), 0U);
  EXPECT_EQ(window_.room_beside(0, duration{450}), 128U);
  EXPECT_EQ(window_.room_beside(100, duration{450}), 28U);
  EXPECT_EQ(window_.room_beside(0, duration{60'000}), 136U) << "the largest window bounds it";
}

}  // namespace
}  // namespace coltsfoot::jobs
