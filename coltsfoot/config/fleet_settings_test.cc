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

// Guards against a node that does not start as its template has a field that is not filled in.
TEST(fleet_settings_test, a_setting_that_is_not_filled_in_takes_its_default) {
  const std::string text = complete +
                           "memory_mb: {{limits.memoryMb}}\nfile_descriptors: {{ a }}\n"
                           "restore_ms: {{bounds.restoreMs}}\nlink_mbps: {{b}}\n"
                           "processor_cores: {{c.0}}\nlongest_lease_ms: {{d}}\n";
  const auto settings = parse_fleet_settings(text, "f.yaml");
  ASSERT_TRUE(settings) << error_of(text);
  EXPECT_EQ(settings->memory_mb, 0U);
  EXPECT_EQ(settings->file_descriptors, 0U);
  EXPECT_EQ(settings->restore, duration{0});
  EXPECT_EQ(settings->link_bytes_per_s, 0);
  EXPECT_EQ(settings->processor_millicores, 0U);
  EXPECT_EQ(settings->longest_lease, duration{10'000});
  EXPECT_EQ(settings->unfilled.size(), 6U);
}

// Guards against a text that is taken for a placeholder, and against a node without its addresses.
TEST(fleet_settings_test, only_a_placeholder_counts_as_not_filled_in) {
  for (const std::string value : {"{memory: 160}", "{{a: 1}}", "{{a, b}}", "[160]", "{}",
                                  "\"{{a}}\"", "{{a}} 160", "{{a}}160", "160 MB"}) {
    std::string text = complete;
    text.append("memory_mb: ").append(value).append("\n");
    EXPECT_NE(error_of(text), "") << value;
  }
  auto wrong = complete;
  wrong.replace(wrong.find("10.0.0.9:8169"), 13, "{{platform.address}}");
  EXPECT_NE(error_of(wrong).find("store_address"), std::string::npos) << error_of(wrong);
}

// Guards against limits that a running process gives up for defaults.
TEST(fleet_settings_test, a_running_process_takes_no_setting_that_is_not_filled_in) {
  const auto settings = parse_fleet_settings(complete + "memory_mb: {{limits.memoryMb}}\n",
                                             "f.yaml", unfilled_setting::is_an_error);
  ASSERT_FALSE(settings);
  EXPECT_NE(to_string(settings.error()).find("f.yaml:8: memory_mb: is not filled in"),
            std::string::npos)
      << to_string(settings.error());
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
