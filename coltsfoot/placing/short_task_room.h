// Room that long-running tasks leave to short ones.
//
// Load it answers: long-running tasks for more than the workers have, and short tasks of which each
// needs a large part of a worker. Long-running tasks give back no room in time for short ones. Room
// that is kept evenly on all workers is in pieces that fit no such task. So it is kept in pieces of
// half a worker, on the workers where long-running tasks hold least. Where all workers together
// have less than one piece to keep, each keeps its part.
//
//   short_task_room room;
//   room.keep(workers_of_a_service, figures);
//   if (room.admits(worker, capacity, free, demand)) start_the_long_running_task();
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/placing/short_task_demand.h"

namespace coltsfoot::jobs {

// A worker that may get new tasks, and the processors that long-running ones hold there.
struct long_running_load {
  worker_id worker;
  std::int64_t capacity_millicores = 0;
  std::int64_t held_millicores = 0;
};

class short_task_room {
 public:
  // Whether a long-running task that has never run leaves enough of the free room of a worker.
  bool admits(const worker_id& worker, const resources& capacity, const resources& free,
              const resources& demand) const;

  // Keeps room on the workers of one service.
  void keep(std::vector<long_running_load> workers, const short_task_figures& figures);

  // Processors that are kept in pieces. Long-running tasks may still hold a part of them.
  std::int64_t kept_millicores() const;

 private:
  // By worker. A worker that isn't listed keeps its part.
  std::map<worker_id, std::int64_t> kept_millicores_;
};

}  // namespace coltsfoot::jobs
