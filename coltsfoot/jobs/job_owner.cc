#include "coltsfoot/jobs/job_owner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot::jobs {
namespace {

// Number of the job's tasks that a worker runs or has been told to run.
auto assigned_tasks(const job& j) {
  return std::count_if(j.tasks.begin(), j.tasks.end(),
                       [](const auto& task) { return task.phase == task_phase::assigned; });
}

}  // namespace

job_owner_stats& job_owner_stats::operator+=(const job_owner_stats& other) {
  starts += other.starts;
  ends_done += other.ends_done;
  ends_failed += other.ends_failed;
  ends_other += other.ends_other;
  runs_lost += other.runs_lost;
  rejected += other.rejected;
  unanswered += other.unanswered;
  paces += other.paces;
  transfers += other.transfers;
  handovers += other.handovers;
  starts_withdrawn += other.starts_withdrawn;
  slow_moves += other.slow_moves;
  slow_move_gain += other.slow_move_gain;
  evacuation_moves += other.evacuation_moves;
  late_starts += other.late_starts;
  kept_tasks += other.kept_tasks;
  completed += other.completed;
  failed += other.failed;
  until_recorded.merge(other.until_recorded);
  until_answered.merge(other.until_answered);
  until_started.merge(other.until_started);
  job_age.merge(other.job_age);
  return *this;
}

job_owner::job_owner(job_owner_options options, std::uint64_t fence, job_table& table,
                     time_point now, wall_time wall, log_sink log, grant_authority authority)
    : options_(options),
      fence_(fence),
      table_(table),
      log_(std::move(log)),
      wall_(wall),
      grants_(std::move(authority)),
      slow_runs_(options.relocation),
      window_(options.window),
      answers_(options.answers),
      start_retries_(options.start_retries) {
  adopt(now);
}

void job_owner::log(severity level, const std::string& text) const {
  if (log_) log_(level, text);
}

// Takes over the state that the journal describes: runs of a former owner may run, or start late.
void job_owner::adopt(time_point now) {
  std::size_t runs = 0;
  std::size_t open = 0;
  for (auto& [id, j] : table_) {
    if (j.ended()) continue;
    ++open;
    for (task_index i = 0; i < j.tasks.size(); ++i) {
      const auto& task = j.tasks[i];
      if (task.phase != task_phase::assigned) continue;
      ++runs;
      auto& link =
          links_.try_emplace(task.life.worker, task.life.worker, task.life.incarnation, now)
              .first->second;
      if (link.life != task.life) {
        // The journal knows a later life of the worker: the former one has ended.
        link.life.incarnation = std::max(link.life.incarnation, task.life.incarnation);
      }
      auto placed = run_of_step(j.step_of(j.ref_of(i)), task, now);
      placed.phase = start_phase::sent;
      placed.starts.on_adopted(now, task.late_start);
      placed.next_try = now + answer_timeout();
      // The former owner may have slowed it.
      placed.pace_unsure = placed.fill_millicores > 0;
      link.add({.job = id, .index = i}, std::move(placed));
    }
    if (j.cancel_requested) cancelling_.insert(id);
    if (j.accepted.spec.scheduled()) scheduled_.insert(id);
    refresh_waiting(j, now);
  }
  log(severity::info,
      fmt::format("event=jobs_taken_over fence={} open_jobs={} runs={} cancelling={}", fence_, open,
                  runs, cancelling_.size()));
}

void job_owner::mark_changed(const job& j) {
  dirty_.insert(j.accepted.id);
  next_.jobs.insert(j.accepted.id);
}

// A worker has started a task of the job. A start that was only placed may never be carried out.
void job_owner::mark_started(job& j) {
  if (j.started || j.ended()) return;
  j.started = true;
  stats_.until_started.record(wall_ - j.accepted.accepted_at);
  mark_changed(j);
}

bool job_owner::occurrence_due(const job& j, std::uint32_t occurrence) const {
  return jobs::occurrence_due(j.accepted.spec, occurrence, wall_);
}

bool job_owner::has_waiting_task(const job& j) const {
  const auto& steps = j.accepted.spec.steps;
  task_index first = 0;
  for (std::uint32_t occurrence = 0; occurrence < j.accepted.spec.occurrences(); ++occurrence) {
    if (!occurrence_due(j, occurrence)) return false;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const auto last = first + steps[step].count;
      if (j.step_ready(occurrence, step)) {
        for (auto i = first; i < last; ++i) {
          if (j.tasks[i].phase == task_phase::waiting) return true;
        }
      }
      first = last;
    }
  }
  return false;
}

