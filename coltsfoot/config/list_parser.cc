#include "coltsfoot/config/list_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace coltsfoot {
namespace {

// Far above the target size of the design (15,000 workers), and low enough that sums of all plans
// fit in 64 bits.
constexpr std::int64_t max_processors = 10'000'000;
constexpr std::int64_t max_memory_mb = std::int64_t{1} << 40;
constexpr std::int64_t max_accelerators = 1'000'000;

constexpr std::int64_t millicores_per_core = 1'000;

template <typename T>
using text_or = tl::expected<T, std::string>;

// Returns a whole number from 0 to `limit` that `text` starts with, and removes it from `text`.
text_or<std::int64_t> take_number(std::string_view& text, std::int64_t limit) {
  if (text.starts_with('-')) return tl::unexpected(std::string{"is negative"});
  std::int64_t number = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (failure == std::errc::result_out_of_range || number > limit) {
    return tl::unexpected(std::string{"is too large"});
  }
  if (failure != std::errc{}) return tl::unexpected(std::string{"expected a number"});
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return number;
}

text_or<std::int64_t> parse_accelerators(std::string_view text) {
  auto number = take_number(text, max_accelerators);
  if (number && !text.empty()) return tl::unexpected(std::string{"expected a whole number"});
  return number;
}

// Reads the entries of one list. Entry i is checked by `read_entry(node)`.
template <typename ReadEntry>
std::optional<config_error> read_list(std::string_view yaml, const std::string& file,
                                      std::string_view list_key, std::size_t max_entries,
                                      ReadEntry&& read_entry) {
  const auto root = read_yaml(yaml, {.file = file, .max_bytes = max_list_bytes, .max_depth = 4});
  if (!root) return root.error();
  if (auto error = check_map(*root, file, {list_key})) return error;
  const YAML::Node list = (*root)[std::string{list_key}];
  if (!list) return error_at(*root, file, list_key, "missing key");
  if (!list.IsSequence()) return error_at(list, file, list_key, "expected a list");
  if (list.size() > max_entries) {
    return error_at(list, file, list_key, fmt::format("more than {} entries", max_entries));
  }
  for (const auto& entry : list) {
    if (auto error = read_entry(entry)) return error;
  }
  return std::nullopt;
}

// Reads the text of `key`, or says what is wrong.
tl::expected<std::string, config_error> text_of(const YAML::Node& entry, const std::string& file,
                                                std::string_view key) {
  const YAML::Node value = entry[std::string{key}];
  if (!value) return tl::unexpected(error_at(entry, file, key, "missing key"));
  if (!value.IsScalar()) return tl::unexpected(error_at(value, file, key, "expected one value"));
  return value.Scalar();
}

tl::expected<std::string, config_error> id_of(const YAML::Node& entry, const std::string& file,
                                              std::string_view key) {
  auto id = text_of(entry, file, key);
  if (id && !is_list_id(*id)) {
    return tl::unexpected(error_at(entry[std::string{key}], file, key,
                                   "expected 1 to 63 characters of a-z, 0-9 and '-'"));
  }
  return id;
}

// Parses the text of `key` with `parse` into `out`.
template <typename Parse, typename T>
std::optional<config_error> parse_into(const YAML::Node& entry, const std::string& file,
                                       std::string_view key, Parse&& parse, T& out) {
  const auto text = text_of(entry, file, key);
  if (!text) return text.error();
  const text_or<T> value = parse(*text);
  if (!value) return error_at(entry[std::string{key}], file, key, value.error());
  out = *value;
  return std::nullopt;
}

text_or<urgency> parse_urgency(std::string_view text) {
  const auto value = parse_name<urgency>(text);
  if (!value) return tl::unexpected(std::string{"expected urgent or deferrable"});
  return *value;
}

std::optional<config_error> read_plan(const YAML::Node& entry, const std::string& file,
                                      std::map<std::string, plan>& plans) {
  if (auto error =
          check_map(entry, file, {"id", "processors", "memory", "accelerators", "urgency"})) {
    return error;
  }
  const auto id = id_of(entry, file, "id");
  if (!id) return id.error();
  plan out{.id = plan_id{*id}};
  const std::array errors{
      parse_into(entry, file, "processors", parse_processors, out.limit.millicores),
      parse_into(entry, file, "memory", parse_memory, out.limit.memory_mb),
      parse_into(entry, file, "accelerators", parse_accelerators, out.limit.accelerators),
      parse_into(entry, file, "urgency", parse_urgency, out.highest_urgency)};
  for (const auto& error : errors) {
    if (error) return error;
  }
  if (!plans.emplace(*id, std::move(out)).second) {
    return error_at(entry["id"], file, "id", "duplicate id " + *id);
  }
  return std::nullopt;
}

std::optional<config_error> read_customer(const YAML::Node& entry, const std::string& file,
                                          config_lists& lists) {
  if (auto error = check_map(entry, file, {"id", "plan"})) return error;
  const auto id = id_of(entry, file, "id");
  if (!id) return id.error();
  const auto plan = id_of(entry, file, "plan");
  if (!plan) return plan.error();
  if (!lists.plans.contains(*plan)) {
    return error_at(entry["plan"], file, "plan", "unknown plan " + *plan);
  }
  if (!lists.customers.emplace(*id, customer{customer_id{*id}, plan_id{*plan}}).second) {
    return error_at(entry["id"], file, "id", "duplicate id " + *id);
  }
  return std::nullopt;
}

}  // namespace

