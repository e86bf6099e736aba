#include "coltsfoot/jobs/job_owner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot::jobs {
namespace {

// A filling task goes on at least this slowly, in percent of its speed.
constexpr std::uint32_t least_pace = 5;

// Jobs and workers judged in a placing pass for each millisecond until the next pass. It bounds the
// share of the processor that placing takes while no room is left for many waiting jobs.
constexpr std::size_t judged_per_ms = 200;

placed_run run_of_step(const step_spec& step, const task_progress& task, time_point now) {
  return {.run = task.run,
          .progressed_at = now,
          .checkpoint = task.checkpoint,
          .demand = {.millicores = step.fill ? 0 : step.demand.millicores,
                     .memory_mb = step.demand.memory_mb,
                     .accelerators = step.demand.accelerators},
          .fill_millicores = step.fill ? step.demand.millicores : 0,
          .serves = step.serves(),
          .image = step.image,
          .response_target = step.response_target,
          .began = now};
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
  completed += other.completed;
  failed += other.failed;
  until_recorded.merge(other.until_recorded);
  until_answered.merge(other.until_answered);
  until_started.merge(other.until_started);
  job_age.merge(other.job_age);
  return *this;
}

job_owner::job_owner(job_owner_options options, std::uint64_t fence, job_table& table,
                     time_point now, wall_time wall, log_sink log)
    : options_(options),
      fence_(fence),
      table_(table),
      log_(std::move(log)),
      wall_(wall),
      inherited_until_(now + lease_clock::longest(options.lease)) {
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
      auto& link = links_
                       .try_emplace(task.life.worker, task.life.worker, task.life.incarnation,
                                    inherited_until_)
                       .first->second;
      if (link.life != task.life) {
        // The journal knows a later life of the worker: the former one has ended.
        link.life.incarnation = std::max(link.life.incarnation, task.life.incarnation);
      }
      auto placed = run_of_step(j.step_of(j.ref_of(i)), task, now);
      placed.phase = start_phase::sent;
      placed.doubtful = true;
      placed.next_try = now + options_.order_timeout;
      // The former owner may have slowed it.
      placed.pace_unsure = placed.fill_millicores > 0;
      link.add({.job = id, .index = i}, std::move(placed));
    }
    if (j.cancel_requested) cancelling_.insert(id);
    if (j.accepted.spec.scheduled()) scheduled_.insert(id);
    refresh_waiting(j);
  }
  log(severity::info,
      fmt::format("event=jobs_taken_over fence={} open_jobs={} runs={}", fence_, open, runs));
}

void job_owner::mark_changed(const job& j) {
  dirty_.insert(j.accepted.id);
  next_.jobs.insert(j.accepted.id);
}

