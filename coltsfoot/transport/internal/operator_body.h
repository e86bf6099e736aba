// Decodes the bodies of POST /v1/admin/<message_name>.
//
//   const auto request = decode_operator_body("mark_host", R"({"worker":"w1"})");
//   if (!request) refuse(request.error());
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coltsfoot/model/operator_messages.h"

namespace coltsfoot::internal {

// The most tasks, or ids of tasks, of one request. `coltsfootctl` sends up to 10,000.
inline constexpr std::size_t max_tasks_per_request = 20'000;

// Returns the request, or why the body or the name is refused. Fields that the request does not
// have are ignored.
tl::expected<operator_request, std::string> decode_operator_body(std::string_view name,
                                                                 std::string_view body);

}  // namespace coltsfoot::internal
