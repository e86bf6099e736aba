// Checks whether a submitted task can be accepted at all.
//
//   if (const auto reason = reason_to_refuse(spec, options, config, wall); !reason.empty()) ...
#pragma once

#include <string>

#include "coltsfoot/customer/customer_options.h"
#include "coltsfoot/model/cluster_config.h"
#include "coltsfoot/model/task.h"

namespace coltsfoot {

// Returns why the task is invalid, or "". A task that can't run at present is not invalid.
std::string reason_to_refuse(const task_spec& spec, const customer_owner_options& options,
                             const cluster_config& config, wall_time wall);

// Whether an id made at `issued_at` is refused: older than the id window, since it may have been
// forgotten, or further in the future than clocks can differ.
bool is_outside_id_window(wall_time issued_at, const customer_owner_options& options,
                          wall_time wall);

// Whether two tasks with one id are the same.
bool is_same_spec(const task_spec& a, const task_spec& b);

}  // namespace coltsfoot
