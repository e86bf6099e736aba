// The part of the owner that gives orders to workers and takes their answers.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// How long a start may go unanswered before the run is stopped.
constexpr duration patience_with_start{1'200};

}  // namespace

void job_owner::send_start(worker_link& link, const task_key& key, placed_run& run,
                           time_point now) {
  const auto* j = table_.find(key.job);
  if (j == nullptr) return;
  const auto lease_end = link.lease.extend(now, options_.lease);
  if (!lease_end) return;
  run.phase = start_phase::sent;
  run.next_try = now + options_.order_timeout + options_.order_retry;
  run.sent_at = now;
  ++stats_.starts;
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = start_order{.run = {.task = j->ref_of(key.index), .run = run.run},
                                          .payload = j->accepted.spec.payload,
                                          .lease_end = *lease_end,
                                          .checkpoint = j->tasks[key.index].checkpoint},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = options_.order_timeout});
}

void job_owner::send_stop(worker_link& link, const run_ref& run) {
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = stop_order{.run = run},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = options_.order_timeout});
}

// Where filling tasks work beside serving ones, the tails are read more often.
duration job_owner::look_wait_of(const worker_link& link) const {
  const bool mixed = link.serving > 0 && link.fill_millicores > 0;
  return mixed ? options_.mixed_look_wait : options_.look_wait;
}

void job_owner::send_look(worker_link& link, time_point now) {
  link.looking = true;
  const bool settled = link.recorded_end == link.seen_end;
  const bool patient = settled && link.failed_looks == 0 && link.last_contact.has_value();
  // A look without an answer may have been carried out: it would renew a lease that nobody can tell
  // to be over.
  const bool renew = link.failed_looks == 0;
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = look_order{.forget_up_to = link.recorded_end,
                                         .lease_end = renew ? link.lease.extend(now, options_.lease)
                                                            : std::nullopt,
                                         .wait = patient ? look_wait_of(link) : duration{0}},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = patient ? options_.look_timeout : options_.order_timeout});
}

void job_owner::send_due_orders(worker_link& link, time_point now) {
  if (!link.listing || fenced_) return;
  if (!link.looking && now >= link.next_look) send_look(link, now);
  for (auto& [key, run] : link.runs) {
    // A start renews the lease too.
    const bool start_due =
        link.failed_looks == 0 && (run.phase == start_phase::to_send ||
                                   (run.phase == start_phase::sent && now >= run.next_try));
    if (!run.stop_wanted && !start_due) continue;
    const auto* j = table_.find(key.job);
    if (run.stop_wanted) {
      if (run.stop_sent || run.stop_answered || now < run.next_try) continue;
      run.stop_sent = true;
      run.next_try = now + options_.order_timeout + options_.order_retry;
      // The job's steps are known as long as the job is, also after its end.
      if (j != nullptr) send_stop(link, {.task = j->ref_of(key.index), .run = run.run});
      continue;
    }
    if (j != nullptr && !j->ended()) send_start(link, key, run, now);
  }
}

void job_owner::note_contact(worker_link& link, const std::optional<worker_clock>& clock,
                             time_point now) {
  link.last_contact = now;
  if (clock) link.lease.observe(*clock, now);
}

