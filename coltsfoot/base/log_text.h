// Texts of log lines: `event=<name>` followed by key=value pairs.
//
//   out.log(severity::info, "event=task_ended reason=" + log_value(reason));
#pragma once

#include <string>
#include <string_view>

namespace coltsfoot {

// Returns `value` as it stands after "key=": quoted and escaped if it holds a space, '"' or '='.
// All values that come from outside the process are written with it.
std::string log_value(std::string_view value);

// Returns `none` for an empty value, else the same as `log_value`. A value that is the text "none"
// is quoted, so that the two differ.
std::string log_value_or_none(std::string_view value);

// Appends `text` to `out` with control characters escaped, and with a backslash before each
// character of `special`.
void append_escaped(std::string& out, std::string_view text, std::string_view special);

}  // namespace coltsfoot