void job_owner::refresh_waiting(const job& j, time_point now) {
  if (!j.ended() && !j.cancel_requested && has_waiting_task(j)) {
    waiting_.try_emplace(j.accepted.id, now);
  } else {
    waiting_.erase(j.accepted.id);
    runless_since_.erase(j.accepted.id);
  }
}

void job_owner::on_accepted(const job_id& id, time_point now) {
  auto* j = table_.find(id);
  if (j == nullptr || j->ended()) return;
  if (j->cancel_requested) return on_cancelled(id, now);
  if (j->accepted.spec.scheduled()) scheduled_.insert(id);
  refresh_waiting(*j, now);
}

void job_owner::on_cancelled(const job_id& id, time_point now) {
  auto* j = table_.find(id);
  if (j == nullptr || j->ended()) return;
  if (cancelling_.insert(id).second) {
    log(severity::info,
        fmt::format("event=cancellation_taken job={} runs={} age_ms={}", log_value(id.value),
                    assigned_tasks(*j), (wall_ - j->accepted.accepted_at).count()));
  }
  refresh_waiting(*j, now);
  stop_runs_of(id, now);
  settle_cancelled(*j, now);
}

void job_owner::stop_runs_of(const job_id& id, time_point now) {
  for (auto& [worker, link] : links_) {
    std::vector<task_key> keys;
    for (const auto& [key, run] : link.runs) {
      if (key.job == id) keys.push_back(key);
    }
    for (const auto& key : keys) stop_run(link, key, now);
  }
  drop_late_starts_of(id, now);
}

void job_owner::settle_cancelled(job& j, time_point now) {
  if (j.ended() || !j.cancel_requested) return;
  if (assigned_tasks(j) == 0) finish(j, job_outcome::cancelled, now);
}

void job_owner::finish(job& j, job_outcome outcome, time_point now) {
  const auto id = j.accepted.id;
  j.outcome = outcome;
  j.ended_at = wall_;
  j.tasks = {};
  j.open_tasks = {};
  cancelling_.erase(id);
  scheduled_.erase(id);
  mark_changed(j);
  refresh_waiting(j, now);
  stop_runs_of(id, now);
  if (outcome == job_outcome::completed) {
    ++stats_.completed;
    stats_.job_age.record(wall_ - j.accepted.accepted_at);
  }
  if (outcome == job_outcome::failed) ++stats_.failed;
  log(severity::info,
      fmt::format("event=job_ended job={} state={} age_ms={} queue={} due_in_ms={}",
                  log_value(id.value), name_of(state_of(j)),
                  (wall_ - j.accepted.accepted_at).count(), log_value(j.accepted.queue.value),
                  (due_time(j) - wall_).count()));
}

void job_owner::on_task_done(job& j, task_index index, time_point now) {
  auto& task = j.tasks[index];
  if (task.phase == task_phase::done) return;
  const auto ref = j.ref_of(index);
  task.phase = task_phase::done;
  task.life = {};
  task.late_start = false;
  task.checkpoint.clear();
  --j.open_in_step(ref.occurrence, ref.step);
  mark_changed(j);
  const bool all_done = std::all_of(j.open_tasks.begin(), j.open_tasks.end(),
                                    [](std::uint32_t open) { return open == 0; });
  // A partial copy is ended by the job's own shard, which has to read of the tasks first.
  if (all_done && !j.accepted.partial) return finish(j, job_outcome::completed, now);
  refresh_waiting(j, now);
}

void job_owner::on_task_failed(job& j, task_index index, const std::string& checkpoint,
                               time_point now) {
  auto& task = j.tasks[index];
  ++task.failures;
  const auto ref = j.ref_of(index);
  if (!j.step_of(ref).long_running && task.failures >= j.accepted.max_attempts) {
    task.phase = task_phase::failed;
    log(severity::info, fmt::format("event=attempts_used_up job={} task={}.{}.{} failures={}",
                                    log_value(j.accepted.id.value), ref.occurrence, ref.step,
                                    ref.index, task.failures));
    return finish(j, job_outcome::failed, now);
  }
  requeue(j, index, checkpoint, now);
}

void job_owner::requeue(job& j, task_index index, const std::string& checkpoint, time_point now) {
  auto& task = j.tasks[index];
  if (!checkpoint.empty()) task.checkpoint = checkpoint;
  mark_changed(j);
  if (keep_with_worker(j, index)) return refresh_waiting(j, now);
  task.phase = task_phase::waiting;
  task.life = {};
  task.late_start = false;
  refresh_waiting(j, now);
}

