#include "coltsfoot/relocation/slow_runs.h"

#include <gtest/gtest.h>

#include <string>

namespace coltsfoot::relocation {
namespace {

using jobs::job_id;
using jobs::placed_run;
using jobs::start_phase;
using jobs::step_spec;
using jobs::task_key;

const time_point now{duration{100'000}};
constexpr duration estimate{10'000};
constexpr duration age{4'000};  // of the runs
const service_id service{"s"};

step_spec fill_step(std::uint32_t count) {
  return {.count = count,
          .demand = {.millicores = 7'000, .memory_mb = 1'000},
          .estimate = estimate,
          .checkpoints = true,
          .fill = true,
          .image = "sort"};
}

// Jobs with one fill step each, and workers. Runs have worked for `age`.
class slow_runs_test : public ::testing::Test {
 protected:
  slow_runs_test() { add_job("j", fill_step(4)); }

  void add_job(const std::string& name, const step_spec& step) {
    table_.accept({.id = job_id{name}, .service = service, .spec = {.steps = {step}}});
  }

  jobs::worker_link& add_worker(const std::string& name) {
    auto& link = links_.try_emplace(worker_id{name}, worker_id{name}, 1, now).first->second;
    link.listing = jobs::worker_listing{.id = worker_id{name},
                                        .service = service,
                                        .capacity = {.millicores = 64'000, .memory_mb = 250'000}};
    link.listed = true;
    link.last_contact = now;
    link.newest_report = now - duration{300};
    return link;
  }

  // A run that was told to work at `pace` and has done `percent` since its start.
  placed_run& add_run(const std::string& worker, const task_key& key, std::uint32_t pace,
                      std::uint32_t percent) {
    auto* j = table_.find(key.job);
    auto& task = j->tasks[key.index];
    task.phase = jobs::task_phase::assigned;
    task.run = 1;
    auto run = jobs::run_of_step(j->accepted.spec.steps[0], task, now - age);
    run.phase = start_phase::confirmed;
    run.pace = pace;
    run.percent = percent;
    run.progress.begin(0, pace, now - age);
    constexpr int reports = 10;
    for (int i = 1; i <= reports; ++i) {
      run.progress.observe(percent * i / reports, pace, now - age + age * i / reports);
    }
    auto& link = links_.at(worker_id{worker});
    link.add(key, std::move(run));
    return link.runs.at(key);
  }

  std::vector<run_move> choose(std::size_t most = 4) {
    slow_run_finder finder{options_};
    return finder.choose({links_, table_, model_, speeds_, correction_, wall_time{}}, most, now);
  }

  // A slow run and a worker with room for it.
  placed_run& add_slow_run() {
    add_worker("busy");
    add_worker("spare");
    return add_run("busy", first_, 20, 8);
  }

  const task_key first_{job_id{"j"}, 0};
  const task_key second_{job_id{"j"}, 1};
  relocation_options options_{.restore = duration{300}};
  jobs::job_table table_;
  jobs::worker_links links_;
  jobs::interference_model model_{{}};
  typical_speeds speeds_;
  jobs::estimate_correction correction_;
};

TEST_F(slow_runs_test, a_run_that_is_paced_down_moves_to_a_worker_with_room) {
  add_slow_run();
  const auto moves = choose();
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].from, worker_id{"busy"});
  EXPECT_EQ(moves[0].to, worker_id{"spare"});
  // 92 percent are left, at 2 percent/s here and at 10 percent/s there.
  EXPECT_NEAR(static_cast<double>(moves[0].here.count()), 46'000, 6'000);
  EXPECT_NEAR(static_cast<double>(moves[0].there.count()), 9'750, 1'000);
}

TEST_F(slow_runs_test, nothing_moves_without_the_setting) {
  options_.restore = duration{0};
  add_slow_run();
  EXPECT_TRUE(choose().empty());
}

// The estimate of the task is wrong, and it would take as long elsewhere.
TEST_F(slow_runs_test, a_long_task_at_full_pace_stays) {
  add_worker("busy");
  add_worker("spare");
  add_run("busy", first_, 100, 19);   // takes twice its estimate
  add_run("busy", second_, 100, 40);  // as estimated
  EXPECT_TRUE(choose().empty());
}

// A fast run without a report for a second looked like one that stands still.
TEST_F(slow_runs_test, the_time_since_the_newest_report_does_not_count) {
  add_worker("busy");
  add_worker("spare");
  auto& run = add_run("busy", first_, 100, 21);
  run.progress.begin(0, 100, now - age);
  run.progress.observe(21, 100, now - duration{1'900});
  links_.at(worker_id{"busy"}).newest_report = now - duration{1'900};
  EXPECT_TRUE(choose().empty());
}

// Serving tasks take more of the processors than the pace says.
TEST_F(slow_runs_test, a_run_that_is_pressed_beyond_its_pace_moves) {
  add_worker("busy");
  add_worker("spare");
  add_run("busy", first_, 100, 3);
  EXPECT_EQ(choose().size(), 1U);
}

TEST_F(slow_runs_test, a_run_that_was_halted_from_the_start_moves) {
  add_worker("busy");
  add_worker("spare");
  add_run("busy", first_, 0, 0);
  EXPECT_EQ(choose().size(), 1U);
}

TEST_F(slow_runs_test, a_run_near_its_end_stays) {
  add_worker("busy");
  add_worker("spare");
  add_run("busy", first_, 30, 97);
  EXPECT_TRUE(choose().empty());
}

TEST_F(slow_runs_test, a_run_that_is_being_stopped_stays) {
  add_slow_run().stop_wanted = true;
  EXPECT_TRUE(choose().empty());
}

TEST_F(slow_runs_test, a_task_that_was_moved_has_time_to_work) {
  auto& run = add_slow_run();
  run.moves = 2;
  run.began = now - duration{3'900};
  EXPECT_TRUE(choose().empty());
  run.began = now - duration{4'000};
  EXPECT_EQ(choose().size(), 1U);
  run.moves = options_.most_moves_of_task;
  EXPECT_TRUE(choose().empty());
}

TEST_F(slow_runs_test, nothing_is_decided_from_old_reports) {
  add_slow_run();
  auto& link = links_.at(worker_id{"busy"});
  link.newest_report = now - duration{2'001};
  EXPECT_TRUE(choose().empty());
  link.newest_report = now;
  link.failed_looks = 1;
  EXPECT_TRUE(choose().empty());
}

TEST_F(slow_runs_test, gangs_and_tasks_that_would_lose_most_of_their_work_stay) {
  auto gang = fill_step(2);
  gang.gang = true;
  auto unsaved = fill_step(2);
  unsaved.checkpoints = false;
  add_job("gang", gang);
  add_job("unsaved", unsaved);
  add_worker("busy");
  add_worker("spare");
  add_run("busy", {job_id{"gang"}, 0}, 10, 4);
  add_run("busy", {job_id{"unsaved"}, 0}, 5, 55);
  EXPECT_TRUE(choose().empty());
  add_run("busy", {job_id{"unsaved"}, 1}, 5, 2);
  EXPECT_EQ(choose().size(), 1U);
}

TEST_F(slow_runs_test, a_move_needs_a_steady_worker_with_room_at_full_pace) {
  add_slow_run();
  auto& spare = links_.at(worker_id{"spare"});
  spare.paced_at = now - duration{500};
  EXPECT_TRUE(choose().empty()) << "paces change there";
  spare.paced_at = {};
  spare.add({job_id{"k"}, 0}, {.demand = {.millicores = 60'000}});
  EXPECT_TRUE(choose().empty()) << "its processors are used";
  spare.remove({job_id{"k"}, 0});
  spare.add({job_id{"k"}, 1}, {.serves = true, .image = "search", .headroom = 1.4});
  EXPECT_TRUE(choose().empty()) << "a serving task there would miss its target";
}

TEST_F(slow_runs_test, the_last_task_of_a_step_goes_first_and_moves_are_bounded) {
  add_job("last", fill_step(1));
  add_worker("busy");
  for (const auto* name : {"spare1", "spare2", "spare3"}) add_worker(name);
  add_run("busy", first_, 20, 8);
  add_run("busy", second_, 20, 8);
  add_run("busy", {job_id{"last"}, 0}, 25, 10);
  EXPECT_EQ(choose(0).size(), 0U);
  const auto moves = choose(2);
  ASSERT_EQ(moves.size(), 2U);
  EXPECT_EQ(moves[0].key.job, job_id{"last"});
  EXPECT_NE(moves[0].to, moves[1].to);
}

// Guards against slow runs that stay where they are without a trace.
TEST_F(slow_runs_test, each_slow_run_that_stays_is_counted_by_its_reason) {
  using counts_by_reason = std::map<stay_reason, std::size_t>;
  slow_run_finder finder{options_};
  const auto staying = [&](std::size_t most) {
    finder.choose({links_, table_, model_, speeds_, correction_, wall_time{}}, most, now);
    return finder.counts().staying;
  };
  auto& run = add_slow_run();
  EXPECT_EQ(staying(4), counts_by_reason{});
  EXPECT_EQ(finder.counts().moved, 1U);
  EXPECT_EQ(staying(0), (counts_by_reason{{stay_reason::not_sought, 1}}));
  EXPECT_TRUE(finder.without_room().empty()) << "it could not move, whatever room there was";
  add_run("busy", second_, 20, 8);
  links_.at(worker_id{"spare"}).paced_at = now - duration{500};
  EXPECT_EQ(staying(4), (counts_by_reason{{stay_reason::no_room, 2}}));
  EXPECT_EQ(finder.counts().slow, 2U);
  EXPECT_EQ(finder.without_room().at(service).size(), 2U);
  run.began = now - duration{500};
  links_.at(worker_id{"busy"}).runs.at(second_).moves = options_.most_moves_of_task;
  EXPECT_EQ(staying(4), (counts_by_reason{{stay_reason::young, 1}, {stay_reason::moved_often, 1}}));
}

// Working far from the data explains a slow run; a worker that is no nearer would not help.
TEST_F(slow_runs_test, a_run_far_from_its_data_moves_only_to_a_nearer_worker) {
  auto far = fill_step(1);
  far.data_label = "r1";
  add_job("far", far);
  add_worker("busy");
  add_worker("spare");
  add_run("busy", {job_id{"far"}, 0}, 100, 8);
  EXPECT_TRUE(choose().empty());
}

}  // namespace
}  // namespace coltsfoot::relocation
