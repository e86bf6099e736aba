#include "coltsfoot/rack/worker_session.h"

#include <algorithm>
#include <utility>

namespace coltsfoot {
namespace {

bool is_over(attempt_state state) {
  return state != attempt_state::running && state != attempt_state::throttled;
}

resources larger_of(const resources& a, const resources& b) {
  return resources{.millicores = std::max(a.millicores, b.millicores),
                   .memory_mb = std::max(a.memory_mb, b.memory_mb),
                   .accelerators = std::max(a.accelerators, b.accelerators)};
}

}  // namespace

attempt_update rack_attempt::update(const worker_id& worker) const {
  return attempt_update{.attempt = id,
                        .worker = worker,
                        .state = state,
                        .lost = lost,
                        .started = started,
                        .limit = limit,
                        .reason = reason,
                        .result = result,
                        .checkpoint = checkpoint,
                        .peak_used = peak_used};
}

rack_attempt* worker_session::find(const attempt_id& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

resources worker_session::used() const {
  if (state_ != session_state::inventoried) return info_.capacity;
  resources sum;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.occupies()) sum += attempt.limit;
  }
  return sum;
}

bool worker_session::has_unconfirmed_start() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](const auto& item) {
    return item.second.stage == attempt_stage::reserved || item.second.stage == attempt_stage::sent;
  });
}

void worker_session::reserve(rack_attempt attempt) {
  attempt.stage = attempt_stage::reserved;
  attempts_.insert_or_assign(attempt.id, std::move(attempt));
  command_waits_ = true;
}

bool worker_session::request(const attempt_id& id, worker_command_kind kind, time_point now) {
  auto* attempt = find(id);
  if (attempt == nullptr || attempt->ended()) return false;
  const bool stop =
      kind == worker_command_kind::stop || kind == worker_command_kind::checkpoint_and_stop;
  if (attempt->stage == attempt_stage::reserved && stop) {
    withdraw(*attempt, "stopped before the start");
    return true;
  }
  // A stop is never replaced by something milder.
  if (attempt->wanted == worker_command_kind::stop) return false;
  if (attempt->stopping() && !stop) return false;
  if (kind == worker_command_kind::throttle) attempt->throttled_since = now;
  attempt->wanted = kind;
  command_waits_ = true;
  return false;
}

// The checkpoint that the attempt was to resume from is handed back, since nothing was done after
// it.
void worker_session::withdraw(rack_attempt& attempt, std::string_view reason) {
  attempt.stage = attempt_stage::gone;
  attempt.state = attempt_state::stopped;
  attempt.started = false;
  attempt.reason = reason;
  attempt.checkpoint = attempt.start_checkpoint;
  attempt.wanted.reset();
}

std::vector<attempt_id> worker_session::withdraw_unsent(std::string_view reason) {
  std::vector<attempt_id> withdrawn;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.stage != attempt_stage::reserved) continue;
    withdraw(attempt, reason);
    withdrawn.push_back(id);
  }
  return withdrawn;
}

bool worker_session::set_recorded(const attempt_id& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return false;
  found->second.recorded = true;
  if (found->second.stage == attempt_stage::gone) {
    attempts_.erase(found);
    return true;
  }
  return false;
}

bool worker_session::sync_due(time_point now) const {
  if (call_ || state_ == session_state::superseded) return false;
  const bool may_renew_unseen = unanswered_since_ && sent_at_ && *sent_at_ >= *unanswered_since_;
  if (may_renew_unseen && state_ != session_state::given_up &&
      now >= *unanswered_since_ + options_.silence_limit) {
    return false;
  }
  if (!tried_at_) return true;
  // Commands to a worker that does not answer wait for the interval too.
  if (command_waits_ && !unanswered_since_) return true;
  return now >= *tried_at_ + options_.sync_interval;
}

worker_sync_request worker_session::begin_sync(call_id call, const sync_stamp& stamp,
                                               bool send_starts, time_point now) {
  worker_sync_request request{.worker = info_.id,
                              .rack_epoch = stamp.rack_epoch,
                              .sequence = stamp.sequence,
                              .lease = options_.lease,
                              .commands = {},
                              .release = {}};
  sent_starts_.clear();
  for (auto& [id, attempt] : attempts_) {
    if (attempt.stage == attempt_stage::gone) continue;
    if (attempt.stage == attempt_stage::held && is_over(attempt.state)) {
      if (attempt.recorded) request.release.push_back(id);
      continue;
    }
    // A start is sent once. After an unknown result the next reply shows whether it took effect;
    // repeated, it could run a second time on a worker that ran it and was restarted since.
    if (attempt.stage == attempt_stage::reserved && send_starts && usable()) {
      sent_starts_.push_back(id);
      attempt.stage = attempt_stage::sent;
      request.commands.push_back(worker_command{.kind = worker_command_kind::start,
                                                .attempt = id,
                                                .spec = attempt.spec,
                                                .limit = attempt.limit,
                                                .checkpoint = attempt.start_checkpoint});
    }
    if (attempt.wanted && attempt.stage != attempt_stage::reserved) {
      request.commands.push_back(worker_command{
          .kind = *attempt.wanted, .attempt = id, .spec = {}, .limit = {}, .checkpoint = {}});
    }
  }
  call_ = call;
  sent_before_ = sent_at_;
  sent_at_ = now;
  tried_at_ = now;
  command_waits_ = false;
  return request;
}

