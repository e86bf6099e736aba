#include "coltsfoot/base/log_text.h"

#include <fmt/format.h>

#include <algorithm>

namespace coltsfoot {

void append_escaped(std::string& out, std::string_view text, std::string_view special) {
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      if (special.find(c) != std::string_view::npos) out += '\\';
      out += c;
    }
  }
}

std::string log_value(std::string_view value) {
  const bool plain = !value.empty() && std::ranges::none_of(value, [](char c) {
    return c == ' ' || c == '"' || c == '=' || static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
  if (plain) return std::string{value};
  std::string out = "\"";
  append_escaped(out, value, "\"\\");
  return out + '"';
}

std::string log_value_or_none(std::string_view value) {
  if (value.empty()) return "none";
  return value == "none" ? "\"none\"" : log_value(value);
}

}  // namespace coltsfoot
