// Parses the two lists that operators publish.
//
//   plans:                                           customers:
//     - {id: gold, processors: 64, memory: 250GB,      - {id: acme, plan: gold}
//        accelerators: 2, urgency: urgent}
//
//   auto lists = parse_lists(plans_yaml, customers_yaml);
//
// Lists are refused as a whole; the error names the list, line and key.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coltsfoot/config/yaml_input.h"
#include "coltsfoot/model/cluster_config.h"

namespace coltsfoot {

struct config_lists {
  std::map<std::string, plan> plans;
  std::map<std::string, customer> customers;
};

constexpr std::size_t max_list_bytes = 1 << 20;
constexpr std::size_t max_plans = 1'000;
constexpr std::size_t max_customers = 10'000;

// `plans_file` and `customers_file` only name the texts in errors.
tl::expected<config_lists, config_error> parse_lists(
    std::string_view plans_yaml, std::string_view customers_yaml,
    const std::string& plans_file = "plans", const std::string& customers_file = "customers");

// Whether `text` is an id: 1 to 63 characters of a-z, 0-9 and '-'.
bool is_list_id(std::string_view text);

// Returns thousandths of a core from a decimal number such as "0.5".
tl::expected<std::int64_t, std::string> parse_processors(std::string_view text);

// Returns mebibytes from a whole number with unit MB, GB or TB (binary multiples).
tl::expected<std::int64_t, std::string> parse_memory(std::string_view text);

}  // namespace coltsfoot
