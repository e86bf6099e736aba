#include "benchmarks/policy_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace coltsfoot::benchmark {
namespace {

constexpr int progress_interval_ms = 100;
constexpr int report_interval_ms = 1'000;
constexpr int stop_ms = 1'000;          // a checkpoint and stop takes this long
constexpr int fault_ms = 200;           // after this time a task on the failing worker fails
constexpr int restart_loss_ms = 1'000;  // work repeated after a stop
constexpr int max_failures = 5;
constexpr double throttled_speed = 0.25;
constexpr double table_millicores = 8'000;  // the hidden table holds for this use
constexpr double cancelled_share = 0.7;

std::size_t index_of(task_class kind) {
  return static_cast<std::size_t>(kind);
}

// Rate at which a task works when nothing disturbs it: its limit caps its processors.
double speed_of(const live_task& task) {
  const double cap =
      static_cast<double>(task.limit.millicores) / static_cast<double>(task.source.need.millicores);
  return std::min(1.0, cap) * (task.throttled ? throttled_speed : 1.0);
}

}  // namespace

int latency_counts::quantile(double q) const {
  const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(total_)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    seen += counts_[i];
    if (seen >= rank) return static_cast<int>(i);
  }
  return 0;
}

cluster::cluster(const deployment& sizes, const workload& load)
    : sizes_(sizes), load_(load), ends_(longest_delay_ms) {
  for (auto& info : workers_of(sizes)) {
    workers_.push_back({.info = info, .used = backend_reservation, .tasks = {}});
  }
  for (std::size_t i = 0; i < load.tasks.size(); ++i) {
    const auto& source = load.tasks[i];
    live_task task{.source = source};
    task.spec = {.id = task_id{fmt::format("t{}", i)},
                 .customer = customer_id{"c"},
                 .kind = task_kind::batch,
                 .priority = source.priority,
                 .size = source.declared,
                 .interference_class = class_name(source.kind)};
    tasks_.push_back(std::move(task));
  }
}

void cluster::run(policy& decider) {
  for (int now = 0; now < run_ms; ++now) {
    end_requests(now, decider);
    if (now % progress_interval_ms == 0) {
      progress_tasks(now, decider);
      measure_slowdowns();
      sample_shares(now);
    }
    report_usage(now, decider);
    if (load_.cancellation && now == event_from_ms) cancel_wave(now, decider);
    arrive(now, decider);
    decider.on_tick(now);
  }
}

void cluster::arrive(int now_ms, policy& decider) {
  for (; next_task_ < tasks_.size() && load_.tasks[next_task_].arrives_ms <= now_ms; ++next_task_) {
    decider.on_task_arrived(static_cast<int>(next_task_));
  }
  for (;
       next_request_ < load_.requests.size() && load_.requests[next_request_].arrives_ms <= now_ms;
       ++next_request_) {
    decider.on_request(static_cast<int>(next_request_), now_ms);
  }
}

void cluster::start_task(int index, int worker, const resources& limit, int now_ms) {
  auto& where = workers_[static_cast<std::size_t>(worker)];
  auto& started = task(index);
  if (!limit.fits_in(where.free()) || started.stage != task_stage::queued) {
    throw std::logic_error("a task was started without room or twice");
  }
  where.used += limit;
  where.tasks.push_back(index);
  started.limit = limit;
  started.stage = task_stage::running;
  started.worker = worker;
  if (++started.attempt == 1 && started.source.priority == urgency::urgent) {
    figures_.urgent_start.record(now_ms - started.source.arrives_ms);
  }
  started.throttled = false;
  started.started_ms = now_ms;
  ++figures_.placements;
}

void cluster::throttle(int index, bool on, int now_ms) {
  auto& changed = task(index);
  if (on && !changed.throttled) changed.throttled_since_ms = now_ms;
  changed.throttled = on;
}

void cluster::evict(int index, int now_ms) {
  auto& stopped = task(index);
  if (stopped.stage != task_stage::running) return;
  stopped.stage = task_stage::stopping;
  stopped.stop_at_ms = now_ms + stop_ms;
  ++figures_.evictions;
}

