// One shard of the fleet's jobs at one node: a copy that follows the shard's journal, the records
// that this node appends for callers, and the owner of the shard's jobs while the node's claim is
// the newest.
//
//   job_shard shard{context, first_shard};
//   shard.append_for_caller(request, acceptance_record(job), caller_verdict::accepted);
//   shard.proceed();  // after each batch of events
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/jobs/job_owner.h"
#include "coltsfoot/jobs/job_record.h"
#include "coltsfoot/jobs/node_context.h"

namespace coltsfoot::jobs {

class job_shard {
 public:
  // `context` must outlive the shard.
  job_shard(node_context& context, shard_number number);

  // --- Events ---
  void on_append_ended(const append_ended& event);
  void on_read(topic_read event);
  void on_notice(const keyed_record& record);
  // Another node asks this one, as the owner, to record what its callers ask for.
  void on_commit_request(call_id peer_call, std::vector<keyed_record> records);
  // Returns whether the answer belongs to a call of this shard.
  bool on_peer_answered(const peer_answered& event);
  // `own_delay`: how late the threads of this node have run lately.
  void on_tick(duration own_delay);
  // Gives the owner the workers of this shard.
  void on_listing(const worker_listing& listing);
  void on_listings(const std::vector<worker_listing>& listings);
  void on_unlisted(const worker_id& worker);
  void on_pause();
  // The set of evacuated zones has changed.
  void on_evacuation();

  // Claims, writes, orders and reads what is due.
  void proceed();

  // --- Callers ---
  // Appends a record for a caller, who is told `verdict` once it is recorded.
  void append_for_caller(const caller_request& request, keyed_record record,
                         caller_verdict verdict);
  // Whether the acceptance of an unknown job by this node may still be recorded, and would count.
  bool may_be_accepted_late(const job_id& id) const;
  // The same, or an acceptance is still to be recorded.
  bool may_be_accepted(const job_id& id) const;
  // Answers all callers who wait for a record. Nothing more is appended for them.
  void end_caller_appends();

  // --- State ---
  shard_number number() const { return number_; }
  const job_table& table() const { return state_.table; }
  const owner_claim& claim() const { return state_.claim; }
  const fleet_layout& layout() const { return state_.layout; }
  // Workers that this shard has given to others, as far as this node has read.
  const std::map<worker_id, worker_transfer>& transfers() const { return state_.transfers; }
  // Grows with each transfer that is read or made.
  std::size_t transfers_applied() const { return transfers_applied_; }
  job_owner* owner() { return owner_ ? &*owner_ : nullptr; }
  const job_owner* owner() const { return owner_ ? &*owner_ : nullptr; }
  bool is_owner() const { return owner_.has_value(); }
  bool is_claiming() const { return claim_call_ != 0 || pending_claim_ || claim_won_; }
  bool caught_up() const { return journal_.caught_up(); }
  // Whether the copy is new enough to prove that a job is not there.
  bool is_fresh() const;
  // Whether the copy has every record that was made before `time`.
  bool includes(time_point time) const;
  // Whether another node owns the shard, as far as is known.
  bool has_other_owner() const;
  // What callers are shown of a job.
  job_state shown_state(const job& j) const;

  // Number of shards that the owner of this one owns, for the election.
  void set_owner_load(std::size_t shards) { owner_load_ = shards; }
  // Makes the next read of the journal due at once.
  void hurry_journal() { journal_.hurry(); }
  // Spaces out calls to the store by the number of shards in the fleet.
  void set_shard_count(std::size_t shards);
  // Records a layout, once; only at the owner of the first shard.
  void record_layout(const fleet_layout& layout);

 private:
  // A record that this node appends for callers, and who waits for it.
  struct caller_append {
    keyed_record record;
    std::vector<call_id> calls;
    caller_verdict verdict = caller_verdict::accepted;  // once recorded
    time_point arrived{};
    time_point give_up{};   // the earliest deadline of the callers
    bool doubtful = false;  // an append of it may have been recorded
  };

  // The appends of the owner since the last line of the log that tells of them.
  struct journal_load {
    std::size_t appends = 0;
    std::size_t recorded = 0;
    std::size_t records = 0;  // of the recorded appends
    duration longest{0};      // from sending an append to its result
  };

  // Records of callers that the owner appends with its own next ones: a group commit.
  struct commit_request {
    std::optional<call_id> peer_call;  // nothing: of this node's own callers
    std::vector<keyed_record> records;
    time_point arrived{};
  };

