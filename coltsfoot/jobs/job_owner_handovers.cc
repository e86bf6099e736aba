// The part of the owner that gives long-running tasks to shards with room, and takes theirs.
#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// Tasks of gangs and tightly coupled ones have to be placed together.
bool may_change_shard(const step_spec& step) {
  return step.long_running && !step.gang && !step.tightly_coupled;
}

}  // namespace

// Tasks that have run come first: their users miss them.
std::vector<task_key> job_owner::tasks_without_room(time_point now) const {
  std::vector<task_key> keys;
  std::vector<task_key> never_run;
  for (const auto& [id, since] : waiting_) {
    const auto* j = table_.find(id);
    if (j == nullptr || now - since < options_.handover_patience) continue;
    for (task_index i = 0; i < j->tasks.size(); ++i) {
      if (j->tasks[i].phase != task_phase::waiting) continue;
      const auto ref = j->ref_of(i);
      if (!may_change_shard(j->step_of(ref)) || !j->step_ready(ref.occurrence, ref.step)) continue;
      if (!occurrence_due(*j, ref.occurrence)) continue;
      auto& list = j->tasks[i].run > 0 ? keys : never_run;
      list.push_back({.job = id, .index = i});
    }
  }
  keys.insert(keys.end(), never_run.begin(), never_run.end());
  keys.resize(std::min(keys.size(), options_.most_handovers_at_once));
  return keys;
}

void job_owner::hand_over(const task_key& key, shard_number to, time_point now) {
  auto* j = table_.find(key.job);
  if (j == nullptr || key.index >= j->tasks.size()) return;
  auto& task = j->tasks[key.index];
  if (task.phase != task_phase::waiting) return;
  auto& handover = j->handovers[key.index];
  handover = {.to = to,
              .number = handover.number + 1,
              .run = task.run,
              .checkpoint = std::exchange(task.checkpoint, {})};
  task.phase = task_phase::elsewhere;
  // The receiver starts it at once.
  j->started = true;
  handed_over_.insert(key);
  mark_changed(*j);
  refresh_waiting(*j, now);
  ++stats_.handovers;
  log(severity::info,
      fmt::format("event=task_handed_over {} to_shard={} number={}",
                  log_text({.task = j->ref_of(key.index), .run = task.run}), to, handover.number));
}

void job_owner::take_over(const job& source, task_index index, const task_handover& handover,
                          time_point now) {
  const auto& id = source.accepted.id;
  auto* j = table_.find(id);
  if (j == nullptr) j = &add_partial_copy(source);
  if (j->ended() || j->cancel_requested || index >= j->tasks.size()) return;
  auto& known = j->handovers[index];
  if (known.number >= handover.number) return;
  known = handover;
  auto& task = j->tasks[index];
  task.phase = task_phase::waiting;
  task.run = std::max(task.run, handover.run);
  task.checkpoint = handover.checkpoint;
  handed_over_.insert({.job = id, .index = index});
  mark_changed(*j);
  refresh_waiting(*j, now);
  log(severity::info,
      fmt::format("event=task_taken_over {} number={}",
                  log_text({.task = j->ref_of(index), .run = task.run}), handover.number));
}

// A copy of a job of which no task belongs to this shard yet.
job& job_owner::add_partial_copy(const job& source) {
  auto accepted = source.accepted;
  const auto id = accepted.id;
  accepted.partial = true;
  table_.accept(std::move(accepted));
  auto& copy = *table_.find(id);
  copy.started = true;
  for (task_index i = 0; i < copy.tasks.size(); ++i) {
    const bool done = i < source.tasks.size() && source.tasks[i].phase == task_phase::done;
    copy.tasks[i].phase = done ? task_phase::done : task_phase::elsewhere;
  }
  copy.recount();
  new_copies_.insert(id);
  return copy;
}

void job_owner::withdraw(const job_id& id, time_point now) {
  table_.request_cancel(id);
  on_cancelled(id, now);
}

}  // namespace coltsfoot::jobs
