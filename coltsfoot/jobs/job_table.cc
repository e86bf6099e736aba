#include "coltsfoot/jobs/job_table.h"

#include <algorithm>
#include <numeric>

namespace coltsfoot::jobs {

std::uint32_t job::tasks_per_occurrence() const {
  const auto& steps = accepted.spec.steps;
  return std::accumulate(steps.begin(), steps.end(), std::uint32_t{0},
                         [](std::uint32_t sum, const auto& step) { return sum + step.count; });
}

bool job::contains(const task_ref& task) const {
  const auto& spec = accepted.spec;
  return task.occurrence < spec.occurrences() && task.step < spec.steps.size() &&
         task.index < spec.steps[task.step].count;
}

task_index job::index_of(const task_ref& task) const {
  task_index index = task.occurrence * tasks_per_occurrence() + task.index;
  for (std::uint32_t step = 0; step < task.step; ++step) index += accepted.spec.steps[step].count;
  return index;
}

task_ref job::ref_of(task_index index) const {
  const auto per_occurrence = tasks_per_occurrence();
  task_ref ref{.job = accepted.id, .occurrence = index / per_occurrence};
  index %= per_occurrence;
  while (index >= accepted.spec.steps[ref.step].count) {
    index -= accepted.spec.steps[ref.step].count;
    ++ref.step;
  }
  ref.index = index;
  return ref;
}

bool job::step_ready(std::uint32_t occurrence, std::uint32_t step) const {
  if (accepted.partial) return true;
  const auto& steps = accepted.spec.steps;
  const auto& needed = steps[step].depends_on;
  return std::all_of(needed.begin(), needed.end(), [&](std::uint32_t earlier) {
    return open_tasks[occurrence * steps.size() + earlier] == 0;
  });
}

void job::recount() {
  const auto step_count = accepted.spec.steps.size();
  open_tasks.assign(accepted.spec.occurrences() * step_count, 0);
  for (task_index i = 0; i < tasks.size(); ++i) {
    if (tasks[i].phase == task_phase::done) continue;
    const auto ref = ref_of(i);
    ++open_in_step(ref.occurrence, ref.step);
  }
}

job_state state_of(const job& j) {
  switch (j.outcome) {
    case job_outcome::completed:
      return job_state::completed;
    case job_outcome::failed:
      return job_state::failed;
    case job_outcome::cancelled:
      return job_state::cancelled;
    case job_outcome::open:
      break;
  }
  if (j.cancel_requested) return job_state::cancelled;
  return j.started ? job_state::running : job_state::queued;
}

bool job_table::accept(accepted_job accepted) {
  const auto id = accepted.id;
  const auto [at, fresh] = jobs_.try_emplace(id);
  if (!fresh) return false;
  auto& added = at->second;
  added.accepted = std::move(accepted);
  added.tasks.resize(std::size_t{added.tasks_per_occurrence()} * added.accepted.spec.occurrences());
  added.recount();
  added.cancel_requested = early_cancels_.erase(id) > 0;
  return true;
}

void job_table::request_cancel(const job_id& id) {
  if (auto* known = find(id)) {
    known->cancel_requested = true;
  } else {
    early_cancels_.insert(id);
  }
}

void job_table::forget(const job_id& id) {
  jobs_.erase(id);
  early_cancels_.erase(id);
}

job* job_table::find(const job_id& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const job* job_table::find(const job_id& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::size_t job_table::pending(const queue_id& queue) const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
    const auto& j = entry.second;
    return j.accepted.queue == queue && !j.accepted.partial && !j.accepted.spec.scheduled() &&
           state_of(j) == job_state::queued;
  }));
}

}  // namespace coltsfoot::jobs
