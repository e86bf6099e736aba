// Decides at which share of their speed the filling tasks of one worker work, so that the serving
// tasks beside them stay below their target.
//
// Load it answers: serving tasks whose own load swings, beside filling tasks of images that disturb
// some of them much and others little. The tasks that disturb the one in need most are slowed
// first; they are let go again as far as all serving tasks have headroom. Where a serving task
// stays over its target whatever the model expected, all filling tasks beside it halt. Of tasks
// that disturb about equally, those that are the last of their step are slowed last and let go
// first: a step ends with its slowest task.
//
//   for (const auto& change : pacing_changes(link, model, {}, last, now)) send_pace(change);
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "coltsfoot/jobs/worker_link.h"
#include "coltsfoot/placing/interference_model.h"

namespace coltsfoot::jobs {

// Headroom is a target over a tail latency: below 1, the target is missed.
struct pacing_options {
  double slow_below = 1.12;
  double slow_to = 1.35;
  double release_to = 1.4;
  duration settle{700};        // until a change shows in the reports
  duration halt_after{2'500};  // of a serving task over its target without a break
};

struct pace_change {
  task_key key;
  std::uint32_t percent = 100;
};

// `last_tasks`: those of the worker for whose step only few tasks are open.
std::vector<pace_change> pacing_changes(const worker_link& link, const interference_model& model,
                                        const pacing_options& options,
                                        const std::set<task_key>& last_tasks, time_point now);

// Share of the worker's processors that a filling run uses at full speed.
double fill_share(const worker_link& link, std::int64_t millicores);

}  // namespace coltsfoot::jobs
