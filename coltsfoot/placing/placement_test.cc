#include "coltsfoot/placing/placement.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point now{duration{100'000}};
const service_id service{"s"};

worker_link& add_worker(worker_links& links, const std::string& name, std::string rack = "r1") {
  const worker_id id{name};
  auto& link = links.try_emplace(id, id, 1U, now).first->second;
  link.listing = worker_listing{.id = id,
                                .service = service,
                                .capacity = {.millicores = 64'000, .memory_mb = 250'000},
                                .labels = {"a", std::move(rack)}};
  link.listed = true;
  link.last_contact = now;
  return link;
}

placed_run serving_run(std::string image, std::int64_t millicores, double headroom) {
  return {.phase = start_phase::confirmed,
          .demand = {.millicores = millicores, .memory_mb = 1'000},
          .serves = true,
          .image = std::move(image),
          .response_target = duration{50},
          .headroom = headroom};
}

step_spec short_step(std::int64_t millicores) {
  return {.demand = {.millicores = millicores, .memory_mb = 1'000}};
}

step_spec filling_step(std::string image) {
  auto step = short_step(7'000);
  step.fill = true;
  step.image = std::move(image);
  return step;
}

worker_link* choose(const step_spec& step, worker_links& links, bool restart = false,
                    const interference_model& model = interference_model{{}}) {
  const placement_request request{.step = &step, .service = service, .restart = restart};
  return worker_ranking{request, links, model, now}.best();
}

TEST(placement_test, short_tasks_are_spread) {
  worker_links links;
  add_worker(links, "w1").add({job_id{"j"}, 0}, {.demand = {.millicores = 10'000}});
  add_worker(links, "w2");
  EXPECT_EQ(choose(short_step(6'000), links), &links.at(worker_id{"w2"}));
}

// Guards against tasks that go to a slow worker while others suit as well, and against tasks that
// wait for it to become fast.
TEST(placement_test, a_cold_worker_is_used_when_no_other_suits_as_well) {
  worker_links links;
  auto& cold = add_worker(links, "w1");
  cold.listing->cold_until = now + duration{1'000};
  auto& warm = add_worker(links, "w2");
  warm.add({job_id{"j"}, 0}, {.demand = {.millicores = 50'000}});
  EXPECT_EQ(choose(short_step(6'000), links), &warm);
  EXPECT_EQ(choose(short_step(20'000), links), &cold);
  cold.listing->cold_until = now;
  EXPECT_EQ(choose(short_step(6'000), links), &cold);
}

TEST(placement_test, nothing_goes_to_a_worker_that_drains_or_is_silent_or_avoided) {
  worker_links links;
  auto& link = add_worker(links, "w1");
  const auto step = short_step(1'000);
  EXPECT_EQ(choose(step, links), &link);
  link.listing->draining = true;
  EXPECT_EQ(choose(step, links), nullptr);
  link.listing->draining = false;
  link.failed_looks = 1;
  EXPECT_EQ(choose(step, links), nullptr);
  link.failed_looks = 0;
  link.backoff.on_rejection(now + duration{1});
  EXPECT_EQ(choose(step, links), nullptr);
}

TEST(placement_test, labels_and_the_limit_per_worker_hold) {
  worker_links links;
  auto& first = add_worker(links, "w1", "r1");
  auto& second = add_worker(links, "w2", "r2");
  auto step = short_step(1'000);
  step.required_label = "r2";
  EXPECT_EQ(choose(step, links), &second);
  step.required_label = "";
  step.max_per_worker = 1;
  const placement_request request{
      .step = &step, .service = service, .siblings = {{worker_id{"w2"}, 1}}};
  const interference_model model{{}};
  EXPECT_EQ((worker_ranking{request, links, model, now}.best()), &first);
}

TEST(placement_test, serving_tasks_of_one_image_are_packed) {
  worker_links links;
  add_worker(links, "w1");
  add_worker(links, "w2").add({job_id{"j"}, 0}, serving_run("a", 13'000, 2.5));
  add_worker(links, "w3").add({job_id{"j"}, 1}, serving_run("b", 26'000, 2.5));
  auto step = short_step(13'000);
  step.response_target = duration{50};
  step.image = "a";
  EXPECT_EQ(choose(step, links), &links.at(worker_id{"w2"}));
}

// A long-running task leaves room for short ones, but one that has run before takes what there is.
TEST(placement_test, room_is_kept_for_short_tasks_except_from_restarts) {
  worker_links links;
  add_worker(links, "w1").add({job_id{"j"}, 0}, {.demand = {.millicores = 50'000}});
  auto step = short_step(13'000);
  step.long_running = true;
  EXPECT_EQ(choose(step, links), nullptr);
  EXPECT_NE(choose(step, links, true), nullptr);
  step.long_running = false;
  EXPECT_NE(choose(step, links), nullptr);
}

TEST(placement_test, a_filling_task_keeps_off_serving_tasks_that_it_would_push_over_their_target) {
  worker_links links;
  auto& near_target = add_worker(links, "w1");
  near_target.add({job_id{"j"}, 0}, serving_run("a", 13'000, 1.4));
  EXPECT_EQ(choose(filling_step("f"), links), nullptr);
  auto& at_ease = add_worker(links, "w2");
  at_ease.add({job_id{"j"}, 1}, serving_run("a", 13'000, 2.6));
  EXPECT_EQ(choose(filling_step("f"), links), &at_ease);
}

TEST(placement_test, a_filling_task_goes_where_its_image_disturbs_least) {
  interference_model model{{}};
  for (int i = 0; i < 300; ++i) {
    model.observe("a", 1.2, {{"f", 0.1}});
    model.observe("b", 2.5, {{"f", 0.1}});
  }
  worker_links links;
  add_worker(links, "w1").add({job_id{"j"}, 0}, serving_run("a", 13'000, 2.6));
  add_worker(links, "w2").add({job_id{"j"}, 1}, serving_run("b", 20'000, 2.6));
  EXPECT_EQ(choose(filling_step("f"), links, false, model), &links.at(worker_id{"w2"}));
}

TEST(placement_test, a_step_is_spread_with_one_ranking_of_the_workers) {
  worker_links links;
  for (int i = 0; i < 4; ++i) add_worker(links, "w" + std::to_string(i));
  const auto step = short_step(6'000);
  const placement_request request{.step = &step, .service = service};
  const interference_model model{{}};
  worker_ranking ranking{request, links, model, now};
  for (std::uint32_t task = 0; task < 8; ++task) {
    auto* chosen = ranking.best();
    ASSERT_NE(chosen, nullptr);
    chosen->add({job_id{"j"}, task}, {.demand = {.millicores = 6'000}});
    ranking.reconsider_best();
  }
  for (const auto& [id, link] : links) EXPECT_EQ(link.runs.size(), 2U) << id.value;
}

TEST(placement_test, a_worker_that_is_full_leaves_the_ranking) {
  worker_links links;
  add_worker(links, "w");
  const auto step = short_step(40'000);
  const placement_request request{.step = &step, .service = service};
  const interference_model model{{}};
  worker_ranking ranking{request, links, model, now};
  ASSERT_NE(ranking.best(), nullptr);
  ranking.best()->add({job_id{"j"}, 0}, {.demand = {.millicores = 40'000}});
  ranking.reconsider_best();
  EXPECT_EQ(ranking.best(), nullptr);
}

TEST(placement_test, room_follows_the_pace_of_filling_tasks) {
  worker_links links;
  auto& link = add_worker(links, "w");
  const task_key key{job_id{"f"}, 0};
  link.add(key, {.fill_millicores = 30'000});
  const auto at_full_speed = link.idle_millicores();
  link.set_pace(link.runs.at(key), 50);
  EXPECT_EQ(link.idle_millicores(), at_full_speed + 15'000);
  link.remove(key);
  EXPECT_EQ(link.idle_millicores(), at_full_speed + 30'000);
}

// A log line that names the wrong obstacle would send the reader to the wrong cause.
TEST(placement_test, the_obstacle_to_a_task_is_told_by_its_kind) {
  worker_links links;
  auto& link = add_worker(links, "w1");
  auto step = short_step(60'000);
  step.long_running = true;
  placement_request request{.step = &step, .service = service};
  const interference_model model{{}};
  const auto obstacle = [&] { return obstacle_to(request, link, model, now); };
  EXPECT_EQ(obstacle(), placing_obstacle::kept_room);
  request.restart = true;
  EXPECT_EQ(obstacle(), std::nullopt);
  step.demand.memory_mb = 250'001;
  EXPECT_EQ(obstacle(), placing_obstacle::memory);
  step.demand = {.millicores = 64'001};
  EXPECT_EQ(obstacle(), placing_obstacle::processors);
  step.max_per_worker = 1;
  request.siblings[link.life.worker] = 1;
  EXPECT_EQ(obstacle(), placing_obstacle::worker_limit);
  step.required_label = "b";
  EXPECT_EQ(obstacle(), placing_obstacle::wrong_kind);
  link.failed_looks = 1;
  EXPECT_EQ(obstacle(), placing_obstacle::silent);
  link.backoff.on_rejection(now + duration{1});
  EXPECT_EQ(obstacle(), placing_obstacle::avoided);
  link.listing->draining = true;
  EXPECT_EQ(obstacle(), placing_obstacle::draining);
  link.listed = false;
  EXPECT_EQ(obstacle(), placing_obstacle::unlisted);
}

}  // namespace
}  // namespace coltsfoot::jobs
