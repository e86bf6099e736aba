#include "coltsfoot/relocation/room_claims.h"

#include <gtest/gtest.h>

namespace coltsfoot::relocation {
namespace {

using jobs::job_urgency;
using jobs::prospect;

constexpr std::size_t workers = 32;  // two slow runs are ignored
const service_id service{"s"};

job_urgency in_time(std::int64_t due_ms) {
  return {.expected = prospect::in_time, .due = wall_time{duration{due_ms}}};
}

job_urgency late(std::int64_t due_ms) {
  return {.expected = prospect::late, .due = wall_time{duration{due_ms}}};
}

TEST(room_claims_test, first_starts_do_not_wait_without_slow_runs) {
  const room_claims claims;
  EXPECT_FALSE(claims.hold_back(service, in_time(1'000)));
}

// Guards against first starts that take each free place while runs stay slow.
TEST(room_claims_test, a_first_start_waits_for_slow_runs_of_more_urgent_jobs) {
  room_claims claims;
  claims.renew({{service, {in_time(100), in_time(300), in_time(200)}}}, workers);
  EXPECT_TRUE(claims.hold_back(service, in_time(400)));
  EXPECT_TRUE(claims.hold_back(service, late(50)));
  EXPECT_FALSE(claims.hold_back(service, in_time(300))) << "as urgent";
  EXPECT_FALSE(claims.hold_back(service, in_time(50)));
}

// Guards against jobs that miss their objective for runs that have missed theirs.
TEST(room_claims_test, a_job_that_can_end_in_time_does_not_wait_for_late_ones) {
  room_claims claims;
  claims.renew({{service, {late(100), late(200), late(300), in_time(10), in_time(20)}}}, workers);
  EXPECT_FALSE(claims.hold_back(service, in_time(400)));
  EXPECT_TRUE(claims.hold_back(service, late(400)));
}

// Guards against a fleet that waits for a run which fits nowhere.
TEST(room_claims_test, few_slow_runs_hold_back_nothing) {
  room_claims claims;
  claims.renew({{service, {in_time(100), in_time(200)}}}, workers);
  EXPECT_FALSE(claims.hold_back(service, late(400)));
}

// Guards against a service whose workers are idle while another one's are full.
TEST(room_claims_test, slow_runs_hold_back_their_own_service_only) {
  room_claims claims;
  claims.renew({{service, {in_time(1), in_time(2), in_time(3)}}}, workers);
  EXPECT_TRUE(claims.hold_back(service, in_time(4)));
  EXPECT_FALSE(claims.hold_back(service_id{"other"}, in_time(4)));
  claims.clear();
  EXPECT_FALSE(claims.hold_back(service, in_time(4)));
}

TEST(room_claims_test, claims_end_with_the_pass_that_finds_no_slow_run) {
  room_claims claims;
  claims.renew({{service, {in_time(100), in_time(200), in_time(300)}}}, workers);
  claims.renew({}, workers);
  EXPECT_FALSE(claims.hold_back(service, late(400)));
}

}  // namespace
}  // namespace coltsfoot::relocation
