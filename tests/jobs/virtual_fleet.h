// Job nodes on virtual time with an in-memory store and in-memory workers, connected by a network
// that delays and loses answers. A run is deterministic for its seed. It monitors the workers and
// records each violation of the invariants.
//
//   virtual_fleet fleet{{.nodes = 3, .seed = 7}};
//   fleet.run_for(duration{2'000});
//   fleet.submit(0, "job-1", spec);
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "coltsfoot/base/random.h"
#include "coltsfoot/jobs/job_node.h"
#include "tests/jobs/absence_watch.h"
#include "tests/jobs/fake_runner.h"
#include "tests/jobs/fake_store.h"

namespace coltsfoot::testing {

struct fleet_options {
  int nodes = 3;
  int workers = 4;
  std::uint64_t seed = 1;
  resources capacity{.millicores = 8'000, .memory_mb = 16'000};
  double lost_answers = 0;         // share of orders that are executed but not answered
  double late_orders = 0;          // share of orders that are executed seconds later, unanswered
  duration latest_order{6'000};    // how much later at the most, at least 2 s
  double slow_looks = 0;           // share of looks that spend most of their time in transit
  double lost_append_answers = 0;  // share of appends that succeed but are not answered
  // Whether the store carries out the appends to a journal one at a time, and refuses those that
  // would wait for more than 2 s.
  bool serial_appends = false;
  double compacted_appends = 0;  // share of appends after which the store drops its history
  double failing_tasks = 0;      // share of runs that end failed
  std::uint32_t max_attempts = 3;
  // Of the queue: a job is due after its longest chain of work times the factor, and the target.
  double slack_factor = 1;
  duration latency_target{0};
  std::size_t workers_per_shard = 128;
  std::set<int> rare_racks{};   // their workers have the label "b" in place of "a"
  int zones = 1;                // workers of racks 0, 1, ... are in zones "z0", "z1", ..., in turn
  double link_bytes_per_s = 0;  // that each node can send; 0: no bound
  // Whether an end counts as noted once a worker has listed it, though the answer may be lost.
  bool listed_ends_are_noted = false;
  duration restore{0};  // set for the nodes; 0: slow fill tasks stay where they are
  jobs::store_limits store;
  std::vector<std::uint32_t> strengths;  // per node; the last one applies to all further nodes
};

class virtual_fleet {
 public:
  explicit virtual_fleet(const fleet_options& options);

  void run_for(duration time);
  bool run_until(const std::function<bool()>& done, duration limit);

  // --- Callers: the answer arrives in `answer_of` ---
  call_id submit(int node, const std::string& id, jobs::job_spec spec);
  // Submits a job to a path that need not be of the fleet's queue.
  call_id submit_to(int node, const std::string& path, jobs::job_spec spec);
  call_id cancel(int node, const std::string& id);
  call_id query(int node, const std::string& id);
  call_id count(int node);
  const jobs::caller_answer* answer_of(call_id call) const;
  // Queries a node until it reports that the job is in `state`.
  bool reaches(int node, const std::string& id, jobs::job_state state, duration limit);

  // --- Other nodes, which may send anything: the reply arrives in `reply_to` ---
  call_id ask_as_peer(int node, peer_request request);
  const peer_reply* reply_to(call_id call) const;

  // --- Fault injection ---
  void kill_node(int node);
  bool runs(int node) const { return nodes_.at(static_cast<std::size_t>(node)).core != nullptr; }
  void start_node(int node);
  void freeze_node(int node, bool frozen);
  void cut_store(int node, bool cut);
  void set_store_down(bool down) {
    absences_.on_trouble(now_);
    store_down_ = down;
  }
  // While set, no node can read the operator's topic.
  void set_config_readable(bool readable) {
    absences_.on_trouble(now_);
    config_readable_ = readable;
  }
  void ask_shutdown(int node);
  // From when an append is recorded until its answer arrives.
  void set_append_time(duration time) { append_time_ = time; }
  // While set, no node reaches another one, so that each appends for its callers by itself.
  void cut_peers(bool cut) { peers_cut_ = cut; }
  // While set, appends for callers are not answered and are executed seconds later.
  void set_late_caller_appends(bool late) { late_caller_appends_ = late; }
  void set_worker_reachable(int worker, bool reachable);
  // While set, one node and one worker don't reach each other.
  void cut_worker(int node, int worker, bool cut);
  void restart_worker(int worker);
  // The worker loses its runs, is silent for a while and starts again under its id. Orders that
  // were sent meanwhile reach its next life, as connections that are tried again do.
  void crash_worker(int worker, duration silence);
  // Is called after a worker has carried out a stop.
  void set_stop_hook(std::function<void(const jobs::run_ref&)> hook) {
    stop_hook_ = std::move(hook);
  }
  // While set, all runs that the worker starts fail soon.
  void set_worker_failing(int worker, bool failing);
  void list_worker(int worker, bool draining);
  // Writes a record to the operator's topic; an empty value removes the key.
  void write_config(const std::string& key, const std::string& value);
  void compact_store() {
    absences_.on_trouble(now_);
    store_.compact();
  }

