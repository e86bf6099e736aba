// The part of the owner that gives tasks to shards that can run them, and takes theirs:
// long-running ones to shards with room, and tasks of all kinds where this shard has no worker that
// could ever run them.
#include <fmt/format.h>

#include <algorithm>
#include <ranges>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"
#include "coltsfoot/placing/worker_fit.h"

namespace coltsfoot::jobs {
namespace {

// Tasks of gangs and tightly coupled ones have to be placed together.
bool may_change_shard(const step_spec& step) {
  return step.long_running && !step.gang && !step.tightly_coupled;
}

std::vector<task_index> waiting_tasks(const job& j, std::uint32_t occurrence, std::uint32_t step) {
  std::vector<task_index> tasks;
  const auto first = j.index_of({.occurrence = occurrence, .step = step});
  for (auto i = first; i < first + j.accepted.spec.steps[step].count; ++i) {
    if (j.tasks[i].phase == task_phase::waiting) tasks.push_back(i);
  }
  return tasks;
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
    // A job of which no task has been started is shown as waiting; that has to stay true. The job's
    // own shard shows the state of a partial copy.
    if (j == nullptr || (!j->started && !j->accepted.partial)) continue;
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

bool job_owner::can_ever_run(const step_spec& step, const service_id& service) const {
  const auto listed = [](const worker_link& link) { return link.listed && !link.evacuated; };
  const auto listing = [](const worker_link& link) -> const auto& { return *link.listing; };
  return have_places(
      std::views::values(links_) | std::views::filter(listed) | std::views::transform(listing),
      step, service);
}

std::vector<job_owner::waiting_step> job_owner::steps_without_worker(time_point now) {
  std::vector<waiting_step> found;
  const auto former = std::exchange(workerless_since_, {});
  for (const auto& [id, since] : waiting_) {
    const auto* j = table_.find(id);
    if (j == nullptr || now - since < options_.workerless_patience) continue;
    const auto& spec = j->accepted.spec;
    for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
      if (!occurrence_due(*j, occurrence)) break;
      for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        if (!j->step_ready(occurrence, step)) continue;
        if (can_ever_run(spec.steps[step], j->accepted.service)) continue;
        auto tasks = waiting_tasks(*j, occurrence, step);
        // A gang goes as a whole.
        if (tasks.empty() || tasks.size() < places_needed(spec.steps[step])) continue;
        const task_key key{.job = id, .index = tasks.front()};
        const auto known = former.find(key);
        const auto waits_since = known == former.end() ? now : known->second;
        const bool due = now - waits_since >= options_.workerless_patience;
        // Where no shard has such workers, it is due again later.
        workerless_since_.emplace(key, due ? now : waits_since);
        if (!due) continue;
        found.push_back({.job = id, .tasks = std::move(tasks)});
      }
    }
  }
  return found;
}

// An end that is recorded counts, wherever the task has gone meanwhile.
void job_owner::take_progress(const job& copy, time_point now) {
  auto* j = table_.find(copy.accepted.id);
  if (j == nullptr || j->accepted.partial || j->ended() || j->cancel_requested) return;
  if (copy.started) mark_started(*j);
  if (copy.outcome == job_outcome::failed) return finish(*j, job_outcome::failed, now);
  if (copy.ended()) return;
  for (task_index i = 0; i < copy.tasks.size() && !j->ended(); ++i) {
    if (copy.tasks[i].phase != task_phase::done) continue;
    if (j->tasks[i].phase == task_phase::elsewhere) on_task_done(*j, i, now);
  }
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
              .checkpoint = std::exchange(task.checkpoint, {}),
              .failures = task.failures};
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
  if (j == nullptr) j = &add_partial_copy(source);
  if (j->ended() || j->cancel_requested || index >= j->tasks.size()) return;
  if (j->tasks[index].phase != task_phase::elsewhere) return;
  auto& known = j->handovers[index];
  if (known.number >= handover.number) return;
  known = handover;
  auto& task = j->tasks[index];
  task.phase = task_phase::waiting;
  task.run = std::max(task.run, handover.run);
  task.checkpoint = handover.checkpoint;
  task.failures = std::max(task.failures, handover.failures);
  next_.handovers.insert({.job = id, .index = index});
  mark_changed(*j);
  refresh_waiting(*j, now);
  log(severity::info,
      fmt::format("event=task_taken_over {} number={}",
                  log_text({.task = j->ref_of(index), .run = task.run}), handover.number));
}

// A copy of a job of which no task belongs to this shard yet.
job& job_owner::add_partial_copy(const job& source) {
  const auto& id = source.accepted.id;
  auto copied = source.accepted;
  copied.partial = true;
  table_.accept(std::move(copied));
  auto& copy = *table_.find(id);
  copy.started = source.started;
  for (auto& task : copy.tasks) task.phase = task_phase::elsewhere;
  new_copies_.insert(id);
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
