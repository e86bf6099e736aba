#include "coltsfoot/evacuation/evacuation_moves.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace coltsfoot::jobs {
namespace {

// Decisions are not based on older reports.
constexpr duration longest_report_age{2'500};

constexpr std::uint32_t all_percent = 100;

// Requests for which no room was found in one decision. It bounds the time that a decision takes
// while many different tasks have no room.
constexpr std::size_t most_failed_searches = 32;

struct candidate {
  const worker_link* link = nullptr;
  task_key key;
  const placed_run* run = nullptr;
  const job* owner = nullptr;  // of the task
  duration remaining{0};
};

// Names the tasks that are placed by the same request.
using step_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

step_key step_of(const task_ref& ref) {
  return {ref.job, ref.occurrence, ref.step};
}

bool has_recent_report(const worker_link& link, time_point now) {
  return link.failed_looks == 0 && !link.restarts.in_doubt() && link.newest_report &&
         now - *link.newest_report < longest_report_age;
}

bool is_at_work(const placed_run& run) {
  const bool started_up = !run.long_running || run.percent >= all_percent;
  return run.phase == start_phase::confirmed && !run.stop_wanted && started_up;
}

const placed_run* run_of(const worker_links& links, const task_key& key,
                         const task_progress& task) {
  const auto link = links.find(task.life.worker);
  if (link == links.end()) return nullptr;
  const auto run = link->second.runs.find(key);
  return run == link->second.runs.end() ? nullptr : &run->second;
}

duration share_of(duration time, std::uint32_t percent) {
  return time * std::min(percent, all_percent) / all_percent;
}

// Whether a run would stay for longer than it takes to go on elsewhere.
bool is_worth_moving(const step_spec& step, const placed_run& run,
                     const evacuation_options& options) {
  if (step.gang || run.phase != start_phase::confirmed || run.stop_wanted) return false;
  // One that starts up is not available now. It moves once it is at work.
  if (step.long_running) return is_at_work(run);
  const auto done = share_of(step.estimate, run.percent);
  const auto repeated = run.checkpoint.empty() ? done : duration{0};
  return step.estimate - done > options.restart_cost + repeated;
}

// Long-running tasks come first, then those that would stay longest.
bool moves_before(const candidate& a, const candidate& b) {
  const auto rank = [](const candidate& c) {
    return std::tuple{!c.run->long_running, -c.remaining, c.key};
  };
  return rank(a) < rank(b);
}

std::vector<candidate> candidates_of(const evacuation_inputs& in, const evacuation_options& options,
                                     time_point now) {
  std::vector<candidate> found;
  for (const auto& [id, link] : in.links) {
    if (!link.evacuated || !has_recent_report(link, now)) continue;
    for (const auto& [key, run] : link.runs) {
      const auto* j = in.table.find(key.job);
      if (j == nullptr || j->ended() || j->cancel_requested) continue;
      const auto& step = j->step_of(j->ref_of(key.index));
      if (!is_worth_moving(step, run, options) || link.has_late_start(run, now)) continue;
      const auto left = step.estimate - share_of(step.estimate, run.percent);
      found.push_back({.link = &link,
                       .key = key,
                       .run = &run,
                       .owner = j,
                       .remaining = step.long_running ? duration{0} : left});
    }
  }
  std::sort(found.begin(), found.end(), moves_before);
  return found;
}

// Tasks of a step that are not at work, for whatever reason. Tasks in other shards count where the
// step has a bound: their owners may move them at the same time.
std::uint32_t unavailable_tasks(const evacuation_inputs& in, const job& j, const task_ref& ref) {
  const auto& step = j.step_of(ref);
  const auto first = j.index_of({.job = ref.job, .occurrence = ref.occurrence, .step = ref.step});
  std::uint32_t count = 0;
  for (auto i = first; i < first + step.count; ++i) {
    const auto& task = j.tasks[i];
    if (task.phase == task_phase::elsewhere) {
      if (step.max_unavailable > 0) ++count;
      continue;
    }
    const bool open = task.phase == task_phase::waiting || task.phase == task_phase::assigned;
    if (!open) continue;
    const auto* run = task.phase == task_phase::assigned
                          ? run_of(in.links, {.job = ref.job, .index = i}, task)
                          : nullptr;
    if (run == nullptr || !is_at_work(*run)) ++count;
  }
  return count;
}

// The workers' room less what the moves will take.
class room_search {
 public:
  room_search(const evacuation_inputs& in, time_point now) : in_(in), now_(now) {
    for (const auto& [key, move] : in.moves) {
      const auto* j = in.table.find(key.job);
      if (j == nullptr || j->ended()) continue;
      const auto& task = j->tasks[key.index];
      const bool placed = task.phase == task_phase::assigned && task.run != move.run;
      if (!placed) reserve(move.to, key, *j);
    }
  }

  bool is_exhausted() const { return failed_steps_.size() >= most_failed_searches; }

  // Returns a worker with room for the task and reserves it, or null.
  const worker_link* take(const task_key& key, const job& j) {
    const auto ref = j.ref_of(key.index);
    if (failed_steps_.contains(step_of(ref)) || is_hopeless(j, ref)) return nullptr;
    auto request = in_.request_for(j, ref);
    request.restart = true;
    for (const auto& [id, link] : in_.links) {
      const auto copy = reserved_.find(id);
      const auto& with_moves = copy == reserved_.end() ? link : copy->second;
      if (obstacle_to(request, with_moves, in_.model, now_)) continue;
      reserve(id, key, j);
      return &link;
    }
    failed_steps_.insert(step_of(ref));
    failed_.emplace_back(&j, &j.step_of(ref));
    return nullptr;
  }

 private:
  // Whether a demand that is no larger has found no room.
  bool is_hopeless(const job& j, const task_ref& ref) const {
    const auto& step = j.step_of(ref);
    return std::any_of(failed_.begin(), failed_.end(), [&](const auto& failed) {
      const auto& [other, other_step] = failed;
      return other_step->max_per_worker == 0 && other->accepted.service == j.accepted.service &&
             other_step->required_label == step.required_label && other_step->fill == step.fill &&
             (!step.fill || other_step->image == step.image) &&
             other_step->demand.fits_in(step.demand);
    });
  }

  void reserve(const worker_id& worker, const task_key& key, const job& j) {
    const auto link = in_.links.find(worker);
    if (link == in_.links.end()) return;
    auto& copy = reserved_.try_emplace(worker, link->second).first->second;
    copy.add(key, run_of_step(j.step_of(j.ref_of(key.index)), j.tasks[key.index], now_));
  }

  const evacuation_inputs& in_;
  time_point now_;
  std::map<worker_id, worker_link> reserved_;  // copies of links with the moved tasks
  // Steps whose tasks found no room.
  std::set<step_key> failed_steps_;
  std::vector<std::pair<const job*, const step_spec*>> failed_;
};

bool is_settled(const task_key& key, const move_in_progress& move, const worker_links& links,
                const job_table& table) {
  const auto* j = table.find(key.job);
  if (j == nullptr || j->ended() || j->cancel_requested) return true;
  const auto& task = j->tasks[key.index];
  if (task.phase == task_phase::waiting) return false;
  if (task.phase != task_phase::assigned) return true;
  const auto* run = run_of(links, key, task);
  return task.run != move.run && run != nullptr && is_at_work(*run);
}

}  // namespace

std::vector<evacuation_move> evacuation_moves(const evacuation_inputs& in,
                                              const evacuation_options& options, time_point now) {
  std::vector<evacuation_move> moves;
  if (in.moves.size() >= options.most_moves_at_once) return moves;
  const auto slots = options.most_moves_at_once - in.moves.size();
  room_search rooms{in, now};
  std::map<step_key, std::uint32_t> unavailable;
  for (const auto& c : candidates_of(in, options, now)) {
    if (moves.size() == slots || rooms.is_exhausted()) break;
    const auto ref = c.owner->ref_of(c.key.index);
    std::uint32_t count = 0;
    if (c.run->long_running) {
      const auto [at, is_new] = unavailable.try_emplace(step_of(ref), 0);
      if (is_new) at->second = unavailable_tasks(in, *c.owner, ref);
      count = at->second + 1;
      if (count > std::max(c.owner->step_of(ref).max_unavailable, 1U)) continue;
    }
    const auto* to = rooms.take(c.key, *c.owner);
    if (to == nullptr) continue;
    if (c.run->long_running) ++unavailable[step_of(ref)];
    moves.push_back({.from = c.link->life.worker,
                     .key = c.key,
                     .run = c.run->run,
                     .to = to->life.worker,
                     .remaining = c.remaining,
                     .percent = c.run->percent,
                     .unavailable = count});
  }
  return moves;
}

void drop_settled_moves(moves_in_progress& moves, const worker_links& links, const job_table& table,
                        const evacuation_options& options, time_point now) {
  std::erase_if(moves, [&](const auto& entry) {
    const auto& [key, move] = entry;
    return now - move.began >= options.move_patience || is_settled(key, move, links, table);
  });
}

}  // namespace coltsfoot::jobs
