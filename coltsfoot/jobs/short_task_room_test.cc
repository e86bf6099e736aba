// Room for short tasks in a fleet that long-running tasks fill.
#include <gtest/gtest.h>

#include <algorithm>

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

}  // namespace
}  // namespace coltsfoot::jobs
