#include "coltsfoot/transport/internal/http_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <exception>
#include <restinio/utils/percent_encoding.hpp>
#include <utility>

namespace coltsfoot::internal {
namespace {

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

}  // namespace

std::string url_decode(std::string_view text) {
  try {
    return restinio::utils::unescape_percent_encoding({text.data(), text.size()});
  } catch (const std::exception&) {
    return std::string{text};
  }
}

std::optional<std::string> query_value(std::string_view target, std::string_view name) {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) return std::nullopt;
  auto query = target.substr(mark + 1);
  while (!query.empty()) {
    const auto pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
    return url_decode(pair.substr(equals + 1));
  }
  return std::nullopt;
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

bool is_connection_header(std::string_view name) {
  static constexpr std::array<std::string_view, 12> names{
      "connection",     "keep-alive", "proxy-connection",   "transfer-encoding",   "te",
      "trailer",        "upgrade",    "proxy-authenticate", "proxy-authorization", "expect",
      "content-length", "host"};
  return std::any_of(names.begin(), names.end(),
                     [name](auto entry) { return equals_ignoring_case(entry, name); });
}

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers) {
  std::vector<std::string> named;
  for (const auto& header : headers) {
    if (!equals_ignoring_case(header.name, "connection")) continue;
    std::string token;
    for (const char c : header.value + ",") {
      if (c == ',') {
        named.push_back(std::exchange(token, {}));
      } else if (c != ' ' && c != '\t') {
        token.push_back(c);
      }
    }
  }
  std::vector<http_header> kept;
  for (const auto& header : headers) {
    const bool is_named = std::any_of(named.begin(), named.end(), [&header](const auto& name) {
      return equals_ignoring_case(name, header.name);
    });
    if (is_named || is_connection_header(header.name)) continue;
    if (header.name.empty() || !is_printable(header.name) || !is_printable(header.value)) continue;
    kept.push_back(header);
  }
  return kept;
}

}  // namespace coltsfoot::internal
