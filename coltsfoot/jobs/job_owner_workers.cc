// The part of the owner that keeps its view of workers: registry, leases, looks and ends.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// Whether the worker's life is known from the registry only, to which others write too.
bool is_unproved(const worker_link& link) {
  return !link.last_contact && link.runs.empty();
}

// Reported of a long-running task that has started up.
constexpr std::uint32_t at_work_percent = 100;

// The time between failed looks doubles up to this many times.
constexpr std::uint32_t most_poll_doublings = 4;

// The run has started again in another life of its worker, at full speed.
void restart_figures(placed_run& run, time_point now) {
  run.percent = 0;
  run.progressed_at = now;
  run.headroom = 0;
  run.over_since.reset();
  run.pace_unsure = run.pace < 100;
  run.progress = {};
}

// Weight of a new figure beside the former ones, which it replaces with this time constant.
double weight_of_newest(duration since_former) {
  constexpr double time_constant_ms = 500;
  return 1 - std::exp(-static_cast<double>(since_former.count()) / time_constant_ms);
}

}  // namespace

// --- Registry ---

void job_owner::on_listing(const worker_listing& listing, time_point now) {
  auto [at, fresh] = links_.try_emplace(listing.id, listing.id, listing.incarnation, now);
  auto& link = at->second;
  if (fresh) {
    const auto known = remembered_.find(listing.id);
    if (known != remembered_.end()) {
      const bool restarted = listing.incarnation != known->second.incarnation;
      link.former_lives = known->second.former + (restarted ? 1 : 0);
      link.restarts = known->second.restarts;
      if (restarted) link.restarts.on_restart(now);
    }
    log(severity::info,
        fmt::format("event=worker_listed worker={} incarnation={} address={}",
                    log_value(listing.id.value), listing.incarnation, log_value(listing.address)));
  }
  if (listing.incarnation < link.life.incarnation && is_unproved(link)) {
    // The entry before this one may have come from another writer.
    link.life.incarnation = listing.incarnation;
    ++link.former_lives;
    link.open_polls.clear();
  }
  if (listing.incarnation < link.life.incarnation) {
    // A late entry of a former life, unless the worker's clock was set back: a look will tell.
    link.unconfirmed = listing;
    if (!link.listing) {
      // The only address at which the worker can be asked.
      link.listing = listing;
      link.listing_outdated = true;
      link.evacuated = is_evacuated(link);
    }
    doubt_life(link, "registry", now);
    log(severity::info,
        fmt::format("event=worker_entry_late worker={} incarnation={} known={}",
                    log_value(listing.id.value), listing.incarnation, link.life.incarnation));
    return send_due_orders(link, now);
  }
  if (listing.incarnation != link.life.incarnation) {
    doubt_life(link, "registry", now);
  }
  const bool was_draining = link.listing && link.listing->draining;
  link.listing = listing;
  link.listing_outdated = false;
  link.evacuated = is_evacuated(link);
  link.listed = true;
  link.unconfirmed.reset();
  if (listing.draining && !was_draining) {
    log(severity::info, fmt::format("event=worker_drains worker={}", log_value(listing.id.value)));
    drain_runs(link, now);
  }
  send_due_orders(link, now);
}

void job_owner::on_unlisted(const worker_id& worker) {
  const auto found = links_.find(worker);
  if (found == links_.end() || !found->second.listed) return;
  auto& link = found->second;
  log(severity::info,
      fmt::format("event=worker_unlisted worker={} runs={} draining={}", log_value(worker.value),
                  link.runs.size(), link.listing->draining));
  // It is still looked at: an entry can be missing for a while although the worker lives.
  link.listed = false;
}

void job_owner::on_listings(const std::vector<worker_listing>& listings, time_point now) {
  std::set<worker_id> listed;
  for (const auto& listing : listings) {
    listed.insert(listing.id);
    on_listing(listing, now);
  }
  std::vector<worker_id> gone;
  for (const auto& [id, link] : links_) {
    if (link.listed && !listed.contains(id)) gone.push_back(id);
  }
  for (const auto& id : gone) on_unlisted(id);
}

