#include "coltsfoot/transport/internal/rest_listener.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <asio.hpp>
#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace coltsfoot::internal {
namespace {

asio::ip::tcp::socket connect_to(asio::io_context& io, std::uint16_t port) {
  asio::ip::tcp::socket socket{io};
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  return socket;
}

void send_request(asio::ip::tcp::socket& socket) {
  asio::write(socket, asio::buffer(std::string{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"}));
}

// Guards against a responder that refers to a connection of a server that is gone.
TEST(rest_listener_test, a_responder_may_be_used_and_destroyed_after_its_listener) {
  asio::io_context io;
  std::promise<rest_responder> received;
  auto listener = std::make_unique<rest_listener>(
      rest_listener_options{},
      [&](const rest_request&, const rest_responder& respond) { received.set_value(respond); });
  ASSERT_TRUE(listener->start());
  auto socket = connect_to(io, listener->port());
  send_request(socket);
  auto respond = received.get_future().get();
  listener.reset();
  respond({.status = 200, .body = "late"});
  respond = nullptr;
}

TEST(rest_listener_test, only_the_first_answer_to_a_request_counts) {
  asio::io_context io;
  rest_listener listener{{}, [](const rest_request&, const rest_responder& respond) {
                           respond({.status = 200, .body = "first", .close = true});
                           respond({.status = 200, .body = "second", .close = true});
                         }};
  ASSERT_TRUE(listener.start());
  auto socket = connect_to(io, listener.port());
  send_request(socket);
  std::string text;
  asio::error_code end;
  asio::read(socket, asio::dynamic_buffer(text), end);
  EXPECT_TRUE(text.ends_with("first")) << text;
  EXPECT_EQ(listener.stats().sent_body_bytes, 5U);
}

// Guards against an incomplete request that takes more than the budget, and against one that runs
// although its client was told that it has not.
TEST(rest_listener_test, an_incomplete_request_over_the_budget_is_not_run) {
  asio::io_context io;
  std::atomic<int> handled{0};
  const auto budget = std::make_shared<client_budget>(client_limits{.bytes = 65'536});
  rest_listener listener{{.clients = budget},
                         [&](const rest_request&, const rest_responder&) { ++handled; }};
  ASSERT_TRUE(listener.start());
  auto socket = connect_to(io, listener.port());
  asio::write(socket, asio::buffer(std::string{
                          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\nbody"}));
  std::string text;
  asio::error_code end;
  asio::read(socket, asio::dynamic_buffer(text), end);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 503 ")) << text;
  EXPECT_TRUE(text.find("\r\n\r\nnot run") != std::string::npos) << text;
  EXPECT_EQ(handled, 0);
  EXPECT_EQ(budget->stats().closed[0], 1U);
}

// Guards against complete requests that wait without a bound, and against a refused one that runs.
TEST(rest_listener_test, a_complete_request_over_the_budget_is_refused) {
  asio::io_context io;
  std::atomic<int> handled{0};
  std::promise<rest_responder> received;
  const auto budget = std::make_shared<client_budget>(client_limits{.bytes = 200'000});
  rest_listener listener{{.clients = budget},
                         [&](const rest_request&, const rest_responder& respond) {
                           if (++handled == 1) received.set_value(respond);
                         }};
  ASSERT_TRUE(listener.start());
  const auto request =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x');
  auto first = connect_to(io, listener.port());
  asio::write(first, asio::buffer(request));
  auto respond = received.get_future().get();
  auto second = connect_to(io, listener.port());
  asio::write(second, asio::buffer(request));
  std::string text;
  asio::error_code end;
  asio::read(second, asio::dynamic_buffer(text), end);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 503 ")) << text;
  EXPECT_NE(text.find("Retry-After: 1"), std::string::npos) << text;
  EXPECT_NE(text.find("\r\n\r\nnot run"), std::string::npos) << text;
  EXPECT_EQ(handled, 1);
  respond({.status = 200, .close = true});
  text.clear();
  asio::read(first, asio::dynamic_buffer(text), end);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200 ")) << text;
}

// Guards against idle connections that shut out new ones before the limit of the budget, which
// would replace them.
TEST(rest_listener_test, connections_are_limited_by_the_budget) {
  asio::io_context io;
  const auto budget = std::make_shared<client_budget>(client_limits{.connections = 8});
  rest_listener listener{{.max_connections = 1, .clients = budget},
                         [](const rest_request&, const rest_responder& respond) {
                           respond({.status = 200, .close = true});
                         }};
  ASSERT_TRUE(listener.start());
  const auto idle = connect_to(io, listener.port());
  auto next = connect_to(io, listener.port());
  send_request(next);
  std::string text;
  asio::error_code end;
  asio::read(next, asio::dynamic_buffer(text), end);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200 ")) << text;
}

// The descriptors that this process may open; the former limit is back when it is destroyed.
class descriptor_limit {
 public:
  explicit descriptor_limit(rlim_t count) {
    getrlimit(RLIMIT_NOFILE, &former_);
    rlimit limit = former_;
    limit.rlim_cur = count;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &former_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit former_{};
};

// Guards against a listener that accepts nothing any more once an accept has failed.
TEST(rest_listener_test, connections_are_accepted_after_an_accept_has_failed) {
  asio::io_context io;
  const auto budget = std::make_shared<client_budget>();
  rest_listener listener{{.clients = budget},
                         [](const rest_request&, const rest_responder& respond) {
                           respond({.status = 200, .close = true});
                         }};
  ASSERT_TRUE(listener.start());
  asio::ip::tcp::socket client{io, asio::ip::tcp::v4()};
  {
    const descriptor_limit none_left{static_cast<rlim_t>(client.native_handle()) + 1};
    client.connect({asio::ip::make_address("127.0.0.1"), listener.port()});
    while (budget->stats().failed_accepts == 0) std::this_thread::yield();
  }
  send_request(client);
  std::string text;
  asio::error_code end;
  asio::read(client, asio::dynamic_buffer(text), end);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200 ")) << text;
}

// Sends most of a body, or all of it, and goes without reading.
void connect_and_go(std::uint16_t port, bool whole) {
  asio::io_context io;
  auto socket = connect_to(io, port);
  std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int n = 0; n < 60; ++n) text += "400\r\n" + std::string(0x400, 'x') + "\r\n";
  if (whole) text += "0\r\n\r\n";
  asio::error_code closed;
  asio::write(socket, asio::buffer(text), closed);
}

// Guards against a connection that another thread closes while its own thread uses it, and against
// use that is still counted when all connections have gone.
TEST(rest_listener_test, a_crowd_over_the_budget_leaves_nothing_behind) {
  const auto budget =
      std::make_shared<client_budget>(client_limits{.bytes = 400'000, .connections = 12});
  auto listener = std::make_unique<rest_listener>(
      rest_listener_options{.threads = 4, .clients = budget},
      [](const rest_request& request, const rest_responder& respond) {
        respond({.status = 200, .body = request.body});
      });
  ASSERT_TRUE(listener->start());
  constexpr int clients = 16;
  std::vector<std::thread> crowd;
  crowd.reserve(clients);
  for (int client = 0; client < clients; ++client) {
    crowd.emplace_back([port = listener->port()] {
      for (int n = 0; n < 30; ++n) connect_and_go(port, n % 3 == 0);
    });
  }
  for (auto& client : crowd) client.join();
  asio::io_context io;
  auto socket = connect_to(io, listener->port());
  send_request(socket);
  std::string text;
  asio::read_until(socket, asio::dynamic_buffer(text), "\r\n");
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200 ")) << text;
  listener.reset();
  EXPECT_EQ(budget->stats().bytes, 0U);
  EXPECT_EQ(budget->stats().connections, 0U);
}

}  // namespace
}  // namespace coltsfoot::internal
