// What the owner knows of one worker: its listing, its lease, the runs on it and the room left.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "coltsfoot/base/name_table.h"
#include "coltsfoot/jobs/fleet_layout.h"
#include "coltsfoot/jobs/worker_backoff.h"
#include "coltsfoot/jobs/worker_calls.h"
#include "coltsfoot/lease/lease_clock.h"
#include "coltsfoot/lease/restart_watch.h"
#include "coltsfoot/lease/unanswered_starts.h"
#include "coltsfoot/relocation/run_progress.h"

namespace coltsfoot::jobs {

// Names a task by the position in its job.
struct task_key {
  job_id job;
  task_index index = 0;
  friend auto operator<=>(const task_key&, const task_key&) = default;
};

enum class start_phase {
  recording,  // the start is not in the journal yet
  to_send,    // the order may be sent
  sent,       // the order is under way
  confirmed   // the worker said that it runs, or listed it
};

// A run that holds room on a worker.
struct placed_run {
  run_number run = 0;
  start_phase phase = start_phase::recording;
  bool listed = false;  // a report has shown it as running
  unanswered_starts starts;
  // Whether no start of it can be carried out any more, not even by a later life of the worker.
  bool start_is_over(time_point now) const { return listed && !starts.may_come(now); }
  // Whether no order of it has been sent by this owner or a former one.
  bool is_unsent() const {
    return phase == start_phase::recording || phase == start_phase::to_send;
  }
  time_point next_try{};
  std::uint32_t tries = 0;  // of the order that is due next
  time_point confirmed_at{};
  bool stop_wanted = false;
  std::optional<time_point> stop_answered;
  std::uint32_t percent = 0;
  time_point progressed_at{};  // when `percent` changed
  std::string checkpoint;      // newest one reported
  resources demand;            // held room; a filling task holds no processors
  std::int64_t fill_millicores = 0;
  bool serves = false;
  bool long_running = false;
  std::string image;
  duration response_target{0};  // of a serving task
  double headroom = 0;          // of a serving task: target over tail, smoothed; 0: unknown
  std::optional<time_point> over_since;  // of a serving task: reports show it over its target
  std::uint32_t pace = 100;              // percent of its speed that it was told to work at
  bool pace_unsure = false;              // whether it works at `pace` is not known
  time_point began{};                    // when it was placed
  time_point sent_at{};                  // when its newest start order was sent
  duration estimate{0};                  // of the whole task
  relocation::run_progress progress;     // of a filling task
  std::uint32_t moves = 0;               // of the task, because it was slow elsewhere
};

// Returns a run of a task of `step` that is placed now and not recorded yet.
placed_run run_of_step(const step_spec& step, const task_progress& task, time_point now);

// Why a task can't be placed on a worker.
enum class placing_obstacle {
  unlisted,      // the registry doesn't list the worker
  evacuated,     // its zone is evacuated
  restarted,     // its present life, or the registry's entry of that life, is not known yet
  draining,      // it leaves
  avoided,       // it failed or rejected too much lately
  silent,        // it doesn't answer
  wrong_kind,    // of another service, or without the label that is required
  worker_limit,  // as many tasks of the step run there as may
  memory,        // too little is free, accelerators included
  processors,    // too few are free
  transfer,      // it is being emptied for another shard
  kept_room,     // the room left is kept for short tasks
  interference   // serving tasks there would miss their targets
};

struct worker_link {
  worker_link(worker_id worker, std::uint64_t incarnation, time_point inherited_until)
      : life{.worker = std::move(worker), .incarnation = incarnation}, lease(inherited_until) {}

  worker_life life;
  std::uint32_t former_lives = 0;         // that this owner has seen
  std::optional<worker_listing> listing;  // the newest one
  bool listed = false;                    // the registry lists it now
  bool evacuated = false;                 // the zone of `listing` is evacuated
  // An entry with a life below the known one, until a look shows that life.
  std::optional<worker_listing> unconfirmed;
  bool listing_outdated = false;  // `listing` is of a former life
  restart_watch restarts;
  lease_clock lease;
  time_point granted_at{};  // when the newest order was sent that grants a lease
  time_point outlived{};    // when the newest order was sent that the worker has answered
  std::map<task_key, placed_run> runs;

