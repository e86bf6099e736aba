#include "tests/process/support/limited_program.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <utility>

#include "tests/process/support/raw_connection.h"
#include "tests/support/project_paths.h"

namespace coltsfoot::testing {
namespace {

constexpr std::chrono::seconds answer_limit{120};

}  // namespace

limited_program::limited_program(limited_program_options options) : options_(std::move(options)) {
  const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
  std::string test_name = test->name();
  std::replace(test_name.begin(), test_name.end(), '/', '-');
  const auto folder = fmt::format("{}/process-tests/client_limits/{}", program_dir(), test_name);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  settings_file_ = folder + "/settings.yaml";
  write_settings(options_.client_connections);
  process_.emplace(program_path(options_.name),
                   std::vector<std::string>{"--config", settings_file_}, folder, options_.name);
}

void limited_program::write_settings(int connections) const {
  std::ofstream{settings_file_} << settings(connections);
}

std::string limited_program::head(std::string_view headers) const {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: test\r\ncoltsfoot-customer: acme\r\n"
      "coltsfoot-request-id: r1\r\n{}",
      is_fleet() ? "/jobs" : "/v1/services/pacecast/work", headers);
}

bool limited_program::answers_an_ordinary_request() const {
  const auto request = head("Connection: close\r\nContent-Length: 2\r\n\r\n{}");
  return wait_until([&] { return exchange_bytes(port(), request).starts_with("HTTP/1.1 "); },
                    answer_limit);
}

// Nothing listens at the addresses of the store, the log and the host list, unless one is given.
std::string limited_program::settings(int connections) const {
  const auto at = [](const reserved_port& port) {
    return fmt::format("\"127.0.0.1:{}\"\n", port.number());
  };
  const auto limits = fmt::format("client_memory_mb: {}\nclient_connections: {}\n{}",
                                  options_.client_memory_mb, connections, options_.more_settings);
  const auto common = "node: n1\nzone: z1\ncaller_address: " + at(callers_) +
                      "peer_address: " + at(peers_) + limits;
  if (is_fleet()) {
    const auto store =
        options_.store_address.empty() ? at(nothing_) : "\"" + options_.store_address + "\"\n";
    return common + "readiness_address: " + at(readiness_) + "metrics_address: " + at(metrics_) +
           "store_address: " + store;
  }
  return common + "operator_address: " + at(metrics_) +
         fmt::format(
             "max_body_bytes: 524288\nlog_url: \"http://127.0.0.1:{0}\"\n"
             "hosts_url: \"http://127.0.0.1:{0}\"\ncharts_directory: \"{1}\"\n",
             nothing_.number(), charts_dir());
}

std::string chunks(std::size_t count, std::size_t size) {
  const auto chunk = fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
  std::string text;
  text.reserve(count * chunk.size());
  for (std::size_t n = 0; n < count; ++n) text += chunk;
  return text;
}

}  // namespace coltsfoot::testing
