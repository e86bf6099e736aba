// Watches long-running tasks that have run and are not started again although workers have room for
// them. The room of the whole fleet counts, whichever shard it belongs to.
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
  duration longest_absence{6'000};  // after the last run
  duration room_for{3'000};         // the room must have been there for this long
  duration calm_before{4'000};      // without trouble, before those
  std::int64_t places = 2;          // tasks like it that would find room
};

// A task that is to run until its job is cancelled.
struct watched_task {
  jobs::task_ref task;
  resources demand;
  bool running = false;
};

class absence_watch {
 public:
  explicit absence_watch(const absence_bounds& bounds) : bounds_(bounds) {}

  // Something fails or comes back at `now`.
  void on_trouble(time_point now) { last_trouble_ = now; }
  // `free`: what each worker that can be used has left. Tasks that are not named any more are
  // forgotten.
  void observe(const std::vector<resources>& free, const std::vector<watched_task>& tasks,
               time_point now);

  // Tasks that have been away for too long.
  const std::set<std::string>& broken() const { return broken_; }
  // The longest absence that was seen, whether there was room or not.
  duration longest_absence() const { return longest_absence_; }

 private:
  struct absence {
    time_point since{};
    time_point room_since{};
    bool has_room = false;
  };

  void judge(const watched_task& task, absence& away, time_point now);

  absence_bounds bounds_;
  time_point last_trouble_{};
  std::set<jobs::task_ref> started_;
  std::map<jobs::task_ref, absence> absences_;
  std::set<std::string> broken_;
  duration longest_absence_{0};
};

}  // namespace coltsfoot::testing
