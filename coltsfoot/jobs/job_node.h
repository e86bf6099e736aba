// One node of a fleet that runs jobs: takes callers' requests, follows the journal of jobs, and
// owns the jobs while its claim is the newest. A pure state machine between events and commands.
//
//   job_node node{options, now};
//   for (auto& command : node.handle(event, now, wall)) execute(command);
//
// Any node appends acceptances and cancellations to the journal itself, so that callers do not
// depend on the owner. The owner alone appends progress.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/jobs/job_owner.h"
#include "coltsfoot/jobs/node_messages.h"
#include "coltsfoot/jobs/owner_election.h"
#include "coltsfoot/jobs/topic_follower.h"
#include "coltsfoot/observe/latency_histogram.h"

namespace coltsfoot::jobs {

// Reads what others write to the store, in the platform's format.
struct store_codec {
  std::function<tl::expected<fleet_config, std::string>(std::string_view)> config;
  // Of the worker that the key names.
  std::function<tl::expected<worker_listing, std::string>(std::string_view, std::string_view)>
      worker;
  std::string config_key;
};

struct job_node_options {
  std::string node;
  std::uint64_t life = 0;    // tells the lives of a node apart
  std::string peer_address;  // "ip:port" of the peer transport
  store_codec codec;
  job_owner_options owner;
  election_options election;
  topic_follower_options jobs_topic{.poll_interval = duration{250}, .poll_wait = duration{400}};
  topic_follower_options config_topic{.poll_interval = duration{100}, .poll_wait = duration{1'500}};
  topic_follower_options workers_topic{.poll_interval = duration{400}, .poll_wait = duration{800}};
  duration heartbeat{400};         // the owner writes at least this often
  duration append_timeout{1'000};  // also of slow appends: the store may take 60 times as long
  duration append_retry{40};       // after an append that was not recorded
  duration claim_retry{200};       // after a claim that was not recorded
  duration submit_patience{400};   // how long a submission is tried before it is refused
  duration peer_timeout{300};      // of a question to the owner
  duration fresh{1'000};           // age up to which a copy of the journal proves absence
  duration store_silence{2'500};   // without the store for this long, a node is not ready
  duration pause_limit{1'000};     // a pause in which a successor may have taken over
  duration retry_after{1'000};     // told to callers
  duration drain_time{4'000};      // from the shutdown's start to the end of the process
};

struct job_node_stats {
  std::map<caller_verdict, std::uint64_t> answers;
  std::uint64_t appends = 0;
  std::uint64_t appends_failed = 0;
  std::uint64_t reads_failed = 0;
  std::uint64_t malformed_records = 0;
  std::uint64_t claims = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t step_downs = 0;
};

class job_node {
 public:
  job_node(job_node_options options, time_point now, log_sink log);

  std::vector<node_command> handle(node_event event, time_point now, wall_time wall);
  // The same for events that arrived together: what follows from them is decided once.
  std::vector<node_command> handle_all(std::deque<node_event> events, time_point now,
                                       wall_time wall);

  bool is_owner() const { return owner_.has_value(); }
  const job_owner* owner() const { return owner_ ? &*owner_ : nullptr; }
  const job_table& table() const { return table_; }
  const job_node_stats& stats() const { return stats_; }
  std::uint64_t config_version() const { return config_ ? config_->version : 0; }

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
  struct peer_query {
    call_id caller = 0;
    job_id job;
  };

  void on(const caller_request& request);
  void on(const append_ended& event);
  void on(topic_read event);
  void on(const start_answered& event);
  void on(const stop_answered& event);
  void on(const pace_answered& event);
  void on(const look_answered& event);
  void on(const peer_asked& event);
  void on(const peer_answered& event);
  void on(const shutdown_asked& event);
  void on(const time_passed& event);

  // Callers.
  void submit(const caller_request& request, const queue_config& queue, const job_id& id);
  void cancel(const caller_request& request, const job_id& id);
  void query(const caller_request& request, const job_id& id);
  void answer_state(call_id call, const job_id& id);
  void answer(call_id call, caller_answer answer);
  void append_for_caller(const caller_request& request, keyed_record record,
                         caller_verdict verdict);
  void send_caller_appends();
  void on_caller_append_ended(append_verdict verdict);
  void expire_caller_appends();
  void notify_owner(const keyed_record& record);
  bool journal_is_fresh() const;

  // Topics.
  void read_topics();
  void apply_jobs(const topic_change& change);
  void apply_job_record(const keyed_record& record);
  void apply_config(const topic_change& change);
  void apply_workers(const topic_change& change);

  // Ownership.
  void claim_if_due();
  void on_claim_ended(append_verdict verdict);
  void become_owner(const owner_claim& claim);
  void step_down(std::string_view reason);
  void write_owner_batch();
  void on_owner_append_ended(append_verdict verdict);
  void run_owner();
  void shut_down_when_due();
  void update_ready();

  call_id new_call() { return ++last_call_; }
  void push(node_command command) { commands_.push_back(std::move(command)); }
  void log(severity level, const std::string& text) const;

  job_node_options options_;
  log_sink log_;
  time_point now_;
  wall_time wall_;
  time_point last_event_;
  std::vector<node_command> commands_;
  call_id last_call_ = 0;

  std::optional<fleet_config> config_;
  job_table table_;
  owner_claim claim_;  // the newest in the journal
  time_point owner_seen_;
  topic_follower jobs_;
  topic_follower configuration_;
  topic_follower workers_;

  std::map<std::string, caller_append> caller_appends_;  // by key
  std::set<std::string> caller_batch_;                   // keys in the append under way
  call_id caller_append_call_ = 0;                       // 0: none is under way
  time_point next_caller_append_{};
  std::map<call_id, peer_query> peer_queries_;
  std::set<call_id> open_calls_;

  std::optional<owner_claim> pending_claim_;
  call_id claim_call_ = 0;
  std::uint64_t claim_sequence_ = 0;  // number of the claim under way
  time_point next_claim_{};
  time_point claim_seen_by_{};  // until then, a recorded claim is expected in the journal

  std::optional<job_owner> owner_;
  std::uint64_t owner_sequence_ = 0;  // number of the next append of the owner
  std::vector<keyed_record> owner_batch_;
  call_id owner_append_call_ = 0;
  bool owner_batch_open_ = false;  // taken, and not known as recorded
  time_point next_owner_append_{};
  time_point last_owner_record_{};

  std::optional<time_point> shutdown_at_;
  bool resign_sent_ = false;
  bool ended_ = false;
  bool ready_ = false;
  std::optional<time_point> store_contact_;
  job_node_stats stats_;
};

}  // namespace coltsfoot::jobs
