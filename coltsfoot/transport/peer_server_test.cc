#include "coltsfoot/transport/peer_server.h"

#include <gtest/gtest.h>

#include <mutex>
#include <tuple>

#include "coltsfoot/transport/internal/http2_connection.h"
#include "coltsfoot/transport/internal/test_support.h"
#include "coltsfoot/transport/peer_client.h"
#include "tests/support/log_pairs.h"

namespace coltsfoot {
namespace {

using internal::http2_connection;
using internal::result_box;
using internal::wait_until;

std::string address_of(const peer_server& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

// One HTTP/2 connection that sends arbitrary paths and bodies.
class raw_peer {
 public:
  explicit raw_peer(std::uint16_t port) {
    asio::ip::tcp::socket socket{context_};
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    internal::http2_handlers handlers;
    handlers.on_header = [this](std::int32_t stream, std::string_view name,
                                std::string_view value) {
      if (name == ":status") status_[stream] = std::atoi(std::string{value}.c_str());
    };
    handlers.on_closed = [this](const std::string&) { closed_ = true; };
    connection_ =
        std::make_shared<http2_connection>(std::move(socket), internal::http2_role::client,
                                           internal::http2_limits{}, std::move(handlers));
    connection_->start();
  }

  // Returns the status of the answer; 0 if the connection was closed.
  int post(const std::string& path, std::string body) {
    const auto stream = connection_->submit_request("peer", path, std::move(body));
    const auto end = std::chrono::steady_clock::now() + internal::test_bound;
    while (!status_.contains(stream) && !closed_ && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(std::chrono::milliseconds{100});
    }
    return status_[stream];
  }

 private:
  asio::io_context context_{1};
  std::unordered_map<std::int32_t, int> status_;
  bool closed_ = false;
  std::shared_ptr<http2_connection> connection_;
};

// Guards against a malformed or oversized message that ends the connection, and with it the calls
// of other streams, or goes uncounted.
TEST(peer_server_test, malformed_and_oversized_messages_are_answered_on_a_kept_connection) {
  peer_server server{{.max_body_bytes = 100'000}, [&server](call_id call, const peer_request&) {
                       server.reply(call, gossip_reply{});
                     }};
  ASSERT_TRUE(server.start());
  raw_peer peer{server.port()};
  EXPECT_EQ(peer.post("/peer", "no msgpack"), 400);
  EXPECT_EQ(peer.post("/peer", encode_msgpack(nlohmann::json::array({"no_such_message", 1}))), 400);
  EXPECT_EQ(peer.post("/peer", ""), 400);
  EXPECT_EQ(peer.post("/other", encode_msgpack(peer_request{gossip{}})), 404);
  EXPECT_EQ(peer.post("/peer", std::string(200'000, 'x')), 413);
  EXPECT_EQ(peer.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
  EXPECT_EQ(server.stats().malformed, 4U);
  EXPECT_EQ(server.stats().oversized, 1U);
  EXPECT_EQ(server.stats().connections, 1U);
}

// Guards against a message of a peer whose text forges pairs of the log line that reports it.
TEST(peer_server_test, malformed_message_is_logged_as_pairs) {
  std::mutex mutex;
  std::vector<std::string> lines;
  peer_server server{{},
                     [](call_id, const peer_request&) {},
                     [&](severity, std::string line) {
                       const std::scoped_lock lock{mutex};
                       lines.push_back(std::move(line));
                     }};
  ASSERT_TRUE(server.start());
  raw_peer peer{server.port()};
  const std::string forged = "x\" status=200 owner=n9 y=\"";
  EXPECT_EQ(peer.post("/peer", encode_msgpack(nlohmann::json::array({forged, 1}))), 400);
  server.stop();
  ASSERT_FALSE(lines.empty());
  const auto pairs = testing::parse_log_pairs(lines[0]);
  ASSERT_TRUE(pairs) << lines[0];
  EXPECT_EQ(pairs->at("event"), "peer_request_malformed");
  EXPECT_EQ(pairs->at("status"), "400");
  EXPECT_FALSE(pairs->contains("owner")) << lines[0];
}

// Guards against bytes that are not HTTP/2 and take the server down.
TEST(peer_server_test, garbage_closes_only_its_own_connection) {
  peer_server server{
      {}, [&server](call_id call, const peer_request&) { server.reply(call, gossip_reply{}); }};
  ASSERT_TRUE(server.start());
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  asio::write(socket, asio::buffer(std::string(10'000, '\xff')));
  asio::error_code error;
  std::array<char, 1024> rest{};
  while (!error) socket.read_some(asio::buffer(rest), error);
  raw_peer peer{server.port()};
  EXPECT_EQ(peer.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
}

// Guards against a frame larger than the announced bound that is buffered.
TEST(peer_server_test, oversized_frame_ends_the_connection) {
  peer_server server{{}, [](call_id, const peer_request&) {}};
  ASSERT_TRUE(server.start());
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  using namespace std::string_view_literals;
  const auto settings = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"sv;
  const auto huge_data_head = "\xff\xff\xff\0\0\0\0\0\1"sv;
  asio::write(socket, asio::buffer(std::string{settings} + std::string{huge_data_head}));
  asio::error_code error;
  std::array<char, 1024> rest{};
  while (!error) socket.read_some(asio::buffer(rest), error);
  EXPECT_EQ(server.in_progress(), 0U);
}

// Guards against a shutdown that cuts off calls in progress or accepts new ones.
TEST(peer_server_test, drain_finishes_streams_in_progress) {
  std::promise<call_id> arrived;
  peer_server server{{}, [&](call_id call, const peer_request&) { arrived.set_value(call); }};
  ASSERT_TRUE(server.start());
  peer_client client;
  result_box<peer_result> first;
  client.send(address_of(server), gossip{}, duration{15'000}, first.callback());
  const auto call = arrived.get_future().get();
  server.begin_drain();
  // The connection is refused once the acceptor is closed.
  ASSERT_TRUE(wait_until([&] {
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    asio::error_code error;
    std::ignore = socket.connect({asio::ip::make_address("127.0.0.1"), server.port()}, error);
    return static_cast<bool>(error);
  }));
  result_box<peer_result> second;
  client.send(address_of(server), gossip{}, duration{15'000}, second.callback());
  EXPECT_EQ(second.get().error(), peer_failure::not_processed);
  EXPECT_GE(server.in_progress(), 1U);
  server.reply(call, gossip_reply{.content = {.config_version = 7}});
  const auto result = first.get();
  ASSERT_TRUE(result);
  EXPECT_EQ(std::get<gossip_reply>(*result).content.config_version, 7U);
  EXPECT_TRUE(wait_until([&] { return server.in_progress() == 0; }));
}

// Guards against clients that hold connections, so that other nodes can't connect.
TEST(peer_server_test, a_new_connection_replaces_the_least_active_one) {
  peer_server server{{.max_connections = 2}, [&server](call_id call, const peer_request&) {
                       server.reply(call, gossip_reply{});
                     }};
  ASSERT_TRUE(server.start());
  raw_peer least_active{server.port()};
  ASSERT_EQ(least_active.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
  raw_peer active{server.port()};
  ASSERT_EQ(active.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
  raw_peer next{server.port()};
  EXPECT_EQ(next.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
  EXPECT_EQ(active.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
  EXPECT_EQ(least_active.post("/peer", encode_msgpack(peer_request{gossip{}})), 0);
  EXPECT_EQ(server.stats().rejected_connections, 1U);
}

// Guards against messages whose values take many times their bytes once they are decoded.
TEST(peer_server_test, a_message_of_too_many_values_is_malformed) {
  peer_server server{{.max_buffered_bytes = 64'000}, [&server](call_id call, const peer_request&) {
                       server.reply(call, gossip_reply{});
                     }};
  ASSERT_TRUE(server.start());
  raw_peer peer{server.port()};
  const nlohmann::json values(2'000, nullptr);
  EXPECT_EQ(peer.post("/peer", encode_msgpack(values)), 400);
  EXPECT_EQ(peer.post("/peer", encode_msgpack(peer_request{gossip{}})), 200);
}

// Guards against requests that wait for the handler without a bound on what they hold, and against
// one that is refused although it may run.
TEST(peer_server_test, requests_beyond_the_share_of_those_that_wait_are_refused) {
  std::mutex mutex;
  std::vector<call_id> calls;
  peer_server server{{.max_buffered_bytes = 100'000}, [&](call_id call, const peer_request&) {
                       const std::scoped_lock lock{mutex};
                       calls.push_back(call);
                     }};
  ASSERT_TRUE(server.start());
  peer_client client;
  const job_notice large{.key = "k", .value = std::string(30'000, 'x')};
  result_box<peer_result> first;
  result_box<peer_result> second;
  client.send(address_of(server), large, duration{15'000}, first.callback());
  ASSERT_TRUE(wait_until([&] { return server.in_progress() == 1; }));
  client.send(address_of(server), large, duration{15'000}, second.callback());
  EXPECT_EQ(second.get().error(), peer_failure::not_processed);
  {
    const std::scoped_lock lock{mutex};
    ASSERT_EQ(calls.size(), 1U);
    server.reply(calls[0], job_notice_reply{.taken = true});
  }
  EXPECT_TRUE(first.get());
}

// Guards against an idle connection that is kept for ever.
TEST(peer_server_test, idle_connection_is_closed) {
  peer_server server{{.idle_timeout = duration{20}}, [](call_id, const peer_request&) {}};
  ASSERT_TRUE(server.start());
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  asio::error_code error;
  std::array<char, 1024> rest{};
  while (!error) socket.read_some(asio::buffer(rest), error);
  EXPECT_EQ(error, asio::error::eof);
}

}  // namespace
}  // namespace coltsfoot
