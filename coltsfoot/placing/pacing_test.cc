#include "coltsfoot/placing/pacing.h"

#include <gtest/gtest.h>

#include <utility>

namespace coltsfoot::jobs {
namespace {

const time_point now{duration{100'000}};

worker_link worker() {
  const worker_id id{"w"};
  worker_link link{id, 1, now};
  link.listing = worker_listing{.id = id, .capacity = {.millicores = 64'000, .memory_mb = 250'000}};
  return link;
}

placed_run serving(double headroom) {
  return {.phase = start_phase::confirmed,
          .demand = {.millicores = 13'000},
          .serves = true,
          .image = "search",
          .response_target = duration{50},
          .headroom = headroom};
}

placed_run filling(std::string image, std::uint32_t pace) {
  return {.phase = start_phase::confirmed,
          .fill_millicores = 7'000,
          .image = std::move(image),
          .pace = pace};
}

const task_key server{job_id{"s"}, 0};
const task_key light{job_id{"f"}, 0};
const task_key heavy{job_id{"f"}, 1};

std::uint32_t percent_of(const std::vector<pace_change>& changes, const task_key& key,
                         std::uint32_t otherwise) {
  for (const auto& change : changes) {
    if (change.key == key) return change.percent;
  }
  return otherwise;
}

// A model that has seen the heavy image take most of the headroom, and the light one none.
interference_model taught() {
  interference_model model{{}};
  for (int i = 0; i < 200; ++i) {
    model.observe("search", 2.5, {});
    model.observe("search", 0.9, {{"heavy", 0.11}});
    model.observe("search", 2.5, {{"light", 0.11}});
  }
  return model;
}

TEST(pacing_test, the_image_that_disturbs_most_is_slowed_first) {
  auto link = worker();
  link.add(server, serving(1.0));
  link.add(light, filling("light", 100));
  link.add(heavy, filling("heavy", 100));
  const auto changes = pacing_changes(link, taught(), {}, {}, now);
  EXPECT_LT(percent_of(changes, heavy, 100), 90U);
  EXPECT_EQ(percent_of(changes, light, 100), 100U);
}

TEST(pacing_test, filling_tasks_are_let_go_while_there_is_headroom) {
  auto link = worker();
  link.add(server, serving(2.4));
  link.add(light, filling("light", 40));
  EXPECT_EQ(percent_of(pacing_changes(link, taught(), {}, {}, now), light, 40), 100U);
}

TEST(pacing_test, a_change_has_time_to_show) {
  auto link = worker();
  link.add(server, serving(0.8));
  link.add(heavy, filling("heavy", 100));
  link.paced_at = now - duration{100};
  EXPECT_TRUE(pacing_changes(link, taught(), {}, {}, now).empty());
}

// A step ends with its slowest task: the last one goes on while another is slowed instead.
TEST(pacing_test, of_tasks_that_disturb_equally_the_last_of_a_step_is_slowed_last) {
  const task_key other{job_id{"g"}, 0};
  auto link = worker();
  link.add(server, serving(0.95));
  link.add(heavy, filling("heavy", 100));
  link.add(other, filling("heavy", 100));
  for (const auto& [last, wide] : {std::pair{heavy, other}, std::pair{other, heavy}}) {
    const auto changes = pacing_changes(link, taught(), {}, {last}, now);
    EXPECT_EQ(percent_of(changes, last, 100), 100U);
    EXPECT_LT(percent_of(changes, wide, 100), 90U);
  }
}

TEST(pacing_test, the_last_of_a_step_is_let_go_first) {
  const task_key other{job_id{"g"}, 0};
  auto link = worker();
  link.add(server, serving(1.9));
  link.add(heavy, filling("heavy", 20));
  link.add(other, filling("heavy", 20));
  for (const auto& [last, wide] : {std::pair{heavy, other}, std::pair{other, heavy}}) {
    const auto changes = pacing_changes(link, taught(), {}, {last}, now);
    EXPECT_GT(percent_of(changes, last, 20), percent_of(changes, wide, 20));
  }
}

// A task that disturbs much is slowed before others, whatever its step waits for.
TEST(pacing_test, the_last_of_a_step_is_slowed_if_it_disturbs_most) {
  auto link = worker();
  link.add(server, serving(1.0));
  link.add(light, filling("light", 100));
  link.add(heavy, filling("heavy", 100));
  const auto changes = pacing_changes(link, taught(), {}, {heavy}, now);
  EXPECT_LT(percent_of(changes, heavy, 100), 90U);
  EXPECT_EQ(percent_of(changes, light, 100), 100U);
}

// The model expects little of an image; the reports say otherwise for longer than a user bears.
TEST(pacing_test, a_serving_task_that_stays_over_its_target_halts_all_filling_tasks) {
  auto link = worker();
  auto over = serving(0.9);
  over.over_since = now - duration{2'500};
  link.add(server, over);
  link.add(light, filling("light", 60));
  link.add(heavy, filling("heavy", 30));
  link.paced_at = now - duration{100};
  const auto changes = pacing_changes(link, taught(), {}, {}, now);
  EXPECT_EQ(percent_of(changes, light, 60), 0U);
  EXPECT_EQ(percent_of(changes, heavy, 30), 0U);
}

}  // namespace
}  // namespace coltsfoot::jobs
