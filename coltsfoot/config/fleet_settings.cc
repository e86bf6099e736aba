#include "coltsfoot/config/fleet_settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace coltsfoot {
namespace {

constexpr std::size_t most_file_bytes = std::size_t{256} * 1024;
constexpr duration shortest_duration{100};
constexpr duration longest_duration{600'000};

struct text_key {
  std::string_view name;
  std::string fleet_settings::* member;
  bool is_address;
};
constexpr std::array text_keys{
    text_key{"node", &fleet_settings::node, false},
    text_key{"zone", &fleet_settings::zone, false},
    text_key{"caller_address", &fleet_settings::caller_address, true},
    text_key{"readiness_address", &fleet_settings::readiness_address, true},
    text_key{"peer_address", &fleet_settings::peer_address, true},
    text_key{"metrics_address", &fleet_settings::metrics_address, true},
    text_key{"store_address", &fleet_settings::store_address, true}};

struct duration_key {
  std::string_view name;  // in milliseconds
  duration fleet_settings::* member;
};
constexpr std::array duration_keys{
    duration_key{"longest_lease_ms", &fleet_settings::longest_lease},
    duration_key{"shutdown_grace_ms", &fleet_settings::shutdown_grace}};

struct number_key {
  std::string_view name;
  std::uint32_t fleet_settings::* member;
  std::uint32_t least;
  std::uint32_t most;
};
constexpr std::array number_keys{
    number_key{"journal_partitions", &fleet_settings::journal_partitions, 1, 1'024},
    number_key{"memory_mb", &fleet_settings::memory_mb, 16, 16'777'216},
    number_key{"file_descriptors", &fleet_settings::file_descriptors, 128, 16'777'216},
    number_key{"client_memory_mb", &fleet_settings::client_memory_mb, 4, 1'048'576},
    number_key{"client_connections", &fleet_settings::client_connections, 16, 1'048'576}};

constexpr std::string_view processor_key = "processor_cores";
constexpr double most_cores = 1'024;

constexpr std::string_view restore_key = "restore_ms";
constexpr duration longest_restore{60'000};

constexpr std::string_view link_key = "link_mbps";
constexpr double most_link_mbps = 1'000'000;

// Whether the value is a placeholder `{{name}}`, which YAML reads as a map with a map as its key.
bool is_unfilled(const YAML::Node& value) {
  if (!value.IsMap() || value.size() != 1) return false;
  const auto outer = value.begin();
  const bool nested = outer->first.IsMap() && outer->first.size() == 1 && outer->second.IsNull();
  if (!nested) return false;
  const auto inner = outer->first.begin();
  return inner->first.IsScalar() && inner->second.IsNull();
}

bool has_default(std::string_view name) {
  return std::none_of(text_keys.begin(), text_keys.end(),
                      [name](const auto& key) { return key.name == name; });
}

// Returns the keys with a default whose values are placeholders.
std::vector<std::string> unfilled_keys(const YAML::Node& root) {
  std::vector<std::string> keys;
  for (const auto& entry : root) {
    if (!entry.first.IsScalar() || !has_default(entry.first.Scalar())) continue;
    if (is_unfilled(entry.second)) keys.push_back(entry.first.Scalar());
  }
  return keys;
}

bool is_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const auto port = text.substr(colon + 1);
  std::uint16_t value = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), value);
  return error == std::errc{} && end == port.data() + port.size() && value > 0;
}

std::optional<config_error> read_text(const YAML::Node& root, const std::string& file,
                                      const text_key& key, fleet_settings& out) {
  const auto node = root[std::string{key.name}];
  if (!node) return error_at(root, file, key.name, "is missing");
  if (!node.IsScalar() || node.Scalar().empty()) {
    return error_at(node, file, key.name, "is no text");
  }
  if (key.is_address && !is_address(node.Scalar())) {
    return error_at(node, file, key.name, "is no address of the form ip:port");
  }
  out.*key.member = node.Scalar();
  return std::nullopt;
}

std::optional<config_error> read_duration(const YAML::Node& root, const std::string& file,
                                          const duration_key& key, fleet_settings& out) {
  const auto node = root[std::string{key.name}];
  if (!node) return std::nullopt;
  std::int64_t value = 0;
  if (!YAML::convert<std::int64_t>::decode(node, value)) {
    return error_at(node, file, key.name, "is no whole number of milliseconds");
  }
  if (duration{value} < shortest_duration || duration{value} > longest_duration) {
    return error_at(node, file, key.name, "is out of range (100 to 600000 ms)");
  }
  out.*key.member = duration{value};
  return std::nullopt;
}

std::optional<config_error> read_number(const YAML::Node& root, const std::string& file,
                                        const number_key& key, fleet_settings& out) {
  const auto node = root[std::string{key.name}];
  if (!node) return std::nullopt;
  // The platform may write a whole number with a fraction of zero.
  double value = 0;
  if (!YAML::convert<double>::decode(node, value) || !(value >= key.least && value <= key.most) ||
      value != std::floor(value)) {
    return error_at(
        node, file, key.name,
        "is no whole number from " + std::to_string(key.least) + " to " + std::to_string(key.most));
  }
  out.*key.member = static_cast<std::uint32_t>(value);
  return std::nullopt;
}

// A share of a core is a fraction.
std::optional<config_error> read_processor(const YAML::Node& root, const std::string& file,
                                           fleet_settings& out) {
  const auto node = root[std::string{processor_key}];
  if (!node) return std::nullopt;
  constexpr double millicores_per_core = 1'000;
  double cores = 0;
  if (!YAML::convert<double>::decode(node, cores) || !(cores > 0) || cores > most_cores) {
    return error_at(node, file, processor_key, "is no number of cores above 0 (at most 1024)");
  }
  out.processor_millicores = static_cast<std::uint32_t>(cores * millicores_per_core);
  return std::nullopt;
}

// Unlike other times it may be short, or 0, which is the same as no setting.
std::optional<config_error> read_restore(const YAML::Node& root, const std::string& file,
                                         fleet_settings& out) {
  const auto node = root[std::string{restore_key}];
  if (!node || node.IsNull()) return std::nullopt;
  std::int64_t value = 0;
  const bool is_number = YAML::convert<std::int64_t>::decode(node, value);
  if (!is_number || value < 0 || duration{value} > longest_restore) {
    return error_at(node, file, restore_key, "is no whole number of milliseconds from 0 to 60000");
  }
  out.restore = duration{value};
  return std::nullopt;
}

std::optional<config_error> read_link(const YAML::Node& root, const std::string& file,
                                      fleet_settings& out) {
  const auto node = root[std::string{link_key}];
  if (!node) return std::nullopt;
  constexpr double bytes_per_megabit = 125'000;
  double mbps = 0;
  if (!YAML::convert<double>::decode(node, mbps) || !(mbps > 0) || mbps > most_link_mbps) {
    return error_at(node, file, link_key, "is no number of megabits above 0 (at most 1000000)");
  }
  out.link_bytes_per_s = mbps * bytes_per_megabit;
  return std::nullopt;
}

}  // namespace

