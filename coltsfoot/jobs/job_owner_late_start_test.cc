// Tests of start orders that get no answer and may be carried out by a later life of their worker.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/jobs/one_worker_owner.h"

namespace coltsfoot::jobs {
namespace {

const worker_id other_worker{"x"};

class job_owner_late_start_test : public one_worker_owner {
 protected:
  job_owner_late_start_test() { table_.find(job_name)->accepted.max_attempts = 3; }

  // A worker answers its newest look that waits for an answer; `known` is its life at the owner.
  void answer(const worker_id& id, std::uint64_t known, std::uint64_t incarnation,
              std::vector<running_row> running = {}, std::vector<ended_row> ended = {}) {
    const auto& polls = owner_->links().at(id).open_polls;
    const auto sent_at = polls.empty() ? now_ : polls.rbegin()->first;
    const look_answer answer{.verdict = order_verdict::accepted,
                             .report = {.clock = now_.time_since_epoch().count(),
                                        .incarnation = incarnation,
                                        .running = std::move(running),
                                        .ended = std::move(ended)}};
    owner_->on_look_answer({.worker = id, .incarnation = known}, answer, sent_at, now_);
  }

  // Time passes while the listed workers answer their looks: the first one in `life_` with
  // `running_`, the other one, if listed, without runs. The first one answers its orders too.
  void pass_answering(duration time) {
    for (const auto end = now_ + time; now_ < end;) {
      pass(duration{25});
      owner_->on_confirmed(now_);
      if (answers_) answer(worker, life_, life_, running_);
      if (owner_->links().contains(other_worker)) answer(other_worker, 1, 1);
      owner_->place(now_, wall_);
      obey();
      record();
      obey();
    }
  }

  // The first worker carries out what it was told since the last call.
  void obey() {
    const auto given = owner_->take_orders();
    for (const auto& order : given) {
      if (order.life.worker != worker || !answers_) continue;
      const order_answer done{.verdict = order_verdict::accepted,
                              .clock = now_.time_since_epoch().count()};
      if (const auto* start = std::get_if<start_order>(&order.order)) {
        running_.push_back({.run = start->run});
        owner_->on_start_answer(order.life, start->run, done, now_);
      } else if (const auto* stop = std::get_if<stop_order>(&order.order)) {
        if (stops_end_runs_) {
          std::erase_if(running_, [&](const auto& row) { return row.run == stop->run; });
        }
        owner_->on_stop_answer(order.life, stop->run, done, now_);
      }
    }
    orders_.insert(orders_.end(), given.begin(), given.end());
  }

  void collect() {
    for (auto& order : owner_->take_orders()) orders_.push_back(std::move(order));
  }

  // Whether a start of the run was sent to the worker.
  bool was_started(const worker_id& id, run_number run) {
    return std::any_of(orders_.begin(), orders_.end(), [&](const auto& given) {
      const auto* start = std::get_if<start_order>(&given.order);
      return start != nullptr && given.life.worker == id && start->run.run == run;
    });
  }

  void list_other() {
    owner_->on_listing({.id = other_worker,
                        .incarnation = 1,
                        .service = service_id{"s"},
                        .address = "b",
                        .capacity = {.millicores = 64'000, .memory_mb = 16'000},
                        .labels = {"a", "r"}},
                       now_);
  }

  // The first start order of run 1 gets no answer, a second one is carried out and answered.
  void start_with_a_late_order() {
    answer(worker, 1, 1);
    owner_->place(now_, wall_);
    record();
    late_sent_at_ = now_;
    collect();
    answers_ = false;
    for (int i = 0; i < 200 && count_starts() < 2; ++i) {
      pass(duration{25});
      collect();
    }
    ASSERT_EQ(count_starts(), 2);
    owner_->on_start_answer(
        {.worker = worker, .incarnation = 1}, first_run_,
        {.verdict = order_verdict::accepted, .clock = now_.time_since_epoch().count()}, now_);
    owner_->on_start_answer({.worker = worker, .incarnation = 1}, first_run_,
                            {.verdict = order_verdict::unanswered, .taken = now_ - late_sent_at_},
                            now_);
    answers_ = true;
    running_ = {{.run = first_run_}};
    answer(worker, 1, 1, running_);
    list_other();
  }

  int count_starts() const {
    return static_cast<int>(std::count_if(orders_.begin(), orders_.end(), [](const auto& given) {
      return std::holds_alternative<start_order>(given.order);
    }));
  }

  const task_progress& task() { return table_.find(job_name)->tasks[0]; }

