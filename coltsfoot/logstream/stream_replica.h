// The fold of one unit stream: which epoch is current, who owns it and which records are in force.
//
//   stream_replica replica{self};
//   for (const stream_event& event : replica.read(page)) ...
//   request(replica.next());
//
// Offsets of a stream are dense. A reader that finds its position trimmed, or that begins in a
// trimmed stream, waits for a whole snapshot. While it does so the current epoch follows from what
// is left of the stream: batches and claims name epochs, and a claim whose predecessors are trimmed
// counts until a batch shows that another one won.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/records.h"

namespace coltsfoot {

// The state starts anew from empty; the records that follow rebuild it.
struct reset_state {};

// A record is in force.
struct apply_record {
  record entry;
};

// The newest epoch or its release has changed.
struct owner_changed {
  epoch unit_epoch = 0;
  writer_id owner;  // an empty node while the owner of the epoch is unknown
  bool released = false;
  node_id successor;  // empty: anyone
  friend bool operator==(const owner_changed&, const owner_changed&) = default;
};

using stream_event = std::variant<reset_state, apply_record, owner_changed>;

class stream_replica {
 public:
  // `self` is the process that reads. `known` is what it knows of the owner from elsewhere; it
  // counts only if the beginning of the stream is trimmed.
  explicit stream_replica(writer_id self, owner_changed known = {})
      : self_(std::move(self)), known_(std::move(known)) {}

  // Folds a page and returns what changed, in order. Entries before `next()` are skipped.
  std::vector<stream_event> read(const log_page& page);

  // Folds one batch that this process appended at `next()`.
  std::vector<stream_event> apply_own(const record_batch& batch);

  // Takes the state as empty after the history was lost. Returns the events for it.
  std::vector<stream_event> accept_lost_history();

  // Offset of the next entry to read.
  log_offset next() const { return next_; }

  // Whether the last page reached the end of the stream.
  bool caught_up() const { return caught_up_; }

  // Whether records are missing: the reader waits for a whole snapshot. At the end of the stream
  // this means that the history is lost.
  bool waiting_for_snapshot() const { return waiting_; }

  const owner_changed& owner() const { return owner_; }

  // Sequence of the last batch of `self` that was in force, in any epoch; 0 if none.
  std::uint64_t own_sequence() const { return own_sequence_; }

  // When the oldest record that the present state needs was written.
  std::optional<wall_time> basis_written_at() const { return basis_written_at_; }

  std::uint64_t malformed_entries() const { return malformed_; }

  // How often the stream was trimmed past the read position.
  std::uint64_t gaps() const { return gaps_; }

 private:
  struct seen_claim {
    log_offset offset = 0;
    claim_record claim;
    std::uint64_t sequence = 0;
  };
  struct partial_snapshot {
    std::uint64_t remaining = 0;
    wall_time written_at{};
    bool replaces_state = false;
    std::vector<record> records;  // only if it replaces the state
  };

  void start_at(log_offset offset);
  void fold(log_offset offset, const record_batch& batch);
  void fold_claim(log_offset offset, const record_batch& batch, const claim_record& claim);
  void fold_records(const record_batch& batch);
  void fold_record(const record_batch& batch, const record& r);
  // Takes note that `unit_epoch` was won, which a batch or a claim that replaces it shows.
  void note_epoch(epoch unit_epoch, const writer_id& owner);
  void rebase(epoch base, const writer_id& owner);
  void set_owner(epoch unit_epoch, const writer_id& owner, std::uint64_t sequence);
  bool in_line(epoch unit_epoch) const;
  void complete_snapshot();
  void report_owner();

  writer_id self_;
  owner_changed known_;
  std::uint64_t own_sequence_ = 0;
  log_offset next_ = 0;
  bool started_ = false;
  bool caught_up_ = false;
  bool waiting_ = false;
  bool certain_ = true;  // no claim that could count is missing
  // Whether the end was reached since `start_`. Up to there each whole snapshot replaces the state:
  // the first one found may be a late duplicate of one whose successors are trimmed.
  bool reached_end_ = true;
  log_offset start_ = 0;            // all entries from here to `next_` were read
  owner_changed base_;              // epoch proven by a batch, on which `claims_` follow
  std::vector<seen_claim> claims_;  // seen since `start_`; only while not certain
  owner_changed owner_;
  owner_changed reported_;
  std::uint64_t last_sequence_ = 0;
  std::optional<partial_snapshot> snapshot_;
  std::optional<wall_time> basis_written_at_;
  std::uint64_t malformed_ = 0;
  std::uint64_t gaps_ = 0;
  std::vector<stream_event> events_;
};

}  // namespace coltsfoot
