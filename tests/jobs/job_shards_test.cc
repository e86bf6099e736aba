// Fleets that are divided into shards.
#include <gtest/gtest.h>

#include "tests/jobs/fleet_jobs.h"
#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::caller_verdict;
using jobs::job_state;

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

// Guards against a job that is accepted in two shards, as its rack got a shard between two calls.
TEST(job_fleet_test, an_acceptance_and_its_repetition_after_a_rack_was_added_are_one_job) {
  constexpr int racks = 3;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    virtual_fleet fleet{{.nodes = 4, .workers = 2 * racks, .seed = seed, .workers_per_shard = 2}};
    const auto show_last_rack = [&](bool shown) {
      fleet.set_worker_reachable(2 * racks - 2, shown);
      fleet.set_worker_reachable(2 * racks - 1, shown);
    };
    show_last_rack(false);
    wait_until_settled(fleet);
    ASSERT_EQ(fleet.node(0).shards().size(), 2U);
    auto spec = long_running_job(2);
    spec.steps[0].data_label = "r" + std::to_string(racks - 1);
    const auto submit_all = [&](int node) {
      for (int i = 0; i < 6; ++i) fleet.submit(node, "j" + std::to_string(i), spec);
    };
    // A node that owns no shard, and does not reach those that do.
    int taker = 0;
    while (taker < 2 && fleet.node(taker).owned_shards() > 0) ++taker;
    ASSERT_EQ(fleet.node(taker).owned_shards(), 0U) << "seed " << seed;
    fleet.cut_peers(true);
    fleet.set_late_caller_appends(true);
    submit_all(taker);
    fleet.run_for(duration{300});
    fleet.set_late_caller_appends(false);
    fleet.cut_peers(false);
    show_last_rack(true);
    const auto is_known = [&] {
      return fleet.node(1).shards().front()->layout().shard_of_rack(spec.steps[0].data_label);
    };
    ASSERT_TRUE(fleet.run_until([&] { return is_known().has_value(); }, duration{4'000}));
    submit_all((taker + 1) % 3);
    fleet.run_for(duration{8'000});
    EXPECT_EQ(fleet.starts(), 12U) << "seed " << seed;
    EXPECT_TRUE(fleet.broken().empty()) << *fleet.broken().begin() << " seed " << seed;
  }
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
