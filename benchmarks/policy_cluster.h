// Model of the workers for the policy benchmark: runs tasks and requests, slows them down by the
// hidden table and reports usage late. It holds the truth; a policy decides where work goes.
//
//   cluster fleet{sizes, load};
//   fleet.advance(now_ms, policy);
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "benchmarks/policy_workload.h"

namespace coltsfoot::benchmark {

inline constexpr int urgent_deadline_ms = 1'000;
inline constexpr int deferrable_deadline_ms = 10'000;
inline constexpr int longest_delay_ms = 16'384;  // size of the ring of request ends

inline time_point at(int now_ms) {
  return time_point{duration{now_ms}};
}

enum class task_stage : std::uint8_t { queued, running, stopping, finished, failed, cancelled };
enum class task_end : std::uint8_t { finished, out_of_memory, worker_fault, stopped, cancelled };

struct live_task {
  recorded_task source;
  task_spec spec;
  resources limit;
  task_stage stage = task_stage::queued;
  double done_ms = 0;  // kept by the checkpoint over an eviction
  int worker = -1;
  int attempt = 0;
  int failures = 0;
  int stop_at_ms = 0;  // stopping only
  bool throttled = false;
  int throttled_since_ms = 0;
  int started_ms = 0;
  double slowdown = 1.0;
  std::set<int> failed_on;
};

struct live_worker {
  worker_info info;
  resources used;  // sum of limits, with the backend server
  std::vector<int> tasks;
  std::array<int, 2> slots_used{};  // by urgency
  double ping_slowdown = 1.0;

  resources free() const { return info.capacity - used; }
  int free_slots() const { return info.backends.front().slots - slots_used[0] - slots_used[1]; }
};

// One usage report of a worker, delivered late.
struct task_measurement {
  int task = -1;  // -1: the backend server
  int attempt = 0;
  resources used;
  double slowdown = 1.0;
  std::vector<std::string> neighbours;
};
struct worker_report {
  int worker = 0;
  int measured_ms = 0;
  std::vector<task_measurement> measurements;
};

// Latencies by whole milliseconds. The buckets of latency_histogram are 9% wide, which would hide
// differences between policies.
class latency_counts {
 public:
  void record(int latency_ms) {
    ++counts_[static_cast<std::size_t>(std::clamp(latency_ms, 0, longest_delay_ms - 1))];
    ++total_;
  }
  int quantile(double q) const;

 private:
  std::vector<std::uint32_t> counts_ = std::vector<std::uint32_t>(longest_delay_ms);
  std::uint64_t total_ = 0;
};

struct run_figures {
  latency_counts urgent_latency;
  latency_counts urgent_start;  // wait of urgent tasks for their first start
  int urgent_refused = 0;
  int batch_finished = 0;
  int tasks_failed = 0;
  int evictions = 0;
  std::uint64_t placements = 0;  // tasks placed and requests sent
  std::uint64_t collisions = 0;  // rejected because of stale state
  double task_share_sum = 0;     // processor share of the kind that does not flood
  double slot_share_sum = 0;
  int share_samples = 0;
};

class cluster;

// Decides for the cluster. Times are in milliseconds since the start of the run.
class policy {
 public:
  virtual ~policy() = default;
  virtual void on_task_arrived(int task) = 0;  // also again, after a failure or an eviction
  virtual void on_task_ended(int task, int worker, task_end how, int now_ms) = 0;
  virtual void on_task_cancelled(int task) = 0;  // not running
  virtual void on_report(const worker_report& report, int now_ms) = 0;
  virtual void on_request(int request, int now_ms) = 0;
  virtual void on_request_ended(int request, int worker, int now_ms) = 0;
  virtual void on_tick(int now_ms) = 0;  // each millisecond
};

class cluster {
 public:
  cluster(const deployment& sizes, const workload& load);

  // Runs the whole workload.
  void run(policy& decider);

  // --- For policies ---
  std::vector<live_worker>& workers() { return workers_; }
  live_task& task(int index) { return tasks_[static_cast<std::size_t>(index)]; }
  const recorded_request& request(int index) const {
    return load_.requests[static_cast<std::size_t>(index)];
  }
  const deployment& sizes() const { return sizes_; }
  // Starts a task. The limit must fit; more would break the first invariant of the design.
  void start_task(int index, int worker, const resources& limit, int now_ms);
  void throttle(int index, bool on, int now_ms);
  void evict(int index, int now_ms);
  bool has_slot(int worker) const {
    return workers_[static_cast<std::size_t>(worker)].free_slots() > 0;
  }
  void start_request(int index, int worker, int now_ms);
  void refuse_request(int index);
  run_figures& figures() { return figures_; }

 private:
  struct request_end {
    int request = 0;
    int worker = 0;
  };
  void arrive(int now_ms, policy& decider);
  void end_requests(int now_ms, policy& decider);
  void progress_tasks(int now_ms, policy& decider);
  std::optional<task_end> end_of(const live_task& task, int now_ms) const;
  void end_task(int index, task_end how, int now_ms, policy& decider);
  void measure_slowdowns();
  double slowdown_of(const live_worker& worker, task_class victim, int self) const;
  void report_usage(int now_ms, policy& decider);
  void cancel_wave(int now_ms, policy& decider);
  void sample_shares(int now_ms);

  const deployment& sizes_;
  const workload& load_;
  std::vector<live_worker> workers_;
  std::vector<live_task> tasks_;
  std::size_t next_task_ = 0;
  std::size_t next_request_ = 0;
  std::vector<std::vector<request_end>> ends_;  // ring by the time of the end
  std::deque<worker_report> reports_;           // under way
  run_figures figures_;
};

// What the backend server of each worker holds, as an urgent latency-critical task.
inline constexpr resources backend_reservation{8'000, 16'000, 0};

}  // namespace coltsfoot::benchmark