  // Room, kept along with `runs`.
  resources used;
  std::int64_t fill_millicores = 0;        // of filling tasks at full speed
  std::int64_t paced_fill_millicores = 0;  // the same at the pace they were told
  std::int32_t serving = 0;
  std::int64_t serving_millicores = 0;
  std::int64_t long_running_millicores = 0;

  // Room of tasks that are on their way here from workers where they were slow. It is counted as
  // used by filling tasks at full speed.
  struct held_room {
    resources demand;
    std::int64_t fill_millicores = 0;
  };
  std::map<task_key, held_room> holds;

  time_point tails_at{};  // of the newest report with tails of serving tasks
  time_point paced_at{};  // when the pace of a run was changed last

  // Looks.
  struct open_poll {
    time_point answer_by;
    duration wait{0};  // that the worker may hold back its answer
    std::uint64_t forget_up_to = 0;
    bool overdue = false;  // counted in `failed_looks`; its answer still counts if it comes
  };
  std::map<time_point, open_poll> open_polls;  // looks without an answer, by when they were sent
  std::optional<time_point> newest_report;     // when the look of the newest report was sent
  time_point next_look{};
  std::optional<time_point> last_contact;
  std::uint64_t seen_end = 0;       // ends up to this number are handled
  std::uint64_t recorded_end = 0;   // ends up to this number are in the journal
  std::uint64_t forgotten_end = 0;  // the worker has been told to forget these, and has answered
  std::uint32_t failed_looks = 0;   // in a row

  // Set while the worker is being emptied for another shard.
  struct transfer_under_way {
    shard_number to = first_shard;
    time_point give_up{};    // unless it is empty by then
    bool recording = false;  // the transfer is on its way to the journal
  };
  std::optional<transfer_under_way> transfer;

  worker_backoff backoff;

  void add(const task_key& key, placed_run run);
  void remove(const task_key& key);
  void hold(const task_key& key, const held_room& room);
  void release(const task_key& key);
  // Changes the pace of a run that is on this worker.
  void set_pace(placed_run& run, std::uint32_t percent);
  resources free() const;
  // Processors that filling tasks could use and do not.
  std::int64_t idle_millicores() const;

  // Handles and acknowledges ends from the first one on, as in a new life.
  void reset_end_cursors();
  // The newest end that the worker has still to be told to forget; 0: none. Only one answered look
  // carries it: it would let a later life forget ends of its own.
  std::uint64_t end_cursor_to_send() const;
  // Whether a start of the run, which is on this worker, is late and may still be carried out.
  bool has_late_start(const placed_run& run, time_point now) const {
    return now < run.starts.late_until(outlived);
  }
  // Whether a look may be sent: none is under way, or all of those are overdue.
  bool may_poll() const;

  // Why no new work may be placed here, whatever it is; nothing if it may.
  std::optional<placing_obstacle> obstacle(time_point now) const;
  // Whether new work may be placed here.
  bool usable(time_point now) const { return !obstacle(now); }
};

}  // namespace coltsfoot::jobs

namespace coltsfoot {
template <>
struct enum_names<jobs::placing_obstacle> {
  static constexpr std::array table{
      std::pair{jobs::placing_obstacle::unlisted, std::string_view{"unlisted"}},
      std::pair{jobs::placing_obstacle::evacuated, std::string_view{"evacuated"}},
      std::pair{jobs::placing_obstacle::restarted, std::string_view{"restarted"}},
      std::pair{jobs::placing_obstacle::draining, std::string_view{"draining"}},
      std::pair{jobs::placing_obstacle::avoided, std::string_view{"avoided"}},
      std::pair{jobs::placing_obstacle::silent, std::string_view{"silent"}},
      std::pair{jobs::placing_obstacle::wrong_kind, std::string_view{"wrong_kind"}},
      std::pair{jobs::placing_obstacle::worker_limit, std::string_view{"worker_limit"}},
      std::pair{jobs::placing_obstacle::memory, std::string_view{"memory"}},
      std::pair{jobs::placing_obstacle::processors, std::string_view{"processors"}},
      std::pair{jobs::placing_obstacle::transfer, std::string_view{"transfer"}},
      std::pair{jobs::placing_obstacle::kept_room, std::string_view{"kept_room"}},
      std::pair{jobs::placing_obstacle::interference, std::string_view{"interference"}}};
};
}  // namespace coltsfoot
