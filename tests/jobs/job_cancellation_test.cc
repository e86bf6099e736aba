// Cancellations, and jobs whose acceptance is recorded late.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

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

// The node that takes the job. It owns no shard.
constexpr int taker = 3;

fleet_options with_taker() {
  return {.nodes = 4, .strengths = {500, 500, 500, 100}};
}

// Submits a job whose acceptance the store records after the caller was told that its outcome is
// unknown, and returns that answer. The taker does not reach the owner.
const jobs::caller_answer* submit_with_late_record(virtual_fleet& fleet, const std::string& id) {
  EXPECT_EQ(fleet.node(taker).owned_shards(), 0U);
  fleet.cut_peers(true);
  fleet.set_late_caller_appends(true);
  const auto submitted = fleet.submit(taker, id, two_steps(2));
  fleet.run_until([&] { return fleet.answer_of(submitted) != nullptr; }, duration{4'000});
  fleet.set_late_caller_appends(false);
  fleet.cut_peers(false);
  return fleet.answer_of(submitted);
}

// Guards against a cancellation that is answered before the outcome of the acceptance is known,
// at the node that took the job and at others.
TEST(job_fleet_test, a_cancellation_holds_for_a_job_whose_acceptance_is_recorded_later) {
  for (const int node : {0, 1, 2, taker}) {
    virtual_fleet fleet{with_taker()};
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
    auto options = with_taker();
    options.workers = 12;
    options.workers_per_shard = 4;
    virtual_fleet fleet{options};
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
  virtual_fleet fleet{with_taker()};
  wait_until_settled(fleet);
  const auto* answer = submit_with_late_record(fleet, "j");
  ASSERT_NE(answer, nullptr);
  ASSERT_EQ(answer->verdict, caller_verdict::outcome_unknown);
  const auto asked = fleet.query(taker, "j");
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

}  // namespace
}  // namespace coltsfoot::testing