bool job_owner::occurrence_due(const job& j, std::uint32_t occurrence) const {
  const auto& spec = j.accepted.spec;
  return !spec.scheduled() || spec.first_start + spec.interval * occurrence <= wall_;
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

void job_owner::refresh_waiting(const job& j) {
  if (!j.ended() && !j.cancel_requested && has_waiting_task(j)) {
    waiting_.insert(j.accepted.id);
  } else {
    waiting_.erase(j.accepted.id);
    runless_since_.erase(j.accepted.id);
  }
}

void job_owner::on_accepted(const job_id& id) {
  auto* j = table_.find(id);
  if (j == nullptr || j->ended()) return;
  if (j->accepted.spec.scheduled()) scheduled_.insert(id);
  refresh_waiting(*j);
}

void job_owner::on_cancelled(const job_id& id, time_point now) {
  auto* j = table_.find(id);
  if (j == nullptr || j->ended()) return;
  cancelling_.insert(id);
  refresh_waiting(*j);
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
}

void job_owner::settle_cancelled(job& j, time_point now) {
  if (j.ended() || !j.cancel_requested) return;
  const bool running = std::any_of(j.tasks.begin(), j.tasks.end(), [](const auto& task) {
    return task.phase == task_phase::assigned;
  });
  if (!running) finish(j, job_outcome::cancelled, now);
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
  refresh_waiting(j);
  stop_runs_of(id, now);
  if (outcome == job_outcome::completed) {
    ++stats_.completed;
    stats_.job_age.record(wall_ - j.accepted.accepted_at);
  }
  if (outcome == job_outcome::failed) ++stats_.failed;
  log(severity::info, fmt::format("event=job_ended job={} state={} age_ms={}", log_value(id.value),
                                  name_of(state_of(j)), (wall_ - j.accepted.accepted_at).count()));
}

void job_owner::on_task_done(job& j, task_index index, time_point now) {
  auto& task = j.tasks[index];
  if (task.phase == task_phase::done) return;
  const auto ref = j.ref_of(index);
  task.phase = task_phase::done;
  task.life = {};
  task.checkpoint.clear();
  --j.open_in_step(ref.occurrence, ref.step);
  mark_changed(j);
  const bool all_done = std::all_of(j.open_tasks.begin(), j.open_tasks.end(),
                                    [](std::uint32_t open) { return open == 0; });
  if (all_done) return finish(j, job_outcome::completed, now);
  refresh_waiting(j);
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
  requeue(j, index, checkpoint);
}

void job_owner::requeue(job& j, task_index index, const std::string& checkpoint) {
  auto& task = j.tasks[index];
  task.phase = task_phase::waiting;
  task.life = {};
  if (!checkpoint.empty()) task.checkpoint = checkpoint;
  mark_changed(j);
  refresh_waiting(j);
}

void job_owner::drop_expired() {
  std::vector<job_id> expired;
  for (const auto& [id, j] : table_) {
    if (j.ended() && j.ended_at + options_.keep_ended < wall_) expired.push_back(id);
  }
  for (const auto& id : expired) {
    for (auto& record : removal_records(id)) removals_.push_back(std::move(record));
    dirty_.erase(id);
    table_.forget(id);
  }
}

// --- Placing ---

void job_owner::place(time_point now, wall_time wall) {
  wall_ = wall;
  if (waiting_.empty() || now < next_place_) return;
  failed_demands_.clear();
  judged_ = waiting_.size();
  room_is_free_ = much_room_is_free();
  std::vector<std::pair<job_urgency, job*>> order;
  order.reserve(waiting_.size());
  for (const auto& id : waiting_) {
    if (auto* j = table_.find(id)) order.emplace_back(urgency_of(*j, correction_, wall_), j);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second->accepted.id) < std::tie(b.first, b.second->accepted.id);
  });
  for (const auto& [urgency, j] : order) {
    place_job(*j, now);
    note_starved(*j, now);
    refresh_waiting(*j);
  }
  next_place_ = now + duration{static_cast<std::int64_t>(judged_ / judged_per_ms)};
}

void job_owner::note_starved(const job& j, time_point now) {
  const bool runs = std::any_of(j.tasks.begin(), j.tasks.end(), [](const auto& task) {
    return task.phase == task_phase::assigned;
  });
  if (runs) {
    runless_since_.erase(j.accepted.id);
  } else {
    runless_since_.try_emplace(j.accepted.id, now);
  }
}

bool job_owner::is_starved(const job& j, time_point now) const {
  const auto since = runless_since_.find(j.accepted.id);
  return room_is_free_ && since != runless_since_.end() &&
         now - since->second >= options_.starved_after;
}

// Whether less than half of the listed workers' processors are in use.
bool job_owner::much_room_is_free() const {
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  for (const auto& [id, link] : links_) {
    if (link.listed) capacity += link.listing->capacity.millicores;
    used += link.used.millicores;
  }
  return used < capacity / 2;
}

void job_owner::place_job(job& j, time_point now) {
  const auto& spec = j.accepted.spec;
  for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
    if (!occurrence_due(j, occurrence)) break;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      if (j.open_in_step(occurrence, step) == 0 || !j.step_ready(occurrence, step)) continue;
      if (spec.steps[step].gang) {
        place_gang(j, occurrence, step, now);
      } else {
        place_step(j, occurrence, step, now);
      }
    }
  }
}

