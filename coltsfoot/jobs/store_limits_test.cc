#include "coltsfoot/jobs/store_limits.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

keyed_record record_of(const std::string& key, std::size_t value_bytes) {
  return {.key = key, .value = std::string(value_bytes, 'x')};
}

TEST(store_limits_test, records_that_fit_are_one_append) {
  const std::vector<keyed_record> records{record_of("progress/a", 10), record_of("progress/b", 10)};
  EXPECT_EQ(end_of_append(records, 0, {}), 2U);
  EXPECT_EQ(end_of_append(records, 1, {}), 2U);
}

// Guards against an append that the store refuses for its size each time it is tried.
TEST(store_limits_test, records_beyond_the_limit_go_into_the_next_append) {
  const std::vector<keyed_record> records{record_of("progress/a", 50), record_of("progress/b", 50),
                                          record_of("progress/c", 50)};
  const store_limits limits{.append_bytes = 2 * size_of(records[0]) + 1};
  EXPECT_EQ(end_of_append(records, 0, limits), 2U);
  EXPECT_EQ(end_of_append(records, 2, limits), 3U);
}

// Guards against a successor that reads a copy of a job without its progress, or a removed progress
// without the removal of the job.
TEST(store_limits_test, records_of_one_job_stay_together) {
  const std::vector<keyed_record> records{
      record_of("progress/a", 50), record_of("acceptance/b", 50), record_of("progress/b", 50),
      record_of("handover/b/7", 50), record_of("owner", 50)};
  const store_limits limits{.append_bytes = 150};
  EXPECT_EQ(end_of_append(records, 0, limits), 1U);
  EXPECT_EQ(end_of_append(records, 1, limits), 4U) << "a group beyond the limit goes alone";
  EXPECT_EQ(end_of_append(records, 4, limits), 5U);
}

TEST(store_limits_test, keys_name_their_job) {
  EXPECT_EQ(job_in_key("acceptance/j"), "j");
  EXPECT_EQ(job_in_key("cancellation/j"), "j");
  EXPECT_EQ(job_in_key("progress/j"), "j");
  EXPECT_EQ(job_in_key("handover/j/12"), "j");
  EXPECT_EQ(job_in_key("owner"), "");
  EXPECT_EQ(job_in_key("transfer/w"), "");
}

}  // namespace
}  // namespace coltsfoot::jobs
