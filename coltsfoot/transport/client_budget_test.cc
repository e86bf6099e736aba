#include "coltsfoot/transport/client_budget.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <list>
#include <string>
#include <vector>

namespace coltsfoot {
namespace {

constexpr std::size_t body = 100'000;
constexpr std::chrono::steady_clock::time_point start{};

// A connection of a client, seen from both sides.
class connection {
 public:
  explicit connection(const std::shared_ptr<client_budget>& budget,
                      const std::string& source = {}) {
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets_), 0);
    account_ = client_account::open(budget, sockets_[0], source);
  }
  ~connection() {
    if (account_) account_->detach();
    for (const int handle : sockets_) ::close(handle);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  client_account& account() { return *account_; }
  bool refused() const { return account_ == nullptr; }
  std::string received() const {
    char buffer[1024];
    const auto count = recv(sockets_[1], buffer, sizeof(buffer), MSG_DONTWAIT);
    return count > 0 ? std::string(buffer, static_cast<std::size_t>(count)) : "";
  }

 private:
  int sockets_[2] = {-1, -1};
  std::shared_ptr<client_account> account_;
};

std::shared_ptr<client_budget> budget_for(std::size_t bodies, std::size_t connections) {
  return std::make_shared<client_budget>(client_limits{
      .bytes = bodies * body + connections * client_connection_bytes, .connections = connections});
}

// Guards against closing a request that is not the oldest, or one that is complete, and against a
// request that runs although its client was told that it has not.
TEST(client_budget_test, closes_the_oldest_incomplete_request) {
  const auto budget = budget_for(3, 10);
  connection complete{budget};
  connection oldest{budget};
  connection newest{budget};
  complete.account().receive(body, start);
  ASSERT_EQ(complete.account().begin_handling(body), begin_verdict::accepted);
  oldest.account().receive(1, start);
  newest.account().receive(2 * body, start);
  oldest.account().receive(2 * body, start);  // the last to grow, but the first to begin
  EXPECT_FALSE(complete.account().closed());
  EXPECT_TRUE(oldest.account().closed());
  EXPECT_FALSE(newest.account().closed());
  EXPECT_EQ(oldest.account().begin_handling(2 * body), begin_verdict::closed);
  const auto answer = oldest.received();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_NE(answer.find("\r\n\r\nnot run"), std::string::npos);
  EXPECT_EQ(newest.received(), "");
}

// Guards against responses that hold memory without limit, and against bytes of an answer that are
// followed by those of another.
TEST(client_budget_test, closes_the_oldest_unread_response_without_a_word) {
  const auto budget = budget_for(3, 10);
  connection unread{budget};
  connection receives{budget};
  ASSERT_EQ(unread.account().begin_handling(1), begin_verdict::accepted);
  unread.account().begin_sending(1, 2 * body);
  receives.account().receive(2 * body, start);
  EXPECT_TRUE(unread.account().closed());
  EXPECT_EQ(unread.received(), "");
  EXPECT_FALSE(receives.account().closed());
}

// Guards against a connection that can't be made while others are of no use.
TEST(client_budget_test, new_connections_replace_idle_ones) {
  const auto budget = budget_for(10, 2);
  connection works{budget};
  connection idle{budget};
  ASSERT_EQ(works.account().begin_handling(1), begin_verdict::accepted);
  connection next{budget};
  EXPECT_FALSE(next.refused());
  EXPECT_TRUE(idle.account().closed());
  ASSERT_EQ(next.account().begin_handling(1), begin_verdict::accepted);
  const connection refused{budget};
  EXPECT_TRUE(refused.refused());
  EXPECT_TRUE(refused.received().starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(budget->stats().connections, 2U);
  EXPECT_EQ(budget->stats().closed, (std::array<std::uint64_t, client_close_causes>{0, 0, 1, 1}));
}

// Guards against complete requests that wait without a bound on what they hold together, and
// against a bound that refuses the only one.
TEST(client_budget_test, refuses_complete_requests_beyond_their_share) {
  const auto budget = budget_for(4, 10);
  connection only{budget};
  connection next{budget};
  connection later{budget};
  ASSERT_EQ(only.account().begin_handling(3 * body), begin_verdict::accepted);
  EXPECT_EQ(next.account().begin_handling(body), begin_verdict::refused);
  EXPECT_EQ(budget->stats().waiting_bytes, 3 * body);
  only.account().begin_sending(3 * body, 1);
  EXPECT_EQ(budget->stats().waiting_bytes, 0U);
  EXPECT_EQ(later.account().begin_handling(body), begin_verdict::accepted);
  EXPECT_FALSE(next.account().closed());
  EXPECT_EQ(budget->stats().closed[static_cast<std::size_t>(client_close_cause::memory_waiting)],
            1U);
}

// Guards against requests that are counted as their bodies although their decoded form is larger.
TEST(client_budget_test, requests_that_grow_while_they_are_handled_are_counted) {
  const auto budget = budget_for(4, 10);
  connection first{budget};
  connection second{budget};
  ASSERT_EQ(first.account().begin_handling(1'000), begin_verdict::accepted);
  EXPECT_TRUE(first.account().hold_more(2 * body));
  ASSERT_EQ(second.account().begin_handling(1'000), begin_verdict::accepted);
  EXPECT_FALSE(second.account().hold_more(body));
  EXPECT_EQ(budget->stats().waiting_bytes, 2 * body + 2'000);
}

// Guards against small requests that are closed for the memory that large ones hold.
TEST(client_budget_test, requests_below_an_equal_part_of_the_memory_are_kept) {
  const auto budget = budget_for(3, 10);
  connection small{budget};
  connection large{budget};
  connection larger{budget};
  small.account().receive(1'000, start);
  large.account().receive(2 * body, start);
  larger.account().receive(2 * body, start);
  EXPECT_FALSE(small.account().closed());
  EXPECT_TRUE(large.account().closed());
}

// Guards against a slow request that is closed again and again for clients that come back faster
// than it can end, and against slow requests that leave no connection to others.
TEST(client_budget_test, new_connections_replace_others_than_those_that_make_progress) {
  const auto budget = budget_for(10, 4);
  connection slow{budget};
  slow.account().receive(1, start);
  slow.account().receive(2, start + client_progress_interval);
  std::list<connection> crowd;
  for (int n = 0; n < 20; ++n) {
    crowd.emplace_back(budget).account().receive(1, start + client_progress_interval);
    crowd.remove_if([](auto& member) { return member.account().closed(); });
  }
  EXPECT_FALSE(slow.account().closed());
  for (auto& member : crowd) {
    member.account().receive(2, start + 2 * client_progress_interval);
  }
  const connection next{budget};
  EXPECT_FALSE(next.refused());
  EXPECT_TRUE(slow.account().closed());
  EXPECT_TRUE(slow.received().starts_with("HTTP/1.1 503 "));
}

// Guards against a client with one connection that pays for one with many, and against many clients
// with one connection each that are never closed.
TEST(client_budget_test, the_only_connections_of_a_few_sources_are_spared) {
  const auto budget = budget_for(10, 8);
  connection lone{budget, "10.0.0.1"};
  std::list<connection> crowd;
  const auto add = [&](const std::string& source) {
    crowd.emplace_back(budget, source);
    crowd.remove_if([](auto& member) { return member.account().closed(); });
  };
  for (int n = 0; n < 20; ++n) add("10.0.0.2");
  EXPECT_FALSE(lone.account().closed());
  add("10.0.0.3");
  EXPECT_FALSE(lone.account().closed());
  add("10.0.0.4");
  add("10.0.0.5");
  EXPECT_TRUE(lone.account().closed());
  EXPECT_EQ(budget->stats().connections, 8U);
}

// Guards against use that stays counted once it has ended, and against a reload without effect.
TEST(client_budget_test, counts_what_is_held_and_enforces_new_limits) {
  const auto budget = budget_for(10, 10);
  {
    connection first{budget};
    connection second{budget};
    first.account().receive(2 * body, start);
    ASSERT_EQ(second.account().begin_handling(body), begin_verdict::accepted);
    second.account().begin_sending(body, 3 * body);
    second.account().end_sending(3 * body);
    EXPECT_EQ(budget->stats().bytes, 2 * body + 2 * client_connection_bytes);
    budget->set_limits({.bytes = body, .connections = 1});
    EXPECT_TRUE(first.account().closed());
    EXPECT_FALSE(second.account().closed());
    EXPECT_EQ(budget->stats().connections, 1U);
  }
  EXPECT_EQ(budget->stats().bytes, 0U);
  EXPECT_EQ(budget->stats().connections, 0U);
}

}  // namespace
}  // namespace coltsfoot
