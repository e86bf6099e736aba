// Crowds of clients that get round a limit on incomplete requests and on connections: they use
// another port, send more than is read, end connections while they are accepted, or come back as
// often as they are closed. No time is checked, nor how many requests are served.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "tests/process/support/client_crowd.h"
#include "tests/process/support/limited_program.h"
#include "tests/process/support/peer_frames.h"

namespace coltsfoot::testing {
namespace {

// What the use of the program may grow by, from its settings. Memory: 8 MiB for clients or for
// other nodes, which is an eighth of the memory; as much again for buffers that grow and for what
// the allocator keeps; 16 MiB for the rest of the process. What the kernel has received for the
// process counts with it. Descriptors: connections that are just being closed count beside the
// limit.
constexpr int client_connections = 40;
constexpr std::int64_t most_memory_growth_kb = std::int64_t{32} * 1024;
constexpr std::int64_t most_descriptor_growth = client_connections + 24;
constexpr auto machine = "memory_mb: 64\nfile_descriptors: 160\n";

// Lets the program read what was sent before its use is measured. Too short a time can only make a
// test pass that should fail.
constexpr std::chrono::seconds reading_time{1};

class client_crowds_process_test : public ::testing::TestWithParam<std::string> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(program_.answers_an_ordinary_request()) << program_.process().output();
    watch_.emplace(program_.process().pid(),
                   std::vector{program_.port(), program_.peer_port(), program_.metrics_port()});
  }

  void expect_in_service(const std::string& when) {
    std::this_thread::sleep_for(reading_time);
    watch_->sample();
    EXPECT_TRUE(program_.answers_an_ordinary_request()) << when;
    EXPECT_TRUE(program_.process().running()) << when << "\n" << program_.process().output();
    watch_->sample();
    const auto memory = watch_->memory_growth_kb();
    const auto unread = watch_->most_unread_kb();
    const auto descriptors = watch_->descriptor_growth();
    fmt::print("{}: memory +{} kB, unread {} kB, descriptors +{}\n", when, memory, unread,
               descriptors);
    EXPECT_LE(memory + unread, most_memory_growth_kb) << when;
    EXPECT_LE(descriptors, most_descriptor_growth) << when;
  }

  std::function<void()> sampler() {
    return [this] { watch_->sample(); };
  }

  limited_program program_{
      {.name = GetParam(), .client_connections = client_connections, .more_settings = machine}};
  std::optional<process_watch> watch_;
};

// Guards against a process that ends because a client is gone before its connection is looked at.
TEST_P(client_crowds_process_test, connections_that_are_reset_at_once) {
  constexpr std::size_t threads = 8;
  constexpr std::size_t connections = 10'000;  // of each thread
  for (const auto port : {program_.port(), program_.metrics_port(), program_.peer_port()}) {
    std::vector<std::thread> crowd;
    crowd.reserve(threads);
    for (std::size_t n = 0; n < threads; ++n) {
      crowd.emplace_back([port] { reset_connections(port, connections); });
    }
    for (auto& thread : crowd) thread.join();
    expect_in_service(fmt::format("port {}", port));
  }
}

// Guards against listeners that accept no connection any more after an accept has failed.
TEST_P(client_crowds_process_test, connections_while_the_process_has_no_descriptor_left) {
  {
    program_.process().limit_descriptors(static_cast<std::uint64_t>(watch_->descriptors()));
    const client_crowd callers{program_.port(), 4};
    const client_crowd operators{program_.metrics_port(), 4};
    const client_crowd peers{program_.peer_port(), 4};
    std::this_thread::sleep_for(reading_time);
    EXPECT_TRUE(program_.process().running());
  }
  program_.process().limit_descriptors(160);
  expect_in_service("descriptors are free again");
  const client_crowd page{program_.metrics_port(), 1};
  EXPECT_TRUE(wait_until([&] {
    return page.send(0, "GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n") &&
           page.read(0).starts_with("HTTP/1.1 200");
  }));
}

