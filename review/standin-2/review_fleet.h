// A small deployment for a case: processes of coltsfoot_fleetd, the store, runners and callers.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoot/transport/http_client.h"
#include "review/standin-2/runner_world.h"
#include "tests/process/support/child_process.h"

namespace coltsfoot::review {

using testing::child_process;
using testing::reserved_port;

struct fleet_options {
  std::string program;    // path of coltsfoot_fleetd
  std::string template_;  // path of the template of its settings
  std::string folder;     // for settings and logs
  std::string record;     // path of the record
  std::size_t nodes = 2;
  std::string config;  // the operator's configuration
};

struct caller_result {
  int status = 0;  // 0: no answer
  std::string body;
};

class review_fleet {
 public:
  explicit review_fleet(const fleet_options& options);
  ~review_fleet();
  review_fleet(const review_fleet&) = delete;
  review_fleet& operator=(const review_fleet&) = delete;

  soak_record& record() { return record_; }
  store_server& store() { return store_; }
  runner_world& runners() { return runners_; }

  // Call it after the runners were added. Returns whether all nodes have become ready.
  bool start();
  // Returns whether callers are answered with the number of waiting jobs at all nodes.
  std::size_t owner();
  // Asks a process to end, waits for its end and starts it again.
  void restart_node(std::size_t node, int signal);

  // One request of a caller; noted in the record.
  caller_result call(std::size_t node, const std::string& method, const std::string& id,
                     const std::string& body = {});
  // The state that a node shows of a job; empty if it shows none.
  std::string state(std::size_t node, const std::string& id);
  // `pendingCount` of the queue; -1 without an answer.
  std::int64_t pending(std::size_t node);

 private:
  struct node_process {
    std::string name;
    std::array<reserved_port, 4> ports;
    std::unique_ptr<child_process> process;
  };
  void write_settings(std::size_t node) const;
  void start_node(std::size_t node);
  bool wait_until_ready(std::size_t node);

  fleet_options options_;
  soak_record record_;
  store_server store_;
  runner_world runners_;
  std::vector<std::unique_ptr<node_process>> nodes_;
  http_client http_;
};

// The command line of a case: PROGRAM TEMPLATE FOLDER RECORD.
fleet_options options_of(int argc, char** argv);
// Whether the case is run with its disruption.
bool with_trouble();

// The operator's configuration of the queue that all cases use.
std::string one_queue(int max_attempts, bool admission_check);

}  // namespace coltsfoot::review
