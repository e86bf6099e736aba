#include "coltsfoot/transport/internal/operator_body.h"

#include <gtest/gtest.h>

namespace coltsfoot::internal {
namespace {

template <typename T>
void expect_unchanged(const T& request) {
  const auto body = nlohmann::json(request).dump();
  const auto decoded = decode_operator_body(T::message_name, body);
  ASSERT_TRUE(decoded) << T::message_name << ": " << decoded.error();
  EXPECT_EQ(nlohmann::json(*decoded), nlohmann::json(operator_request{request}));
}

// Guards against a field of a request that its decoder drops.
TEST(operator_body_test, requests_are_read_as_they_were_written) {
  expect_unchanged(publish_config{3, "plans", "customers", "me"});
  expect_unchanged(mark_host{worker_id{"w"}, false, "me"});
  expect_unchanged(show_config{false});
  expect_unchanged(list_hosts{false});
  expect_unchanged(show_node{false});
  const task_spec task{.id = task_id{"t"},
                       .size = {.millicores = 5, .memory_mb = 6, .accelerators = 7},
                       .service = service_id{"s"},
                       .idempotent = false,
                       .expected_run = duration{8},
                       .issued_at = wall_time{duration{9}},
                       .payload = "p"};
  expect_unchanged(submit_tasks{customer_id{"c"}, {task, task_spec{}}});
  expect_unchanged(query_status{customer_id{"c"}, {task_id{"t"}, task_id{"u"}}});
  expect_unchanged(cancel_tasks{customer_id{"c"}, {task_id{"t"}}});
}

TEST(operator_body_test, unknown_fields_are_ignored) {
  EXPECT_TRUE(decode_operator_body("mark_host", R"({"worker":"w","x":[{"x":1,"x":2}],"x":{}})"));
}

TEST(operator_body_test, malformed_bodies_and_unknown_names_are_errors) {
  EXPECT_FALSE(decode_operator_body("none", "{}"));
  for (const auto* text : {"", "x", "[]", R"({"worker":5})", R"({"worker":["w"]})",
                           R"({"worker":"w","worker":"v"})"}) {
    EXPECT_FALSE(decode_operator_body("mark_host", text)) << text;
  }
}

// Guards against bodies that cost many times their bytes, or overflow the stack.
TEST(operator_body_test, levels_and_tasks_are_bounded) {
  const std::string levels = std::string(64, '[') + std::string(64, ']');
  EXPECT_FALSE(decode_operator_body("show_node", R"({"x":)" + levels + "}"));
  const auto tasks = [](std::size_t count) {
    std::string body = R"({"tasks":[{})";
    for (std::size_t i = 1; i < count; ++i) body += ",{}";
    return body + "]}";
  };
  EXPECT_TRUE(decode_operator_body("submit_tasks", tasks(max_tasks_per_request)));
  EXPECT_FALSE(decode_operator_body("submit_tasks", tasks(max_tasks_per_request + 1)));
}

}  // namespace
}  // namespace coltsfoot::internal
