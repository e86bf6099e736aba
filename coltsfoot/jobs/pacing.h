// Decides at which share of their speed the filling tasks of one worker work, so that the serving
// tasks beside them stay below their target.
//
// Load it answers: serving tasks whose own load swings, beside filling tasks of images that disturb
// much or little. The tasks that disturb most are slowed first; they are let go again step by step
// once the tails are well below the target.
//
//   for (const auto& change : pacing_changes(link, model, {}, now)) send_pace(change);
#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoot/jobs/interference_model.h"
#include "coltsfoot/jobs/worker_link.h"

namespace coltsfoot::jobs {

struct pacing_options {
  double slow_above = 0.9;   // tail over target
  double slow_to = 0.75;     // tail over target that slowing is to bring about
  double release_to = 0.75;  // tail over target that letting go may bring about
  duration settle{700};      // until a change shows in the reports
};

struct pace_change {
  task_key key;
  std::uint32_t percent = 100;
};

std::vector<pace_change> pacing_changes(const worker_link& link, const interference_model& model,
                                        const pacing_options& options, time_point now);

}  // namespace coltsfoot::jobs
