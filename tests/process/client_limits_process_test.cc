// Clients outside our control against the real programs: they must not take the memory or the
// descriptors that ordinary callers need. No time is checked, nor how many requests are served.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include "tests/process/support/child_process.h"
#include "tests/process/support/client_crowd.h"
#include "tests/process/support/raw_connection.h"
#include "tests/support/project_paths.h"

namespace coltsfoot::testing {
namespace {

// The settings of the program, and what its use may grow by. Memory: the limit of 8 MiB, as much
// again for buffers that grow and for what the allocator keeps, and 16 MiB for the rest of the
// process. Descriptors: connections that are just being closed count beside the limit.
constexpr int client_memory_mb = 8;
constexpr int client_connections = 40;
constexpr std::int64_t most_memory_growth_kb = std::int64_t{32} * 1024;
constexpr std::int64_t most_descriptor_growth = client_connections + 24;

constexpr std::chrono::seconds answer_limit{120};

// Lets the program read what was sent before its use is measured. Too short a time can only make a
// test pass that should fail.
constexpr std::chrono::seconds reading_time{1};

// One of the programs, started with low limits.
class limited_program {
 public:
  explicit limited_program(const std::string& name) : name_(name) {
    const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
    std::string test_name = test->name();
    std::replace(test_name.begin(), test_name.end(), '/', '-');
    const auto folder = fmt::format("{}/process-tests/client_limits/{}", program_dir(), test_name);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    settings_file_ = folder + "/settings.yaml";
    write_settings(client_connections);
    process_.emplace(program_path(name), std::vector<std::string>{"--config", settings_file_},
                     folder, name);
  }

  void write_settings(int connections) const {
    std::ofstream{settings_file_} << settings(connections);
  }

  std::uint16_t port() const { return callers_.number(); }
  // A page that is larger than an answer to a caller.
  std::uint16_t metrics_port() const { return metrics_.number(); }
  child_process& process() { return *process_; }

  std::string head(std::string_view headers) const {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: test\r\ncoltsfoot-customer: acme\r\n"
        "coltsfoot-request-id: r1\r\n{}",
        is_fleet() ? "/jobs" : "/v1/services/pacecast/work", headers);
  }

  bool answers_an_ordinary_request() const {
    const auto request = head("Connection: close\r\nContent-Length: 2\r\n\r\n{}");
    return wait_until([&] { return exchange_bytes(port(), request).starts_with("HTTP/1.1 "); },
                      answer_limit);
  }

 private:
  bool is_fleet() const { return name_ == "coltsfoot_fleetd"; }

  // Nothing listens at the addresses of the store, the log and the host list.
  std::string settings(int connections) const {
    const auto at = [](const reserved_port& port) {
      return fmt::format("\"127.0.0.1:{}\"\n", port.number());
    };
    const auto limits = fmt::format("client_memory_mb: {}\nclient_connections: {}\n",
                                    client_memory_mb, connections);
    const auto common = "node: n1\nzone: z1\ncaller_address: " + at(callers_) +
                        "peer_address: " + at(peers_) + limits;
    if (is_fleet()) {
      return common + "readiness_address: " + at(readiness_) + "metrics_address: " + at(metrics_) +
             "store_address: " + at(nothing_);
    }
    return common + "operator_address: " + at(metrics_) +
           fmt::format(
               "max_body_bytes: 524288\nlog_url: \"http://127.0.0.1:{0}\"\n"
               "hosts_url: \"http://127.0.0.1:{0}\"\ncharts_directory: \"{1}\"\n",
               nothing_.number(), charts_dir());
  }

  std::string name_;
  std::string settings_file_;
  reserved_port callers_;
  reserved_port peers_;
  reserved_port readiness_;
  reserved_port metrics_;
  reserved_port nothing_;
  std::optional<child_process> process_;
};

std::string chunks(std::size_t count, std::size_t size) {
  const auto chunk = fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
  std::string text;
  text.reserve(count * chunk.size());
  for (std::size_t n = 0; n < count; ++n) text += chunk;
  return text;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

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

  limited_program program_{GetParam()};
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
    crowd.send_each(last_chunk, sampler());
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
  limited_program program{"coltsfoot_fleetd"};
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
