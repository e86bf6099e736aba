// The part of the owner that keeps a task with its worker while a start order there, which got no
// answer, may still be carried out by a later life of the worker.
#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// Whether one of `runs` is a run of `task` up to `newest`.
bool has_run_up_to(const std::set<run_ref>& runs, const task_ref& task, run_number newest) {
  const auto first = runs.lower_bound({.task = task, .run = 0});
  return first != runs.end() && first->task == task && first->run <= newest;
}

}  // namespace

// To be called before a run is removed from its worker. A task of a cancelled job gets no other
// run.
void job_owner::note_late_start(const worker_link& link, const task_key& key, const placed_run& run,
                                time_point now) {
  const auto until = run.starts.late_until(link.outlived);
  const auto* j = table_.find(key.job);
  if (now >= until || j == nullptr || j->ended() || j->cancel_requested) return;
  auto& late = late_starts_[key];
  late.worker = link.life.worker;
  late.run = run.run;
  late.until = std::max(late.until, until);
  ++stats_.late_starts;
  log(severity::info,
      fmt::format("event=start_may_be_late {} worker={} incarnation={} for_ms={}",
                  log_text({.task = j->ref_of(key.index), .run = run.run}),
                  log_value(link.life.worker.value), link.life.incarnation, (until - now).count()));
}

// A successor would take the start for one that can't be late, or wait long for one that can't come
// any more.
void job_owner::record_late_start(job& j, const worker_link& link, const task_key& key,
                                  const placed_run& run, time_point now) {
  if (j.ended()) return;
  auto& recorded = j.tasks[key.index].late_start;
  const bool late = run.starts.is_to_be_recorded(link.outlived, now) || late_starts_.contains(key);
  if (recorded == late) return;
  recorded = late;
  mark_changed(j);
}

// Whether the next run of a task without a run has to be where the former one was.
bool job_owner::keep_with_worker(job& j, task_index index) {
  auto& task = j.tasks[index];
  const auto found = late_starts_.find({.job = j.accepted.id, .index = index});
  const bool keep = found != late_starts_.end() && found->second.worker == task.life.worker &&
                    !j.cancel_requested;
  if (!keep) return false;
  task.late_start = true;
  found->second.waits = true;
  ++stats_.kept_tasks;
  return true;
}

void job_owner::end_late_start(const task_key& key, std::string_view reason, time_point now) {
  const auto found = late_starts_.find(key);
  if (found == late_starts_.end()) return;
  const auto late = found->second;
  late_starts_.erase(found);
  auto* j = table_.find(key.job);
  if (j == nullptr || j->ended()) return;
  auto& task = j->tasks[key.index];
  log(severity::info, fmt::format("event=late_start_over {} worker={} reason={} task_waits={}",
                                  log_text({.task = j->ref_of(key.index), .run = late.run}),
                                  log_value(late.worker.value), reason, late.waits));
  const bool waits = late.waits && task.phase == task_phase::assigned;
  if (waits) requeue(*j, key.index, {}, now);
}

// Takes a report of the worker: once an order can't come any more, one that shows no run of it
// tells that the task has none.
void job_owner::settle_late_starts(const worker_link& link, const std::set<run_ref>& listed,
                                   time_point sent_at, time_point now) {
  std::vector<task_key> over;
  for (auto& [key, late] : late_starts_) {
    if (late.worker != link.life.worker) continue;
    const auto* j = table_.find(key.job);
    const bool open = j != nullptr && !j->ended();
    late.runs = open && has_run_up_to(listed, j->ref_of(key.index), late.run);
    if (!open || (sent_at >= late.until && !late.runs)) over.push_back(key);
  }
  for (const auto& key : over) end_late_start(key, "not_carried_out", now);
}

// What a silent worker may have started in a life that nobody has heard of is over.
void job_owner::give_up_late_starts(const worker_link& link, time_point now) {
  std::vector<task_key> over;
  for (const auto& [key, late] : late_starts_) {
    if (late.worker != link.life.worker) continue;
    if (now >= unheard_life_over(link, late.until)) over.push_back(key);
  }
  for (const auto& key : over) end_late_start(key, "lease_lapsed", now);
}

void job_owner::drop_late_starts_of(const job_id& id, time_point now) {
  std::vector<task_key> keys;
  for (auto at = late_starts_.lower_bound({.job = id});
       at != late_starts_.end() && at->first.job == id; ++at) {
    keys.push_back(at->first);
  }
  for (const auto& key : keys) end_late_start(key, "job_over", now);
}

bool job_owner::has_late_starts(const worker_id& worker) const {
  return std::any_of(late_starts_.begin(), late_starts_.end(),
                     [&](const auto& entry) { return entry.second.worker == worker; });
}

// Whether a start of the run can be carried out after the newest sign of the known life.
bool job_owner::may_run_in_unheard_life(const worker_link& link, const placed_run& run) {
  return run.starts.late_until(link.outlived) > link.outlived;
}

// From when on nothing runs that a late start, which comes until `late_until`, has begun in a life
// that nobody has heard of. Looks for the known life may be late too, and renew its lease.
time_point job_owner::unheard_life_over(const worker_link& link, time_point late_until) const {
  const auto longest = lease_clock::longest(options_.longest_lease);
  return std::max(link.granted_at + late_order_limit, late_until) + longest;
}

// Places tasks that are kept with a worker on that worker, once no order for a former life can be
// carried out by its present one.
void job_owner::place_kept(time_point now) {
  for (auto& [key, late] : late_starts_) {
    if (starts_left_ == 0) return;
    auto* j = table_.find(key.job);
    const auto link = links_.find(late.worker);
    if (!late.waits || late.runs || j == nullptr || j->ended() || link == links_.end()) continue;
    const auto ref = j->ref_of(key.index);
    const auto& step = j->step_of(ref);
    if (step.gang || (late.failed && !step.long_running)) continue;
    if (!link->second.restarts.is_fenced()) continue;
    auto request = request_for(*j, ref.occurrence, ref.step);
    request.restart = true;
    const auto own = request.siblings.find(late.worker);
    if (own != request.siblings.end()) --own->second;
    if (obstacle_to(request, link->second, model_, now)) continue;
    late.waits = false;
    assign(*j, key.index, link->second, j->tasks[key.index].run + 1, now);
    link->second.backoff.on_start(now);
    --starts_left_;
  }
}

}  // namespace coltsfoot::jobs
