// A whole deployment on the loopback interface: entry nodes and stand-ins as separate processes.
//
//   local_cluster cluster{{.nodes = 3, .name = "kill_owner"}};
//   cluster.wait_until_ready();
//   cluster.publish();
//   cluster.submit(0, cluster.task("t1", 500));
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/model/operator_messages.h"
#include "coltsfoot/transport/http_client.h"
#include "tests/process/support/child_process.h"

namespace coltsfoot::testing {

struct local_cluster_options {
  int nodes = 3;
  int racks = 2;  // each in a zone of its own
  int workers_per_rack = 2;
  std::string name;  // of the folder for settings and logs
  std::string plan_processors = "16";
  std::string log_switches = "{}";  // of the log stand-in from its start, as JSON
  std::string more_settings;        // further lines of the settings of each node
  bool short_intervals = true;      // false: the defaults of the settings, as in a real deployment
};

class local_cluster {
 public:
  explicit local_cluster(local_cluster_options options);

  // Waits until each running node is ready and hears exactly the others that run, and each rack has
  // an owner that is ready.
  bool wait_until_ready();
  // Publishes a plan with customer "acme", and waits until that is in force on each node and the
  // customer has an owner that is ready.
  bool publish();

  // --- Operators and callers ---
  // Posts to the operator API of a node. Nothing if it was not reached.
  std::optional<operator_reply> ask(int node, const operator_request& request);
  // Publishes the lists of this cluster; `author` also makes the customer list differ.
  std::optional<change_reply> publish_from(int node, std::uint64_t base, const std::string& author);
  std::optional<show_node_reply> state_of(int node);
  std::optional<show_config_reply> config_of(int node);
  task_spec task(const std::string& id, std::int64_t run_ms) const;
  // Submits one task and returns its status; `unknown` if no reply came.
  submit_status submit(int node, const task_spec& spec);
  std::optional<task_status> status_of(int node, const std::string& task);
  bool wait_for_task(int node, const std::string& task, task_phase phase,
                     std::chrono::milliseconds limit = std::chrono::seconds{60});
  // Sends a request through a node. `headers` are added to those of the customer and the id.
  http_result call(int node, const std::string& id, const std::string& target,
                   std::vector<http_header> headers = {});
  // Returns the node that owns a unit as `asked` sees it; nothing if there is none that is ready.
  std::optional<int> owner_of(int asked, const unit_id& unit);
  // Waits until `asked` sees a ready owner of the unit other than `former`, and returns it.
  std::optional<int> wait_for_new_owner(int asked, const unit_id& unit, int former);

  // --- Processes ---
  child_process& node(int number) { return *nodes_.at(number); }
  void start_node(int number);
  std::string address_of(int node) const;
  std::uint16_t caller_port(int node) const { return ports_.at(node).callers.number(); }
  std::uint16_t peer_port(int node) const { return ports_.at(node).peers.number(); }
  // Runs coltsfootd to its end with these settings; returns its exit status and output.
  std::pair<std::optional<int>, std::string> run_with_settings(const std::string& name,
                                                               const std::string& yaml);
  // The settings of a node as YAML.
  std::string settings_of(int node) const;

  // --- Stand-ins ---
  void control_log(const nlohmann::json& switches) { control(log_port_, switches); }
  nlohmann::json read_log() { return read_control(log_port_); }
  void control_hosts(const nlohmann::json& switches) { control(hosts_port_, switches); }
  void control_worker(int worker, const nlohmann::json& switches);
  void control_backend(int backend, const nlohmann::json& switches);
  void control_all_backends(const nlohmann::json& switches);
  // Journals of all workers and of all backend servers, as the stand-ins answer them.
  std::vector<nlohmann::json> worker_journals();
  std::vector<nlohmann::json> backend_journals();
  int workers() const { return options_.racks * options_.workers_per_rack; }

 private:
  struct node_ports {
    reserved_port callers;
    reserved_port peers;
  };

  void start_standins();
  void control(std::uint16_t port, const nlohmann::json& switches);
  nlohmann::json read_control(std::uint16_t port);
  http_result fetch(http_request request);
  std::string write_file(const std::string& name, const std::string& text) const;

  local_cluster_options options_;
  std::string directory_;
  http_client client_;
  std::vector<std::unique_ptr<child_process>> standins_;
  std::uint16_t log_port_ = 0;
  std::uint16_t hosts_port_ = 0;
  std::vector<std::uint16_t> worker_ports_;
  std::vector<std::uint16_t> backend_ports_;
  std::vector<node_ports> ports_;
  std::vector<std::unique_ptr<child_process>> nodes_;
};

}  // namespace coltsfoot::testing

#include "tests/process/support/journals.h"