// Guards against bodies from the peer port that are held without regard to the machine's memory.
TEST_P(client_crowds_process_test, incomplete_bodies_at_the_peer_port) {
  constexpr std::uint32_t streams = 8;
  const std::string body(1'000'000, 'x');
  std::string bytes = http2_opening();
  for (std::uint32_t n = 0; n < streams; ++n) bytes += http2_request(2 * n + 1);
  for (std::uint32_t n = 0; n < streams; ++n) bytes += http2_data(2 * n + 1, body);
  {
    const client_crowd crowd{program_.peer_port(), 16};
    crowd.send_each(bytes, sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against complete messages whose values take many times their bytes once they are decoded.
TEST_P(client_crowds_process_test, messages_of_empty_maps_at_the_peer_port) {
  // MessagePack: a list of 999,995 (0x000f423b) empty maps.
  const auto body = std::string("\xdd\x00\x0f\x42\x3b", 5) + std::string(999'995, '\x80');
  const auto bytes = http2_opening() + http2_request(1) + http2_data(1, body) + http2_end(1);
  {
    const client_crowd crowd{program_.peer_port(), 8};
    crowd.send_each(bytes, sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against connections to the peer port that take the descriptors of everything else.
TEST_P(client_crowds_process_test, idle_connections_at_the_peer_port) {
  {
    const client_crowd crowd{program_.peer_port(), 140};
    crowd.send_each(http2_opening(), sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against a limit that, under a crowd that comes back as often as it is closed, always
// closes the connection of a caller whose request takes longer than those of the crowd.
TEST_P(client_crowds_process_test, a_slow_caller_beside_a_crowd_that_comes_back) {
  constexpr int parts = 20;
  const auto incomplete = program_.head(chunked) + chunks(10, 45'000);
  client_crowd crowd{program_.port(), 60};
  crowd.send_each(incomplete, sampler());
  const client_crowd caller{program_.port(), 1, "127.0.0.2"};
  bool sent = caller.send(0, program_.head(chunked));
  for (int n = 0; n < parts; ++n) {
    sent = sent && caller.send(0, chunks(1, 10));
    for (const auto number : crowd.come_back()) crowd.send(number, incomplete);
  }
  sent = sent && caller.send(0, std::string{last_chunk});
  EXPECT_TRUE(sent);
  const auto answer = caller.read(0);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 ")) << answer;
  EXPECT_EQ(answer.find("incomplete"), std::string::npos) << answer;
  expect_in_service("connected");
}

class paused_program_process_test : public ::testing::TestWithParam<std::string> {};

// Guards against what clients send while the process doesn't read, which waits in the kernel and
// counts as memory of the process.
TEST_P(paused_program_process_test, bytes_that_are_received_and_not_read) {
  limited_program program{
      {.name = GetParam(), .client_connections = 400, .more_settings = "memory_mb: 64\n"}};
  ASSERT_TRUE(program.answers_an_ordinary_request()) << program.process().output();
  process_watch watch{program.process().pid(), {program.port()}};
  const auto incomplete = program.head(chunked) + chunks(4, 45'000);
  {
    const client_crowd crowd{program.port(), 300};
    program.process().signal(SIGSTOP);
    crowd.send_each(incomplete, [] {});
    std::this_thread::sleep_for(reading_time);
    watch.sample();
    program.process().signal(SIGCONT);
    EXPECT_TRUE(program.answers_an_ordinary_request());
  }
  EXPECT_TRUE(program.process().running());
  fmt::print("memory +{} kB, unread {} kB\n", watch.memory_growth_kb(), watch.most_unread_kb());
  EXPECT_LE(watch.memory_growth_kb() + watch.most_unread_kb(), most_memory_growth_kb);
}

INSTANTIATE_TEST_SUITE_P(programs, paused_program_process_test,
                         ::testing::Values("coltsfoot_fleetd", "coltsfootd"),
                         [](const auto& info) { return info.param; });

INSTANTIATE_TEST_SUITE_P(programs, client_crowds_process_test,
                         ::testing::Values("coltsfoot_fleetd", "coltsfootd"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace coltsfoot::testing
