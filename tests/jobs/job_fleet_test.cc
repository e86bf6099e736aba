// End-to-end tests of jobs on virtual time, and of the invariants that hold through failures.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

jobs::step_spec step(std::uint32_t count, duration length) {
  return {.count = count, .demand = {.millicores = 1'000, .memory_mb = 500}, .estimate = length};
}

jobs::job_spec two_steps(std::uint32_t width) {
  jobs::job_spec spec{.payload = "p",
                      .steps = {step(width, duration{300}), step(width, duration{300})}};
  spec.steps[1].depends_on = {0};
  return spec;
}

jobs::job_spec long_running_job(std::uint32_t width) {
  jobs::job_spec spec{.payload = "p", .steps = {step(width, duration{100})}};
  spec.steps[0].long_running = true;
  return spec;
}

// Waits until one node owns the jobs and knows the workers.
void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
}

TEST(job_fleet_test, runs_steps_in_order_and_shows_the_end_at_every_node) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const auto call = fleet.submit(1, "j", two_steps(4));
  fleet.run_for(duration{50});
  ASSERT_NE(fleet.answer_of(call), nullptr);
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::accepted);
  for (int node = 0; node < 3; ++node) {
    EXPECT_TRUE(fleet.reaches(node, "j", job_state::completed, duration{2'000})) << node;
  }
  EXPECT_EQ(fleet.starts(), 8U);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

TEST(job_fleet_test, one_of_several_claims_at_once_wins) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.nodes = 8, .seed = seed}};
    fleet.run_for(duration{2'000});
    EXPECT_GE(fleet.owner(), 0) << "seed " << seed;
  }
}

TEST(job_fleet_test, an_id_that_is_submitted_twice_is_one_job) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", two_steps(3));
  fleet.submit(2, "j", two_steps(3));
  ASSERT_TRUE(fleet.reaches(1, "j", job_state::completed, duration{3'000}));
  fleet.submit(1, "j", two_steps(3));
  fleet.run_for(duration{2'000});
  EXPECT_EQ(fleet.starts(), 6U);
  EXPECT_TRUE(fleet.broken().empty());
}

TEST(job_fleet_test, a_killed_owner_is_replaced_and_running_work_goes_on) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  jobs::job_spec spec{.payload = "p", .steps = {step(4, duration{4'000})}};
  fleet.submit(0, "j", spec);
  fleet.run_for(duration{500});
  ASSERT_EQ(fleet.running("j"), 4U);
  const int first = fleet.owner();
  fleet.kill_node(first);
  ASSERT_TRUE(fleet.run_until([&] { return fleet.owner() >= 0; }, duration{2'500}));
  EXPECT_TRUE(fleet.reaches((first + 1) % 3, "j", job_state::completed, duration{6'000}));
  EXPECT_EQ(fleet.starts(), 4U) << "no task was started again";
  EXPECT_TRUE(fleet.broken().empty());
}

// Records of callers advance the end of the journal continuously.
TEST(job_fleet_test, an_owner_is_replaced_in_time_while_many_jobs_come) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet{{.nodes = 4, .seed = seed}};
    wait_until_settled(fleet);
    const int first = fleet.owner();
    fleet.kill_node(first);
    const auto killed_at = fleet.now();
    for (int i = 0; i < 1'500 && fleet.owner() < 0; ++i) {
      const int node = (first + 1 + i % 3) % 4;
      fleet.submit(node, "j" + std::to_string(i), two_steps(1));
      fleet.run_for(duration{2});
    }
    EXPECT_GE(fleet.owner(), 0) << "seed " << seed;
    EXPECT_LE(fleet.now() - killed_at, duration{2'200}) << "seed " << seed;
  }
}

TEST(job_fleet_test, a_frozen_owner_sends_no_orders_after_it_resumes) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "long", long_running_job(4));
  fleet.run_for(duration{300});
  const int first = fleet.owner();
  fleet.freeze_node(first, true);
  for (int i = 0; i < 5; ++i) {
    fleet.submit((first + 1) % 3, "j" + std::to_string(i), two_steps(4));
    fleet.run_for(duration{800});
  }
  fleet.freeze_node(first, false);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("long"), 4U);
  EXPECT_GE(fleet.owner(), 0);
  EXPECT_NE(fleet.owner(), first);
  EXPECT_TRUE(fleet.broken().empty());
}

// Polls sent under the previous ownership are rejected because the same node has since claimed a
// newer fence.
TEST(job_fleet_test, an_owner_does_not_step_down_on_responses_to_its_previous_orders) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet{{.nodes = 1, .seed = seed, .slow_looks = 0.5}};
    wait_until_settled(fleet);
    fleet.submit(0, "j", long_running_job(4));
    fleet.run_for(duration{2'000});
    fleet.freeze_node(0, true);
    fleet.run_for(duration{1'050});
    fleet.freeze_node(0, false);
    fleet.run_for(duration{5'000});
    EXPECT_EQ(fleet.node(0).stats().step_downs, 1U) << "seed " << seed;
    EXPECT_EQ(fleet.owner(), 0) << "seed " << seed;
    EXPECT_EQ(fleet.running("j"), 4U) << "seed " << seed;
  }
}

TEST(job_fleet_test, all_nodes_killed_at_once_lose_no_accepted_job) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  for (int i = 0; i < 6; ++i) fleet.submit(i % 3, "j" + std::to_string(i), two_steps(5));
  fleet.run_for(duration{200});
  for (int i = 0; i < 3; ++i) fleet.kill_node(i);
  fleet.run_for(duration{1'500});
  for (int i = 0; i < 3; ++i) fleet.start_node(i);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(
        fleet.reaches(i % 3, "j" + std::to_string(i), job_state::completed, duration{12'000}));
  }
  EXPECT_TRUE(fleet.broken().empty());
}

TEST(job_fleet_test, a_worker_that_is_cut_off_keeps_its_tasks_until_its_lease_is_over) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(4));
  fleet.run_for(duration{500});
  ASSERT_EQ(fleet.running("j"), 4U);
  fleet.set_worker_reachable(0, false);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.starts(), 4U) << "the lease is not over";
  fleet.run_for(duration{5'000});
  EXPECT_EQ(fleet.starts(), 5U) << "the lease is over, though each look could have renewed it";
  fleet.set_worker_reachable(0, true);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("j"), 4U);
  EXPECT_TRUE(fleet.broken().empty());
}

// Guards against starting tasks again whose ends did not fit into the answer to the first look.
TEST(job_fleet_test, more_ends_than_a_worker_lists_at_once_are_all_taken) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{
        {.workers = 1, .seed = seed, .capacity = {.millicores = 64'000, .memory_mb = 256'000}}};
    wait_until_settled(fleet);
    jobs::job_spec spec{.payload = "p", .steps = {step(620, duration{4'000})}};
    spec.steps[0].demand = {.millicores = 100, .memory_mb = 64};
    fleet.submit(0, "j", spec);
    ASSERT_TRUE(fleet.run_until([&] { return fleet.running("j") == 620; }, duration{3'000}));
    fleet.run_for(duration{1'500});
    fleet.set_worker_reachable(0, false);
    fleet.run_for(duration{3'500});
    fleet.set_worker_reachable(0, true);
    EXPECT_TRUE(fleet.reaches(0, "j", job_state::completed, duration{8'000})) << "seed " << seed;
    EXPECT_EQ(fleet.starts(), 620U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
  }
}

TEST(job_fleet_test, a_worker_that_restarts_under_its_id_gets_its_tasks_anew) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(4));
  fleet.run_for(duration{500});
  fleet.restart_worker(0);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.running("j") == 4U; }, duration{3'000}));
  EXPECT_TRUE(fleet.broken().empty());
}

// A restarted worker does not remember which runs were stopped on it.
TEST(job_fleet_test, late_orders_for_a_previous_incarnation_of_a_worker_have_no_effect) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    virtual_fleet fleet{{.seed = seed, .late_orders = 0.25}};
    wait_until_settled(fleet);
    for (int i = 0; i < 12; ++i) {
      fleet.submit(0, "j" + std::to_string(i), two_steps(4));
      fleet.run_for(duration{700});
      fleet.restart_worker(i % 4);
    }
    fleet.run_for(duration{8'000});
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

TEST(job_fleet_test, a_draining_worker_is_emptied_of_lasting_tasks) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(8));
  fleet.run_for(duration{500});
  fleet.list_worker(0, true);
  fleet.run_for(duration{2'000});
  EXPECT_TRUE(fleet.worker(0).runs().empty());
  EXPECT_EQ(fleet.running("j"), 8U);
}

TEST(job_fleet_test, a_cancelled_job_stops_and_stays_cancelled) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", long_running_job(4));
  fleet.run_for(duration{500});
  const auto call = fleet.cancel(1, "j");
  fleet.run_for(duration{1'500});
  ASSERT_NE(fleet.answer_of(call), nullptr);
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::cancelled);
  EXPECT_EQ(fleet.running("j"), 0U);
  fleet.kill_node(fleet.owner());
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("j"), 0U);
  EXPECT_TRUE(fleet.broken().empty());
}

// A copy that is a quarter of a second old does not show a job that was accepted since.
TEST(job_fleet_test, a_job_accepted_by_another_node_just_before_its_cancellation_does_not_run_on) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.seed = seed}};
    wait_until_settled(fleet);
    // With records to read all the time, a node reads the journal each quarter of a second.
    for (std::uint64_t i = 0; i < 20 + seed; ++i) {
      fleet.submit(0, "other-" + std::to_string(i), two_steps(1));
      fleet.run_for(duration{13});
    }
    const auto submitted = fleet.submit(0, "j", long_running_job(2));
    ASSERT_TRUE(
        fleet.run_until([&] { return fleet.answer_of(submitted) != nullptr; }, duration{1'000}));
    ASSERT_EQ(fleet.answer_of(submitted)->verdict, caller_verdict::accepted);
    const auto cancelled = fleet.cancel(1, "j");
    ASSERT_TRUE(
        fleet.run_until([&] { return fleet.answer_of(cancelled) != nullptr; }, duration{3'000}));
    EXPECT_EQ(fleet.answer_of(cancelled)->verdict, caller_verdict::cancelled) << "seed " << seed;
    fleet.run_for(duration{3'200});
    EXPECT_EQ(fleet.running("j"), 0U) << "seed " << seed;
  }
}

// Submits a job whose acceptance the store records after the caller was told that its outcome is
// unknown, and returns that answer.
const jobs::caller_answer* submit_with_late_record(virtual_fleet& fleet, const std::string& id) {
  fleet.set_late_caller_appends(true);
  const auto submitted = fleet.submit(0, id, two_steps(2));
  fleet.run_until([&] { return fleet.answer_of(submitted) != nullptr; }, duration{4'000});
  fleet.set_late_caller_appends(false);
  return fleet.answer_of(submitted);
}

// Guards against a cancellation that is answered before the outcome of the acceptance is known,
// at the node that took the job and at others.
TEST(job_fleet_test, a_cancellation_holds_for_a_job_whose_acceptance_is_recorded_later) {
  for (const int node : {0, 1, 2}) {
    virtual_fleet fleet{{}};
    wait_until_settled(fleet);
    const auto* answer = submit_with_late_record(fleet, "j");
    ASSERT_NE(answer, nullptr);
    ASSERT_EQ(answer->verdict, caller_verdict::outcome_unknown);
    const auto cancelled = fleet.cancel(node, "j");
    fleet.run_until([&] { return fleet.answer_of(cancelled) != nullptr; }, duration{3'000});
    ASSERT_NE(fleet.answer_of(cancelled), nullptr) << "node " << node;
    EXPECT_EQ(fleet.answer_of(cancelled)->verdict, caller_verdict::no_such_job);
    fleet.run_for(duration{9'000});
    EXPECT_EQ(fleet.starts(), 0U) << "node " << node;
    EXPECT_TRUE(fleet.reaches(node, "j", job_state::cancelled, duration{1'000})) << "node " << node;
  }
}

// The shard of an unknown job is not known either: the cancellation has to hold in all of them.
TEST(job_fleet_test, a_cancellation_holds_in_each_shard_for_a_job_that_is_recorded_later) {
  for (int number = 0; number < 4; ++number) {
    virtual_fleet fleet{{.workers = 12, .workers_per_shard = 4}};
    wait_until_settled(fleet);
    ASSERT_EQ(fleet.node(0).shards().size(), 3U);
    const auto id = "j" + std::to_string(number);
    const auto* answer = submit_with_late_record(fleet, id);
    ASSERT_NE(answer, nullptr);
    ASSERT_EQ(answer->verdict, caller_verdict::outcome_unknown);
    const auto cancelled = fleet.cancel(1, id);
    fleet.run_until([&] { return fleet.answer_of(cancelled) != nullptr; }, duration{3'000});
    ASSERT_NE(fleet.answer_of(cancelled), nullptr) << id;
    fleet.run_for(duration{9'000});
    EXPECT_EQ(fleet.starts(), 0U) << id;
  }
}

// Guards against telling a caller that a job doesn't exist while its acceptance may come.
TEST(job_fleet_test, the_state_of_a_job_is_not_denied_while_its_acceptance_may_come) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const auto* answer = submit_with_late_record(fleet, "j");
  ASSERT_NE(answer, nullptr);
  ASSERT_EQ(answer->verdict, caller_verdict::outcome_unknown);
  const auto asked = fleet.query(0, "j");
  fleet.run_for(duration{500});
  ASSERT_NE(fleet.answer_of(asked), nullptr);
  EXPECT_EQ(fleet.answer_of(asked)->verdict, caller_verdict::gone_wrong);
  EXPECT_TRUE(fleet.reaches(0, "j", job_state::completed, duration{9'000}));
}

// The successor knows neither of the end nor of the cancellation.
TEST(job_fleet_test, a_cancellation_that_an_owner_confirmed_before_it_recorded_the_end_holds) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.set_append_time(duration{300});
  fleet.run_for(duration{1'000});
  const int owner = fleet.owner();
  ASSERT_GE(owner, 0);
  const jobs::job_id id{"j"};
  fleet.submit(owner, id.value, {.payload = "p", .steps = {step(1, duration{500})}});
  const auto has_unrecorded_end = [&] {
    const auto& shard = *fleet.node(owner).shards().front();
    const auto* job = shard.table().find(id);
    return job != nullptr && job->ended() && !shard.owner()->is_recorded(id);
  };
  for (int ms = 0; ms < 5'000 && !has_unrecorded_end(); ++ms) fleet.run_for(duration{1});
  ASSERT_TRUE(has_unrecorded_end());
  const auto call = fleet.cancel(owner, id.value);
  fleet.run_for(duration{1});
  const auto* answer = fleet.answer_of(call);
  const bool confirmed = answer != nullptr && answer->verdict == caller_verdict::cancelled;
  fleet.kill_node(owner);
  for (int worker = 0; worker < 4; ++worker) fleet.restart_worker(worker);
  fleet.run_for(duration{6'000});
  EXPECT_FALSE(confirmed && fleet.starts() > 1) << "started again after the cancellation";
}

// Guards against cancellations of jobs that nobody has submitted staying in the journal for good.
TEST(job_fleet_test, the_cancellation_of_an_unknown_job_is_forgotten_after_a_while) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.cancel(1, "nobody's");
  fleet.run_for(duration{135'000});
  fleet.submit(0, "nobody's", two_steps(1));
  EXPECT_TRUE(fleet.reaches(2, "nobody's", job_state::completed, duration{3'000}));
}

TEST(job_fleet_test, the_cancellation_of_an_unknown_job_is_answered_in_time) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const auto call = fleet.cancel(1, "nobody's");
  ASSERT_TRUE(fleet.run_until([&] { return fleet.answer_of(call) != nullptr; }, duration{1'500}));
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::no_such_job);
}

TEST(job_fleet_test, a_store_that_is_down_refuses_jobs_at_once_and_stops_nothing) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  fleet.submit(0, "long", long_running_job(4));
  fleet.run_for(duration{500});
  fleet.set_store_down(true);
  const auto call = fleet.submit(1, "j", two_steps(1));
  fleet.run_for(duration{1'000});
  ASSERT_NE(fleet.answer_of(call), nullptr);
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::unavailable);
  EXPECT_GT(fleet.answer_of(call)->retry_after, duration{0});
  fleet.run_for(duration{9'000});
  EXPECT_EQ(fleet.running("long"), 4U);
  fleet.set_store_down(false);
  fleet.run_for(duration{3'000});
  EXPECT_EQ(fleet.running("long"), 4U);
  EXPECT_EQ(fleet.running("j"), 0U) << "it was refused as not run";
  EXPECT_TRUE(fleet.broken().empty());
}

TEST(job_fleet_test, an_owner_that_loses_the_store_is_replaced) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const int first = fleet.owner();
  fleet.cut_store(first, true);
  fleet.run_for(duration{3'000});
  const int second = fleet.owner();
  EXPECT_GE(second, 0);
  EXPECT_NE(second, first);
  fleet.submit(second, "j", two_steps(4));
  EXPECT_TRUE(fleet.reaches(second, "j", job_state::completed, duration{3'000}));
  fleet.cut_store(first, false);
  fleet.run_for(duration{2'000});
  EXPECT_EQ(fleet.owner(), second);
}

// A newer configuration may have the queue: the caller would believe that it does not exist.
TEST(job_fleet_test,
     a_node_that_cannot_read_the_configuration_says_of_no_queue_that_it_is_unknown) {
  virtual_fleet fleet{{.nodes = 2, .seed = 17}};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{10'000}));
  fleet.run_for(duration{1'000});
  const auto known = fleet.submit_to(0, "/other/job", two_steps(1));
  EXPECT_EQ(fleet.answer_of(known)->verdict, jobs::caller_verdict::no_such_queue);
  fleet.cut_store(0, true);
  fleet.run_for(duration{4'000});
  const auto cut = fleet.submit_to(0, "/other/job", two_steps(1));
  EXPECT_EQ(fleet.answer_of(cut)->verdict, jobs::caller_verdict::unavailable);
}

// Guards against one job whose record the store refuses holding up those of other callers.
TEST(job_fleet_test, a_job_that_is_too_large_for_a_record_is_refused_at_once) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  jobs::job_spec large{.payload = "p", .steps = {}};
  large.steps.assign(5'000, step(1, duration{300}));
  const auto refused = fleet.submit(0, "large", large);
  const auto accepted = fleet.submit(0, "small", two_steps(1));
  fleet.run_for(duration{100});
  ASSERT_NE(fleet.answer_of(refused), nullptr);
  EXPECT_EQ(fleet.answer_of(refused)->verdict, caller_verdict::malformed);
  ASSERT_NE(fleet.answer_of(accepted), nullptr);
  EXPECT_EQ(fleet.answer_of(accepted)->verdict, caller_verdict::accepted);
}

// Guards against a key whose length the store's format can't hold: the job would be lost.
TEST(job_fleet_test, a_job_id_that_is_too_long_for_a_key_is_refused_at_once) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const auto refused = fleet.submit(0, std::string(300, 'j'), two_steps(1));
  ASSERT_NE(fleet.answer_of(refused), nullptr);
  EXPECT_EQ(fleet.answer_of(refused)->verdict, caller_verdict::malformed);
}

// Guards against an owner that tries an append which is too large again and again.
TEST(job_fleet_test, more_progress_than_an_append_holds_is_recorded_in_parts) {
  virtual_fleet fleet{{.workers = 1, .store = {.append_bytes = 1'200}}};
  wait_until_settled(fleet);
  constexpr int jobs = 100;
  jobs::job_spec spec{.payload = "p", .steps = {step(1, duration{2'000})}};
  spec.steps[0].demand = {.millicores = 50, .memory_mb = 50};
  const auto id = [](int i) { return "j" + std::to_string(i); };
  for (int i = 0; i < jobs; ++i) {
    fleet.submit(i % 3, id(i), spec);
    fleet.run_for(duration{5});
  }
  fleet.run_for(duration{500});
  ASSERT_EQ(fleet.starts(), 100U);
  // All of them end meanwhile.
  fleet.set_store_down(true);
  fleet.run_for(duration{3'000});
  fleet.set_store_down(false);
  for (int i = 0; i < jobs; ++i) {
    EXPECT_TRUE(fleet.reaches(i % 3, id(i), job_state::completed, duration{4'000})) << id(i);
  }
  EXPECT_EQ(fleet.starts(), 100U);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

TEST(job_fleet_test, a_compacted_history_is_read_again) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  for (int i = 0; i < 4; ++i) {
    fleet.submit(i % 3, "j" + std::to_string(i), two_steps(3));
    fleet.run_for(duration{100});
    fleet.compact_store();
  }
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(
        fleet.reaches(i % 3, "j" + std::to_string(i), job_state::completed, duration{6'000}));
  }
  EXPECT_TRUE(fleet.broken().empty());
}

// An owner that has not read the progress of its jobs would start all their tasks again.
TEST(job_fleet_test, an_owner_whose_claim_comes_with_a_listing_knows_what_runs) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.seed = seed, .compacted_appends = 0.5}};
    wait_until_settled(fleet);
    fleet.submit(0, "j", long_running_job(6));
    fleet.run_for(duration{1'500});
    ASSERT_EQ(fleet.starts(), 6U);
    fleet.kill_node(fleet.owner());
    fleet.run_for(duration{8'000});
    EXPECT_GE(fleet.owner(), 0) << "seed " << seed;
    EXPECT_EQ(fleet.running("j"), 6U) << "seed " << seed;
    EXPECT_EQ(fleet.starts(), 6U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

TEST(job_fleet_test, a_job_fails_after_its_attempts_and_no_start_follows) {
  virtual_fleet fleet{{.failing_tasks = 1, .max_attempts = 2}};
  wait_until_settled(fleet);
  fleet.submit(0, "j", two_steps(1));
  EXPECT_TRUE(fleet.reaches(1, "j", job_state::failed, duration{15'000}));
  const auto starts = fleet.starts();
  fleet.run_for(duration{3'000});
  EXPECT_EQ(starts, 2U);
  EXPECT_EQ(fleet.starts(), starts);
}

TEST(job_fleet_test, a_node_that_shuts_down_hands_the_jobs_over_at_once) {
  virtual_fleet fleet{{}};
  wait_until_settled(fleet);
  const int first = fleet.owner();
  fleet.ask_shutdown(first);
  EXPECT_TRUE(
      fleet.run_until([&] { return fleet.owner() >= 0 && fleet.owner() != first; }, duration{800}));
}

// What a series of faults draws. Higher numbers are rounds without a fault.
enum class series_fault : std::uint64_t {
  kill_node,
  freeze_node,
  cut_store,
  cut_worker,
  restart_worker,
  compact_store
};
constexpr std::uint64_t series_fault_draws = 9;

void begin_fault(virtual_fleet& fleet, series_fault fault, int node, int worker) {
  if (fault == series_fault::kill_node) fleet.kill_node(node);
  if (fault == series_fault::freeze_node) fleet.freeze_node(node, true);
  if (fault == series_fault::cut_store) fleet.cut_store(node, true);
  if (fault == series_fault::cut_worker) fleet.set_worker_reachable(worker, false);
  if (fault == series_fault::restart_worker) fleet.restart_worker(worker);
  if (fault == series_fault::compact_store) fleet.compact_store();
}

void end_fault(virtual_fleet& fleet, series_fault fault, int node, int worker) {
  if (fault == series_fault::kill_node) fleet.start_node(node);
  if (fault == series_fault::freeze_node) fleet.freeze_node(node, false);
  if (fault == series_fault::cut_store) fleet.cut_store(node, false);
  if (fault == series_fault::cut_worker) fleet.set_worker_reachable(worker, true);
}

// Owners are repeatedly killed, frozen and cut off while responses are lost and orders are delayed.
TEST(job_fleet_test, invariants_hold_through_repeated_faults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    virtual_fleet fleet{{.nodes = 4,
                         .workers = 6,
                         .seed = seed,
                         .lost_answers = 0.03,
                         .late_orders = 0.03,
                         .lost_append_answers = 0.03,
                         .failing_tasks = 0.02,
                         .max_attempts = 6}};
    random_engine random{seed};
    wait_until_settled(fleet);
    fleet.submit(0, "long", long_running_job(3));
    int next_job = 0;
    std::vector<std::pair<call_id, std::string>> submitted;
    for (int round = 0; round < 25; ++round) {
      const std::string id = "j" + std::to_string(next_job++);
      submitted.emplace_back(fleet.submit(static_cast<int>(random() % 4), id, two_steps(4)), id);
      const int node = fleet.owner() >= 0 ? fleet.owner() : static_cast<int>(random() % 4);
      const int worker = static_cast<int>(random() % 6);
      const auto fault = static_cast<series_fault>(random() % series_fault_draws);
      begin_fault(fleet, fault, node, worker);
      fleet.run_for(duration{static_cast<int>(200 + random() % 2'500)});
      end_fault(fleet, fault, node, worker);
    }
    fleet.run_for(duration{10'000});
    for (const auto& [call, id] : submitted) {
      const auto* answer = fleet.answer_of(call);
      if (answer == nullptr || answer->verdict != caller_verdict::accepted) continue;
      EXPECT_TRUE(fleet.reaches(0, id, job_state::completed, duration{8'000}))
          << id << " seed " << seed;
    }
    EXPECT_EQ(fleet.running("long"), 3U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Jobs are cancelled at any node, some as soon as they are accepted, while nodes and workers fail.
TEST(job_fleet_test, no_task_of_a_cancelled_job_runs_on_through_repeated_faults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    virtual_fleet fleet{{.nodes = 4,
                         .workers = 6,
                         .seed = seed,
                         .lost_answers = 0.1,
                         .late_orders = 0.03,
                         .lost_append_answers = 0.03,
                         .failing_tasks = 0.02,
                         .max_attempts = 6}};
    random_engine random{seed};
    wait_until_settled(fleet);
    for (int round = 0; round < 20; ++round) {
      const std::string id = "j" + std::to_string(round);
      fleet.submit(static_cast<int>(random() % 4), id,
                   random() % 2 == 0 ? long_running_job(3) : two_steps(4));
      fleet.run_for(duration{static_cast<int>(random() % 2 == 0 ? 12 : random() % 1'000)});
      fleet.cancel(static_cast<int>(random() % 4), id);
      const int node = fleet.owner() >= 0 ? fleet.owner() : static_cast<int>(random() % 4);
      const int worker = static_cast<int>(random() % 6);
      const auto fault = static_cast<series_fault>(random() % series_fault_draws);
      begin_fault(fleet, fault, node, worker);
      fleet.run_for(duration{static_cast<int>(100 + random() % 1'500)});
      end_fault(fleet, fault, node, worker);
    }
    fleet.run_for(duration{12'000});
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
}

// Sixteen workers in racks of two, four workers a shard.
fleet_options four_shards(std::uint64_t seed) {
  return {.nodes = 6, .workers = 16, .seed = seed, .workers_per_shard = 4};
}

TEST(job_fleet_test, a_large_fleet_has_several_shards_with_owners_of_their_own) {
  virtual_fleet fleet{four_shards(1)};
  wait_until_settled(fleet);
  int owners = 0;
  for (int node = 0; node < 6; ++node) owners += fleet.node(node).owned_shards() > 0 ? 1 : 0;
  EXPECT_EQ(fleet.node(0).shards().size(), 4U);
  EXPECT_GE(owners, 3) << "a node that owns a shard leaves the next one to others";
  for (int i = 0; i < 40; ++i) fleet.submit(i % 6, "j" + std::to_string(i), two_steps(3));
  for (int i = 0; i < 40; ++i) {
    EXPECT_TRUE(
        fleet.reaches((i + 1) % 6, "j" + std::to_string(i), job_state::completed, duration{10'000}))
        << i;
  }
  EXPECT_EQ(fleet.starts(), 240U);
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

TEST(job_fleet_test, the_loss_of_one_owner_does_not_affect_other_shards) {
  virtual_fleet fleet{four_shards(2)};
  wait_until_settled(fleet);
  for (int i = 0; i < 24; ++i) fleet.submit(i % 6, "j" + std::to_string(i), two_steps(2));
  fleet.run_for(duration{200});
  int killed = 0;
  while (fleet.node(killed).owned_shards() == 0) ++killed;
  fleet.kill_node(killed);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{4'000}));
  const int asked = (killed + 1) % 6;
  for (int i = 0; i < 24; ++i) {
    EXPECT_TRUE(
        fleet.reaches(asked, "j" + std::to_string(i), job_state::completed, duration{10'000}))
        << i;
  }
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// The request would name a shard that the node has not opened, and end the process; or the node
// would say of a job in such a shard that it does not exist.
TEST(job_fleet_test, a_node_that_finds_the_layout_and_requests_together_serves_them) {
  virtual_fleet fleet{{.nodes = 3, .workers = 40, .seed = 41, .workers_per_shard = 10}};
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{20'000}));
  constexpr int jobs = 12;
  for (int i = 0; i < jobs; ++i) fleet.submit(0, "job-" + std::to_string(i), long_running_job(1));
  fleet.run_for(duration{1'000});
  fleet.kill_node(2);
  fleet.start_node(2);
  fleet.freeze_node(2, true);
  fleet.run_for(duration{50});
  std::vector<call_id> queries;
  queries.reserve(jobs);
  for (int i = 0; i < jobs; ++i) queries.push_back(fleet.query(2, "job-" + std::to_string(i)));
  for (int i = 0; i < jobs; ++i) fleet.submit(2, "new-" + std::to_string(i), long_running_job(1));
  ASSERT_NO_THROW(fleet.freeze_node(2, false));
  fleet.run_for(duration{3'000});
  for (const auto query : queries) {
    ASSERT_NE(fleet.answer_of(query), nullptr);
    EXPECT_NE(fleet.answer_of(query)->verdict, caller_verdict::no_such_job);
  }
}

TEST(job_fleet_test, the_layout_survives_the_loss_of_all_nodes) {
  virtual_fleet fleet{four_shards(3)};
  wait_until_settled(fleet);
  const auto before = fleet.node(0).shards().front()->layout();
  for (int node = 0; node < 6; ++node) fleet.kill_node(node);
  fleet.compact_store();
  fleet.run_for(duration{1'000});
  for (int node = 0; node < 6; ++node) fleet.start_node(node);
  wait_until_settled(fleet);
  EXPECT_EQ(fleet.node(0).shards().front()->layout(), before);
}

TEST(job_fleet_test, a_replica_that_is_still_loading_reports_no_count) {
  virtual_fleet fleet{four_shards(5)};
  wait_until_settled(fleet);
  jobs::job_spec too_large{.payload = "p", .steps = {step(1, duration{300})}};
  too_large.steps[0].demand.millicores = 1'000'000;
  for (int i = 0; i < 20; ++i) fleet.submit(i % 6, "j" + std::to_string(i), too_large);
  fleet.run_for(duration{1'000});
  fleet.kill_node(0);
  fleet.run_for(duration{100});
  fleet.start_node(0);
  int refused = 0;
  std::size_t reported = 0;
  for (int i = 0; i < 2'000 && reported == 0; ++i) {
    const auto call = fleet.count(0);
    fleet.run_for(duration{1});
    const auto* answer = fleet.answer_of(call);
    ASSERT_NE(answer, nullptr);
    refused += answer->verdict == caller_verdict::counted ? 0 : 1;
    if (answer->verdict == caller_verdict::counted) reported = answer->pending;
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(reported, 20U);
}

TEST(job_fleet_test, strong_nodes_own_the_shards) {
  auto options = four_shards(4);
  options.strengths = {120, 120, 500, 500, 500, 500};
  virtual_fleet fleet{options};
  wait_until_settled(fleet);
  fleet.run_for(duration{20'000});
  EXPECT_TRUE(fleet.is_settled());
  EXPECT_EQ(fleet.node(0).owned_shards() + fleet.node(1).owned_shards(), 0U);
  for (int node = 2; node < 6; ++node) EXPECT_EQ(fleet.node(node).owned_shards(), 1U) << node;
}

}  // namespace
}  // namespace coltsfoot::testing
