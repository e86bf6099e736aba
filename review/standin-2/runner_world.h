// Runners for the cases of this review, as the platform's pages have them: leases by the runner's
// own clock, fences, run numbers, gangs, labels, checkpoints, and ends that are listed until they
// are forgotten. Each node has a listener of its own at each runner, so that a pair can be cut. The
// world notes all starts and ends and judges nothing.
//
//   runner_world runners{nodes, store, record};
//   runners.add({.id = "w-0", .kind = "a", .rack = "r-0"});
//   runners.know("00000000000000a1", {{.tasks = 2, .work_ms = 800, .millicores = 1'000}});
//   runners.start();
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/soak/standin/store_server.h"

namespace coltsfoot::review {

using testing::cut_kind;
using testing::cut_listener;
using testing::rest_request;
using testing::rest_responder;
using testing::rest_response;
using testing::soak_record;
using testing::store_server;

struct runner_options {
  std::string id;
  std::string zone = "za";
  std::string kind = "a";
  std::string rack;
  std::int64_t millicores = 16'000;
  std::int64_t memory_mb = 64'000;
  bool guards = true;  // rejects what does not fit
};

// What the world knows of a step: a runner does not learn it from the order.
struct step_work {
  std::size_t tasks = 1;
  std::int64_t work_ms = 1'000;  // 0: lasts
  std::int64_t millicores = 1'000;
  bool gang = false;
  bool checkpoints = false;
};

// A task that a runner has begun on an order.
struct seen_start {
  std::int64_t at_ms = 0;
  std::string runner;
  std::string kind;  // of the runner at that moment
  std::string job;
  std::string task;
  std::uint32_t run = 0;
  std::size_t node = 0;  // that gave the order
  std::string checkpoint;
  std::int64_t used_millicores = 0;      // of the runner, with this run
  std::int64_t capacity_millicores = 0;  // of the runner
};

struct seen_end {
  std::int64_t at_ms = 0;
  std::string runner;
  std::string task;
  std::uint32_t run = 0;
  std::string how;
};

class runner_world {
 public:
  runner_world(std::size_t nodes, store_server& store, soak_record& record)
      : nodes_(nodes), store_(store), record_(record) {}
  ~runner_world();
  runner_world(const runner_world&) = delete;
  runner_world& operator=(const runner_world&) = delete;

  bool add(const runner_options& options);
  void know(const std::string& job, std::vector<step_work> steps);
  void start();

  // Cuts a runner off from all nodes and the store. It runs on.
  void cut(const std::string& id);
  void heal(const std::string& id);
  // The process of the runner ends, and its connections are reset.
  void crash(const std::string& id);
  // The process starts again under its id, with the figures of `options`.
  void restart(const runner_options& options);
  std::string address_at(const std::string& id, std::size_t node);

  std::vector<seen_start> starts() const;
  std::vector<seen_end> ends() const;
  // Runs that are on their way or at work, by runner.
  std::size_t running(const std::string& job) const;
  // Share of the processors of all runners that are up that is in use, in percent.
  std::int64_t used_percent() const;

 private:
  struct active_run {
    std::string job;
    std::size_t step = 0;
    std::uint32_t run = 0;
    std::int64_t began = 0;
    std::optional<std::int64_t> at_work_since;  // of a gang: when all members were there
    std::int64_t resumed_ms = 0;                // work that the checkpoint stood for
    std::optional<std::int64_t> stop_at;
  };
  struct listed_end {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::string checkpoint;
  };
  struct open_look {
    std::int64_t answer_by = 0;
    rest_responder respond;
  };
  struct runner {
    runner_options options;
    std::vector<std::unique_ptr<cut_listener>> listeners;  // by node
    bool up = true;
    bool cut = false;
    std::uint64_t born = 0;
    std::int64_t clock_start = 0;
    std::uint64_t fence = 0;
    std::int64_t lease_end = 0;
    std::map<std::string, active_run> active;  // by task
    std::vector<listed_end> ended;
    std::uint64_t last_end = 0;
    std::map<std::string, std::uint32_t> barred;  // runs up to this one are not started
    std::vector<open_look> looks;
    std::int64_t next_beat = 0;
    std::int64_t silent_since = 0;
    bool listed = false;
    std::uint64_t sequence = 0;
  };
  using gang_key = std::pair<std::string, std::uint32_t>;  // job and step, run

  void handle(runner& r, std::size_t node, const rest_request& request,
              const rest_responder& respond);
  void start_run(runner& r, std::size_t node, const std::string& body,
                 const rest_responder& respond);
  void stop_run(runner& r, const std::string& body, const rest_responder& respond);
  void look(runner& r, const std::string& body, const rest_responder& respond);
  static bool obeys(runner& r, std::uint64_t fence);
  void extend(runner& r, std::int64_t deadline) const;
  std::string report(const runner& r) const;
  void begin_life(runner& r);
  void end(runner& r, const std::string& task, const std::string& how);
  void beat(runner& r);
  void advance();
  void assemble_gangs();
  void advance(runner& r);
  void break_gangs();
  void answer_looks(runner& r);
  void run_world();
  const step_work& work_of(const active_run& run) const;
  std::int64_t worked_ms(const active_run& run) const;
  std::string checkpoint_of(const active_run& run) const;
  std::int64_t used_millicores(const runner& r) const;
  std::int64_t clock_of(const runner& r) const;
  runner& runner_of(const std::string& id) const;

  std::size_t nodes_;
  store_server& store_;
  soak_record& record_;
  mutable std::recursive_mutex mutex_;
  std::vector<std::unique_ptr<runner>> runners_;
  std::map<std::string, std::vector<step_work>> jobs_;
  std::map<gang_key, bool> broken_gangs_;
  std::vector<seen_start> starts_;
  std::vector<seen_end> ends_;
  std::int64_t now_ = 0;  // of the newest advance
  bool stopping_ = false;
  std::thread world_;
};

}  // namespace coltsfoot::review
