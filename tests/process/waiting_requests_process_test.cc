// Crowds of clients that complete their requests while what the requests wait for is silent: the
// store of coltsfoot_fleetd, the backend servers of coltsfootd. No time is checked, nor how many
// requests are served.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <thread>

#include "platform/job_body.h"
#include "tests/process/support/client_crowd.h"
#include "tests/process/support/limited_program.h"
#include "tests/process/support/local_cluster.h"
#include "tests/process/support/raw_connection.h"
#include "tests/soak/standin/store_server.h"
#include "tests/support/project_paths.h"

namespace coltsfoot::testing {
namespace {

// As in client_limits_process_test: the limit of 8 MiB, as much again for buffers and the
// allocator, and 16 MiB for the rest of the process.
constexpr int client_memory_mb = 8;
constexpr std::int64_t most_memory_growth_kb = std::int64_t{32} * 1024;

// All requests of the crowd may wait at once as far as the connections are concerned.
constexpr int client_connections = 400;
constexpr std::size_t crowd_size = 300;
constexpr std::int64_t most_descriptor_growth = client_connections + client_connections / 4 + 24;

constexpr std::chrono::seconds reading_time{1};

class watched_process {
 public:
  watched_process(child_process& process, std::uint16_t port)
      : process_(process), watch_(process.pid(), {port}) {}

  std::function<void()> sampler() {
    return [this] { watch_.sample(); };
  }

  void expect_within_bounds(const std::string& when) {
    std::this_thread::sleep_for(reading_time);
    EXPECT_TRUE(process_.running()) << when << "\n" << process_.output();
    watch_.sample();
    const auto memory = watch_.memory_growth_kb();
    const auto unread = watch_.most_unread_kb();
    const auto descriptors = watch_.descriptor_growth();
    fmt::print("{}: memory +{} kB, unread {} kB, descriptors +{}\n", when, memory, unread,
               descriptors);
    EXPECT_LE(memory + unread, most_memory_growth_kb) << when;
    EXPECT_LE(descriptors, most_descriptor_growth) << when;
  }

 private:
  child_process& process_;
  process_watch watch_;
};

// A job node whose store is there at first.
class waiting_jobs_process_test : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(store_.start());
    store_.put("keyed.op", "config", configuration("test", "/q/"));
    program_.emplace(limited_program_options{.name = "coltsfoot_fleetd",
                                             .client_memory_mb = client_memory_mb,
                                             .client_connections = client_connections,
                                             .store_address = store_.listener(0).address()});
    ASSERT_TRUE(wait_until([&] { return is_accepted("first"); })) << program_->process().output();
  }

  static std::string submission(const std::string& job, const std::string& body) {
    return fmt::format(
        "POST /q/{} HTTP/1.1\r\nHost: test\r\nDeadline-Ms: 600000\r\nContent-Length: {}\r\n\r\n{}",
        job, body.size(), body);
  }

  bool is_accepted(const std::string& job) {
    const auto request = submission(job, R"({"steps":[{"count":1,"cpu":100,"memMb":1}]})");
    return exchange_bytes(program_->port(), request).starts_with("HTTP/1.1 200");
  }

  // A short body of as many steps as can be recorded.
  static std::string body_of_steps() {
    std::string steps;
    for (std::size_t n = 0; n < platform::most_recordable_steps() * 9 / 10; ++n) {
      steps += n == 0 ? R"({"count":1})" : R"(,{"count":1})";
    }
    return R"({"steps":[)" + steps + "]}";
  }

  // One step with a label that nearly fills a record.
  static std::string body_of_one_label() {
    return R"({"steps":[{"count":1,"requirements":")" + std::string(250'000, 'x') + R"("}]})";
  }

  void expect_in_service_with(const std::string& body) {
    watched_process watched{program_->process(), program_->port()};
    store_.delay_caller_appends(600'000);
    {
      const client_crowd crowd{program_->port(), crowd_size};
      crowd.send_each([&](std::size_t n) { return submission(fmt::format("j{}", n), body); },
                      watched.sampler());
      watched.expect_within_bounds("waiting");
      EXPECT_TRUE(program_->answers_an_ordinary_request());
    }
    store_.delay_caller_appends(0);
    EXPECT_TRUE(wait_until([&] { return is_accepted("last"); }, std::chrono::seconds{120}));
    watched.expect_within_bounds("gone");
  }

  soak_record record_{program_dir() + "/process-tests/waiting_jobs.txt"};
  store_server store_{1, record_};
  std::optional<limited_program> program_;
};

// Guards against requests that hold many times the bytes of their bodies until they are recorded.
TEST_F(waiting_jobs_process_test, jobs_of_many_steps) {
  expect_in_service_with(body_of_steps());
}

// Guards against complete requests that wait without a bound on what they hold together.
TEST_F(waiting_jobs_process_test, large_jobs) {
  expect_in_service_with(body_of_one_label());
}

// Guards against requests to backend servers that wait without a bound on what they hold together.
TEST(waiting_service_requests_process_test, large_bodies_for_slow_backend_servers) {
  local_cluster cluster{{.nodes = 1,
                         .racks = 1,
                         .workers_per_rack = 1,
                         .name = "waiting_service_requests",
                         .more_settings = fmt::format("client_memory_mb: {}\n"
                                                      "client_connections: {}\n"
                                                      "max_body_bytes: 524288\n",
                                                      client_memory_mb, client_connections)}};
  ASSERT_TRUE(cluster.wait_until_ready());
  ASSERT_TRUE(cluster.publish());
  const auto port = cluster.caller_port(0);
  const auto request = [](const std::string& id, int run_ms, const std::string& body) {
    return fmt::format(
        "POST /v1/services/pacecast/work?ms={} HTTP/1.1\r\nHost: test\r\n"
        "coltsfoot-customer: acme\r\ncoltsfoot-request-id: {}\r\ncoltsfoot-idempotent: true\r\n"
        "coltsfoot-deadline-ms: 8000\r\nContent-Length: {}\r\n\r\n{}",
        run_ms, id, body.size(), body);
  };
  ASSERT_TRUE(wait_until(
      [&] { return exchange_bytes(port, request("first", 1, "x")).starts_with("HTTP/1.1 200"); }));
  watched_process watched{cluster.node(0), port};
  const std::string body(500'000, 'x');
  {
    const client_crowd crowd{port, crowd_size};
    crowd.send_each([&](std::size_t n) { return request(fmt::format("r{}", n), 4'000, body); },
                    watched.sampler());
    watched.expect_within_bounds("waiting");
  }
  EXPECT_TRUE(wait_until(
      [&] { return exchange_bytes(port, request("last", 1, "x")).starts_with("HTTP/1.1 200"); },
      std::chrono::seconds{120}));
  watched.expect_within_bounds("gone");
}

}  // namespace
}  // namespace coltsfoot::testing
