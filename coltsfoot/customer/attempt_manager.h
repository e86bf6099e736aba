// The attempts to run a customer's tasks: dispatch, placement on racks, updates, cancellation and
// recovery after a change of the owner. Durable state changes only in `apply`.
//
//   attempts.apply(entry, now, context);
//   attempts.start_owning(epoch, now, context);
//   attempts.on_tick(now, context);
//
// An attempt is sent to one epoch of its rack's owner only. If that owner was replaced before it
// answered, the rack is asked with query_tasks. When a later epoch doesn't hold the attempt, an
// idempotent task gets a new attempt number, and another one ends as "outcome unknown". Messages of
// rack owners that are known to be replaced are ignored, because the attempts that they report as
// lost may have been found by their successors.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfoot/base/random.h"
#include "coltsfoot/customer/customer_options.h"
#include "coltsfoot/customer/dispatch_queue.h"
#include "coltsfoot/customer/plan_account.h"
#include "coltsfoot/customer/size_corrector.h"
#include "coltsfoot/customer/task_ledger.h"
#include "coltsfoot/ownership/unit_context.h"

namespace coltsfoot {

class attempt_manager {
 public:
  explicit attempt_manager(const customer_owner_options& options);

  // Applies a task record and acts on the change if this node owns the unit. Returns whether it
  // changed the ledger.
  bool apply(const record& entry, time_point now, unit_context& context);
  void start_owning(epoch unit_epoch, time_point now, unit_context& context);
  void on_dropped(const record& entry, time_point now, unit_context& context);
  void on_tick(time_point now, unit_context& context);

  task_updates_reply on_updates(const task_updates& message, time_point now, unit_context& context);
  // Takes the result of a call of this object. Returns false for other calls.
  bool on_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply, time_point now,
                  unit_context& context);

  // Appends a task record to the stream; `idle` waits for it.
  void append(record entry, unit_context& context);

  // Chooses candidate racks for a new task and appends its record.
  void append_accepted(const task_spec& spec, unit_context& context);

  // Starts nothing more.
  void drain() { draining_ = true; }
  // True when no place_task is unanswered and no record is on its way.
  bool idle() const { return places_in_flight_ == 0 && records_in_flight_ == 0; }

  const task_ledger& ledger() const { return ledger_; }
  const plan_account& account() const { return account_; }
  // Returns the limit that the task would be started with now.
  resources limit_for(const task_spec& spec) const { return sizes_.limit_for(spec); }
  task_status status_of(const task_id& id) const;

 private:
  enum class disposition { none, recorded, obsolete };
  enum class call_kind { place, stop, stop_stray, query };

  // What this owner knows of an open task, beyond the log.
  struct task_run {
    task_phase phase = task_phase::queued;
    bool bound = false;  // the following six belong to an attempt that runs or may run
    attempt_number attempt;
    rack_id rack;
    epoch rack_epoch = 0;  // of the rack's owner that it was sent to; 0 if not sent by this owner
    worker_id worker;
    resources limit;
    call_id call = 0;            // unanswered place_task or stop_task
    std::uint32_t sends = 0;     // of place_task
    bool delivered = false;      // a place_task may have been acted upon without an answer
    bool void_needed = false;    // refused: start_void has to be recorded
    std::uint64_t known_at = 0;  // sequence of the last definite word on the attempt
    time_point next_send;
    bool record_pending = false;  // a record about an attempt or the outcome is on its way
    std::optional<record> retry;  // that record, if it was not written and is to be appended again
    bool candidates_pending = false;
    std::set<rack_id> awaiting;  // racks that have not said yet what they hold
    std::map<rack_id, time_point> not_before;
    std::uint32_t refusals = 0;
    std::optional<time_point> no_room_since;
    std::string reason;
  };
  // An attempt that must not run, because a newer one of its task is known or the task is over.
  struct stray_attempt {
    rack_id rack;
    call_id call = 0;
    time_point next_send;
  };
  struct sent_call {
    call_kind kind = call_kind::place;
    plan_account::key attempt;
    rack_id rack;
  };
  struct rack_query {
    call_id call = 0;
    std::uint64_t sent_at = 0;  // sequence
    epoch answered_by = 0;      // epoch of the rack's owner
    std::uint32_t failures = 0;
    time_point next_send;
  };
  using reply_type = tl::expected<peer_reply, peer_failure>;

  // Records.
  void append_for(task_run& run, record entry, unit_context& context);
  void end_task(const task_outcome_record& entry, unit_context& context);
  void on_attempt_over(const task_id& id, const attempt_number& attempt, std::string_view event,
                       time_point now, unit_context& context);
  void wait_after_failure(const attempt_failed_record& entry, time_point now);
  void on_intent(const start_intent_record& entry, time_point now, unit_context& context);
  bool move(const task_id& id, task_run& run, std::string_view event, unit_context& context);
  void append_outcome(const task_id& id, task_run& run, const attempt_number& attempt,
                      outcome_kind outcome, std::string reason, unit_context& context);
  void forget_old_tasks(unit_context& context);

