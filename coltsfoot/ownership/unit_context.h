// What a unit (rack owner or customer owner) gets with each call, and what its log expects of it.
#pragma once

#include <concepts>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/membership/unit_directory.h"
#include "coltsfoot/model/cluster_config.h"
#include "coltsfoot/model/records.h"
#include "coltsfoot/model/worker.h"
#include "coltsfoot/node/outbox.h"

namespace coltsfoot {

// The surroundings of a unit during one call. The references are valid for that call only.
struct unit_context {
  outbox& out;
  // Records to append to the unit's stream, in order. They take effect when `apply` gets them back.
  std::vector<record>& append;
  const cluster_config& config;
  const host_list& hosts;
  const unit_directory& directory;
  // False while the log fails: nothing that needs a record should be taken on.
  bool log_available = true;
  // False when ownership is not confirmed: no worker lease may be renewed and nothing started.
  bool may_act = true;
  // In `start_owning`: there was no owner before, or the former one drained the unit and released
  // it.
  bool predecessor_drained = false;
  // Wall clock time of this call, for times that pass between processes.
  wall_time wall{};
};

// A unit whose durable state is the result of applying the records of its stream in order.
template <typename T>
concept owned_unit = requires(T unit, const T& const_unit, const record& entry, epoch unit_epoch,
                              time_point now, unit_context& context) {
  // Applies a record that is in force. Called in log order, in replay and afterwards; answers the
  // calls that waited for the record, if any.
  unit.apply(entry, now, context);
  // Returns records that rebuild the durable state when applied to an empty unit.
  { const_unit.snapshot_records() } -> std::same_as<std::vector<record>>;
  // This node owns the unit from now on and all records before the claim are applied.
  unit.start_owning(unit_epoch, now, context);
  // A record handed to `append` was certainly not written.
  unit.on_dropped(entry, now, context);
  // Another node owns the unit. Answers all waiting calls; the unit is destroyed afterwards.
  unit.on_ownership_lost(now, context);
  unit.on_tick(now, context);
  // Prepares a release: takes nothing new on. True when nothing is in progress.
  { unit.drain(now, context) } -> std::same_as<bool>;
  // What other nodes are told; `unit`, `unit_epoch`, `owner` and `version` are filled in by the
  // core.
  { const_unit.describe(now) } -> std::same_as<unit_entry>;
};

}  // namespace coltsfoot
