// Recorded workload of the policy benchmark: what arrives when, with true and declared sizes. The
// same seed gives every policy the same workload.
//
//   const workload load = record_workload(deployment_a(), benchmark_case::steady, seed);
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoot/base/codec.h"
#include "coltsfoot/base/random.h"
#include "coltsfoot/model/task.h"
#include "coltsfoot/model/worker.h"

namespace coltsfoot::benchmark {

enum class benchmark_case {
  steady,
  load_shift,
  noisy_waves,
  declared_too_large,
  declared_too_small,
  failing_worker,
  cancellation_wave,
  late_measurements,
  deferrable_flood,
  urgent_flood
};

}  // namespace coltsfoot::benchmark

namespace coltsfoot {
template <>
struct enum_names<benchmark::benchmark_case> {
  using value = benchmark::benchmark_case;
  static constexpr std::array table{
      std::pair{value::steady, std::string_view{"steady"}},
      std::pair{value::load_shift, std::string_view{"load_shift"}},
      std::pair{value::noisy_waves, std::string_view{"noisy_waves"}},
      std::pair{value::declared_too_large, std::string_view{"declared_too_large"}},
      std::pair{value::declared_too_small, std::string_view{"declared_too_small"}},
      std::pair{value::failing_worker, std::string_view{"failing_worker"}},
      std::pair{value::cancellation_wave, std::string_view{"cancellation_wave"}},
      std::pair{value::late_measurements, std::string_view{"late_measurements"}},
      std::pair{value::deferrable_flood, std::string_view{"deferrable_flood"}},
      std::pair{value::urgent_flood, std::string_view{"urgent_flood"}}};
};
}  // namespace coltsfoot

namespace coltsfoot::benchmark {

inline constexpr int run_ms = 60'000;
inline constexpr int warm_up_ms = 10'000;  // requests that arrive earlier are not measured
// Load shift, fault, cancellation wave and floods happen in this part of the run.
inline constexpr int event_from_ms = 20'000;
inline constexpr int event_to_ms = 45'000;
// The shares in a flood are measured from here, when both the flood and the reclaim have settled.
inline constexpr int flood_measured_from_ms = 30'000;

struct deployment {
  std::string name;
  int workers = 0;
  int zones = 0;
  int zone_latency_ms = 0;  // there and back, between two zones
};
deployment deployment_a();
deployment deployment_b();
// Workers in the order of their index, 8 to a rack, each with one backend server.
std::vector<worker_info> workers_of(const deployment& sizes);

// Index of an interference class. The backend server of a worker has the class `ping`.
enum class task_class : std::uint8_t { ping, pricing, sorter, scan, recompute };
inline constexpr std::size_t class_count = 5;
const std::string& class_name(task_class kind);

struct recorded_task {
  int arrives_ms = 0;
  task_class kind = task_class::pricing;
  urgency priority = urgency::deferrable;
  resources declared;
  resources need;  // true use
  double work_ms = 0;
};

struct recorded_request {
  int arrives_ms = 0;
  int service_ms = 0;  // undisturbed
  int zone = 0;        // of the entry node
  urgency priority = urgency::urgent;
};

// Excess slowdown of a task of one class by a neighbour of another, for 8 cores of the neighbour.
// Not known to any policy.
using slowdown_table = std::array<std::array<double, class_count>, class_count>;

struct workload {
  benchmark_case kind = benchmark_case::steady;
  std::vector<recorded_task> tasks;        // ordered by arrival
  std::vector<recorded_request> requests;  // ordered by arrival
  slowdown_table excess{};
  int report_delay_ms = 500;
  int failing_worker = -1;  // fails all its tasks between event_from_ms and event_to_ms
  bool cancellation = false;
};

workload record_workload(const deployment& sizes, benchmark_case kind, std::uint64_t seed);

}  // namespace coltsfoot::benchmark
