// The part of the owner that gives long-running tasks to shards with room, and takes theirs.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// Tasks of gangs and tightly coupled ones have to be placed together.
bool may_change_shard(const step_spec& step) {
  return step.long_running && !step.gang && !step.tightly_coupled;
}

}  // namespace

duration job_owner::handover_patience_for(const job& j, task_index index) const {
  return j.handovers.contains(index) ? options_.repeated_handover_patience
                                     : options_.handover_patience;
}

// Tasks that have run come first: their users miss them.
std::vector<task_key> job_owner::tasks_without_room(time_point now) {
  std::vector<task_key> keys;
  std::vector<task_key> never_run;
  const auto former = std::exchange(roomless_since_, {});
  for (const auto& [id, since] : waiting_) {
    const auto* j = table_.find(id);
    // A job of which no task has been started is shown as waiting; that has to stay true.
    if (j == nullptr || !j->started) continue;
    for (task_index i = 0; i < j->tasks.size(); ++i) {
      if (j->tasks[i].phase != task_phase::waiting) continue;
      const auto ref = j->ref_of(i);
      if (!may_change_shard(j->step_of(ref)) || !j->step_ready(ref.occurrence, ref.step)) continue;
      if (!occurrence_due(*j, ref.occurrence)) continue;
      const task_key key{.job = id, .index = i};
      const auto known = former.find(key);
      const auto waits_since = known == former.end() ? now : known->second;
      roomless_since_.emplace(key, waits_since);
      if (now - waits_since < handover_patience_for(*j, i)) continue;
      (j->tasks[i].run > 0 ? keys : never_run).push_back(key);
    }
  }
  keys.insert(keys.end(), never_run.begin(), never_run.end());
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
  next_.handovers.insert(key);
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
  if (j == nullptr) j = &add_partial_copy(source.accepted);
  if (j->ended() || j->cancel_requested || index >= j->tasks.size()) return;
  if (j->tasks[index].phase != task_phase::elsewhere) return;
  auto& known = j->handovers[index];
  if (known.number >= handover.number) return;
  known = handover;
  auto& task = j->tasks[index];
  task.phase = task_phase::waiting;
  task.run = std::max(task.run, handover.run);
  task.checkpoint = handover.checkpoint;
  next_.handovers.insert({.job = id, .index = index});
  mark_changed(*j);
  refresh_waiting(*j, now);
  log(severity::info,
      fmt::format("event=task_taken_over {} number={}",
                  log_text({.task = j->ref_of(index), .run = task.run}), handover.number));
}

// A copy of a job of which no task belongs to this shard yet.
job& job_owner::add_partial_copy(const accepted_job& accepted) {
  auto copied = accepted;
  copied.partial = true;
  table_.accept(std::move(copied));
  auto& copy = *table_.find(accepted.id);
  copy.started = true;
  for (auto& task : copy.tasks) task.phase = task_phase::elsewhere;
  new_copies_.insert(accepted.id);
  mark_changed(copy);
  return copy;
}

bool job_owner::is_handover_recorded(const task_key& key) const {
  return !next_.handovers.contains(key) && !in_flight_.handovers.contains(key);
}

void job_owner::withdraw(const job_id& id, time_point now) {
  table_.request_cancel(id);
  on_cancelled(id, now);
}

}  // namespace coltsfoot::jobs
