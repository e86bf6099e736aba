// Writes counters, gauges and histograms in the Prometheus text exposition format 0.0.4.
//
//   exposition page;
//   for (const auto& [name, value] : out.counters()) page.add_counter(name, value);
//   page.add_histogram("request_seconds", "service=\"pricing\"", latencies);
//   respond(page.text());
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coltsfoot/observe/latency_histogram.h"

namespace coltsfoot {

class exposition {
 public:
  static constexpr std::string_view content_type = "text/plain; version=0.0.4; charset=utf-8";

  // Adds the help text of a name; must come before its first sample.
  void add_help(std::string_view name, std::string_view help);

  // Names get the prefix "coltsfoot_". Characters that a name can't hold become '_'. `labels` are
  // written between braces as they are; see `exposition_label`.
  void add_counter(std::string_view name, std::uint64_t value, std::string_view labels = {});
  void add_gauge(std::string_view name, double value, std::string_view labels = {});

  // Samples of one name must be added one after another.
  void add_histogram(std::string_view name, std::string_view labels,
                     const latency_histogram& values);

  const std::string& text() const { return text_; }

 private:
  std::string begin(std::string_view name, std::string_view type);

  std::string text_;
  std::string last_name_;
};

// Returns `name="value"` with the value escaped.
std::string exposition_label(std::string_view name, std::string_view value);

}  // namespace coltsfoot
