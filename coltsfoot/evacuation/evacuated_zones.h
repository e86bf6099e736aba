// Decides which availability zones are evacuated: no task may be started on their workers.
//
// It follows the records `evacuate/ZONE` of the operator's topic. The state is as old as the newest
// read of that topic; while the store is away, the last request read stays in force. Nothing is
// written: a node that starts reads the same records.
//
//   evacuated_zones zones{{.key_prefix = "evacuate/", .check = check}};
//   for (const auto& event : zones.apply(change, now)) log(event);
//   if (zones.contains(listing.zone)) refuse();
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/name_table.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/topic_follower.h"

namespace coltsfoot::jobs {

// How the store's records name zones.
struct evacuation_format {
  std::string key_prefix;  // before the zone; empty: no zone can be evacuated
  // Returns why the value of a record is no request.
  std::function<tl::expected<void, std::string>(std::string_view)> check;
};

enum class evacuation_event_kind { evacuated, taken_back, ignored };

// A change of the state of a zone, or a record that changes nothing as it is malformed.
struct evacuation_event {
  evacuation_event_kind kind = evacuation_event_kind::ignored;
  std::string zone;
  duration in_force{0};  // of a zone that was taken back: how long it was evacuated
  std::string reason;    // of a record that was ignored
};

// The record that evacuated a zone.
struct zone_evacuation {
  time_point since{};         // when it was read first
  bool from_listing = false;  // read in a listing: the request may be much older
};

class evacuated_zones {
 public:
  explicit evacuated_zones(evacuation_format format) : format_(std::move(format)) {}

  // Takes what was read of the operator's topic. A listing without the key of a zone revokes the
  // request. A malformed value leaves the state of its zone and is reported once.
  std::vector<evacuation_event> apply(const topic_change& change, time_point now);

  bool contains(const std::string& zone) const { return zones_.contains(zone); }
  const std::map<std::string, zone_evacuation>& zones() const { return zones_; }
  std::set<std::string> names() const;
  // Whether the topic has been listed since the start. Until then a zone may be evacuated without
  // being known.
  bool known() const { return known_; }

 private:
  std::optional<evacuation_event> apply_record(const std::string& zone, const std::string& value,
                                               bool from_listing, time_point now);
  std::optional<evacuation_event> take_back(const std::string& zone, time_point now);
  std::optional<evacuation_event> ignore(const std::string& zone, const std::string& value,
                                         std::string reason);

  evacuation_format format_;
  std::map<std::string, zone_evacuation> zones_;
  std::map<std::string, std::uint64_t> malformed_;  // hash of the value that was reported, by zone
  bool known_ = false;
};

}  // namespace coltsfoot::jobs

namespace coltsfoot {
template <>
struct enum_names<jobs::evacuation_event_kind> {
  static constexpr std::array table{
      std::pair{jobs::evacuation_event_kind::evacuated, std::string_view{"zone_evacuated"}},
      std::pair{jobs::evacuation_event_kind::taken_back, std::string_view{"zone_taken_back"}},
      std::pair{jobs::evacuation_event_kind::ignored, std::string_view{"evacuation_ignored"}}};
};
}  // namespace coltsfoot
