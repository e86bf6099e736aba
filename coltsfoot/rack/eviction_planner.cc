#include "coltsfoot/rack/eviction_planner.h"

#include <algorithm>

namespace coltsfoot {
namespace {

using candidate_list = std::vector<const eviction_candidate*>;

// Non-idempotent tasks can't be started again, and latency-critical ones have no checkpoint.
bool evictable(const eviction_candidate& task) {
  return task.kind == task_kind::batch && task.idempotent && !task.stopping;
}

// Returns the evictable tasks of one kind, those with the highest interference first.
candidate_list victims_of(const eviction_worker& worker, urgency kind) {
  candidate_list victims;
  for (const auto& task : worker.running) {
    if (evictable(task) && task.priority == kind) victims.push_back(&task);
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [](const auto* a, const auto* b) { return a->interference > b->interference; });
  return victims;
}

}  // namespace

void eviction_planner::refill(time_point now) {
  if (refilled_ && now > *refilled_) {
    constexpr double milliseconds_per_minute = 60'000;
    const auto passed = static_cast<double>((now - *refilled_).count());
    tokens_ = std::min(options_.bucket_size,
                       tokens_ + passed * options_.evictions_per_minute / milliseconds_per_minute);
  }
  refilled_ = now;
}

bool eviction_planner::take_tokens(std::size_t count) {
  if (tokens_ < static_cast<double>(count)) return false;
  tokens_ -= static_cast<double>(count);
  return true;
}

bool eviction_planner::may_act_on(const eviction_worker& worker, const plan_run& run) const {
  const auto last = last_actions_.find(worker.id);
  if (last == last_actions_.end()) return true;
  if (run.now < last->second.at + options_.cool_down) return false;
  return !worker.has_urgent || worker.measured_at > last->second.wall;
}

void eviction_planner::act(plan_run& run, const eviction_worker& worker,
                           const eviction_candidate& task, worker_command_kind kind,
                           std::string_view reason) {
  last_actions_[worker.id] = last_action{.at = run.now, .wall = run.wall};
  run.actions.push_back(eviction_action{
      .worker = worker.id, .attempt = task.attempt, .kind = kind, .reason = reason});
}

std::vector<eviction_action> eviction_planner::plan(const std::vector<eviction_worker>& workers,
                                                    const std::vector<reclaim_demand>& demands,
                                                    time_point now, wall_time wall) {
  refill(now);
  plan_run run{.now = now, .wall = wall, .actions = {}, .room = {}, .stopping = {}, .stopped = {}};
  for (const auto& worker : workers) {
    if (!worker.leaving) run.room[worker.id] = worker.free;
    for (const auto& task : worker.running) {
      if (!task.stopping) continue;
      run.stopping[task.priority] += task.limit;
      if (!worker.leaving) run.room[worker.id] += task.limit;
    }
  }
  for (const auto& demand : demands) plan_reclaim(workers, demand, run);
  for (const auto& worker : workers) {
    if (worker.leaving) {
      plan_leaving(worker, run);
    } else {
      plan_slowdown(worker, run);
    }
  }
  return std::move(run.actions);
}

// The cool-down does not apply: the worker is to be emptied, and only the budget limits the rate.
void eviction_planner::plan_leaving(const eviction_worker& worker, plan_run& run) {
  for (const auto& task : worker.running) {
    if (!evictable(task)) continue;
    if (!take_tokens(1)) return;
    act(run, worker, task, worker_command_kind::checkpoint_and_stop, "leaving");
  }
}

void eviction_planner::plan_slowdown(const eviction_worker& worker, plan_run& run) {
  if (!may_act_on(worker, run)) return;
  if (worker.has_urgent && worker.urgent_slowdown >= options_.high_slowdown) {
    plan_relief(worker, run);
  } else if (!worker.has_urgent || worker.urgent_slowdown < options_.low_slowdown) {
    plan_unthrottle(worker, run);
  }
}

// Throttles the tasks with a large part in the interference one by one, and stops the worst one
// when that was not enough.
void eviction_planner::plan_relief(const eviction_worker& worker, plan_run& run) {
  const auto victims = victims_of(worker, urgency::deferrable);
  if (victims.empty()) return;
  constexpr double large_part = 0.5;  // relative to the task with the highest interference
  const double least = victims.front()->interference * large_part;
  for (const auto* task : victims) {
    if (task->throttled || task->interference < least) continue;
    act(run, worker, *task, worker_command_kind::throttle, "urgent_slowdown");
    return;
  }
  for (const auto* task : victims) {
    if (!task->throttled || run.now < task->throttled_since + options_.minimum_throttled) continue;
    if (!take_tokens(1)) return;
    act(run, worker, *task, worker_command_kind::checkpoint_and_stop, "urgent_slowdown");
    return;
  }
}

void eviction_planner::plan_unthrottle(const eviction_worker& worker, plan_run& run) {
  const eviction_candidate* mildest = nullptr;
  for (const auto& task : worker.running) {
    if (!task.throttled || task.stopping) continue;
    if (mildest == nullptr || task.interference < mildest->interference) mildest = &task;
  }
  if (mildest == nullptr) return;
  act(run, worker, *mildest, worker_command_kind::unthrottle, "slowdown_over");
}

// Stops as few tasks as possible on one worker to make room. Throttling would not free what a task
// has reserved. The cool-down does not apply, since no measurement is involved.
void eviction_planner::plan_reclaim(const std::vector<eviction_worker>& workers,
                                    const reclaim_demand& demand, plan_run& run) {
  const eviction_worker* best = nullptr;
  candidate_list best_victims;
  for (const auto& worker : workers) {
    if (worker.leaving) continue;
    auto free = run.room[worker.id];
    auto held = demand.held - run.stopping[demand.from];
    candidate_list victims;
    for (const auto* task : victims_of(worker, demand.from)) {
      if (demand.amount.fits_in(free)) break;
      if (run.stopped.contains(task->attempt)) continue;
      if (dominant_share(held, demand.capacity) <= demand.floor) break;
      held -= task->limit;
      free += task->limit;
      victims.push_back(task);
    }
    if (!demand.amount.fits_in(free)) continue;
    if (best != nullptr && victims.size() >= best_victims.size()) continue;
    best = &worker;
    best_victims = std::move(victims);
  }
  // Part of the victims would free too little, so that all are stopped or none.
  if (best == nullptr || !take_tokens(best_victims.size())) return;
  for (const auto* task : best_victims) {
    run.room[best->id] += task->limit;
    run.stopping[demand.from] += task->limit;
    run.stopped.insert(task->attempt);
    act(run, *best, *task, worker_command_kind::checkpoint_and_stop, "reclaim");
  }
  run.room[best->id] -= demand.amount;
}

}  // namespace coltsfoot
