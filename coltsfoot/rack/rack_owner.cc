#include "coltsfoot/rack/rack_owner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/hash.h"
#include "coltsfoot/base/log_text.h"

namespace coltsfoot {

rack_owner::rack_owner(rack_owner_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      fence_(options_.fence_limit),
      floors_(options_.floors),
      eviction_(options_.eviction),
      quarantine_(options_.quarantine),
      interference_(options_.interference),
      reporter_(options_.reports),
      requests_(options_.requests) {}

void rack_owner::apply(const record& entry, time_point, unit_context&) {
  if (const auto* added = std::get_if<roster_add_record>(&entry)) {
    const auto& worker = added->worker;
    adding_.erase(worker.id);
    const session_options session{.lease = options_.lease,
                                  .lease_margin = options_.lease_margin,
                                  .sync_interval = options_.sync_interval,
                                  .silence_limit = options_.confirmation_period};
    const auto [found, fresh] = sessions_.try_emplace(worker.id, worker, session);
    if (!fresh) found->second.set_info(worker);
  } else if (const auto* removed = std::get_if<roster_remove_record>(&entry)) {
    removing_.erase(removed->worker);
    const auto found = sessions_.find(removed->worker);
    if (found == sessions_.end()) return;
    for (const auto& [id, attempt] : found->second.attempts()) {
      index_.erase(id);
      reporter_.forget(id);
    }
    sessions_.erase(found);
    recovering_.erase(removed->worker);
    quarantine_.forget(removed->worker);
    eviction_.forget(removed->worker);
  }
}

std::vector<record> rack_owner::snapshot_records() const {
  std::vector<record> records;
  records.reserve(sessions_.size());
  for (const auto& [id, session] : sessions_) {
    records.emplace_back(roster_add_record{.worker = session.info()});
  }
  return records;
}

void rack_owner::start_owning(epoch unit_epoch, time_point now, unit_context& context) {
  owning_ = true;
  epoch_ = unit_epoch;
  owning_since_ = now;
  if (!context.predecessor_drained) {
    // The former owner may send requests until it notices, and each may run for `longest_call`.
    requests_.hold_until(now + options_.confirmation_period + options_.requests.longest_call);
  }
  for (const auto& [id, session] : sessions_) recovering_.insert(id);
  context.out.count("rack_takeovers_total");
  context.out.log(severity::info,
                  fmt::format("event=rack_owned rack={} epoch={} roster={}",
                              log_value(options_.rack.value), epoch_, sessions_.size()));
}

void rack_owner::on_dropped(const record& entry, time_point, unit_context&) {
  if (const auto* added = std::get_if<roster_add_record>(&entry)) adding_.erase(added->worker.id);
  if (const auto* removed = std::get_if<roster_remove_record>(&entry)) {
    removing_.erase(removed->worker);
  }
}

void rack_owner::on_ownership_lost(time_point, unit_context& context) {
  for (const auto& waiting : std::exchange(waiting_, {})) {
    context.out.push(send_peer_reply{.call = waiting.call,
                                     .reply = place_task_reply{.status = place_status::not_owner}});
  }
  requests_.refuse_queued(refusal_reason::not_owner, context);
  owning_ = false;
}

void rack_owner::on_tick(time_point now, unit_context& context) {
  if (!owning_) return;
  if (!roster_read_ || now >= *roster_read_ + options_.roster_interval) {
    roster_read_ = now;
    read_roster(context);
  }
  update_leaving(now, context);
  give_up_silent(now, context);
  decide_waiting(now, context);
  evict(now, context);
  watch_customers(context);
  sync_workers(now, context);
  send_reports(now, context);
  update_backends();
  requests_.on_tick(now, context);
}

bool rack_owner::drain(time_point now, unit_context& context) {
  if (!draining_) {
    draining_ = true;
    decide_waiting(now, context);
    requests_.refuse_queued(refusal_reason::shutting_down, context);
  }
  const bool syncing = std::any_of(sessions_.begin(), sessions_.end(),
                                   [](const auto& item) { return item.second.sync_in_flight(); });
  return requests_.in_progress() == 0 && !syncing && !has_unconfirmed_starts();
}

unit_entry rack_owner::describe(time_point now) const {
  unit_entry entry;
  entry.ready = recovered() && !draining_;
  double lowest_share = 2.0;
  for (const auto& [id, session] : sessions_) {
    if (!takes_work(session)) continue;
    const auto& capacity = session.info().capacity;
    const auto used = session.used();
    entry.total_capacity += capacity;
    entry.total_free += capacity - used;
    const double share = dominant_share(used, capacity);
    if (share >= lowest_share) continue;
    lowest_share = share;
    entry.largest_free = capacity - used;
  }
  entry.pressure = pressure(now);
  entry.services = requests_.room();
  return entry;
}

// --- Roster ---

void rack_owner::read_roster(unit_context& context) {
  // An empty list was not read yet; the workers of the roster stay as they were.
  if (context.hosts.workers.empty()) return;
  listed_.clear();
  marked_by_list_.clear();
  for (const auto& worker : context.hosts.workers) {
    if (worker.rack != options_.rack) continue;
    listed_.insert(worker.id);
    if (worker.leaving) marked_by_list_.insert(worker.id);
    const auto found = sessions_.find(worker.id);
    if (found != sessions_.end()) {
      found->second.set_info(worker);
    } else {
      add_listed(worker, context);
    }
  }
  for (const auto& [id, session] : sessions_) {
    if (!listed_.contains(id)) remove_unlisted(session, context);
  }
}

void rack_owner::add_listed(const worker_info& worker, unit_context& context) {
  const bool leaving = worker.leaving || context.config.leaving.contains(worker.id.value);
  if (leaving || draining_ || !context.log_available || adding_.contains(worker.id)) return;
  adding_.insert(worker.id);
  context.append.emplace_back(roster_add_record{.worker = worker});
}

// A worker holds nothing if it says so, or if its leases are past and all ends are recorded.
void rack_owner::remove_unlisted(const worker_session& session, unit_context& context) {
  const auto& id = session.info().id;
  if (draining_ || !context.log_available || removing_.contains(id)) return;
  if (session.sync_in_flight()) return;
  const auto& attempts = session.attempts();
  const bool recorded = std::all_of(attempts.begin(), attempts.end(), [](const auto& item) {
    return item.second.recorded && item.second.ended();
  });
  const bool empty = session.usable() && attempts.empty();
  const bool expired = session.state() == session_state::given_up && recorded;
  if (!empty && !expired) return;
  removing_.insert(id);
  context.append.emplace_back(roster_remove_record{.worker = id});
}

void rack_owner::update_leaving(time_point now, unit_context& context) {
  leaving_.clear();
  for (auto& [id, session] : sessions_) {
    if (marked_by_list_.contains(id) || context.config.leaving.contains(id.value)) {
      leaving_.insert(id);
    }
    if (leaving_.contains(id) || !listed_.contains(id)) {
      end_attempts(session.withdraw_unsent("worker is leaving"), now, context);
    }
  }
}

bool rack_owner::takes_work(const worker_session& session) const {
  const auto& id = session.info().id;
  return owning_ && session.usable() && listed_.contains(id) && !leaving_.contains(id) &&
         !removing_.contains(id);
}

void rack_owner::update_backends() {
  std::vector<worker_info> usable;
  std::string signature;
  for (const auto& [id, session] : sessions_) {
    if (!takes_work(session)) continue;
    usable.push_back(session.info());
    signature += id.value + '\n';
    for (const auto& backend : session.info().backends) {
      signature += fmt::format("{} {} {} {} {}\n", backend.id.value, backend.service.value,
                               backend.address, backend.slots, backend.connections);
    }
  }
  const auto hash = stable_hash(signature);
  if (hash == std::exchange(backends_hash_, hash)) return;
  requests_.set_workers(usable);
}

// --- Synchronisation ---

bool rack_owner::has_unconfirmed_starts() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& item) {
    return item.second.usable() && item.second.has_unconfirmed_start();
  });
}

