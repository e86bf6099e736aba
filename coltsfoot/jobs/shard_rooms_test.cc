#include "coltsfoot/jobs/shard_rooms.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

constexpr resources capacity{.millicores = 64'000, .memory_mb = 100'000};

worker_listing listing(const std::string& id, const std::string& label = "a") {
  return {.id = worker_id{id},
          .service = service_id{"svc"},
          .capacity = capacity,
          .labels = {label, "r1"}};
}

step_spec lasting(std::int64_t millicores) {
  step_spec step{.demand = {.millicores = millicores, .memory_mb = 1'000}};
  step.long_running = true;
  return step;
}

task_need need_of(const step_spec& step, bool has_run = true) {
  return {.step = &step, .service = service_id{"svc"}, .has_run = has_run};
}

TEST(shard_rooms_test, the_shard_with_the_most_places_is_the_best) {
  const std::vector<worker_listing> workers{listing("w0"), listing("w1"), listing("w2"),
                                            listing("w3")};
  shard_rooms rooms{3};
  rooms.add_worker(0, workers[0]);
  rooms.add_worker(1, workers[1]);
  rooms.add_worker(2, workers[2]);
  rooms.add_worker(2, workers[3]);
  const auto step = lasting(17'000);
  EXPECT_EQ(rooms.best_for(need_of(step), 0), 2U);
  EXPECT_EQ(rooms.best_for(need_of(step), 2), 0U);
  rooms.take(worker_id{"w2"}, {.millicores = 50'000});
  rooms.take(worker_id{"w3"}, {.millicores = 50'000});
  EXPECT_EQ(rooms.best_for(need_of(step), 0), 1U);
  rooms.take(worker_id{"w1"}, {.memory_mb = 99'500});
  EXPECT_EQ(rooms.best_for(need_of(step), 0), std::nullopt);
}

TEST(shard_rooms_test, workers_that_run_something_are_preferred_to_idle_ones) {
  const std::vector<worker_listing> workers{listing("w0"), listing("w1"), listing("w2")};
  shard_rooms rooms{3};
  rooms.add_worker(1, workers[0]);
  rooms.add_worker(1, workers[1]);
  rooms.add_worker(2, workers[2]);
  const auto step = lasting(17'000);
  EXPECT_EQ(rooms.best_for(need_of(step), 0), 1U);
  rooms.take(worker_id{"w2"}, {.millicores = 20'000});
  EXPECT_EQ(rooms.best_for(need_of(step), 0), 2U);
}

TEST(shard_rooms_test, a_task_that_needs_no_more_finds_room_wherever_the_other_one_does) {
  const auto small = lasting(5'000);
  const auto large = lasting(9'000);
  EXPECT_TRUE(needs_no_more_than(need_of(small), need_of(large)));
  EXPECT_FALSE(needs_no_more_than(need_of(large), need_of(small)));
  EXPECT_FALSE(needs_no_more_than(need_of(small, false), need_of(large, true)));
}

TEST(shard_rooms_test, reserved_room_is_not_found_again) {
  const auto worker = listing("w");
  shard_rooms rooms{2};
  rooms.add_worker(1, worker);
  const auto step = lasting(30'000);
  EXPECT_TRUE(rooms.reserve(1, need_of(step)));
  EXPECT_EQ(rooms.best_for(need_of(step), 0), 1U);
  EXPECT_TRUE(rooms.reserve(1, need_of(step)));
  EXPECT_EQ(rooms.best_for(need_of(step), 0), std::nullopt);
  EXPECT_FALSE(rooms.reserve(1, need_of(step)));
}

TEST(shard_rooms_test, first_starts_hold_back_other_first_starts_but_no_restart) {
  const auto worker = listing("w");
  shard_rooms rooms{2};
  rooms.add_worker(1, worker);
  const auto step = lasting(30'000);
  EXPECT_TRUE(rooms.reserve(1, need_of(step, false)));
  EXPECT_EQ(rooms.best_for(need_of(lasting(40'000), false), 0), std::nullopt);
  EXPECT_EQ(rooms.best_for(need_of(lasting(40'000)), 0), 1U);
  EXPECT_TRUE(rooms.reserve(1, need_of(step)));
  EXPECT_EQ(rooms.best_for(need_of(lasting(40'000)), 0), std::nullopt);
}

TEST(shard_rooms_test, only_workers_that_may_run_the_task_count) {
  const auto worker = listing("w", "b");
  shard_rooms rooms{2};
  rooms.add_worker(1, worker);
  auto step = lasting(10'000);
  step.required_label = "a";
  EXPECT_EQ(rooms.best_for(need_of(step), 0), std::nullopt);
  step.required_label = "b";
  EXPECT_EQ(rooms.best_for(need_of(step), 0), 1U);
  auto other = need_of(step);
  other.service = service_id{"other"};
  EXPECT_EQ(rooms.best_for(other, 0), std::nullopt);
}

TEST(shard_rooms_test, room_kept_for_short_tasks_is_for_restarts_only) {
  const auto worker = listing("w");
  shard_rooms rooms{2};
  rooms.add_worker(1, worker);
  rooms.take(worker_id{"w"}, {.millicores = 50'000});
  const auto step = lasting(10'000);
  EXPECT_EQ(rooms.best_for(need_of(step, false), 0), std::nullopt);
  EXPECT_EQ(rooms.best_for(need_of(step, true), 0), 1U);
}

}  // namespace
}  // namespace coltsfoot::jobs
