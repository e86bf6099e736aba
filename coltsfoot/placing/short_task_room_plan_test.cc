#include <gtest/gtest.h>

#include "coltsfoot/placing/short_task_room.h"

namespace coltsfoot::jobs {
namespace {

constexpr resources capacity{.millicores = 64'000, .memory_mb = 100'000};
constexpr resources task{.millicores = 13'000, .memory_mb = 100};

worker_id name(int number) {
  return worker_id{"w" + std::to_string(number)};
}

std::vector<long_running_load> workers(const std::vector<std::int64_t>& held) {
  std::vector<long_running_load> loads;
  loads.reserve(held.size());
  for (std::size_t i = 0; i < held.size(); ++i) {
    loads.push_back({.worker = name(static_cast<int>(i)),
                     .capacity_millicores = capacity.millicores,
                     .held_millicores = held[i]});
  }
  return loads;
}

// Whether a long-running task may use a worker on which `held` is taken.
bool admits(const short_task_room& room, int worker, std::int64_t held) {
  return room.admits(name(worker), capacity, capacity - resources{.millicores = held}, task);
}

TEST(short_task_room_plan_test, an_empty_fleet_keeps_whole_workers_and_fills_the_others) {
  short_task_room room;
  room.keep(workers(std::vector<std::int64_t>(12, 0)), {});
  EXPECT_EQ(room.kept_millicores(), 64'000);
  EXPECT_FALSE(admits(room, 0, 0));
  for (int i = 1; i < 12; ++i) EXPECT_TRUE(admits(room, i, 51'000)) << i;
}

// A fleet that was filled before: room collects on few workers in place of being used at once.
TEST(short_task_room_plan_test, a_full_fleet_collects_pieces_on_the_workers_with_most_room) {
  short_task_room room;
  std::vector<std::int64_t> held(12, 52'000);
  held[5] = 39'000;
  held[7] = 26'000;
  room.keep(workers(held), {});
  EXPECT_EQ(room.kept_millicores(), 64'000);
  EXPECT_FALSE(admits(room, 5, held[5]));
  EXPECT_FALSE(admits(room, 7, held[7]));
  EXPECT_TRUE(admits(room, 3, 39'000));
}

TEST(short_task_room_plan_test, short_tasks_that_need_more_get_more_up_to_a_quarter) {
  const auto idle = workers(std::vector<std::int64_t>(20, 0));  // 1,280 processors
  short_task_room room;
  room.keep(idle, {.total = 150'000});
  EXPECT_EQ(room.kept_millicores(), 224'000);
  short_task_room overloaded;
  overloaded.keep(idle, {.total = 2'000'000});
  EXPECT_EQ(overloaded.kept_millicores(), 320'000);
}

TEST(short_task_room_plan_test, each_worker_of_a_small_fleet_keeps_its_part) {
  short_task_room room;
  room.keep(workers({0, 0}), {});
  EXPECT_TRUE(admits(room, 0, 39'000));
  EXPECT_FALSE(admits(room, 0, 50'000));
  EXPECT_FALSE(admits(room, 1, 50'000));
}

TEST(short_task_room_plan_test, a_small_fleet_keeps_one_piece_for_a_short_task_that_waits) {
  short_task_room room;
  room.keep(workers({39'000, 52'000}), {.total = 21'000, .largest_waiting = 21'000});
  EXPECT_FALSE(admits(room, 0, 39'000));
}

// A task that no worker is large enough for must not close the fleet to long-running ones.
TEST(short_task_room_plan_test, a_piece_is_never_larger_than_half_a_worker) {
  short_task_room room;
  room.keep(workers({0}), {.total = 500'000, .largest_waiting = 500'000});
  EXPECT_EQ(room.kept_millicores(), 32'000);
  EXPECT_TRUE(admits(room, 0, 13'000));
}

TEST(short_task_room_plan_test, services_keep_room_on_workers_of_their_own) {
  short_task_room room;
  room.keep(workers(std::vector<std::int64_t>(12, 0)), {});
  room.keep({{.worker = worker_id{"other"}, .capacity_millicores = 64'000}}, {});
  EXPECT_EQ(room.kept_millicores(), 64'000);
  EXPECT_TRUE(room.admits(worker_id{"other"}, capacity, capacity, task));
}

}  // namespace
}  // namespace coltsfoot::jobs