// Moves what would not end before the worker leaves.
void job_owner::drain_runs(worker_link& link, time_point now) {
  std::vector<task_key> moving;
  for (const auto& [key, run] : link.runs) {
    const auto* j = table_.find(key.job);
    if (j == nullptr || j->ended()) continue;
    const auto& step = j->step_of(j->ref_of(key.index));
    const auto left = step.estimate * (100 - std::min<std::uint32_t>(run.percent, 100)) / 100;
    if (step.long_running || left > options_.drain_patience) moving.push_back(key);
  }
  for (const auto& key : moving) stop_run(link, key, now);
}

// --- Runs ---

worker_link* job_owner::link_of(const worker_life& life) {
  const auto found = links_.find(life.worker);
  if (found == links_.end() || found->second.life != life) return nullptr;
  return &found->second;
}

placed_run* job_owner::run_of(worker_link& link, const run_ref& run, task_key& key) {
  const auto* j = table_.find(run.task.job);
  if (j == nullptr || !j->contains(run.task)) return nullptr;
  key = {.job = run.task.job, .index = j->index_of(run.task)};
  const auto found = link.runs.find(key);
  if (found == link.runs.end() || found->second.run != run.run) return nullptr;
  return &found->second;
}

// All that ran in this life of the worker is gone.
void job_owner::end_life(worker_link& link, std::string_view reason, time_point now) {
  std::vector<task_key> keys;
  keys.reserve(link.runs.size());
  for (const auto& [key, run] : link.runs) keys.push_back(key);
  log(severity::info,
      fmt::format("event=worker_life_ended worker={} incarnation={} reason={} runs={} "
                  "silent_ms={} lease_over_ms_ago={}",
                  log_value(link.life.worker.value), link.life.incarnation, reason, keys.size(),
                  link.last_contact ? (now - *link.last_contact).count() : -1,
                  (now - link.lease.lapses_at()).count()));
  for (const auto& key : keys) lose_run(link, key, reason, now);
  link.reset_end_cursors();
  link.next_look = now;
}

// Another life than the known one may be up. The worker itself says which one it is, and
// what of the former life's orders reached it. Until then it gets no start, lease or cursor.
void job_owner::doubt_life(worker_link& link, std::string_view cause, time_point now) {
  if (link.restarts.in_doubt()) return;
  log(severity::info, fmt::format("event=worker_life_doubted worker={} known={} cause={} runs={}",
                                  log_value(link.life.worker.value), link.life.incarnation, cause,
                                  link.runs.size()));
  link.restarts.on_doubt(now);
  link.open_polls.clear();  // connections to the former life may stay silent
  link.next_look = now;
}

// The worker has restarted under its id. What it ran is gone, but an order for the former life may
// have reached the new one, or may still do so.
void job_owner::change_life(worker_link& link, const look_report& report, time_point now) {
  log(severity::info,
      fmt::format("event=worker_life_changed worker={} former={} incarnation={} runs={} "
                  "former_clock={} clock={} former_lease_over_in_ms={}",
                  log_value(link.life.worker.value), link.life.incarnation, report.incarnation,
                  link.runs.size(), link.lease.newest_reading().value_or(-1), report.clock,
                  (link.lease.lapses_at() - now).count()));
  link.life.incarnation = report.incarnation;
  ++link.former_lives;
  link.restarts.on_restart(now);
  link.listing_outdated = link.listing && link.listing->incarnation != report.incarnation;
  link.lease = lease_clock{now};
  link.reset_end_cursors();
  link.backoff = {};
  link.open_polls.clear();  // of the former life, whose answers don't count
  std::set<run_ref> listed;
  for (const auto& row : report.running) listed.insert(row.run);
  std::vector<task_key> over;
  for (auto& [key, run] : link.runs) {
    auto* j = table_.find(key.job);
    if (j == nullptr || j->ended()) {
      over.push_back(key);
      continue;
    }
    const bool sent = run.phase == start_phase::sent || run.phase == start_phase::confirmed;
    if (listed.contains({.task = j->ref_of(key.index), .run = run.run})) {
      j->tasks[key.index].life = link.life;
      restart_figures(run, now);
      mark_changed(*j);
    } else if (!sent || run.start_is_over(now)) {
      over.push_back(key);
    } else {
      // A stop keeps the order from being carried out later.
      run.phase = start_phase::sent;
      run.stop_wanted = true;
      run.tries = 0;
      run.stop_answered.reset();
      run.next_try = now;
    }
  }
  for (const auto& key : over) lose_run(link, key, "worker_restarted", now);
}

