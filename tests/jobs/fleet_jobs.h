// Jobs that the tests on virtual time submit, and the start of such a test.
//
//   virtual_fleet fleet{{}};
//   wait_until_settled(fleet);
//   fleet.submit(0, "j", two_steps(4));
#pragma once

#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {

inline jobs::step_spec step(std::uint32_t count, duration length) {
  return {.count = count, .demand = {.millicores = 1'000, .memory_mb = 500}, .estimate = length};
}

inline jobs::job_spec two_steps(std::uint32_t width) {
  jobs::job_spec spec{.payload = "p",
                      .steps = {step(width, duration{300}), step(width, duration{300})}};
  spec.steps[1].depends_on = {0};
  return spec;
}

inline jobs::job_spec long_running_job(std::uint32_t width) {
  jobs::job_spec spec{.payload = "p", .steps = {step(width, duration{100})}};
  spec.steps[0].long_running = true;
  return spec;
}

// Waits until one node owns the jobs and knows the workers.
inline void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
}

}  // namespace coltsfoot::testing
