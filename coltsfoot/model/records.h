// Records of the log streams. A batch of them is one entry of a stream.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/task.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot {

// Claims a unit. Wins if `replaces` is the unit's epoch when the record is read in log order; the
// entry's offset plus one is the new epoch.
struct claim_record {
  static constexpr std::string_view message_name = "claim";
  writer_id claimant;
  epoch replaces = 0;
};
COLTSFOOT_CODEC(claim_record, claimant, replaces)

// Gives the unit up. The successor, or anyone if it is empty, may claim it at once.
struct release_record {
  static constexpr std::string_view message_name = "release";
  node_id successor;
};
COLTSFOOT_CODEC(release_record, successor)

// Begins a snapshot: the next `count` records of batches of this epoch rebuild the unit's state
// when they are applied to an empty one.
struct snapshot_begin_record {
  static constexpr std::string_view message_name = "snapshot_begin";
  std::uint64_t id = 0;
  std::uint64_t count = 0;
};
COLTSFOOT_CODEC(snapshot_begin_record, id, count)

// Rack: a worker that may get work from now on. Logged before its first use.
struct roster_add_record {
  static constexpr std::string_view message_name = "roster_add";
  worker_info worker;
};
COLTSFOOT_CODEC(roster_add_record, worker)

// Rack: a worker that holds nothing and is no longer listed.
struct roster_remove_record {
  static constexpr std::string_view message_name = "roster_remove";
  worker_id worker;
};
COLTSFOOT_CODEC(roster_remove_record, worker)

// Customer: a task is accepted and may be started on the candidate racks without another record.
struct task_accepted_record {
  static constexpr std::string_view message_name = "task_accepted";
  task_spec spec;
  std::vector<rack_id> candidates;
};
COLTSFOOT_CODEC(task_accepted_record, spec, candidates)

// Customer: adds candidate racks. Racks are only ever added while the task is open.
struct task_candidates_record {
  static constexpr std::string_view message_name = "task_candidates";
  task_id task;
  std::vector<rack_id> candidates;
};
COLTSFOOT_CODEC(task_candidates_record, task, candidates)

// Customer: a non-idempotent task is about to be sent to a rack. It is never sent to another one
// unless the rack said that this attempt was certainly not started.
struct start_intent_record {
  static constexpr std::string_view message_name = "start_intent";
  task_id task;
  attempt_number attempt;
  rack_id rack;
};
COLTSFOOT_CODEC(start_intent_record, task, attempt, rack)

// Customer: the attempt of a start intent was certainly not started.
struct start_void_record {
  static constexpr std::string_view message_name = "start_void";
  task_id task;
  attempt_number attempt;
};
COLTSFOOT_CODEC(start_void_record, task, attempt)

// Customer: an attempt was stopped by an eviction; the task resumes from the checkpoint.
struct task_evicted_record {
  static constexpr std::string_view message_name = "task_evicted";
  task_id task;
  attempt_number attempt;
  std::string checkpoint;
};
COLTSFOOT_CODEC(task_evicted_record, task, attempt, checkpoint)

// Customer: an attempt failed or was lost with its worker, and the task may be tried again.
struct attempt_failed_record {
  static constexpr std::string_view message_name = "attempt_failed";
  task_id task;
  attempt_number attempt;
  worker_id worker;
  std::string reason;
};
COLTSFOOT_CODEC(attempt_failed_record, task, attempt, worker, reason)

// Customer: cancellation was asked for. The outcome may still be `finished` if that was first.
struct cancel_requested_record {
  static constexpr std::string_view message_name = "cancel_requested";
  task_id task;
};
COLTSFOOT_CODEC(cancel_requested_record, task)

// Customer: the task ended. The first such record of a task counts.
struct task_outcome_record {
  static constexpr std::string_view message_name = "task_outcome";
  task_id task;
  attempt_number attempt;
  outcome_kind outcome = outcome_kind::finished;
  std::string reason;
  std::string result;
  wall_time ended_at{};
};
COLTSFOOT_CODEC(task_outcome_record, task, attempt, outcome, reason, result, ended_at)

// Customer: an ended task's id is older than the id window and is forgotten.
struct task_forgotten_record {
  static constexpr std::string_view message_name = "task_forgotten";
  task_id task;
};
COLTSFOOT_CODEC(task_forgotten_record, task)

// Customer: a non-idempotent request may be sent to a backend server from now on.
struct request_intent_record {
  static constexpr std::string_view message_name = "request_intent";
  request_id request;
  wall_time issued_at{};
};
COLTSFOOT_CODEC(request_intent_record, request, issued_at)

// Customer: a request with an intent was answered (`ran`), or was certainly not run.
struct request_closed_record {
  static constexpr std::string_view message_name = "request_closed";
  request_id request;
  bool ran = true;
};
COLTSFOOT_CODEC(request_closed_record, request, ran)

using record = std::variant<claim_record, release_record, snapshot_begin_record, roster_add_record,
                            roster_remove_record, task_accepted_record, task_candidates_record,
                            start_intent_record, start_void_record, task_evicted_record,
                            attempt_failed_record, cancel_requested_record, task_outcome_record,
                            task_forgotten_record, request_intent_record, request_closed_record>;

// One entry of a unit's stream. A claim stands alone in its batch.
struct record_batch {
  epoch unit_epoch = 0;  // the epoch under which the writer wrote it; 0 in a claim
  writer_id writer;
  std::uint64_t sequence = 0;  // grows with each batch of a writer in a stream
  wall_time written_at{};
  std::vector<record> records;
};
COLTSFOOT_CODEC(record_batch, unit_epoch, writer, sequence, written_at, records)

// One entry as the log service returns it.
struct log_entry {
  log_offset offset = 0;
  std::string payload;
};
COLTSFOOT_CODEC(log_entry, offset, payload)

// What the log service returns to a read.
struct log_page {
  log_offset first_retained = 0;  // oldest offset still kept
  log_offset next = 0;            // offset that the next appended entry will get
  std::vector<log_entry> entries;
};
COLTSFOOT_CODEC(log_page, first_retained, next, entries)

// How an append or a read of the log failed.
enum class log_failure {
  unavailable,  // certainly not written, or not read
  unknown       // append only: it may have been written or may yet be
};
template <>
struct enum_names<log_failure> {
  static constexpr std::array table{
      std::pair{log_failure::unavailable, std::string_view{"unavailable"}},
      std::pair{log_failure::unknown, std::string_view{"unknown"}}};
};

}  // namespace coltsfoot
