#include "coltsfoot/evacuation/evacuated_zones.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr time_point start{duration{1'000}};

evacuated_zones empty_zones() {
  return evacuated_zones{{.key_prefix = "evacuate/",
                          .check = [](std::string_view value) -> tl::expected<void, std::string> {
                            if (value.starts_with('{')) return {};
                            return tl::unexpected(std::string{"not an object"});
                          }}};
}

topic_change tail(std::vector<keyed_record> records) {
  return {.records = std::move(records)};
}

topic_change listing(std::vector<keyed_record> records) {
  return {.is_listing = true, .records = std::move(records)};
}

// Guards against a zone whose state depends on how its record was read.
TEST(evacuated_zones_test, requests_and_revocations_count_from_tails_and_listings) {
  auto zones = empty_zones();
  EXPECT_FALSE(zones.known());
  EXPECT_TRUE(zones.apply(listing({{.key = "config", .value = "{}"}}), start).empty());
  EXPECT_TRUE(zones.known());
  const auto evacuated = zones.apply(
      tail({{.key = "evacuate/a", .value = "{}"}, {.key = "evacuate/b", .value = "{}"}}), start);
  ASSERT_EQ(evacuated.size(), 2U);
  EXPECT_EQ(evacuated[0].kind, evacuation_event_kind::evacuated);
  EXPECT_TRUE(zones.apply(tail({{.key = "evacuate/a", .value = R"({"x":1})"}}), start).empty());
  const auto later = start + duration{700};
  const auto revoked = zones.apply(tail({{.key = "evacuate/a", .value = ""}}), later);
  ASSERT_EQ(revoked.size(), 1U);
  EXPECT_EQ(revoked[0].kind, evacuation_event_kind::taken_back);
  EXPECT_EQ(revoked[0].in_force, duration{700});
  EXPECT_EQ(zones.names(), std::set<std::string>{"b"});
  zones.apply(listing({{.key = "evacuate/c", .value = "{}"}}), later);
  EXPECT_EQ(zones.names(), std::set<std::string>{"c"});
}

// Guards against a malformed value that opens or closes a zone, and against a line for each
// listing.
TEST(evacuated_zones_test, a_malformed_value_leaves_the_state_and_is_reported_once) {
  auto zones = empty_zones();
  zones.apply(listing({{.key = "evacuate/a", .value = "{}"}}), start);
  const std::vector<keyed_record> malformed{{.key = "evacuate/", .value = "{}"},
                                            {.key = "evacuate/a", .value = "[]"},
                                            {.key = "evacuate/b", .value = "yes"}};
  const auto ignored = zones.apply(listing(malformed), start);
  ASSERT_EQ(ignored.size(), 3U);
  for (const auto& event : ignored) {
    EXPECT_EQ(event.kind, evacuation_event_kind::ignored);
    EXPECT_FALSE(event.reason.empty());
  }
  EXPECT_TRUE(zones.apply(listing(malformed), start).empty());
  EXPECT_EQ(zones.names(), std::set<std::string>{"a"});
  EXPECT_EQ(zones.apply(tail({{.key = "evacuate/b", .value = "no"}}), start).size(), 1U);
}

}  // namespace
}  // namespace coltsfoot::jobs
