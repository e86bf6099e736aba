// Whole days with troubles that overlap: what each kind of job earns.
#include "tests/jobs/drawn_day.h"

#include <gtest/gtest.h>

namespace coltsfoot::testing {
namespace {

// The users' floor for each kind of job, of what is owed.
constexpr double least_worth = 0.30;

class drawn_day_test : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against runs that stay slow and hold back their jobs while new ones take the free room.
TEST_P(drawn_day_test, each_kind_of_job_earns_its_floor) {
  virtual_fleet fleet{fleet_of_day(GetParam())};
  const auto result = play_day(fleet, GetParam());
  SCOPED_TRACE("troubles:" + result.troubles);
  for (const auto& [kind, worth] : result.worth) {
    EXPECT_GE(worth, least_worth) << "kind " << static_cast<int>(kind);
  }
  for (const auto& violation : fleet.broken()) ADD_FAILURE() << violation;
  if (std::getenv("DAY_FIGURES") != nullptr) {
    std::cout << "seed " << GetParam() << " quick " << result.worth.at(job_kind::quick)
              << " filling " << result.worth.at(job_kind::filling) << " lasting "
              << result.worth.at(job_kind::lasting) << result.troubles << "\n";
  }
}

INSTANTIATE_TEST_SUITE_P(seeds, drawn_day_test, ::testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace coltsfoot::testing
