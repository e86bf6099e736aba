// Nodes that are weaker than the owners read the journals rarely, and serve callers as before.
#include <gtest/gtest.h>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

constexpr int first_strong = 2;

// Nodes 0 and 1 are weak. Four shards of four workers.
fleet_options two_weak_nodes() {
  return {.nodes = 6,
          .workers = 16,
          .workers_per_shard = 4,
          .strengths = {120, 120, 500, 500, 500, 500}};
}

jobs::job_spec short_job() {
  return {.payload = "p",
          .steps = {{.count = 2,
                     .demand = {.millicores = 1'000, .memory_mb = 500},
                     .estimate = duration{300}}}};
}

void wait_until_settled(virtual_fleet& fleet) {
  ASSERT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  // Better placed nodes relieve the first owners.
  fleet.run_for(duration{20'000});
  ASSERT_TRUE(fleet.is_settled());
}

std::uint64_t reads_in(virtual_fleet& fleet, int node, duration time) {
  const auto before = fleet.node(node).stats().journal_reads;
  fleet.run_for(time);
  return fleet.node(node).stats().journal_reads - before;
}

// Guards against calls to the store that grow with the number of small nodes.
TEST(follower_reads_test, a_weak_node_makes_half_of_the_reads_of_a_strong_one_at_most) {
  virtual_fleet fleet{two_weak_nodes()};
  wait_until_settled(fleet);
  const auto weak = reads_in(fleet, 0, duration{10'000});
  const auto strong = reads_in(fleet, first_strong, duration{10'000});
  EXPECT_GT(weak, 0U);
  EXPECT_LE(2 * weak, strong);
}

// Guards against callers who pay for the rare reads: a job that another node has just accepted is
// known, its end is shown, and unknown jobs are told as such.
TEST(follower_reads_test, a_weak_node_answers_like_others) {
  virtual_fleet fleet{two_weak_nodes()};
  wait_until_settled(fleet);
  for (int i = 0; i < 20; ++i) {
    const auto id = "j" + std::to_string(i);
    const auto accepted = fleet.submit(first_strong + i % 4, id, short_job());
    fleet.run_for(duration{100});
    ASSERT_NE(fleet.answer_of(accepted), nullptr);
    ASSERT_EQ(fleet.answer_of(accepted)->verdict, caller_verdict::accepted);
    const auto asked = fleet.query(0, id);
    const auto unknown = fleet.query(0, "unknown" + std::to_string(i));
    fleet.run_for(duration{400});
    ASSERT_NE(fleet.answer_of(asked), nullptr);
    EXPECT_EQ(fleet.answer_of(asked)->verdict, caller_verdict::state) << i;
    ASSERT_NE(fleet.answer_of(unknown), nullptr);
    EXPECT_EQ(fleet.answer_of(unknown)->verdict, caller_verdict::no_such_job) << i;
    EXPECT_TRUE(fleet.reaches(1, id, job_state::completed, duration{2'000})) << i;
  }
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

// Guards against cancellations of unknown jobs that wait for the next rare read.
TEST(follower_reads_test, the_cancellation_of_an_unknown_job_hurries_the_reads) {
  virtual_fleet fleet{two_weak_nodes()};
  wait_until_settled(fleet);
  for (int i = 0; i < 10; ++i) {
    const auto call = fleet.cancel(0, "never" + std::to_string(i));
    // The read under way and the next one may each wait for a record for 400 ms.
    fleet.run_for(duration{1'000});
    ASSERT_NE(fleet.answer_of(call), nullptr) << i;
    EXPECT_EQ(fleet.answer_of(call)->verdict, caller_verdict::no_such_job) << i;
  }
}

// Guards against shards without an owner once all strong nodes are lost at the same time.
TEST(follower_reads_test, weak_nodes_take_over_when_all_strong_ones_die) {
  virtual_fleet fleet{two_weak_nodes()};
  wait_until_settled(fleet);
  for (int i = 0; i < 12; ++i) fleet.submit(i % 6, "j" + std::to_string(i), short_job());
  fleet.run_for(duration{150});
  for (int node = first_strong; node < 6; ++node) fleet.kill_node(node);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(); }, duration{8'000}));
  for (int i = 0; i < 12; ++i) {
    const auto id = "j" + std::to_string(i);
    EXPECT_TRUE(fleet.reaches(i % 2, id, job_state::completed, duration{20'000})) << i;
  }
  EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin();
}

}  // namespace
}  // namespace coltsfoot::testing
