#include "coltsfoot/placing/worker_fit.h"

#include <algorithm>

namespace coltsfoot::jobs {
namespace {

// How often `needed` fits into `there`, if that is below `most`.
std::uint64_t times(std::int64_t there, std::int64_t needed, std::uint64_t most) {
  if (needed <= 0) return most;
  return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(there, 0) / needed), most);
}

}  // namespace

std::uint64_t places_on(const worker_listing& worker, const step_spec& step,
                        const service_id& service) {
  const auto& label = step.required_label;
  const bool suits =
      worker.service == service && !worker.draining && (label.empty() || worker.has_label(label));
  if (!suits) return 0;
  std::uint64_t places = step.max_per_worker > 0 ? step.max_per_worker : most_tasks_per_job;
  places = times(worker.capacity.millicores, step.demand.millicores, places);
  places = times(worker.capacity.memory_mb, step.demand.memory_mb, places);
  return times(worker.capacity.accelerators, step.demand.accelerators, places);
}

std::uint64_t places_needed(const step_spec& step) {
  return step.gang ? step.count : 1;
}

}  // namespace coltsfoot::jobs
