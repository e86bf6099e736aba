// Chooses the racks on which a task may be started, from hints that are out of date.
//
//   auto racks = choose_candidates(directory, {.limit = limit, .count = 4}, random);
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/random.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/membership/unit_directory.h"

namespace coltsfoot {

struct candidate_options {
  resources limit;  // what the task needs on one worker
  std::size_t count = 4;
  std::vector<rack_id> excluded;
};

// Returns up to `count` racks: those that are ready and have room on one worker come first, then
// those with a large free share and in zones that were not chosen yet. Ties are broken at random.
// Racks whose hints show no room are only named when there are too few others.
std::vector<rack_id> choose_candidates(const unit_directory& directory,
                                       const candidate_options& options, random_engine& random);

// Returns the rack of a unit "rack/<zone>/<rack>", and the zone of a rack "<zone>/<rack>".
rack_id rack_of(const unit_id& unit);
std::string_view zone_of(const rack_id& rack);

}  // namespace coltsfoot
