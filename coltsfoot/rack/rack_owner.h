// Owns the workers of one rack: keeps the roster, synchronises the workers, places, evicts and
// reports tasks, and runs requests on the rack's backend servers. Satisfies `owned_unit`.
//
//   rack_owner owner{rack_owner_options{.rack = rack_id{"z1/r1"}}};
//   owner.start_owning(epoch, now, context);
//   owner.on_peer_request(call, place_task{...}, now, context);
//
// An attempt is bound to the epoch that its place_task names: owners of other epochs answer
// not_owner and don't start it, because placements, refusals and recorded ends are kept in memory
// and are unknown to later owners. After a change of the rack's owner, the customer's owner asks
// with query_tasks; what a recovered owner of a later epoch doesn't hold is not running and never
// will be.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/random.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"
#include "coltsfoot/node/commands.h"
#include "coltsfoot/ownership/unit_context.h"
#include "coltsfoot/rack/attempt_fence.h"
#include "coltsfoot/rack/capacity_floors.h"
#include "coltsfoot/rack/eviction_planner.h"
#include "coltsfoot/rack/interference_table.h"
#include "coltsfoot/rack/placement_policy.h"
#include "coltsfoot/rack/request_service.h"
#include "coltsfoot/rack/update_reporter.h"
#include "coltsfoot/rack/worker_quarantine.h"
#include "coltsfoot/rack/worker_session.h"