void job_owner::on_start_answer(const worker_life& life, const run_ref& ref,
                                const order_answer& answer, time_point now) {
  auto* link = link_of(life);
  if (link == nullptr) return;
  if (answer.clock) note_contact(*link, answer.clock, now);
  task_key key;
  auto* run = run_of(*link, ref, key);
  if (run == nullptr || run->phase != start_phase::sent) return;
  stats_.until_answered.record(now - run->sent_at);
  if (answer.verdict != order_verdict::accepted) {
    log(severity::info,
        fmt::format("event=start_not_accepted {} worker={} verdict={}", log_text(ref),
                    log_value(life.worker.value), name_of(answer.verdict)));
  }
  const auto reject = [&](std::string_view reason) {
    ++stats_.rejected;
    // An earlier order for the run may still be carried out: a stop rules that out.
    if (run->doubtful) return stop_run(*link, key, now);
    lose_run(*link, key, reason, now);
  };
  switch (answer.verdict) {
    case order_verdict::accepted:
      run->phase = start_phase::confirmed;
      run->confirmed_at = now;
      run->progressed_at = now;
      if (run->pace_unsure) send_pace(*link, key, *run);
      return;
    case order_verdict::fenced:
      fenced_ = true;
      return;
    case order_verdict::lease_over:
      run->next_try = now;  // with the clock that was just read
      return send_due_orders(*link, now);
    case order_verdict::obsolete:
      // The run has been there: its end is listed, or it was stopped.
      run->phase = start_phase::confirmed;
      run->confirmed_at = now;
      return;
    case order_verdict::no_room:
      link->backoff.on_rejection(now + options_.order_timeout);
      return reject("no_room");
    case order_verdict::bad_ticket:
      return reject("bad_ticket");
    case order_verdict::malformed:
      return reject("malformed");
    case order_verdict::unhealthy:
      link->backoff.on_rejection(now + options_.avoid_unhealthy);
      return reject("unhealthy");
    case order_verdict::other_life:
      link->next_look = now;
      run->next_try = now + options_.order_retry;
      return;
    case order_verdict::not_sent:
      run->next_try = now + options_.order_retry;
      return;
    case order_verdict::unanswered:
      ++stats_.unanswered;
      run->doubtful = true;
      run->next_try = now;
      if (now - run->progressed_at > patience_with_start) return stop_run(*link, key, now);
      return send_due_orders(*link, now);
  }
}

void job_owner::on_stop_answer(const worker_life& life, const run_ref& ref,
                               const order_answer& answer, time_point now) {
  auto* link = link_of(life);
  if (link == nullptr) return;
  if (answer.clock) note_contact(*link, answer.clock, now);
  if (answer.verdict == order_verdict::fenced) {
    fenced_ = true;
    return;
  }
  task_key key;
  auto* run = run_of(*link, ref, key);
  if (run == nullptr || !run->stop_wanted) return;
  run->stop_sent = false;
  if (answer.verdict == order_verdict::accepted) {
    run->stop_answered = now;
  } else {
    run->next_try = now + options_.order_retry;
  }
}

void job_owner::pace_runs(worker_link& link, time_point now) {
  if (!link.listing) return;
  auto changes = pacing_changes(link, model_, {}, now);
  if (!changes.empty()) link.paced_at = now;
  for (const auto& [key, run] : link.runs) {
    const bool repeat = run.pace_unsure && run.phase == start_phase::confirmed;
    const bool changed = std::any_of(changes.begin(), changes.end(),
                                     [&](const auto& change) { return change.key == key; });
    if (repeat && !changed) changes.push_back({.key = key, .percent = run.pace});
  }
  for (const auto& change : changes) {
    auto& run = link.runs.at(change.key);
    link.set_pace(run, change.percent);
    send_pace(link, change.key, run);
  }
}

void job_owner::send_pace(worker_link& link, const task_key& key, placed_run& run) {
  const auto* j = table_.find(key.job);
  if (j == nullptr) return;
  ++stats_.paces;
  run.pace_unsure = false;
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = pace_order{.run = {.task = j->ref_of(key.index), .run = run.run},
                                         .percent = run.pace},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = options_.order_timeout});
}

void job_owner::on_pace_answer(const worker_life& life, const run_ref& ref,
                               const order_answer& answer) {
  auto* link = link_of(life);
  if (link == nullptr || answer.verdict == order_verdict::accepted) return;
  if (answer.verdict == order_verdict::fenced) fenced_ = true;
  task_key key;
  auto* run = run_of(*link, ref, key);
  if (run != nullptr) run->pace_unsure = true;
}

}  // namespace coltsfoot::jobs
