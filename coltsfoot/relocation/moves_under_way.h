// The moves of an owner that have been decided and whose tasks have not been placed again. Each
// holds its room on its target until then. Nothing of it is recorded: a task whose move is
// forgotten waits like any other.
//
//   moves.begin(move, step, links, now);
//   for (const auto& move : moves.waiting(table)) place(move);
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "coltsfoot/jobs/job_table.h"
#include "coltsfoot/placing/placement.h"
#include "coltsfoot/relocation/slow_runs.h"

namespace coltsfoot::relocation {

class moves_under_way {
 public:
  struct entry {
    jobs::task_key key;
    jobs::run_number run = 0;  // that is stopped
    worker_id to;
    std::uint32_t former_moves = 0;  // of the task
    time_point give_up{};
  };

  std::size_t size() const { return entries_.size(); }

  // Holds room for the task on its target. `run`: the run that will be stopped.
  void begin(const run_move& move, const jobs::placed_run& run, jobs::worker_links& links,
             time_point give_up);
  // Forgets moves whose task has ended or has been placed, and those that take too long.
  void drop_settled(const jobs::job_table& table, jobs::worker_links& links, time_point now);
  // The moves whose run is over and whose task waits, in the order of their tasks.
  std::vector<entry> waiting(const jobs::job_table& table) const;
  // Gives the held room back for the placing of the task.
  void release_room(const jobs::task_key& key, jobs::worker_links& links);
  void drop(const jobs::task_key& key, jobs::worker_links& links);

 private:
  std::map<jobs::task_key, entry> entries_;
};

}  // namespace coltsfoot::relocation
