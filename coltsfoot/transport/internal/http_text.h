// Text of HTTP messages: names of headers, targets and their queries.
//
//   const auto id = query_value("/tasks?id=a%20b", "id");  // "a b"
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfoot/model/request.h"

namespace coltsfoot::internal {

// Returns whether a header concerns only one connection (RFC 9110, 7.6.1) or is set by the sender's
// own HTTP library, so that it is not forwarded.
bool is_connection_header(std::string_view name);

// Removes the headers above, those that a Connection header names, and those with control
// characters in name or value.
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

// Returns `text` with percent-encoded bytes decoded, or unchanged if the encoding is invalid.
std::string url_decode(std::string_view text);

// Returns the value of a parameter in the query of `target`, or nothing.
std::optional<std::string> query_value(std::string_view target, std::string_view name);

bool equals_ignoring_case(std::string_view a, std::string_view b);

}  // namespace coltsfoot::internal
