// Detects long-running tasks that have run before and are not restarted although workers have
// enough free capacity. The free capacity of all workers counts, whichever shard owns them.
//
//   absence_watch watch{{}};
//   watch.on_trouble(now);
//   watch.observe(workers, tasks, now);
//   EXPECT_TRUE(watch.broken().empty());
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/job.h"

namespace coltsfoot::testing {

struct absence_bounds {
  duration longest_absence{6'000};  // since the task was first seen not running
  duration room_for{3'000};         // minimum time that the capacity has been free
  duration calm_before{4'000};      // minimum time without a fault before `room_for`
  std::int64_t places = 2;          // minimum number of such tasks that would fit
};

// A task that should run until its job is cancelled.
struct watched_task {
  jobs::task_ref task;
  resources demand;
  bool running = false;
};

class absence_watch {
 public:
  explicit absence_watch(const absence_bounds& bounds) : bounds_(bounds) {}

  // Records that a component failed or recovered at `now`.
  void on_trouble(time_point now) { last_trouble_ = now; }
  time_point last_trouble() const { return last_trouble_; }
  // `free` is the free capacity of each usable worker. Absences of tasks that are not in `tasks`
  // are dropped.
  void observe(const std::vector<resources>& free, const std::vector<watched_task>& tasks,
               time_point now);

  // Describes the tasks that violated the bounds.
  const std::set<std::string>& broken() const { return broken_; }
  // The longest absence observed, with or without free capacity.
  duration longest_absence() const { return longest_absence_; }

 private:
  struct absence {
    time_point since{};
    time_point room_since{};
    bool has_room = false;
  };

  void check_absence(const watched_task& task, absence& current, time_point now);

  absence_bounds bounds_;
  time_point last_trouble_{};
  std::set<jobs::task_ref> started_;
  std::map<jobs::task_ref, absence> absences_;
  std::set<std::string> broken_;
  duration longest_absence_{0};
};

}  // namespace coltsfoot::testing
