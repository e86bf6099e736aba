// Room of workers by shard, to find a shard that can run a long-running task of another one.
//
// Load it answers: shards that are almost full, each with some room left in pieces on workers that
// run long-running tasks. Such workers stay in their shards, so the task has to go to the room.
//
//   shard_rooms rooms{shards};
//   rooms.add_worker(shard, listing);
//   rooms.take(worker, demand_of_a_run, long_running);
//   rooms.keep_room_for_short_tasks();
//   if (const auto to = rooms.best_for(need, own)) rooms.reserve(*to, need);
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "coltsfoot/jobs/fleet_layout.h"
#include "coltsfoot/jobs/job.h"
#include "coltsfoot/placing/short_task_room.h"

namespace coltsfoot::jobs {

// A task that needs room.
struct task_need {
  const step_spec* step = nullptr;
  service_id service;
  bool has_run = false;  // it may use room that is kept for short tasks
};

// Whether a place that does for `need` does for `other` too.
bool needs_no_more_than(const task_need& other, const task_need& need);

class shard_rooms {
 public:
  explicit shard_rooms(std::size_t shards) : workers_(shards), short_rooms_(shards) {}

  // The listing must outlive this object.
  void add_worker(shard_number shard, const worker_listing& listing);
  // Something that runs holds room on a worker, which is thereby known to live.
  void take(const worker_id& worker, const resources& demand, bool long_running = false);
  // Keeps room from first starts, once all that runs has taken its room. What short tasks have
  // needed lately is known to the owner of a shard only.
  void keep_room_for_short_tasks();
  // Takes room for a task on the worker of the shard that it leaves the least room on. Returns
  // whether there was any. Room that a first start takes is still there for tasks that have run.
  bool reserve(shard_number shard, const task_need& need);
  // The shard with the most workers that have room for the task, `own` left out. Workers that run
  // something come first: one that runs nothing may be lost, and the registry not know it yet.
  std::optional<shard_number> best_for(const task_need& need, shard_number own) const;
  // Whether the workers of a shard, when they are idle, have as many places as the task needs.
  bool has_places(shard_number shard, const task_need& need) const;
  // The shard whose workers have the most places for the task when they are idle, `own` left out;
  // nothing if none has as many as it needs.
  std::optional<shard_number> able_shard(const task_need& need, shard_number own) const;

 private:
  struct room {
    const worker_listing* listing = nullptr;
    resources free;
    resources first_starts;  // of `free`, taken for tasks that have never run
    std::int64_t long_running_millicores = 0;
    bool runs_something = false;
  };

  static resources free_for(const task_need& need, const room& worker);
  bool suits(shard_number shard, const room& worker, const task_need& need) const;

  std::vector<std::vector<room>> workers_;                               // by shard
  std::vector<short_task_room> short_rooms_;                             // by shard
  std::map<worker_id, std::pair<shard_number, std::size_t>> positions_;  // in `workers_`
};

}  // namespace coltsfoot::jobs
