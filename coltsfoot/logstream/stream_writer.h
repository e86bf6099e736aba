// Group commit for one unit stream: joins queued records into batches, one append at a time.
//
//   writer.enqueue(std::move(records));
//   if (const record_batch* batch = writer.next_batch(unit_epoch, wall)) send(*batch);
//   writer.on_appended(result, replica.next());
//
// A batch whose append got no answer is sent again, with the same sequence, until the owner has
// read it back or another epoch makes it void. What is queued behind it waits.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/records.h"

namespace coltsfoot {

struct stream_writer_options {
  writer_id self;
  std::size_t max_batch_bytes = 262'144;  // of the encoded records of a batch, beyond the first
};

// What the result of an append means.
struct append_settled {
  bool apply_now = false;          // the batch is at the replica's next offset: apply it
  bool read_needed = false;        // only a read of the stream can tell
  bool claim_not_written = false;  // the batch was a claim and was certainly not written
  std::vector<record> dropped;     // certainly not written
};

class stream_writer {
 public:
  explicit stream_writer(stream_writer_options options) : options_(std::move(options)) {}

  // Queues records behind those queued before.
  void enqueue(std::vector<record> records);

  // Queues a claim. Nothing else may be pending.
  void enqueue_claim(epoch replaces);

  // Queues a snapshot ahead of all queued records. Nothing may be in flight, since the records of
  // an append in flight would stand before the snapshot and be missing in it.
  void enqueue_snapshot(std::uint64_t id, std::vector<record> records);

  // Returns the batch to append now, or null if there is none or the last one is not settled. The
  // pointer is valid until the next call that changes the writer.
  const record_batch* next_batch(epoch unit_epoch, wall_time wall);

  // Takes the result of the append of the last batch returned. `next` is the replica's position.
  append_settled on_appended(const tl::expected<log_offset, log_failure>& result, log_offset next);

  // The replica has read up to `next`, which is the end of the stream if `at_end`. `last_sequence`
  // is that of the last batch in force of this writer's epoch.
  void on_replica_advanced(std::uint64_t last_sequence, log_offset next, bool at_end);

  // The claim in flight was settled by the replica: it won or another claim did.
  void finish_claim();

  // Forgets everything; the writer no longer owns the stream.
  struct abandoned {
    std::vector<record> sent;    // of a batch that is not confirmed
    std::vector<record> unsent;  // certainly not written
  };
  abandoned abandon();

  // The batch that is not settled, or null.
  const record_batch* pending() const { return batch_ ? &*batch_ : nullptr; }

  // Whether an append may be started.
  bool in_flight() const { return batch_.has_value(); }
  bool writing_snapshot() const { return !snapshot_.empty() || batch_is_snapshot_; }
  bool empty() const { return !batch_ && queue_.empty() && snapshot_.empty(); }

  // Whether only a read can settle the batch that was sent last.
  bool needs_read() const { return batch_ && stage_ == stage::reading; }

 private:
  enum class stage {
    unsent,   // built, or to be sent again
    sent,     // the answer is outstanding
    reading,  // to be settled by reading up to `settle_at_`, or to the end if that is not set
  };

  struct queued_record {
    record entry;
    std::size_t bytes = 0;
  };
  static queued_record measured(record r);
  std::vector<record> take_batch(std::deque<queued_record>& from) const;
  void clear_batch();

  stream_writer_options options_;
  std::uint64_t last_sequence_ = 0;
  std::deque<queued_record> snapshot_;
  std::deque<queued_record> queue_;
  std::optional<record_batch> batch_;
  bool batch_is_snapshot_ = false;
  bool batch_is_claim_ = false;
  bool confirmed_ = false;  // read back while the answer was outstanding
  stage stage_ = stage::unsent;
  std::optional<log_offset> settle_at_;
};

}  // namespace coltsfoot
