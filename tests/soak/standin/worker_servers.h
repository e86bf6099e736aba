// Workers for a soak, as the platform's page has them: leases by their own clock, fences, run
// numbers, and ends that are listed until they are forgotten. Each node has a listener of its own
// at each worker, so that any pair can be cut. They check that no task runs twice.
//
// The work of a task is the time in milliseconds that its specification holds; 0 lasts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/soak/standin/store_server.h"

namespace coltsfoot::testing {

struct soak_worker_options {
  std::string id;
  std::string zone;
  std::string rack;
  std::int64_t millicores = 16'000;
  std::int64_t memory_mb = 64'000;
};

class worker_servers {
 public:
  worker_servers(std::size_t nodes, store_server& store, soak_record& record)
      : nodes_(nodes), store_(store), record_(record) {}
  ~worker_servers();
  worker_servers(const worker_servers&) = delete;
  worker_servers& operator=(const worker_servers&) = delete;

  bool add(const soak_worker_options& options);
  void start();

  std::size_t size() const { return workers_.size(); }
  cut_listener& listener(std::size_t worker, std::size_t node);
  // The worker can't reach the store: it is not listed after a while.
  void cut_store(std::size_t worker, bool cut);
  // Loses all that runs. Then the worker starts again under its id.
  void restart(std::size_t worker);
  std::string address_at(const std::string& id, std::size_t node);

  std::size_t starts() const;
  std::set<std::string> broken() const;

 private:
  struct active_run {
    std::uint32_t run = 0;
    std::size_t node = 0;  // that started it
    std::int64_t began = 0;
    std::int64_t ends_at = 0;  // 0: lasts
    std::int64_t millicores = 0;
    std::optional<std::int64_t> stop_at;
  };
  struct listed_end {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    bool lapsed_since = false;
  };
  struct worker {
    soak_worker_options options;
    std::vector<std::unique_ptr<cut_listener>> listeners;  // by node
    std::uint64_t born = 0;
    std::int64_t clock_start = 0;
    std::uint64_t fence = 0;
    std::int64_t lease_end = 0;
    std::map<std::string, active_run> active;
    std::vector<listed_end> ended;
    std::uint64_t last_end = 0;
    std::map<std::string, std::uint32_t> barred;  // runs up to this one are not started
    struct open_look {
      std::int64_t answer_by = 0;
      rest_responder respond;
    };
    std::vector<open_look> looks;
    bool store_cut = false;
    std::int64_t next_beat = 0;
    std::int64_t silent_since = 0;
    bool entry_removed = false;
    std::uint64_t sequence = 0;
  };

  void handle(worker& w, std::size_t node, const rest_request& request,
              const rest_responder& respond);
  void start_run(worker& w, std::size_t node, const std::string& body,
                 const rest_responder& respond);
  void stop_run(worker& w, const std::string& body, const rest_responder& respond);
  void look(worker& w, const std::string& body, const rest_responder& respond);
  static bool obeys(worker& w, std::uint64_t fence);
  void extend(worker& w, std::int64_t deadline) const;
  std::string report(const worker& w) const;
  void begin_life(worker& w);
  void end(worker& w, const std::string& task, const std::string& how);
  void beat(worker& w);
  void advance(worker& w);
  void report_broken(const std::string& text);
  void check_start(const worker& w, const std::string& task, const active_run& run);
  void run_world();
  // In the worker's own clock, which is 2 % slow.
  std::int64_t clock_of(const worker& w) const;

  std::size_t nodes_;
  store_server& store_;
  soak_record& record_;
  mutable std::recursive_mutex mutex_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::map<std::string, std::string> noted_;  // ends as done that were taken note of, by task
  std::map<std::string, std::uint32_t> newest_runs_;  // that were started, by task
  std::set<std::string> broken_;
  std::size_t starts_ = 0;
  bool stopping_ = false;
  std::thread world_;
};

}  // namespace coltsfoot::testing
