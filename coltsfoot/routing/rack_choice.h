// Chooses the rack that a request is forwarded to, from hints that are out of date.
//
//   const auto rack = choose_rack(directory, {.service = service, .zone = zone}, random);
#pragma once

#include <optional>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/random.h"
#include "coltsfoot/membership/unit_directory.h"

namespace coltsfoot {

struct rack_choice_options {
  service_id service;
  zone_id zone;  // of the choosing node; racks in it are preferred when they have room
  std::vector<rack_id> excluded;  // racks that refused this request before
};

// The chosen rack, and the other one that was compared with it, for the log.
struct rack_choice {
  rack_id rack;
  rack_id runner_up;  // empty if there was only one
};

// Draws two random racks that serve the service, weighted by slots, and takes one of them at odds
// of their free shares; nothing if no known rack serves it. Always taking the one with the larger
// free share makes all nodes fill the same racks until the next hints arrive.
std::optional<rack_choice> choose_rack(const unit_directory& directory,
                                       const rack_choice_options& options, random_engine& random);

}  // namespace coltsfoot
