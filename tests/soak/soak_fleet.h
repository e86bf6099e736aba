// A deployment for a soak: processes of coltsfoot_fleetd in three zones, the store, workers and
// callers. Faults are injected from outside the processes.
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/transport/http_client.h"
#include "tests/process/support/child_process.h"
#include "tests/soak/standin/worker_servers.h"

namespace coltsfoot::testing {

struct soak_fleet_options {
  std::string program;  // path of coltsfoot_fleetd
  std::string folder;   // for settings, logs and the record
  std::size_t nodes = 6;
  std::size_t workers = 12;
};

inline constexpr std::size_t zone_count = 3;

// One process, which may be stopped and started again on its addresses.
class soak_node {
 public:
  soak_node(const soak_fleet_options& options, std::size_t number,
            const std::string& store_address);

  void start();
  void signal(int number) const;
  // Asks the process to end.
  void ask_to_end();
  // Whether the process has ended without having been told to.
  bool has_crashed();
  void end(int number);
  bool runs() const { return process_ != nullptr; }
  bool paused() const { return paused_; }
  void pause(bool paused);
  const std::string& name() const { return name_; }
  const std::string& caller_address() const { return caller_address_; }
  const std::string& readiness_address() const { return readiness_address_; }

 private:
  void write_settings(const std::string& store_address) const;

  std::string program_;
  std::string folder_;
  std::string name_;
  std::string zone_;
  std::array<reserved_port, 4> ports_;
  std::string caller_address_;
  std::string readiness_address_;
  std::unique_ptr<child_process> process_;
  bool paused_ = false;
  bool asked_to_end_ = false;
};

// What callers know of a job.
struct soak_job {
  bool lasts = false;
  bool accepted = false;
  std::int64_t accepted_at = 0;
  bool cancelled = false;
  bool completed = false;
};

class soak_fleet {
 public:
  explicit soak_fleet(const soak_fleet_options& options);
  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  soak_fleet& operator=(const soak_fleet&) = delete;

  // Returns whether all processes became ready.
  bool start();

  std::size_t zone_of_node(std::size_t node) const { return node % zone_count; }
  std::size_t zone_of_worker(std::size_t worker) const { return worker % zone_count; }

  soak_record& record() { return record_; }
  store_server& store() { return store_; }
  worker_servers& workers() { return workers_; }
  soak_node& node(std::size_t number) { return *nodes_.at(number); }
  std::size_t node_count() const { return nodes_.size(); }
  // The node whose claim of the jobs is the newest in the store.
  std::size_t owner();

  // --- Callers ---
  // Hands a job in at a node; repeated at others until the outcome is certain.
  void submit(const std::string& id, std::size_t node, std::size_t tasks, std::int64_t work_ms);
  // Asks for the states of all accepted jobs that end by themselves. Returns how many are open.
  std::size_t open_jobs();
  std::map<std::string, soak_job> jobs() const;

  // Restarts processes that have ended by themselves. Returns how many had.
  std::size_t revive_crashed();

 private:
  void send_submission(const std::string& id, std::size_t node, const std::string& body,
                       int tries_left);
  http_request request_to(std::size_t node, const std::string& method, const std::string& id) const;

  soak_fleet_options options_;
  soak_record record_;
  store_server store_;
  worker_servers workers_;
  std::vector<std::unique_ptr<soak_node>> nodes_;
  mutable std::mutex mutex_;
  std::map<std::string, soak_job> jobs_;
  std::atomic<bool> stopping_ = false;
  http_client http_;
};

}  // namespace coltsfoot::testing
