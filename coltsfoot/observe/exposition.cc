#include "coltsfoot/observe/exposition.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace coltsfoot {
namespace {

// In microseconds. Wider than the buckets of the histogram, to keep the page small.
constexpr std::array<std::int64_t, 14> reported_bounds{
    100,    250,     500,     1'000,     2'500,     5'000,      10'000,
    25'000, 100'000, 500'000, 1'000'000, 3'000'000, 10'000'000, 60'000'000};
constexpr double us_per_second = 1e6;

std::string full_name(std::string_view name) {
  std::string out = "coltsfoot_";
  for (const char c : name) {
    const bool allowed = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == ':';
    out += allowed ? c : '_';
  }
  return out;
}

std::string braces(std::string_view labels, std::string_view more = {}) {
  if (labels.empty() && more.empty()) return {};
  const std::string_view separator = labels.empty() || more.empty() ? "" : ",";
  return fmt::format("{{{}{}{}}}", labels, separator, more);
}

}  // namespace

void exposition::add_help(std::string_view name, std::string_view help) {
  text_ += fmt::format("# HELP {} ", full_name(name));
  for (const char c : help) {
    if (c == '\\') text_ += '\\';
    text_ += c == '\n' ? std::string{"\\n"} : std::string{c};
  }
  text_ += '\n';
}

std::string exposition::begin(std::string_view name, std::string_view type) {
  std::string full = full_name(name);
  if (full != last_name_) text_ += fmt::format("# TYPE {} {}\n", full, type);
  last_name_ = full;
  return full;
}

void exposition::add_counter(std::string_view name, std::uint64_t value, std::string_view labels) {
  const std::string full = begin(name, "counter");
  text_ += fmt::format("{}{} {}\n", full, braces(labels), value);
}

void exposition::add_gauge(std::string_view name, double value, std::string_view labels) {
  const std::string full = begin(name, "gauge");
  text_ += fmt::format("{}{} {}\n", full, braces(labels), value);
}

void exposition::add_histogram(std::string_view name, std::string_view labels,
                               const latency_histogram& values) {
  const std::string full = begin(name, "histogram");
  for (const std::int64_t bound : reported_bounds) {
    const std::string le = fmt::format("le=\"{}\"", static_cast<double>(bound) / us_per_second);
    text_ += fmt::format("{}_bucket{} {}\n", full, braces(labels, le),
                         values.count_up_to(std::chrono::microseconds{bound}));
  }
  text_ += fmt::format("{}_bucket{} {}\n", full, braces(labels, "le=\"+Inf\""), values.count());
  text_ += fmt::format("{}_sum{} {}\n", full, braces(labels),
                       static_cast<double>(values.sum().count()) / us_per_second);
  text_ += fmt::format("{}_count{} {}\n", full, braces(labels), values.count());
}

std::string exposition_label(std::string_view name, std::string_view value) {
  std::string out{name};
  out += "=\"";
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + '"';
}

}  // namespace coltsfoot
