// The part of the owner that gives orders to workers and takes their answers.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_owner.h"

namespace coltsfoot::jobs {
namespace {

// A start that is unanswered for this many answer timeouts is stopped.
constexpr int timeouts_until_stop = 3;

// The time between two tries of an order doubles up to this many times.
constexpr std::uint32_t most_doublings = 2;

// A step waits for few last tasks only while at most one of this many of them is open.
constexpr std::uint32_t tasks_per_last = 8;

// Filling tasks of the worker that are the last ones of their step.
std::set<task_key> last_tasks_on(const worker_link& link, const job_table& table) {
  std::set<task_key> last;
  if (link.serving == 0 || link.fill_millicores == 0) return last;
  for (const auto& [key, run] : link.runs) {
    const auto* j = run.fill_millicores > 0 ? table.find(key.job) : nullptr;
    if (j == nullptr || j->ended()) continue;
    const auto ref = j->ref_of(key.index);
    const auto open = j->open_tasks[ref.occurrence * j->accepted.spec.steps.size() + ref.step];
    if (open <= std::max(1U, j->step_of(ref).count / tasks_per_last)) last.insert(key);
  }
  return last;
}

// The longest time between two stops of a run, however late answers are. A run that is not stopped
// goes on, so a few stops that get no answer must not take longer than a cancellation may.
constexpr duration longest_stop_gap{800};

}  // namespace

void job_owner::send_start(worker_link& link, const task_key& key, placed_run& run,
                           time_point now) {
  const auto* j = table_.find(key.job);
  if (j == nullptr || !grants_.may_grant(now)) return;
  const auto lease_end = link.lease.extend(now, options_.lease);
  if (!lease_end) return;
  run.phase = start_phase::sent;
  run.next_try = now + next_gap(run);
  run.sent_at = now;
  run.starts.on_sent(now);
  link.granted_at = now;
  window_.on_sent();
  ++stats_.starts;
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = start_order{.run = {.task = j->ref_of(key.index), .run = run.run},
                                          .payload = j->accepted.spec.payload,
                                          .lease_end = *lease_end,
                                          .checkpoint = j->tasks[key.index].checkpoint},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = options_.order_limit});
}

// Time until an order of a run is repeated.
duration job_owner::next_gap(placed_run& run) const {
  const auto doublings = std::min(run.tries++, most_doublings);
  return (answer_timeout() + options_.order_retry) * (1U << doublings);
}

// Sends recorded starts, the most urgent first, as far as the window allows.
void job_owner::send_ready_starts(time_point now) {
  std::deque<recorded_start> blocked;
  while (!ready_starts_.empty() && window_.has_room() && !fenced_) {
    const auto start = std::move(ready_starts_.front());
    ready_starts_.pop_front();
    const auto link = links_.find(start.worker);
    if (link == links_.end()) continue;
    const auto run = link->second.runs.find(start.key);
    if (run == link->second.runs.end() || run->second.run != start.run) continue;
    if (run->second.phase != start_phase::to_send || run->second.stop_wanted) continue;
    const auto* j = table_.find(start.key.job);
    if (j == nullptr || j->ended()) continue;
    if (link->second.evacuated) {
      // The zone of the worker was listed after the request.
      withdraw_start(link->second, start.key, now);
      continue;
    }
    // A start renews the lease too.
    const bool answers = link->second.failed_looks == 0 && !link->second.restarts.in_doubt();
    if (answers && link->second.listing) {
      send_start(link->second, start.key, run->second, now);
    }
    if (run->second.phase == start_phase::to_send) blocked.push_back(start);
  }
  ready_starts_.insert(ready_starts_.begin(), blocked.begin(), blocked.end());
}

// The order may be lost: the same one again, unless the worker has had enough time.
void job_owner::repeat_start(worker_link& link, const task_key& key, placed_run& run,
                             time_point now) {
  const auto* j = table_.find(key.job);
  if (j == nullptr || j->ended()) return;
  if (link.evacuated) return stop_unanswered_start(link, key, run, now);
  if (now - run.progressed_at > timeouts_until_stop * answer_timeout()) {
    run.stop_wanted = true;
    run.tries = 0;
    run.next_try = now;
    return;
  }
  if (!start_retries_.try_retry()) {
    run.next_try = now + answer_timeout();
    return;
  }
  send_start(link, key, run, now);
}

void job_owner::send_stop(worker_link& link, const run_ref& run) {
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = stop_order{.run = run},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = options_.order_limit});
}

// Where filling tasks work beside serving ones, the tails are read more often. While the owner has
// more to send than it can, workers are asked half as often: looks are a part of the load.
duration job_owner::look_wait_of(const worker_link& link, time_point now) const {
  if (grants_.needs_workers(now)) return options_.needed_look_wait;
  const bool mixed = link.serving > 0 && link.fill_millicores > 0;
  const auto wait = mixed ? options_.mixed_look_wait : options_.look_wait;
  return window_.congested() ? 2 * wait : wait;
}

