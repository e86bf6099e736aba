#include "coltsfoot/transport/http_client.h"

#include <gtest/gtest.h>

#include "coltsfoot/transport/internal/test_support.h"

namespace coltsfoot {
namespace {

using internal::answer_with;
using internal::closed_address;
using internal::fetch;
using internal::read_head;
using internal::scripted_server;

http_error failure_for(const std::string& answer, http_client_options options = {}) {
  scripted_server server{answer_with(answer)};
  http_client client{options};
  const auto result =
      fetch(client, {.url = "http://" + server.address() + "/", .timeout = duration{10'000}});
  EXPECT_FALSE(result);
  EXPECT_EQ(server.connections(), 1);
  return result ? http_error{.kind = http_failure::not_sent} : result.error();
}

// Guards against a truncated answer that is passed on as complete.
TEST(http_client_test, incomplete_answers_are_unknown) {
  for (const std::string answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length", "HTTP/1.1 200 OK\r\nCont", ""}) {
    EXPECT_EQ(failure_for(answer).kind, http_failure::unknown) << answer;
  }
}

// Guards against an answer that exhausts the memory.
TEST(http_client_test, oversized_answer_fails) {
  const auto failure = failure_for("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
                                   {.max_answer_bytes = 9});
  EXPECT_EQ(failure.kind, http_failure::unknown);
}

// Guards against a request that was never sent and is reported as unknown.
TEST(http_client_test, refused_connection_is_not_sent) {
  http_client client;
  const auto result = fetch(client, {.url = "http://" + closed_address() + "/"});
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().kind, http_failure::not_sent);
}

// Guards against a time-out after sending that is reported as not sent.
TEST(http_client_test, silent_server_times_out_as_unknown) {
  std::promise<void> done;
  scripted_server server{[&done](asio::ip::tcp::socket&) { done.get_future().wait(); }};
  http_client client;
  const auto result =
      fetch(client, {.url = "http://" + server.address() + "/", .timeout = duration{100}});
  done.set_value();
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().kind, http_failure::unknown);
}

// Guards against libcurl's own repetition: a request on a kept-alive connection that the server
// closes may have been run, so it must not be sent again.
TEST(http_client_test, request_on_a_closing_connection_is_not_repeated) {
  std::atomic<int> requests{0};
  scripted_server server{[&requests](asio::ip::tcp::socket& socket) {
    for (int i = 0; i < 2 && !read_head(socket).empty(); ++i) {
      ++requests;
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      asio::error_code ignored;
      if (i == 0) asio::write(socket, asio::buffer(answer), ignored);
    }
  }};
  http_client client;
  const http_request request{.method = "POST", .url = "http://" + server.address() + "/"};
  ASSERT_TRUE(fetch(client, request));
  const auto second = fetch(client, request);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().kind, http_failure::unknown);
  EXPECT_EQ(requests, 2);
}

// Guards against header injection through forwarded values.
TEST(http_client_test, line_break_in_a_header_is_refused) {
  http_client client;
  const auto result = fetch(client, {.url = "http://" + closed_address() + "/",
                                     .headers = {{.name = "a", .value = "b\r\nc: d"}}});
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().detail, "invalid header: a");
}

// Guards against a redirect that sends a request to a second server.
TEST(http_client_test, redirect_is_an_answer) {
  scripted_server server{answer_with(
      "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n")};
  http_client client;
  const auto result = fetch(client, {.url = "http://" + server.address() + "/"});
  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, 302);
}

// Sends the head of an answer of `parts` bytes, and then one byte in each `gap`.
scripted_server::script dribble(int parts, duration gap) {
  return [parts, gap](asio::ip::tcp::socket& socket) {
    internal::read_head(socket);
    asio::error_code error;
    const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts) + "\r\n\r\n";
    asio::write(socket, asio::buffer(head), error);
    for (int i = 0; i < parts && !error; ++i) {
      std::this_thread::sleep_for(gap);
      asio::write(socket, asio::buffer("x", 1), error);
    }
  };
}

// A page that takes longer than an answer that is lost would be read from its start for ever.
TEST(http_client_test, an_answer_that_makes_progress_outlasts_the_stall_timeout) {
  internal::scripted_server server{dribble(25, duration{100})};
  http_client client{{}};
  const auto result = fetch(client, {.url = "http://" + server.address() + "/",
                                     .timeout = duration{20'000},
                                     .stall_timeout = duration{1'500}});
  ASSERT_TRUE(result) << result.error().detail;
  EXPECT_EQ(result->body, std::string(25, 'x'));
}

TEST(http_client_test, an_answer_that_stops_ends_at_the_stall_timeout) {
  internal::scripted_server server{dribble(2, duration{1'500})};
  http_client client{{}};
  const auto begun = std::chrono::steady_clock::now();
  const auto result = fetch(client, {.url = "http://" + server.address() + "/",
                                     .timeout = duration{60'000},
                                     .stall_timeout = duration{300}});
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().kind, http_failure::unknown);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, duration{10'000});
}

}  // namespace
}  // namespace coltsfoot
