#include "coltsfoot/transport/internal/operator_body.h"

#include <map>

#include "coltsfoot/transport/internal/known_fields.h"
#include "coltsfoot/transport/internal/nesting_bound.h"

namespace coltsfoot::internal {
namespace {

using nlohmann::json;

// Requests with one example in each list.
template <typename T>
T example() {
  return {};
}
template <>
submit_tasks example() {
  return {.tasks = {task_spec{}}};
}
template <>
query_status example() {
  return {.tasks = {task_id{}}};
}
template <>
cancel_tasks example() {
  return {.tasks = {task_id{}}};
}

using shape_table = std::map<std::string, json, std::less<>>;

template <typename... Messages>
shape_table shapes_of(const std::variant<Messages...>*) {
  return {{std::string{Messages::message_name}, json(example<Messages>())}...};
}

}  // namespace

tl::expected<operator_request, std::string> decode_operator_body(std::string_view name,
                                                                 std::string_view body) {
  static const auto shapes = shapes_of(static_cast<const operator_request*>(nullptr));
  const auto shape = shapes.find(name);
  if (shape == shapes.end()) return tl::unexpected("unknown message: " + std::string{name});
  auto fields = read_known_fields(body, shape->second,
                                  {.max_depth = max_nesting, .max_items = max_tasks_per_request});
  if (!fields) return tl::unexpected("the body is no JSON object that fits: " + fields.error());
  try {
    return variant_from_json<operator_request>(name, *fields);
  } catch (const json::exception& error) {
    return tl::unexpected(std::string{error.what()});
  }
}

}  // namespace coltsfoot::internal