bool is_list_id(std::string_view text) {
  constexpr std::size_t max_length = 63;
  return !text.empty() && text.size() <= max_length && std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

tl::expected<std::int64_t, std::string> parse_processors(std::string_view text) {
  auto whole = take_number(text, max_processors);
  if (!whole) return whole;
  std::int64_t millicores = *whole * millicores_per_core;
  if (text.empty()) return millicores;
  if (text.front() != '.' || text.size() < 2) {
    return tl::unexpected(std::string{"unknown unit, expected a number of cores"});
  }
  text.remove_prefix(1);
  std::int64_t place = millicores_per_core / 10;
  for (const char c : text) {
    if (c < '0' || c > '9') {
      return tl::unexpected(std::string{"unknown unit, expected a number of cores"});
    }
    if (place == 0 && c != '0') return tl::unexpected(std::string{"is finer than 0.001"});
    millicores += place * (c - '0');
    place /= 10;
  }
  return millicores;
}

tl::expected<std::int64_t, std::string> parse_memory(std::string_view text) {
  struct unit {
    std::string_view name;
    std::int64_t megabytes;
  };
  static constexpr std::array units{unit{"MB", 1}, unit{"GB", 1 << 10}, unit{"TB", 1 << 20}};
  auto number = take_number(text, max_memory_mb);
  if (!number) return number;
  for (const unit& u : units) {
    if (u.name != text) continue;
    if (*number > max_memory_mb / u.megabytes) {
      return tl::unexpected(std::string{"is too large"});
    }
    return *number * u.megabytes;
  }
  return tl::unexpected(std::string{"unknown unit, expected a whole number with MB, GB or TB"});
}

tl::expected<config_lists, config_error> parse_lists(std::string_view plans_yaml,
                                                     std::string_view customers_yaml,
                                                     const std::string& plans_file,
                                                     const std::string& customers_file) {
  config_lists lists;
  auto error = read_list(plans_yaml, plans_file, "plans", max_plans, [&](const YAML::Node& entry) {
    return read_plan(entry, plans_file, lists.plans);
  });
  if (error) return tl::unexpected(*error);
  error = read_list(
      customers_yaml, customers_file, "customers", max_customers,
      [&](const YAML::Node& entry) { return read_customer(entry, customers_file, lists); });
  if (error) return tl::unexpected(*error);
  return lists;
}

}  // namespace coltsfoot
