#include "coltsfoot/ownership/owned_stream_base.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

// An owner reads this often per confirmation period, so that one lost read doesn't stop it.
constexpr int reads_per_confirmation = 3;
// A snapshot is due when the oldest needed record is older than this part of the retention time.
constexpr int snapshots_per_retention = 3;

// Records that the stream writes by itself; the unit never sees them.
bool is_stream_record(const record& r) {
  return std::holds_alternative<claim_record>(r) || std::holds_alternative<release_record>(r) ||
         std::holds_alternative<snapshot_begin_record>(r);
}

ownership_phase initial_phase(const state_chart& chart) {
  return parse_name<ownership_phase>(chart.initial()).value_or(ownership_phase::idle);
}

}  // namespace

owned_stream_base::owned_stream_base(owned_stream_options options)
    : options_(std::move(options)),
      replica_(options_.self),
      writer_({.self = options_.self, .max_batch_bytes = options_.max_batch_bytes}),
      phase_(initial_phase(*options_.chart)) {}

// --- Entry points ---

void owned_stream_base::on_tick(time_point now, const env& e) {
  note_time(now);
  if (is_owner()) {
    call_unit(now, e, [&](unit_context& ctx) { unit_tick(now, ctx); });
  }
  continue_release(now, e);
  flush(now, e);
}

void owned_stream_base::on_log_read(const log_read& result, time_point now, const env& e) {
  note_time(now);
  if (!read_ || read_->call != result.call) return;
  const time_point sent_at = read_->sent_at;
  read_.reset();
  log_failed_ = !result.page.has_value();
  if (!result.page) {
    retry_not_before_ = now + options_.retry_interval;
    read_requested_ = true;
    // The decision to claim grows old while the log can't be read; it has to be made again.
    if (phase_ == ownership_phase::claiming && !claim_queued_) transition("claim_not_written", e);
  } else if (read_sent_generation_ == read_generation_ && accept_page(*result.page, now, e)) {
    confirm(sent_at);
  }
  flush(now, e);
}

void owned_stream_base::on_log_appended(const log_appended& result, time_point now, const env& e) {
  note_time(now);
  if (!append_ || append_->call != result.call) return;
  append_.reset();
  if (!result.offset) retry_not_before_ = now + options_.retry_interval;
  if (result.offset || result.offset.error() == log_failure::unavailable) {
    log_failed_ = !result.offset.has_value();
  }
  const append_settled settled = writer_.on_appended(result.offset, replica_.next());
  if (settled.claim_not_written) {
    claim_basis_.reset();
    claim_queued_ = false;
    transition("claim_not_written", e);
  }
  drop(settled.dropped, now, e);
  if (settled.apply_now) {
    const auto events = replica_.apply_own(*writer_.pending());
    advance_writer(false);
    handle_events(events, now, e);
  }
  flush(now, e);
}

void owned_stream_base::follow(time_point now, const env& e) {
  if (phase_ != ownership_phase::idle || !transition("follow", e)) return;
  read_requested_ = true;
  flush(now, e);
}

void owned_stream_base::stop_following(time_point now, const env& e) {
  if (phase_ == ownership_phase::idle || !transition("stop", e)) return;
  note_time(now);
  forget_state();
  read_requested_ = false;
}

void owned_stream_base::request_claim(time_point now, const env& e) {
  if (phase_ == ownership_phase::claiming || !transition("claim", e)) return;
  claim_basis_ = view_.unit_epoch;
  claim_queued_ = false;
  // The decision may rest on an old read; claim from the end of the stream.
  read_requested_ = true;
  caught_up_ = false;
  flush(now, e);
}

void owned_stream_base::request_release(node_id successor, time_point now, const env& e) {
  if (phase_ == ownership_phase::releasing || !transition("release", e)) return;
  successor_ = std::move(successor);
  release_queued_ = false;
  continue_release(now, e);
  flush(now, e);
}

void owned_stream_base::flush(time_point now, const env& e) {
  note_time(now);
  drop_rejected(now, e);
  queue_claim_if_due(e);
  begin_snapshot_if_due(now, e);
  e.out.set_origin({.module = core_module::unit_log, .unit = options_.unit});
  send_append_if_due(now, e);
  send_read_if_due(now, e);
}

// --- Confirmation ---

void owned_stream_base::note_time(time_point now) {
  if (last_call_ && now - *last_call_ > options_.confirmation_period) {
    fresh_after_ = now;
    read_requested_ = true;
  }
  last_call_ = now;
}

void owned_stream_base::confirm(time_point sent_at) {
  if (!is_owner() || !caught_up_) return;
  if (!last_confirmed_ || *last_confirmed_ < sent_at) last_confirmed_ = sent_at;
  if (fresh_after_ && sent_at >= *fresh_after_) fresh_after_.reset();
}

bool owned_stream_base::log_available(time_point now) const {
  const auto stalled = [&](const std::optional<outstanding_call>& call) {
    return call && now - call->sent_at > options_.stall_after;
  };
  return !log_failed_ && !stalled(read_) && !stalled(append_);
}