void cluster::start_request(int index, int worker, int now_ms) {
  auto& where = workers_[static_cast<std::size_t>(worker)];
  const auto& started = request(index);
  if (where.free_slots() <= 0) throw std::logic_error("a request was sent without a free slot");
  ++where.slots_used[static_cast<std::size_t>(started.priority)];
  ++figures_.placements;
  const int took = std::max(1, static_cast<int>(started.service_ms * where.ping_slowdown));
  ends_[static_cast<std::size_t>((now_ms + std::min(took, longest_delay_ms - 1)) %
                                 longest_delay_ms)]
      .push_back({index, worker});
}

void cluster::refuse_request(int index) {
  const auto& refused = request(index);
  if (refused.priority != urgency::urgent || refused.arrives_ms < warm_up_ms) return;
  // A refusal costs the caller as much as an answer that comes at the deadline.
  ++figures_.urgent_refused;
  figures_.urgent_latency.record(urgent_deadline_ms);
}

void cluster::end_requests(int now_ms, policy& decider) {
  auto ended = std::move(ends_[static_cast<std::size_t>(now_ms % longest_delay_ms)]);
  ends_[static_cast<std::size_t>(now_ms % longest_delay_ms)].clear();
  for (const auto& [index, worker] : ended) {
    auto& where = workers_[static_cast<std::size_t>(worker)];
    const auto& source = request(index);
    --where.slots_used[static_cast<std::size_t>(source.priority)];
    if (source.priority == urgency::urgent && source.arrives_ms >= warm_up_ms) {
      const bool same_zone = worker % sizes_.zones == source.zone;
      const int latency = now_ms - source.arrives_ms + (same_zone ? 0 : sizes_.zone_latency_ms);
      figures_.urgent_latency.record(latency);
    }
    decider.on_request_ended(index, worker, now_ms);
  }
}

std::optional<task_end> cluster::end_of(const live_task& task, int now_ms) const {
  if (task.stage == task_stage::stopping) {
    return now_ms >= task.stop_at_ms ? std::optional{task_end::stopped} : std::nullopt;
  }
  const bool faulty =
      task.worker == load_.failing_worker && now_ms >= event_from_ms && now_ms < event_to_ms;
  if (faulty && now_ms >= task.started_ms + fault_ms) return task_end::worker_fault;
  // Memory reaches its peak soon after the start.
  if (task.source.need.memory_mb > task.limit.memory_mb && now_ms >= task.started_ms + 500) {
    return task_end::out_of_memory;
  }
  if (task.done_ms >= task.source.work_ms) return task_end::finished;
  return std::nullopt;
}

void cluster::progress_tasks(int now_ms, policy& decider) {
  for (auto& worker : workers_) {
    const auto running = worker.tasks;
    for (const int index : running) {
      auto& moved = task(index);
      if (moved.stage == task_stage::running) {
        moved.done_ms += progress_interval_ms * speed_of(moved) / moved.slowdown;
      }
      if (const auto how = end_of(moved, now_ms)) end_task(index, *how, now_ms, decider);
    }
  }
}

void cluster::end_task(int index, task_end how, int now_ms, policy& decider) {
  auto& ended = task(index);
  const int worker = ended.worker;
  auto& where = workers_[static_cast<std::size_t>(worker)];
  where.used -= ended.limit;
  std::erase(where.tasks, index);
  ended.worker = -1;
  ended.stage = task_stage::queued;
  if (how == task_end::finished) {
    ended.stage = task_stage::finished;
    if (ended.source.priority == urgency::deferrable) ++figures_.batch_finished;
  } else if (how == task_end::cancelled) {
    ended.stage = task_stage::cancelled;
  } else if (how == task_end::stopped) {
    ended.done_ms = std::max(0.0, ended.done_ms - restart_loss_ms);
  } else {
    ended.done_ms = 0;
    if (how == task_end::worker_fault) ended.failed_on.insert(worker);
    if (++ended.failures >= max_failures) {
      ended.stage = task_stage::failed;
      ++figures_.tasks_failed;
    }
  }
  decider.on_task_ended(index, worker, how, now_ms);
  if (ended.stage == task_stage::queued) decider.on_task_arrived(index);
}

