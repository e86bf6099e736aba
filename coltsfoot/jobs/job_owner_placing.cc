// The part of the owner that places waiting tasks, the most urgent job first.
#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// A filling task goes on at least this slowly, in percent of its speed.
constexpr std::uint32_t least_pace = 5;

// Jobs and workers judged in a placing pass for each millisecond until the next pass. It bounds the
// share of the processor that placing takes while no room is left for many waiting jobs.
constexpr std::size_t judged_per_ms = 200;

// A job that waits this long for room leaves a log line, once a second.
constexpr duration long_wait{2'000};
constexpr std::size_t most_wait_lines = 4;  // of long-running tasks, and of others

}  // namespace

void job_owner::place(time_point now, wall_time wall) {
  wall_ = wall;
  if ((waiting_.empty() && late_starts_.empty()) || now < next_place_) return;
  failed_demands_.clear();
  unplaced_short_.clear();
  plan_short_room(now);
  judged_ = waiting_.size();
  first_starts_held_ = 0;
  room_is_free_ = much_room_is_free();
  starts_left_ = window_.room_beside(
      ready_starts_.size() + next_.starts.size() + in_flight_.starts.size(), record_time_);
  place_moved(now);
  place_kept(now);
  std::vector<std::pair<job_urgency, job*>> order;
  order.reserve(waiting_.size());
  for (const auto& [id, since] : waiting_) {
    if (auto* j = table_.find(id)) order.emplace_back(urgency_of(*j, correction_, wall_), j);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second->accepted.id) < std::tie(b.first, b.second->accepted.id);
  });
  for (const auto& [urgency, j] : order) {
    place_job(*j, urgency, now);
    note_starved(*j, now);
    refresh_waiting(*j, now);
  }
  observe_short_demand(now);
  next_place_ = now + duration{static_cast<std::int64_t>(judged_ / judged_per_ms)};
}

// Decides what first starts of long-running tasks leave to short ones in this pass.
void job_owner::plan_short_room(time_point now) {
  std::map<service_id, std::vector<long_running_load>> loads;
  for (const auto& [id, link] : links_) {
    if (!link.usable(now)) continue;
    loads[link.listing->service].push_back(
        {.worker = id,
         .capacity_millicores = link.listing->capacity.millicores,
         .held_millicores = link.long_running_millicores});
  }
  short_room_ = {};
  for (auto& [service, workers] : loads) {
    short_room_.keep(std::move(workers), short_demands_[service].at(now));
  }
}

void job_owner::note_unplaced(const placement_request& request, std::uint32_t tasks) {
  const auto& step = *request.step;
  if (step.long_running || step.fill) return;
  auto& unplaced = unplaced_short_[request.service];
  unplaced.total += tasks * step.demand.millicores;
  unplaced.largest_waiting = std::max(unplaced.largest_waiting, step.demand.millicores);
}

// Takes what short tasks hold and what they found no room for.
void job_owner::observe_short_demand(time_point now) {
  auto figures = std::exchange(unplaced_short_, {});
  for (const auto& [id, link] : links_) {
    if (!link.listing) continue;
    figures[link.listing->service].total += link.used.millicores - link.long_running_millicores;
  }
  for (const auto& [service, of_service] : figures) {
    short_demands_[service].observe(of_service, now);
  }
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

// Whether nothing of a waiting job has run for long.
bool job_owner::is_runless(const job& j, time_point now) const {
  const auto since = runless_since_.find(j.accepted.id);
  return since != runless_since_.end() && now - since->second >= options_.starved_after;
}

// Whether first starts of the job's fill tasks wait for slow runs. Some of those may need a kind of
// room that is never there, so that no job waits for them for long.
bool job_owner::is_held_back(const job& j, const job_urgency& urgency, time_point now) const {
  if (!claims_.hold_back(j.accepted.service, urgency)) return false;
  const auto since = waiting_.find(j.accepted.id);
  return since != waiting_.end() && now - since->second < options_.relocation.longest_hold;
}

bool job_owner::is_starved(const job& j, time_point now) const {
  return room_is_free_ && is_runless(j, now);
}

// Whether less than half of the processors are in use of the listed workers that no evacuation
// closes.
bool job_owner::much_room_is_free() const {
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  for (const auto& [id, link] : links_) {
    if (link.evacuated) continue;
    if (link.listed) capacity += link.listing->capacity.millicores;
    used += link.used.millicores;
  }
  return used < capacity / 2;
}

// Tells of tasks that have waited long, and why no worker can take them.
void job_owner::log_long_waits(time_point now) const {
  std::size_t long_running_lines = 0;
  std::size_t other_lines = 0;
  for (const auto& [id, since] : waiting_) {
    const auto* j = table_.find(id);
    if (j == nullptr || now - since < long_wait) continue;
    const auto& steps = j->accepted.spec.steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      auto& lines = steps[step].long_running ? long_running_lines : other_lines;
      if (lines == most_wait_lines || !j->step_ready(0, step)) continue;
      if (log_wait(*j, step, now - since, now)) ++lines;
    }
  }
}