// The run is over without an end that counts. The task waits for another start.
void job_owner::lose_run(worker_link& link, const task_key& key, std::string_view reason,
                         time_point now) {
  const auto found = link.runs.find(key);
  if (found == link.runs.end()) return;
  const auto checkpoint = found->second.checkpoint;
  const auto run = found->second.run;
  note_late_start(link, key, found->second, now);
  link.remove(key);
  ++stats_.runs_lost;
  auto* j = table_.find(key.job);
  if (j == nullptr || j->ended()) return;
  log(severity::info, fmt::format("event=run_over {} worker={} reason={}",
                                  log_text({.task = j->ref_of(key.index), .run = run}),
                                  log_value(link.life.worker.value), reason));
  requeue(*j, key.index, checkpoint, now);
}

void job_owner::stop_run(worker_link& link, const task_key& key, time_point now) {
  const auto found = link.runs.find(key);
  if (found == link.runs.end()) return;
  auto& run = found->second;
  if (run.is_unsent()) {
    lose_run(link, key, "not_sent", now);
    return;
  }
  if (run.stop_wanted) return;
  run.stop_wanted = true;
  run.tries = 0;
  run.next_try = now;
  send_due_orders(link, now);
}

void job_owner::note_worker_failure(worker_link& link, time_point now) {
  if (!link.backoff.on_failure(now)) return;
  log(severity::warning, fmt::format("event=worker_avoided worker={} failures_in_a_row={}",
                                     log_value(link.life.worker.value), link.backoff.failures()));
}

// --- Looks ---

// A look is late that a sound worker would have had answered by now, whatever the delays of this
// node. Its connection stays open for the answer.
void job_owner::note_late_polls(worker_link& link, time_point now) {
  for (auto& [sent_at, poll] : link.open_polls) {
    if (poll.overdue || now < poll.answer_by + own_delay_) continue;
    poll.overdue = true;
    note_failed_poll(link, order_verdict::unanswered, now);
  }
}

void job_owner::note_failed_poll(worker_link& link, order_verdict verdict, time_point now) {
  const auto doublings = std::min(link.failed_looks, most_poll_doublings);
  link.next_look =
      now + std::min(options_.look_retry * (1U << doublings), options_.longest_look_retry);
  ++link.failed_looks;
  if (link.failed_looks != 2) return;
  log(severity::warning,
      fmt::format("event=worker_lost worker={} verdict={} runs={}",
                  log_value(link.life.worker.value), name_of(verdict), link.runs.size()));
}

