// The owner of a shard records what callers ask for at other nodes, while it or its links fail.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr int nodes = 6;
constexpr duration answer_limit{3'000};  // a caller gives up after that
constexpr duration end_limit{30'000};

class group_commit_test : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override { wait_until_settled(fleet_); }

  int other_node() const { return (fleet_.owner() + 1) % nodes; }

  // Submits a job at a node and waits for the caller's answer.
  jobs::caller_verdict submit(int node, const std::string& id) {
    const auto call = fleet_.submit(node, id, two_steps(2));
    fleet_.run_until([&] { return fleet_.answer_of(call) != nullptr; }, answer_limit);
    const auto* answer = fleet_.answer_of(call);
    return answer == nullptr ? jobs::caller_verdict::gone_wrong : answer->verdict;
  }

  void expect_completed(const std::string& id) {
    EXPECT_TRUE(fleet_.reaches(other_node(), id, jobs::job_state::completed, end_limit)) << id;
  }

  void expect_nothing_broken() {
    for (const auto& violation : fleet_.broken()) ADD_FAILURE() << violation;
  }

  virtual_fleet fleet_{{.nodes = nodes, .seed = GetParam(), .serial_appends = true}};
};

// Guards against an append of its own for each node that takes requests.
TEST_P(group_commit_test, requests_at_many_nodes_share_the_appends_of_the_owner) {
  constexpr int jobs = 30;
  fleet_.set_append_time(duration{100});
  const auto before = fleet_.appends();
  std::vector<call_id> calls;
  calls.reserve(jobs);
  for (int i = 0; i < jobs; ++i) {
    calls.push_back(fleet_.submit(i % nodes, "j" + std::to_string(i), two_steps(1)));
  }
  fleet_.run_for(duration{1'000});
  EXPECT_LE(fleet_.appends() - before, 6U) << "one each 200 ms, the answer included";
  for (const auto call : calls) {
    ASSERT_NE(fleet_.answer_of(call), nullptr);
    EXPECT_EQ(fleet_.answer_of(call)->verdict, jobs::caller_verdict::accepted);
  }
  for (int i = 0; i < jobs; ++i) expect_completed("j" + std::to_string(i));
  expect_nothing_broken();
}

// Guards against callers who wait in vain for an owner that does not answer.
TEST_P(group_commit_test, a_job_is_accepted_in_time_while_the_owner_is_frozen) {
  const auto owner = fleet_.owner();
  const auto node = other_node();
  fleet_.freeze_node(owner, true);
  EXPECT_EQ(submit(node, "j"), jobs::caller_verdict::accepted);
  fleet_.run_for(duration{2'000});
  fleet_.freeze_node(owner, false);
  expect_completed("j");
  expect_nothing_broken();
}

TEST_P(group_commit_test, a_job_is_accepted_in_time_after_the_owner_was_killed) {
  const auto node = other_node();
  fleet_.kill_node(fleet_.owner());
  EXPECT_EQ(submit(node, "j"), jobs::caller_verdict::accepted);
  expect_completed("j");
  expect_nothing_broken();
}

// Guards against a store that refuses the owner alone and so keeps jobs away from all nodes.
TEST_P(group_commit_test, a_job_is_accepted_in_time_while_the_owner_is_cut_from_the_store) {
  const auto owner = fleet_.owner();
  const auto node = other_node();
  fleet_.cut_store(owner, true);
  EXPECT_EQ(submit(node, "j"), jobs::caller_verdict::accepted);
  fleet_.run_for(duration{3'000});
  fleet_.cut_store(owner, false);
  expect_completed("j");
  expect_nothing_broken();
}

// Guards against an owner that leaves while requests of other nodes wait for its next append.
TEST_P(group_commit_test, jobs_that_come_while_the_owner_shuts_down_are_accepted_or_refused) {
  fleet_.set_append_time(duration{100});
  const auto owner = fleet_.owner();
  fleet_.ask_shutdown(owner);
  std::vector<std::string> accepted;
  for (int i = 0; i < 20; ++i) {
    const auto id = "j" + std::to_string(i);
    const int node = (owner + 1 + i % (nodes - 1)) % nodes;
    if (submit(node, id) == jobs::caller_verdict::accepted) accepted.push_back(id);
  }
  EXPECT_GE(accepted.size(), 15U);
  fleet_.run_for(duration{3'000});
  for (const auto& id : accepted) {
    EXPECT_TRUE(fleet_.reaches((owner + 1) % nodes, id, jobs::job_state::completed, end_limit))
        << id;
  }
  expect_nothing_broken();
}

// Guards against an owner that repeats for long what a caller was told of as unknown.
TEST_P(group_commit_test, a_request_is_not_recorded_long_after_its_caller_has_left) {
  fleet_.set_store_down(true);
  const auto call = fleet_.submit(other_node(), "j", two_steps(1));
  fleet_.run_for(duration{12'000});
  ASSERT_NE(fleet_.answer_of(call), nullptr);
  EXPECT_NE(fleet_.answer_of(call)->verdict, jobs::caller_verdict::accepted);
  fleet_.set_store_down(false);
  fleet_.run_for(duration{6'000});
  EXPECT_EQ(fleet_.starts(), 0U);
  expect_nothing_broken();
}

// Guards against a peer whose records an owner can't append, or that would pass for its own.
TEST_P(group_commit_test, an_owner_refuses_records_that_are_not_of_callers_or_too_large) {
  const auto owner = fleet_.owner();
  const std::string large(jobs::store_limits{}.record_bytes, 'x');
  const std::vector<journal_records> requests{
      {.shard = 0, .records = {{.key = "owner", .value = "v"}}},
      {.shard = 0, .records = {{.key = "progress/j", .value = "v"}}},
      {.shard = 0, .records = {{.key = "acceptance/j", .value = large}}},
      {.shard = 7, .records = {{.key = "acceptance/j", .value = "v"}}}};
  for (const auto& request : requests) {
    const auto call = fleet_.ask_as_peer(owner, request);
    fleet_.run_for(duration{100});
    const auto* reply = fleet_.reply_to(call);
    ASSERT_NE(reply, nullptr);
    EXPECT_EQ(std::get<journal_records_reply>(*reply).fate, record_fate::not_recorded);
  }
  EXPECT_EQ(fleet_.owner(), owner);
  EXPECT_EQ(submit(other_node(), "k"), jobs::caller_verdict::accepted);
  expect_completed("k");
}

// Guards against records that a former owner takes and never makes.
TEST_P(group_commit_test, a_node_that_is_no_owner_records_nothing_for_others) {
  const auto call = fleet_.ask_as_peer(
      other_node(), journal_records{.records = {{.key = "acceptance/j", .value = "v"}}});
  fleet_.run_for(duration{100});
  const auto* reply = fleet_.reply_to(call);
  ASSERT_NE(reply, nullptr);
  EXPECT_EQ(std::get<journal_records_reply>(*reply).fate, record_fate::not_recorded);
}

INSTANTIATE_TEST_SUITE_P(seeds, group_commit_test, ::testing::Values(1, 2, 3, 4, 5));

}  // namespace
}  // namespace coltsfoot::testing
