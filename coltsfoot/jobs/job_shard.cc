#include "coltsfoot/jobs/job_shard.h"

#include <fmt/format.h>

#include <algorithm>
#include <span>
#include <utility>

#include "coltsfoot/base/hash.h"
#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/topic_pages.h"

namespace coltsfoot::jobs {
namespace {

// Number of the first append of an owner. Claims of several nodes with one fence must differ in it:
// the store takes a claim with the number of another for its repetition, and confirms it.
std::uint64_t first_sequence(std::uint64_t life, std::uint64_t claims) {
  constexpr std::uint64_t range = 1'000'000'000;
  return stable_hash(std::to_string(life), std::to_string(claims)) % range;
}

// The timeout of an append that is repeated, as its answer was late, doubles up to this many times.
constexpr std::uint32_t most_timeout_doublings = 2;

// Between two lines of an owner about its appends.
constexpr duration load_interval{1'000};

}  // namespace

job_shard::job_shard(node_context& context, shard_number number)
    : context_(context),
      number_(number),
      journal_(context.options.jobs_topic),
      owner_seen_(context.now),
      claim_read_at_(context.now) {}

void job_shard::log(severity level, const std::string& text) const {
  context_.log(level, fmt::format("{} shard={}", text, number_));
}

void job_shard::set_shard_count(std::size_t shards) {
  const auto& options = context_.options;
  const auto others = static_cast<std::int64_t>(shards) - 1;
  shard_count_ = shards;
  append_gap_ = std::min(options.append_gap_per_shard * others, options.longest_append_gap);
}

void job_shard::proceed() {
  claim_if_due();
  send_caller_appends();
  run_owner();
  read_journal();
}

void job_shard::on_tick(duration own_delay) {
  expire_caller_appends();
  if (!owner_) return;
  owner_->tick(context_.now, context_.wall, own_delay);
  log_journal_load();
}

void job_shard::on_pause() {
  if (owner_) step_down("paused");
}

void job_shard::on_evacuation() {
  if (owner_) owner_->set_evacuated_zones(context_.evacuated.names(), context_.now);
}

void job_shard::on_append_ended(const append_ended& event) {
  if (event.call == caller_append_call_) return on_caller_append_ended(event.verdict);
  if (event.call == claim_call_) return on_claim_ended(event.verdict);
  if (event.call == owner_append_call_) return on_owner_append_ended(event.verdict);
}

// --- Workers ---

void job_shard::on_listing(const worker_listing& listing) {
  if (owner_) owner_->on_listing(listing, context_.now);
}

void job_shard::on_listings(const std::vector<worker_listing>& listings) {
  if (owner_) owner_->on_listings(listings, context_.now);
}

void job_shard::on_unlisted(const worker_id& worker) {
  if (owner_) owner_->on_unlisted(worker);
}

// --- State ---

bool job_shard::is_fresh() const {
  const auto& options = context_.options;
  const auto limit = freshness_limit(read_inputs(), options.read_interval, options.fresh);
  return journal_.caught_up() && journal_.last_success() &&
         context_.now - *journal_.last_success() < limit;
}

bool job_shard::includes(time_point time) const {
  return journal_.complete_until() && *journal_.complete_until() > time;
}

bool job_shard::has_other_owner() const {
  const auto& claim = state_.claim;
  return !owner_ && claim.fence != 0 && !claim.resigned && claim.node != context_.options.node;
}

job_state job_shard::shown_state(const job& j) const {
  return owner_ ? owner_->visible_state(j) : state_of(j);
}

// --- Journal ---

read_interval_inputs job_shard::read_inputs() const {
  return {.shards = shard_count_,
          .has_other_owner = has_other_owner() && !is_claiming(),
          .owner_heard = journal_.last_success() && owner_seen_ >= *journal_.last_success(),
          .strength = context_.options.strength,
          .owner_strength = state_.claim.strength};
}

void job_shard::read_journal() {
  journal_.set_poll_interval(read_interval(read_inputs(), context_.options.read_interval));
  if (auto request = journal_.next_request(context_.now)) {
    ++context_.stats.journal_reads;
    context_.push(read_topic{.call = context_.new_call(),
                             .topic = store_topic::jobs,
                             .shard = number_,
                             .request = std::move(*request)});
  }
}

void job_shard::on_read(topic_read event) {
  if (const auto change = take_page(journal_, std::move(event), context_)) apply(*change);
  if (owner_ && journal_.complete_until()) owner_->on_confirmed(*journal_.complete_until());
  become_owner_if_due();
}

void job_shard::apply(const topic_change& change) {
  // The owner's own state is ahead of any listing.
  if (change.is_listing && !owner_) {
    state_.table = {};
    owner_seen_ = context_.now;
  }
  for (const auto& record : change.records) apply(record);
  if (change.is_listing) {
    log(severity::info,
        fmt::format("event=jobs_listed jobs={} owner={} fence={}", state_.table.size(),
                    log_value_or_none(state_.claim.node), state_.claim.fence));
  }
}

void job_shard::on_notice(const keyed_record& record) {
  if (owner_) apply(record);
}

void job_shard::apply(const keyed_record& record) {
  const auto fence_before = state_.claim.fence;
  const auto applied = apply_record(record, state_, {.take_progress = !owner_});
  if (!applied) {
    ++context_.stats.malformed_records;
    log(severity::warning, fmt::format("event=record_ignored key={} reason={}",
                                       log_value(record.key), log_value(applied.error().message)));
    return;
  }
  switch (applied->kind) {
    case record_kind::acceptance:
      if (owner_) owner_->on_accepted(applied->job, context_.now);
      return;
    case record_kind::cancellation:
      if (owner_) owner_->on_cancelled(applied->job, context_.now);
      return;
    case record_kind::progress:
      owner_seen_ = context_.now;
      return;
    case record_kind::handover:
    case record_kind::layout:
    case record_kind::witnesses:
      return;
    case record_kind::transfer:
      ++transfers_applied_;
      return;
    case record_kind::claim:
      owner_seen_ = context_.now;
      return on_claim_read(fence_before);
  }
}

void job_shard::on_claim_read(std::uint64_t former_fence) {
  const auto& claim = state_.claim;
  if (claim.fence == former_fence) return;
  claim_read_at_ = context_.now;
  log(severity::info, fmt::format("event=owner_changed node={} fence={} former_fence={}",
                                  log_value(claim.node), claim.fence, former_fence));
  const bool own = claim.node == context_.options.node && claim.life == context_.options.life;
  on_owner_replaced();
  if (owner_ && !own) step_down("another_claim");
  claim_won_ = !owner_ && own && pending_claim_ && pending_claim_->fence == claim.fence;
  // A claim of ours below this one will not be read any more.
  if (pending_claim_ && pending_claim_->fence <= claim.fence) pending_claim_.reset();
}

// --- Ownership ---

void job_shard::claim_if_due() {
  const auto& options = context_.options;
  if (owner_ || claim_won_ || context_.now < next_claim_) return;
  const election_inputs in{.node = options.node,
                           .strength = options.strength,
                           .owned_shards = context_.owned_shards,
                           .owner_shards = owner_load_,
                           .shard = number_,
                           .caught_up = journal_.caught_up(),
                           .claiming = claim_call_ != 0 || context_.now < claim_seen_by_,
                           .leaving = context_.shutting_down,
                           .claim = state_.claim,
                           .claim_read = claim_read_at_,
                           .owner_seen = owner_seen_,
                           .healthy_since = journal_.healthy_since(),
                           .last_read = journal_.last_success()};
  if (!should_claim(in, options.election, context_.now)) return;
  pending_claim_ = owner_claim{.fence = state_.claim.fence + 1,
                               .node = options.node,
                               .life = options.life,
                               .peer_address = options.peer_address,
                               .strength = options.strength};
  ++context_.owned_shards;
  claim_call_ = context_.new_call();
  claim_sequence_ = first_sequence(options.life, ++context_.stats.claims);
  log(severity::info,
      fmt::format("event=claim_sent fence={} at={} former_owner={} silent_ms={}",
                  pending_claim_->fence, journal_.position(), log_value_or_none(state_.claim.node),
                  (context_.now - owner_seen_).count()));
  context_.push(append_to_jobs{
      .call = claim_call_,
      .shard = number_,
      .records = {claim_record(*pending_claim_)},
      .sequence = append_sequence{.fence = pending_claim_->fence, .number = claim_sequence_},
      .timeout = options.append_timeout});
}

// The store takes one claim of a fence. A claim that was recorded counts once the journal has been
// read up to it: all progress of the former owner comes before it.
void job_shard::on_claim_ended(append_verdict verdict) {
  claim_call_ = 0;
  if (owner_) return;
  journal_.hurry();
  if (verdict == append_verdict::recorded) {
    claim_seen_by_ = context_.now + context_.options.append_timeout;
    return;
  }
  log(severity::info, fmt::format("event=claim_not_recorded verdict={} fence={}", name_of(verdict),
                                  pending_claim_ ? pending_claim_->fence : state_.claim.fence));
  // Waits again: the winner, or a claim of ours that was recorded after all, will be read.
  owner_seen_ = context_.now - context_.options.election.silence;
  next_claim_ = context_.now + context_.options.claim_retry;
}

void job_shard::become_owner_if_due() {
  if (!claim_won_ || !journal_.caught_up()) return;
  claim_won_ = false;
  become_owner();
}

void job_shard::become_owner() {
  ++context_.stats.takeovers;
  claim_seen_by_ = {};
  owner_sequence_ = claim_sequence_ + 1;
  owner_batch_open_ = false;
  owner_batch_.clear();
  owner_part_begin_ = 0;
  owner_append_call_ = 0;
  unanswered_appends_ = 0;
  last_owner_record_ = context_.now;
  layout_to_record_.reset();
  layout_sent_ = {};
  const auto fence = state_.claim.fence;
  // Its lines name the shard too.
  const log_sink sink = [this](severity level, const std::string& text) { log(level, text); };
  // The read that has shown the claim to be the newest was sent then.
  const auto confirmed_at = journal_.complete_until().value_or(time_point{});
  owner_.emplace(
      context_.options.owner, fence, state_.table, context_.now, context_.wall, sink,
      grant_authority{context_.options.owner.grants, state_.witnesses, confirmed_at, context_.now});
  on_evacuation();
  log(severity::info, fmt::format("event=became_owner fence={} offset={} jobs={}", fence,
                                  journal_.position(), state_.table.size()));
}

void job_shard::step_down(std::string_view reason) {
  ++context_.stats.step_downs;
  log(severity::warning,
      fmt::format("event=stepped_down fence={} reason={}", state_.claim.fence, reason));
  owner_.reset();
  owner_append_call_ = 0;
  owner_batch_open_ = false;
  owner_batch_.clear();
  owner_part_begin_ = 0;
  layout_to_record_.reset();
  // The table holds progress that is not in the journal.
  state_.table = {};
  journal_.restart();
  owner_seen_ = context_.now;
  // An append under way may still be carried out.
  settle_commits(commit_batch_, record_fate::unknown);
  settle_commits(commit_queue_, record_fate::not_recorded);
}

void job_shard::run_owner() {
  if (!owner_) return;
  if (owner_->fenced()) return step_down("worker_saw_higher_fence");
  write_owner_batch();
  const auto fence = state_.claim.fence;
  for (auto& order : owner_->take_orders()) {
    context_.push(give_order{.origin = {.shard = number_, .fence = fence},
                             .fence = order_fence(order.transfers, fence, order.former_lives),
                             .order = std::move(order),
                             .sent_at = context_.now});
  }
}

void job_shard::record_layout(const fleet_layout& layout) {
  if (!owner_ || layout == layout_sent_) return;
  layout_sent_ = layout;
  layout_to_record_ = layout;
}

// Fills `owner_batch_` with what is to be recorded next. Returns whether there is anything.
bool job_shard::take_owner_batch() {
  const auto& options = context_.options;
  // A task could be placed in an evacuated zone that this node has not read of yet.
  const bool may_place = !context_.shutting_down && context_.evacuated.known();
  if (may_place) owner_->place(context_.now, context_.wall);
  if (owner_->has_batch()) {
    owner_batch_ = owner_->take_batch();
    if (owner_batch_.empty()) owner_->on_batch_recorded(context_.now);
  } else if (context_.shutting_down && !resign_sent_) {
    auto resignation = state_.claim;
    resignation.resigned = true;
    owner_batch_ = {claim_record(resignation)};
    resign_sent_ = true;
  } else if (context_.now - last_owner_record_ >= options.heartbeat) {
    owner_batch_ = {claim_record(state_.claim)};
  }
  if (layout_to_record_) owner_batch_.push_back(layout_record(*layout_to_record_));
  layout_to_record_.reset();
  if (auto witnesses = owner_->take_witness_record(context_.now)) {
    owner_batch_.push_back(std::move(*witnesses));
  }
  take_commits();
  return !owner_batch_.empty();
}

void job_shard::write_owner_batch() {
  if (owner_append_call_ != 0 || context_.now < next_owner_append_) return;
  if (!owner_batch_open_) {
    owner_batch_open_ = take_owner_batch();
    owner_batch_sent_ = context_.now;
  }
  if (!owner_batch_open_) return;
  owner_append_call_ = context_.new_call();
  owner_append_sent_ = context_.now;
  ++context_.stats.appends;
  owner_part_end_ = end_of_append(owner_batch_, owner_part_begin_, context_.options.store);
  const auto part =
      std::span{owner_batch_}.subspan(owner_part_begin_, owner_part_end_ - owner_part_begin_);
  context_.push(append_to_jobs{
      .call = owner_append_call_,
      .shard = number_,
      .records = {part.begin(), part.end()},
      .sequence = append_sequence{.fence = state_.claim.fence, .number = owner_sequence_},
      .timeout = context_.options.append_timeout * (1U << unanswered_appends_)});
}

// The transfers of an owner count from their record on, not only once it has read them.
void job_shard::apply_transfers(const std::vector<keyed_record>& records) {
  for (const auto& record : records) {
    if (is_transfer(record)) apply(record);
  }
}

void job_shard::note_owner_append(append_verdict verdict) {
  ++journal_load_.appends;
  journal_load_.longest = std::max(journal_load_.longest, context_.now - owner_append_sent_);
  if (verdict != append_verdict::recorded) return;
  ++journal_load_.recorded;
  journal_load_.records += owner_part_end_ - owner_part_begin_;
}

void job_shard::log_journal_load() {
  if (context_.now < next_journal_load_) return;
  next_journal_load_ = context_.now + load_interval;
  const auto load = std::exchange(journal_load_, {});
  const auto under_way = owner_append_call_ == 0 ? duration{0} : context_.now - owner_append_sent_;
  log(severity::info,
      fmt::format("event=owner_journal appends={} recorded={} records={} longest_ms={} "
                  "under_way_ms={}",
                  load.appends, load.recorded, load.records, load.longest.count(),
                  under_way.count()));
}

void job_shard::on_owner_append_ended(append_verdict verdict) {
  owner_append_call_ = 0;
  if (owner_) note_owner_append(verdict);
  if (!owner_) return;
  switch (verdict) {
    case append_verdict::recorded:
      ++owner_sequence_;
      unanswered_appends_ = 0;
      owner_part_begin_ = owner_part_end_;
      if (owner_part_begin_ < owner_batch_.size()) return;
      owner_part_begin_ = 0;
      owner_batch_open_ = false;
      apply_transfers(owner_batch_);
      owner_batch_.clear();
      last_owner_record_ = context_.now;
      next_owner_append_ = context_.now + append_gap_;
      owner_->on_confirmed(owner_batch_sent_);
      owner_->on_witnesses_recorded();
      owner_->on_batch_recorded(context_.now);
      settle_commits(commit_batch_, record_fate::recorded);
      if (resign_sent_) step_down("resigned");
      return;
    case append_verdict::fenced:
      return step_down("append_fenced");
    case append_verdict::unknown:
      unanswered_appends_ = std::min(unanswered_appends_ + 1, most_timeout_doublings);
      [[fallthrough]];
    case append_verdict::not_recorded:
      withdraw_commits(verdict);
      // The same number again: the store takes it once.
      next_owner_append_ = context_.now + context_.options.append_retry;
      return;
  }
}

}  // namespace coltsfoot::jobs
