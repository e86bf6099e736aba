// Whether a worker can run tasks of a step at all, whatever runs there now.
//
//   if (places_on(listing, step, service) == 0) look_elsewhere();
#pragma once

#include <cstdint>

#include "coltsfoot/jobs/job.h"

namespace coltsfoot::jobs {

// Returns how many tasks of `step` an idle worker has room for; none if it is of another service,
// lacks the label that is required, or drains.
std::uint64_t places_on(const worker_listing& worker, const step_spec& step,
                        const service_id& service);

// Number of places without which a task of the step can't run: a gang runs as a whole.
std::uint64_t places_needed(const step_spec& step);

}  // namespace coltsfoot::jobs
