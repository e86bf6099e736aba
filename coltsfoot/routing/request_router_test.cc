#include "coltsfoot/routing/request_router.h"
#include "tests/support/log_pairs.h"
#include "tests/support/project_paths.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace coltsfoot {
namespace {

const time_point start{duration{1'000}};

// A router with one customer and racks that all serve one service.
class request_router_test : public ::testing::Test {
 protected:
  request_router_test() {
    config_.plans["gold"] = {.id = plan_id{"gold"}, .highest_urgency = urgency::urgent};
    config_.plans["basic"] = {.id = plan_id{"basic"}};
    config_.customers["c"] = {.id = customer_id{"c"}, .plan = plan_id{"gold"}};
    config_.customers["slow"] = {.id = customer_id{"slow"}, .plan = plan_id{"basic"}};
    directory_.set_address(node_id{"n1"}, "127.0.0.1:1");
    add_unit("customer/c", {});
    add_unit("rack/z1/r1", {{.service = service_id{"s"}, .free_slots = 8, .total_slots = 8}});
    add_unit("rack/z1/r2", {{.service = service_id{"s"}, .free_slots = 8, .total_slots = 8}});
  }

  void add_unit(const std::string& unit, std::vector<service_room> services) {
    directory_.update({.unit = unit_id{unit},
                       .unit_epoch = 1,
                       .owner = node_id{"n1"},
                       .version = 1,
                       .ready = true,
                       .services = std::move(services)});
  }

  static service_request request_of(std::string customer) {
    return {.id = request_id{"r1"},
            .customer = customer_id{std::move(customer)},
            .service = service_id{"s"},
            .time_left = duration{1'000}};
  }

  // Returns the first command of a kind that the router gave, and forgets all commands.
  template <typename Command>
  std::optional<Command> take() {
    for (auto& c : out_.take_commands()) {
      if (auto* wanted = std::get_if<Command>(&c)) return std::move(*wanted);
    }
    return std::nullopt;
  }

  void receive(const service_request& request) {
    router_.on_caller_request(1, request, start, view_);
  }
  void reply(call_id call, const service_answer& answer, time_point now = start) {
    router_.on_peer_replied(call, peer_reply{request_reply{answer}}, now, view_);
  }

  outbox out_;
  cluster_config config_;
  unit_directory directory_;
  router_view view_{out_, config_, directory_};
  request_router router_{{.most_in_progress = 10},
                         *state_chart::load(testing::charts_dir() + "/request.yaml")};
};

// Guards against an answer that goes to another caller or is dropped.
TEST_F(request_router_test, passes_the_whole_answer_to_its_caller) {
  receive(request_of("c"));
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  reply(sent->call, {.answered = true, .status = 200, .body = "whole"});
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->call, 1U);
  EXPECT_EQ(answer->answer.body, "whole");
  reply(sent->call, {.answered = true, .status = 200, .body = "late"});
  EXPECT_FALSE(take<answer_caller>());
}

// Guards against ids of a caller that forge pairs of the log lines that name them.
TEST_F(request_router_test, logs_ids_of_callers_as_one_value) {
  const auto expect_pairs = [this](const std::string& event, const std::string& id) {
    const auto line = take<write_log_line>();
    ASSERT_TRUE(line);
    const auto pairs = testing::parse_log_pairs(line->text);
    ASSERT_TRUE(pairs) << line->text;
    EXPECT_EQ(pairs->at("event"), event);
    EXPECT_EQ(pairs->at("request"), id);
  };
  auto request = request_of("c");
  request.id = request_id{"r1 rack=z9/r9 x=\""};
  receive(request);
  expect_pairs("route_rack", request.id.value);
  request.customer = customer_id{"nobody reason=none"};
  request.service = service_id{};
  receive(request);
  expect_pairs("refuse_request", request.id.value);
}

// Guards against a request that one full rack refuses although another one has room.
TEST_F(request_router_test, tries_another_rack_after_a_refusal) {
  receive(request_of("c"));
  const auto first = take<send_peer_request>();
  ASSERT_TRUE(first);
  reply(first->call, {.reason = refusal_reason::overloaded, .executed = execution::not_run});
  router_.on_tick(start + duration{100}, view_);
  const auto second = take<send_peer_request>();
  ASSERT_TRUE(second);
  EXPECT_NE(std::get<forward_request>(first->request).rack,
            std::get<forward_request>(second->request).rack);
}

// Guards against "not run" being said after an earlier attempt that may have run.
TEST_F(request_router_test, never_says_not_run_after_an_attempt_without_verdict) {
  receive(request_of("c"));
  const auto first = take<send_peer_request>();
  router_.on_peer_replied(first->call, tl::unexpected(peer_failure::unknown), start, view_);
  router_.on_tick(start + duration{100}, view_);
  const auto second = take<send_peer_request>();
  ASSERT_TRUE(second);
  reply(second->call, {.reason = refusal_reason::deadline, .executed = execution::not_run});
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer.executed, execution::unknown);
}

// Guards against a second run of a non-idempotent request after a lost reply.
TEST_F(request_router_test, does_not_repeat_a_non_idempotent_request_without_verdict) {
  auto request = request_of("c");
  request.idempotent = false;
  request.issued_at = wall_time{duration{1}};
  receive(request);
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  EXPECT_TRUE(std::holds_alternative<run_request_once>(sent->request));
  router_.on_peer_replied(sent->call, tl::unexpected(peer_failure::unknown), start, view_);
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer.executed, execution::unknown);
  router_.on_tick(start + duration{900}, view_);
  EXPECT_FALSE(take<send_peer_request>());
}

// Guards against "not run" being said of a repeat whose first call may have run elsewhere.
TEST_F(request_router_test, never_says_not_run_of_a_repeat_that_no_owner_has_seen) {
  auto request = request_of("c");
  request.idempotent = false;
  request.repeated = true;
  request.issued_at = wall_time{duration{1}};
  receive(request);
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  router_.on_peer_replied(sent->call, tl::unexpected(peer_failure::not_processed),
                          start + duration{990}, view_);
  EXPECT_EQ(take<answer_caller>()->answer.executed, execution::unknown);
}

// Guards against a plan without urgent work getting urgent treatment, and unknown customers.
TEST_F(request_router_test, refuses_what_the_plan_does_not_include) {
  receive(request_of("slow"));
  EXPECT_EQ(take<answer_caller>()->answer.reason, refusal_reason::not_permitted);
  receive(request_of("nobody"));
  EXPECT_EQ(take<answer_caller>()->answer.reason, refusal_reason::unknown_customer);
}

// Guards against one kind of request taking the places kept for the other.
TEST_F(request_router_test, a_flood_of_urgent_requests_leaves_the_deferrable_floor) {
  for (call_id call = 1; call <= 20; ++call) {
    router_.on_caller_request(call, request_of("c"), start, view_);
  }
  EXPECT_EQ(router_.in_progress(), 9U);
  auto deferrable = request_of("c");
  deferrable.priority = urgency::deferrable;
  router_.on_caller_request(30, deferrable, start, view_);
  EXPECT_EQ(router_.in_progress(), 10U);
}

// Guards against endless retries when nothing serves the service.
TEST_F(request_router_test, refuses_as_not_run_when_no_rack_serves_the_service) {
  auto request = request_of("c");
  request.service = service_id{"absent"};
  receive(request);
  std::optional<answer_caller> answer;
  for (int tick = 1; tick < 50 && !answer; ++tick) {
    router_.on_tick(start + duration{20 * tick}, view_);
    answer = take<answer_caller>();
  }
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer.reason, refusal_reason::no_backend);
  EXPECT_EQ(answer->answer.executed, execution::not_run);
}

// Guards against a dispatched request without an answer, or with "not run", when the node ends.
TEST_F(request_router_test, reports_dispatched_requests_as_unknown_when_the_node_ends) {
  receive(request_of("c"));
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  router_.refuse_in_progress(view_);
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->call, 1U);
  EXPECT_EQ(answer->answer.reason, refusal_reason::backend_failed);
  EXPECT_EQ(answer->answer.executed, execution::unknown);
  EXPECT_EQ(router_.in_progress(), 0U);
  reply(sent->call, {.answered = true, .status = 200, .body = "late"});
  EXPECT_FALSE(take<answer_caller>());
}

