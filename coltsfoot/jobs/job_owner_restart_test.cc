// Tests of what the owner believes of a worker that has started again under its id.
#include <gtest/gtest.h>

#include "tests/jobs/one_worker_owner.h"

namespace coltsfoot::jobs {
namespace {

class job_owner_restart_test : public one_worker_owner {
 protected:
  // The worker answers the newest look that waits for an answer.
  void answer_look(std::uint64_t known, std::uint64_t incarnation, std::vector<running_row> running,
                   std::vector<ended_row> ended = {}) {
    const auto& polls = owner_->links().at(worker).open_polls;
    const auto sent_at = polls.empty() ? now_ : polls.rbegin()->first;
    const look_answer answer{.verdict = order_verdict::accepted,
                             .report = {.clock = 1'000,
                                        .incarnation = incarnation,
                                        .running = std::move(running),
                                        .ended = std::move(ended)}};
    owner_->on_look_answer({.worker = worker, .incarnation = known}, answer, sent_at, now_);
  }

  // The registry lists the worker in a life.
  void list(std::uint64_t incarnation, std::vector<std::string> labels = {"a", "r"}) {
    auto listing = *owner_->links().at(worker).listing;
    listing.incarnation = incarnation;
    listing.labels = std::move(labels);
    owner_->on_listing(listing, now_);
  }