namespace coltsfoot {

struct rack_owner_options {
  rack_id rack;
  duration lease{5'000};
  duration lease_margin{2'000};  // clock drift, and the time a sync can be under way
  duration confirmation_period{3'000};
  duration sync_interval{1'000};
  duration sync_timeout{1'000};  // less than `lease_margin`
  duration report_timeout{1'000};
  duration batching_window{20};     // place requests received within it are decided together
  duration roster_interval{200};    // between two readings of the host list
  duration eviction_interval{250};  // between two runs of the eviction planner
  duration refusal_retry{1'000};    // `retry_after` of refused and recovering replies
  std::size_t fence_limit = 65'536;
  std::uint64_t seed = 1;  // order of the first syncs
  floor_options floors{};
  placement_options placement{};
  eviction_options eviction{};
  quarantine_options quarantine{};
  interference_options interference{};
  reporter_options reports{};
  request_service_options requests{};
};

class rack_owner {
 public:
  explicit rack_owner(rack_owner_options options);

  // --- owned_unit ---
  void apply(const record& entry, time_point now, unit_context& context);
  std::vector<record> snapshot_records() const;
  void start_owning(epoch unit_epoch, time_point now, unit_context& context);
  void on_dropped(const record& entry, time_point now, unit_context& context);
  void on_ownership_lost(time_point now, unit_context& context);
  void on_tick(time_point now, unit_context& context);
  bool drain(time_point now, unit_context& context);
  unit_entry describe(time_point now) const;

  // --- Results of calls, and requests of peers ---
  // Takes place_task, query_tasks, stop_task and forward_request. Others are refused.
  void on_peer_request(call_id call, const peer_request& request, time_point now,
                       unit_context& context);
  void on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                       time_point now, unit_context& context);
  void on_worker_synced(call_id call,
                        const tl::expected<worker_sync_reply, platform_failure>& reply,
                        time_point now, unit_context& context);
  void on_backend_answered(call_id call, const service_answer& answer, time_point now,
                           unit_context& context);

  // Whether all workers that may hold work of former owners are inventoried or given up.
  bool recovered() const { return owning_ && recovering_.empty(); }

 private:
  struct waiting_place {
    call_id call = 0;
    place_task message;
    time_point received;
  };

  // Roster (rack_owner.cc)
  void read_roster(unit_context& context);
  void add_listed(const worker_info& worker, unit_context& context);
  void remove_unlisted(const worker_session& session, unit_context& context);
  void update_leaving(time_point now, unit_context& context);
  void update_backends();
  bool takes_work(const worker_session& session) const;

  // Synchronisation (rack_owner.cc)
  void sync_workers(time_point now, unit_context& context);
  void send_sync(worker_session& session, time_point now, unit_context& context);
  void give_up_silent(time_point now, unit_context& context);
  void take_changes(worker_session& session, const session_changes& changes, time_point now,
                    unit_context& context);
  void note_end(const worker_id& worker, const rack_attempt& attempt, time_point now,
                unit_context& context);
  void learn_interference(worker_session& session, const worker_sync_reply& reply, time_point now);
  bool has_unconfirmed_starts() const;
  void check_recovered(const worker_id& worker, unit_context& context);

  // Placement (rack_owner_placement.cc)
  void on_place(call_id call, const place_task& message, time_point now, unit_context& context);
  void on_query(call_id call, const query_tasks& message, unit_context& context);
  void on_stop(call_id call, const stop_task& message, time_point now, unit_context& context);
  void on_forward(call_id call, const forward_request& message, time_point now,
                  unit_context& context);
  std::optional<place_task_reply> answer_without_placing(const place_task& message,
                                                         unit_context& context);
  std::optional<place_task_reply> answer_for_known(const place_task& message,
                                                   unit_context& context);
  std::size_t next_to_serve(const std::vector<waiting_place>& batch,
                            const std::map<customer_id, double>& served) const;
  void log_decision(const place_task& message, const placement_decision& decision,
                    unit_context& context) const;
  void decide_waiting(time_point now, unit_context& context);
  place_task_reply decide(const place_task& message, time_point now, unit_context& context);
  place_task_reply refuse(const place_task& message, std::string_view reason,
                          unit_context& context);
  void note_refused_capacity(const place_task& message, time_point now);
  std::vector<placement_worker> placement_view(time_point now) const;
  kind_usage usage_by_kind() const;
  resources usable_capacity() const;
  double pressure(time_point now) const;

  // Reports and eviction (rack_owner_reports.cc)
  void end_attempts(const std::vector<attempt_id>& ids, time_point now, unit_context& context);
  void send_reports(time_point now, unit_context& context);
  void watch_customers(unit_context& context);
  void take_report_reply(const due_report& ended, const task_updates_reply& reply, time_point now,
                         unit_context& context);
  void stop_obsolete(const attempt_id& id, time_point now, unit_context& context);
  void set_recorded(const attempt_id& id);
  void evict(time_point now, unit_context& context);
  std::vector<eviction_worker> eviction_view(time_point now) const;
  eviction_worker eviction_view(const worker_session& session, time_point now) const;
  worker_session* session_of(const attempt_id& id);
  rack_attempt* find_attempt(const attempt_id& id);

  rack_owner_options options_;
  random_engine random_;
  bool owning_ = false;
  bool draining_ = false;
  epoch epoch_ = 0;
  std::uint64_t sequence_ = 0;  // of the last sync to any worker
  time_point owning_since_;
  std::map<worker_id, worker_session> sessions_;  // the roster
  std::set<worker_id> recovering_;                // roster workers not inventoried since the claim
  std::set<worker_id> listed_;                    // in the host list, in this rack
  std::set<worker_id> leaving_;                   // by the list or by an operator's mark
  std::set<worker_id> marked_by_list_;
  std::set<worker_id> adding_;                    // roster_add is under way
  std::set<worker_id> removing_;                  // roster_remove is under way
  std::map<attempt_id, worker_id> index_;         // all attempts of all sessions
  std::map<customer_id, epoch> reported_epochs_;  // customer owners that were told of running work
  std::vector<waiting_place> waiting_;
  std::optional<time_point> roster_read_;
  std::optional<time_point> eviction_run_;
  std::uint64_t backends_hash_ = 0;
  double refused_share_ = 0;  // refused demand relative to capacity, as of `refused_at_`
  time_point refused_at_;
  attempt_fence fence_;
  capacity_floors floors_;
  eviction_planner eviction_;
  worker_quarantine quarantine_;
  interference_table interference_;
  update_reporter reporter_;
  request_service requests_;
};

static_assert(owned_unit<rack_owner>);

}  // namespace coltsfoot
