#include "coltsfoot/logstream/stream_writer.h"

#include <utility>

namespace coltsfoot {

stream_writer::queued_record stream_writer::measured(record r) {
  const std::size_t bytes = encode_msgpack(r).size();
  return {.entry = std::move(r), .bytes = bytes};
}

void stream_writer::enqueue(std::vector<record> records) {
  for (record& r : records) queue_.push_back(measured(std::move(r)));
}

void stream_writer::enqueue_claim(epoch replaces) {
  batch_ = record_batch{.writer = options_.self, .sequence = ++last_sequence_};
  batch_->records.emplace_back(claim_record{.claimant = options_.self, .replaces = replaces});
  kind_ = batch_kind::claim;
  stage_ = stage::unsent;
}

void stream_writer::enqueue_snapshot(std::uint64_t id, std::vector<record> records) {
  snapshot_.push_back(measured(snapshot_begin_record{.id = id, .count = records.size()}));
  for (record& r : records) snapshot_.push_back(measured(std::move(r)));
}

std::vector<record> stream_writer::take_batch(std::deque<queued_record>& from) const {
  std::vector<record> taken;
  std::size_t bytes = 0;
  while (!from.empty()) {
    bytes += from.front().bytes;
    if (!taken.empty() && bytes > options_.max_batch_bytes) break;
    taken.push_back(std::move(from.front().entry));
    from.pop_front();
  }
  return taken;
}

const record_batch* stream_writer::next_batch(epoch unit_epoch, wall_time wall) {
  if (!batch_) {
    if (snapshot_.empty() && queue_.empty()) return nullptr;
    kind_ = snapshot_.empty() ? batch_kind::records : batch_kind::snapshot;
    batch_ = record_batch{.unit_epoch = unit_epoch,
                          .writer = options_.self,
                          .sequence = ++last_sequence_,
                          .written_at = wall,
                          .records = take_batch(snapshot_.empty() ? queue_ : snapshot_)};
    stage_ = stage::unsent;
  }
  if (stage_ != stage::unsent) return nullptr;
  if (kind_ == batch_kind::claim && !maybe_written_) batch_->written_at = wall;
  stage_ = stage::sent;
  return &*batch_;
}

append_settled stream_writer::on_appended(const tl::expected<log_offset, log_failure>& result,
                                          log_offset next) {
  append_settled settled;
  if (!batch_ || stage_ != stage::sent) return settled;
  if (confirmed_) {
    clear_batch();
    return settled;
  }
  if (result) {
    stage_ = stage::reading;
    settle_at_ = *result;
    settled.apply_now = *result == next;
    return settled;
  }
  // After an append without an answer, a later refusal doesn't say that the batch is not written.
  if (result.error() == log_failure::unknown || maybe_written_) {
    maybe_written_ = true;
    stage_ = stage::reading;
    settle_at_.reset();
    return settled;
  }
  if (kind_ == batch_kind::snapshot) {
    stage_ = stage::unsent;  // the rest of a snapshot must follow what is written of it
  } else {
    if (kind_ == batch_kind::records) settled.dropped = std::move(batch_->records);
    settled.claim_not_written = kind_ == batch_kind::claim;
    clear_batch();
  }
  for (queued_record& queued : queue_) settled.dropped.push_back(std::move(queued.entry));
  queue_.clear();
  return settled;
}

void stream_writer::on_replica_advanced(std::uint64_t own_sequence, log_offset next, bool at_end) {
  if (!batch_) return;
  if (own_sequence >= batch_->sequence) {
    settle();
  } else if (stage_ == stage::reading && (settle_at_ ? next > *settle_at_ : at_end)) {
    maybe_written_ = true;
    stage_ = stage::unsent;
    settle_at_.reset();
  }
}

void stream_writer::finish_claim() {
  if (batch_ && kind_ == batch_kind::claim) settle();
}

void stream_writer::settle() {
  if (stage_ == stage::sent) {
    confirmed_ = true;
  } else {
    clear_batch();
  }
}

stream_writer::abandoned stream_writer::abandon() {
  abandoned result;
  if (batch_ && kind_ == batch_kind::records && !confirmed_) {
    const bool sent = stage_ != stage::unsent || maybe_written_;
    (sent ? result.sent : result.unsent) = std::move(batch_->records);
  }
  for (queued_record& queued : queue_) result.unsent.push_back(std::move(queued.entry));
  clear_batch();
  queue_.clear();
  snapshot_.clear();
  return result;
}

void stream_writer::clear_batch() {
  batch_.reset();
  kind_ = batch_kind::records;
  maybe_written_ = false;
  confirmed_ = false;
  stage_ = stage::unsent;
  settle_at_.reset();
}

}  // namespace coltsfoot