  // The time until a run of the task is placed on the other worker.
  duration time_until_elsewhere() {
    const auto since = now_;
    while (task().life.worker != other_worker && now_ - since < duration{60'000}) {
      pass_answering(duration{25});
    }
    return now_ - since;
  }

  std::vector<worker_order> orders_;
  std::vector<running_row> running_;
  std::uint64_t life_ = 1;
  bool answers_ = true;
  bool stops_end_runs_ = true;
  time_point late_sent_at_;
};

// Guards against a second run while a life of the worker that nobody has heard of runs the first.
TEST_F(job_owner_late_start_test, a_silent_worker_keeps_a_run_with_a_late_start_for_longer) {
  start_with_a_late_order();
  pass_answering(duration{2'000});
  answers_ = false;
  const auto kept = time_until_elsewhere();
  EXPECT_GE(now_ - late_sent_at_, late_order_limit + job_owner_options{}.longest_lease);
  EXPECT_LE(kept, duration{24'000});
}

// Guards against long waits where no start can come any more.
TEST_F(job_owner_late_start_test, a_start_that_can_not_come_any_more_delays_nothing) {
  start_with_a_late_order();
  pass_answering(late_order_limit + duration{1'000});
  answers_ = false;
  EXPECT_LE(time_until_elsewhere(), duration{7'000});
}

// Guards against long waits for the tasks of a worker that is lost for good with its orders.
TEST_F(job_owner_late_start_test, a_start_that_its_worker_did_not_outlive_delays_nothing) {
  answer(worker, 1, 1);
  owner_->place(now_, wall_);
  record();
  collect();
  list_other();
  answers_ = false;
  EXPECT_LE(time_until_elsewhere(), duration{7'000});
}

// Guards against a run elsewhere while the next life of the worker may carry the start out.
TEST_F(job_owner_late_start_test, a_task_whose_run_has_failed_is_not_started_elsewhere_meanwhile) {
  start_with_a_late_order();
  running_.clear();
  answer(worker, 1, 1, {}, {{.number = 1, .run = first_run_, .end = run_end::failed}});
  EXPECT_LT(now_ - late_sent_at_, late_order_limit);
  while (task().run < 2 && now_ - late_sent_at_ < duration{60'000}) pass_answering(duration{25});
  EXPECT_GE(now_ - late_sent_at_, late_order_limit);
  EXPECT_LE(now_ - late_sent_at_, late_order_limit + duration{3'000});
}

// Guards against waits of tasks that can go on where they were.
TEST_F(job_owner_late_start_test, a_task_whose_run_was_stopped_goes_on_with_its_worker) {
  start_with_a_late_order();
  running_.clear();
  answer(worker, 1, 1, {}, {{.number = 1, .run = first_run_, .end = run_end::partner_ended}});
  pass_answering(duration{1'000});
  EXPECT_TRUE(was_started(worker, 2));
  EXPECT_FALSE(was_started(other_worker, 2));
}

// Guards against the next run beside a former one that the restarted worker has begun late.
TEST_F(job_owner_late_start_test, a_late_run_of_the_next_life_is_over_before_the_next_run_starts) {
  start_with_a_late_order();
  running_.clear();
  answer(worker, 1, 1, {}, {{.number = 1, .run = first_run_, .end = run_end::partner_ended}});
  pass_answering(duration{500});
  ASSERT_TRUE(was_started(worker, 2));
  pass(duration{25});
  life_ = 2;
  running_ = {{.run = first_run_}};
  stops_end_runs_ = false;
  answer(worker, 1, 2, running_);
  orders_.clear();
  pass_answering(duration{14'000});
  EXPECT_FALSE(was_started(worker, 3));
  EXPECT_FALSE(was_started(other_worker, 3));
  stops_end_runs_ = true;
  pass_answering(duration{4'000});
  EXPECT_TRUE(was_started(worker, 3) || was_started(other_worker, 3));
}

// Guards against cancellations that wait for a start which must not come.
TEST_F(job_owner_late_start_test, a_cancelled_job_ends_although_a_start_may_be_late) {
  start_with_a_late_order();
  running_.clear();
  answer(worker, 1, 1, {}, {{.number = 1, .run = first_run_, .end = run_end::failed}});
  table_.request_cancel(job_name);
  owner_->on_cancelled(job_name, now_);
  EXPECT_TRUE(table_.find(job_name)->ended());
}

// Guards against a successor that knows of no late start of its predecessor.
TEST_F(job_owner_late_start_test, a_successor_learns_of_a_late_start_from_the_journal) {
  start_with_a_late_order();
  pass_answering(duration{500});
  ASSERT_TRUE(task().late_start);
  const auto record = progress_record(*table_.find(job_name), job_owner_options{}.record_bytes);
  journal_state journal;
  ASSERT_TRUE(
      apply_record(acceptance_record(table_.find(job_name)->accepted), journal, apply_options{}));
  ASSERT_TRUE(apply_record(record, journal, apply_options{}));
  EXPECT_TRUE(journal.table.find(job_name)->tasks[0].late_start);
  EXPECT_EQ(journal.table.find(job_name)->tasks[0].phase, task_phase::assigned);
}

// Guards against a successor that waits long for a start which can't come any more.
TEST_F(job_owner_late_start_test, the_journal_forgets_a_late_start_that_can_not_come_any_more) {
  start_with_a_late_order();
  pass_answering(duration{500});
  ASSERT_TRUE(task().late_start);
  pass_answering(late_order_limit);
  EXPECT_FALSE(task().late_start);
  EXPECT_EQ(task().phase, task_phase::assigned);
  EXPECT_TRUE(owner_->is_recorded(job_name));
}

// Guards against transfers of a worker whose next owner would not know of the start.
TEST_F(job_owner_late_start_test, a_worker_with_a_late_start_stays_in_its_shard) {
  start_with_a_late_order();
  running_.clear();
  answer(worker, 1, 1, {}, {{.number = 1, .run = first_run_, .end = run_end::failed}});
  answer(other_worker, 1, 1);
  const auto* spare = owner_->spare_worker({}, now_);
  ASSERT_NE(spare, nullptr);
  EXPECT_EQ(spare->id, other_worker);
}

}  // namespace
}  // namespace coltsfoot::jobs