tl::expected<fleet_settings, config_error> parse_fleet_settings(std::string_view text,
                                                                const std::string& file,
                                                                unfilled_setting unfilled) {
  auto root = read_yaml(text, {.file = file, .max_bytes = most_file_bytes});
  if (!root) return tl::unexpected(std::move(root.error()));
  std::vector<std::string_view> names;
  names.reserve(text_keys.size() + duration_keys.size());
  for (const auto& key : text_keys) names.push_back(key.name);
  for (const auto& key : duration_keys) names.push_back(key.name);
  for (const auto& key : number_keys) names.push_back(key.name);
  names.push_back(processor_key);
  names.push_back(link_key);
  names.push_back(restore_key);
  if (auto error = check_map(*root, file, names)) return tl::unexpected(std::move(*error));
  fleet_settings out{.unfilled = unfilled_keys(*root)};
  for (const auto& key : out.unfilled) {
    if (unfilled == unfilled_setting::is_an_error) {
      return tl::unexpected(error_at((*root)[key], file, key, "is not filled in"));
    }
    root->remove(key);
  }
  for (const auto& key : text_keys) {
    if (auto error = read_text(*root, file, key, out)) return tl::unexpected(std::move(*error));
  }
  for (const auto& key : duration_keys) {
    if (auto error = read_duration(*root, file, key, out)) {
      return tl::unexpected(std::move(*error));
    }
  }
  for (const auto& key : number_keys) {
    if (auto error = read_number(*root, file, key, out)) return tl::unexpected(std::move(*error));
  }
  if (auto error = read_processor(*root, file, out)) return tl::unexpected(std::move(*error));
  if (auto error = read_link(*root, file, out)) return tl::unexpected(std::move(*error));
  if (auto error = read_restore(*root, file, out)) return tl::unexpected(std::move(*error));
  return out;
}

tl::expected<fleet_settings, config_error> load_fleet_settings(const std::string& path,
                                                               unfilled_setting unfilled) {
  auto text = read_file(path, most_file_bytes);
  if (!text) return tl::unexpected(std::move(text.error()));
  return parse_fleet_settings(*text, path, unfilled);
}

}  // namespace coltsfoot
