// Decides which running tasks are throttled, or checkpointed and stopped, to protect urgent work,
// to take lent capacity back and to empty leaving workers.
//
//   for (const eviction_action& action : planner.plan(workers, reclaim, now, wall)) { ... }
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

struct eviction_options {
  double high_slowdown = 3.0;         // urgent work slowed down by this causes an action
  double low_slowdown = 2.0;          // below this a throttled task is let go again
  duration minimum_throttled{5'000};  // before a throttled task may be stopped
  duration cool_down{5'000};          // between two actions on one worker
  double bucket_size = 4;             // evictions that may follow each other at once, per rack
  double evictions_per_minute = 12;   // rate at which the bucket fills, per rack
};

// A running attempt, as the planner sees it.
struct eviction_candidate {
  attempt_id attempt;
  task_kind kind = task_kind::batch;
  urgency priority = urgency::deferrable;
  bool idempotent = true;
  bool stopping = false;   // a stop is under way
  bool throttled = false;  // by the worker's report or by an unconfirmed command
  time_point throttled_since;
  resources limit;
  double interference = 0;  // expected excess slowdown that it causes to urgent neighbours
};

struct eviction_worker {
  worker_id id;
  bool leaving = false;
  bool has_urgent = false;       // an urgent task runs there
  double urgent_slowdown = 1.0;  // largest measured among its urgent tasks
  wall_time measured_at{};       // of that measurement
  resources free;                // not reserved by any task
  std::vector<eviction_candidate> running;
};

// Room for a task of one kind that the other kind has to give back.
struct reclaim_demand {
  urgency from = urgency::deferrable;  // the kind that gives room back
  resources amount;                    // needed on one worker
  resources held;                      // what `from` holds in the rack
  resources capacity;                  // of the rack
  double floor = 0;                    // share below which nothing is taken from `from`
};

struct eviction_action {
  worker_id worker;
  attempt_id attempt;
  worker_command_kind kind = worker_command_kind::throttle;
  std::string_view reason;
};

class eviction_planner {
 public:
  explicit eviction_planner(eviction_options options)
      : options_(options), tokens_(options.bucket_size) {}

  std::vector<eviction_action> plan(const std::vector<eviction_worker>& workers,
                                    const std::vector<reclaim_demand>& demands, time_point now,
                                    wall_time wall);
  void forget(const worker_id& worker) { last_actions_.erase(worker); }

 private:
  struct last_action {
    time_point at;
    wall_time wall{};
  };
  // What a call of `plan` works on.
  struct plan_run {
    time_point now;
    wall_time wall{};
    std::vector<eviction_action> actions;
    std::map<worker_id, resources> room;    // free or being freed
    std::map<urgency, resources> stopping;  // limits of what is being stopped, in the rack
    std::set<attempt_id> stopped;           // by this run
  };

  void refill(time_point now);
  bool take_tokens(std::size_t count);
  // Whether the measurement shows the effect of the last action on this worker, and the cool-down
  // is over.
  bool may_act_on(const eviction_worker& worker, const plan_run& run) const;
  void act(plan_run& run, const eviction_worker& worker, const eviction_candidate& task,
           worker_command_kind kind, std::string_view reason);
  void plan_leaving(const eviction_worker& worker, plan_run& run);
  void plan_slowdown(const eviction_worker& worker, plan_run& run);
  void plan_relief(const eviction_worker& worker, plan_run& run);
  void plan_unthrottle(const eviction_worker& worker, plan_run& run);
  void plan_reclaim(const std::vector<eviction_worker>& workers, const reclaim_demand& demand,
                    plan_run& run);

  eviction_options options_;
  double tokens_;
  std::optional<time_point> refilled_;
  std::map<worker_id, last_action> last_actions_;
};

}  // namespace coltsfoot
