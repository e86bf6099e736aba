// Stand-ins for runners, as PROTOCOL.md has them. What a task does stands in its specification:
//
//   {"workMs":[4000,500],"cpu":[40000,1000],"gang":[2,0]}     one entry a step
//
// workMs 0 lasts until it is stopped. Members of a gang work only while all of them are present in
// one run with one checkpoint, and end `done` together.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/recorder.h"
#include "review/standin/store_standin.h"

namespace review {

struct runner_options {
  std::string id;
  std::string service = "pacecast";
  std::string kind = "a";
  std::string rack;
  std::int64_t cpu = 64'000;
  std::int64_t mem_mb = 256'000;
};

// What a runner has begun on an order.
struct start_event {
  std::int64_t at_ms = 0;
  std::string runner;
  std::string kind;  // of the runner's life
  std::string task;
  std::uint32_t run = 0;
  std::string checkpoint;
};
// An end that a runner lists.
struct end_event {
  std::int64_t at_ms = 0;
  std::string runner;
  std::string task;
  std::uint32_t run = 0;
  std::string how;
  std::optional<std::int64_t> noted_at_ms;  // when `ackCursor` reached it
  bool lease_lapsed_before_note = false;
};

class runner_fleet {
 public:
  runner_fleet(store_standin& store, recorder& record) : store_(store), record_(record) {}
  ~runner_fleet();
  runner_fleet(const runner_fleet&) = delete;
  runner_fleet& operator=(const runner_fleet&) = delete;

  bool add(const runner_options& options);
  void start();

  // Cuts a runner off from the nodes: calls don't arrive, answers don't leave. It runs on.
  void cut(const std::string& id);
  void heal(const std::string& id);
  // The runner crashes: its channels are closed. `revive` starts it again under its id.
  void crash(const std::string& id);
  void revive(const std::string& id, const std::string& kind);

  std::vector<start_event> starts() const;
  std::vector<end_event> ends() const;
  // Where a task runs now; empty: nowhere.
  std::string runner_of(const std::string& task) const;
  std::size_t running() const;

 private:
  struct active_run {
    std::uint32_t run = 0;
    std::int64_t work_ms = 0;  // 0: lasts
    std::int64_t cpu = 0;
    std::uint32_t gang = 0;
    std::string gang_key;
    std::string checkpoint;
    double worked_ms = 0;
    std::int64_t began = 0;
    std::int64_t works_from = 0;
    std::optional<std::int64_t> stop_at;
    bool together = false;  // the whole gang has been present
  };
  struct listed_end {
    std::uint64_t number = 0;
    std::size_t event = 0;  // in `ends_`
    std::string saved;
  };
  struct open_hold {
    std::int64_t answer_by = 0;
    rest_responder respond;
  };
  struct runner {
    runner_options options;
    std::unique_ptr<rest_listener> listener;
    std::uint16_t port = 0;
    bool up = true;
    bool cut_off = false;
    std::uint64_t born = 0;
    std::int64_t clock_start = 0;
    std::uint64_t fence = 0;
    std::int64_t lease_end = 0;
    std::map<std::string, active_run> active;
    std::vector<listed_end> ended;  // not forgotten
    std::uint64_t last_end = 0;
    std::map<std::string, std::uint32_t> barred;
    std::vector<open_hold> holds;
    std::vector<rest_responder> silent;  // of calls behind a cut: their channels stay open
    std::int64_t next_beat = 0;
    std::uint64_t sequence = 0;
  };

  bool listen(runner& r);
  void begin_life(runner& r);
  void handle(runner& r, const rest_request& request, const rest_responder& respond);
  void run_start(runner& r, const std::string& body, const rest_responder& respond);
  void run_stop(runner& r, const std::string& body, const rest_responder& respond);
  void hold(runner& r, const std::string& body, const rest_responder& respond);
  bool obeys(runner& r, std::uint64_t fence) const;
  void extend(runner& r, std::int64_t deadline) const;
  void answer_holds(runner& r);
  std::string report(const runner& r) const;
  void end(runner& r, const std::string& task, const std::string& how);
  void beat(runner& r);
  void advance(std::int64_t passed);
  void advance_runner(runner& r, std::int64_t passed);
  void advance_gangs();
  void break_gang(const std::string& gang_key);
  void run_world();
  std::int64_t clock_of(const runner& r) const { return record_.now_ms() - r.clock_start; }

  store_standin& store_;
  recorder& record_;
  mutable std::recursive_mutex mutex_;
  std::map<std::string, runner> runners_;
  std::vector<start_event> starts_;
  std::vector<end_event> ends_;
  bool stopping_ = false;
  std::thread world_;
};

}  // namespace review
