#include "coltsfoot/jobs/job.h"

#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot::jobs {
namespace {

bool is_too_large(const resources& demand) {
  return std::max({demand.millicores, demand.memory_mb, demand.accelerators}) > largest_demand;
}

std::optional<std::string> fault_of_step(const step_spec& step, std::size_t number) {
  const auto name = "step " + std::to_string(number) + ": ";
  if (step.count == 0) return name + "has no tasks";
  if (step.demand.is_negative()) return name + "asks for a negative amount";
  if (is_too_large(step.demand)) return name + "asks for too much";
  if (!is_in_bounds(step.estimate)) return name + "has an estimate out of range";
  if (!is_in_bounds(step.response_target)) return name + "has a response target out of range";
  for (const auto earlier : step.depends_on) {
    if (earlier >= number) return name + "depends on a step that is not earlier";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> fault_of(const job_spec& spec) {
  if (spec.payload.size() > most_payload_bytes) return "specification is too long";
  if (spec.steps.empty()) return "has no steps";
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    if (auto fault = fault_of_step(spec.steps[i], i)) return fault;
    tasks += spec.steps[i].count;
  }
  // The product may not fit into an integer.
  if (tasks > most_tasks_per_job / spec.occurrences()) return "has too many tasks";
  if (!is_in_bounds(spec.interval)) return "has an interval out of range";
  if (!is_in_bounds(spec.first_start)) return "has a start out of range";
  return std::nullopt;
}

std::size_t memory_of(const job_spec& spec) {
  std::size_t bytes = sizeof(spec) + spec.payload.capacity();
  for (const auto& step : spec.steps) {
    bytes += sizeof(step) + step.depends_on.capacity() * sizeof(std::uint32_t) +
             step.required_label.capacity() + step.data_label.capacity() + step.image.capacity();
  }
  return bytes;
}

bool occurrence_due(const job_spec& spec, std::uint32_t occurrence, wall_time now) {
  return !spec.scheduled() || spec.first_start + spec.interval * occurrence <= now;
}

std::string log_text(const run_ref& run) {
  return fmt::format("job={} task={}.{}.{} run={}", log_value(run.task.job.value),
                     run.task.occurrence, run.task.step, run.task.index, run.run);
}

const queue_config* fleet_config::match(std::string_view host, std::string_view path) const {
  const queue_config* best = nullptr;
  for (const auto& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()) best = &queue;
  }
  return best;
}

const queue_config* fleet_config::find(const queue_id& id) const {
  const auto found = std::find_if(queues.begin(), queues.end(),
                                  [&id](const auto& queue) { return queue.id == id; });
  return found == queues.end() ? nullptr : &*found;
}

bool worker_listing::has_label(std::string_view label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

}  // namespace coltsfoot::jobs