// Guards against a request between two attempts that gets no answer when the node ends.
TEST_F(request_router_test, refuses_requests_between_attempts_as_not_run_when_the_node_ends) {
  receive(request_of("c"));
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  reply(sent->call, {.reason = refusal_reason::overloaded, .executed = execution::not_run});
  router_.refuse_in_progress(view_);
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer.reason, refusal_reason::shutting_down);
  EXPECT_EQ(answer->answer.executed, execution::not_run);
  EXPECT_EQ(router_.in_progress(), 0U);
}

// Guards against "not run" at the node's end of a request whose earlier attempt may have run.
TEST_F(request_router_test, reports_requests_that_maybe_ran_as_unknown_when_the_node_ends) {
  receive(request_of("c"));
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  router_.on_peer_replied(sent->call, tl::unexpected(peer_failure::unknown), start, view_);
  ASSERT_EQ(router_.in_progress(), 1U);
  router_.refuse_in_progress(view_);
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer.reason, refusal_reason::backend_failed);
  EXPECT_EQ(answer->answer.executed, execution::unknown);
}

// Guards against "not run" at the node's end of a repeat whose first call may have run elsewhere.
TEST_F(request_router_test, reports_repeats_as_unknown_when_the_node_ends) {
  auto request = request_of("c");
  request.repeated = true;
  receive(request);
  const auto sent = take<send_peer_request>();
  ASSERT_TRUE(sent);
  reply(sent->call, {.reason = refusal_reason::overloaded, .executed = execution::not_run});
  router_.refuse_in_progress(view_);
  const auto answer = take<answer_caller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer.executed, execution::unknown);
}

}  // namespace
}  // namespace coltsfoot