// Whether a demand that is no larger found no room in this pass.
bool job_owner::is_hopeless(const placement_request& request) const {
  if (request.starved) return false;
  const auto& step = *request.step;
  const auto& image = step.fill ? step.image : std::string{};
  return std::any_of(failed_demands_.begin(), failed_demands_.end(), [&](const auto& failed) {
    return failed.service == request.service && failed.fill == step.fill && failed.image == image &&
           (failed.restart || !request.restart) && failed.demand.fits_in(step.demand);
  });
}

// Ranks the workers for a task, or leaves `ranking` empty if there is no room.
void job_owner::rank_workers(const placement_request& request, time_point now,
                             std::optional<worker_ranking>& ranking) {
  ranking.reset();
  if (is_hopeless(request)) return;
  judged_ += links_.size();
  ranking.emplace(request, links_, model_, now);
  if (ranking->best() != nullptr) return;
  ranking.reset();
  const auto& step = *request.step;
  const bool any_worker =
      step.required_label.empty() && step.max_per_worker == 0 && !request.starved;
  if (!any_worker) return;
  failed_demands_.push_back({.service = request.service,
                             .fill = step.fill,
                             .restart = request.restart,
                             .image = step.fill ? step.image : std::string{},
                             .demand = step.demand});
}

placement_request job_owner::request_for(const job& j, std::uint32_t occurrence,
                                         std::uint32_t step) const {
  const auto& spec = j.accepted.spec.steps[step];
  placement_request request{.step = &spec, .service = j.accepted.service};
  if (spec.max_per_worker == 0 && !spec.tightly_coupled) return request;
  const auto first = j.index_of({.occurrence = occurrence, .step = step});
  for (auto i = first; i < first + spec.count; ++i) {
    const auto& task = j.tasks[i];
    if (task.phase != task_phase::assigned) continue;
    ++request.siblings[task.life.worker];
    const auto link = links_.find(task.life.worker);
    if (spec.tightly_coupled && link != links_.end() && link->second.listing) {
      request.preferred_rack = link->second.listing->rack();
    }
  }
  return request;
}

void job_owner::place_step(job& j, std::uint32_t occurrence, std::uint32_t step, time_point now) {
  const auto first = j.index_of({.occurrence = occurrence, .step = step});
  const auto last = first + j.accepted.spec.steps[step].count;
  const auto& spec = j.accepted.spec.steps[step];
  auto request = request_for(j, occurrence, step);
  std::optional<worker_ranking> ranking;
  bool ranked = false;          // for the request as it is
  bool placed_starved = false;  // one run is enough: the others wait for room
  for (auto i = first; i < last; ++i) {
    if (j.tasks[i].phase != task_phase::waiting) continue;
    const bool restart = j.tasks[i].run > 0;
    const bool starved = spec.fill && is_starved(j, now) && !placed_starved;
    ranked = ranked && restart == request.restart && starved == request.starved;
    request.restart = restart;
    request.starved = starved;
    if (!ranked) rank_workers(request, now, ranking);
    ranked = true;
    auto* link = ranking ? ranking->best() : nullptr;
    if (link == nullptr) continue;
    placed_starved = true;
    assign(j, i, *link, j.tasks[i].run + 1, now);
    ++request.siblings[link->life.worker];
    ranking->reconsider_best();
    if (spec.tightly_coupled && request.preferred_rack != link->listing->rack()) {
      request.preferred_rack = link->listing->rack();
      ranked = false;
    }
  }
}

