// The jobs of the fleet and how far each of them is. Every node keeps a copy that follows the
// journal; the owner's copy is ahead of the journal by what it has not recorded yet.
//
//   job_table table;
//   table.accept(accepted);
//   job* found = table.find(id);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoot/base/name_table.h"
#include "coltsfoot/jobs/fleet_layout.h"
#include "coltsfoot/jobs/job.h"

namespace coltsfoot::jobs {

// One life of a worker: a worker that restarts has another incarnation and runs nothing.
struct worker_life {
  worker_id worker;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const worker_life&, const worker_life&) = default;
};
COLTSFOOT_CODEC(worker_life, worker, incarnation)

enum class task_phase : std::uint8_t {
  waiting,   // not running anywhere
  assigned,  // may be running on `life`
  done,
  failed,    // used up its attempts
  elsewhere  // another shard runs it
};

struct task_progress {
  task_phase phase = task_phase::waiting;
  run_number run = 0;          // of the newest start
  std::uint32_t failures = 0;  // runs that ended failed
  worker_life life;            // of an assigned task
  std::string checkpoint;      // the newest saved state that is known
  // Of an assigned task: a start order got no answer and may be carried out late by its worker.
  bool late_start = false;
};

// A task that changes its shard. Of several handovers of one task, the one with the highest number
// counts.
struct task_handover {
  shard_number to = first_shard;
  std::uint32_t number = 0;  // 1 for the first handover of the task
  run_number run = 0;        // of its newest start, which is over
  std::string checkpoint;
  std::uint32_t failures = 0;  // runs that ended failed
  friend bool operator==(const task_handover&, const task_handover&) = default;
};
COLTSFOOT_CODEC(task_handover, to, number, run, checkpoint, failures)

enum class job_outcome : std::uint8_t { open, completed, failed, cancelled };

// What callers see of a job.
enum class job_state { queued, running, completed, failed, cancelled };

// What is recorded when a job is accepted. The queue's figures are copied: the queue may be gone
// from the configuration before the job ends.
struct accepted_job {
  job_id id;
  queue_id queue;
  service_id service;
  std::int32_t priority = 0;
  std::uint32_t max_attempts = 1;
  double slack_factor = 1;
  duration latency_target{0};
  wall_time accepted_at{};
  job_spec spec;
  // A copy in a shard that runs some tasks for the job's own shard, which answers for the job.
  bool partial = false;
};
COLTSFOOT_CODEC(accepted_job, id, queue, service, priority, max_attempts, slack_factor,
                latency_target, accepted_at, spec, partial)

// Position of a task in its job: tasks are numbered by occurrence, then step, then index.
using task_index = std::uint32_t;

struct job {
  accepted_job accepted;
  std::vector<task_progress> tasks;       // emptied when the job has ended
  std::vector<std::uint32_t> open_tasks;  // not done, by occurrence and step
  job_outcome outcome = job_outcome::open;
  bool cancel_requested = false;
  bool started = false;  // a task has been started
  wall_time ended_at{};
  // The newest handovers that this shard knows: those it made, and those by which it got a task.
  std::map<task_index, task_handover> handovers;

  bool ended() const { return outcome != job_outcome::open; }
  std::uint32_t tasks_per_occurrence() const;
  task_index index_of(const task_ref& task) const;  // the reference must be valid: see `contains`
  bool contains(const task_ref& task) const;
  task_ref ref_of(task_index index) const;
  const step_spec& step_of(const task_ref& task) const { return accepted.spec.steps[task.step]; }
  std::uint32_t& open_in_step(std::uint32_t occurrence, std::uint32_t step) {
    return open_tasks[occurrence * accepted.spec.steps.size() + step];
  }
  // Whether all steps that `step` depends on are done. A partial copy gets tasks of such steps
  // only, and does not know of the others.
  bool step_ready(std::uint32_t occurrence, std::uint32_t step) const;
  // Recounts `open_tasks` from `tasks`.
  void recount();
};

job_state state_of(const job& j);

class job_table {
 public:
  // Adds a job. A job that is known stays as it is; returns whether it was new.
  bool accept(accepted_job accepted);
  // Marks a job as cancelled, also one whose acceptance has not been seen yet.
  void request_cancel(const job_id& id);
  // Forgets the cancellation of a job that was never accepted.
  void drop_early_cancel(const job_id& id) { early_cancels_.erase(id); }
  // Cancelled jobs whose acceptance has not been seen.
  const std::set<job_id>& early_cancels() const { return early_cancels_; }
  void forget(const job_id& id);

  job* find(const job_id& id);
  const job* find(const job_id& id) const;
  // Accepted jobs of a queue without a schedule for which no task was started; no partial copies.
  std::size_t pending(const queue_id& queue) const;
  std::size_t size() const { return jobs_.size(); }

  auto begin() { return jobs_.begin(); }
  auto end() { return jobs_.end(); }
  auto begin() const { return jobs_.begin(); }
  auto end() const { return jobs_.end(); }

 private:
  std::unordered_map<job_id, job> jobs_;
  std::set<job_id> early_cancels_;
};

}  // namespace coltsfoot::jobs

namespace coltsfoot {
template <>
struct enum_names<jobs::task_phase> {
  static constexpr std::array table{
      std::pair{jobs::task_phase::waiting, std::string_view{"waiting"}},
      std::pair{jobs::task_phase::assigned, std::string_view{"assigned"}},
      std::pair{jobs::task_phase::done, std::string_view{"done"}},
      std::pair{jobs::task_phase::failed, std::string_view{"failed"}},
      std::pair{jobs::task_phase::elsewhere, std::string_view{"elsewhere"}}};
};
template <>
struct enum_names<jobs::job_state> {
  static constexpr std::array table{
      std::pair{jobs::job_state::queued, std::string_view{"queued"}},
      std::pair{jobs::job_state::running, std::string_view{"running"}},
      std::pair{jobs::job_state::completed, std::string_view{"completed"}},
      std::pair{jobs::job_state::failed, std::string_view{"failed"}},
      std::pair{jobs::job_state::cancelled, std::string_view{"cancelled"}}};
};
}  // namespace coltsfoot
