#include "coltsfoot/transport/internal/rest_listener.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <future>

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

}  // namespace
}  // namespace coltsfoot::internal
