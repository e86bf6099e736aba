// The project's own policy, driven directly: the components of coltsfoot/rack and
// coltsfoot/customer that decide, with the glue of rack_owner and attempt_manager repeated in
// short.
//
//   project_policy policy{fleet, seed};
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "benchmarks/policy_cluster.h"
#include "coltsfoot/customer/customer_options.h"
#include "coltsfoot/customer/dispatch_queue.h"
#include "coltsfoot/customer/size_corrector.h"
#include "coltsfoot/rack/rack_owner.h"

namespace coltsfoot::benchmark {

class project_policy : public policy {
 public:
  project_policy(cluster& fleet, std::uint64_t seed);

  void on_task_arrived(int task) override;
  void on_task_ended(int task, int worker, task_end how, int now_ms) override;
  void on_task_cancelled(int task) override { queue_.forget(fleet_.task(task).spec.id); }
  void on_report(const worker_report& report, int now_ms) override;
  void on_request(int request, int now_ms) override;
  void on_request_ended(int request, int worker, int now_ms) override;
  void on_tick(int now_ms) override;

 private:
  // The deciding parts of one rack owner.
  struct rack_state {
    explicit rack_state(const rack_owner_options& options)
        : rack(options.rack),
          interference(options.interference),
          eviction(options.eviction),
          quarantine(options.quarantine),
          floors(options.floors),
          requests(options.requests) {}

    rack_id rack;
    std::vector<int> workers;
    interference_table interference;
    eviction_planner eviction;
    worker_quarantine quarantine;
    capacity_floors floors;
    request_service requests;
  };
  // What the customer's owner keeps of a waiting task.
  struct waiting_task {
    std::vector<rack_id> candidates;
    std::map<rack_id, time_point> not_before;
    std::optional<time_point> no_room_since;
    int refusals = 0;
  };
  struct measured_slowdown {
    double slowdown = 1.0;
    wall_time at{};
  };

  unit_context context() { return {out_, append_, config_, hosts_, directory_}; }
  rack_state& rack_of_worker(int worker);
  void publish_hints(int now_ms);

  void dispatch(int now_ms);
  bool try_start(int task, time_point now);
  bool decide(int task, rack_state& rack, const resources& limit, time_point now);
  std::vector<placement_worker> placement_view(const rack_state& rack, time_point now) const;
  kind_usage usage_of(const rack_state& rack) const;
  resources capacity_of(const rack_state& rack) const;
  void evict(rack_state& rack, int now_ms);
  eviction_worker eviction_view(const rack_state& rack, int worker, time_point now) const;

  void forward(int request, const std::vector<rack_id>& refused_by, int now_ms);
  void take_commands(int now_ms);
  void on_refused(int request, int now_ms);

  cluster& fleet_;
  rack_owner_options options_;
  customer_owner_options customer_options_;
  random_engine random_;
  std::map<rack_id, rack_state> racks_;
  std::vector<rack_state*> worker_racks_;
  unit_directory directory_;
  std::uint64_t hint_version_ = 0;

  dispatch_queue queue_;
  size_corrector sizes_;
  std::unordered_map<int, waiting_task> waiting_;
  std::vector<measured_slowdown> ping_slowdowns_;         // by worker
  std::unordered_map<int, measured_slowdown> slowdowns_;  // by task

  outbox out_;
  std::vector<record> append_;
  cluster_config config_;
  host_list hosts_;
  std::unordered_map<int, call_id> calls_;                    // of running requests
  std::unordered_map<int, std::vector<rack_id>> refused_by_;  // by waiting request
  std::unordered_map<int, rack_id> forwarded_to_;
};

}  // namespace coltsfoot::benchmark
