// Decides which fill runs are stopped to be placed again where they work at full speed.
//
// Load it answers: fill runs that are paced down, or pressed beyond their pace, by serving tasks
// whose load swings, while other workers have processors to spare. A run moves if its task then
// ends earlier, with a margin: its own measured progress tells what it takes here and there. Runs
// of jobs that can still end in time come first, then the last tasks of a step.
//
// Data: the newest report of each worker, asked for at most 2 s ago; the pace that each run was
// told; the room of each worker as the owner counts it. Nothing is kept but where to go on looking.
//
//   slow_run_finder finder{options};
//   for (const auto& move : finder.choose({links, table, model, speeds}, most, now)) begin(move);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coltsfoot/base/name_table.h"
#include "coltsfoot/jobs/job_table.h"
#include "coltsfoot/placing/job_urgency.h"
#include "coltsfoot/placing/placement.h"
#include "coltsfoot/relocation/room_claims.h"
#include "coltsfoot/relocation/run_progress.h"

namespace coltsfoot::relocation {

struct relocation_options {
  duration restore{0};     // that resuming from a checkpoint takes; 0: nothing is moved
  duration interval{100};  // between two passes
  // From the decision until the task works elsewhere, the restore aside: a stop, a record of the
  // start and the start.
  duration order_delay{250};
  duration report_limit{2'000};  // a worker whose report is older is not judged
  duration least_time{1'000};    // on a worker; doubles with each move of the task
  double margin = 1.5;           // estimated times are compared that stem from few reports
  duration least_gain{500};
  std::uint32_t most_moves_of_task = 3;
  // Moves under way in a small shard. A larger one may have one for each `workers_per_move`
  // workers, as each move holds the room of another worker.
  std::size_t most_under_way = 4;
  std::size_t workers_per_move = 4;
  duration give_up{3'000};        // from the decision until the task is placed again
  duration longest_hold{20'000};  // for which tasks of a job wait for slow runs of others
  // Bounds on the processor time of one pass.
  std::size_t most_workers_judged = 512;
  std::size_t most_rooms_compared = 8'192;
  std::size_t most_targets_judged = 256;
  std::size_t most_sought = 64;  // slow runs for which targets are sought

  bool enabled() const { return restore > duration{0}; }
};

// What is known of the fleet. The parts must outlive it.
struct fleet_view {
  const jobs::worker_links& links;
  const jobs::job_table& table;
  const jobs::interference_model& model;
  const typical_speeds& speeds;
  const jobs::estimate_correction& correction;
  wall_time wall;
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

// Why a slow run stays where it is.
enum class stay_reason : std::uint8_t {
  late_start,   // a start order of it may still be carried out: its next run stays with the worker
  moved_often,  // its task has moved as often as it may
  young,        // it has been there too short a time
  unmovable,    // its kind of step does not move, or it would lose too much work
  no_gain,      // it would not end clearly earlier on a free worker
  not_sought,   // others went first, and the bound on moves was reached
  no_room       // no worker was found on which it would end clearly earlier
};

// Of one pass.
struct slow_run_counts {
  std::size_t slow = 0;  // runs that work clearly slower than they could
  std::size_t moved = 0;
  std::map<stay_reason, std::size_t> staying;
};

class slow_run_finder {
 public:
  explicit slow_run_finder(const relocation_options& options) : options_(options) {}

  // Returns at most `most` moves, the most useful first. No two of them have one target.
  std::vector<run_move> choose(const fleet_view& fleet, std::size_t most, time_point now);

  // What became of the slow runs in the newest pass.
  const slow_run_counts& counts() const { return counts_; }
  // The slow runs for which the newest pass sought room and found none. Those that were not sought
  // could not move now, whatever room there is.
  const urgencies_by_service& without_room() const { return without_room_; }
  // Workers that the newest pass judged.
  std::size_t judged_workers() const { return judged_workers_; }

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
    jobs::job_urgency urgency;
  };
  struct target {
    const jobs::worker_link* link = nullptr;
    double there_ms = 0;
    double idle_share = 0;
  };

  std::vector<slow_run> slow_runs(const fleet_view& fleet, time_point now);
  void judge_worker(const fleet_view& fleet, const jobs::worker_link& link, time_point now,
                    std::vector<slow_run>& out);
  // Returns the run if it is slow.
  std::optional<slow_run> judge(const fleet_view& fleet, const jobs::worker_link& link,
                                const jobs::task_key& key, const jobs::placed_run& run) const;
  // Whether room is sought for `a` first.
  static bool goes_first(const slow_run& a, const slow_run& b);
  // Why a slow run should stay; nothing if it should move.
  std::optional<stay_reason> reason_to_stay(const slow_run& slow, time_point now) const;
  double time_there(const slow_run& slow, bool near_there) const;
  bool gains(const slow_run& slow, double there_ms) const;
  target find_target(const fleet_view& fleet, const slow_run& slow,
                     const std::vector<run_move>& chosen, time_point now);

  relocation_options options_;
  slow_run_counts counts_;
  urgencies_by_service without_room_;
  std::size_t judged_workers_ = 0;
  worker_id last_judged_;
  worker_id last_target_;
  std::size_t rooms_left_ = 0;    // to compare in the present pass
  std::size_t targets_left_ = 0;  // to judge in the present pass
};

}  // namespace coltsfoot::relocation

namespace coltsfoot {
template <>
struct enum_names<relocation::stay_reason> {
  static constexpr std::array table{
      std::pair{relocation::stay_reason::late_start, std::string_view{"late_start"}},
      std::pair{relocation::stay_reason::moved_often, std::string_view{"moved_often"}},
      std::pair{relocation::stay_reason::young, std::string_view{"young"}},
      std::pair{relocation::stay_reason::unmovable, std::string_view{"unmovable"}},
      std::pair{relocation::stay_reason::no_gain, std::string_view{"no_gain"}},
      std::pair{relocation::stay_reason::not_sought, std::string_view{"not_sought"}},
      std::pair{relocation::stay_reason::no_room, std::string_view{"no_room"}}};
};
}  // namespace coltsfoot
