// Checks what a body of a job submission does to the code that reads it.
//
//   if (const auto violation = violation_of(body)) report(*violation);
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "tests/fuzz/platform/job_bodies.h"

namespace coltsfoot::testing {

// The most heap memory, in bytes, that each stage held at once while it read one body.
struct body_cost {
  std::size_t decode = 0;     // decode_job
  std::size_t record = 0;     // acceptance_record
  std::size_t operators = 0;  // the body as requests of the administration API
  bool is_accepted = false;
};

body_cost cost_of(const job_body& body);

// Returns what must not happen and did, or nothing: an exception, more memory than a small multiple
// of the body and a fixed allowance, a refusal without a short reason, a valid job refused.
std::optional<std::string> violation_of(const job_body& body);

}  // namespace coltsfoot::testing
