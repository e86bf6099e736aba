// Simple policies that the project's policy is compared with.
//
//   baseline_policy policy{fleet, {.kind = baseline_kind::least_loaded}};
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "benchmarks/policy_cluster.h"
#include "coltsfoot/base/random.h"

namespace coltsfoot::benchmark {

enum class baseline_kind { random, least_loaded, first_fit, optimistic };

struct baseline_options {
  baseline_kind kind = baseline_kind::random;
  // Whether a report of urgent slowdown stops the largest deferrable task on the worker.
  bool evicts = true;
  std::uint64_t seed = 1;
};

// All baselines know the exact state of the cluster, except `optimistic`, whose schedulers each
// place from a copy that is refreshed once a second. They take declared sizes as limits, double
// the limit of a task that ran out of memory, and take tasks and requests in arrival order.
class baseline_policy : public policy {
 public:
  baseline_policy(cluster& fleet, baseline_options options);

  void on_task_arrived(int task) override { queue_.push_back(task); }
  void on_task_ended(int task, int worker, task_end how, int now_ms) override;
  void on_task_cancelled(int task) override { std::erase(queue_, task); }
  void on_report(const worker_report& report, int now_ms) override;
  void on_request(int request, int now_ms) override;
  void on_request_ended(int request, int worker, int now_ms) override;
  void on_tick(int now_ms) override;

 private:
  // What an optimistic scheduler believes.
  struct state_copy {
    std::vector<resources> free;
    std::vector<int> free_slots;
    std::deque<int> rejected;  // requests to be tried again
  };

  bool optimistic() const { return options_.kind == baseline_kind::optimistic; }
  resources limit_for(int task) const;
  int choose_for_task(int task, const resources& limit);
  bool place(int task, int now_ms);
  void place_queued(int now_ms);
  int choose_for_request(int request);
  void send_or_queue(int request, int now_ms);
  void start_from(std::deque<int>& queue, int worker, int now_ms);
  bool expired(int request, int now_ms) const;
  void retry_rejected(state_copy& copy, int now_ms);
  void refresh(state_copy& copy) const;
  int offset();

  cluster& fleet_;
  baseline_options options_;
  random_engine random_;
  std::deque<int> queue_;
  std::map<int, double> limit_factors_;   // of tasks that ran out of memory
  std::vector<std::deque<int>> waiting_;  // requests by worker
  std::deque<int> unassigned_;            // requests without a worker
  std::vector<int> evicted_at_;           // by worker
  std::vector<state_copy> copies_;        // by scheduler
};

}  // namespace coltsfoot::benchmark
