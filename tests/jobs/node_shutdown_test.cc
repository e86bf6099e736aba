// Requests to a node that shuts down, on virtual time.
#include <gtest/gtest.h>

#include <map>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

// Time from the shutdown's start in which a node without faults serves as before.
constexpr duration serving_time{2'000};

jobs::job_spec short_job() {
  return {
      .payload = "p",
      .steps = {
          {.count = 1, .demand = {.millicores = 100, .memory_mb = 50}, .estimate = duration{100}}}};
}

// What callers asked a node for while it shut down.
struct sent_requests {
  std::map<std::string, call_id> submissions;  // by job
  std::vector<call_id> others;
};

// Sends requests to a node from its shutdown's start until it has ended.
sent_requests use_until_end(virtual_fleet& fleet, int node, const std::string& known_job) {
  sent_requests sent;
  fleet.ask_shutdown(node);
  for (int i = 0; fleet.runs(node); ++i) {
    const std::string id = "late" + std::to_string(i);
    sent.submissions[id] = fleet.submit(node, id, short_job());
    sent.others.push_back(fleet.query(node, known_job));
    sent.others.push_back(fleet.cancel(node, "cancelled" + std::to_string(i)));
    fleet.run_for(duration{7});
  }
  return sent;
}

// A fleet with a job, and with jobs that are cancelled one by one.
void prepare(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  fleet.run_for(duration{500});
  for (int i = 0; i < 700; ++i) {
    jobs::job_spec unplaceable = short_job();
    unplaceable.steps[0].demand.millicores = 1'000'000;
    fleet.submit(0, "cancelled" + std::to_string(i), unplaceable);
  }
  fleet.submit(0, "known", short_job());
  fleet.run_for(duration{500});
}

// Guards against connections that a node closes at its end without an answer.
TEST(node_shutdown_test, requests_taken_during_a_shutdown_are_answered) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    virtual_fleet fleet{{.seed = seed, .lost_append_answers = 0.5}};
    prepare(fleet);
    const int node = static_cast<int>(seed % 3);
    const auto sent = use_until_end(fleet, node, "known");
    std::size_t unanswered = 0;
    for (const auto& [id, call] : sent.submissions) unanswered += fleet.answer_of(call) == nullptr;
    for (const auto call : sent.others) unanswered += fleet.answer_of(call) == nullptr;
    EXPECT_EQ(unanswered, 0U) << "seed " << seed;
  }
}

// Guards against a submission that is refused as not run although its append is under way.
TEST(node_shutdown_test, jobs_refused_during_a_shutdown_never_run) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    virtual_fleet fleet{{.seed = seed, .lost_append_answers = 0.5}};
    prepare(fleet);
    const int node = static_cast<int>(seed % 3);
    const auto sent = use_until_end(fleet, node, "known");
    fleet.run_for(duration{3'000});
    std::size_t refused = 0;
    for (const auto& [id, call] : sent.submissions) {
      const auto* answer = fleet.answer_of(call);
      if (answer == nullptr || answer->verdict != caller_verdict::unavailable) continue;
      ++refused;
      EXPECT_GT(answer->retry_after, duration{0}) << id << " seed " << seed;
      const auto asked = fleet.query((node + 1) % 3, id);
      fleet.run_for(duration{400});
      ASSERT_NE(fleet.answer_of(asked), nullptr);
      EXPECT_EQ(fleet.answer_of(asked)->verdict, caller_verdict::no_such_job)
          << id << " seed " << seed;
    }
    EXPECT_GT(refused, 0U) << "seed " << seed;
  }
}

