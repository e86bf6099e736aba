// Bodies of job submissions as callers outside our control may send them.
//
//   for (std::uint64_t number = 0; number < 1'000; ++number) decode_job(body_of(seed,
//   number).text);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot::testing {

// The largest body that a job node reads.
inline constexpr std::size_t most_body_bytes = std::size_t{512} * 1024;

struct job_body {
  std::string_view kind;
  std::string text;
  bool is_valid = false;  // a job that must be accepted
};

// Depends on its arguments only, so that one body of a run can be made again.
job_body body_of(std::uint64_t seed, std::uint64_t number);

// Bodies of about `bytes` bytes, each with the most of one thing.
std::vector<job_body> worst_bodies(std::size_t bytes);

}  // namespace coltsfoot::testing
