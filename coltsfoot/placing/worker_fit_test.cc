#include "coltsfoot/placing/worker_fit.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const service_id service{"s"};

worker_listing worker() {
  return {.service = service,
          .capacity = {.millicores = 8'000, .memory_mb = 1'000, .accelerators = 2},
          .labels = {"a", "r1"}};
}

step_spec step_of(const resources& demand) {
  return {.count = 100, .demand = demand};
}

TEST(worker_fit_test, the_scarcest_resource_decides) {
  EXPECT_EQ(places_on(worker(), step_of({.millicores = 3'000}), service), 2U);
  EXPECT_EQ(places_on(worker(), step_of({.millicores = 3'000, .memory_mb = 900}), service), 1U);
  EXPECT_EQ(places_on(worker(), step_of({.memory_mb = 1'001}), service), 0U);
  EXPECT_EQ(places_on(worker(), step_of({.accelerators = 1}), service), 2U);
}

TEST(worker_fit_test, service_label_and_state_have_to_suit) {
  auto step = step_of({.millicores = 1'000});
  EXPECT_EQ(places_on(worker(), step, service_id{"t"}), 0U);
  step.required_label = "a";
  EXPECT_EQ(places_on(worker(), step, service), 8U);
  step.required_label = "b";
  EXPECT_EQ(places_on(worker(), step, service), 0U);
  auto leaving = worker();
  leaving.draining = true;
  EXPECT_EQ(places_on(leaving, step_of({.millicores = 1'000}), service), 0U);
}

TEST(worker_fit_test, no_more_tasks_of_a_step_than_may_be_on_one_worker) {
  auto step = step_of({.millicores = 1'000});
  step.max_per_worker = 3;
  EXPECT_EQ(places_on(worker(), step, service), 3U);
}

TEST(worker_fit_test, only_a_gang_needs_places_for_all_its_tasks) {
  auto step = step_of({});
  EXPECT_EQ(places_needed(step), 1U);
  step.gang = true;
  EXPECT_EQ(places_needed(step), 100U);
}

}  // namespace
}  // namespace coltsfoot::jobs
