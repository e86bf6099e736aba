// Keeps new work from workers on which several different tasks failed one after another.
//
//   quarantine.on_failure(worker, task, now);
//   if (quarantine.admits(worker, now)) { ... quarantine.on_started(worker, task, now); }
#pragma once

#include <map>
#include <set>
#include <utility>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"

namespace coltsfoot {

struct quarantine_options {
  std::size_t failures = 3;  // different tasks that fail in a row
  duration first_back_off{10'000};
  duration longest_back_off{600'000};
};

class worker_quarantine {
 public:
  using task_key = std::pair<customer_id, task_id>;

  explicit worker_quarantine(quarantine_options options) : options_(options) {}

  // Whether the worker may get a task now: it is healthy, or its back-off is over and it has no
  // probe task.
  bool admits(const worker_id& worker, time_point now) const;
  bool quarantined(const worker_id& worker) const;

  // A task is about to start. On a quarantined worker it is the probe.
  void on_started(const worker_id& worker, const task_key& task, time_point now);
  void on_success(const worker_id& worker, const task_key& task);
  // Returns whether the worker is quarantined by this failure.
  bool on_failure(const worker_id& worker, const task_key& task, time_point now);
  // The task ended without telling whether the worker works, for instance by a cancellation.
  void on_inconclusive(const worker_id& worker, const task_key& task);
  void forget(const worker_id& worker) { workers_.erase(worker); }

 private:
  struct worker_record {
    std::set<task_key> failed;  // since the last success
    bool quarantined = false;
    time_point until;
    duration back_off{0};
    bool probing = false;
    task_key probe;
  };

  quarantine_options options_;
  std::map<worker_id, worker_record> workers_;
};

}  // namespace coltsfoot
