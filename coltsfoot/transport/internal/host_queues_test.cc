#include "coltsfoot/transport/internal/host_queues.h"

#include <gtest/gtest.h>

namespace coltsfoot::internal {
namespace {

using queues = host_queues<int>;
using time_point = queues::clock::time_point;

constexpr std::chrono::milliseconds patience{400};
const time_point start{std::chrono::seconds{100}};

std::unique_ptr<int> request(int number) {
  return std::make_unique<int>(number);
}

TEST(host_queues_test, requests_above_the_limit_wait_in_their_order) {
  queues q{2};
  EXPECT_NE(q.admit("a", request(1), start), nullptr);
  EXPECT_NE(q.admit("a", request(2), start), nullptr);
  EXPECT_EQ(q.admit("a", request(3), start), nullptr);
  EXPECT_EQ(q.admit("a", request(4), start), nullptr);
  EXPECT_EQ(*q.release("a"), 3);
  EXPECT_EQ(*q.release("a"), 4);
  EXPECT_EQ(q.release("a"), nullptr);
  EXPECT_EQ(q.waiting(), 0U);
}

TEST(host_queues_test, a_full_host_does_not_hold_up_another) {
  queues q{1};
  EXPECT_NE(q.admit("a", request(1), start), nullptr);
  EXPECT_EQ(q.admit("a", request(2), start), nullptr);
  EXPECT_NE(q.admit("b", request(3), start), nullptr);
}

TEST(host_queues_test, a_waiting_request_is_given_up_at_its_deadline) {
  queues q{1};
  EXPECT_NE(q.admit("a", request(1), start), nullptr);
  EXPECT_EQ(q.admit("a", request(2), start + patience), nullptr);
  EXPECT_EQ(q.admit("a", request(3), start + 2 * patience), nullptr);
  EXPECT_TRUE(q.take_expired(start).empty());
  const auto expired = q.take_expired(start + patience);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(*expired.front(), 2);
  EXPECT_EQ(*q.release("a"), 3);
}

TEST(host_queues_test, a_host_without_open_requests_admits_again) {
  queues q{1};
  EXPECT_NE(q.admit("a", request(1), start), nullptr);
  EXPECT_EQ(q.release("a"), nullptr);
  EXPECT_NE(q.admit("a", request(2), start), nullptr);
}

}  // namespace
}  // namespace coltsfoot::internal
