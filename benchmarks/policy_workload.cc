#include "benchmarks/policy_workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace coltsfoot::benchmark {
namespace {

constexpr int workers_per_rack = 8;
constexpr std::int64_t worker_millicores = 64'000;
constexpr std::int64_t worker_memory_mb = 250'000;
constexpr int arrival_step_ms = 10;

// Undisturbed time of a request: a fixed part and an exponential part, cut at the largest.
constexpr int shortest_service_ms = 40;
constexpr double mean_extra_ms = 40;
constexpr int longest_service_ms = 400;

struct class_profile {
  task_class kind;
  urgency priority;
  resources need;
  double mean_work_ms;
  double per_worker_second;  // arrivals under steady load
};

// Steady load: about 60% of the processors of the fleet, with the backend servers.
const std::array<class_profile, 4> profiles{
    class_profile{task_class::pricing, urgency::deferrable, {4'000, 8'000}, 15'000, 0.20},
    class_profile{task_class::sorter, urgency::deferrable, {8'000, 24'000}, 20'000, 0.07},
    class_profile{task_class::scan, urgency::deferrable, {6'000, 16'000}, 12'000, 0.04},
    class_profile{task_class::recompute, urgency::urgent, {4'000, 6'000}, 3'000, 0.30}};

// Offered requests relative to the slots, undisturbed.
constexpr double urgent_slot_load = 0.4;
constexpr double deferrable_slot_load = 0.1;

bool in_event(int at_ms) {
  return at_ms >= event_from_ms && at_ms < event_to_ms;
}

bool noisy(benchmark_case kind) {
  return kind == benchmark_case::noisy_waves || kind == benchmark_case::late_measurements;
}

double task_rate_factor(benchmark_case kind, const class_profile& profile, int at_ms) {
  constexpr int wave_period_ms = 12'000;
  constexpr int wave_ms = 5'000;
  const bool is_urgent = profile.priority == urgency::urgent;
  if (noisy(kind) && profile.kind == task_class::scan) {
    return at_ms % wave_period_ms < wave_ms ? 8.0 : 0.5;
  }
  if (kind == benchmark_case::deferrable_flood) {
    // The urgent tasks want more than their floor, so that the floor is what they keep at least.
    if (is_urgent) return 6.0;
    return in_event(at_ms) ? 6.0 : 0.5;
  }
  if (!in_event(at_ms)) return 1.0;
  if (kind == benchmark_case::load_shift) return is_urgent ? 4.0 : 1.2;
  if (kind == benchmark_case::urgent_flood && is_urgent) return 16.0;
  return 1.0;
}

double request_rate_factor(benchmark_case kind, urgency priority, int at_ms) {
  if (!in_event(at_ms)) return 1.0;
  const bool is_urgent = priority == urgency::urgent;
  if (kind == benchmark_case::load_shift) return is_urgent ? 1.5 : 1.0;
  if (kind == benchmark_case::deferrable_flood) return is_urgent ? 1.0 : 15.0;
  if (kind == benchmark_case::urgent_flood) return is_urgent ? 4.0 : 2.0;
  return 1.0;
}

double declared_factor(benchmark_case kind) {
  if (kind == benchmark_case::declared_too_large) return 4.0;
  if (kind == benchmark_case::declared_too_small) return 0.25;
  return 1.0;
}

resources scaled(const resources& size, double factor) {
  const auto scale = [factor](std::int64_t value) {
    return static_cast<std::int64_t>(std::llround(static_cast<double>(value) * factor));
  };
  return {scale(size.millicores), scale(size.memory_mb), 0};
}

recorded_task draw_task(const class_profile& profile, benchmark_case kind, int at_ms,
                        random_engine& random) {
  std::uniform_real_distribution<double> use{0.8, 1.0};
  std::uniform_real_distribution<double> spread{0.6, 1.4};
  return {.arrives_ms = at_ms,
          .kind = profile.kind,
          .priority = profile.priority,
          .declared = scaled(profile.need, declared_factor(kind)),
          .need = scaled(profile.need, use(random)),
          .work_ms = profile.mean_work_ms * spread(random)};
}

void record_tasks(workload& load, const deployment& sizes, random_engine& random) {
  for (int at = 0; at < run_ms; at += arrival_step_ms) {
    for (const auto& profile : profiles) {
      const double rate = profile.per_worker_second * sizes.workers *
                          task_rate_factor(load.kind, profile, at) * arrival_step_ms / 1'000;
      const int count = std::poisson_distribution<int>{rate}(random);
      for (int i = 0; i < count; ++i) {
        load.tasks.push_back(draw_task(profile, load.kind, at, random));
      }
    }
  }
}

void record_requests(workload& load, const deployment& sizes, random_engine& random) {
  constexpr double slots_per_worker = 8;
  std::exponential_distribution<double> extra{1.0 / mean_extra_ms};
  std::uniform_int_distribution<int> zone{0, sizes.zones - 1};
  const double per_ms = sizes.workers * slots_per_worker / (shortest_service_ms + mean_extra_ms);
  for (int at = 0; at < run_ms; ++at) {
    for (const auto priority : {urgency::urgent, urgency::deferrable}) {
      const double share = priority == urgency::urgent ? urgent_slot_load : deferrable_slot_load;
      const double rate = per_ms * share * request_rate_factor(load.kind, priority, at);
      const int count = std::poisson_distribution<int>{rate}(random);
      for (int i = 0; i < count; ++i) {
        const int service = shortest_service_ms + static_cast<int>(std::lround(extra(random)));
        load.requests.push_back({.arrives_ms = at,
                                 .service_ms = std::min(service, longest_service_ms),
                                 .zone = zone(random),
                                 .priority = priority});
      }
    }
  }
}

slowdown_table draw_excess(random_engine& random) {
  std::uniform_real_distribution<double> mild{0.0, 0.06};
  slowdown_table excess{};
  for (auto& row : excess) {
    for (auto& value : row) value = mild(random);
  }
  constexpr auto index = [](task_class kind) { return static_cast<std::size_t>(kind); };
  excess[index(task_class::ping)][index(task_class::scan)] = 0.6;
  excess[index(task_class::ping)][index(task_class::sorter)] = 0.15;
  excess[index(task_class::recompute)][index(task_class::scan)] = 0.3;
  excess[index(task_class::pricing)][index(task_class::scan)] = 0.1;
  return excess;
}

}  // namespace

deployment deployment_a() {
  return {.name = "A", .workers = 65, .zones = 4, .zone_latency_ms = 1};
}

deployment deployment_b() {
  return {.name = "B", .workers = 50, .zones = 3, .zone_latency_ms = 2};
}

std::vector<worker_info> workers_of(const deployment& sizes) {
  std::vector<worker_info> workers;
  for (int i = 0; i < sizes.workers; ++i) {
    const int zone = i % sizes.zones;
    const int rack = i / sizes.zones / workers_per_rack;
    const auto zone_name = fmt::format("z{}", zone);
    workers.push_back({.id = worker_id{fmt::format("w{:02}", i)},
                       .zone = zone_id{zone_name},
                       .rack = rack_id{fmt::format("{}/r{}", zone_name, rack)},
                       .capacity = {worker_millicores, worker_memory_mb, 0},
                       .backends = {{.id = backend_id{fmt::format("b{:02}", i)},
                                     .service = service_id{"ping"},
                                     .address = fmt::format("{}", i),
                                     .slots = 8,
                                     .connections = 64}}});
  }
  return workers;
}

const std::string& class_name(task_class kind) {
  static const std::array<std::string, class_count> names{"ping", "pricing", "sorter", "scan",
                                                          "recompute"};
  return names[static_cast<std::size_t>(kind)];
}

workload record_workload(const deployment& sizes, benchmark_case kind, std::uint64_t seed) {
  random_engine random{seed};
  workload load{.kind = kind};
  load.excess = draw_excess(random);
  if (kind == benchmark_case::late_measurements) load.report_delay_ms = 10'000;
  if (kind == benchmark_case::failing_worker) {
    load.failing_worker = std::uniform_int_distribution<int>{0, sizes.workers - 1}(random);
  }
  load.cancellation = kind == benchmark_case::cancellation_wave;
  record_tasks(load, sizes, random);
  record_requests(load, sizes, random);
  return load;
}

}  // namespace coltsfoot::benchmark