// Guards against an append that is under way at the node's end and is never reported to its caller.
TEST(node_shutdown_test, an_append_under_way_at_the_end_is_reported_as_unknown) {
  virtual_fleet fleet{{}};
  prepare(fleet);
  const int node = (fleet.owner() + 1) % 3;
  fleet.set_append_time(duration{60'000});
  fleet.ask_shutdown(node);
  fleet.run_for(duration{1'500});
  ASSERT_TRUE(fleet.runs(node));
  const auto call = fleet.submit(node, "j", short_job());
  ASSERT_TRUE(fleet.run_until([&] { return !fleet.runs(node); }, duration{4'000}));
  ASSERT_NE(fleet.answer_of(call), nullptr);
  EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::outcome_unknown);
}

// Guards against a node that turns callers away while they are still sent to it.
TEST(node_shutdown_test, a_node_serves_until_callers_are_sent_elsewhere) {
  virtual_fleet fleet{{}};
  prepare(fleet);
  fleet.ask_shutdown(0);
  std::map<std::string, call_id> calls;
  for (int i = 0; i < serving_time / duration{20}; ++i) {
    const std::string id = "j" + std::to_string(i);
    calls[id] = fleet.submit(0, id, short_job());
    fleet.run_for(duration{20});
  }
  for (const auto& [id, call] : calls) {
    ASSERT_NE(fleet.answer_of(call), nullptr) << id;
    EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::accepted) << id;
  }
}

// Brings a node that is no owner close to the end of its shutdown, where the append of the job
// "open" keeps it from ending early.
int node_close_to_its_end(virtual_fleet& fleet) {
  const int node = (fleet.owner() + 1) % 3;
  fleet.set_append_time(duration{60'000});
  fleet.cut_peers(true);
  fleet.ask_shutdown(node);
  fleet.run_for(duration{2'000});
  fleet.submit(node, "open", short_job());
  fleet.run_for(duration{1'000});
  EXPECT_TRUE(fleet.runs(node));
  return node;
}

TEST(node_shutdown_test, requests_that_would_wait_close_to_the_end_are_refused_at_once) {
  virtual_fleet fleet{{}};
  prepare(fleet);
  const int node = node_close_to_its_end(fleet);
  const auto submitted = fleet.submit(node, "j", short_job());
  const auto cancelled = fleet.cancel(node, "cancelled0");
  ASSERT_NE(fleet.answer_of(submitted), nullptr);
  EXPECT_EQ(fleet.answer_of(submitted)->verdict, caller_verdict::unavailable);
  ASSERT_NE(fleet.answer_of(cancelled), nullptr);
  EXPECT_EQ(fleet.answer_of(cancelled)->verdict, caller_verdict::gone_wrong);
}

// Guards against a repeat that is refused as not run although the job is accepted or may be.
TEST(node_shutdown_test, repeats_of_an_accepted_job_close_to_the_end_are_not_refused) {
  virtual_fleet fleet{{}};
  prepare(fleet);
  const int node = node_close_to_its_end(fleet);
  const auto repeated = fleet.submit(node, "known", short_job());
  ASSERT_NE(fleet.answer_of(repeated), nullptr);
  EXPECT_EQ(fleet.answer_of(repeated)->verdict, caller_verdict::accepted);
  const auto queried = fleet.query(node, "known");
  ASSERT_NE(fleet.answer_of(queried), nullptr);
  EXPECT_EQ(fleet.answer_of(queried)->verdict, caller_verdict::state);
  // The store has recorded the job, and its answer to the append is still under way.
  const auto open = fleet.submit(node, "open", short_job());
  ASSERT_NE(fleet.answer_of(open), nullptr);
  EXPECT_EQ(fleet.answer_of(open)->verdict, caller_verdict::accepted);
}

// Guards against a repeat that is refused as not run while an append of the first attempt may still
// be executed.
TEST(node_shutdown_test, a_repeat_of_a_submission_with_unknown_outcome_is_not_refused) {
  for (const bool shutting_down : {false, true}) {
    virtual_fleet fleet{{}};
    prepare(fleet);
    const int node = (fleet.owner() + 1) % 3;
    fleet.cut_peers(true);
    fleet.set_late_caller_appends(true);
    if (shutting_down) fleet.ask_shutdown(node);
    const auto first = fleet.submit(node, "j", short_job());
    fleet.run_for(duration{2'000});
    // Keeps the node from ending early.
    fleet.submit(node, "open", short_job());
    fleet.run_for(duration{950});
    ASSERT_NE(fleet.answer_of(first), nullptr);
    ASSERT_EQ(fleet.answer_of(first)->verdict, caller_verdict::outcome_unknown);
    if (!shutting_down) fleet.cut_store(node, true);
    fleet.run_for(duration{100});
    ASSERT_TRUE(fleet.runs(node));
    const auto repeat = fleet.submit(node, "j", short_job());
    fleet.run_for(duration{10'000});
    ASSERT_NE(fleet.answer_of(repeat), nullptr);
    EXPECT_EQ(fleet.answer_of(repeat)->verdict, caller_verdict::outcome_unknown) << shutting_down;
    EXPECT_TRUE(fleet.reaches((node + 1) % 3, "j", job_state::completed, duration{2'000}));
  }
}

}  // namespace
}  // namespace coltsfoot::testing
