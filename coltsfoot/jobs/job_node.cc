#include "coltsfoot/jobs/job_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/hash.h"
#include "coltsfoot/base/log_text.h"

namespace coltsfoot::jobs {
namespace {

// Number of the first append of an owner. Claims of several nodes with one fence must differ in it:
// the store takes a claim with the number of another for its repetition, and confirms it.
std::uint64_t first_sequence(std::uint64_t life, std::uint64_t claims) {
  constexpr std::uint64_t range = 1'000'000'000;
  return stable_hash(std::to_string(life), std::to_string(claims)) % range;
}

}  // namespace

job_node::job_node(job_node_options options, time_point now, log_sink log)
    : options_(std::move(options)),
      log_(std::move(log)),
      now_(now),
      last_event_(now),
      owner_seen_(now),
      jobs_(options_.jobs_topic),
      configuration_(options_.config_topic),
      workers_(options_.workers_topic) {}

void job_node::log(severity level, const std::string& text) const {
  if (log_) log_(level, text);
}

std::vector<node_command> job_node::handle(node_event event, time_point now, wall_time wall) {
  std::deque<node_event> events;
  events.push_back(std::move(event));
  return handle_all(std::move(events), now, wall);
}

std::vector<node_command> job_node::handle_all(std::deque<node_event> events, time_point now,
                                               wall_time wall) {
  now_ = now;
  wall_ = wall;
  if (owner_ && now - last_event_ > options_.pause_limit) step_down("paused");
  last_event_ = now;
  for (auto& event : events) {
    std::visit([this](auto&& e) { on(std::forward<decltype(e)>(e)); }, std::move(event));
  }
  if (!ended_) {
    claim_if_due();
    run_owner();
    send_caller_appends();
    read_topics();
    update_ready();
  }
  return std::exchange(commands_, {});
}

void job_node::on(const time_passed& /*event*/) {
  expire_caller_appends();
  if (owner_) owner_->tick(now_, wall_);
  shut_down_when_due();
}

void job_node::on(const start_answered& event) {
  if (owner_) owner_->on_start_answer(event.life, event.run, event.answer, now_);
}

void job_node::on(const stop_answered& event) {
  if (owner_) owner_->on_stop_answer(event.life, event.run, event.answer, now_);
}

void job_node::on(const pace_answered& event) {
  if (owner_) owner_->on_pace_answer(event.life, event.run, event.answer);
}

void job_node::on(const look_answered& event) {
  if (owner_) owner_->on_look_answer(event.life, event.answer, event.sent_at, now_);
}

void job_node::on(const append_ended& event) {
  if (event.verdict == append_verdict::recorded) {
    store_contact_ = now_;
  } else {
    ++stats_.appends_failed;
  }
  if (event.call == caller_append_call_) return on_caller_append_ended(event.verdict);
  if (event.call == claim_call_) return on_claim_ended(event.verdict);
  if (event.call == owner_append_call_) return on_owner_append_ended(event.verdict);
}

// --- Topics ---

void job_node::read_topics() {
  const auto read = [this](topic_follower& follower, store_topic topic) {
    if (auto request = follower.next_request(now_)) {
      push(read_topic{.call = new_call(), .topic = topic, .request = std::move(*request)});
    }
  };
  read(jobs_, store_topic::jobs);
  read(configuration_, store_topic::configuration);
  if (owner_) read(workers_, store_topic::workers);
}

void job_node::on(topic_read event) {
  auto& follower = event.topic == store_topic::jobs            ? jobs_
                   : event.topic == store_topic::configuration ? configuration_
                                                               : workers_;
  if (const auto* failed = std::get_if<read_failed>(&event.page)) {
    if (failed->history_gone) {
      log(severity::warning, fmt::format("event=history_gone topic={} offset={}",
                                         name_of(event.topic), follower.position()));
      return follower.on_history_gone(now_);
    }
    ++stats_.reads_failed;
    const bool was_healthy = follower.healthy_since().has_value();
    if (was_healthy) {
      log(severity::warning, fmt::format("event=store_read_lost topic={}", name_of(event.topic)));
    }
    return follower.on_failure(now_);
  }
  store_contact_ = now_;
  if (!follower.healthy_since()) {
    log(severity::info, fmt::format("event=store_read_regained topic={}", name_of(event.topic)));
  }
  std::optional<topic_change> change;
  if (auto* listing = std::get_if<list_page>(&event.page)) {
    change = follower.on_page(std::move(*listing), now_);
  } else {
    change = follower.on_page(std::move(std::get<tail_page>(event.page)), now_);
  }
  if (!change) return;
  switch (event.topic) {
    case store_topic::jobs:
      return apply_jobs(*change);
    case store_topic::configuration:
      return apply_config(*change);
    case store_topic::workers:
      return apply_workers(*change);
  }
}

void job_node::apply_jobs(const topic_change& change) {
  // The owner's own state is ahead of any listing.
  if (change.is_listing && !owner_) {
    table_ = {};
    owner_seen_ = now_;
  }
  for (const auto& record : change.records) apply_job_record(record);
  if (change.is_listing) {
    log(severity::info, fmt::format("event=jobs_listed jobs={} owner={} fence={}", table_.size(),
                                    log_value_or_none(claim_.node), claim_.fence));
  }
}

void job_node::apply_job_record(const keyed_record& record) {
  const auto fence_before = claim_.fence;
  const auto applied = apply_record(record, table_, claim_, {.take_progress = !owner_});
  if (!applied) {
    ++stats_.malformed_records;
    log(severity::warning, fmt::format("event=record_ignored key={} reason={}",
                                       log_value(record.key), log_value(applied.error().message)));
    return;
  }
  switch (applied->kind) {
    case record_kind::acceptance:
      if (owner_) owner_->on_accepted(applied->job);
      return;
    case record_kind::cancellation:
      if (owner_) owner_->on_cancelled(applied->job, now_);
      return;
    case record_kind::progress:
      owner_seen_ = now_;
      return;
    case record_kind::claim:
      owner_seen_ = now_;
      break;
  }
  if (claim_.fence == fence_before) return;
  log(severity::info, fmt::format("event=owner_changed node={} fence={} former_fence={}",
                                  log_value(claim_.node), claim_.fence, fence_before));
  const bool own = claim_.node == options_.node && claim_.life == options_.life;
  if (owner_ && !own) step_down("another_claim");
  if (!owner_ && own && pending_claim_ && pending_claim_->fence == claim_.fence) {
    become_owner(claim_);
  }
}

void job_node::apply_config(const topic_change& change) {
  for (const auto& record : change.records) {
    if (record.key != options_.codec.config_key || record.value.empty()) continue;
    auto decoded = options_.codec.config(record.value);
    if (!decoded) {
      ++stats_.malformed_records;
      log(severity::warning,
          fmt::format("event=config_ignored reason={}", log_value(decoded.error())));
      continue;
    }
    if (config_ && decoded->version <= config_->version) continue;
    log(severity::info, fmt::format("event=config_applied version={} former={} queues={}",
                                    decoded->version, config_version(), decoded->queues.size()));
    config_ = std::move(*decoded);
  }
}

void job_node::apply_workers(const topic_change& change) {
  if (!owner_) return;
  std::vector<worker_listing> listings;
  for (const auto& record : change.records) {
    if (record.value.empty()) {
      owner_->on_unlisted(worker_id{record.key});
      continue;
    }
    auto decoded = options_.codec.worker(record.key, record.value);
    if (!decoded) {
      ++stats_.malformed_records;
      log(severity::warning, fmt::format("event=worker_entry_ignored worker={} reason={}",
                                         log_value(record.key), log_value(decoded.error())));
      continue;
    }
    if (change.is_listing) {
      listings.push_back(std::move(*decoded));
    } else {
      owner_->on_listing(*decoded, now_);
    }
  }
  if (change.is_listing) owner_->on_listings(listings, now_);
}

// --- Ownership ---

void job_node::claim_if_due() {
  if (owner_ || now_ < next_claim_) return;
  const election_inputs in{.node = options_.node,
                           .caught_up = jobs_.caught_up() && config_.has_value(),
                           .claiming = claim_call_ != 0 || now_ < claim_seen_by_,
                           .leaving = shutdown_at_.has_value(),
                           .claim = claim_,
                           .owner_seen = owner_seen_,
                           .healthy_since = jobs_.healthy_since(),
                           .last_read = jobs_.last_success()};
  if (!should_claim(in, options_.election, now_)) return;
  pending_claim_ = owner_claim{.fence = claim_.fence + 1,
                               .node = options_.node,
                               .life = options_.life,
                               .peer_address = options_.peer_address};
  claim_call_ = new_call();
  claim_sequence_ = first_sequence(options_.life, ++stats_.claims);
  log(severity::info, fmt::format("event=claim_sent fence={} at={} former_owner={} silent_ms={}",
                                  pending_claim_->fence, jobs_.position(),
                                  log_value_or_none(claim_.node), (now_ - owner_seen_).count()));
  push(append_to_jobs{
      .call = claim_call_,
      .records = {claim_record(*pending_claim_)},
      .sequence = append_sequence{.fence = pending_claim_->fence, .number = claim_sequence_},
      .timeout = options_.append_timeout});
}

// The store takes one claim of a fence. A claim that was recorded counts once the journal has been
// read up to it: all progress of the former owner comes before it.
void job_node::on_claim_ended(append_verdict verdict) {
  claim_call_ = 0;
  if (owner_) return;
  jobs_.hurry();
  if (verdict == append_verdict::recorded) {
    claim_seen_by_ = now_ + options_.append_timeout;
    return;
  }
  log(severity::info, fmt::format("event=claim_not_recorded fence={} verdict={}",
                                  pending_claim_->fence, name_of(verdict)));
  // Waits again: the winner, or a claim of ours that was recorded after all, will be read.
  owner_seen_ = now_ - options_.election.silence;
  next_claim_ = now_ + options_.claim_retry;
}

void job_node::become_owner(const owner_claim& claim) {
  ++stats_.takeovers;
  pending_claim_.reset();
  claim_seen_by_ = {};
  owner_sequence_ = claim_sequence_ + 1;
  owner_batch_open_ = false;
  owner_batch_.clear();
  owner_append_call_ = 0;
  last_owner_record_ = now_;
  workers_.restart();
  owner_.emplace(options_.owner, claim.fence, table_, now_, wall_, log_);
  log(severity::info, fmt::format("event=became_owner fence={} offset={} jobs={}", claim.fence,
                                  jobs_.position(), table_.size()));
}

void job_node::step_down(std::string_view reason) {
  ++stats_.step_downs;
  log(severity::warning,
      fmt::format("event=stepped_down fence={} reason={}", claim_.fence, reason));
  owner_.reset();
  owner_append_call_ = 0;
  owner_batch_open_ = false;
  owner_batch_.clear();
  // The table holds progress that is not in the journal.
  table_ = {};
  jobs_.restart();
  owner_seen_ = now_;
}

void job_node::run_owner() {
  if (!owner_) return;
  if (owner_->fenced()) return step_down("worker_saw_higher_fence");
  write_owner_batch();
  const auto fence = claim_.fence;
  for (auto& order : owner_->take_orders()) {
    push(give_order{.fence = fence, .order = std::move(order), .sent_at = now_});
  }
}

void job_node::write_owner_batch() {
  if (owner_append_call_ != 0 || now_ < next_owner_append_) return;
  if (!owner_batch_open_) {
    if (!shutdown_at_) owner_->place(now_, wall_);
    if (owner_->has_batch()) {
      owner_batch_ = owner_->take_batch();
      if (owner_batch_.empty()) return owner_->on_batch_recorded(now_);
    } else if (shutdown_at_ && !resign_sent_) {
      auto resignation = claim_;
      resignation.resigned = true;
      owner_batch_ = {claim_record(resignation)};
      resign_sent_ = true;
    } else if (now_ - last_owner_record_ >= options_.heartbeat) {
      owner_batch_ = {claim_record(claim_)};
    } else {
      return;
    }
    owner_batch_open_ = true;
  }
  owner_append_call_ = new_call();
  ++stats_.appends;
  push(append_to_jobs{.call = owner_append_call_,
                      .records = owner_batch_,
                      .sequence = append_sequence{.fence = claim_.fence, .number = owner_sequence_},
                      .timeout = options_.append_timeout});
}

void job_node::on_owner_append_ended(append_verdict verdict) {
  owner_append_call_ = 0;
  if (!owner_) return;
  switch (verdict) {
    case append_verdict::recorded:
      ++owner_sequence_;
      owner_batch_open_ = false;
      owner_batch_.clear();
      last_owner_record_ = now_;
      owner_->on_batch_recorded(now_);
      if (resign_sent_) step_down("resigned");
      return;
    case append_verdict::fenced:
      return step_down("append_fenced");
    case append_verdict::not_recorded:
    case append_verdict::unknown:
      // The same number again: the store takes it once.
      next_owner_append_ = now_ + options_.append_retry;
      return;
  }
}

// --- Shutdown and readiness ---

void job_node::on(const shutdown_asked& /*event*/) {
  if (shutdown_at_) return;
  shutdown_at_ = now_;
  log(severity::info,
      fmt::format("event=shutdown_started owner={} open_calls={}", is_owner(), open_calls_.size()));
}

void job_node::shut_down_when_due() {
  if (!shutdown_at_ || ended_ || now_ - *shutdown_at_ < options_.drain_time) return;
  ended_ = true;
  log(severity::info, fmt::format("event=shutdown_ended open_calls={}", open_calls_.size()));
  push(end_process{});
}

void job_node::update_ready() {
  const bool in_contact = store_contact_ && now_ - *store_contact_ < options_.store_silence;
  const bool ready = !shutdown_at_ && config_ && jobs_.caught_up() && in_contact;
  // A copy that is read anew is caught up again within milliseconds.
  const bool keep = ready_ && !shutdown_at_ && config_ && in_contact;
  const bool shown = ready || keep;
  if (shown == ready_) return;
  ready_ = shown;
  log(severity::info,
      fmt::format("event=readiness ready={} config={} caught_up={} store_contact={}", ready_,
                  config_version(), jobs_.caught_up(), in_contact));
  push(show_ready{.ready = ready_});
}

}  // namespace coltsfoot::jobs
