#include "coltsfoot/jobs/job.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace coltsfoot::jobs {
namespace {

job_spec spec_of(std::size_t steps, std::uint32_t count, std::uint32_t repetitions) {
  return {.payload = "p",
          .steps = std::vector<step_spec>(steps, {.count = count}),
          .repetitions = repetitions};
}

// Guards against a number of tasks that wraps around to one within the limit.
TEST(job_test, a_job_of_as_many_tasks_as_an_integer_has_values_has_too_many) {
  constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
  EXPECT_TRUE(fault_of(spec_of(128, 67'108'864, 2'147'483'648)));  // 2^64 tasks
  EXPECT_TRUE(fault_of(spec_of(2, 2'147'483'648, largest)));
  EXPECT_TRUE(fault_of(spec_of(1, largest, largest)));
  EXPECT_TRUE(fault_of(spec_of(1, most_tasks_per_job + 1, 0)));
  EXPECT_FALSE(fault_of(spec_of(1, most_tasks_per_job, 0)));
  EXPECT_FALSE(fault_of(spec_of(2, most_tasks_per_job / 4, 2)));
}

RC_GTEST_PROP(job_test, a_job_without_a_fault_has_no_more_tasks_than_are_allowed,
              (std::uint8_t steps, std::uint32_t count, std::uint32_t repetitions)) {
  const auto spec = spec_of(steps, count, repetitions);
  const auto tasks = static_cast<long double>(steps) * count * spec.occurrences();
  if (!fault_of(spec)) RC_ASSERT(tasks <= most_tasks_per_job);
}

// Guards against sums and products of a job's times that do not fit into an integer.
TEST(job_test, times_and_amounts_beyond_the_limits_are_faults) {
  const auto faulty = [](auto change) {
    auto spec = spec_of(1, 1, 2);
    change(spec);
    return fault_of(spec).has_value();
  };
  static constexpr auto huge = std::numeric_limits<std::int64_t>::max();
  EXPECT_FALSE(faulty([](job_spec&) {}));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.interval = duration{huge}; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.interval = duration{-1}; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.first_start = wall_time{duration{huge}}; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.steps[0].estimate = duration{huge}; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.steps[0].estimate = duration{-1}; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.steps[0].response_target = duration{huge}; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.steps[0].demand.millicores = huge; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.steps[0].demand.memory_mb = huge; }));
  EXPECT_TRUE(faulty([](job_spec& spec) { spec.steps[0].demand.accelerators = huge; }));
}

}  // namespace
}  // namespace coltsfoot::jobs