void rack_owner::sync_workers(time_point now, unit_context& context) {
  if (!owning_ || !context.may_act) return;
  // A drained owner sends no more syncs, so that none is in flight when the unit is released.
  if (draining_ && requests_.in_progress() == 0 && !has_unconfirmed_starts()) return;
  update_leaving(now, context);
  std::vector<worker_session*> due;
  for (auto& [id, session] : sessions_) {
    if (session.sync_due(now) && !removing_.contains(id)) due.push_back(&session);
  }
  // The order varies so that the same workers are not always last when the node is busy.
  std::shuffle(due.begin(), due.end(), random_);
  for (auto* session : due) send_sync(*session, now, context);
}

void rack_owner::send_sync(worker_session& session, time_point now, unit_context& context) {
  const auto call = context.out.new_call();
  const sync_stamp stamp{.rack_epoch = epoch_, .sequence = ++sequence_};
  context.out.push(sync_worker{.call = call,
                               .address = session.info().address,
                               .request = session.begin_sync(call, stamp, takes_work(session), now),
                               .timeout = options_.sync_timeout});
  context.out.count("rack_syncs_total");
}

void rack_owner::on_worker_synced(call_id call,
                                  const tl::expected<worker_sync_reply, platform_failure>& reply,
                                  time_point now, unit_context& context) {
  if (!owning_) return;
  const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                  [call](const auto& item) { return item.second.owns_call(call); });
  if (found == sessions_.end()) return;
  auto& session = found->second;
  if (!reply) {
    session.on_failure(reply.error(), now);
    context.out.count("rack_sync_failures_total");
    return;
  }
  const auto changes = session.on_reply(*reply, now);
  if (changes.superseded) {
    context.out.count("rack_workers_superseded_total");
    context.out.log(
        severity::warning,
        fmt::format("event=worker_obeys_newer_epoch rack={} worker={} epoch={} newer={}",
                    log_value(options_.rack.value), log_value(found->first.value), epoch_,
                    reply->rack_epoch));
  }
  if (reply->status == sync_status::stale_sequence) {
    context.out.count("rack_stale_sequences_total");
  }
  take_changes(session, changes, now, context);
  if (reply->status == sync_status::accepted) {
    learn_interference(session, *reply, now);
    check_recovered(found->first, context);
  }
  sync_workers(now, context);
  send_reports(now, context);
}

