// What the journal holds of jobs: records with a key, of which the newest of each key counts.
//
//   acceptance/<job>    written once by the node that accepted the job
//   cancellation/<job>  written by the node that took the cancellation; one of an unknown job
//   stands
//                       in all journals, since its acceptance may still come in any of them
//   progress/<job>      written by the owner only, the whole progress each time
//   handover/<job>/<n>  task n has gone to another shard, or has come from one
//   owner               the newest claim of the ownership
//   witnesses           worker lives of which a majority must obey an owner: see grant_authority.h
//   layout              how the fleet is divided; in the journal of the first shard
//
//   apply_record(record, table, claim);
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coltsfoot/jobs/fleet_layout.h"
#include "coltsfoot/jobs/job_table.h"

namespace coltsfoot::jobs {

struct keyed_record {
  std::string key;
  std::string value;  // empty: the key is dropped
};
COLTSFOOT_CODEC(keyed_record, key, value)

// Ownership of the fleet's jobs. A claim is valid until a later one is in the journal.
struct owner_claim {
  std::uint64_t fence = 0;  // grows with each claim; 0: nobody has claimed yet
  std::string node;
  std::uint64_t life = 0;      // tells the lives of a node apart
  std::string peer_address;    // "ip:port" of the peer transport
  bool resigned = false;       // the owner has stopped; anybody may claim at once
  std::uint32_t strength = 0;  // processor of the node, in thousandths of a core; 0: not told
  friend bool operator==(const owner_claim&, const owner_claim&) = default;
};
COLTSFOOT_CODEC(owner_claim, fence, node, life, peer_address, resigned, strength)

// A worker that a shard has given to another one. It stands in the journal of the giver. Of several
// transfers of one worker, the one with the highest number counts.
struct worker_transfer {
  worker_id worker;
  shard_number to = first_shard;
  std::uint32_t number = 0;  // 1 for the first transfer of the worker
  friend bool operator==(const worker_transfer&, const worker_transfer&) = default;
};
COLTSFOOT_CODEC(worker_transfer, worker, to, number)

struct record_error {
  std::string message;
};

keyed_record acceptance_record(const accepted_job& accepted);
keyed_record cancellation_record(const job_id& id);
// Drops the cancellation of a job that was never accepted.
keyed_record cancellation_removal(const job_id& id);
// Key of the record of the job's acceptance.
std::string acceptance_key(const job_id& id);
// Without checkpoints if the record would be larger than `max_bytes` with them.
keyed_record progress_record(const job& j, std::size_t max_bytes);
keyed_record handover_record(const job_id& id, task_index task, const task_handover& handover);
keyed_record claim_record(const owner_claim& claim);
keyed_record layout_record(const fleet_layout& layout);
keyed_record transfer_record(const worker_transfer& transfer);
keyed_record witness_record(const std::set<worker_life>& witnesses);
bool is_transfer(const keyed_record& record);
// Whether the record is one that is made for callers: of an acceptance or a cancellation.
bool is_caller_record(const keyed_record& record);

// The job that a key names; empty if it names none.
std::string_view job_in_key(std::string_view key);

// Records that drop all that the journal holds of a job.
std::vector<keyed_record> removal_records(const job& j);

enum class record_kind {
  acceptance,
  cancellation,
  progress,
  handover,
  claim,
  layout,
  transfer,
  witnesses
};

// What a record changed. `job` is empty for a claim, a layout, a transfer and witnesses.
struct applied_record {
  record_kind kind = record_kind::acceptance;
  job_id job;
};

struct apply_options {
  bool take_progress = true;  // false for the owner, whose own state is newer
};

// What the journal of a shard says.
struct journal_state {
  job_table table;
  owner_claim claim;                               // the newest
  fleet_layout layout;                             // of the first shard's journal
  std::map<worker_id, worker_transfer> transfers;  // the newest that this shard has made
  std::set<worker_life> witnesses;                 // the newest that an owner has recorded
};

// Applies a record to `state`. A record that can't be read changes nothing.
tl::expected<applied_record, record_error> apply_record(const keyed_record& record,
                                                        journal_state& state,
                                                        const apply_options& options);

}  // namespace coltsfoot::jobs
