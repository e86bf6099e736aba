// Parses the file of tasks that `coltsfootctl task submit` takes.
//
//   customer: acme
//   tasks:
//     - {id: t1, processors: 0.5, memory: 512MB, kind: batch, urgency: deferrable, payload: "..."}
//
//   const auto request = parse_tasks(text, "tasks.yaml", now);
//
// `accelerators`, `kind`, `urgency`, `class`, `service`, `idempotent`, `expected_run_ms` and
// `payload` may be left out.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coltsfoot/config/yaml_input.h"
#include "coltsfoot/model/peer_messages.h"

namespace coltsfoot {

constexpr std::size_t max_task_file_bytes = 4 << 20;

// `now` becomes the time at which the ids were made. Errors name `file`, line and key.
tl::expected<submit_tasks, config_error> parse_tasks(std::string_view yaml, const std::string& file,
                                                     wall_time now);

}  // namespace coltsfoot
