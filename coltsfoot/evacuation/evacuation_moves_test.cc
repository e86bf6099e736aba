#include "coltsfoot/evacuation/evacuation_moves.h"

#include <gtest/gtest.h>

namespace coltsfoot::jobs {
namespace {

const time_point now{duration{100'000}};
const service_id service{"s"};
const interference_model model{{}};

// Two evacuated workers and one that is not, with room for four tasks each.
class evacuation_moves_test : public ::testing::Test {
 protected:
  evacuation_moves_test() {
    add_worker("a", true);
    add_worker("b", true);
    add_worker("c", false);
  }

  void add_worker(const std::string& name, bool evacuated) {
    const worker_id id{name};
    auto& link = links_.try_emplace(id, id, 1U, now).first->second;
    link.listing = worker_listing{.id = id,
                                  .service = service,
                                  .capacity = {.millicores = 4'000, .memory_mb = 4'000},
                                  .labels = {"l", "r"}};
    link.listed = true;
    link.evacuated = evacuated;
    link.last_contact = now;
    link.newest_report = now;
  }

  void add_job(const std::string& name, step_spec step) {
    step.demand = {.millicores = 1'000, .memory_mb = 100};
    table_.accept({.id = job_id{name}, .service = service, .spec = {.steps = {std::move(step)}}});
  }

  placed_run& run_on(const std::string& worker, const std::string& name, task_index index,
                     std::uint32_t percent) {
    auto& j = *table_.find(job_id{name});
    auto& task = j.tasks[index];
    task.phase = task_phase::assigned;
    ++task.run;
    task.life = {.worker = worker_id{worker}, .incarnation = 1};
    auto run = run_of_step(j.accepted.spec.steps[0], task, now);
    run.phase = start_phase::confirmed;
    run.percent = percent;
    const task_key key{.job = j.accepted.id, .index = index};
    auto& link = links_.at(worker_id{worker});
    link.add(key, std::move(run));
    return link.runs.at(key);
  }

  std::vector<evacuation_move> decide(const evacuation_options& options = {}) const {
    const evacuation_inputs inputs{
        .links = links_,
        .table = table_,
        .model = model,
        .moves = moves_,
        .request_for = [](const job& j, const task_ref& ref) -> placement_request {
          return {.step = &j.step_of(ref), .service = j.accepted.service};
        }};
    return evacuation_moves(inputs, options, now);
  }

  worker_links links_;
  job_table table_;
  moves_in_progress moves_;
};

step_spec long_running(std::uint32_t count, std::uint32_t max_unavailable) {
  return {.count = count, .long_running = true, .max_unavailable = max_unavailable};
}

// Guards against more tasks of a step that are down at a time than the step allows.
TEST_F(evacuation_moves_test, long_running_tasks_move_within_the_bound_of_their_step) {
  add_job("two", long_running(4, 2));
  add_job("one", long_running(2, 0));
  for (task_index i = 0; i < 3; ++i) run_on("a", "two", i, 100);
  run_on("c", "two", 3, 100);
  for (task_index i = 0; i < 2; ++i) run_on("b", "one", i, 100);
  auto moves = decide();
  ASSERT_EQ(moves.size(), 3U);
  EXPECT_EQ(moves[0].key.job.value, "one");
  EXPECT_EQ(moves[1].key.job.value, "two");
  EXPECT_EQ(moves[2].key.job.value, "two");
  EXPECT_EQ(moves[2].unavailable, 2U);
  // A task that is not at work for any other reason counts too.
  links_.at(worker_id{"c"}).runs.at({.job = job_id{"two"}, .index = 3}).percent = 60;
  EXPECT_EQ(decide().size(), 2U);
  table_.find(job_id{"two"})->tasks[3].phase = task_phase::elsewhere;
  EXPECT_EQ(decide().size(), 2U);
  links_.at(worker_id{"a"}).runs.at({.job = job_id{"two"}, .index = 0}).stop_wanted = true;
  EXPECT_EQ(decide().size(), 1U);
}

// Guards against moves that pile up, or that leave tasks without a place.
TEST_F(evacuation_moves_test, moves_are_bounded_by_number_and_by_free_room) {
  add_job("j", long_running(8, 8));
  for (task_index i = 0; i < 4; ++i) run_on("a", "j", i, 100);
  for (task_index i = 4; i < 8; ++i) run_on("b", "j", i, 100);
  EXPECT_EQ(decide().size(), 4U);
  EXPECT_EQ(decide({.most_moves_at_once = 3}).size(), 3U);
  EXPECT_EQ(decide({.most_moves_at_once = 9}).size(), 4U);
  moves_[{.job = job_id{"j"}, .index = 0}] = {.run = 1, .to = worker_id{"c"}, .began = now};
  EXPECT_EQ(decide({.most_moves_at_once = 9}).size(), 3U);
  links_.at(worker_id{"c"}).evacuated = true;
  EXPECT_TRUE(decide().empty());
}

// Guards against moves that cost more than they gain, and against those of a gang.
TEST_F(evacuation_moves_test, tasks_that_end_soon_and_gangs_stay) {
  add_job("short", {.estimate = duration{1'900}});
  add_job("gang", {.estimate = duration{60'000}, .gang = true});
  add_job("late", {.estimate = duration{20'000}});
  add_job("saved", {.estimate = duration{20'000}, .checkpoints = true});
  run_on("a", "short", 0, 0);
  run_on("a", "gang", 0, 0);
  run_on("b", "late", 0, 60);
  auto& saved = run_on("b", "saved", 0, 60);
  EXPECT_TRUE(decide().empty());
  saved.checkpoint = "c1";
  const auto moves = decide();
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].key.job.value, "saved");
  EXPECT_EQ(moves[0].remaining, duration{8'000});
}

// Guards against decisions on old figures and on runs that may not be there.
TEST_F(evacuation_moves_test, only_runs_in_recent_reports_move) {
  add_job("j", long_running(1, 1));
  auto& run = run_on("a", "j", 0, 100);
  auto& link = links_.at(worker_id{"a"});
  EXPECT_EQ(decide().size(), 1U);
  link.failed_looks = 1;
  EXPECT_TRUE(decide().empty());
  link.failed_looks = 0;
  link.newest_report = now - duration{3'000};
  EXPECT_TRUE(decide().empty());
  link.newest_report = now;
  run.phase = start_phase::sent;
  EXPECT_TRUE(decide().empty());
}

// Guards against a slot that a finished move keeps, and one that is free before the task is back.
TEST_F(evacuation_moves_test, a_move_ends_when_the_task_is_at_work_elsewhere) {
  add_job("j", long_running(1, 1));
  const task_key key{.job = job_id{"j"}};
  moves_[key] = {.run = 1, .to = worker_id{"c"}, .began = now};
  const auto drop = [&](duration later) {
    drop_settled_moves(moves_, links_, table_, {}, now + later);
    return moves_.empty();
  };
  table_.find(key.job)->tasks[0].run = 1;
  EXPECT_FALSE(drop(duration{100}));
  auto& run = run_on("c", "j", 0, 50);
  EXPECT_FALSE(drop(duration{200}));
  run.percent = 100;
  EXPECT_TRUE(drop(duration{300}));
  moves_[key] = {.run = 2, .to = worker_id{"c"}, .began = now};
  EXPECT_FALSE(drop(duration{9'000}));
  EXPECT_TRUE(drop(duration{10'000}));
}

}  // namespace
}  // namespace coltsfoot::jobs
