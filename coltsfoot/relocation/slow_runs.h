// Decides which fill runs are stopped to be placed again where they work at full speed.
//
// Load it answers: fill runs that are paced down, or pressed beyond their pace, by serving tasks
// whose load swings, while other workers have processors to spare. A run moves if its task then
// ends earlier, with a margin: its own measured progress tells what it takes here and there. The
// last tasks of a step come first.
//
// Data: the newest report of each worker, asked for at most 2 s ago; the pace that each run was
// told; the room of each worker as the owner counts it. Nothing is kept but where to go on looking.
//
//   slow_run_finder finder{options};
//   for (const auto& move : finder.choose({links, table, model, speeds}, most, now)) begin(move);
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/jobs/job_table.h"
#include "coltsfoot/jobs/placement.h"
#include "coltsfoot/relocation/run_progress.h"

namespace coltsfoot::relocation {

struct relocation_options {
  duration restore{0};  // that resuming from a checkpoint takes; 0: nothing is moved
  duration interval{250};
  // From the decision until the task works elsewhere, the restore aside: a stop, a record of the
  // start and the start.
  duration order_delay{250};
  duration report_limit{2'000};  // a worker whose report is older is not judged
  duration least_time{1'000};    // on a worker; doubles with each move of the task
  double margin = 1.5;           // estimated times are compared that stem from few reports
  duration least_gain{500};
  std::uint32_t most_moves_of_task = 3;
  std::size_t most_under_way = 4;
  duration give_up{3'000};  // from the decision until the task is placed again
  // Bounds on the processor time of one pass.
  std::size_t most_workers_judged = 512;
  std::size_t most_rooms_compared = 1'024;
  std::size_t most_targets_judged = 64;

  bool enabled() const { return restore > duration{0}; }
};

// What is known of the fleet. The parts must outlive it.
struct fleet_view {
  const jobs::worker_links& links;
  const jobs::job_table& table;
  const jobs::interference_model& model;
  const typical_speeds& speeds;
};

struct run_move {
  jobs::task_key key;
  jobs::run_number run = 0;
  worker_id from;
  worker_id to;
  std::uint32_t percent = 0;
  double percent_per_s = 0;  // at present
  duration here{0};          // until the task ends where it is
  duration there{0};         // the same if it moves now
  duration report_age{0};
};

class slow_run_finder {
 public:
  explicit slow_run_finder(const relocation_options& options) : options_(options) {}

  // Returns at most `most` moves, the most useful first. No two of them have one target.
  std::vector<run_move> choose(const fleet_view& fleet, std::size_t most, time_point now);

 private:
  struct slow_run {
    const jobs::task_key* key = nullptr;
    const jobs::placed_run* run = nullptr;
    const jobs::worker_link* link = nullptr;
    const jobs::job* owner = nullptr;
    const jobs::step_spec* step = nullptr;
    double speed_here = 0;  // percent per second
    double full_speed = 0;  // of the run by its own figures
    double typical = 0;     // at full pace, of its image
    double here_ms = 0;
    double score = 0;  // expected gain in ms for each open task of the step
  };
  struct target {
    const jobs::worker_link* link = nullptr;
    double there_ms = 0;
    double idle_share = 0;
  };

  std::vector<slow_run> slow_runs(const fleet_view& fleet, time_point now);
  void judge_worker(const fleet_view& fleet, const jobs::worker_link& link, time_point now,
                    std::vector<slow_run>& out) const;
  std::optional<slow_run> judge(const fleet_view& fleet, const jobs::worker_link& link,
                                const jobs::task_key& key, const jobs::placed_run& run,
                                time_point now) const;
  double time_there(const slow_run& slow, bool near_there) const;
  bool gains(const slow_run& slow, double there_ms) const;
  target find_target(const fleet_view& fleet, const slow_run& slow,
                     const std::vector<run_move>& chosen, time_point now);

  relocation_options options_;
  worker_id last_judged_;
  worker_id last_target_;
  std::size_t rooms_left_ = 0;    // to compare in the present pass
  std::size_t targets_left_ = 0;  // to judge in the present pass
};

}  // namespace coltsfoot::relocation