  // Whether a worker runs tasks of a job.
  bool runs_tasks(int worker) const {
    return !workers_.at(static_cast<std::size_t>(worker)).runner.runs().empty();
  }
  // Returns the number of the owner, or -1 if no node or several nodes claim ownership.
  int owner() const;
  // Returns whether each shard has exactly one owner and all running nodes know the layout.
  bool is_settled() const;
  time_point now() const { return now_; }
  const std::set<std::string>& broken() const { return violations_; }
  std::size_t starts() const { return starts_; }
  // Appends that the store has carried out.
  std::size_t appends() const { return store_.appends(); }
  // Takeovers of shards by the nodes that run.
  std::uint64_t takeovers() const;
  // Runs that ended because their lease was over.
  std::size_t lapsed() const;
  // Records whether long-running tasks of accepted jobs ran whenever there was capacity for them.
  const absence_watch& absences() const { return absences_; }
  // Returns the number of the job's runs that are on a worker now.
  std::size_t running(const std::string& id) const;
  const jobs::job_node& node(int number) const { return *nodes_.at(number).core; }
  fake_runner& worker(int number) { return workers_.at(number).runner; }

 private:
  struct node_state {
    std::unique_ptr<jobs::job_node> core;
    std::uint64_t life = 0;  // events of an earlier incarnation are dropped
    bool frozen = false;
    bool store_cut = false;
    time_point link_free_at{};             // when all that was sent so far has left
    std::deque<jobs::node_event> waiting;  // while frozen
  };
  struct worker_state {
    fake_runner runner;
    bool reachable = true;
    bool draining = false;
    bool failing = false;
    time_point silent_until{};  // after a crash
  };
  struct scheduled {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> action;
    friend bool operator>(const scheduled& a, const scheduled& b) {
      return std::pair{a.at, a.order} > std::pair{b.at, b.order};
    }
  };

  bool reaches_worker(int node, int worker) const;
  bool is_silent(int worker) const;
  void after(duration delay, std::function<void()> action);
  void deliver(int node, jobs::node_event event);
  // Delivers events that the node finds together, as after a pause.
  void deliver_all(int node, std::deque<jobs::node_event> events);
  void deliver_after(int node, duration delay, jobs::node_event event);
  void tick(int node, std::uint64_t life);
  void beat();

  void execute(int node, jobs::node_command command);
  void run(int node, const jobs::answer_caller_call& c);
  void run(int node, const jobs::append_to_jobs& c);
  void append_in_turn(int node, const jobs::append_to_jobs& c);
  void run(int node, const jobs::read_topic& c);
  void run(int node, const jobs::give_order& c);
  void run(int node, const jobs::ask_peer& c);
  void run(int node, const jobs::answer_peer& c);
  void run(int node, const jobs::refuse_peer& c);
  void run(int node, const jobs::show_ready& c);
  void run(int node, const jobs::end_process& c);
  void read_when_due(int node, const jobs::read_topic& c, time_point until);
  // Time until a message of this size has crossed the network, behind what was sent before it.
  duration send_delay(int node, std::size_t bytes);
  void look_when_due(int node, std::uint64_t order, const jobs::give_order& c, time_point until);
  void execute_order(int node, std::uint64_t order, const jobs::give_order& c, bool answered);
  // Delivers the result of an order, unless it has had one.
  void end_order(int node, std::uint64_t order, jobs::node_event result);

  call_id ask(int node, const std::string& id, jobs::caller_action action, jobs::job_spec spec);
  task_work work_of(std::size_t worker, const jobs::run_ref& run);
  void check_start(const jobs::run_ref& run, bool late);
  void check_runs();
  void check_absences();
  // Checks that no task of a cancelled job runs on.
  void check_cancellations();
  bool is_expected(const std::string& job) const;
  bool chance(double share);

  fleet_options options_;
  random_engine random_;
  time_point now_{duration{1'000'000}};
  std::uint64_t order_ = 0;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> event_queue_;
  fake_store store_;
  bool store_down_ = false;
  bool config_readable_ = true;
  duration append_time_{5};
  std::map<jobs::shard_number, time_point> journal_free_at_;  // with appends one at a time
  bool late_caller_appends_ = false;
  bool peers_cut_ = false;
  std::function<void(const jobs::run_ref&)> stop_hook_;
  std::vector<node_state> nodes_;
  std::vector<worker_state> workers_;
  std::set<std::pair<int, int>> worker_cuts_;  // node and worker
  std::map<std::string, jobs::job_spec> specs_;
  std::map<std::string, time_point> cancelled_;  // when the cancellation was confirmed
  std::map<call_id, std::string> cancel_calls_;  // calls that cancel
  std::map<call_id, std::string> submit_calls_;  // calls that submit
  std::set<std::string> accepted_;               // jobs whose acceptance was reported to a caller
  absence_watch absences_{{}};
  std::map<call_id, jobs::caller_answer> answers_;
  std::map<std::pair<int, call_id>, std::pair<int, call_id>> peer_calls_;  // receiver's to sender's
  std::map<call_id, peer_reply> foreign_replies_;  // to calls that no node of the fleet has made
  std::set<jobs::task_ref> done_;  // ends that the owner had told a worker to forget
  std::set<std::string> violations_;
  std::size_t starts_ = 0;
  std::set<std::uint64_t> open_orders_;
  std::uint64_t last_order_ = 0;
  call_id last_call_ = 0;
  std::uint64_t last_life_ = 0;
};

}  // namespace coltsfoot::testing
