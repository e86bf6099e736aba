#include "coltsfoot/logstream/stream_replica.h"

#include <algorithm>
#include <utility>

namespace coltsfoot {
namespace {

const claim_record* lone_claim(const record_batch& batch) {
  return batch.records.size() == 1 ? std::get_if<claim_record>(&batch.records.front()) : nullptr;
}

bool has_claim(const record_batch& batch) {
  return std::any_of(batch.records.begin(), batch.records.end(),
                     [](const record& r) { return std::holds_alternative<claim_record>(r); });
}

}  // namespace

std::vector<stream_event> stream_replica::read(const log_page& page) {
  if (!started_) {
    started_ = true;
    if (page.first_retained > 0) start_at(page.first_retained);
  } else if (page.first_retained > next_) {
    ++gaps_;
    start_at(page.first_retained);
  }
  for (const log_entry& entry : page.entries) {
    if (entry.offset < next_) continue;
    if (entry.offset > next_) {
      ++gaps_;
      start_at(entry.offset);
    }
    if (const auto batch = decode_msgpack<record_batch>(entry.payload)) {
      fold(entry.offset, *batch);
    } else {
      ++malformed_;
    }
    next_ = entry.offset + 1;
  }
  caught_up_ = next_ >= page.next;
  if (caught_up_) reached_end_ = true;
  // Not before the end: a snapshot of an earlier epoch may stand before the claim of the known one.
  if (caught_up_ && known_.unit_epoch > owner_.unit_epoch) {
    rebase(known_.unit_epoch, known_.owner);
    owner_ = known_;
  }
  if (caught_up_) report_owner();
  return std::exchange(events_, {});
}

std::vector<stream_event> stream_replica::apply_own(const record_batch& batch) {
  fold(next_, batch);
  ++next_;
  report_owner();
  return std::exchange(events_, {});
}

std::vector<stream_event> stream_replica::accept_lost_history() {
  waiting_ = false;
  snapshot_.reset();
  basis_written_at_.reset();
  return {reset_state{}};
}

void stream_replica::start_at(log_offset offset) {
  next_ = offset;
  start_ = offset;
  waiting_ = true;
  certain_ = false;
  reached_end_ = false;
  base_ = owner_;
  claims_.clear();
  snapshot_.reset();
}

bool stream_replica::in_line(epoch unit_epoch) const {
  if (unit_epoch == base_.unit_epoch || unit_epoch == owner_.unit_epoch) return true;
  epoch current = base_.unit_epoch;
  for (const seen_claim& seen : claims_) {
    if (seen.claim.replaces != current) continue;
    current = seen.offset + 1;
    if (current == unit_epoch) return true;
  }
  return false;
}

void stream_replica::note_epoch(epoch unit_epoch, const writer_id& owner) {
  const bool newer = unit_epoch > owner_.unit_epoch;
  if (newer || (!certain_ && unit_epoch > base_.unit_epoch && !in_line(unit_epoch))) {
    rebase(unit_epoch, owner);
  }
}

void stream_replica::rebase(epoch base, const writer_id& owner) {
  base_ = {.unit_epoch = base, .owner = owner};
  waiting_ = true;
  set_owner(base, owner, 0);
  for (const seen_claim& seen : claims_) {
    if (seen.offset >= base && seen.claim.replaces == owner_.unit_epoch) {
      set_owner(seen.offset + 1, seen.claim.claimant, seen.sequence);
    }
  }
}

void stream_replica::set_owner(epoch unit_epoch, const writer_id& owner, std::uint64_t sequence) {
  owner_ = {.unit_epoch = unit_epoch, .owner = owner};
  last_sequence_ = sequence;
  snapshot_.reset();
}

void stream_replica::fold(log_offset offset, const record_batch& batch) {
  if (const claim_record* claim = lone_claim(batch)) {
    fold_claim(offset, batch, *claim);
  } else if (batch.unit_epoch == 0 || batch.unit_epoch > offset || has_claim(batch)) {
    ++malformed_;
  } else {
    fold_records(batch);
  }
  if (certain_) report_owner();
}

void stream_replica::fold_claim(log_offset offset, const record_batch& batch,
                                const claim_record& claim) {
  if (!certain_) {
    if (claim.replaces <= offset) note_epoch(claim.replaces, {});
    claims_.push_back({.offset = offset, .claim = claim, .sequence = batch.sequence});
  }
  if (claim.replaces != owner_.unit_epoch) return;
  set_owner(offset + 1, claim.claimant, batch.sequence);
  if (!waiting_ && !basis_written_at_) basis_written_at_ = batch.written_at;
}

void stream_replica::fold_records(const record_batch& batch) {
  note_epoch(batch.unit_epoch, batch.writer);
  // A batch proves that its claim won. If all entries since that claim were read, no claim that
  // could count is missing.
  if (!certain_ && batch.unit_epoch >= start_) {
    certain_ = true;
    claims_.clear();
  }
  if (batch.unit_epoch != owner_.unit_epoch) return;
  if (owner_.owner.node.empty()) owner_.owner = batch.writer;
  if (batch.writer != owner_.owner) return;
  if (batch.sequence <= last_sequence_) return;
  last_sequence_ = batch.sequence;
  if (batch.writer == self_) own_sequence_ = batch.sequence;
  for (const record& r : batch.records) fold_record(batch, r);
}

void stream_replica::fold_record(const record_batch& batch, const record& r) {
  if (const auto* begin = std::get_if<snapshot_begin_record>(&r)) {
    snapshot_ = partial_snapshot{.remaining = begin->count,
                                 .written_at = batch.written_at,
                                 .replaces_state = waiting_ || !reached_end_};
    if (begin->count == 0) complete_snapshot();
    return;
  }
  if (snapshot_) {
    if (snapshot_->replaces_state) snapshot_->records.push_back(r);
    if (--snapshot_->remaining == 0) complete_snapshot();
    return;
  }
  if (const auto* release = std::get_if<release_record>(&r)) {
    owner_.released = true;
    owner_.successor = release->successor;
    return;
  }
  if (!waiting_) events_.emplace_back(apply_record{r});
}

void stream_replica::complete_snapshot() {
  if (snapshot_->replaces_state) {
    events_.emplace_back(reset_state{});
    for (record& r : snapshot_->records) events_.emplace_back(apply_record{std::move(r)});
    waiting_ = false;
  }
  basis_written_at_ = snapshot_->written_at;
  snapshot_.reset();
}

void stream_replica::report_owner() {
  if (owner_ == reported_) return;
  reported_ = owner_;
  events_.emplace_back(owner_);
}

}  // namespace coltsfoot