void job_owner::on_look_answer(const worker_life& life, const look_answer& answer,
                               time_point sent_at, time_point now) {
  auto* link = link_of(life);
  if (link == nullptr) return;
  const auto open = link->open_polls.extract(sent_at);
  const bool overdue = !open.empty() && open.mapped().overdue;
  if (answer.verdict == order_verdict::fenced) {
    fenced_ = true;
    return;
  }
  if (answer.verdict == order_verdict::other_life) {
    end_life(*link, "answered_as_other_life", now);
    link->next_look = now + options_.look_retry;
    return;
  }
  if (answer.verdict != order_verdict::accepted) {
    if (!overdue) note_failed_poll(*link, answer.verdict, now);
    return;
  }
  // Answers on several connections overtake each other: a newer report has told all of this one.
  if (link->newest_report && sent_at < *link->newest_report) return;
  link->newest_report = sent_at;
  if (!open.empty()) {
    const auto delay = now - sent_at - open.mapped().wait;
    if (delay > duration{0}) answers_.observe(delay);
  }
  const auto& report = answer.report;
  const bool other_life = report.incarnation != 0 && report.incarnation != link->life.incarnation;
  const bool false_entry = is_unproved(*link) && report.incarnation < link->life.incarnation;
  if (other_life && !false_entry) {
    change_life(*link, report, now);
  } else {
    if (other_life) {
      link->life.incarnation = report.incarnation;
      ++link->former_lives;
    }
    if (report.incarnation != 0) link->restarts.on_answer(sent_at, now);
    const auto forgotten = open.empty() ? 0 : open.mapped().forget_up_to;
    link->forgotten_end = std::max(link->forgotten_end, forgotten);
  }
  if (link->unconfirmed && link->unconfirmed->incarnation == link->life.incarnation) {
    on_listing(*std::exchange(link->unconfirmed, std::nullopt), now);
  }
  if (link->failed_looks >= 2) {
    log(severity::info, fmt::format("event=worker_regained worker={} failed_looks={}",
                                    log_value(life.worker.value), link->failed_looks));
  }
  link->failed_looks = 0;
  link->outlived = std::max(link->outlived, sent_at);
  note_contact(*link, report.clock, now);
  grants_.on_obeyed(link->life, sent_at, now);
  std::set<run_ref> listed;
  for (const auto& row : report.running) {
    listed.insert(row.run);
    on_running(*link, row, now);
  }
  learn_interference(*link, report, now);
  const auto seen_before = link->seen_end;
  for (const auto& row : report.ended) {
    listed.insert(row.run);
    if (row.number > link->seen_end) on_ended(*link, row, now);
  }
  for (const auto& row : report.ended) link->seen_end = std::max(link->seen_end, row.number);
  settle_missing(*link, listed, report.more_ends, sent_at, now);
  settle_late_starts(*link, listed, sent_at, now);
  if (link->seen_end != seen_before) {
    next_.ends[link->life] = link->seen_end;
  }
  pace_runs(*link, now);
  link->next_look = link->seen_end == link->recorded_end ? now : now + options_.unrecorded_look;
  send_due_orders(*link, now);
}

void job_owner::on_running(worker_link& link, const running_row& row, time_point now) {
  task_key key;
  auto* run = run_of(link, row.run, key);
  if (run == nullptr) {
    log(severity::info, fmt::format("event=stray_run_stopped {} worker={}", log_text(row.run),
                                    log_value(link.life.worker.value)));
    return send_stop(link, row.run);
  }
  if (run->phase == start_phase::sent) {
    run->phase = start_phase::confirmed;
    run->confirmed_at = now;
  }
  run->listed = true;
  run->starts.on_listed();
  auto& j = *table_.find(key.job);
  mark_started(j);
  record_late_start(j, link, key, *run, now);
  note_progress(*run, row.percent, now);
  if (row.percent != run->percent || run->progressed_at == time_point{}) {
    run->percent = row.percent;
    run->progressed_at = now;
    if (run->long_running && row.percent == at_work_percent) link.backoff.on_success(run->began);
  }
  if (!row.checkpoint.empty()) run->checkpoint = row.checkpoint;
}

