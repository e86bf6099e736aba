// What the scenarios share: waiting, and the result.
#pragma once

#include <cstddef>
#include <cstdint>

#include "review_fleet.h"

namespace coltsfoot::review {

void sleep_for(std::int64_t ms);

// Waits until all accepted jobs are completed. Returns how many are not.
std::size_t finish_jobs(review_fleet& fleet, std::int64_t limit_ms);

// Notes what the stand-ins of the workers have found. Returns the exit code.
int verdict(review_fleet& fleet);

}  // namespace coltsfoot::review
