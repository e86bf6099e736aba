// The part of the virtual fleet that checks the invariants.
#include <algorithm>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

constexpr duration absence_interval{250};

}  // namespace

void virtual_fleet::check_start(const jobs::run_ref& run, bool late) {
  ++starts_;
  const auto cancelled = cancelled_.find(run.task.job.value);
  constexpr duration cancel_bound{3'000};
  if (!late && cancelled != cancelled_.end() && now_ > cancelled->second + cancel_bound) {
    violations_.insert("UNASKED start after cancellation of " + run.task.job.value);
  }
  if (done_.contains(run.task)) {
    violations_.insert("TWICE start after done of " + run.task.job.value);
  }
}

void virtual_fleet::check_runs() {
  std::map<jobs::task_ref, int> places;
  for (auto& worker : workers_) {
    worker.runner.advance(now_);
    for (const auto& [task, run] : worker.runner.runs()) {
      if (++places[task] == 2) violations_.insert("TWICE at once " + task.job.value);
    }
  }
}

bool virtual_fleet::is_expected(const std::string& job) const {
  return accepted_.contains(job) &&
         std::none_of(cancel_calls_.begin(), cancel_calls_.end(),
                      [&](const auto& call) { return call.second == job; });
}

void virtual_fleet::check_absences() {
  std::set<jobs::task_ref> running;
  std::vector<resources> free;
  for (auto& worker : workers_) {
    worker.runner.advance(now_);
    for (const auto& [task, run] : worker.runner.runs()) running.insert(task);
    if (worker.reachable && !worker.draining && now_ >= worker.silent_until)
      free.push_back(worker.runner.free());
  }
  std::vector<watched_task> tasks;
  for (const auto& [id, spec] : specs_) {
    if (!is_expected(id)) continue;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      if (!spec.steps[step].long_running) continue;
      for (std::uint32_t i = 0; i < spec.steps[step].count; ++i) {
        const jobs::task_ref task{.job = jobs::job_id{id}, .step = step, .index = i};
        tasks.push_back(
            {.task = task, .demand = spec.steps[step].demand, .running = running.contains(task)});
      }
    }
  }
  absences_.observe(free, tasks, now_);
  check_cancellations();
  after(absence_interval, [this] { check_absences(); });
}

void virtual_fleet::check_cancellations() {
  constexpr duration stop_bound{3'200};
  constexpr duration calm_before{3'000};
  for (const auto& worker : workers_) {
    for (const auto& [task, run] : worker.runner.runs()) {
      const auto cancelled = cancelled_.find(task.job.value);
      if (cancelled == cancelled_.end()) continue;
      const auto calm_since = absences_.last_trouble() + calm_before;
      // A start may be executed seconds after it was sent.
      const auto since = std::max({cancelled->second, calm_since, run.began});
      if (now_ > since + stop_bound) violations_.insert("UNASKED runs on " + task.job.value);
    }
  }
}

}  // namespace coltsfoot::testing
