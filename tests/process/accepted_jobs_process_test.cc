// Callers that hand in small requests for many tasks, which a job node accepts and then holds until
// their end. No time is checked, nor how many jobs are accepted.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>

#include "tests/process/support/client_crowd.h"
#include "tests/process/support/limited_program.h"
#include "tests/process/support/raw_connection.h"
#include "tests/soak/standin/store_server.h"
#include "tests/support/project_paths.h"

namespace coltsfoot::testing {
namespace {

// From the settings: a quarter of the memory for jobs, and 16 MiB for the rest of the process.
constexpr std::int64_t most_memory_growth_kb = std::int64_t{32} * 1024;
constexpr auto machine = "memory_mb: 64\n";

constexpr int client_connections = 40;
constexpr std::int64_t most_descriptor_growth = client_connections + 24;

constexpr std::chrono::seconds answer_limit{120};

std::string submission(const std::string& job, int tasks) {
  const auto body = fmt::format(R"({{"steps":[{{"count":{},"cpu":100,"memMb":1}}]}})", tasks);
  return fmt::format(
      "POST /q/{} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", job,
      body.size(), body);
}

// Guards against a few small requests that take the memory of each node of the fleet.
TEST(accepted_jobs_process_test, small_requests_for_many_tasks) {
  const soak_record record{program_dir() + "/process-tests/accepted_jobs.txt"};
  store_server store{1, record};
  ASSERT_TRUE(store.start());
  store.put("keyed.op", "config", configuration("test", "/q/"));
  limited_program program{{.name = "coltsfoot_fleetd",
                           .client_connections = client_connections,
                           .more_settings = machine,
                           .store_address = store.listener(0).address()}};
  const auto is_accepted = [&](const std::string& job) {
    return exchange_bytes(program.port(), submission(job, 1)).starts_with("HTTP/1.1 200");
  };
  ASSERT_TRUE(wait_until([&] { return is_accepted("first"); }, answer_limit))
      << program.process().output();
  process_watch watch{program.process().pid()};
  for (int n = 0; n < 100; ++n) {
    const auto answer = exchange_bytes(program.port(), submission(fmt::format("j{}", n), 20'000));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 ")) << answer;
    watch.sample();
  }
  EXPECT_TRUE(wait_until([&] { return is_accepted("last"); }, answer_limit));
  EXPECT_TRUE(program.process().running());
  fmt::print("memory +{} kB, descriptors +{}\n", watch.memory_growth_kb(),
             watch.descriptor_growth());
  EXPECT_LE(watch.memory_growth_kb(), most_memory_growth_kb);
  EXPECT_LE(watch.descriptor_growth(), most_descriptor_growth);
}

}  // namespace
}  // namespace coltsfoot::testing