bool owned_stream_base::may_act(time_point now, const env& e) const {
  // Once the release may be written, a successor may own the unit.
  if (!is_owner() || release_queued_ || !last_confirmed_ || fresh_after_) return false;
  if (last_call_ && now - *last_call_ > options_.confirmation_period) return false;
  if (now - *last_confirmed_ < options_.confirmation_period) return true;
  return e.peers_say_log_is_down && !log_available(now);
}

// --- The unit ---

unit_context owned_stream_base::begin_unit_call(std::vector<record>& appended, time_point now,
                                                const env& e) {
  note_time(now);
  e.out.set_origin({.module = core_module::unit, .unit = options_.unit});
  return {.out = e.out,
          .append = appended,
          .config = e.config,
          .hosts = e.hosts,
          .directory = e.directory,
          .log_available = log_available(now),
          .may_act = may_act(now, e),
          .predecessor_drained = predecessor_drained_,
          .wall = e.wall};
}

void owned_stream_base::end_unit_call(std::vector<record> appended) {
  if (is_owner() && !release_queued_) {
    writer_.enqueue(std::move(appended));
  } else {
    std::move(appended.begin(), appended.end(), std::back_inserter(rejected_));
  }
}

void owned_stream_base::drop(const std::vector<record>& records, time_point now, const env& e) {
  for (const record& r : records) {
    if (std::holds_alternative<release_record>(r)) release_queued_ = false;
    if (is_stream_record(r)) continue;
    e.out.count("unit_log_records_dropped_total");
    call_unit(now, e, [&](unit_context& ctx) { unit_dropped(r, now, ctx); });
  }
}

void owned_stream_base::drop_rejected(time_point now, const env& e) {
  drop(std::exchange(rejected_, {}), now, e);
  // What a unit appends while it is told that it can't append is not offered again.
  rejected_.clear();
}

// --- Reading ---

bool owned_stream_base::accept_page(const log_page& page, time_point now, const env& e) {
  const auto gaps = replica_.gaps();
  const auto malformed = replica_.malformed_entries();
  const auto next = replica_.next();
  const auto events = replica_.read(page);
  caught_up_ = replica_.caught_up();
  if (const auto count = replica_.malformed_entries() - malformed; count > 0) {
    e.out.count("unit_log_malformed_entries_total", count);
    e.out.log(severity::error, fmt::format("event=unit_log_malformed unit={} count={}",
                                           log_value(options_.unit.value), count));
  }
  if (replica_.gaps() != gaps) {
    e.out.count("unit_log_gaps_total");
    e.out.log(severity::warning,
              fmt::format("event=unit_log_trimmed unit={} position={} first_retained={}",
                          log_value(options_.unit.value), next, page.first_retained));
    if (is_owner()) {
      // A claim may stand in what was trimmed, so the epoch can't be trusted any more.
      lose_ownership("lost", false, now, e);
      return false;
    }
  }
  if (!caught_up_) {
    read_requested_ = true;
    if (replica_.next() == next) retry_not_before_ = now + options_.retry_interval;
  }
  advance_writer(caught_up_);
  return handle_events(events, now, e);
}

void owned_stream_base::advance_writer(bool at_end) {
  writer_.on_replica_advanced(replica_.own_sequence(), replica_.next(), at_end);
}

bool owned_stream_base::handle_events(const std::vector<stream_event>& events, time_point now,
                                      const env& e) {
  const auto generation = read_generation_;
  for (const stream_event& event : events) {
    if (std::holds_alternative<reset_state>(event)) {
      remake_unit();
    } else if (const auto* applied = std::get_if<apply_record>(&event)) {
      call_unit(now, e, [&](unit_context& ctx) { unit_apply(applied->entry, now, ctx); });
    } else {
      handle_owner(std::get<owner_changed>(event), now, e);
    }
    // The state was given up; the remaining events are read again.
    if (generation != read_generation_) return false;
  }
  return true;
}

void owned_stream_base::handle_owner(const owner_changed& event, time_point now, const env& e) {
  const epoch held = view_.unit_epoch;
  if (event.unit_epoch > view_.unit_epoch) {
    predecessor_drained_ = view_.released || view_.unit_epoch == 0;
  }
  if (event.unit_epoch >= view_.unit_epoch) view_ = event;
  if (is_owner()) {
    if (event.unit_epoch != held) {
      lose_ownership("lost", true, now, e);
    } else if (event.released) {
      lose_ownership("released", true, now, e);
    }
  } else if (phase_ == ownership_phase::claiming && claim_queued_ &&
             event.unit_epoch != *claim_basis_) {
    writer_.finish_claim();
    claim_queued_ = false;
    claim_basis_.reset();
    if (event.owner == options_.self) {
      become_owner(now, e);
    } else {
      transition("claim_lost", e);
    }
  }
}

// --- Ownership ---