session_changes worker_session::on_reply(const worker_sync_reply& reply, time_point now) {
  session_changes changes;
  call_.reset();
  sent_starts_.clear();
  if (reply.status == sync_status::stale_epoch) {
    changes.superseded = state_ != session_state::superseded;
    state_ = session_state::superseded;
    return changes;
  }
  unanswered_since_.reset();
  // A stale sequence means that a copy of this call was applied before; the next call tells what
  // the worker holds now.
  if (reply.status == sync_status::stale_sequence) return changes;
  changes.inventoried = state_ != session_state::inventoried;
  state_ = session_state::inventoried;
  reconcile(reply, changes, now);
  take_usage(reply.usage);
  return changes;
}

void worker_session::reconcile(const worker_sync_reply& reply, session_changes& changes,
                               time_point now) {
  std::set<attempt_id> held;
  for (const auto& item : reply.held) {
    held.insert(item.attempt);
    take_held(item, changes, now);
  }
  for (auto next = attempts_.begin(); next != attempts_.end();) {
    auto& attempt = next->second;
    if (!held.contains(next->first) && take_missing(attempt, changes)) {
      changes.erased.push_back(next->first);
      next = attempts_.erase(next);
    } else {
      ++next;
    }
  }
}

void worker_session::take_held(const held_attempt& held, session_changes& changes, time_point now) {
  const auto [found, added] = attempts_.try_emplace(held.attempt);
  auto& attempt = found->second;
  const bool changed = added || attempt.state != held.state;
  if (held.state == attempt_state::throttled && attempt.state != held.state) {
    attempt.throttled_since = now;
  }
  attempt.stage = attempt_stage::held;
  attempt.state = held.state;
  if (added) {
    attempt.id = held.attempt;
    attempt.spec = held.spec;
    attempt.limit = held.limit;
    changes.adopted.push_back(held.attempt);
  }
  if (is_over(held.state)) attempt.wanted.reset();
  // What was reported as lost stays so, since its task may run elsewhere by now.
  if (attempt.lost) {
    if (!is_over(held.state)) attempt.wanted = worker_command_kind::stop;
    return;
  }
  attempt.started = held.started;
  attempt.reason = held.reason;
  attempt.result = held.result;
  attempt.checkpoint = held.checkpoint;
  clear_satisfied(attempt);
  if (changed && !attempt.recorded) changes.changed.push_back(held.attempt);
}

// Takes an attempt that an accepted reply did not list. Older calls are fenced off by it, so that
// the attempt can't be on the worker any more. Returns whether nothing is left to keep.
bool worker_session::take_missing(rack_attempt& attempt, session_changes& changes) {
  if (attempt.stage == attempt_stage::reserved || attempt.stage == attempt_stage::gone) {
    return false;
  }
  const bool was_ended = attempt.ended();
  attempt.stage = attempt_stage::gone;
  attempt.wanted.reset();
  if (attempt.recorded) return true;
  if (was_ended) return false;
  // It may have run on a worker that was restarted since.
  attempt.lost = true;
  attempt.reason = "not held by the worker any more";
  changes.changed.push_back(attempt.id);
  return false;
}

void worker_session::clear_satisfied(rack_attempt& attempt) {
  const auto satisfied = attempt.state == attempt_state::throttled
                             ? worker_command_kind::throttle
                             : worker_command_kind::unthrottle;
  if (attempt.wanted == satisfied) attempt.wanted.reset();
}

void worker_session::take_usage(const std::vector<usage_report>& usage) {
  for (const auto& report : usage) {
    auto* attempt = find(report.attempt);
    if (attempt == nullptr) continue;
    attempt->peak_used = larger_of(attempt->peak_used, report.used);
    if (report.measured_at < attempt->measured_at) continue;
    attempt->measured_at = report.measured_at;
    attempt->slowdown = report.slowdown;
  }
}

void worker_session::on_failure(platform_failure failure, time_point now) {
  call_.reset();
  if (!unanswered_since_) unanswered_since_ = tried_at_.value_or(now);
  if (failure == platform_failure::not_reached) {
    sent_at_ = sent_before_;
    for (const auto& id : sent_starts_) {
      auto* attempt = find(id);
      if (attempt != nullptr && attempt->stage == attempt_stage::sent) {
        attempt->stage = attempt_stage::reserved;
      }
    }
  }
  sent_starts_.clear();
}

bool worker_session::give_up_due(time_point former_owners_until, time_point now) const {
  if (state_ == session_state::given_up || state_ == session_state::superseded) return false;
  if (call_ || !unanswered_since_) return false;
  // The limit gives a worker that restarts or is reachable again the time to answer.
  if (now < *unanswered_since_ + options_.silence_limit) return false;
  const auto rest = options_.lease + options_.lease_margin;
  if (sent_at_ && now < *sent_at_ + rest) return false;
  return state_ != session_state::unknown || now >= former_owners_until + rest;
}

session_changes worker_session::give_up() {
  session_changes changes;
  state_ = session_state::given_up;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.ended()) continue;
    changes.changed.push_back(id);
    if (attempt.stage == attempt_stage::reserved) {
      withdraw(attempt, "worker does not answer");
      continue;
    }
    attempt.lost = true;
    attempt.reason = "worker does not answer";
    attempt.wanted = worker_command_kind::stop;
  }
  return changes;
}

}  // namespace coltsfoot
