#include "coltsfoot/jobs/shard_balance.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr resources worker{.millicores = 64'000, .memory_mb = 250'000};
constexpr wall_time wall{duration{50'000}};

// A shard of `workers` workers of which tasks want `share`.
shard_load shard_with(std::size_t workers, double share) {
  shard_load load{.workers = workers};
  for (std::size_t i = 0; i < workers; ++i) load.capacity += worker;
  load.wanted.millicores =
      static_cast<std::int64_t>(share * static_cast<double>(load.capacity.millicores));
  return load;
}

job job_with(step_spec step) {
  job_table table;
  table.accept({.id = job_id{"j"}, .spec = {.steps = {std::move(step)}}});
  return *table.find(job_id{"j"});
}

TEST(shard_balance_test, the_fullest_shard_gets_a_worker) {
  const std::vector<shard_load> loads{shard_with(100, 0.6), shard_with(100, 0.95),
                                      shard_with(100, 1.1)};
  EXPECT_EQ(shard_in_need(loads, 0, worker), 2U);
}

TEST(shard_balance_test, nobody_gives_while_all_have_room) {
  const std::vector<shard_load> loads{shard_with(100, 0.1), shard_with(100, 0.84)};
  EXPECT_EQ(shard_in_need(loads, 0, worker), std::nullopt);
}

TEST(shard_balance_test, a_shard_that_is_nearly_as_full_gives_nothing) {
  const std::vector<shard_load> loads{shard_with(100, 0.93), shard_with(100, 0.95)};
  EXPECT_EQ(shard_in_need(loads, 0, worker), std::nullopt);
  EXPECT_EQ(shard_in_need(loads, 1, worker), std::nullopt);
}

// A worker that goes to and fro serves nobody while it is emptied.
TEST(shard_balance_test, a_worker_that_was_given_is_not_given_back) {
  std::vector<shard_load> loads{shard_with(100, 0.7), shard_with(100, 1.0)};
  while (shard_in_need(loads, 0, worker)) move_worker(loads, 0, 1, worker);
  EXPECT_GT(loads[1].workers, 100U);
  EXPECT_EQ(shard_in_need(loads, 1, worker), std::nullopt);
}

TEST(shard_balance_test, the_last_worker_stays_and_an_owner_gets_no_more_than_it_can_serve) {
  EXPECT_EQ(shard_in_need({shard_with(1, 0), shard_with(1, 5)}, 0, worker), std::nullopt);
  EXPECT_EQ(shard_in_need({shard_with(300, 0), shard_with(192, 5)}, 0, worker), std::nullopt);
}

TEST(shard_balance_test, an_idle_shard_keeps_half_of_an_even_part) {
  std::vector<shard_load> loads{shard_with(4, 0), shard_with(4, 5), shard_with(4, 5),
                                shard_with(4, 5)};
  int given = 0;
  while (const auto needy = shard_in_need(loads, 0, worker)) {
    move_worker(loads, 0, *needy, worker);
    ++given;
  }
  EXPECT_EQ(given, 2);
}

TEST(shard_balance_test, a_shard_without_any_worker_is_in_need) {
  EXPECT_EQ(shard_in_need({shard_with(3, 0.5), shard_load{.wanted = worker}}, 0, worker), 1U);
}

// One such entry would draw workers away from a shard that has no room to spare.
TEST(shard_balance_test, boundless_capacity_is_not_plausible) {
  const std::vector<resources> capacities{
      worker, worker, worker, {.millicores = 1'000'000'000, .memory_mb = 1}};
  const auto plausible = plausible_capacity(capacities);
  EXPECT_TRUE(worker.fits_in(plausible));
  EXPECT_FALSE(capacities.back().fits_in(plausible));
  EXPECT_EQ(plausible_capacity({}), resources{});
}

TEST(shard_balance_test, tasks_that_fill_or_fit_nowhere_want_no_room) {
  step_spec step{.count = 3, .demand = {.millicores = 8'000, .memory_mb = 1'000}};
  EXPECT_EQ(wanted_room(job_with(step), worker, wall).millicores, 24'000);
  step.fill = true;
  EXPECT_EQ(wanted_room(job_with(step), worker, wall), resources{});
  step.fill = false;
  step.demand.millicores = 64'001;
  EXPECT_EQ(wanted_room(job_with(step), worker, wall), resources{});
}

TEST(shard_balance_test, jobs_that_have_ended_or_are_cancelled_want_no_room) {
  auto j = job_with({.count = 3, .demand = {.millicores = 8'000}});
  j.cancel_requested = true;
  EXPECT_EQ(wanted_room(j, worker, wall), resources{});
  j.cancel_requested = false;
  j.outcome = job_outcome::completed;
  EXPECT_EQ(wanted_room(j, worker, wall), resources{});
}

}  // namespace
}  // namespace coltsfoot::jobs
