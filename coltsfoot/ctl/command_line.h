// Turns the words and flags of coltsfootctl into a request.
//
//   const auto request = make_request({"host", "leave", "w-17"}, flags, now);
#pragma once

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/model/operator_messages.h"

namespace coltsfoot {

struct ctl_flags {
  std::optional<std::uint64_t> base;  // version that a publication is based on
  std::string author;
  std::string customer;
  // `task submit` without a file:
  std::string processors;
  std::string memory;
  std::string accelerators = "0";
  std::string kind = "batch";
  std::string urgency = "deferrable";
  std::string payload;
  bool non_idempotent = false;
};

// The commands, for --help.
std::string command_summary();

// Returns the request that `words` ask for, or what is wrong. Reads the files that they name.
tl::expected<operator_request, std::string> make_request(const std::vector<std::string>& words,
                                                         const ctl_flags& flags, wall_time now);

// Runs `config check PLANS CUSTOMERS`. Returns nothing if the files are valid.
std::optional<std::string> check_files(const std::string& plans, const std::string& customers);

// Whether a repeat or a lost answer of `request` can change anything.
bool changes_state(const operator_request& request);

}  // namespace coltsfoot
