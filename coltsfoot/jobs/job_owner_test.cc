#include "coltsfoot/jobs/job_owner.h"

#include <gtest/gtest.h>

#include "tests/jobs/one_worker_owner.h"

namespace coltsfoot::jobs {
namespace {

class job_owner_test : public one_worker_owner {};

// Guards against starting a task again whose end did not fit into the worker's answer.
TEST_F(job_owner_test, a_run_that_is_missing_from_a_list_of_ends_that_was_cut_off_is_not_lost) {
  start_first_run();
  pass(duration{500});
  const look_answer cut_off{
      .verdict = order_verdict::accepted,
      .report = {.clock = 1'000,
                 .incarnation = 1,
                 .ended = {{.number = 1, .run = {.task = {.job = job_id{"k"}}, .run = 1}}},
                 .more_ends = true}};
  owner_->on_look_answer({.worker = worker, .incarnation = 1}, cut_off, now_, now_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::assigned);
  pass(duration{500});
  answer_look(1, 1, {});
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
}

// The next life numbers its ends from 1 again: a number of the former life would hide them.
TEST_F(job_owner_test, ends_of_a_former_life_that_are_recorded_late_forget_none_of_the_next_life) {
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  record();
  owner_->on_start_answer({.worker = worker, .incarnation = 1}, first_run_,
                          {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
  pass(duration{500});
  answer_look(1, 1, {}, {{.number = 9, .run = first_run_, .end = run_end::failed}});
  owner_->take_batch();  // holds the end, and is on its way
  pass(duration{500});
  answer_look(1, 2, {});
  owner_->on_batch_recorded(now_);
  answer_look(2, 2, {});
  pass(duration{500});
  const auto look = newest<look_order>();
  ASSERT_TRUE(look);
  EXPECT_EQ(look->life.incarnation, 2U);
  EXPECT_EQ(std::get<look_order>(look->order).forget_up_to, 0U);
}

TEST_F(job_owner_test, a_worker_on_its_way_to_another_shard_gets_no_task_when_it_is_listed_again) {
  const auto listing = *owner_->links().at(worker).listing;
  answer_look(1, 1, {});
  owner_->begin_transfer(worker, 1, now_);
  owner_->on_unlisted(worker);
  pass(duration{100});
  owner_->on_listing(listing, now_);
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
  record();
  EXPECT_FALSE(owner_->links().contains(worker));
}

// The worker would reject a lower fence, and the owner would believe that another one has come.
TEST_F(job_owner_test, fences_do_not_fall_when_a_restarted_worker_is_unlisted_and_listed_again) {
  auto listing = *owner_->links().at(worker).listing;
  answer_look(1, 1, {});
  answer_look(1, 2, {});
  EXPECT_EQ(owner_->links().at(worker).former_lives, 1U);
  listing.incarnation = 2;
  owner_->on_unlisted(worker);
  pass(duration{100});
  ASSERT_FALSE(owner_->links().contains(worker));
  owner_->on_listing(listing, now_);
  EXPECT_EQ(owner_->links().at(worker).former_lives, 1U);
  owner_->on_unlisted(worker);
  pass(duration{100});
  listing.incarnation = 3;
  owner_->on_listing(listing, now_);
  EXPECT_EQ(owner_->links().at(worker).former_lives, 2U);
}

// Another writer's entry under the id of a worker must not keep the worker's own entries out.
TEST_F(job_owner_test, a_worker_is_used_after_an_entry_with_a_life_that_is_far_too_late) {
  worker_listing listing{.id = worker_id{"x"},
                         .incarnation = 9'000'000'000'000'000,
                         .service = service_id{"s"},
                         .address = "a",
                         .capacity = {.millicores = 8'000, .memory_mb = 1'000},
                         .labels = {"a", "r"}};
  owner_->on_listing(listing, now_);
  listing.incarnation = 5;
  owner_->on_listing(listing, now_);
  pass(duration{100});
  look_answer answer{.verdict = order_verdict::accepted,
                     .report = {.clock = 1'000, .incarnation = 5}};
  owner_->on_look_answer({.worker = listing.id, .incarnation = 5}, answer, now_, now_);
  EXPECT_TRUE(owner_->links().at(listing.id).usable(now_));
}

TEST_F(job_owner_test, the_word_of_a_worker_counts_more_than_an_entry_with_a_later_life) {
  worker_listing listing{.id = worker_id{"x"},
                         .incarnation = 9'000'000'000'000'000,
                         .service = service_id{"s"},
                         .address = "a",
                         .labels = {"a", "r"}};
  owner_->on_listing(listing, now_);
  look_answer answer{.verdict = order_verdict::accepted,
                     .report = {.clock = 1'000, .incarnation = 5}};
  owner_->on_look_answer({.worker = listing.id, .incarnation = listing.incarnation}, answer, now_,
                         now_);
  EXPECT_EQ(owner_->links().at(listing.id).life.incarnation, 5U);
  EXPECT_TRUE(owner_->links().at(listing.id).usable(now_));
}

// A worker would carry out an order of a former shard, owner or life of its own.
TEST(order_fence_test, grows_with_the_transfers_then_the_owner_then_the_lives_of_a_worker) {
  EXPECT_LT(order_fence(0, 7, 0), order_fence(0, 7, 1));
  EXPECT_LT(order_fence(0, 7, 5'000), order_fence(0, 8, 0));
  EXPECT_LT(order_fence(0, 999'999, 99), order_fence(1, 1, 0));
}

// The gang is tried first in each pass, and would close the worker for the others each time.
TEST_F(job_owner_test, a_gang_that_does_not_fit_keeps_no_task_from_a_worker_that_has_failed) {
  const job_id id{"long"};
  job_table table;
  table.accept({.id = id,
                .service = service_id{"s"},
                .priority = 1,
                .spec = {.payload = "p",
                         .steps = {{.demand = {.millicores = 1'000, .memory_mb = 100},
                                    .long_running = true}}}});
  const auto& task = table.find(id)->tasks[0];
  const auto listing = *owner_->links().at(worker).listing;
  owner_.emplace(job_owner_options{}, 1, table, now_, wall_, log_sink{});
  owner_->on_accepted(id, now_);
  owner_->on_listing(listing, now_);
  answer_look(1, 1, {});
  for (run_number run = 1; run <= worker_backoff::closing_failures; ++run) {
    owner_->place(now_, wall_);
    ASSERT_EQ(task.run, run);
    record();
    pass(duration{100});
    answer_look(
        1, 1, {},
        {{.number = run, .run = {.task = {.job = id}, .run = run}, .end = run_end::failed}});
  }
  owner_->place(now_, wall_);
  ASSERT_EQ(task.phase, task_phase::waiting);
  table.accept({.id = job_id{"gang"},
                .service = service_id{"s"},
                .latency_target = duration{60'000},
                .accepted_at = wall_,
                .spec = {.payload = "p",
                         .steps = {{.count = 2,
                                    .demand = {.millicores = 5'000, .memory_mb = 100},
                                    .gang = true}}}});
  owner_->on_accepted(job_id{"gang"}, now_);
  pass(duration{2'000});
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  EXPECT_EQ(task.phase, task_phase::assigned);
}

// The clock that a life's number is taken from may have been set back between the two lives.
TEST_F(job_owner_test, a_worker_is_used_in_a_life_with_a_lower_number) {
  auto listing = *owner_->links().at(worker).listing;
  listing.incarnation = 9;
  owner_->on_listing(listing, now_);
  answer_look(1, 9, {});
  owner_->place(now_, wall_);
  record();
  ASSERT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::assigned);
  owner_->on_start_answer({.worker = worker, .incarnation = 9}, first_run_,
                          {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
  pass(duration{500});
  answer_look(9, 9, {{.run = first_run_}});
  owner_->on_unlisted(worker);
  listing.incarnation = 5;
  owner_->on_listing(listing, now_);
  pass(duration{500});
  answer_look(9, 5, {});
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
  pass(duration{500});
  answer_look(5, 5, {});
  EXPECT_TRUE(owner_->links().at(worker).usable(now_));
}

// Its tasks would be stopped, or started again elsewhere while they run on.
TEST_F(job_owner_test, a_late_entry_of_a_former_life_changes_nothing_while_looks_fail) {
  auto listing = *owner_->links().at(worker).listing;
  listing.incarnation = 9;
  owner_->on_listing(listing, now_);
  answer_look(1, 9, {});
  owner_->place(now_, wall_);
  record();
  owner_->on_start_answer({.worker = worker, .incarnation = 9}, first_run_,
                          {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
  owner_->on_look_answer({.worker = worker, .incarnation = 9},
                         {.verdict = order_verdict::unanswered}, now_, now_);
  owner_->on_unlisted(worker);
  listing.incarnation = 5;
  listing.address = "b";
  listing.draining = true;
  owner_->on_listing(listing, now_);
  EXPECT_EQ(owner_->links().at(worker).listing->address, "a");
  EXPECT_FALSE(owner_->links().at(worker).listing->draining);
  pass(duration{500});
  answer_look(9, 9, {{.run = first_run_}});
  EXPECT_EQ(owner_->links().at(worker).listing->address, "a");
}

TEST_F(job_owner_test, an_idle_worker_that_was_unlisted_returns_with_a_lower_number) {
  auto listing = *owner_->links().at(worker).listing;
  answer_look(1, 9, {});
  owner_->on_unlisted(worker);
  listing.incarnation = 5;
  owner_->on_listing(listing, now_);
  pass(duration{100});
  EXPECT_EQ(owner_->links().at(worker).life.incarnation, 5U);
  answer_look(5, 5, {});
  EXPECT_TRUE(owner_->links().at(worker).usable(now_));
}

// A late start for the former life would be carried out.
TEST_F(job_owner_test, fences_grow_when_a_forgotten_worker_returns_with_a_lower_number) {
  auto listing = *owner_->links().at(worker).listing;
  answer_look(1, 9, {});
  const auto lives = owner_->links().at(worker).former_lives;
  owner_->on_unlisted(worker);
  pass(duration{100});
  ASSERT_FALSE(owner_->links().contains(worker));
  listing.incarnation = 5;
  owner_->on_listing(listing, now_);
  EXPECT_GT(owner_->links().at(worker).former_lives, lives);
}

// A restart would wait for its room until the worker is empty or its transfer is given up.
TEST_F(job_owner_test, a_worker_that_is_to_be_given_away_stays_for_a_restart_without_other_room) {
  job_table table;
  table.accept({.id = job_id{"long"},
                .service = service_id{"s"},
                .spec = {.payload = "p",
                         .steps = {{.demand = {.millicores = 1'000, .memory_mb = 100},
                                    .long_running = true}}}});
  auto& task = table.find(job_id{"long"})->tasks[0];
  const auto listing = *owner_->links().at(worker).listing;
  owner_.emplace(job_owner_options{}, 1, table, now_, wall_, log_sink{});
  owner_->on_listing(listing, now_);
  answer_look(1, 1, {});
  owner_->begin_transfer(worker, 1, now_);
  // The transfer is on its way to the journal.
  owner_->on_accepted(job_id{"long"}, now_);
  task.run = 1;
  owner_->place(now_, wall_);
  EXPECT_EQ(task.phase, task_phase::waiting);
  record();
  owner_->on_listing(listing, now_);
  answer_look(1, 1, {});
  answer_look(1, 1, {}, {{.number = 1, .run = first_run_, .end = run_end::failed}});
  owner_->begin_transfer(worker, 1, now_);  // waits for the record of the end
  owner_->place(now_ + duration{1'000}, wall_);
  EXPECT_EQ(task.phase, task_phase::assigned);
  EXPECT_FALSE(owner_->links().at(worker).transfer);
}

// A run that is not in the journal is unknown to the next owner, who would start the task again.
TEST_F(job_owner_test, a_run_is_not_started_by_the_record_of_an_earlier_run) {
  const auto list = [&](bool draining) {
    owner_->on_listing({.id = worker,
                        .incarnation = 1,
                        .service = service_id{"s"},
                        .address = "a",
                        .draining = draining,
                        .capacity = {.millicores = 8'000, .memory_mb = 1'000},
                        .labels = {"a", "r"}},
                       now_);
  };
  job_table table;
  table.accept({.id = job_id{"long"},
                .service = service_id{"s"},
                .spec = {.payload = "p",
                         .steps = {{.demand = {.millicores = 1'000, .memory_mb = 100},
                                    .long_running = true}}}});
  owner_.emplace(job_owner_options{}, 1, table, now_, wall_, log_sink{});
  owner_->on_accepted(job_id{"long"}, now_);
  list(false);
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  owner_->take_batch();
  list(true);
  list(false);
  owner_->place(now_ + duration{1'000}, wall_);
  ASSERT_EQ(table.find(job_id{"long"})->tasks[0].run, 2U);
  owner_->take_orders();
  owner_->on_batch_recorded(now_);
  EXPECT_FALSE(newest<start_order>());
  record();
  EXPECT_TRUE(newest<start_order>());
}

// A job with a short step, a long-running one, and a long-running one after the short one.
job_table three_steps(const job_id& id) {
  const auto step = [](bool long_running) {
    return step_spec{.demand = {.millicores = 1'000, .memory_mb = 100},
                     .long_running = long_running};
  };
  accepted_job accepted{.id = id,
                        .service = service_id{"s"},
                        .spec = {.payload = "p", .steps = {step(false), step(true), step(true)}}};
  accepted.spec.steps[2].depends_on = {0};
  job_table table;
  table.accept(std::move(accepted));
  return table;
}

TEST_F(job_owner_test, a_task_that_came_after_a_step_which_this_shard_did_not_see_end_is_placed) {
  const job_id id{"visitor"};
  auto home = three_steps(id);
  auto& source = *home.find(id);
  answer_look(1, 1, {});
  const auto waiting_before = table_.pending(queue_id{});
  owner_->take_over(source, 1, {.to = 0, .number = 1, .run = 4}, now_);
  source.tasks[0].phase = task_phase::done;
  source.recount();
  owner_->take_over(source, 2, {.to = 0, .number = 1, .run = 1}, now_);
  owner_->place(now_, wall_);
  const auto& copy = *table_.find(id);
  EXPECT_EQ(copy.tasks[0].phase, task_phase::elsewhere);
  EXPECT_EQ(copy.tasks[1].phase, task_phase::assigned);
  EXPECT_EQ(copy.tasks[1].run, 5U);
  EXPECT_EQ(copy.tasks[2].phase, task_phase::assigned);
  EXPECT_EQ(table_.pending(queue_id{}), waiting_before) << "a partial copy is not a job of its own";
}

// An old record of another shard would start a task that has gone on, or end one that runs.
TEST_F(job_owner_test, a_handover_counts_once_and_only_above_the_newest_one) {
  const job_id id{"visitor"};
  auto home = three_steps(id);
  const auto& source = *home.find(id);
  answer_look(1, 1, {});
  owner_->take_over(source, 1, {.to = 0, .number = 3, .run = 4}, now_);
  owner_->place(now_, wall_);
  const auto& task = table_.find(id)->tasks[1];
  ASSERT_EQ(task.phase, task_phase::assigned);
  for (const std::uint32_t number : {2U, 3U, 4U}) {
    owner_->take_over(source, 1, {.to = 0, .number = number, .run = 9}, now_);
    EXPECT_EQ(task.phase, task_phase::assigned) << number;
    EXPECT_EQ(task.run, 5U) << number;
  }
}

// A receiver in the same node would act on a handover that a later owner never reads.
TEST_F(job_owner_test, a_handover_is_shown_as_recorded_only_once_it_is) {
  const job_id id{"visitor"};
  auto home = three_steps(id);
  owner_->take_over(*home.find(id), 1, {.to = 0, .number = 1, .run = 4}, now_);
  record();
  const task_key key{.job = id, .index = 1};
  ASSERT_TRUE(owner_->is_handover_recorded(key));
  owner_->hand_over(key, 2, now_);
  EXPECT_FALSE(owner_->is_handover_recorded(key));
  owner_->take_batch();
  EXPECT_FALSE(owner_->is_handover_recorded(key));
  owner_->on_batch_recorded(now_);
  EXPECT_TRUE(owner_->is_handover_recorded(key));
  EXPECT_EQ(table_.find(id)->handovers.at(1).number, 2U);
}

// A run goes on for as long as no stop reaches its worker.
TEST_F(job_owner_test, a_cancelled_run_is_stopped_in_time_though_three_stops_get_no_answer) {
  start_first_run();
  owner_->on_cancelled(job_name, now_);
  std::vector<duration> stops;
  for (const auto cancelled_at = now_; now_ - cancelled_at < duration{3'000};) {
    if (newest<stop_order>()) stops.push_back(now_ - cancelled_at);
    pass(duration{25});
  }
  EXPECT_GE(stops.size(), 4U);
}

// The time between two stops must not follow the delays of the owner's own threads without a bound.
TEST_F(job_owner_test, a_cancelled_run_is_stopped_in_time_while_answers_are_slow) {
  start_first_run();
  owner_->on_cancelled(job_name, now_);
  std::size_t stops = 0;
  for (const auto cancelled_at = now_; now_ - cancelled_at < duration{3'000};) {
    if (newest<stop_order>()) ++stops;
    now_ += duration{25};
    owner_->tick(now_, wall_, duration{1'500});
  }
  EXPECT_GE(stops, 3U);
}

TEST_F(job_owner_test, a_run_that_is_listed_after_its_stop_was_answered_is_stopped_again) {
  start_first_run();
  owner_->on_cancelled(job_name, now_);
  ASSERT_TRUE(newest<stop_order>());
  owner_->on_stop_answer({.worker = worker, .incarnation = 1}, first_run_,
                         {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
  pass(duration{500});
  answer_look(1, 1, {{.run = first_run_}});
  pass(duration{25});
  EXPECT_TRUE(newest<stop_order>());
}

// Callers would be told that no job waits while none has begun.
TEST_F(job_owner_test, a_job_counts_as_waiting_until_a_worker_has_started_a_task) {
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  record();
  ASSERT_TRUE(newest<start_order>());
  EXPECT_EQ(table_.pending(queue_id{}), 1U) << "the start may never be carried out";
  while (table_.find(job_name)->tasks[0].phase == task_phase::assigned) pass(duration{100});
  EXPECT_EQ(table_.pending(queue_id{}), 1U);
  pass(duration{500});
  owner_->on_confirmed(now_);
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  record();
  owner_->on_start_answer({.worker = worker, .incarnation = 1},
                          {.task = {.job = job_name}, .run = 2},
                          {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
  EXPECT_EQ(table_.pending(queue_id{}), 0U);
}

TEST_F(job_owner_test, a_gang_that_waits_for_room_counts_as_waiting) {
  const job_id id{"gang"};
  table_.accept({.id = id,
                 .queue = queue_id{"gangs"},
                 .service = service_id{"s"},
                 .spec = {.payload = "p",
                          .steps = {{.count = 2,
                                     .demand = {.millicores = 5'000, .memory_mb = 100},
                                     .gang = true}}}});
  owner_->on_accepted(id, now_);
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  ASSERT_EQ(table_.find(id)->tasks[0].phase, task_phase::waiting);
  EXPECT_EQ(table_.pending(queue_id{"gangs"}), 1U);
}

// However often it was handed over: the room that it waits for may be there for 3 s.
TEST_F(job_owner_test, a_task_that_was_handed_over_often_goes_on_within_two_seconds) {
  const job_id id{"visitor"};
  auto home = three_steps(id);
  owner_->take_over(*home.find(id), 1, {.to = 0, .number = 40, .run = 4}, now_);
  EXPECT_TRUE(owner_->tasks_without_room(now_).empty());
  EXPECT_EQ(owner_->tasks_without_room(now_ + duration{2'000}).size(), 1U);
}

// A task for which there is no room would go round.
TEST_F(job_owner_test, a_task_that_was_handed_over_waits_longer_before_it_goes_on) {
  const job_id id{"visitor"};
  auto home = three_steps(id);
  owner_->take_over(*home.find(id), 1, {.to = 0, .number = 2, .run = 4}, now_);
  EXPECT_TRUE(owner_->tasks_without_room(now_).empty());
  EXPECT_TRUE(owner_->tasks_without_room(now_ + duration{1'900}).empty());
  EXPECT_EQ(owner_->tasks_without_room(now_ + duration{2'000}).size(), 1U);
}

}  // namespace
}  // namespace coltsfoot::jobs