  // Callers' records.
  void refuse(call_id call, caller_verdict verdict, std::string detail);
  void answer_unknown(call_id call);
  bool may_be_recorded_late(const std::string& key) const;
  bool is_expired(const std::string& key, const caller_append& entry) const;
  void answer_unrecorded(const std::string& key, const caller_append& entry);
  void send_caller_appends();
  void append_for_callers(std::vector<keyed_record> records);
  bool may_ask_owner() const;
  void ask_owner_to_commit(std::vector<keyed_record> records);
  void on_owner_failed(record_fate fate);
  void on_owner_replaced();
  void settle_commit(const commit_request& request, record_fate fate);
  void settle_commits(std::vector<commit_request>& requests, record_fate fate);
  void drop_late_commits();
  void take_commits();
  void withdraw_commits(append_verdict verdict);
  void on_caller_append_ended(append_verdict verdict);
  void expire_caller_appends();
  void notify_owner(const keyed_record& record);

  // Journal.
  read_interval_inputs read_inputs() const;
  void read_journal();
  void apply(const topic_change& change);
  void apply(const keyed_record& record);
  void on_claim_read(std::uint64_t former_fence);

  // Ownership.
  void claim_if_due();
  void on_claim_ended(append_verdict verdict);
  void become_owner_if_due();
  void become_owner();
  void step_down(std::string_view reason);
  void run_owner();
  void write_owner_batch();
  bool take_owner_batch();
  void on_owner_append_ended(append_verdict verdict);
  void note_owner_append(append_verdict verdict);
  void log_journal_load();
  void apply_transfers(const std::vector<keyed_record>& records);

  void log(severity level, const std::string& text) const;

  node_context& context_;
  shard_number number_;
  journal_state state_;
  topic_follower journal_;
  std::size_t shard_count_ = 1;
  std::size_t transfers_applied_ = 0;
  time_point owner_seen_;     // when a record of the owner was read
  time_point claim_read_at_;  // when the newest claim was read
  std::size_t owner_load_ = 1;

  std::map<std::string, caller_append> caller_appends_;  // by key
  std::set<std::string> caller_batch_;                   // keys in the append under way
  // When callers were told that the outcome of a record is unknown, by key.
  std::map<std::string, time_point> unknown_outcomes_;
  call_id caller_append_call_ = 0;           // 0: none is under way
  bool committed_by_owner_ = false;          // what is under way was left to another owner
  std::uint32_t failed_caller_appends_ = 0;  // in a row, of this node's own
  time_point next_caller_append_{};
  std::uint32_t failed_commits_ = 0;  // in a row, that were left to another owner
  time_point owner_failed_{};         // when the newest of them failed
  time_point ask_owner_again_{};

  std::vector<commit_request> commit_queue_;  // for the next batch of the owner
  std::vector<commit_request> commit_batch_;  // at the end of the present one
  std::size_t own_records_ = 0;               // of the owner, in the present batch

  std::optional<owner_claim> pending_claim_;
  call_id claim_call_ = 0;
  std::uint64_t claim_sequence_ = 0;  // number of the claim under way
  time_point next_claim_{};
  // The newest claim is ours. The progress before it may not have been read: a listing has the
  // records in the order of their keys.
  bool claim_won_ = false;
  time_point claim_seen_by_{};  // until then, a recorded claim is expected in the journal

  std::optional<job_owner> owner_;
  std::uint64_t owner_sequence_ = 0;  // number of the next append of the owner
  std::vector<keyed_record> owner_batch_;
  call_id owner_append_call_ = 0;
  bool owner_batch_open_ = false;  // taken, and not known as recorded
  time_point owner_batch_sent_{};  // when it was sent first
  // A batch beyond what the store takes at once is appended in parts.
  std::size_t owner_part_begin_ = 0;
  std::size_t owner_part_end_ = 0;
  std::uint32_t unanswered_appends_ = 0;  // in a row, bounded
  time_point owner_append_sent_{};        // when the newest append of the owner was sent
  journal_load journal_load_;
  time_point next_journal_load_{};
  time_point next_owner_append_{};
  duration append_gap_{0};
  time_point last_owner_record_{};
  std::optional<fleet_layout> layout_to_record_;
  fleet_layout layout_sent_;
  bool resign_sent_ = false;
};

}  // namespace coltsfoot::jobs
