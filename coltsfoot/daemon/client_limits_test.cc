#include "coltsfoot/daemon/client_limits.h"

#include <gtest/gtest.h>

namespace coltsfoot {
namespace {

constexpr std::uint64_t mib = 1'048'576;
constexpr machine_size machine{.memory_bytes = 32'768 * mib, .file_descriptors = 20'000};
const std::size_t largest = largest_request_bytes(std::size_t{512} * 1'024);

std::string error_of(const client_limit_settings& settings) {
  const auto limits = resolve_client_limits(settings, machine, largest);
  return limits ? "" : limits.error();
}

// Guards against defaults that leave too little for the node on the smallest machine.
TEST(client_limits_test, defaults_follow_the_machine) {
  const auto smallest =
      resolve_client_limits({.memory_mb = 160, .file_descriptors = 4'100}, machine, largest);
  ASSERT_TRUE(smallest);
  EXPECT_EQ(smallest->bytes, 40 * mib);
  EXPECT_EQ(smallest->connections, 1'950U);
  const auto absent = resolve_client_limits({}, machine, largest);
  ASSERT_TRUE(absent);
  EXPECT_EQ(absent->bytes, 1'024 * mib);
  EXPECT_EQ(absent->connections, 9'900U);
}

// Guards against limits under which no request is served, or that the machine can't hold.
TEST(client_limits_test, errors_name_the_key) {
  EXPECT_EQ(error_of({.client_memory_mb = 8, .client_connections = 40}), "");
  EXPECT_TRUE(error_of({.client_memory_mb = 1}).starts_with("client_memory_mb: "));
  EXPECT_TRUE(
      error_of({.memory_mb = 160, .client_memory_mb = 161}).starts_with("client_memory_mb: "));
  EXPECT_TRUE(error_of({.client_connections = 20'000}).starts_with("client_connections: "));
  EXPECT_TRUE(error_of({.file_descriptors = 128, .client_connections = 100})
                  .starts_with("client_connections: "));
  EXPECT_TRUE(error_of({.client_memory_mb = 8, .client_connections = 1'000})
                  .starts_with("client_connections: "));
}

// Guards against a peer port that takes the memory or the descriptors of the smallest machine.
TEST(client_limits_test, the_peer_port_has_its_part_of_the_machine) {
  const client_limit_settings smallest{.memory_mb = 160, .file_descriptors = 4'100};
  const auto clients = resolve_client_limits(smallest, machine, largest);
  ASSERT_TRUE(clients);
  const auto peers = resolve_peer_limits(smallest, machine, *clients, mib);
  EXPECT_EQ(peers.bytes, 20 * mib);
  EXPECT_EQ(peers.connections, 256U);
  const client_limit_settings few{.file_descriptors = 160, .client_connections = 40};
  const auto low = resolve_peer_limits(few, machine, {.bytes = 8 * mib, .connections = 40}, mib);
  EXPECT_EQ(low.connections, 28U);
}

// Guards against a line for each connection of a crowd.
TEST(client_limits_test, closed_connections_are_logged_at_a_bounded_rate) {
  client_close_log log;
  client_budget_stats stats;
  EXPECT_FALSE(log.sample(stats, time_point{duration{1}}));
  stats.closed[0] = 3;
  const auto first = log.sample(stats, time_point{duration{1'000}});
  ASSERT_TRUE(first);
  EXPECT_NE(first->find("event=clients_closed memory_receiving=3 "), std::string::npos) << *first;
  stats.closed[0] = 5;
  EXPECT_FALSE(log.sample(stats, time_point{duration{2'000}}));
  EXPECT_NE(log.sample(stats, time_point{duration{11'000}})->find("memory_receiving=2 "),
            std::string::npos);
}

}  // namespace
}  // namespace coltsfoot
