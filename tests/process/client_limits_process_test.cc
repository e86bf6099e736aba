// Clients outside our control against the real programs: they must not take the memory or the
// descriptors that ordinary callers need. No time is checked, nor how many requests are served.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "tests/process/support/client_crowd.h"
#include "tests/process/support/limited_program.h"
#include "tests/process/support/raw_connection.h"

namespace coltsfoot::testing {
namespace {

// The settings of the program, and what its use may grow by. Memory: the limit of 8 MiB, as much
// again for buffers that grow and for what the allocator keeps, and 16 MiB for the rest of the
// process. Descriptors: connections that are just being closed count beside the limit.
constexpr int client_connections = 40;
constexpr std::int64_t most_memory_growth_kb = std::int64_t{32} * 1024;
constexpr std::int64_t most_descriptor_growth = client_connections + 24;

// Lets the program read what was sent before its use is measured. Too short a time can only make a
// test pass that should fail.
constexpr std::chrono::seconds reading_time{1};

class client_limits_process_test : public ::testing::TestWithParam<std::string> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(program_.answers_an_ordinary_request()) << program_.process().output();
    watch_.emplace(program_.process().pid());
  }

  // While the crowd is still connected, and again when it has gone, which is after `SetUp`.
  void expect_in_service(const std::string& when) {
    std::this_thread::sleep_for(reading_time);
    EXPECT_TRUE(program_.answers_an_ordinary_request()) << when;
    EXPECT_TRUE(program_.process().running()) << when;
    watch_->sample();
    const auto memory = watch_->memory_growth_kb();
    const auto descriptors = watch_->descriptor_growth();
    fmt::print("{}: memory +{} kB, descriptors +{}\n", when, memory, descriptors);
    EXPECT_LE(memory, most_memory_growth_kb) << when;
    EXPECT_LE(descriptors, most_descriptor_growth) << when;
  }

  std::function<void()> sampler() {
    return [this] { watch_->sample(); };
  }

  limited_program program_{{.name = GetParam()}};
  std::optional<process_watch> watch_;
};

// Guards against an entry for each chunk that costs many times the bytes of the chunk.
TEST_P(client_limits_process_test, small_chunks) {
  {
    const client_crowd crowd{program_.port(), 60};
    crowd.send_each(program_.head(chunked) + chunks(200'000, 1), sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against bodies that are each within the limit and together exceed the memory.
TEST_P(client_limits_process_test, large_chunks) {
  {
    const client_crowd crowd{program_.port(), 120};
    crowd.send_each(program_.head(chunked) + chunks(10, 45'000), sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against a bound for one of the kinds only.
TEST_P(client_limits_process_test, small_and_large_chunks) {
  {
    const client_crowd large{program_.port(), 60};
    const client_crowd small{program_.port(), 30};
    large.send_each(program_.head(chunked) + chunks(10, 45'000), sampler());
    small.send_each(program_.head(chunked) + chunks(200'000, 1), sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against a bound that only acts on connections on which nothing comes.
TEST_P(client_limits_process_test, a_byte_every_few_seconds) {
  {
    const client_crowd crowd{program_.port(), 100};
    crowd.send_each(program_.head(chunked) + chunks(8, 45'000), sampler());
    for (int round = 0; round < 3; ++round) {
      std::this_thread::sleep_for(std::chrono::seconds{2});
      crowd.send_each(chunks(1, 1), sampler());
    }
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against bodies that are within the bound only because they never end.
TEST_P(client_limits_process_test, bodies_that_end_at_last) {
  {
    const client_crowd crowd{program_.port(), 100};
    crowd.send_each(program_.head(chunked) + chunks(10, 45'000), sampler());
    crowd.send_each(chunks(1, 1'000), sampler());
    crowd.send_each(std::string{last_chunk}, sampler());
    fmt::print("answered: {}\n", crowd.count_answered());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against header fields that are held without a bound for all connections together.
TEST_P(client_limits_process_test, header_lines_without_end) {
  std::string lines;
  for (int n = 0; n < 120; ++n) lines += fmt::format("x-{}: {}\r\n", n, std::string(500, 'x'));
  {
    const client_crowd crowd{program_.port(), 120};
    crowd.send_each(program_.head(lines), sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against connections that take the descriptors of the store, workers and peers.
TEST_P(client_limits_process_test, connections_opened_and_closed_at_once) {
  for (int round = 0; round < 5; ++round) {
    const client_crowd crowd{program_.port(), 140};
    crowd.send_each("P", sampler());
    expect_in_service(fmt::format("round {}", round));
  }
  expect_in_service("gone");
}

// Guards against responses that are held for clients that read none.
TEST_P(client_limits_process_test, answers_that_are_never_read) {
  std::string requests;
  for (int n = 0; n < 2'000; ++n) requests += "GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n";
  {
    const client_crowd crowd{program_.metrics_port(), 100};
    crowd.send_each(requests, sampler());
    expect_in_service("connected");
  }
  expect_in_service("gone");
}

// Guards against a reload that takes an invalid limit, or has no effect on the limits.
TEST(client_limits_reload_process_test, only_valid_limits_come_into_force) {
  limited_program program{{.name = "coltsfoot_fleetd"}};
  const auto limit_is = [&](int connections) {
    const auto page =
        exchange_bytes(program.metrics_port(), "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    return page.find(fmt::format("client_connections_limit {}\n", connections)) !=
           std::string::npos;
  };
  EXPECT_TRUE(wait_until([&] { return limit_is(client_connections); }))
      << program.process().output();
  // More than half of the memory for clients would be taken by the connections alone.
  program.write_settings(1'000);
  program.process().signal(SIGHUP);
  const auto rejected = [&] {
    return program.process().output().find(
               "event=settings_rejected detail=\"client_connections: ") != std::string::npos;
  };
  EXPECT_TRUE(wait_until(rejected)) << program.process().output();
  EXPECT_TRUE(limit_is(client_connections));
  program.write_settings(32);
  program.process().signal(SIGHUP);
  EXPECT_TRUE(wait_until([&] { return limit_is(32); })) << program.process().output();
}

INSTANTIATE_TEST_SUITE_P(programs, client_limits_process_test,
                         ::testing::Values("coltsfoot_fleetd", "coltsfootd"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace coltsfoot::testing
