// Decides which runs leave evacuated zones, and when.
//
// A move is a stop: the task then waits and is placed elsewhere from its checkpoint. Runs that
// would stay for long move, as far as another worker has room for them now. Long-running tasks move
// within the bound on the tasks of a step that may be unavailable.
//
// Data: the owner's links, whose reports are at most 2.5 s old here, its job table, and its own
// moves in progress.
//
//   for (const auto& move : evacuation_moves(inputs, options, now)) stop(move.from, move.key);
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "coltsfoot/placing/placement.h"

namespace coltsfoot::jobs {

struct evacuation_options {
  std::size_t most_moves_at_once = 4;  // of one shard
  // What a move costs a task: up to 600 ms for the restore, 1 s for half a checkpoint interval, and
  // the stop, the record and the start.
  duration restart_cost{2'000};
  // A move that takes longer doesn't count as in progress any more.
  duration move_patience{10'000};
  duration interval{100};  // between two decisions
};

// A run that was stopped so that its task goes on elsewhere.
struct move_in_progress {
  run_number run = 0;  // that was stopped
  worker_id to;        // had room for the task when the move was decided
  time_point began{};
};
using moves_in_progress = std::map<task_key, move_in_progress>;

struct evacuation_move {
  worker_id from;
  task_key key;
  run_number run = 0;
  worker_id to;           // has room for the task; it may be placed on another worker
  duration remaining{0};  // estimated; 0 of a long-running task
  std::uint32_t percent = 0;
  std::uint32_t unavailable = 0;  // tasks of the step that are not at work, this one included
};

struct evacuation_inputs {
  const worker_links& links;
  const job_table& table;
  const interference_model& model;
  const moves_in_progress& moves;
  // Returns the request by which a task would be placed.
  std::function<placement_request(const job&, const task_ref&)> request_for;
};

std::vector<evacuation_move> evacuation_moves(const evacuation_inputs& in,
                                              const evacuation_options& options, time_point now);

// Drops the moves whose tasks are at work again, have ended or took too long.
void drop_settled_moves(moves_in_progress& moves, const worker_links& links, const job_table& table,
                        const evacuation_options& options, time_point now);

}  // namespace coltsfoot::jobs
