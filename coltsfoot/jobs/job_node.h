// One node of a fleet that runs jobs: takes callers' requests, follows the journals of all shards,
// and owns the jobs of a shard while its claim is the newest there. A pure state machine between
// events and commands.
//
//   job_node node{options, now, log};
//   for (auto& command : node.handle(event, now, wall)) execute(command);
//
// Any node appends acceptances and cancellations to a journal itself, so that callers do not depend
// on the owner. The owner alone appends progress.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/jobs/job_shard.h"
#include "coltsfoot/jobs/node_context.h"
#include "coltsfoot/jobs/shard_rooms.h"

namespace coltsfoot::jobs {

class job_node {
 public:
  job_node(job_node_options options, time_point now, log_sink log);

  std::vector<node_command> handle(node_event event, time_point now, wall_time wall);
  // The same for events that arrived together: what follows from them is decided once.
  std::vector<node_command> handle_all(std::deque<node_event> events, time_point now,
                                       wall_time wall);

  // The shards of the fleet; only the first one until the layout is known.
  const std::vector<std::unique_ptr<job_shard>>& shards() const { return shards_; }
  std::size_t owned_shards() const;
  std::size_t jobs() const;
  const job_node_stats& stats() const { return context_.stats; }
  std::size_t evacuated_zones() const { return context_.evacuated.zones().size(); }
  std::uint64_t config_version() const { return config_ ? config_->version : 0; }

 private:
  struct peer_query {
    call_id caller = 0;
    job_id job;
  };
  // The cancellation of a job that this node doesn't know.
  struct unproved_cancel {
    caller_request request;
    job_id job;
    time_point arrived{};
  };
  // Where a job is.
  struct found_job {
    job_shard* shard = nullptr;
    const job* record = nullptr;
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
  void cancel_unknown(const caller_request& request, const job_id& id);
  // Settles the cancellations of unknown jobs for which the journals have been read since.
  void settle_unproved_cancels();
  // Records the cancellation of a job that no journal has.
  void cancel_in_all_shards(const caller_request& request, const job_id& id);
  // Answers a caller whose cancellation was not recorded.
  void refuse_cancel(call_id call);
  void query(const caller_request& request, const job_id& id);
  void commit_records(call_id call, const journal_records& message);
  void answer_state(call_id call, const job_id& id);
  std::size_t pending(const queue_id& queue) const;
  std::size_t bytes_of_jobs() const;
  // Whether there is room for a job that a caller hands in.
  bool has_memory_for(const caller_request& request, const job_shard& shard, const job_id& id);
  found_job find(const job_id& id);
  // Whether the journals of all shards have been read to their ends.
  bool journals_are_read() const;
  // Whether the copies of all shards are new enough to prove that a job is not there.
  bool journals_are_fresh() const;
  // Whether the copies of all shards have every record that was made before `time`.
  bool journals_include(time_point time) const;
  // Makes reads due of the journals that may lack records made before `time`.
  void hurry_journals_behind(time_point time);
  // Whether the configuration is new enough to prove that a queue is not there.
  bool configuration_is_fresh() const;

  // Shards and workers.
  // The owner that gave an order, if it still owns its shard; otherwise null.
  job_owner* owner_of(const order_origin& origin);
  const fleet_layout& layout() const { return shards_.front()->layout(); }
  void open_shards();
  void count_owned_shards();
  void read_topics();
  void apply_config(const topic_change& change);
  void apply_workers(const topic_change& change);
  void apply_evacuations(const topic_change& change);
  void log_evacuation(const evacuation_event& event) const;
  // Reports evacuated zones in which no worker is listed, once for each request.
  void report_empty_zones();
  void note_listing(const worker_id& id, std::string_view value);
  // The shard that a worker belongs to now.
  struct worker_place {
    shard_number shard = first_shard;
    std::uint32_t transfers = 0;  // that brought it there
  };
  std::optional<worker_place> place_of(const worker_listing& listing) const;
  void hand_listing(const worker_listing& listing);
  void hand_all_listings();
  void balance_shards();
  // The listed workers that may get new tasks, and their shards.
  struct usable_worker {
    shard_number shard = first_shard;
    const worker_listing* listing = nullptr;
  };
  std::vector<usable_worker> usable_workers() const;
  std::vector<shard_load> shard_loads() const;
  void give_workers(job_shard& giver, std::vector<shard_load>& loads);
  resources plausible_worker_capacity() const;
  void hand_over_tasks();
  void take_tasks(job_shard& receiver);
  bool is_over_in_own_shard(const job& copy);
  void withdraw_tasks(job_shard& holder);
  void give_tasks(job_shard& giver, std::optional<shard_rooms>& rooms);
  void give_steps_without_worker(job_shard& giver);
  void take_progress_of_copies(job_shard& own);
  shard_rooms listed_rooms() const;
  shard_rooms free_rooms() const;
  void extend_layout();
  bool first_layout_is_due() const;

  void shut_down_when_due();
  void answer_open_calls();
  void update_ready();

  node_context context_;
  time_point last_event_;
  std::optional<fleet_config> config_;
  std::vector<std::unique_ptr<job_shard>> shards_;
  topic_follower configuration_;
  topic_follower workers_;

  // Listed workers; only kept while this node owns a shard.
  std::map<worker_id, worker_listing> registry_;
  std::size_t owned_before_ = 0;
  std::size_t racks_handed_ = 0;      // racks of the layout by which listings were handed out
  std::size_t transfers_handed_ = 0;  // transfers that were known then
  time_point next_balance_{};
  time_point next_handover_{};
  time_point registry_changed_{};
  time_point first_owned_since_{};  // of the first shard

  std::set<std::string> zones_checked_;  // evacuated zones whose workers were looked for

  std::map<call_id, peer_query> peer_queries_;
  std::map<call_id, unproved_cancel> unproved_cancels_;  // by the caller's call
  job_memory memory_{context_.options.memory};
  std::optional<time_point> shutdown_at_;
  bool ended_ = false;
  bool ready_ = false;
};

}  // namespace coltsfoot::jobs
