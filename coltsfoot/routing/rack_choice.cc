#include "coltsfoot/routing/rack_choice.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace coltsfoot {
namespace {

constexpr std::string_view rack_prefix = "rack/";

// Added to the free share of a rack in the zone of the choosing node.
constexpr double local_zone_bonus = 0.2;

// Added to the free share of each rack when two are compared. Hints are older than most requests
// take: if the rack with the larger free share always won, the nodes would all fill it before the
// next hints, and then the racks that they left.
constexpr double evening_share = 0.25;

struct candidate {
  rack_id rack;
  std::int32_t total_slots = 0;
  double score = 0;
};

bool in_zone(const rack_id& rack, const zone_id& zone) {
  return rack.value.size() > zone.value.size() && rack.value.starts_with(zone.value) &&
         rack.value[zone.value.size()] == '/';
}

std::vector<candidate> candidates_for(const unit_directory& directory,
                                      const rack_choice_options& options) {
  std::vector<candidate> out;
  for (const unit_entry* entry : directory.racks()) {
    if (!entry->ready || directory.address_of(entry->owner).empty()) continue;
    const rack_id rack{entry->unit.value.substr(rack_prefix.size())};
    if (std::ranges::find(options.excluded, rack) != options.excluded.end()) continue;
    for (const auto& room : entry->services) {
      if (room.service != options.service || room.total_slots <= 0) continue;
      const double free_share = static_cast<double>(room.free_slots) / room.total_slots;
      out.push_back({.rack = rack,
                     .total_slots = room.total_slots,
                     .score = free_share + (in_zone(rack, options.zone) ? local_zone_bonus : 0.0)});
    }
  }
  return out;
}

// Index of a random candidate, weighted by slots.
std::size_t draw(const std::vector<candidate>& candidates, random_engine& random) {
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const auto& c : candidates) weights.push_back(c.total_slots);
  std::discrete_distribution<std::size_t> distribution{weights.begin(), weights.end()};
  return distribution(random);
}

// Whether `first` is taken rather than `second`, at odds of their free shares.
bool takes_first(const candidate& first, const candidate& second, random_engine& random) {
  const double of_first = first.score + evening_share;
  const double of_second = second.score + evening_share;
  return std::bernoulli_distribution{of_first / (of_first + of_second)}(random);
}

}  // namespace

std::optional<rack_choice> choose_rack(const unit_directory& directory,
                                       const rack_choice_options& options, random_engine& random) {
  const auto candidates = candidates_for(directory, options);
  if (candidates.empty()) return std::nullopt;
  const auto& first = candidates[draw(candidates, random)];
  const auto& second = candidates[draw(candidates, random)];
  const bool first_taken = takes_first(first, second, random);
  const auto& taken = first_taken ? first : second;
  const auto& other = first_taken ? second : first;
  return rack_choice{.rack = taken.rack,
                     .runner_up = other.rack == taken.rack ? rack_id{} : other.rack};
}

}  // namespace coltsfoot