  // Dispatch.
  void dispatch(time_point now, unit_context& context);
  enum class dispatch_result { started, delayed, plan_full };
  dispatch_result try_start(const task_id& id, task_run& run, time_point now,
                            unit_context& context);
  dispatch_result wait_for_room(const task_id& id, const ledger_task& task, task_run& run,
                                time_point now, unit_context& context);
  dispatch_result delay(const task_id& id, task_run& run, std::string reason, time_point until);
  void start(const task_id& id, const ledger_task& task, task_run& run, const resources& limit,
             time_point now, unit_context& context);
  void step(const task_id& id, time_point now, unit_context& context);
  void step_placing(const task_id& id, const ledger_task& task, task_run& run, time_point now,
                    unit_context& context);
  void send_stop(const task_id& id, task_run& run, time_point now, unit_context& context);
  static bool was_replaced(const task_run& run, const unit_context& context);
  void requeue(const task_id& id, task_run& run);

  // Attempts.
  void bind(const task_id& id, task_run& run, const attempt_number& attempt, const rack_id& rack,
            const resources& limit);
  void unbind(const task_id& id, task_run& run);
  void make_stray(const task_id& id, const attempt_number& attempt, const rack_id& rack,
                  const resources& limit);
  bool has_stray(const task_id& id) const;
  void release(const task_id& id, const attempt_number& attempt);
  void send_place(const task_id& id, const ledger_task& task, task_run& run, time_point now,
                  unit_context& context);
  call_id send(sent_call origin, peer_request request, unit_context& context);
  void on_placed(const sent_call& sent, const reply_type& reply, time_point now,
                 unit_context& context);
  void on_refused(const task_id& id, const ledger_task& task, task_run& run,
                  const std::string& reason, duration retry_after, time_point now,
                  unit_context& context);
  void drop_unheld(const task_id& id, task_run& run, unit_context& context);
  // Notes that an owner of the rack spoke. Returns false if a newer one is known.
  bool is_newest_owner(const rack_id& rack, epoch rack_epoch, const unit_context& context);
  void on_stopped(const sent_call& sent, const reply_type& reply, time_point now,
                  unit_context& context);
  void on_stray_stopped(const sent_call& sent, const reply_type& reply, time_point now);
  void stop_strays(time_point now, unit_context& context);

  // Updates and queries.
  disposition on_update(const rack_id& rack, const attempt_update& update, time_point now,
                        unit_context& context);
  void on_running(const task_id& id, task_run& run, const rack_id& rack,
                  const attempt_update& update, unit_context& context);
  void on_ended(const task_id& id, const ledger_task& task, task_run& run,
                const attempt_update& update, unit_context& context);
  void on_lost(const task_id& id, task_run& run, std::string reason, unit_context& context);
  bool give_up(const ledger_task& task, const attempt_update& update,
               const unit_context& context) const;
  void send_queries(time_point now, unit_context& context);
  void on_queried(const sent_call& sent, const reply_type& reply, time_point now,
                  unit_context& context);
  void check_tasks_of(const rack_id& rack, const std::set<plan_account::key>& held,
                      const rack_query& query, time_point now, unit_context& context);
  void finish_recovery(const task_id& id, task_run& run, unit_context& context);
  void unlink(const rack_id& rack, const task_id& id, const task_run& run);
  duration back_off(std::uint32_t failures);

  customer_owner_options options_;
  random_engine random_;
  task_ledger ledger_;
  plan_account account_;
  size_corrector sizes_;
  dispatch_queue queue_;
  bool owning_ = false;
  bool draining_ = false;
  bool stale_ = false;  // a rack knows a newer owner of the customer
  epoch epoch_ = 0;
  std::uint32_t last_attempt_ = 0;
  std::uint64_t sequence_ = 0;  // counts replies and queries, to order them
  std::size_t places_in_flight_ = 0;
  std::size_t stops_in_flight_ = 0;
  std::size_t records_in_flight_ = 0;
  std::size_t recovering_ = 0;  // tasks in that phase
  std::map<task_id, task_run> runs_;
  std::set<task_id> attention_;  // tasks that `step` has to look at
  std::map<plan_account::key, stray_attempt> strays_;
  std::map<rack_id, std::set<task_id>> tasks_at_;  // tasks that depend on what a rack holds
  std::map<rack_id, rack_query> queries_;
  std::map<rack_id, epoch> rack_epochs_;  // newest owners that sent anything
  std::unordered_map<call_id, sent_call> calls_;
  std::set<std::pair<wall_time, task_id>> ended_;  // by the time at which the id may be forgotten
};

}  // namespace coltsfoot