void job_owner::on_ended(worker_link& link, const ended_row& row, time_point now) {
  task_key key;
  auto* run = run_of(link, row.run, key);
  if (run == nullptr) return;  // another run of the task counts
  const bool wanted = run->stop_wanted;
  const auto began = run->began;
  const auto taken = now - began;
  const bool confirmed = run->confirmed_at >= began;
  const auto until_confirmed = confirmed ? run->confirmed_at - began : duration{-1};
  if (row.end == run_end::done) learn_speed(*run, now);
  const auto pace = run->pace;
  const auto full_pace = run->progress.is_known() ? run->progress.full_pace_time() : duration{-1};
  run->starts.on_listed();
  if (row.end != run_end::done || run->long_running) note_late_start(link, key, *run, now);
  link.remove(key);
  auto* j = table_.find(key.job);
  if (j == nullptr || j->ended()) return;
  mark_started(*j);
  const auto& step = j->step_of(row.run.task);
  log(severity::info,
      fmt::format("event=run_ended {} worker={} end={} number={} stop_wanted={} took_ms={} "
                  "estimated_ms={} confirmed_ms={} full_pace_ms={} pace={}",
                  log_text(row.run), log_value(link.life.worker.value), name_of(row.end),
                  row.number, wanted, taken.count(), step.estimate.count(), until_confirmed.count(),
                  full_pace.count(), pace));
  switch (row.end) {
    case run_end::done:
      ++stats_.ends_done;
      link.backoff.on_success(began);
      correction_.observe(j->accepted.queue, step.estimate, taken);
      if (step.long_running) {
        requeue(*j, key.index, row.checkpoint, now);
      } else if (step.gang) {
        const auto first =
            j->index_of({.occurrence = row.run.task.occurrence, .step = row.run.task.step});
        for (auto i = first; i < first + step.count && !j->ended(); ++i) on_task_done(*j, i, now);
      } else {
        on_task_done(*j, key.index, now);
      }
      break;
    case run_end::failed:
      ++stats_.ends_failed;
      note_worker_failure(link, now);
      if (const auto late = late_starts_.find(key); late != late_starts_.end()) {
        late->second.failed = true;
      }
      on_task_failed(*j, key.index, row.checkpoint, now);
      break;
    case run_end::stopped:
    case run_end::lapsed:
    case run_end::partner_ended:
    case run_end::partner_missing:
      ++stats_.ends_other;
      requeue(*j, key.index, row.checkpoint, now);
      break;
  }
  if (cancelling_.contains(key.job)) settle_cancelled(*j, now);
}

// Takes the tails of the serving runs, and what the filling runs beside them use.
void job_owner::learn_interference(worker_link& link, const look_report& report, time_point now) {
  if (link.serving == 0 || !link.listing) return;
  fill_shares shares;
  std::vector<std::pair<placed_run*, double>> observed;
  for (const auto& row : report.running) {
    task_key key;
    auto* run = run_of(link, row.run, key);
    if (run == nullptr || row.figure <= 0) continue;
    if (run->serves) {
      const auto target = static_cast<double>(run->response_target.count());
      observed.emplace_back(run, target / static_cast<double>(row.figure));
    } else if (run->fill_millicores > 0) {
      shares[run->image] += fill_share(link, row.figure);
    }
  }
  const double weight = weight_of_newest(now - link.tails_at);
  for (const auto& [run, headroom] : observed) {
    run->headroom =
        run->headroom <= 0 ? headroom : run->headroom + weight * (headroom - run->headroom);
    model_.observe(run->image, headroom, shares);
    if (headroom >= 1) {
      run->over_since.reset();
    } else if (!run->over_since) {
      run->over_since = now;
    }
  }
  if (!observed.empty()) link.tails_at = now;
}

// Runs that a look should have listed and did not, and runs that it should not have listed any
// more. A run that is missing from a list of ends that was cut off may have ended: `more_ends`.
void job_owner::settle_missing(worker_link& link, const std::set<run_ref>& listed, bool more_ends,
                               time_point sent_at, time_point now) {
  std::vector<task_key> lost;
  for (auto& [key, run] : link.runs) {
    const auto* j = table_.find(key.job);
    if (j == nullptr) {
      lost.push_back(key);
      continue;
    }
    const run_ref ref{.task = j->ref_of(key.index), .run = run.run};
    const bool stopped = run.stop_answered && sent_at > *run.stop_answered + options_.stop_settle;
    if (listed.contains(ref)) {
      if (!stopped) continue;
      log(severity::warning, fmt::format("event=stop_without_effect {} worker={}", log_text(ref),
                                         log_value(link.life.worker.value)));
      run.stop_answered.reset();
      run.tries = 0;
      run.next_try = now;
      continue;
    }
    const bool vanished =
        run.phase == start_phase::confirmed && !run.stop_wanted && sent_at > run.confirmed_at;
    if (!more_ends && (stopped || vanished)) lost.push_back(key);
  }
  for (const auto& key : lost) {
    lose_run(link, key, "not_listed", now);
    auto* j = table_.find(key.job);
    if (j != nullptr && cancelling_.contains(key.job)) settle_cancelled(*j, now);
  }
}

}  // namespace coltsfoot::jobs
