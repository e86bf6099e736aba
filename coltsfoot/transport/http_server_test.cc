#include "coltsfoot/transport/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <vector>

#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/internal/test_support.h"
#include "tests/support/log_pairs.h"

namespace coltsfoot {
namespace {

using internal::fetch;
using internal::result_box;
using internal::wait_until;

std::string header_of(const http_response& response, const std::string& name) {
  for (const auto& header : response.headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

// A server whose handlers hand the requests to the test.
class http_server_test : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(server_.start()); }

  std::string caller_url(const std::string& target) const {
    return "http://127.0.0.1:" + std::to_string(server_.caller_port()) + target;
  }
  std::string operator_url(const std::string& target) const {
    return "http://127.0.0.1:" + std::to_string(server_.operator_port()) + target;
  }
  http_request caller_request(std::vector<http_header> more = {}) const {
    http_request request{.method = "PUT",
                         .url = caller_url("/v1/services/pricing/a/b?c=d"),
                         .headers = {{.name = "coltsfoot-customer", .value = "acme"},
                                     {.name = "coltsfoot-request-id", .value = "r-1"}},
                         .body = "body"};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    return request;
  }

  std::vector<std::string> log_lines() {
    const std::scoped_lock lock{log_mutex_};
    return log_lines_;
  }

  using received = std::pair<call_id, service_request>;
  std::mutex log_mutex_;
  std::vector<std::string> log_lines_;
  result_box<received> request_;
  std::function<void(received)> on_request_ = request_.callback();
  http_client client_;
  http_server server_{
      {.max_body_bytes = 1'000},
      {.on_caller = [this](call_id call,
                           service_request request) { on_request_({call, std::move(request)}); },
       .on_operator =
           [this](call_id call, const operator_request& request) {
             const auto& mark = std::get<mark_host>(request);
             server_.answer_operator(call, change_reply{.status = change_status::accepted,
                                                        .version = 3,
                                                        .detail = mark.worker.value});
           },
       .metrics = [] { return "a_total 1\n"; }},
      [this](severity, std::string line) {
        const std::scoped_lock lock{log_mutex_};
        log_lines_.push_back(std::move(line));
      }};
};

// Guards against lost or mixed-up fields between the caller's headers, the request and the answer.
TEST_F(http_server_test, caller_request_is_parsed_and_answered) {
  result_box<http_result> result;
  client_.send(caller_request({{.name = "coltsfoot-idempotent", .value = "false"},
                               {.name = "coltsfoot-urgency", .value = "deferrable"},
                               {.name = "coltsfoot-deadline-ms", .value = "1500"},
                               {.name = "coltsfoot-issued-at-ms", .value = "1700000000000"},
                               {.name = "Connection", .value = "x-hop"},
                               {.name = "X-Hop", .value = "1"},
                               {.name = "X-Kept", .value = "2"}}),
               result.callback());
  const auto [call, request] = request_.get();
  EXPECT_EQ(request.service.value, "pricing");
  EXPECT_EQ(request.target, "/a/b?c=d");
  EXPECT_EQ(request.method, "PUT");
  EXPECT_EQ(request.customer.value, "acme");
  EXPECT_EQ(request.id.value, "r-1");
  EXPECT_FALSE(request.idempotent);
  EXPECT_EQ(request.priority, urgency::deferrable);
  EXPECT_EQ(request.time_left, duration{1500});
  EXPECT_EQ(request.issued_at, wall_time{duration{1'700'000'000'000}});
  EXPECT_EQ(request.body, "body");
  ASSERT_EQ(request.headers.size(), 1U);
  EXPECT_EQ(request.headers[0].name, "X-Kept");
  EXPECT_EQ(server_.in_progress(), 1U);
  server_.answer_caller(call, {.answered = true,
                               .status = 201,
                               .headers = {{.name = "X-Own", .value = "3"},
                                           {.name = "coltsfoot-execution", .value = "not_run"}},
                               .body = "answer"});
  const auto answer = result.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 201);
  EXPECT_EQ(answer->body, "answer");
  EXPECT_EQ(header_of(*answer, "X-Own"), "3");
  EXPECT_EQ(header_of(*answer, "coltsfoot-execution"), "ran");
  EXPECT_TRUE(wait_until([this] { return server_.in_progress() == 0; }));
}

// Guards against a refusal that does not say whether the request was run.
TEST_F(http_server_test, refusal_states_reason_execution_and_time_to_wait) {
  result_box<http_result> result;
  client_.send(caller_request(), result.callback());
  server_.answer_caller(request_.get().first, {.reason = refusal_reason::overloaded,
                                               .executed = execution::not_run,
                                               .retry_after = duration{1'200}});
  const auto answer = result.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(header_of(*answer, "Retry-After"), "2");
  EXPECT_EQ(header_of(*answer, "coltsfoot-execution"), "not_run");
  const auto body = nlohmann::json::parse(answer->body);
  EXPECT_EQ(body["reason"], "overloaded");
  EXPECT_EQ(body["executed"], "not_run");
  EXPECT_EQ(body["retry_after_ms"], 1'200);
}

// Guards against malformed input that reaches the core or gets no clear message.
TEST_F(http_server_test, malformed_requests_are_refused_with_a_message) {
  const auto expect_status = [this](http_request request, int status, const std::string& detail) {
    const auto answer = fetch(client_, std::move(request));
    ASSERT_TRUE(answer) << detail;
    EXPECT_EQ(answer->status, status) << answer->body;
    EXPECT_NE(answer->body.find(detail), std::string::npos) << answer->body;
  };
  expect_status({.url = caller_url("/v1/services/pricing/")}, 400, "coltsfoot-customer");
  expect_status(caller_request({{.name = "coltsfoot-urgency", .value = "soon"}}), 400, "urgency");
  expect_status(caller_request({{.name = "coltsfoot-deadline-ms", .value = "-1"}}), 400,
                "deadline");
  expect_status(caller_request({{.name = "coltsfoot-idempotent", .value = "false"}}), 400,
                "issued-at");
  auto large = caller_request();
  large.body = std::string(1'001, 'x');
  expect_status(large, 413, "body larger than 1000 bytes");
  expect_status({.url = caller_url("/v1/admin/mark_host")}, 404, "unknown path");
  expect_status({.method = "POST", .url = operator_url("/v1/admin/none"), .body = "{}"}, 400,
                "unknown message");
  expect_status({.method = "POST", .url = operator_url("/v1/admin/mark_host"), .body = "x"}, 400,
                "no JSON object");
  EXPECT_EQ(server_.stats().caller_requests, 0U);
}

// Guards against a request whose text forges pairs of the log line that reports it.
TEST_F(http_server_test, rejected_request_is_logged_as_pairs) {
  ASSERT_TRUE(fetch(client_, {.method = "POST",
                              .url = operator_url("/v1/admin/x%20status=200%20owner=n9"),
                              .body = "{}"}));
  ASSERT_TRUE(fetch(client_, {.method = "POST",
                              .url = operator_url("/v1/admin/submit_tasks"),
                              .body = R"({"customer": "a\" status=200 x=\"", "tasks": 7})"}));
  const auto lines = log_lines();
  ASSERT_EQ(lines.size(), 2U);
  for (const auto& line : lines) {
    const auto pairs = testing::parse_log_pairs(line);
    ASSERT_TRUE(pairs) << line;
    EXPECT_EQ(pairs->size(), 3U) << line;
    EXPECT_EQ(pairs->at("status"), "400") << line;
    EXPECT_TRUE(nlohmann::json::accept(pairs->at("answer"))) << line;
  }
}

// Guards against operator messages whose fields are lost on the way.
TEST_F(http_server_test, operator_request_is_answered_with_the_reply_name) {
  const auto answer = fetch(client_, {.method = "POST",
                                      .url = operator_url("/v1/admin/mark_host"),
                                      .body = R"({"worker": "w-1", "leaving": true})"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  const auto reply = nlohmann::json::parse(answer->body);
  EXPECT_EQ(reply[0], "change_reply");
  EXPECT_EQ(reply[1]["detail"], "w-1");
  EXPECT_EQ(fetch(client_, {.url = operator_url("/metrics")})->body, "a_total 1\n");
}

// Guards against a shutdown that loses an answer, or that takes new requests.
TEST_F(http_server_test, drain_refuses_new_requests_and_finishes_others) {
  server_.set_ready(true);
  EXPECT_EQ(fetch(client_, {.url = operator_url("/readyz")})->status, 200);
  result_box<http_result> first;
  client_.send(caller_request(), first.callback());
  const auto call = request_.get().first;
  server_.begin_drain();
  const auto second = fetch(client_, caller_request());
  ASSERT_TRUE(second);
  EXPECT_EQ(second->status, 503);
  EXPECT_EQ(nlohmann::json::parse(second->body)["reason"], "shutting_down");
  EXPECT_EQ(header_of(*second, "Connection"), "close");
  EXPECT_EQ(fetch(client_, {.url = operator_url("/readyz")})->status, 503);
  EXPECT_EQ(server_.in_progress(), 1U);
  server_.answer_caller(call, {.answered = true, .status = 200, .body = "late"});
  EXPECT_EQ(first.get()->body, "late");
  EXPECT_TRUE(wait_until([this] { return server_.in_progress() == 0; }));
}

// Guards against "not run" being said of a repeat whose first call may have run elsewhere.
TEST_F(http_server_test, drain_never_says_not_run_of_a_repeat) {
  server_.begin_drain();
  const auto answer =
      fetch(client_, caller_request({{.name = "coltsfoot-repeated", .value = "true"}}));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(header_of(*answer, "coltsfoot-execution"), "unknown");
}

// Guards against open requests whose connections a stop closes without an answer.
TEST_F(http_server_test, open_requests_are_refused_as_not_run) {
  result_box<http_result> result;
  client_.send(caller_request(), result.callback());
  const auto call = request_.get().first;
  server_.refuse_open_calls();
  ASSERT_TRUE(wait_until([this] { return server_.in_progress() == 0; }));
  server_.answer_caller(call, {.answered = true, .status = 200, .body = "late"});
  server_.stop();
  const auto answer = result.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(nlohmann::json::parse(answer->body)["reason"], "shutting_down");
  EXPECT_EQ(header_of(*answer, "coltsfoot-execution"), "not_run");
  EXPECT_EQ(header_of(*answer, "Connection"), "close");
}

// Guards against "not run" being said of an open repeat whose first call may have run elsewhere.
TEST_F(http_server_test, open_repeats_are_refused_as_unknown) {
  result_box<http_result> result;
  client_.send(caller_request({{.name = "coltsfoot-repeated", .value = "true"}}),
               result.callback());
  request_.get();
  server_.refuse_open_calls();
  const auto answer = result.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(header_of(*answer, "coltsfoot-execution"), "unknown");
}

// Guards against requests that arrive while the open ones are refused and stay without an answer.
TEST(http_server_refusal_test, requests_that_arrive_during_the_refusal_are_answered) {
  constexpr int rounds = 50;
  constexpr int calls_per_round = 32;
  for (int round = 0; round < rounds; ++round) {
    std::atomic<int> received = 0;
    http_server server{{}, {.on_caller = [&](call_id, const service_request&) { ++received; }}};
    ASSERT_TRUE(server.start());
    http_client client;
    std::vector<result_box<http_result>> results(calls_per_round);
    for (auto& result : results) {
      client.send({.url = "http://127.0.0.1:" + std::to_string(server.caller_port()) +
                          "/v1/services/pricing/",
                   .headers = {{.name = "coltsfoot-customer", .value = "acme"},
                               {.name = "coltsfoot-request-id", .value = "r-1"}}},
                  result.callback());
    }
    ASSERT_TRUE(wait_until([&] { return received > round % calls_per_round; }));
    server.refuse_open_calls();
    for (auto& result : results) {
      const auto answer = result.get();
      ASSERT_TRUE(answer) << "round " << round;
      EXPECT_EQ(answer->status, 503);
      EXPECT_EQ(header_of(*answer, "coltsfoot-execution"), "not_run");
    }
    EXPECT_TRUE(wait_until([&] { return server.in_progress() == 0; }));
  }
}

// Guards against connections beyond the bound, and against closed ones that keep counting.
TEST(http_server_bounds_test, connections_beyond_the_bound_are_closed) {
  http_server server{{.max_connections = 1}, {}};
  ASSERT_TRUE(server.start());
  const auto url = "http://127.0.0.1:" + std::to_string(server.caller_port()) + "/healthz";
  auto first = std::make_unique<http_client>();
  ASSERT_TRUE(fetch(*first, {.url = url}));
  http_client second;
  EXPECT_FALSE(fetch(second, {.url = url}));
  first.reset();
  EXPECT_TRUE(wait_until([&] { return fetch(second, {.url = url}).has_value(); }));
}

}  // namespace
}  // namespace coltsfoot
