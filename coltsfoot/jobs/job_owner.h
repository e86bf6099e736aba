// The owner of the fleet's jobs: places tasks on workers, keeps their leases, takes note of ends
// and decides when a job has ended. A pure state machine: it returns orders and journal records,
// and sends nothing itself.
//
// Each start is in the journal before its order is sent, so that a successor knows where a task may
// run. An end is in the journal before the worker is told to forget it, and before a job is shown
// as ended.
//
//   job_owner owner{{}, fence, table, now};
//   owner.on_listing(listing, now);
//   owner.tick(now, wall);
//   if (owner.has_batch()) append(owner.take_batch());
//   for (auto& order : owner.take_orders()) send(order);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coltsfoot/evacuation/evacuation_moves.h"
#include "coltsfoot/jobs/answer_time.h"
#include "coltsfoot/jobs/job_record.h"
#include "coltsfoot/jobs/job_table.h"
#include "coltsfoot/jobs/start_window.h"
#include "coltsfoot/jobs/store_limits.h"
#include "coltsfoot/jobs/worker_calls.h"
#include "coltsfoot/jobs/worker_link.h"
#include "coltsfoot/lease/grant_authority.h"
#include "coltsfoot/observe/latency_histogram.h"
#include "coltsfoot/placing/job_urgency.h"
#include "coltsfoot/placing/pacing.h"
#include "coltsfoot/placing/placement.h"
#include "coltsfoot/relocation/moves_under_way.h"
#include "coltsfoot/relocation/room_claims.h"
#include "coltsfoot/relocation/slow_runs.h"
#include "coltsfoot/routing/retry_budget.h"
#include "coltsfoot/transport/transport_error.h"