double cluster::slowdown_of(const live_worker& worker, task_class victim, int self) const {
  double excess = 0;
  const auto& row = load_.excess[index_of(victim)];
  for (const int index : worker.tasks) {
    if (index == self) continue;
    const auto& other = tasks_[static_cast<std::size_t>(index)];
    const double cores = static_cast<double>(other.source.need.millicores) * speed_of(other);
    excess += row[index_of(other.source.kind)] * cores / table_millicores;
  }
  if (self >= 0) excess += row[index_of(task_class::ping)];
  return 1.0 + excess;
}

void cluster::measure_slowdowns() {
  for (auto& worker : workers_) {
    worker.ping_slowdown = slowdown_of(worker, task_class::ping, -1);
    for (const int index : worker.tasks) {
      auto& victim = task(index);
      victim.slowdown = slowdown_of(worker, victim.source.kind, index);
    }
  }
}

void cluster::report_usage(int now_ms, policy& decider) {
  while (!reports_.empty() && reports_.front().measured_ms + load_.report_delay_ms <= now_ms) {
    decider.on_report(reports_.front(), now_ms);
    reports_.pop_front();
  }
  for (std::size_t w = 0; w < workers_.size(); ++w) {
    // Workers report at different times of the interval.
    if ((now_ms + static_cast<int>(w) * 13) % report_interval_ms != 0) continue;
    const auto& worker = workers_[w];
    worker_report report{.worker = static_cast<int>(w), .measured_ms = now_ms, .measurements = {}};
    std::vector<std::string> classes{class_name(task_class::ping)};
    for (const int index : worker.tasks) classes.push_back(task(index).spec.interference_class);
    const auto without = [&classes](std::size_t self) {
      auto others = classes;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
      return others;
    };
    report.measurements.push_back({.slowdown = worker.ping_slowdown, .neighbours = without(0)});
    for (std::size_t i = 0; i < worker.tasks.size(); ++i) {
      const auto& measured = task(worker.tasks[i]);
      // The limits cap what can be seen of the need.
      const resources used{std::min(measured.source.need.millicores, measured.limit.millicores),
                           std::min(measured.source.need.memory_mb, measured.limit.memory_mb), 0};
      report.measurements.push_back({.task = worker.tasks[i],
                                     .attempt = measured.attempt,
                                     .used = used,
                                     .slowdown = measured.slowdown,
                                     .neighbours = without(i + 1)});
    }
    reports_.push_back(std::move(report));
  }
}

void cluster::cancel_wave(int now_ms, policy& decider) {
  random_engine random{tasks_.size()};
  std::bernoulli_distribution chosen{cancelled_share};
  for (std::size_t i = 0; i < next_task_; ++i) {
    auto& victim = tasks_[i];
    const bool open = victim.stage == task_stage::queued || victim.stage == task_stage::running ||
                      victim.stage == task_stage::stopping;
    if (!chosen(random) || !open || victim.source.priority == urgency::urgent) continue;
    if (victim.stage == task_stage::queued) {
      victim.stage = task_stage::cancelled;
      decider.on_task_cancelled(static_cast<int>(i));
    } else {
      end_task(static_cast<int>(i), task_end::cancelled, now_ms, decider);
    }
  }
}

void cluster::sample_shares(int now_ms) {
  const bool of_urgent = load_.kind == benchmark_case::deferrable_flood;
  if (!of_urgent && load_.kind != benchmark_case::urgent_flood) return;
  if (now_ms < flood_measured_from_ms || now_ms >= event_to_ms) return;
  const auto kept = of_urgent ? urgency::urgent : urgency::deferrable;
  resources held;
  resources capacity;
  int slots = 0;
  int slots_used = 0;
  for (const auto& worker : workers_) {
    capacity += worker.info.capacity;
    if (of_urgent) held += backend_reservation;
    for (const int index : worker.tasks) {
      if (task(index).source.priority == kept) held += task(index).limit;
    }
    slots += worker.info.backends.front().slots;
    slots_used += worker.slots_used[static_cast<std::size_t>(kept)];
  }
  figures_.task_share_sum += dominant_share(held, capacity);
  figures_.slot_share_sum += static_cast<double>(slots_used) / slots;
  ++figures_.share_samples;
}

}  // namespace coltsfoot::benchmark