void rack_owner::give_up_silent(time_point now, unit_context& context) {
  // Without a confirmed ownership, another owner may be renewing the leases.
  if (!context.may_act) return;
  for (auto& [id, session] : sessions_) {
    if (!session.give_up_due(owning_since_ + options_.confirmation_period, now)) continue;
    const auto changes = session.give_up();
    context.out.count("rack_workers_given_up_total");
    context.out.log(
        severity::warning,
        fmt::format("event=worker_given_up rack={} worker={} lost={}",
                    log_value(options_.rack.value), log_value(id.value), changes.changed.size()));
    take_changes(session, changes, now, context);
    check_recovered(id, context);
  }
}

void rack_owner::take_changes(worker_session& session, const session_changes& changes,
                              time_point now, unit_context& context) {
  const auto& worker = session.info().id;
  for (const auto& id : changes.adopted) {
    index_[id] = worker;
    fence_.accept_epoch(id.customer, id.attempt.customer_epoch);
    if (!fence_.closed(id)) continue;
    // Its end was reported before, or it was refused: it must not go on.
    session.request(id, worker_command_kind::stop, now);
    session.find(id)->recorded = true;
  }
  for (const auto& id : changes.changed) {
    const auto* attempt = session.find(id);
    if (attempt == nullptr || attempt->recorded) continue;
    if (attempt->ended()) note_end(worker, *attempt, now, context);
    reporter_.mark(id, attempt->ended());
  }
  for (const auto& id : changes.erased) {
    index_.erase(id);
    reporter_.forget(id);
  }
}

void rack_owner::note_end(const worker_id& worker, const rack_attempt& attempt, time_point now,
                          unit_context& context) {
  fence_.close(attempt.id);
  const worker_quarantine::task_key key{attempt.id.customer, attempt.id.task};
  if (attempt.lost) {
    context.out.count("rack_attempts_lost_total");
    quarantine_.on_inconclusive(worker, key);
  } else if (attempt.state == attempt_state::finished) {
    context.out.count("rack_attempts_finished_total");
    quarantine_.on_success(worker, key);
  } else if (attempt.state == attempt_state::failed) {
    context.out.count("rack_attempts_failed_total");
    if (!quarantine_.on_failure(worker, key, now)) return;
    context.out.count("rack_quarantines_total");
    context.out.log(severity::warning,
                    fmt::format("event=worker_quarantined rack={} worker={} task={} reason={}",
                                log_value(options_.rack.value), log_value(worker.value),
                                log_value(attempt.id.task.value), log_value(attempt.reason)));
  } else {
    context.out.count("rack_attempts_stopped_total");
    quarantine_.on_inconclusive(worker, key);
  }
}

void rack_owner::learn_interference(worker_session& session, const worker_sync_reply& reply,
                                    time_point now) {
  for (const auto& report : reply.usage) {
    const auto* attempt = session.find(report.attempt);
    // Throttling slows a task down without any interference.
    if (attempt == nullptr || attempt->state == attempt_state::throttled) continue;
    interference_.observe(attempt->spec.interference_class, report.neighbour_classes,
                          report.slowdown, now);
  }
}

void rack_owner::check_recovered(const worker_id& worker, unit_context& context) {
  if (recovering_.erase(worker) == 0 || !recovering_.empty()) return;
  context.out.log(severity::info,
                  fmt::format("event=rack_recovered rack={} epoch={} attempts={}",
                              log_value(options_.rack.value), epoch_, index_.size()));
}

}  // namespace coltsfoot
