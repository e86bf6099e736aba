#include "coltsfoot/customer/candidate_choice.h"

#include <algorithm>
#include <set>
#include <string>

namespace coltsfoot {
namespace {

struct scored_rack {
  rack_id rack;
  bool has_room = false;
  double free_share = 0;
};

// A rack in a zone that is already chosen must have this much more of its capacity free than one
// in a new zone. Spreading matters more than a small difference between hints that are late.
constexpr double zone_penalty = 0.3;
// Differences of free room below this are noise of late hints.
constexpr double tie_breaking_range = 0.05;

double free_share(const unit_entry& entry) {
  const auto share = [](std::int64_t free, std::int64_t total) {
    return total <= 0 ? 1.0 : static_cast<double>(free) / static_cast<double>(total);
  };
  return std::min(share(entry.total_free.millicores, entry.total_capacity.millicores),
                  share(entry.total_free.memory_mb, entry.total_capacity.memory_mb));
}

}  // namespace

rack_id rack_of(const unit_id& unit) {
  return rack_id{unit.value.substr(std::string_view{"rack/"}.size())};
}

std::string_view zone_of(const rack_id& rack) {
  return std::string_view{rack.value}.substr(0, rack.value.find('/'));
}

std::vector<rack_id> choose_candidates(const unit_directory& directory,
                                       const candidate_options& options, random_engine& random) {
  std::vector<scored_rack> known;
  std::uniform_real_distribution<double> noise{0, tie_breaking_range};
  for (const unit_entry* entry : directory.racks()) {
    rack_id rack = rack_of(entry->unit);
    if (std::ranges::find(options.excluded, rack) != options.excluded.end()) continue;
    const bool has_room = entry->ready && options.limit.fits_in(entry->largest_free);
    known.push_back({std::move(rack), has_room, free_share(*entry) + noise(random)});
  }
  std::vector<rack_id> out;
  std::set<std::string, std::less<>> zones;
  while (out.size() < options.count && !known.empty()) {
    const auto rank = [&zones](const scored_rack& rack) {
      const double penalty = zones.contains(zone_of(rack.rack)) ? zone_penalty : 0;
      return std::pair{rack.has_room, rack.free_share - penalty};
    };
    const auto best = std::ranges::max_element(known, {}, rank);
    zones.emplace(zone_of(best->rack));
    out.push_back(best->rack);
    known.erase(best);
  }
  return out;
}

}  // namespace coltsfoot
