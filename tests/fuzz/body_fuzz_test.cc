// A short run of tests/fuzz/body_fuzz.cc, with a fixed seed.
#include <gtest/gtest.h>

#include "tests/fuzz/body_check.h"

namespace coltsfoot::testing {
namespace {

constexpr std::uint64_t seed = 20261207;
constexpr std::uint64_t bodies = 3'000;

// Guards against a body that ends the process, takes more memory than its bytes allow, or is
// refused though it is a valid job.
TEST(body_fuzz_test, bodies_are_jobs_or_errors_within_their_memory) {
  for (std::uint64_t number = 0; number < bodies; ++number) {
    const auto body = body_of(seed, number);
    const auto violation = violation_of(body);
    EXPECT_FALSE(violation) << *violation << ": " << body.kind << " body of " << body.text.size()
                            << " bytes, seed " << seed << " number " << number;
  }
}

// Guards against bodies that cost many times their bytes.
TEST(body_fuzz_test, the_worst_bodies_stay_within_their_memory) {
  for (const std::size_t bytes : {std::size_t{2'000}, std::size_t{262'144}, most_body_bytes}) {
    for (const auto& body : worst_bodies(bytes)) {
      const auto violation = violation_of(body);
      EXPECT_FALSE(violation) << *violation << ": " << body.kind << ", " << body.text.size()
                              << " bytes";
    }
  }
}

}  // namespace
}  // namespace coltsfoot::testing
