// State charts read from YAML files and interpreted at run time.
//
//   name: task
//   initial: queued
//   transitions:
//     - {from: queued, event: place_sent, to: placing}
//
//   const auto chart = state_chart::parse(text);
//   chart->next("queued", "place_sent");  // "placing"
//
// An undefined transition has no next state: the user of the chart logs and counts it and changes
// nothing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

#include "coltsfoot/base/name_table.h"

namespace coltsfoot {

struct chart_error {
  std::string message;  // with the line, counted from 1
};

class state_chart {
 public:
  // Reads a chart. Unknown keys, missing states and doubled transitions are errors.
  static tl::expected<state_chart, chart_error> parse(std::string_view yaml);

  // Reads a chart from a file.
  static tl::expected<state_chart, chart_error> load(const std::string& path);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }

  // Returns the state that follows `event` in `state`, or nothing if that is undefined.
  std::optional<std::string> next(std::string_view state, std::string_view event) const;

  // Whether `state` has a transition.
  bool has_transitions(std::string_view state) const;

 private:
  std::string name_;
  std::string initial_;
  std::map<std::pair<std::string, std::string>, std::string, std::less<>> transitions_;
};

// Same, for states that are an enumeration with names.
template <named_enum State>
std::optional<State> next_state(const state_chart& chart, State state, std::string_view event) {
  const auto next = chart.next(name_of(state), event);
  return next ? parse_name<State>(*next) : std::nullopt;
}

}  // namespace coltsfoot