// Places all tasks of a step or none. Runs of one gang share their number.
void job_owner::place_gang(job& j, std::uint32_t occurrence, std::uint32_t step, time_point now) {
  const auto first = j.index_of({.occurrence = occurrence, .step = step});
  const auto last = first + j.accepted.spec.steps[step].count;
  run_number run = 0;
  for (auto i = first; i < last; ++i) {
    if (j.tasks[i].phase != task_phase::waiting) return;  // the former runs still end
    run = std::max(run, j.tasks[i].run + 1);
  }
  auto request = request_for(j, occurrence, step);
  std::vector<std::pair<worker_link*, task_index>> chosen;
  std::optional<worker_ranking> ranking;
  rank_workers(request, now, ranking);
  for (auto i = first; i < last && ranking; ++i) {
    auto* link = ranking->best();
    if (link == nullptr) break;
    assign(j, i, *link, run, now);
    chosen.emplace_back(link, i);
    ++request.siblings[link->life.worker];
    ranking->reconsider_best();
    if (request.step->tightly_coupled && request.preferred_rack != link->listing->rack()) {
      request.preferred_rack = link->listing->rack();
      rank_workers(request, now, ranking);
    }
  }
  if (chosen.size() == last - first) return;
  // Nothing of it is recorded yet, so that the assignments can be undone.
  for (const auto& [link, index] : chosen) {
    link->remove({.job = j.accepted.id, .index = index});
    std::erase(next_.starts, std::pair{link->life.worker, task_key{j.accepted.id, index}});
    j.tasks[index].phase = task_phase::waiting;
    j.tasks[index].life = {};
  }
}

void job_owner::assign(job& j, task_index index, worker_link& link, run_number run,
                       time_point now) {
  auto& task = j.tasks[index];
  const auto ref = j.ref_of(index);
  const auto& step = j.step_of(ref);
  task.phase = task_phase::assigned;
  task.run = run;
  task.life = link.life;
  if (!j.started) stats_.until_started.record(wall_ - j.accepted.accepted_at);
  j.started = true;
  const task_key key{.job = j.accepted.id, .index = index};
  auto placed = run_of_step(step, task, now);
  if (step.fill) {
    // Set to work at once at the pace that is borne.
    placed.pace = std::max(bearable_percent(step, link, model_, now), least_pace);
    placed.pace_unsure = placed.pace < 100;
  }
  link.add(key, std::move(placed));
  log(severity::info, fmt::format("event=run_placed {} worker={} idle_millicores={}",
                                  log_text({.task = ref, .run = run}),
                                  log_value(link.life.worker.value), link.free().millicores));
  next_.starts.emplace_back(link.life.worker, key);
  mark_changed(j);
}

// --- Journal ---

std::vector<keyed_record> job_owner::take_batch() {
  std::vector<keyed_record> records;
  records.reserve(dirty_.size() + removals_.size());
  for (const auto& id : dirty_) {
    if (const auto* j = table_.find(id)) records.push_back(progress_record(*j));
  }
  std::move(removals_.begin(), removals_.end(), std::back_inserter(records));
  removals_.clear();
  dirty_.clear();
  in_flight_ = std::exchange(next_, {});
  return records;
}

void job_owner::on_batch_recorded(time_point now) {
  const auto effects = std::exchange(in_flight_, {});
  for (const auto& [worker, key] : effects.starts) {
    const auto link = links_.find(worker);
    if (link == links_.end()) continue;
    const auto run = link->second.runs.find(key);
    if (run == link->second.runs.end() || run->second.phase != start_phase::recording) continue;
    run->second.phase = start_phase::to_send;
    stats_.until_recorded.record(now - run->second.began);
    send_due_orders(link->second, now);
  }
  for (const auto& [worker, number] : effects.ends) {
    const auto link = links_.find(worker);
    if (link == links_.end()) continue;
    link->second.recorded_end = std::max(link->second.recorded_end, number);
    link->second.next_look = now;
    send_due_orders(link->second, now);
  }
}

job_state job_owner::visible_state(const job& j) const {
  const auto& id = j.accepted.id;
  const bool recorded = !next_.jobs.contains(id) && !in_flight_.jobs.contains(id);
  if (j.ended() && !recorded && !j.cancel_requested) return job_state::running;
  return state_of(j);
}

}  // namespace coltsfoot::jobs