bool owned_stream_base::transition(std::string_view event, const env& e) {
  const auto next = next_state(*options_.chart, phase_, event);
  if (!next) {
    e.out.count("ownership_undefined_transitions_total");
    e.out.log(
        severity::warning,
        fmt::format("event=undefined_transition chart=ownership unit={} state={} transition={}",
                    log_value(options_.unit.value), name_of(phase_), event));
    return false;
  }
  e.out.log(severity::info,
            fmt::format("event=ownership unit={} from={} transition={} to={} epoch={} owner={}",
                        log_value(options_.unit.value), name_of(phase_), event, name_of(*next),
                        view_.unit_epoch, log_value_or_none(view_.owner.node.value)));
  phase_ = *next;
  return true;
}

void owned_stream_base::become_owner(time_point now, const env& e) {
  if (!transition("claim_won", e)) return;
  last_confirmed_.reset();
  release_queued_ = false;
  snapshot_wanted_ = false;
  read_requested_ = true;  // the unit may act after the first read that shows no newer claim
  if (replica_.waiting_for_snapshot()) {
    e.out.count("unit_log_history_lost_total");
    e.out.log(severity::error, fmt::format("event=history_lost unit={} epoch={}",
                                           log_value(options_.unit.value), view_.unit_epoch));
    handle_events(replica_.accept_lost_history(), now, e);
    snapshot_wanted_ = true;
  }
  call_unit(now, e, [&](unit_context& ctx) { unit_start_owning(view_.unit_epoch, now, ctx); });
}

void owned_stream_base::lose_ownership(std::string_view event, bool sent_is_void, time_point now,
                                       const env& e) {
  if (!transition(event, e)) return;
  release_queued_ = false;
  const auto abandoned = writer_.abandon();
  if (sent_is_void) drop(abandoned.sent, now, e);
  drop(abandoned.unsent, now, e);
  call_unit(now, e, [&](unit_context& ctx) { unit_lost(now, ctx); });
  rejected_.clear();
  last_confirmed_.reset();
  forget_state();
  read_requested_ = true;
}

void owned_stream_base::forget_state() {
  ++read_generation_;
  replica_ = stream_replica{options_.self, view_};
  caught_up_ = false;
  remake_unit();
}

void owned_stream_base::continue_release(time_point now, const env& e) {
  if (phase_ != ownership_phase::releasing || release_queued_) return;
  bool drained = false;
  call_unit(now, e, [&](unit_context& ctx) { drained = unit_drain(now, ctx); });
  if (!drained || !writer_.empty()) return;
  writer_.enqueue({release_record{.successor = successor_}});
  release_queued_ = true;
}

// --- Sending ---

void owned_stream_base::queue_claim_if_due(const env& e) {
  if (phase_ != ownership_phase::claiming || claim_queued_ || !caught_up_ || !writer_.empty()) {
    return;
  }
  if (replica_.owner().unit_epoch != *claim_basis_) {
    // Another node claimed since the decision; it has to be made again.
    claim_basis_.reset();
    transition("claim_lost", e);
    return;
  }
  writer_.enqueue_claim(*claim_basis_);
  claim_queued_ = true;
}

void owned_stream_base::begin_snapshot_if_due(time_point now, const env& e) {
  if (!is_owner() || release_queued_ || writer_.in_flight() || writer_.writing_snapshot() ||
      !log_available(now)) {
    return;
  }
  const auto basis = replica_.basis_written_at();
  const bool old = basis && e.wall - *basis > options_.retention / snapshots_per_retention;
  if (!snapshot_wanted_ && !old) return;
  snapshot_wanted_ = false;
  auto records = unit_snapshot();
  e.out.log(severity::info,
            fmt::format("event=snapshot unit={} epoch={} records={}",
                        log_value(options_.unit.value), view_.unit_epoch, records.size()));
  writer_.enqueue_snapshot(++snapshots_, std::move(records));
}

void owned_stream_base::send_append_if_due(time_point now, const env& e) {
  if (append_ || (retry_not_before_ && now < *retry_not_before_)) return;
  const record_batch* batch = writer_.next_batch(replica_.owner().unit_epoch, e.wall);
  if (batch == nullptr) return;
  append_ = outstanding_call{.call = e.out.new_call(), .sent_at = now};
  e.out.push(append_log{
      .call = append_->call, .stream = options_.unit.value, .payload = encode_msgpack(*batch)});
}

duration owned_stream_base::current_read_interval() const {
  return is_owner() ? options_.confirmation_period / reads_per_confirmation
                    : options_.read_interval;
}

void owned_stream_base::send_read_if_due(time_point now, const env& e) {
  if (read_ || phase_ == ownership_phase::idle) return;
  if (retry_not_before_ && now < *retry_not_before_) return;
  const bool due = !last_read_sent_ || now - *last_read_sent_ >= current_read_interval();
  if (!due && !read_requested_ && !writer_.needs_read()) return;
  read_requested_ = false;
  last_read_sent_ = now;
  read_sent_generation_ = read_generation_;
  read_ = outstanding_call{.call = e.out.new_call(), .sent_at = now};
  e.out.push(read_log{.call = read_->call,
                      .stream = options_.unit.value,
                      .from = replica_.next(),
                      .max_entries = options_.max_read_entries});
}

}  // namespace coltsfoot