// Returns whether a task of the step waits.
bool job_owner::log_wait(const job& j, std::uint32_t step, duration waited, time_point now) const {
  const auto first = j.tasks.begin() + j.index_of({.occurrence = 0, .step = step});
  const auto last = first + j.accepted.spec.steps[step].count;
  const auto waits = [](const auto& task) { return task.phase == task_phase::waiting; };
  const auto tasks = std::count_if(first, last, waits);
  if (tasks == 0) return false;
  const auto task = std::find_if(first, last, waits);
  auto request = request_for(j, 0, step);
  request.restart = task->run > 0;
  std::map<std::string_view, std::size_t> workers;  // by obstacle
  for (const auto& [worker, link] : links_) {
    const auto obstacle = obstacle_to(request, link, model_, now);
    ++workers[obstacle ? name_of(*obstacle) : "none"];
  }
  std::string counts;
  for (const auto& [obstacle, count] : workers) counts += fmt::format(" {}={}", obstacle, count);
  const auto ref = j.ref_of(static_cast<task_index>(task - j.tasks.begin()));
  const auto& demand = request.step->demand;
  log(severity::warning,
      fmt::format("event=task_waits {} job_waited_ms={} tasks={} long_running={} fill={} "
                  "millicores={} memory_mb={}{}",
                  log_text({.task = ref, .run = task->run}), waited.count(), tasks,
                  request.step->long_running, request.step->fill, demand.millicores,
                  demand.memory_mb, counts));
  return true;
}

void job_owner::place_job(job& j, const job_urgency& urgency, time_point now) {
  if (starts_left_ == 0) return;
  const auto& spec = j.accepted.spec;
  for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
    if (!occurrence_due(j, occurrence)) break;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      if (j.open_in_step(occurrence, step) == 0 || !j.step_ready(occurrence, step)) continue;
      if (spec.steps[step].gang) {
        place_gang(j, occurrence, step, now);
      } else {
        place_step(j, occurrence, step, urgency, now);
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
    const bool comparable = !failed.leaves_room || request.leaves_room();
    return comparable && failed.service == request.service && failed.fill == step.fill &&
           failed.image == image && (failed.restart || !request.restart) &&
           failed.demand.fits_in(step.demand);
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
                             .leaves_room = request.leaves_room(),
                             .image = step.fill ? step.image : std::string{},
                             .demand = step.demand});
}

placement_request job_owner::request_for(const job& j, std::uint32_t occurrence,
                                         std::uint32_t step) const {
  const auto& spec = j.accepted.spec.steps[step];
  placement_request request{
      .step = &spec, .service = j.accepted.service, .short_room = &short_room_};
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

void job_owner::place_step(job& j, std::uint32_t occurrence, std::uint32_t step,
                           const job_urgency& urgency, time_point now) {
  const auto first = j.index_of({.occurrence = occurrence, .step = step});
  const auto last = first + j.accepted.spec.steps[step].count;
  const auto& spec = j.accepted.spec.steps[step];
  const bool held = spec.fill && is_held_back(j, urgency, now);
  const bool runless = is_runless(j, now);
  auto request = request_for(j, occurrence, step);
  std::optional<worker_ranking> ranking;
  bool ranked = false;          // for the request as it is
  bool placed_starved = false;  // one run is enough: the others wait for room
  for (auto i = first; i < last; ++i) {
    if (j.tasks[i].phase != task_phase::waiting) continue;
    if (starts_left_ == 0) return;
    const bool restart = j.tasks[i].run > 0;
    const bool starved = spec.fill && is_starved(j, now) && !placed_starved;
    const bool first_of_runless = runless && !placed_starved;
    if (held && !restart && !starved && !first_of_runless) {
      ++first_starts_held_;
      continue;
    }
    ranked = ranked && restart == request.restart && starved == request.starved;
    request.restart = restart;
    request.starved = starved;
    if (!ranked) rank_workers(request, now, ranking);
    ranked = true;
    const bool lacks_room = !ranking || ranking->best() == nullptr;
    if (lacks_room && spec.long_running && restart && keep_worker_for(request, now)) {
      ranking.emplace(request, links_, model_, now);
    }
    auto* link = ranking ? ranking->best() : nullptr;
    if (link == nullptr) {
      note_unplaced(request, 1);
      continue;
    }
    placed_starved = true;
    assign(j, i, *link, j.tasks[i].run + 1, now);
    --starts_left_;
    link->backoff.on_start(now);
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
  if (chosen.size() == last - first) {
    starts_left_ -= std::min(starts_left_, chosen.size());
    for (const auto& [link, index] : chosen) link->backoff.on_start(now);
    return;
  }
  note_unplaced(request, last - first);
  // Nothing of it is recorded yet, so that the assignments can be undone.
  for (const auto& [link, index] : chosen) {
    link->remove({.job = j.accepted.id, .index = index});
    std::erase(next_.starts, recorded_start{.worker = link->life.worker,
                                            .key = {.job = j.accepted.id, .index = index},
                                            .run = run});
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
  task.late_start = late_starts_.contains({.job = j.accepted.id, .index = index});
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
  next_.starts.push_back({.worker = link.life.worker, .key = key, .run = run});
  next_.decided_at = now;
  mark_changed(j);
}

}  // namespace coltsfoot::jobs
