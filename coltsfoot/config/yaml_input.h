// Reads YAML that people write, with limits that keep a hostile or broken text cheap to refuse.
//
//   auto root = read_yaml(text, {.file = "plans.yaml", .max_bytes = 1 << 20});
//   if (!root) report(to_string(root.error()));  // "plans.yaml:3: processors: is negative"
#pragma once

#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace coltsfoot {

struct config_error {
  std::string file;  // empty if the text has no file
  int line = 0;      // counted from 1; 0 if unknown
  std::string key;   // empty if no key is concerned
  std::string message;
};

// Returns "file:line: key: message" without the parts that are unknown.
std::string to_string(const config_error& error);

struct yaml_limits {
  std::string file;
  std::size_t max_bytes = 1 << 20;
  int max_depth = 8;
};

// Parses one document. Anchors, aliases, several documents and exceeded limits are errors.
tl::expected<YAML::Node, config_error> read_yaml(std::string_view text, const yaml_limits& limits);

// Returns the content of a file, or an error that names it.
tl::expected<std::string, config_error> read_file(const std::string& path, std::size_t max_bytes);

// Returns an error if `node` is no map, or has a duplicate key or a key outside `allowed`.
std::optional<config_error> check_map(const YAML::Node& node, const std::string& file,
                                      const std::vector<std::string_view>& allowed);

// Returns an error at the position of `node`.
config_error error_at(const YAML::Node& node, const std::string& file, std::string_view key,
                      std::string_view message);

}  // namespace coltsfoot
