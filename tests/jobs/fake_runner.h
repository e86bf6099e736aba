// An in-memory worker that follows the platform's contract: leases measured by its own clock,
// fences, run numbers, and run ends that are reported until they are forgotten. Fill tasks work at
// their pace and take tails from the serving tasks beside them. It reports violated rules.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coltsfoot/jobs/worker_calls.h"

namespace coltsfoot::testing {

// What a worker needs to know about a task that it is ordered to start.
struct task_work {
  duration length{0};
  resources demand;
  bool fills = false;
  bool lasts = false;  // ends by itself only if it fails
  bool fails = false;
  bool checkpoints = false;
  duration response_target{0};  // of a serving task
};

class fake_runner {
 public:
  using work_source = std::function<task_work(const jobs::run_ref&)>;

  fake_runner(worker_id id, resources capacity, work_source work, time_point now);

  jobs::order_answer start(const jobs::start_order& order, std::uint64_t fence, time_point now);
  jobs::order_answer stop(const jobs::stop_order& order, std::uint64_t fence, time_point now);
  jobs::look_answer look(const jobs::look_order& order, std::uint64_t fence, time_point now);
  jobs::order_answer pace(const jobs::pace_order& order, std::uint64_t fence, time_point now);
  // Headroom (target over tail) of its serving tasks while no fill task works.
  void set_headroom(double headroom) { headroom_ = headroom; }
  // Speed of fill tasks at full pace; below 1, serving tasks press them.
  void set_fill_speed(double speed, time_point now);
  bool has_unforgotten_ends() const { return !ends_.empty(); }

  // Ends the tasks that are done, and all tasks once the lease has expired.
  void advance(time_point now);
  // Loses all running tasks; the next incarnation starts without any state.
  void restart(time_point now);

  const worker_id& id() const { return id_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const resources& capacity() const { return capacity_; }

  struct running {
    jobs::run_number run = 0;
    task_work work;
    time_point began;
    time_point ends;
    std::uint32_t pace = 100;  // of a fill task, like those below
    double done_ms = 0;        // of its length
    time_point worked_until{};
  };
  const std::map<jobs::task_ref, running>& runs() const { return runs_; }
  resources free() const;
  // When the newest run began, in all lives.
  std::optional<time_point> last_start() const { return last_start_; }
  // Runs that ended because the lease was over, in all lives.
  std::size_t lapsed() const { return lapsed_; }

 private:
  jobs::worker_clock clock(time_point now) const;
  void end(const jobs::task_ref& task, jobs::run_end how);
  bool accept_fence(std::uint64_t fence);
  void work_on(running& run, time_point now) const;
  double used_share() const;  // of the processors, by fill tasks
  std::uint32_t percent_of(const running& run, time_point now) const;
  void extend_lease(jobs::worker_clock end, time_point now);

  worker_id id_;
  resources capacity_;
  work_source work_;
  std::uint64_t incarnation_ = 1;
  time_point born_;
  std::uint64_t fence_ = 0;
  jobs::worker_clock lease_end_ = 0;
  std::map<jobs::task_ref, running> runs_;
  std::map<jobs::task_ref, jobs::run_number> ended_runs_;  // highest by task
  std::vector<jobs::ended_row> ends_;
  std::uint64_t last_end_ = 0;
  double headroom_ = 2.5;
  double fill_speed_ = 1;
  std::size_t lapsed_ = 0;
  std::optional<time_point> last_start_;
};

}  // namespace coltsfoot::testing
