#include "coltsfoot/chart/state_chart.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace coltsfoot {
namespace {

chart_error error_at(const YAML::Node& node, std::string_view what) {
  return {fmt::format("line {}: {}", node.Mark().line + 1, what)};
}

// Returns an error if `node` is no map or has a key that is not in `allowed`.
template <std::size_t N>
std::optional<chart_error> check_keys(const YAML::Node& node,
                                      const std::array<std::string_view, N>& allowed) {
  if (!node.IsMap()) return error_at(node, "expected a map");
  for (const auto& entry : node) {
    const auto key = entry.first.as<std::string>();
    if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
      return error_at(entry.first, "unknown key: " + key);
    }
  }
  for (const auto key : allowed) {
    if (!node[std::string{key}]) return error_at(node, fmt::format("missing key: {}", key));
  }
  return std::nullopt;
}

}  // namespace

tl::expected<state_chart, chart_error> state_chart::parse(std::string_view yaml) {
  try {
    const YAML::Node root = YAML::Load(std::string{yaml});
    if (auto error =
            check_keys(root, std::array<std::string_view, 3>{"name", "initial", "transitions"})) {
      return tl::unexpected(*error);
    }
    state_chart chart;
    chart.name_ = root["name"].as<std::string>();
    chart.initial_ = root["initial"].as<std::string>();
    for (const auto& entry : root["transitions"]) {
      if (auto error = check_keys(entry, std::array<std::string_view, 3>{"from", "event", "to"})) {
        return tl::unexpected(*error);
      }
      auto key = std::pair{entry["from"].as<std::string>(), entry["event"].as<std::string>()};
      if (!chart.transitions_.emplace(std::move(key), entry["to"].as<std::string>()).second) {
        return tl::unexpected(error_at(entry, "transition is defined twice"));
      }
    }
    if (!chart.has_transitions(chart.initial_)) {
      return tl::unexpected(error_at(root["initial"], "the initial state has no transition"));
    }
    return chart;
  } catch (const YAML::Exception& error) {
    return tl::unexpected(chart_error{error.what()});
  }
}

tl::expected<state_chart, chart_error> state_chart::load(const std::string& path) {
  std::ifstream file{path};
  if (!file) return tl::unexpected(chart_error{"can't read " + path});
  std::ostringstream text;
  text << file.rdbuf();
  auto chart = parse(text.str());
  if (!chart) return tl::unexpected(chart_error{path + ": " + chart.error().message});
  return chart;
}

std::optional<std::string> state_chart::next(std::string_view state, std::string_view event) const {
  const auto found = transitions_.find(std::pair{std::string{state}, std::string{event}});
  if (found == transitions_.end()) return std::nullopt;
  return found->second;
}

bool state_chart::has_transitions(std::string_view state) const {
  const auto first = transitions_.lower_bound(std::pair{std::string{state}, std::string{}});
  return first != transitions_.end() && first->first.first == state;
}

}  // namespace coltsfoot
