// A small deployment for the review scripts: processes of coltsfoot_fleetd, and stand-ins for the
// store, the workers and the callers.
//
//   review_fleet fleet{{.folder = folder, .record = record_path}};
//   if (!fleet.start()) return exit_not_run;
//   fleet.submit(0, "0123456789abcdef", body);
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "coltsfoot/transport/http_client.h"
#include "tests/process/support/child_process.h"
#include "tests/soak/standin/worker_servers.h"

namespace coltsfoot::review {

struct review_fleet_options {
  std::string folder;  // for settings and logs
  std::string record;  // path of the record
  std::size_t nodes = 3;
  std::size_t workers = 8;
  std::size_t workers_per_rack = 12;
  std::int64_t worker_millicores = 16'000;
  std::size_t silent_workers = 0;  // the last ones don't register until told to
  // Address that a worker registers, given its id and the address that it listens on; null: that.
  std::function<std::string(const std::string& id, const std::string& address)> route;
};

// One process of coltsfoot_fleetd.
class review_node {
 public:
  review_node(const review_fleet_options& options, std::size_t number,
              const std::string& store_address);

  void start();
  void signal(int number) const { process_->signal(number); }
  void kill() { process_->kill_now(); }
  bool running() { return process_ && process_->running(); }
  std::string output() const { return process_->output(); }
  void end();
  const std::string& name() const { return name_; }
  const std::string& caller_address() const { return caller_address_; }
  const std::string& readiness_address() const { return readiness_address_; }

 private:
  void write_settings(const std::string& store_address) const;

  std::string folder_;
  std::string name_;
  std::array<testing::reserved_port, 4> ports_;
  std::string caller_address_;
  std::string readiness_address_;
  std::unique_ptr<testing::child_process> process_;
};

struct caller_answer {
  int status = 0;  // 0: none
  std::string body;
};

// What callers know of a job.
struct known_job {
  bool accepted = false;
  bool completed = false;
};

class review_fleet {
 public:
  explicit review_fleet(const review_fleet_options& options);
  ~review_fleet();
  review_fleet(const review_fleet&) = delete;
  review_fleet& operator=(const review_fleet&) = delete;

  // Starts the stand-ins; `start` does so too.
  bool start_workers();
  // Lets the workers check in; `start` does so too.
  void start_world();
  // Returns whether all processes became ready.
  bool start();
  // Ends all processes.
  void end();

  testing::soak_record& record() { return record_; }
  testing::store_server& store() { return store_; }
  testing::worker_servers& workers() { return workers_; }
  review_node& node(std::size_t number) { return *nodes_.at(number); }
  std::size_t node_count() const { return nodes_.size(); }
  // How many records the journal of a shard has had.
  std::uint64_t journal_end(std::uint64_t shard);
  // How many shards nodes have become the owners of since the start, repetitions included.
  std::size_t takeovers() const;

  // --- Callers ---
  // Sends a call to a node; the answer is noted in the record.
  void call(std::size_t node, const std::string& method, const std::string& id,
            const std::string& body, std::function<void(caller_answer)> done);
  caller_answer call_and_wait(std::size_t node, const std::string& method, const std::string& id,
                              const std::string& body = {});
  // Hands a job in; without a certain answer it is repeated at the next node.
  void submit(std::size_t node, const std::string& id, const std::string& body);
  // Asks for the states of all accepted jobs. Returns how many are not completed.
  std::size_t open_jobs();
  std::size_t accepted_jobs();

 private:
  void send_submission(std::size_t node, const std::string& id, const std::string& body,
                       int tries_left);

  review_fleet_options options_;
  testing::soak_record record_;
  testing::store_server store_;
  testing::worker_servers workers_;
  bool workers_started_ = false;
  bool world_started_ = false;
  std::vector<std::unique_ptr<review_node>> nodes_;
  std::mutex mutex_;
  std::map<std::string, known_job> jobs_;
  std::atomic<bool> stopping_ = false;
  http_client http_;
};

// Body of a job with one step.
struct simple_job {
  std::size_t tasks = 1;
  std::int64_t work_ms = 1'000;  // of a task
  std::int64_t millicores = 2'000;
  std::string data_rack;  // empty: none
  std::string label;      // that a worker must have; empty: any worker
  bool lasts = false;
};
std::string body_of(const simple_job& job);

// A job id as callers choose it: 16 hexadecimal digits.
std::string job_name(std::uint64_t number);

}  // namespace coltsfoot::review
