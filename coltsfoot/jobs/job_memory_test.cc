#include "coltsfoot/jobs/job_memory.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr std::size_t limit = 16'000;
constexpr time_point start{duration{1'000}};

std::function<std::size_t()> holds(std::size_t bytes) {
  return [bytes] { return bytes; };
}

// Guards against jobs that together take more than the memory, and against a limit that stays
// reached once jobs are forgotten.
TEST(job_memory_test, jobs_are_accepted_up_to_the_limit) {
  job_memory memory{{.most_bytes = limit}};
  EXPECT_FALSE(memory.admit(1'000, holds(15'500), start));
  EXPECT_TRUE(memory.admit(500, holds(0), start + duration{499})) << "the measure is not repeated";
  EXPECT_FALSE(memory.admit(10, holds(15'500), start + duration{500}));
  EXPECT_TRUE(memory.admit(10, holds(15'000), start + duration{1'000}));
}

// Guards against nodes that each accept all that there is room for.
TEST(job_memory_test, a_node_accepts_a_part_of_the_room_at_a_time) {
  job_memory memory{{.most_bytes = limit}};
  EXPECT_TRUE(memory.admit(3'000, holds(0), start)) << "one job in any case";
  EXPECT_FALSE(memory.admit(10, holds(0), start + duration{1'999}));
  EXPECT_TRUE(memory.admit(500, holds(3'000), start + duration{2'000}));
  EXPECT_TRUE(memory.admit(500, holds(3'000), start + duration{2'001}));
  EXPECT_FALSE(memory.admit(500, holds(3'000), start + duration{2'002}));
}

// Guards against an estimate that leaves out what the tasks take.
TEST(job_memory_test, an_accepted_job_takes_what_was_estimated) {
  const job_spec spec{.payload = std::string(1'000, 'x'),
                      .steps = {{.count = 100}, {.count = 10, .depends_on = {0}}},
                      .repetitions = 3};
  job_table table;
  table.accept({.id = job_id{"j"}, .spec = spec});
  EXPECT_EQ(bytes_of_job(*table.find(job_id{"j"})), bytes_of_job(spec));
  EXPECT_GE(bytes_of_job(spec), 330 * sizeof(task_progress));
}

}  // namespace
}  // namespace coltsfoot::jobs
