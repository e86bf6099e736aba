// Room for short tasks in a fleet that long-running tasks fill.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

const worker_id worker{"w"};

class short_task_room_test : public ::testing::Test {
 protected:
  void answer_look(std::vector<ended_row> ended) {
    owner_->on_look_answer(
        {.worker = worker, .incarnation = 1},
        {.verdict = order_verdict::accepted,
         .report = {.clock = 1'000, .incarnation = 1, .ended = std::move(ended)}},
        now_, now_);
  }

  void record() {
    owner_->take_batch();
    owner_->on_batch_recorded(now_);
  }

  time_point now_{duration{100'000}};
  wall_time wall_{duration{100'000}};
  std::optional<job_owner> owner_;
};

// The load: long-running tasks for more than the worker has, which end one by one, and short tasks
// that need more than a tenth of the worker. Whenever one ended, another long-running one took its
// place, and no short task ever ran.
TEST_F(short_task_room_test, room_that_long_running_tasks_give_back_goes_to_short_ones_that_wait) {
  const job_id lasting{"lasting"};
  const job_id short_job{"short"};
  const auto step = [](std::int64_t millicores, std::uint32_t count, bool long_running) {
    return step_spec{.count = count,
                     .demand = {.millicores = millicores, .memory_mb = 100},
                     .estimate = duration{800},
                     .long_running = long_running};
  };
  job_table table;
  table.accept({.id = lasting,
                .service = service_id{"s"},
                .spec = {.payload = "p", .steps = {step(13'000, 8, true)}}});
  owner_.emplace(job_owner_options{}, 1, table, now_, wall_, log_sink{});
  owner_->on_accepted(lasting, now_);
  owner_->on_listing({.id = worker,
                      .incarnation = 1,
                      .service = service_id{"s"},
                      .address = "a",
                      .capacity = {.millicores = 64'000, .memory_mb = 10'000},
                      .labels = {"a", "r"}},
                     now_);
  answer_look({});
  owner_->place(now_, wall_);
  record();
  const auto& tasks = table.find(lasting)->tasks;
  const auto assigned = [&] {
    return std::count_if(tasks.begin(), tasks.end(),
                         [](const auto& task) { return task.phase == task_phase::assigned; });
  };
  ASSERT_EQ(assigned(), 4);  // 52 of 64 processors
  table.accept({.id = short_job,
                .service = service_id{"s"},
                .spec = {.payload = "p", .steps = {step(21'000, 1, false)}}});
  owner_->on_accepted(short_job, now_);
  now_ += duration{100};
  owner_->place(now_, wall_);
  ASSERT_EQ(table.find(short_job)->tasks[0].phase, task_phase::waiting);
  // One of the long-running tasks leaves for good: its job takes no notice of an end that is done.
  const auto left = std::find_if(tasks.begin(), tasks.end(), [](const auto& task) {
    return task.phase == task_phase::assigned;
  });
  const auto index = static_cast<std::uint32_t>(left - tasks.begin());
  auto& mutable_task = table.find(lasting)->tasks[index];
  answer_look({{.number = 1,
                .run = {.task = {.job = lasting, .index = index}, .run = 1},
                .end = run_end::failed}});
  mutable_task.phase = task_phase::elsewhere;
  now_ += duration{100};
  owner_->place(now_, wall_);
  EXPECT_EQ(table.find(short_job)->tasks[0].phase, task_phase::assigned);
  EXPECT_EQ(assigned(), 3);
}

// An owner of several workers of 64 processors, and jobs of one step.
class full_fleet_test : public ::testing::Test {
 protected:
  void add_workers(int count) {
    for (int i = 0; i < count; ++i) {
      const worker_id id{"w" + std::to_string(i)};
      owner_.on_listing({.id = id,
                         .incarnation = 1,
                         .service = service_id{"s"},
                         .address = "a",
                         .capacity = {.millicores = 64'000, .memory_mb = 100'000},
                         .labels = {"a", "r"}},
                        now_);
      handle_orders();
      answer_looks();
    }
  }

  // Answers all looks that have no answer yet. Workers on which something runs are not meant.
  void answer_looks() {
    for (const auto& [life, sent_at] : std::exchange(looks_, {})) {
      owner_.on_look_answer(life,
                            {.verdict = order_verdict::accepted,
                             .report = {.clock = 1'000, .incarnation = life.incarnation}},
                            sent_at, now_);
    }
    handle_orders();
  }

  const job& submit(const std::string& id, const step_spec& step) {
    table_.accept(
        {.id = job_id{id}, .service = service_id{"s"}, .spec = {.payload = "p", .steps = {step}}});
    owner_.on_accepted(job_id{id}, now_);
    return *table_.find(job_id{id});
  }

  // Several passes, as the start window admits only some starts in each.
  void place() {
    for (int pass = 0; pass < 8; ++pass) {
      now_ += duration{20};
      owner_.place(now_, wall_);
      owner_.take_batch();
      owner_.on_batch_recorded(now_);
      handle_orders();
    }
  }

  static std::int64_t assigned(const job& j) {
    return std::count_if(j.tasks.begin(), j.tasks.end(),
                         [](const auto& task) { return task.phase == task_phase::assigned; });
  }

  time_point now_{duration{100'000}};
  wall_time wall_{duration{100'000}};
  std::vector<std::string> lines_;
  job_table table_;
  job_owner owner_{
      job_owner_options{}, 1, table_, now_, wall_, [this](severity, const std::string& line) {
        lines_.push_back(line);
      }};

 private:
  void handle_orders() {
    for (const auto& order : owner_.take_orders()) {
      if (std::holds_alternative<look_order>(order.order)) looks_[order.life] = now_;
      const auto* start = std::get_if<start_order>(&order.order);
      if (start == nullptr) continue;
      owner_.on_start_answer(order.life, start->run, {.verdict = order_verdict::accepted}, now_);
    }
  }

  std::map<worker_life, time_point> looks_;  // without an answer, by when they were sent
};

step_spec lasting_step(std::int64_t millicores, std::uint32_t count) {
  return {.count = count,
          .demand = {.millicores = millicores, .memory_mb = 100},
          .estimate = duration{800},
          .long_running = true};
}

step_spec short_step(std::int64_t millicores, std::uint32_t count) {
  auto step = lasting_step(millicores, count);
  step.long_running = false;
  return step;
}

// Room that was kept evenly on all workers was in pieces smaller than any of the short tasks.
TEST_F(full_fleet_test, short_tasks_of_a_third_of_a_worker_find_room_beside_long_running_ones) {
  add_workers(12);
  submit("lasting", lasting_step(13'000, 60));
  place();
  const auto& short_job = submit("short", short_step(21'000, 3));
  place();
  EXPECT_EQ(assigned(short_job), 3);
}

// A long-running task that had to leave room counted as proof that no larger task fits.
TEST_F(full_fleet_test, a_long_running_task_that_must_leave_room_does_not_hold_back_short_ones) {
  add_workers(1);
  const auto& lasting = submit("lasting", lasting_step(10'000, 8));
  place();
  ASSERT_EQ(assigned(lasting), 5);
  const auto& short_job = submit("short", short_step(12'000, 1));
  place();
  EXPECT_EQ(assigned(short_job), 1);
}

// Without the line, nobody can tell what a short task waits for.
TEST_F(full_fleet_test, a_short_task_that_waits_long_leaves_a_log_line_with_the_obstacles) {
  add_workers(2);
  submit("short", short_step(65'000, 3));
  place();
  now_ += duration{2'000};
  answer_looks();
  owner_.tick(now_, wall_);
  const auto found = std::find_if(lines_.begin(), lines_.end(), [](const std::string& line) {
    return line.starts_with("event=task_waits job=short");
  });
  ASSERT_NE(found, lines_.end());
  EXPECT_NE(found->find("tasks=3 long_running=false fill=false millicores=65000"),
            std::string::npos);
  EXPECT_NE(found->find("processors=2"), std::string::npos);
}

}  // namespace
}  // namespace coltsfoot::jobs
