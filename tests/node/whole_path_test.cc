// The whole path over several cores: configuration, tasks and requests, without faults and with
// one.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "tests/node/virtual_cluster.h"

namespace coltsfoot::testing {
namespace {

constexpr resources plan_limit{.millicores = 4'000, .memory_mb = 4'000};

task_spec task_of(virtual_cluster& cluster, const std::string& id, int run_ms) {
  return {.id = task_id{id},
          .customer = customer_id{"c0"},
          .size = {.millicores = 1'000, .memory_mb = 500},
          .interference_class = "sort",
          .issued_at = wall_time{cluster.now().time_since_epoch()},
          .payload = std::to_string(run_ms)};
}

bool ended(virtual_cluster& cluster, int entry, const std::string& id, task_phase phase) {
  const auto status = cluster.status_of(entry, customer_id{"c0"}, task_id{id});
  return status && status->phase == phase;
}

// Guards against a break anywhere between submission, log, placement, lease and outcome.
TEST(whole_path_test, accepted_tasks_finish_once) {
  virtual_cluster cluster{{.seed = 1}};
  cluster.run_for(duration{6'000});
  ASSERT_TRUE(cluster.publish(1, plan_limit));
  cluster.run_for(duration{6'000});
  std::vector<task_spec> tasks;
  tasks.reserve(6);
  for (int t = 0; t < 6; ++t) tasks.push_back(task_of(cluster, "t" + std::to_string(t), 500));
  const auto call = cluster.submit(1, customer_id{"c0"}, tasks);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.operator_replies().contains(call); },
                                duration{5'000}));
  const auto* reply = std::get_if<submit_tasks_reply>(&cluster.operator_replies().at(call));
  ASSERT_NE(reply, nullptr);
  for (const auto& result : reply->results) {
    EXPECT_EQ(result.status, submit_status::accepted) << result.reason;
  }
  for (int t = 0; t < 6; ++t) {
    EXPECT_TRUE(cluster.run_until(
        [&] { return ended(cluster, 2, "t" + std::to_string(t), task_phase::finished); },
        duration{20'000}));
  }
  EXPECT_EQ(cluster.journal().entries.size(), 12U);  // a start and a finish each
  EXPECT_TRUE(cluster.journal().violations.empty());
}

// Guards against an entry node that can't reach the backend servers of a rack it does not own.
TEST(whole_path_test, requests_are_answered_through_each_node) {
  virtual_cluster cluster{{.seed = 2}};
  cluster.run_for(duration{6'000});
  ASSERT_TRUE(cluster.publish(1, plan_limit));
  cluster.run_for(duration{6'000});
  std::vector<call_id> calls;
  calls.reserve(30);
  for (int r = 0; r < 30; ++r) {
    calls.push_back(cluster.call_service(r % 3, {.id = request_id{"r" + std::to_string(r)},
                                                 .customer = customer_id{"c0"},
                                                 .service = service_id{"s"},
                                                 .time_left = duration{2'000}}));
  }
  cluster.run_for(duration{3'000});
  for (int r = 0; r < 30; ++r) {
    const auto found = cluster.answers().find(calls[r]);
    ASSERT_NE(found, cluster.answers().end());
    EXPECT_EQ(found->second.answer.body, "answer to r" + std::to_string(r))
        << found->second.answer.detail;
  }
}

// Guards against a node that ends at its shutdown limit without an answer to each of its callers.
TEST(whole_path_test, callers_are_answered_when_the_shutdown_limit_is_over) {
  virtual_cluster cluster{{.seed = 4}};
  cluster.run_for(duration{6'000});
  ASSERT_TRUE(cluster.publish(1, plan_limit));
  cluster.run_for(duration{6'000});
  std::map<call_id, std::string> calls;
  for (int r = 0; r < 20; ++r) {
    const auto id = "r" + std::to_string(r);
    calls.emplace(cluster.call_service(0, {.id = request_id{id},
                                           .customer = customer_id{"c0"},
                                           .service = service_id{"s"},
                                           .time_left = duration{60'000}}),
                  id);
  }
  // Neither a backend server nor another node replies any more.
  cluster.options.longest_backend_call = duration{1'000'000'000};
  cluster.run_for(duration{10});
  cluster.cut_off({0});
  cluster.shut_down(0);
  cluster.run_for(duration{29'000});
  ASSERT_TRUE(cluster.alive(0));
  ASSERT_LT(cluster.answers().size(), calls.size());
  ASSERT_TRUE(cluster.run_until([&] { return cluster.has_stopped(0); }, duration{2'000}));
  for (const auto& [call, id] : calls) {
    const auto found = cluster.answers().find(call);
    ASSERT_NE(found, cluster.answers().end()) << id;
    const auto& answer = found->second.answer;
    const bool says_not_run = !answer.answered && answer.executed == execution::not_run;
    EXPECT_FALSE(says_not_run && cluster.backend_runs().contains(id)) << id;
  }
}

// Guards against tasks that vanish or run twice when the node that owns them dies.
TEST(whole_path_test, tasks_survive_the_death_of_a_node) {
  virtual_cluster cluster{{.seed = 3}};
  cluster.run_for(duration{6'000});
  ASSERT_TRUE(cluster.publish(1, plan_limit));
  cluster.run_for(duration{6'000});
  std::vector<task_spec> tasks;
  tasks.reserve(8);
  for (int t = 0; t < 8; ++t) tasks.push_back(task_of(cluster, "t" + std::to_string(t), 8'000));
  cluster.submit(0, customer_id{"c0"}, tasks);
  cluster.run_for(duration{2'000});
  cluster.kill(1);
  cluster.run_for(duration{500});
  cluster.kill(2);
  cluster.run_for(duration{30'000});
  cluster.start(2);
  for (int t = 0; t < 8; ++t) {
    EXPECT_TRUE(cluster.run_until(
        [&] { return ended(cluster, 0, "t" + std::to_string(t), task_phase::finished); },
        duration{120'000}));
  }
  EXPECT_TRUE(cluster.journal().violations.empty());
}

}  // namespace
}  // namespace coltsfoot::testing