  // The time from now until the owner gives up the only run, while the worker is silent.
  duration time_until_given_up() {
    const auto since = now_;
    const auto& task = table_.find(job_name)->tasks[0];
    while (task.phase == task_phase::assigned && now_ - since < duration{60'000}) {
      pass(duration{25});
    }
    return now_ - since;
  }

  // The run of the job's task goes on in the life 2 of the worker.
  void restart_with_run() {
    start_first_run();
    pass(duration{500});
    answer_look(1, 1, {{.run = first_run_}});
    pass(duration{500});
    answer_look(1, 2, {{.run = first_run_}});
    pass(duration{25});
  }
};

// The lease of the former life's clock is shortened to the longest one that the worker grants.
TEST_F(job_owner_restart_test, the_longest_lease_counts_after_a_restart) {
  restart_with_run();
  answer_look(2, 2, {{.run = first_run_}});
  const auto kept = time_until_given_up();
  EXPECT_GE(kept, duration{10'200});
  EXPECT_LE(kept, duration{11'000});
}

// An order for the former life may be carried out until one for the new life has been.
TEST_F(job_owner_restart_test, a_restarted_worker_that_answers_no_more_keeps_its_run_for_longer) {
  restart_with_run();
  const auto kept = time_until_given_up();
  EXPECT_GE(kept, duration{22'200});
  EXPECT_LE(kept, duration{23'000});
}

// Its lease would end at a time of the former clock, and its cursor would forget unknown ends.
TEST_F(job_owner_restart_test, a_look_at_a_life_that_is_not_known_renews_and_forgets_nothing) {
  start_first_run();
  pass(duration{500});
  answer_look(1, 1, {}, {{.number = 5, .run = first_run_, .end = run_end::failed}});
  record();
  pass(duration{25});
  owner_->take_orders();
  list(2);
  const auto look = newest<look_order>();
  ASSERT_TRUE(look) << "an earlier look waits for an answer of the former life";
  const auto& order = std::get<look_order>(look->order);
  EXPECT_FALSE(order.lease_end);
  EXPECT_EQ(order.forget_up_to, 0U);
  EXPECT_EQ(order.wait, duration{0});
}

TEST_F(job_owner_restart_test, nothing_starts_in_a_life_that_is_not_known) {
  answer_look(1, 1, {});
  list(2);
  owner_->place(now_, wall_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
  pass(duration{25});
  answer_look(1, 2, {});
  owner_->place(now_ + duration{1'000}, wall_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::assigned);
}

// Entries of other writers must not keep a worker from work.
TEST_F(job_owner_restart_test, an_entry_with_a_life_that_the_worker_denies_changes_nothing) {
  start_first_run();
  pass(duration{500});
  answer_look(1, 1, {{.run = first_run_}});
  list(2);
  pass(duration{25});
  answer_look(1, 1, {{.run = first_run_}});
  EXPECT_TRUE(owner_->links().at(worker).usable(now_));
  EXPECT_LE(time_until_given_up(), duration{7'000});
}

// Guards against runs that wait for a life which can't have them.
TEST_F(job_owner_restart_test, a_doubt_delays_no_run_that_was_listed) {
  start_first_run();
  pass(duration{500});
  answer_look(1, 1, {{.run = first_run_}});
  pass(duration{500});
  list(2);
  EXPECT_LE(time_until_given_up(), duration{7'000});
}

// The next life may carry the start out, under the longest lease.
TEST_F(job_owner_restart_test, a_doubt_delays_a_run_whose_start_may_still_be_carried_out) {
  start_first_run();
  list(2);
  const auto kept = time_until_given_up();
  EXPECT_GE(kept, duration{22'200});
  EXPECT_LE(kept, duration{23'000});
}

// The answer to a start does not tell which life it came from, but has a reading of its clock.
TEST_F(job_owner_restart_test, an_answer_with_an_earlier_clock_raises_a_doubt) {
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  record();
  pass(duration{100});
  ASSERT_TRUE(owner_->links().at(worker).usable(now_));
  owner_->on_start_answer({.worker = worker, .incarnation = 1}, first_run_,
                          {.verdict = order_verdict::accepted, .clock = 20}, now_);
  EXPECT_FALSE(owner_->links().at(worker).usable(now_));
  const auto look = newest<look_order>();
  pass(duration{25});
  ASSERT_TRUE(look || newest<look_order>());
}

TEST_F(job_owner_restart_test, no_start_is_sent_or_repeated_to_a_life_that_is_not_known) {
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  owner_->take_batch();
  list(2);
  owner_->on_batch_recorded(now_);
  EXPECT_FALSE(newest<start_order>());
  for (int i = 0; i < 60; ++i) {
    pass(duration{25});
    EXPECT_FALSE(newest<start_order>());
  }
}

TEST_F(job_owner_restart_test, a_start_without_an_answer_is_not_repeated_to_an_unknown_life) {
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  record();
  ASSERT_TRUE(newest<start_order>());
  list(2);
  for (int i = 0; i < 60; ++i) {
    pass(duration{25});
    EXPECT_FALSE(newest<start_order>());
  }
}

// The next owner would not know of the lease.
TEST_F(job_owner_restart_test, a_worker_with_a_long_lease_stays_in_its_shard) {
  answer_look(1, 1, {});
  ASSERT_NE(owner_->spare_worker({}, now_), nullptr);
  pass(duration{500});
  answer_look(1, 2, {});
  list(2);
  pass(duration{25});
  answer_look(2, 2, {});
  ASSERT_TRUE(owner_->links().at(worker).usable(now_));
  EXPECT_EQ(owner_->spare_worker({}, now_), nullptr);
  for (int i = 0; i < 6; ++i) {
    pass(duration{2'000});
    answer_look(2, 2, {});
  }
  EXPECT_NE(owner_->spare_worker({}, now_), nullptr);
}

// Guards against a lease that is forgotten with a worker whose entry is missing for a moment.
TEST_F(job_owner_restart_test, a_long_lease_counts_after_the_worker_was_forgotten) {
  answer_look(1, 1, {});
  const auto listing = *owner_->links().at(worker).listing;
  pass(duration{500});
  answer_look(1, 2, {});
  owner_->on_unlisted(worker);
  pass(duration{25});
  ASSERT_FALSE(owner_->links().contains(worker));
  auto again = listing;
  again.incarnation = 2;
  owner_->on_listing(again, now_);
  answer_look(2, 2, {});
  owner_->place(now_, wall_);
  record();
  owner_->on_start_answer({.worker = worker, .incarnation = 2}, first_run_,
                          {.verdict = order_verdict::accepted, .clock = 1'000}, now_);
  EXPECT_GE(time_until_given_up(), duration{9'500});
}

// A successor whose journal knows a later life than the registry could ask nowhere.
TEST_F(job_owner_restart_test,
       a_worker_without_an_entry_of_its_life_is_asked_at_the_listed_address) {
  auto& task = table_.find(job_name)->tasks[0];
  task.phase = task_phase::assigned;
  task.run = 1;
  task.life = {.worker = worker, .incarnation = 9};
  owner_.emplace(job_owner_options{}, 2, table_, now_, wall_, log_sink{},
                 grant_authority{job_owner_options{}.grants, {}, now_, now_});
  owner_->on_listing({.id = worker, .incarnation = 5, .address = "c"}, now_);
  const auto look = newest<look_order>();
  ASSERT_TRUE(look);
  EXPECT_EQ(look->address, "c");
  EXPECT_FALSE(owner_->links().at(worker).usable(now_));
}

// An answer from before the entry says nothing of a restart since.
TEST_F(job_owner_restart_test, an_answer_to_an_earlier_look_does_not_deny_a_restart) {
  answer_look(1, 1, {});
  pass(duration{500});
  const auto sent_at = now_;
  pass(duration{25});
  list(2);
  const look_answer answer{.verdict = order_verdict::accepted,
                           .report = {.clock = 1'000, .incarnation = 1}};
  owner_->on_look_answer({.worker = worker, .incarnation = 1}, answer, sent_at, now_);
  EXPECT_FALSE(owner_->links().at(worker).usable(now_));
}

// Guards against work on a worker without the label that it requires.
TEST_F(job_owner_restart_test, a_worker_gets_no_work_by_the_entry_of_its_former_life) {
  answer_look(1, 1, {});
  pass(duration{500});
  answer_look(1, 2, {});
  owner_->place(now_, wall_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
  list(2, {"b", "r"});
  owner_->place(now_ + duration{1'000}, wall_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::assigned);
}

// A cursor that reaches the next life would make it forget ends that nobody has seen.
TEST_F(job_owner_restart_test, ends_are_forgotten_by_one_answered_look_only) {
  start_first_run();
  pass(duration{500});
  answer_look(1, 1, {}, {{.number = 5, .run = first_run_, .end = run_end::failed}});
  record();
  const auto forgetting = newest<look_order>();
  ASSERT_TRUE(forgetting);
  EXPECT_EQ(std::get<look_order>(forgetting->order).forget_up_to, 5U);
  owner_->on_look_answer({.worker = worker, .incarnation = 1},
                         {.verdict = order_verdict::unanswered},
                         owner_->links().at(worker).open_polls.rbegin()->first, now_);
  pass(duration{800});
  const auto repeated = newest<look_order>();
  ASSERT_TRUE(repeated) << "it got no answer";
  EXPECT_EQ(std::get<look_order>(repeated->order).forget_up_to, 5U);
  answer_look(1, 1, {});
  pass(duration{25});
  const auto next = newest<look_order>();
  ASSERT_TRUE(next);
  EXPECT_EQ(std::get<look_order>(next->order).forget_up_to, 0U);
}

// Guards against a filling task at full speed beside a serving one that misses its target.
TEST_F(job_owner_restart_test, a_filling_task_that_started_anew_is_slowed_again) {
  const job_id id{"mixed"};
  job_table table;
  table.accept({.id = id,
                .service = service_id{"s"},
                .spec = {.payload = "p",
                         .steps = {{.demand = {.millicores = 4'000, .memory_mb = 100},
                                    .long_running = true,
                                    .image = "serving",
                                    .response_target = duration{10}},
                                   {.demand = {.millicores = 1'000, .memory_mb = 100},
                                    .fill = true,
                                    .image = "filling"}}}});
  const auto listing = *owner_->links().at(worker).listing;
  owner_.emplace(job_owner_options{}, 1, table, now_, wall_, log_sink{});
  owner_->on_accepted(id, now_);
  owner_->on_listing(listing, now_);
  answer_look(1, 1, {});
  owner_->place(now_, wall_);
  record();
  const run_ref serving{.task = {.job = id, .step = 0}, .run = 1};
  const run_ref filling{.task = {.job = id, .step = 1}, .run = 1};
  const std::vector<running_row> rows{{.run = serving, .percent = 100, .figure = 100},
                                      {.run = filling, .percent = 10, .figure = 1'000}};
  ASSERT_EQ(table.find(id)->tasks[1].phase, task_phase::assigned);
  std::optional<worker_order> slowed;
  for (int i = 0; i < 20 && !slowed; ++i) {
    pass(duration{400});
    answer_look(1, 1, rows);
    slowed = newest<pace_order>();
  }
  ASSERT_TRUE(slowed);
  const auto percent = std::get<pace_order>(slowed->order).percent;
  ASSERT_LT(percent, 100U);
  pass(duration{25});
  answer_look(1, 2, rows);
  const auto again = newest<pace_order>();
  ASSERT_TRUE(again);
  EXPECT_EQ(again->life.incarnation, 2U);
  EXPECT_LE(std::get<pace_order>(again->order).percent, percent);
}

// Guards against a successor that counts the lease of a restarted worker as an ordinary one.
TEST_F(job_owner_restart_test, a_restarted_worker_is_no_witness_until_its_former_leases_are_over) {
  const auto life = [](std::uint64_t incarnation) {
    return worker_life{.worker = worker, .incarnation = incarnation};
  };
  const worker_life other{.worker = worker_id{"x"}, .incarnation = 1};
  owner_->on_listing({.id = other.worker, .incarnation = 1, .address = "b"}, now_);
  const auto answer_of_other = [&] {
    owner_->on_look_answer(
        other, {.verdict = order_verdict::accepted, .report = {.clock = 1, .incarnation = 1}}, now_,
        now_);
  };
  answer_look(1, 1, {});
  answer_of_other();
  const auto first = owner_->take_witness_record(now_);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->value, witness_record({life(1), other}).value);
  owner_->on_witnesses_recorded();
  pass(duration{1'500});
  answer_look(1, 2, {});
  list(2);
  pass(duration{25});
  answer_look(2, 2, {});
  const auto without = owner_->take_witness_record(now_);
  ASSERT_TRUE(without);
  EXPECT_EQ(without->value, witness_record({other}).value);
  owner_->on_witnesses_recorded();
  for (int i = 0; i < 6; ++i) {
    pass(duration{2'000});
    answer_look(2, 2, {});
  }
  const auto with = owner_->take_witness_record(now_);
  ASSERT_TRUE(with);
  EXPECT_EQ(with->value, witness_record({life(2), other}).value);
}

// An outage of the store would stop all leases.
TEST_F(job_owner_restart_test, a_set_without_witnesses_is_not_recorded) {
  answer_look(1, 1, {});
  ASSERT_TRUE(owner_->take_witness_record(now_));
  owner_->on_witnesses_recorded();
  pass(duration{1'500});
  answer_look(1, 2, {});
  EXPECT_FALSE(owner_->take_witness_record(now_));
}

// The former owner may have died before it recorded that the worker's lease is longer.
TEST_F(job_owner_restart_test, a_successor_counts_the_longest_lease_where_no_witness_lives) {
  auto& task = table_.find(job_name)->tasks[0];
  const auto given_up_after = [&](const witness_set& witnesses) {
    task.phase = task_phase::assigned;
    task.run = 1;
    task.life = {.worker = worker, .incarnation = 1};
    owner_.emplace(job_owner_options{}, 2, table_, now_, wall_, log_sink{},
                   grant_authority{job_owner_options{}.grants, witnesses, now_, now_});
    // A majority of the witnesses answers the successor; the worker with the run does not.
    for (const auto& life : witnesses) {
      if (life.worker == worker) continue;
      owner_->on_listing({.id = life.worker, .incarnation = 1, .address = "b"}, now_);
      owner_->on_look_answer(
          life, {.verdict = order_verdict::accepted, .report = {.clock = 1, .incarnation = 1}},
          now_, now_);
    }
    return time_until_given_up();
  };
  const worker_life with_run{.worker = worker, .incarnation = 1};
  const worker_life x{.worker = worker_id{"x"}, .incarnation = 1};
  const worker_life y{.worker = worker_id{"y"}, .incarnation = 1};
  EXPECT_LE(given_up_after({with_run, x, y}), duration{7'000});
  const auto kept = given_up_after({x, y});
  EXPECT_GE(kept, duration{11'500});
  EXPECT_LE(kept, duration{13'000});
}

}  // namespace
}  // namespace coltsfoot::jobs
