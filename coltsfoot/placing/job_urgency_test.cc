#include "coltsfoot/placing/job_urgency.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const wall_time accepted_at{duration{100'000}};

// Two steps of one second each; the objective is 2 x 2 s + 1 s.
job chain_job() {
  job j;
  j.accepted = {.id = job_id{"j"},
                .queue = queue_id{"q"},
                .slack_factor = 2,
                .latency_target = duration{1'000},
                .accepted_at = accepted_at,
                .spec = {.steps = {{.estimate = duration{1'000}},
                                   {.estimate = duration{1'000}, .depends_on = {0}}}}};
  j.tasks.resize(2);
  j.recount();
  return j;
}

prospect prospect_after(const job& j, duration waited) {
  return urgency_of(j, {}, accepted_at + waited).expected;
}

TEST(job_urgency_test, a_job_is_due_after_its_objective) {
  EXPECT_EQ(due_time(chain_job()), accepted_at + duration{5'000});
}

// Guards against a product of a job's times and its queue's factor that fits into no integer.
TEST(job_urgency_test, the_largest_factors_and_times_keep_the_order_of_jobs) {
  auto j = chain_job();
  for (auto& step : j.accepted.spec.steps) step.estimate = longest_job_time;
  j.accepted.slack_factor = 1e300;
  j.accepted.latency_target = longest_job_time;
  EXPECT_GT(due_time(j), due_time(chain_job()));
  EXPECT_EQ(prospect_after(j, duration{0}), prospect::in_time);
  j.accepted.slack_factor = -1e300;
  EXPECT_GE(due_time(j), accepted_at);
}

TEST(job_urgency_test, the_work_that_is_left_decides_whether_it_can_end_in_time) {
  auto j = chain_job();
  EXPECT_EQ(prospect_after(j, duration{2'900}), prospect::in_time);
  EXPECT_EQ(prospect_after(j, duration{3'100}), prospect::late);
  j.tasks[0].phase = task_phase::done;
  j.recount();
  EXPECT_EQ(prospect_after(j, duration{3'100}), prospect::in_time);
  EXPECT_EQ(prospect_after(j, duration{4'100}), prospect::late);
  EXPECT_EQ(prospect_after(j, duration{20'000}), prospect::overdue);
}

TEST(job_urgency_test, jobs_that_can_end_in_time_go_before_urgent_ones_that_cannot) {
  auto late = chain_job();
  late.accepted.priority = 0;
  auto fresh = chain_job();
  fresh.accepted.priority = 2;
  fresh.accepted.accepted_at += duration{9'000};
  const auto now = accepted_at + duration{9'000};
  EXPECT_LT(urgency_of(fresh, {}, now), urgency_of(late, {}, now));
}

TEST(job_urgency_test, long_running_work_is_never_late) {
  auto j = chain_job();
  j.accepted.spec.steps[0].long_running = true;
  EXPECT_EQ(prospect_after(j, duration{90'000}), prospect::in_time);
}

TEST(job_urgency_test, estimates_that_are_too_low_are_corrected) {
  estimate_correction correction;
  const queue_id queue{"q"};
  for (int i = 0; i < 200; ++i) correction.observe(queue, duration{1'000}, duration{2'000});
  EXPECT_NEAR(correction.factor(queue), 2, 0.05);
  EXPECT_EQ(urgency_of(chain_job(), correction, accepted_at + duration{2'000}).expected,
            prospect::late);
}

}  // namespace
}  // namespace coltsfoot::jobs