void job_owner::send_look(worker_link& link, time_point now) {
  const bool settled = link.recorded_end == link.seen_end;
  const bool known = !link.restarts.in_doubt();
  const bool answers = known && link.failed_looks == 0;
  const bool patient = settled && answers && link.last_contact.has_value();
  // A look without an answer may have been carried out: it would renew a lease that nobody can tell
  // to be over.
  const bool renew = answers && grants_.may_grant(now);
  if (renew) link.granted_at = now;
  const auto wait = patient ? look_wait_of(link, now) : duration{0};
  const auto answered_after = wait + answer_timeout();
  const auto patience = patient ? std::max(options_.look_timeout, answered_after) : answered_after;
  const auto forget_up_to = known ? link.end_cursor_to_send() : 0;
  link.open_polls[now] = {.answer_by = now + patience, .wait = wait, .forget_up_to = forget_up_to};
  orders_.push_back({.life = link.life,
                     .address = link.listing->address,
                     .order = look_order{.forget_up_to = forget_up_to,
                                         .lease_end = renew ? link.lease.extend(now, options_.lease)
                                                            : std::nullopt,
                                         .wait = wait},
                     .former_lives = link.former_lives,
                     .transfers = link.listing->transfers,
                     .timeout = patient ? wait + options_.look_limit : options_.order_limit});
}

void job_owner::send_due_orders(worker_link& link, time_point now) {
  if (!link.listing || fenced_) return;
  if (link.may_poll() && now >= link.next_look) send_look(link, now);
  for (auto& [key, run] : link.runs) {
    if (run.stop_answered || now < run.next_try) continue;
    // A start renews the lease too. In an evacuated zone it is stopped instead of repeated.
    const bool repeats = run.phase == start_phase::sent && link.failed_looks == 0 &&
                         !link.restarts.in_doubt() && (link.evacuated || grants_.may_grant(now));
    if (repeats && !run.stop_wanted) repeat_start(link, key, run, now);
    if (!run.stop_wanted || now < run.next_try) continue;
    run.next_try = now + std::min(next_gap(run), longest_stop_gap);
    // The job's steps are known as long as the job is, also after its end.
    const auto* j = table_.find(key.job);
    if (j != nullptr) send_stop(link, {.task = j->ref_of(key.index), .run = run.run});
  }
}

void job_owner::note_contact(worker_link& link, const std::optional<worker_clock>& clock,
                             time_point now) {
  link.last_contact = now;
  if (clock) link.lease.observe(*clock, now);
}

// An answer with a reading of another clock came from another life: no lease follows from it.
void job_owner::note_order_answer(worker_link& link, const order_answer& answer, time_point now) {
  if (!answer.clock) return;
  if (link.lease.is_of_another_clock(*answer.clock, now - answer.taken, now)) {
    doubt_life(link, "clock", now);
    return;
  }
  note_contact(link, answer.clock, now);
}

void job_owner::on_start_answer(const worker_life& life, const run_ref& ref,
                                const order_answer& answer, time_point now) {
  window_.on_ended(answer.taken);
  if (is_answered(answer.verdict)) {
    answers_.observe(answer.taken);
    start_retries_.on_first_attempt();
  }
  send_ready_starts(now);
  auto* link = link_of(life);
  if (link == nullptr) return;
  note_order_answer(*link, answer, now);
  const auto sent_at = now - answer.taken;
  if (is_answered(answer.verdict)) link->outlived = std::max(link->outlived, sent_at);
  task_key key;
  auto* run = run_of(*link, ref, key);
  if (run == nullptr) return;
  if (answer.verdict == order_verdict::unanswered) {
    run->starts.on_given_up(sent_at);
  } else {
    run->starts.on_answered(sent_at);
  }
  if (run->phase != start_phase::sent) return;
  stats_.until_answered.record(now - run->sent_at);
  if (answer.verdict != order_verdict::accepted) {
    log(severity::info,
        fmt::format("event=start_not_accepted {} worker={} verdict={}", log_text(ref),
                    log_value(life.worker.value), name_of(answer.verdict)));
  }
  const auto reject = [&](std::string_view reason) {
    ++stats_.rejected;
    // An earlier order for the run may still be carried out: a stop rules that out.
    if (run->starts.may_come(now)) return stop_run(*link, key, now);
    lose_run(*link, key, reason, now);
  };
  switch (answer.verdict) {
    case order_verdict::accepted:
      run->phase = start_phase::confirmed;
      run->confirmed_at = now;
      run->progressed_at = now;
      mark_started(*table_.find(key.job));
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
      link->backoff.on_rejection(now + options_.full_pause);
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
  if (answer.verdict == order_verdict::accepted) {
    run->stop_answered = now;
    return;
  }
  log(severity::info,
      fmt::format("event=stop_not_accepted {} worker={} verdict={} tries={}", log_text(ref),
                  log_value(life.worker.value), name_of(answer.verdict), run->tries));
  if (answer.verdict != order_verdict::unanswered) run->next_try = now + options_.order_retry;
}

void job_owner::pace_runs(worker_link& link, time_point now) {
  if (!link.listing) return;
  const auto last_tasks =
      options_.relocation.enabled() ? last_tasks_on(link, table_) : std::set<task_key>{};
  auto changes = pacing_changes(link, model_, {}, last_tasks, now);
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
                     .timeout = answer_timeout()});
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
