#include "coltsfoot/evacuation/evacuated_zones.h"

#include <utility>

#include "coltsfoot/base/hash.h"

namespace coltsfoot::jobs {

std::vector<evacuation_event> evacuated_zones::apply(const topic_change& change, time_point now) {
  std::vector<evacuation_event> events;
  const auto note = [&events](std::optional<evacuation_event> event) {
    if (event) events.push_back(std::move(*event));
  };
  std::set<std::string> listed;
  for (const auto& record : change.records) {
    if (format_.key_prefix.empty() || !record.key.starts_with(format_.key_prefix)) continue;
    const auto zone = record.key.substr(format_.key_prefix.size());
    listed.insert(zone);
    note(apply_record(zone, record.value, change.is_listing, now));
  }
  if (!change.is_listing) return events;
  known_ = true;
  for (const auto& zone : names()) {
    if (!listed.contains(zone)) note(take_back(zone, now));
  }
  std::erase_if(malformed_, [&](const auto& entry) { return !listed.contains(entry.first); });
  return events;
}

std::set<std::string> evacuated_zones::names() const {
  std::set<std::string> names;
  for (const auto& [zone, evacuation] : zones_) names.insert(zone);
  return names;
}

std::optional<evacuation_event> evacuated_zones::apply_record(const std::string& zone,
                                                              const std::string& value,
                                                              bool from_listing, time_point now) {
  if (value.empty()) {
    malformed_.erase(zone);
    return take_back(zone, now);
  }
  // Workers whose entries name no zone must not be evacuated by a truncated key.
  if (zone.empty()) return ignore(zone, value, "no_zone");
  if (const auto valid = format_.check(value); !valid) return ignore(zone, value, valid.error());
  malformed_.erase(zone);
  const bool is_new =
      zones_.try_emplace(zone, zone_evacuation{.since = now, .from_listing = from_listing}).second;
  if (!is_new) return std::nullopt;
  return evacuation_event{.kind = evacuation_event_kind::evacuated, .zone = zone};
}

std::optional<evacuation_event> evacuated_zones::take_back(const std::string& zone,
                                                           time_point now) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) return std::nullopt;
  const auto in_force = now - found->second.since;
  zones_.erase(found);
  return evacuation_event{
      .kind = evacuation_event_kind::taken_back, .zone = zone, .in_force = in_force};
}

std::optional<evacuation_event> evacuated_zones::ignore(const std::string& zone,
                                                        const std::string& value,
                                                        std::string reason) {
  const auto hash = stable_hash(zone, value);
  const auto [at, is_new] = malformed_.try_emplace(zone, hash);
  if (!is_new && at->second == hash) return std::nullopt;
  at->second = hash;
  return evacuation_event{
      .kind = evacuation_event_kind::ignored, .zone = zone, .reason = std::move(reason)};
}

}  // namespace coltsfoot::jobs
