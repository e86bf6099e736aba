#include <gtest/gtest.h>

#include "tests/jobs/one_worker_owner.h"

namespace coltsfoot::jobs {
namespace {

class job_owner_evacuation_test : public one_worker_owner {
 protected:
  job_owner_evacuation_test() {
    list_in_zone();
    answer_look(1, 1, {});
  }

  void list_in_zone() {
    owner_->on_listing({.id = worker,
                        .incarnation = 1,
                        .service = service_id{"s"},
                        .address = "a",
                        .zone = "z",
                        .capacity = {.millicores = 8'000, .memory_mb = 1'000},
                        .labels = {"a", "r"}},
                       now_);
  }

  void evacuate() { owner_->set_evacuated_zones({"z"}, now_); }

  // Places the task and sends its first start.
  void send_start() {
    owner_->place(now_, wall_);
    record();
    ASSERT_TRUE(newest<start_order>());
  }

  // Kinds of the orders that are given in the next while without an answer to the start.
  struct given {
    bool start = false;
    bool stop = false;
  };
  given orders_of(duration time) {
    given seen;
    for (const auto end = now_ + time; now_ < end;) {
      pass(duration{25});
      for (const auto& order : owner_->take_orders()) {
        seen.start |= std::holds_alternative<start_order>(order.order);
        seen.stop |= std::holds_alternative<stop_order>(order.order);
      }
    }
    return seen;
  }

  // A successor takes over, with what is in the journal.
  void replace_owner() {
    owner_.emplace(job_owner_options{}, 2, table_, now_, wall_, log_sink{});
    evacuate();
    pass(duration{500});  // before the registry is read
    list_in_zone();
  }
};

// Guards against a start that was decided before the request and is sent after it.
TEST_F(job_owner_evacuation_test, a_start_that_waits_for_its_record_is_withdrawn) {
  owner_->place(now_, wall_);
  evacuate();
  record();
  EXPECT_FALSE(newest<start_order>());
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
  EXPECT_EQ(owner_->stats().starts_withdrawn, 1U);
  owner_->place(now_, wall_);
  EXPECT_EQ(table_.find(job_name)->tasks[0].phase, task_phase::waiting);
  owner_->set_evacuated_zones({}, now_);
  pass(duration{25});
  owner_->place(now_, wall_);
  record();
  const auto start = newest<start_order>();
  ASSERT_TRUE(start);
  EXPECT_EQ(std::get<start_order>(start->order).run.run, 2U);
}

// Guards against an order that is repeated, or carried out late, in an evacuated zone.
TEST_F(job_owner_evacuation_test, a_start_without_an_answer_is_stopped_and_not_sent_again) {
  send_start();
  evacuate();
  const auto seen = orders_of(duration{1'000});
  EXPECT_FALSE(seen.start);
  EXPECT_TRUE(seen.stop);
}

// Guards against stopping tasks that may finish where they are.
TEST_F(job_owner_evacuation_test, a_start_that_is_confirmed_goes_on) {
  send_start();
  evacuate();
  answer_look(1, 1, {{.run = first_run_}});
  EXPECT_FALSE(orders_of(duration{500}).stop);
}

// Guards against a takeover that interrupts all that runs in the zone.
TEST_F(job_owner_evacuation_test, a_successor_leaves_runs_that_a_look_shows) {
  send_start();
  replace_owner();
  auto seen = orders_of(duration{300});
  EXPECT_FALSE(seen.start || seen.stop);
  answer_look(1, 1, {{.run = first_run_}});
  seen = orders_of(duration{500});
  EXPECT_FALSE(seen.start || seen.stop);
}

// Guards against a start of the former owner that is carried out, or repeated, after the request.
TEST_F(job_owner_evacuation_test, a_successor_stops_a_start_that_a_look_does_not_show) {
  send_start();
  replace_owner();
  answer_look(1, 1, {});
  const auto seen = orders_of(duration{500});
  EXPECT_FALSE(seen.start);
  EXPECT_TRUE(seen.stop);
}

// Guards against members of a gang that wait for one whose start was withdrawn.
TEST_F(job_owner_evacuation_test, a_gang_is_withdrawn_as_a_whole) {
  const job_id gang{"g"};
  table_.request_cancel(job_name);
  owner_->on_cancelled(job_name, now_);
  table_.accept({.id = gang,
                 .service = service_id{"s"},
                 .spec = {.payload = "p",
                          .steps = {{.count = 2,
                                     .demand = {.millicores = 5'000, .memory_mb = 100},
                                     .gang = true}}}});
  owner_->on_accepted(gang, now_);
  owner_->on_listing({.id = worker_id{"v"},
                      .incarnation = 1,
                      .service = service_id{"s"},
                      .address = "b",
                      .zone = "y",
                      .capacity = {.millicores = 8'000, .memory_mb = 1'000},
                      .labels = {"a", "r"}},
                     now_);
  owner_->on_look_answer(
      {.worker = worker_id{"v"}, .incarnation = 1},
      {.verdict = order_verdict::accepted, .report = {.clock = 1'000, .incarnation = 1}}, now_,
      now_);
  owner_->place(now_, wall_);
  const auto phase = [&](task_index index) { return table_.find(gang)->tasks[index].phase; };
  ASSERT_EQ(phase(0), task_phase::assigned);
  ASSERT_EQ(phase(1), task_phase::assigned);
  evacuate();
  EXPECT_EQ(phase(0), task_phase::waiting);
  EXPECT_EQ(phase(1), task_phase::waiting);
  record();
  EXPECT_FALSE(newest<start_order>());
}

}  // namespace
}  // namespace coltsfoot::jobs
