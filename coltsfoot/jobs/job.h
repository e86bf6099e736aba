// Jobs: graphs of steps whose tasks run on workers, and what a fleet's operator says of queues.
//
//   job_spec spec{.payload = "sort", .steps = {{.count = 4, .demand = {.millicores = 500}}}};
//   if (const auto fault = fault_of(spec)) refuse(*fault);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/resources.h"
#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

using job_id = string_id<struct job_tag>;      // chosen by the caller, unique in the fleet
using queue_id = string_id<struct queue_tag>;  // a queue of jobs

// Tasks of a job that are alike. All of them may run side by side.
struct step_spec {
  std::uint32_t count = 1;
  resources demand;                       // of one task
  duration estimate{0};                   // rough run time of one task
  std::vector<std::uint32_t> depends_on;  // earlier steps that must be done first
  bool checkpoints = false;               // a task can resume from a saved state
  bool gang = false;                      // the tasks run only all together
  bool tightly_coupled = false;           // slower when spread over racks
  bool speculative = false;               // copies of a task may run side by side
  bool long_running = false;              // tasks run until the job is cancelled
  bool fill = false;           // uses processors that other tasks leave; holds none of its own
  std::string required_label;  // a worker must have it; empty: any worker
  std::string data_label;      // label of the workers near the data; slower elsewhere
  std::uint32_t max_per_worker = 0;   // tasks of the step on one worker; 0: no limit
  std::string image;                  // tasks of one image behave alike
  duration response_target{0};        // of a task that serves users; 0: it serves none
  std::uint32_t max_unavailable = 0;  // long-running tasks that may be down by our own doing

  bool serves() const { return response_target > duration{0}; }
};
COLTSFOOT_CODEC(step_spec, count, demand, estimate, depends_on, checkpoints, gang, tightly_coupled,
                speculative, long_running, fill, required_label, data_label, max_per_worker, image,
                response_target, max_unavailable)

struct job_spec {
  std::string payload;  // passed to each task
  std::vector<step_spec> steps;
  std::uint32_t repetitions = 0;  // 0: the steps run once, at once
  wall_time first_start{};        // of occurrence 0; only with repetitions
  duration interval{0};           // between the starts of two occurrences

  std::uint32_t occurrences() const { return repetitions == 0 ? 1 : repetitions; }
  bool scheduled() const { return repetitions > 0; }
};
COLTSFOOT_CODEC(job_spec, payload, steps, repetitions, first_start, interval)

// Whether the tasks of an occurrence may run at `now`. Those of a job without a schedule always
// may.
bool occurrence_due(const job_spec& spec, std::uint32_t occurrence, wall_time now);

// Ids are parts of keys in the store, whose length has a bound.
inline constexpr std::size_t most_job_id_bytes = 128;

// Bounds on what one job may hold, so that no job can exhaust a node's memory.
inline constexpr std::size_t most_payload_bytes = 4'000;
inline constexpr std::uint32_t most_tasks_per_job = 20'000;

// Bounds on a job's figures, so that sums and products over all of its tasks fit into 64 bits.
inline constexpr duration longest_job_time{1'000'000'000'000};
inline constexpr wall_time latest_job_time{duration{std::int64_t{1} << 53U}};
inline constexpr std::int64_t largest_demand = 1'000'000'000'000;  // per resource, in its unit

// Whether a duration, or a time of day, of a job is within the bounds.
constexpr bool is_in_bounds(duration time) {
  return time >= duration{0} && time <= longest_job_time;
}
constexpr bool is_in_bounds(wall_time time) {
  return time >= wall_time{} && time <= latest_job_time;
}

// Returns why the specification can't be a job, or nothing.
std::optional<std::string> fault_of(const job_spec& spec);

// Memory that a specification takes, in bytes.
std::size_t memory_of(const job_spec& spec);

// Names one task.
struct task_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

// Number of a start of a task. The first is 1; 0 means "never started".
using run_number = std::uint32_t;

struct run_ref {
  task_ref task;
  run_number run = 0;
  friend auto operator<=>(const run_ref&, const run_ref&) = default;
};

// Returns the pairs that name a run in a log line.
std::string log_text(const run_ref& run);

// A queue and its service, as the operator configures them.
struct queue_config {
  queue_id id;
  std::string host;           // of the caller's URL
  std::string path_prefix;    // of the caller's URL; the longest match counts
  service_id service;         // whose workers run the tasks
  std::int32_t priority = 0;  // 0 comes first
  std::uint32_t max_attempts = 1;
  double slack_factor = 1;      // of the latency objective, times the longest chain of work
  duration latency_target{0};   // of the latency objective, added to the chain
  bool needs_approval = false;  // an advisor decides which workers may run a step
  duration approval_validity{0};
};

struct fleet_config {
  std::uint64_t version = 0;
  std::vector<queue_config> queues;
  std::size_t max_body_bytes = std::size_t{256} * 1024;

  // Returns the queue with the longest prefix of `path` on `host`, or null.
  const queue_config* match(std::string_view host, std::string_view path) const;
  const queue_config* find(const queue_id& id) const;
};

// A worker as the registry lists it.
struct worker_listing {
  worker_id id;
  std::uint64_t incarnation = 0;  // another one has nothing of what the former ran
  service_id service;
  std::string address;  // "ip:port"
  std::string zone;
  bool draining = false;
  resources capacity;
  std::vector<std::string> labels;  // the kind, then the rack
  std::uint32_t transfers = 0;      // from one shard to another, so far; not told by the registry
  duration cold_remaining{0};       // the worker is slow for this long after the entry was written
  time_point cold_until{};          // the same, as a time of the node that has read the entry

  std::string_view rack() const { return labels.empty() ? std::string_view{} : labels.back(); }
  bool has_label(std::string_view label) const;
};

}  // namespace coltsfoot::jobs
