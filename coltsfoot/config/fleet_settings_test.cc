#include "coltsfoot/config/fleet_settings.h"

#include <gtest/gtest.h>

namespace coltsfoot {
namespace {

const std::string complete =
    "node: n1\n"
    "zone: z1\n"
    "caller_address: 10.0.0.1:8080\n"
    "readiness_address: 10.0.0.1:8081\n"
    "peer_address: 10.0.0.1:7720\n"
    "metrics_address: 10.0.0.1:9464\n"
    "store_address: 10.0.0.9:8169\n";

std::string error_of(const std::string& text) {
  const auto settings = parse_fleet_settings(text, "f.yaml");
  return settings ? "" : to_string(settings.error());
}

TEST(fleet_settings_test, reads_all_keys) {
  const auto settings = parse_fleet_settings(complete + "longest_lease_ms: 6000\n", "f.yaml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->node, "n1");
  EXPECT_EQ(settings->store_address, "10.0.0.9:8169");
  EXPECT_EQ(settings->longest_lease, duration{6'000});
  EXPECT_EQ(settings->shutdown_grace, fleet_settings{}.shutdown_grace);
}

TEST(fleet_settings_test, reads_what_a_node_has_for_owning_jobs) {
  const auto settings = parse_fleet_settings(
      complete + "processor_cores: 0.12\njournal_partitions: 8\nlink_mbps: 20\n", "f.yaml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->processor_millicores, 120U);
  EXPECT_EQ(settings->journal_partitions, 8U);
  EXPECT_EQ(settings->link_bytes_per_s, 2'500'000);
  for (const auto* wrong :
       {"processor_cores: 0\n", "processor_cores: fast\n", "journal_partitions: 0\n",
        "journal_partitions: 1.5\n", "link_mbps: 0\n", "link_mbps: wide\n"}) {
    EXPECT_FALSE(parse_fleet_settings(complete + wrong, "f.yaml")) << wrong;
  }
}

// A platform may tell a short time, or none at all.
TEST(fleet_settings_test, reads_the_time_that_a_checkpoint_takes) {
  const auto restore_of = [](const std::string& line) {
    const auto settings = parse_fleet_settings(complete + line, "f.yaml");
    return settings ? settings->restore : duration{-1};
  };
  EXPECT_EQ(restore_of(""), duration{0});
  EXPECT_EQ(restore_of("restore_ms:\n"), duration{0});
  EXPECT_EQ(restore_of("restore_ms: 0\n"), duration{0});
  EXPECT_EQ(restore_of("restore_ms: 40\n"), duration{40});
  for (const auto* wrong : {"restore_ms: -1\n", "restore_ms: soon\n", "restore_ms: 60001\n"}) {
    EXPECT_NE(error_of(complete + wrong).find("restore_ms: is no whole number"), std::string::npos)
        << error_of(complete + wrong);
  }
}

// Guards against limits on clients that are taken without a check, or refused without their name.
TEST(fleet_settings_test, reads_the_limits_on_clients) {
  const auto settings = parse_fleet_settings(
      complete +
          "memory_mb: 160.0\nfile_descriptors: 4100\nclient_memory_mb: 8\nclient_connections: 40\n",
      "f.yaml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->memory_mb, 160U);
  EXPECT_EQ(settings->file_descriptors, 4'100U);
  EXPECT_EQ(settings->client_memory_mb, 8U);
  EXPECT_EQ(settings->client_connections, 40U);
  for (const std::string key :
       {"memory_mb", "file_descriptors", "client_memory_mb", "client_connections"}) {
    for (const std::string value : {"0", "-1", "many", "1.5", "99999999"}) {
      std::string text = complete;
      text.append(key).append(": ").append(value).append("\n");
      const auto error = error_of(text);
      EXPECT_NE(error.find("f.yaml:8: " + key), std::string::npos) << key << value << ": " << error;
    }
  }
}

TEST(fleet_settings_test, errors_name_the_file_and_the_key) {
  EXPECT_NE(error_of("node: n1\n").find("zone: is missing"), std::string::npos);
  EXPECT_NE(error_of(complete + "colour: red\n").find("f.yaml:8: colour"), std::string::npos)
      << error_of(complete + "colour: red\n");
  EXPECT_NE(error_of(complete + "longest_lease_ms: soon\n").find("f.yaml:8: longest_lease_ms"),
            std::string::npos);
  EXPECT_NE(error_of(complete + "longest_lease_ms: 5\n").find("out of range"), std::string::npos);
  auto wrong = complete;
  wrong.replace(wrong.find("10.0.0.9:8169"), 13, "10.0.0.9");
  EXPECT_NE(error_of(wrong).find("store_address: is no address"), std::string::npos);
}

}  // namespace
}  // namespace coltsfoot