namespace coltsfoot::jobs {

struct job_owner_options {
  // Long enough to outlast the takeover by another node, short enough that the work of a worker
  // that was cut off goes on soon.
  duration lease{5'000};
  duration longest_lease{10'000};  // that a worker grants; it shortens longer ones to this
  std::size_t record_bytes = store_limits{}.record_bytes;  // that the store takes
  duration look_wait{800};        // how long a worker may hold back its answer
  duration mixed_look_wait{350};  // the same where filling tasks work beside serving ones
  // While the store answers nothing: whether leases may be granted depends on the newest answers.
  duration needed_look_wait{350};
  grant_options grants;
  duration witness_gap{1'000};   // between two records of the witnesses
  duration look_timeout{1'500};  // at least; `look_wait` included
  // Calls without an answer are repeated after a time that follows the workers' answers, and given
  // up with their connection only after these limits: until then a late answer still counts.
  answer_time_options answers;
  duration order_limit{1'500};  // of starts and stops
  duration look_limit{2'500};   // beside the time that the worker may hold back its answer
  start_window_options window;
  retry_budget_options start_retries;
  duration order_retry{150};  // between two tries of an order
  duration full_pause{400};   // after a worker has said that it has no room
  duration look_retry{200};   // after a look that failed; doubles with each further one
  duration longest_look_retry{800};
  duration unrecorded_look{400};    // between looks while ends wait for the journal
  duration stop_settle{400};        // from a stop's answer until a look must show the end
  duration stall_limit{2'500};      // a run without any progress is started elsewhere
  duration avoid_unhealthy{2'000};  // after a worker has called itself unhealthy
  duration keep_ended{125'000};     // how long an ended job can be asked for
  // How long the cancellation of an unknown job makes its acceptance void. An append without an
  // answer is carried out within seconds.
  duration keep_early_cancels{125'000};
  duration starved_after{1'000};      // without a run, while a task of the job could be started
  duration drain_patience{1'200};     // runs that should end by then stay on a worker that drains
  duration transfer_patience{6'000};  // for the runs of a worker that is to be transferred
  std::size_t most_transfers_at_once = 4;
  // A long-running task that waits this long for room may go to another shard. One that has gone
  // there before waits longer, so that it does not go to and fro, but not so long that it misses
  // room which is there for 3 s.
  duration handover_patience{1'000};
  duration repeated_handover_patience{2'000};
  // A task waits this long before it is asked whether any listed worker of the shard can run it,
  // and as long again for such a worker: entries may be missing for a moment.
  duration workerless_patience{1'000};
  relocation::relocation_options relocation;
  evacuation_options evacuation;
};

struct job_owner_stats {
  std::uint64_t starts = 0;
  std::uint64_t ends_done = 0;
  std::uint64_t ends_failed = 0;
  std::uint64_t ends_other = 0;
  std::uint64_t runs_lost = 0;   // given up without an end
  std::uint64_t rejected = 0;    // starts that a worker rejected
  std::uint64_t unanswered = 0;  // orders without an answer
  std::uint64_t paces = 0;       // orders to work slower or faster
  std::uint64_t transfers = 0;   // workers given to other shards
  std::uint64_t handovers = 0;   // tasks given to other shards
  // Starts in evacuated zones that were not sent, or stopped as they got no answer.
  std::uint64_t starts_withdrawn = 0;
  std::uint64_t slow_moves = 0;        // filling runs stopped to work faster elsewhere
  duration slow_move_gain{0};          // that was expected of them
  std::uint64_t evacuation_moves = 0;  // runs stopped so that their tasks leave an evacuated zone
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t late_starts = 0;     // runs that were over while a start of them could come
  std::uint64_t kept_tasks = 0;      // tasks without a run that stayed with a worker for that
  latency_histogram until_recorded;  // of a start, from its placing
  latency_histogram until_answered;  // of a start order, from sending it
  latency_histogram until_started;   // from a job's acceptance to its first confirmed start
  latency_histogram job_age;         // of completed jobs, from acceptance to the end

  job_owner_stats& operator+=(const job_owner_stats& other);
};

class job_owner {
 public:
  // `authority`: with the witnesses of the former owner.
  job_owner(job_owner_options options, std::uint64_t fence, job_table& table, time_point now,
            wall_time wall, log_sink log, grant_authority authority);
  // Of a shard that nobody has owned before.
  job_owner(const job_owner_options& options, std::uint64_t fence, job_table& table, time_point now,
            wall_time wall, log_sink log)
      : job_owner(options, fence, table, now, wall, std::move(log),
                  grant_authority{options.grants, {}, now, now}) {}

  // --- What happens in the fleet ---
  void on_listing(const worker_listing& listing, time_point now);
  void on_unlisted(const worker_id& worker);
  // The listed workers as a whole; others are not listed any more.
  void on_listings(const std::vector<worker_listing>& listings, time_point now);
  // No task is started any more on workers of these zones; starts there that are not confirmed are
  // withdrawn.
  void set_evacuated_zones(std::set<std::string> zones, time_point now);
  void on_accepted(const job_id& id, time_point now);
  void on_cancelled(const job_id& id, time_point now);

  // --- Answers to orders ---
  void on_start_answer(const worker_life& life, const run_ref& run, const order_answer& answer,
                       time_point now);
  void on_stop_answer(const worker_life& life, const run_ref& run, const order_answer& answer,
                      time_point now);
  void on_pace_answer(const worker_life& life, const run_ref& run, const order_answer& answer);
  // `sent_at`: when the look was sent.
  void on_look_answer(const worker_life& life, const look_answer& answer, time_point sent_at,
                      time_point now);

  // Does what is due: leases, looks, tries of orders. `own_delay`: how late the threads of this
  // node have run lately; an answer that is late by less says nothing about the worker.
  void tick(time_point now, wall_time wall, duration own_delay = duration{0});
  // Places waiting tasks. Call it when the next batch can be appended.
  void place(time_point now, wall_time wall);

  // --- Transfers of workers to other shards ---
  // Returns a worker that can be given away soon, or null. None near the data of `wanted_racks`.
  const worker_listing* spare_worker(const std::set<std::string>& wanted_racks,
                                     time_point now) const;
  // Empties a worker and then records its transfer.
  void begin_transfer(const worker_id& worker, shard_number to, time_point now);
  // Workers on their way to other shards.
  std::vector<std::pair<worker_listing, shard_number>> transfers_under_way() const;
  bool may_begin_transfer() const;

  // --- Handovers of tasks between shards ---
  // Tasks that have waited long enough for room in this shard. To be called regularly: a task waits
  // from the call that finds it waiting first.
  std::vector<task_key> tasks_without_room(time_point now);
  // Waiting tasks of a step, which go to another shard together.
  struct waiting_step {
    job_id job;
    std::vector<task_index> tasks;
  };
  // Steps whose waiting tasks no listed worker of this shard can ever run, for longer than listings
  // come and go. To be called regularly.
  std::vector<waiting_step> steps_without_worker(time_point now);
  // Takes what another shard has recorded of the tasks of a job that it runs for this shard.
  void take_progress(const job& copy, time_point now);
  // Leaves a waiting task to another shard.
  void hand_over(const task_key& key, shard_number to, time_point now);
  // Takes a task that another shard has handed to this one, unless that was done before. `source`
  // is the job in that shard.
  void take_over(const job& source, task_index index, const task_handover& handover,
                 time_point now);
  // Stops the tasks of a partial copy: the job has ended or was cancelled.
  void withdraw(const job_id& id, time_point now);
  // Whether the newest handover of a task is in the journal.
  bool is_handover_recorded(const task_key& key) const;
  // Whether all that is known of a job is in the journal.
  bool is_recorded(const job_id& id) const;

  // --- Journal ---
  bool has_batch() const { return !dirty_.empty() || !removals_.empty() || !next_.empty(); }
  // The records of one job follow each other.
  std::vector<keyed_record> take_batch();
  void on_batch_recorded(time_point now);
  // The store has shown that this owner was the newest at some time since `at`.
  void on_confirmed(time_point at) { grants_.on_confirmed(at); }
  // Returns the record of new witnesses, if they have changed. It belongs to the next append.
  std::optional<keyed_record> take_witness_record(time_point now);
  void on_witnesses_recorded() { grants_.on_proposal_recorded(); }

  std::vector<worker_order> take_orders() { return std::exchange(orders_, {}); }

  std::uint64_t fence() const { return fence_; }
  // Whether a worker has seen a higher fence: another node owns the jobs.
  bool fenced() const { return fenced_; }

  // What callers may be shown. An end that is not recorded yet is not shown.
  job_state visible_state(const job& j) const;

  const job_owner_stats& stats() const { return stats_; }
  const worker_links& links() const { return links_; }
  // Runs on workers of a zone, those included that are not confirmed.
  std::size_t runs_in_zone(const std::string& zone) const;
  std::size_t waiting_jobs() const { return waiting_.size(); }
  const start_window& window() const { return window_; }
  const answer_time& answers() const { return answers_; }
  // Recorded starts that wait for room in the window.
  std::size_t unsent_starts() const { return ready_starts_.size(); }

 private:
  // A demand for which no worker had room.
  struct failed_demand {
    service_id service;
    bool fill = false;
    bool restart = false;
    bool leaves_room = false;  // the task had to leave room for short ones
    std::string image;         // of a filling task
    resources demand;
  };

  // A start order that a worker may still carry out for a run that is over there. The task has its
  // next run on that worker or none: a run there dies with the life that the order could follow.
  struct late_start {
    worker_id worker;
    run_number run = 0;   // the order's
    time_point until{};   // it can't be carried out any more
    bool waits = false;   // the task has no run: it is kept with the worker
    bool runs = false;    // the newest report of the worker shows that it was carried out
    bool failed = false;  // the newest run ended failed: the next one is better elsewhere
  };

  // Lives of a worker that this owner has given orders to.
  struct remembered_lives {
    std::uint64_t incarnation = 0;  // the newest
    std::uint32_t former = 0;
    restart_watch restarts;
  };

  struct recorded_start {
    worker_id worker;
    task_key key;
    run_number run = 0;
    friend bool operator==(const recorded_start&, const recorded_start&) = default;
  };

  // What may be done once the batch that it belongs to is recorded.
  struct recorded_effects {
    std::vector<recorded_start> starts;
    time_point decided_at{};                    // when the newest of the starts was
    std::map<worker_life, std::uint64_t> ends;  // highest number by life: each life counts anew
    std::set<job_id> jobs;
    std::vector<worker_transfer> transfers;
    std::set<task_key> handovers;
    bool empty() const {
      return starts.empty() && ends.empty() && jobs.empty() && transfers.empty() &&
             handovers.empty();
    }
  };

  // Jobs.
  void adopt(time_point now);
  void mark_changed(const job& j);
  void mark_started(job& j);
  void refresh_waiting(const job& j, time_point now);
  bool has_waiting_task(const job& j) const;
  void finish(job& j, job_outcome outcome, time_point now);
  void on_task_done(job& j, task_index index, time_point now);
  void on_task_failed(job& j, task_index index, const std::string& checkpoint, time_point now);
  void requeue(job& j, task_index index, const std::string& checkpoint, time_point now);
  void stop_runs_of(const job_id& id, time_point now);
  void settle_cancelled(job& j, time_point now);
  void drop_expired(time_point now);
  void drop_early_cancels(time_point now);

  // Placing.
  void plan_short_room(time_point now);
  void note_unplaced(const placement_request& request, std::uint32_t tasks);
  void observe_short_demand(time_point now);
  void note_starved(const job& j, time_point now);
  bool is_runless(const job& j, time_point now) const;
  bool is_held_back(const job& j, const job_urgency& urgency, time_point now) const;
  bool is_starved(const job& j, time_point now) const;
  bool much_room_is_free() const;
  void log_long_waits(time_point now) const;
  bool log_wait(const job& j, std::uint32_t step, duration waited, time_point now) const;
  void place_job(job& j, const job_urgency& urgency, time_point now);
  bool is_hopeless(const placement_request& request) const;
  void rank_workers(const placement_request& request, time_point now,
                    std::optional<worker_ranking>& ranking);
  void place_step(job& j, std::uint32_t occurrence, std::uint32_t step, const job_urgency& urgency,
                  time_point now);
  void place_gang(job& j, std::uint32_t occurrence, std::uint32_t step, time_point now);
  void assign(job& j, task_index index, worker_link& link, run_number run, time_point now);
  placement_request request_for(const job& j, std::uint32_t occurrence, std::uint32_t step) const;
  bool occurrence_due(const job& j, std::uint32_t occurrence) const;

  // Moves of slow filling runs.
  void note_progress(placed_run& run, std::uint32_t percent, time_point now) const;
  void learn_speed(placed_run& run, time_point now);
  std::size_t moves_left() const;
  void relocate_slow_runs(time_point now);
  void log_slow_runs() const;
  void place_moved(time_point now);

  // Late starts.
  void note_late_start(const worker_link& link, const task_key& key, const placed_run& run,
                       time_point now);
  void record_late_start(job& j, const worker_link& link, const task_key& key,
                         const placed_run& run, time_point now);
  bool keep_with_worker(job& j, task_index index);
  void settle_late_starts(const worker_link& link, const std::set<run_ref>& listed,
                          time_point sent_at, time_point now);
  void end_late_start(const task_key& key, std::string_view reason, time_point now);
  void give_up_late_starts(const worker_link& link, time_point now);
  void drop_late_starts_of(const job_id& id, time_point now);
  bool has_late_starts(const worker_id& worker) const;
  static bool may_run_in_unheard_life(const worker_link& link, const placed_run& run);
  time_point unheard_life_over(const worker_link& link, time_point late_until) const;
  void place_kept(time_point now);

  // Workers.
  worker_link* link_of(const worker_life& life);
  placed_run* run_of(worker_link& link, const run_ref& run, task_key& key);
  void give_up_runs(worker_link& link, time_point now);
  void end_life(worker_link& link, std::string_view reason, time_point now);
  void doubt_life(worker_link& link, std::string_view cause, time_point now);
  void change_life(worker_link& link, const look_report& report, time_point now);
  void lose_run(worker_link& link, const task_key& key, std::string_view reason, time_point now);
  void on_ended(worker_link& link, const ended_row& row, time_point now);
  void on_running(worker_link& link, const running_row& row, time_point now);
  void settle_missing(worker_link& link, const std::set<run_ref>& listed, bool more_ends,
                      time_point sent_at, time_point now);
  void stop_run(worker_link& link, const task_key& key, time_point now);
  void drain_runs(worker_link& link, time_point now);
  bool is_evacuated(const worker_link& link) const;
  void withdraw_start(worker_link& link, const task_key& key, time_point now);
  void move_evacuated_runs(time_point now);
  void stop_gang_of(const task_key& key, time_point now);
  void stop_unanswered_start(worker_link& link, const task_key& key, placed_run& run,
                             time_point now);
  void forget_link(worker_links::iterator at);
  void settle_transfer(worker_link& link, time_point now);
  void give_up_transfer(worker_link& link);
  bool keep_worker_for(const placement_request& request, time_point now);
  job& add_partial_copy(const job& source);
  bool can_ever_run(const step_spec& step, const service_id& service) const;
  duration handover_patience_for(const job& j, task_index index) const;
  void tend_workers(time_point now);
  void tend_worker(worker_link& link, time_point now);
  void send_due_orders(worker_link& link, time_point now);
  duration next_gap(placed_run& run) const;
  void send_ready_starts(time_point now);
  void repeat_start(worker_link& link, const task_key& key, placed_run& run, time_point now);
  duration answer_timeout() const { return answers_.timeout() + own_delay_; }
  void note_late_polls(worker_link& link, time_point now);
  void note_failed_poll(worker_link& link, order_verdict verdict, time_point now);
  void send_start(worker_link& link, const task_key& key, placed_run& run, time_point now);
  void send_stop(worker_link& link, const run_ref& run);
  void send_pace(worker_link& link, const task_key& key, placed_run& run);
  duration look_wait_of(const worker_link& link, time_point now) const;
  // Whether a former owner may have left a lease there that is longer than those of owners.
  bool may_inherit_long_lease(const worker_link& link) const;
  // From when on no lease lasts there that a former owner granted; nothing as long as that can't be
  // told.
  std::optional<time_point> inherited_until(const worker_link& link) const;
  // From when on no lease lasts there that this or a former owner granted.
  time_point lapses_at(const worker_link& link) const;
  // Whether a lease may last there that is longer than those of owners.
  bool may_have_long_lease(const worker_link& link, time_point now) const;
  void watch_grants(time_point now);
  void send_look(worker_link& link, time_point now);
  void learn_interference(worker_link& link, const look_report& report, time_point now);
  void pace_runs(worker_link& link, time_point now);
  void note_contact(worker_link& link, const std::optional<worker_clock>& clock, time_point now);
  void note_order_answer(worker_link& link, const order_answer& answer, time_point now);
  void note_worker_failure(worker_link& link, time_point now);

  void log_summary(time_point now) const;
  void log(severity level, const std::string& text) const;

  job_owner_options options_;
  std::uint64_t fence_;
  job_table& table_;
  log_sink log_;
  wall_time wall_;  // of the last tick
  grant_authority grants_;
  bool granting_ = true;            // whether leases could be granted at the last tick
  bool inheritance_known_ = false;  // whether it was known then when former leases are over
  time_point next_witnesses_{};
  worker_links links_;
  std::set<std::string> evacuated_zones_;
  moves_in_progress evacuation_moves_;                // out of evacuated zones
  time_point next_evacuation_moves_{};                // when moves are decided next
  std::map<worker_id, remembered_lives> remembered_;  // of workers that have no link any more
  interference_model model_{{}};
  estimate_correction correction_;
  relocation::typical_speeds speeds_;
  relocation::slow_run_finder slow_runs_;
  relocation::moves_under_way slow_moves_;
  relocation::room_claims claims_;
  time_point next_relocation_{};
  std::map<job_id, time_point> waiting_;  // open jobs with a task that could be placed, since when
  std::map<job_id, time_point> runless_since_;  // waiting jobs without a run
  bool room_is_free_ = false;                   // of the present placing pass
  std::size_t judged_ = 0;                      // jobs and workers, in the present placing pass
  time_point next_place_{};                     // when the next placing pass may begin
  worker_id last_tended_;
  std::vector<failed_demand> failed_demands_;  // of the present placing pass
  short_task_room short_room_;                 // as planned for the newest placing pass
  std::map<service_id, short_task_figures> unplaced_short_;  // of the present placing pass
  std::map<service_id, short_task_demand> short_demands_;
  std::size_t starts_left_ = 0;        // that the present placing pass may still decide
  std::size_t first_starts_held_ = 0;  // in the newest placing pass, for slow runs
  duration record_time_{0};      // from the decision to the record of the newest recorded starts
  std::set<job_id> cancelling_;  // cancelled jobs with runs that have not ended
  std::set<job_id> scheduled_;   // jobs with occurrences that are not due yet
  std::map<job_id, time_point> early_cancels_seen_;  // of jobs that were not accepted, since when

  std::map<task_key, late_start> late_starts_;
  std::set<job_id> dirty_;                         // progress to be recorded
  std::set<job_id> new_copies_;                    // partial copies to be recorded
  std::map<task_key, time_point> roomless_since_;  // waiting tasks that may change their shard
  // Steps that no worker of the shard can run, by their first waiting tasks.
  std::map<task_key, time_point> workerless_since_;
  std::vector<keyed_record> removals_;
  recorded_effects next_;       // of the batch that will be taken next
  recorded_effects in_flight_;  // of the batch that is being appended
  std::vector<worker_order> orders_;
  std::deque<recorded_start> ready_starts_;  // recorded, in the order of their urgency
  start_window window_;
  answer_time answers_;
  retry_budget start_retries_;
  duration own_delay_{0};
  bool fenced_ = false;
  time_point next_summary_{};
  job_owner_stats stats_;
};

}  // namespace coltsfoot::jobs
