// Whether a worker can run tasks of a step at all, whatever runs there now.
//
//   if (places_on(listing, step, service) == 0) look_elsewhere();
#pragma once

#include <algorithm>
#include <cstdint>
#include <ranges>

#include "coltsfoot/jobs/job.h"

namespace coltsfoot::jobs {

// Returns how many tasks of `step` an idle worker has room for; none if it is of another service,
// lacks the label that is required, or drains.
std::uint64_t places_on(const worker_listing& worker, const step_spec& step,
                        const service_id& service);

// Number of places without which a task of the step can't run: a gang runs as a whole.
std::uint64_t places_needed(const step_spec& step);

// Whether the workers of a range of listings have as many places together, when they are idle.
template <std::ranges::input_range Workers>
bool have_places(Workers&& workers, const step_spec& step, const service_id& service) {
  std::uint64_t places = 0;
  return std::ranges::any_of(workers, [&](const worker_listing& worker) {
    places += places_on(worker, step, service);
    return places >= places_needed(step);
  });
}

}  // namespace coltsfoot::jobs
