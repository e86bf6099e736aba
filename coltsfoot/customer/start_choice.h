// Chooses the candidate rack on which a task is started next, and says why a task can't run.
//
//   const auto choice = choose_start(racks, {.limit = limit}, cooldown, directory, random, now);
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/random.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/membership/unit_directory.h"
#include "coltsfoot/model/task.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

struct start_options {
  resources limit;
  bool ignore_hints = false;  // ask a rack whose hint shows no room when none shows any
};

struct start_choice {
  rack_id rack;
  std::vector<rack_id> runners_up;  // the other racks that had room
};

// Compares two random candidates that have room, and returns the one with more of its capacity
// free, so that many starts on the same hints don't all reach one rack. Leaves out racks until the
// time in `not_before`, and those whose owner is unknown or recovering.
std::optional<start_choice> choose_start(const std::vector<rack_id>& candidates,
                                         const start_options& options,
                                         const std::map<rack_id, time_point>& not_before,
                                         const unit_directory& directory, random_engine& random,
                                         time_point now);

// Returns whether the hints of the candidates are ignored. Urgent tasks don't wait for better
// hints, since the racks give them room that is freed only after they have asked.
bool ignores_hints(urgency priority, bool has_waited);

// Returns how long a rack that refused a task is not asked again. Urgent tasks don't back off
// beyond what the rack asked for: newer tasks would take the room that is freed meanwhile.
duration wait_after_refusal(urgency priority, duration retry_after, duration back_off);

// Returns why a task with this limit can't run however long it waits, or "".
std::string reason_infeasible(const resources& limit, const resources& plan_limit,
                              const host_list& hosts);

}  // namespace coltsfoot