void job_owner::drop_expired(time_point now) {
  drop_early_cancels(now);
  std::vector<job_id> expired;
  for (const auto& [id, j] : table_) {
    if (j.ended() && j.ended_at + options_.keep_ended < wall_) expired.push_back(id);
  }
  for (const auto& id : expired) {
    for (auto& record : removal_records(*table_.find(id))) removals_.push_back(std::move(record));
    dirty_.erase(id);
    table_.forget(id);
  }
}

void job_owner::drop_early_cancels(time_point now) {
  const auto former = std::exchange(early_cancels_seen_, {});
  std::vector<job_id> expired;
  for (const auto& id : table_.early_cancels()) {
    const auto known = former.find(id);
    const auto seen = known == former.end() ? now : known->second;
    if (now - seen < options_.keep_early_cancels) {
      early_cancels_seen_.emplace(id, seen);
    } else {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    removals_.push_back(cancellation_removal(id));
    table_.drop_early_cancel(id);
  }
}

// --- Journal ---

std::vector<keyed_record> job_owner::take_batch() {
  std::vector<keyed_record> records;
  records.reserve(dirty_.size() + removals_.size());
  const auto new_copies = std::exchange(new_copies_, {});
  for (const auto& id : dirty_) {
    const auto* j = table_.find(id);
    if (j == nullptr) continue;
    if (new_copies.contains(id)) records.push_back(acceptance_record(j->accepted));
    records.push_back(progress_record(*j, options_.record_bytes));
    // After the progress, which the receiver needs to know.
    for (auto at = next_.handovers.lower_bound({.job = id});
         at != next_.handovers.end() && at->job == id; ++at) {
      records.push_back(handover_record(id, at->index, j->handovers.at(at->index)));
    }
  }
  std::move(removals_.begin(), removals_.end(), std::back_inserter(records));
  for (const auto& transfer : next_.transfers) records.push_back(transfer_record(transfer));
  removals_.clear();
  dirty_.clear();
  in_flight_ = std::exchange(next_, {});
  return records;
}

void job_owner::on_batch_recorded(time_point now) {
  const auto effects = std::exchange(in_flight_, {});
  if (!effects.starts.empty()) record_time_ = now - effects.decided_at;
  for (const auto& start : effects.starts) {
    const auto link = links_.find(start.worker);
    if (link == links_.end()) continue;
    const auto run = link->second.runs.find(start.key);
    if (run == link->second.runs.end() || run->second.phase != start_phase::recording) continue;
    if (run->second.run != start.run) continue;  // a later run waits for its own record
    run->second.phase = start_phase::to_send;
    stats_.until_recorded.record(now - run->second.began);
    ready_starts_.push_back(start);
  }
  send_ready_starts(now);
  for (const auto& [life, number] : effects.ends) {
    auto* link = link_of(life);
    if (link == nullptr) continue;
    link->recorded_end = std::max(link->recorded_end, number);
    link->next_look = now;
    send_due_orders(*link, now);
  }
  for (const auto& transfer : effects.transfers) {
    ++stats_.transfers;
    log(severity::info,
        fmt::format("event=worker_transferred worker={} to_shard={} number={}",
                    log_value(transfer.worker.value), transfer.to, transfer.number));
    links_.erase(transfer.worker);
  }
}

// Workers that the registry doesn't list any more, and lives that nothing was heard of, are none. A
// successor counts the leases of witnesses as ordinary ones.
std::optional<keyed_record> job_owner::take_witness_record(time_point now) {
  if (now < next_witnesses_ || !grants_.may_propose()) return std::nullopt;
  witness_set lives;
  for (const auto& [id, link] : links_) {
    const bool known = link.listed && link.last_contact;
    if (known && !may_have_long_lease(link, now)) lives.insert(link.life);
  }
  // Without witnesses, an outage of the store would stop all leases.
  if (lives.empty() || lives == grants_.witnesses()) return std::nullopt;
  next_witnesses_ = now + options_.witness_gap;
  auto record = witness_record(lives);
  grants_.propose(std::move(lives));
  return record;
}

bool job_owner::is_recorded(const job_id& id) const {
  return !next_.jobs.contains(id) && !in_flight_.jobs.contains(id);
}

job_state job_owner::visible_state(const job& j) const {
  if (j.ended() && !is_recorded(j.accepted.id) && !j.cancel_requested) return job_state::running;
  return state_of(j);
}

}  // namespace coltsfoot::jobs
