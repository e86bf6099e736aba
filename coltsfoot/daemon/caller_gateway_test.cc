#include "coltsfoot/daemon/caller_gateway.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/internal/test_support.h"

namespace coltsfoot {
namespace {

using internal::fetch;
using internal::result_box;
using internal::wait_until;

// Far longer than writing takes; only bounds a test that has failed.
constexpr duration write_limit{5'000};

// A gateway whose requests wait for the test to answer them.
class caller_gateway_test : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(gateway_.start()); }

  http_request request() const {
    return {.method = "POST",
            .url = "http://127.0.0.1:" + std::to_string(gateway_.port()) + "/q/j",
            .body = "{}"};
  }
  bool wait_for_calls(std::size_t count) {
    return wait_until([&] {
      const std::scoped_lock lock{mutex_};
      return calls_.size() == count;
    });
  }
  call_id call(std::size_t number) {
    const std::scoped_lock lock{mutex_};
    return calls_.at(number);
  }

  std::mutex mutex_;
  std::vector<call_id> calls_;
  http_client client_;
  caller_gateway gateway_{
      {}, {.status = 503, .body = "refused"}, [this](call_id call, const auto& /*request*/) {
        const std::scoped_lock lock{mutex_};
        calls_.push_back(call);
      }};
};

TEST_F(caller_gateway_test, passes_on_the_answer_of_each_call) {
  result_box<http_result> box;
  client_.send(request(), box.callback());
  ASSERT_TRUE(wait_for_calls(1));
  gateway_.answer(call(0), {.status = 200, .body = "first"});
  gateway_.answer(call(0), {.status = 500, .body = "second"});
  const auto result = box.get();
  ASSERT_TRUE(result) << result.error().detail;
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "first");
}

// Guards against connections that are closed without an answer when the node has ended.
TEST_F(caller_gateway_test, closing_refuses_requests_that_the_node_has_not_answered) {
  constexpr std::size_t count = 20;
  std::vector<result_box<http_result>> boxes(count);
  for (auto& box : boxes) client_.send(request(), box.callback());
  ASSERT_TRUE(wait_for_calls(count));
  EXPECT_EQ(gateway_.close(write_limit), 0U);
  for (auto& box : boxes) {
    const auto result = box.get();
    ASSERT_TRUE(result) << result.error().detail;
    EXPECT_EQ(result->status, 503);
    EXPECT_EQ(result->body, "refused");
  }
}

// Guards against responses that are made before the end and never leave the process.
TEST_F(caller_gateway_test, closing_waits_until_large_responses_are_written) {
  const std::string large(std::size_t{8} * 1024 * 1024, 'x');
  result_box<http_result> box;
  client_.send(request(), box.callback());
  ASSERT_TRUE(wait_for_calls(1));
  gateway_.answer(call(0), {.status = 200, .body = large});
  EXPECT_EQ(gateway_.close(write_limit), 0U);
  const auto result = box.get();
  ASSERT_TRUE(result) << result.error().detail;
  EXPECT_EQ(result->body.size(), large.size());
}

// Guards against a caller that does not read keeping the process from ending, and against requests
// that are lost meanwhile.
TEST_F(caller_gateway_test, closing_refuses_new_requests_while_it_waits_for_a_slow_reader) {
  asio::io_context io;
  asio::ip::tcp::socket slow{io};
  slow.connect({asio::ip::make_address("127.0.0.1"), gateway_.port()});
  const std::string text = "POST /q/j HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  asio::write(slow, asio::buffer(text));
  ASSERT_TRUE(wait_for_calls(1));
  result_box<http_result> open;
  client_.send(request(), open.callback());
  ASSERT_TRUE(wait_for_calls(2));
  gateway_.answer(call(0), {.status = 200, .body = std::string(std::size_t{64} << 20U, 'x')});
  auto closing = std::async(std::launch::async, [&] { return gateway_.close(duration{2'000}); });
  const auto refused_open = open.get();
  ASSERT_TRUE(refused_open) << refused_open.error().detail;
  EXPECT_EQ(refused_open->status, 503);
  const auto refused_new = fetch(client_, request());
  ASSERT_TRUE(refused_new) << refused_new.error().detail;
  EXPECT_EQ(refused_new->status, 503);
  EXPECT_EQ(closing.get(), 1U);
}

}  // namespace
}  // namespace coltsfoot
