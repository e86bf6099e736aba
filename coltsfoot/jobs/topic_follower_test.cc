#include "coltsfoot/jobs/topic_follower.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point start{duration{1'000}};

list_request list_of(const std::optional<follow_request>& request) {
  return std::get<list_request>(request.value());
}

tail_request tail_of(const std::optional<follow_request>& request) {
  return std::get<tail_request>(request.value());
}

TEST(topic_follower_test, lists_all_pages_then_reads_on_from_the_first_pages_end) {
  topic_follower follower{{}};
  EXPECT_EQ(list_of(follower.next_request(start)).after, "");
  EXPECT_FALSE(follower.next_request(start)) << "one read at a time";
  EXPECT_FALSE(follower.on_page(
      list_page{.records = {{.key = "b", .value = "1"}}, .more = true, .end = 7}, start));
  EXPECT_EQ(list_of(follower.next_request(start)).after, "b");
  const auto change =
      follower.on_page(list_page{.records = {{.key = "a", .value = "2"}}, .end = 9}, start);
  ASSERT_TRUE(change);
  EXPECT_TRUE(change->is_listing);
  ASSERT_EQ(change->records.size(), 2U);
  EXPECT_EQ(change->records[0].key, "a") << "sorted by key";
  EXPECT_FALSE(follower.caught_up());
  EXPECT_EQ(tail_of(follower.next_request(start)).from, 7U);
}

TEST(topic_follower_test, is_complete_until_the_read_that_reached_the_end_was_sent) {
  topic_follower follower{{}};
  follower.next_request(start);
  follower.on_page(list_page{.end = 3}, start);
  follower.next_request(start + duration{10});
  follower.on_page(tail_page{.next = 5, .end = 6}, start + duration{20});
  EXPECT_FALSE(follower.complete_until());
  follower.next_request(start + duration{20});
  follower.on_page(tail_page{.next = 6, .end = 6}, start + duration{400});
  EXPECT_EQ(follower.complete_until(), start + duration{20})
      << "an answer may be on its way for long";
  follower.restart();
  EXPECT_FALSE(follower.complete_until());
}

// Guards against reading the same place for ever because a record is larger than a page.
TEST(topic_follower_test, a_record_that_does_not_fit_into_a_page_is_asked_for_with_a_larger_one) {
  topic_follower follower{{.page_bytes = 100, .longest_page_bytes = 350}};
  follower.next_request(start);
  follower.on_page(list_page{.end = 3}, start);
  for (const std::size_t bytes : {100U, 200U, 350U, 350U}) {
    EXPECT_EQ(tail_of(follower.next_request(start)).page_bytes, bytes);
    follower.on_page(tail_page{.next = 3, .end = 4}, start);
  }
  follower.next_request(start);
  follower.on_page(tail_page{.next = 4, .end = 4}, start);
  EXPECT_EQ(tail_of(follower.next_request(start + duration{500})).page_bytes, 100U);
}

TEST(topic_follower_test, is_caught_up_when_a_read_reaches_the_end) {
  topic_follower follower{{}};
  follower.next_request(start);
  follower.on_page(list_page{.end = 3}, start);
  follower.next_request(start);
  follower.on_page(tail_page{.next = 5, .end = 6}, start);
  EXPECT_FALSE(follower.caught_up());
  EXPECT_EQ(tail_of(follower.next_request(start)).wait, duration{0});
  follower.on_page(tail_page{.next = 6, .end = 6}, start);
  EXPECT_TRUE(follower.caught_up());
}

TEST(topic_follower_test, a_lost_history_makes_it_list_again) {
  topic_follower follower{{}};
  follower.next_request(start);
  follower.on_page(list_page{.end = 3}, start);
  follower.next_request(start);
  follower.on_history_gone(start);
  EXPECT_FALSE(follower.caught_up());
  EXPECT_EQ(list_of(follower.next_request(start)).after, "");
}

// A read that was sent before a restart must not make the copy look caught up.
TEST(topic_follower_test, an_answer_to_a_read_from_before_a_restart_is_dropped) {
  topic_follower follower{{}};
  follower.next_request(start);
  follower.on_page(list_page{.end = 3}, start);
  follower.next_request(start);
  follower.restart();
  EXPECT_FALSE(follower.on_page(
      tail_page{.records = {{.key = "a", .value = "1"}}, .next = 4, .end = 4}, start));
  EXPECT_FALSE(follower.caught_up());
  EXPECT_EQ(list_of(follower.next_request(start)).after, "");
}

TEST(topic_follower_test, waits_longer_after_each_failure) {
  topic_follower follower{{.first_backoff = duration{50}, .longest_backoff = duration{80}}};
  follower.next_request(start);
  follower.on_failure(start);
  EXPECT_FALSE(follower.healthy_since());
  EXPECT_FALSE(follower.next_request(start + duration{49}));
  EXPECT_TRUE(follower.next_request(start + duration{50}));
  follower.on_failure(start);
  EXPECT_FALSE(follower.next_request(start + duration{79}));
  EXPECT_TRUE(follower.next_request(start + duration{80}));
}

TEST(topic_follower_test, a_listing_that_fails_may_take_longer_the_next_time) {
  topic_follower follower{{}};
  time_point now{duration{100'000}};
  const auto patience = [&] {
    now += duration{1'000};
    const auto request = follower.next_request(now);
    return std::get<list_request>(*request).patience;
  };
  const auto first = patience();
  follower.on_failure(now);
  EXPECT_EQ(patience(), first * 2);
  for (int i = 0; i < 4; ++i) {
    follower.on_failure(now);
    EXPECT_LE(patience(), duration{4'000});
  }
  follower.on_page(list_page{.records = {{.key = "a", .value = "1"}}, .more = true}, now);
  EXPECT_EQ(patience(), first);
}

}  // namespace
}  // namespace coltsfoot::jobs
