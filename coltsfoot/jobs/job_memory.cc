#include "coltsfoot/jobs/job_memory.h"

namespace coltsfoot::jobs {

std::size_t bytes_of_job(const job_spec& spec) {
  std::size_t tasks = 0;
  for (const auto& step : spec.steps) tasks += step.count;
  return sizeof(job) + memory_of(spec) + tasks * spec.occurrences() * sizeof(task_progress) +
         spec.steps.size() * spec.occurrences() * sizeof(std::uint32_t);
}

std::size_t bytes_of_job(const job& j) {
  return sizeof(job) + memory_of(j.accepted.spec) + j.tasks.capacity() * sizeof(task_progress) +
         j.open_tasks.capacity() * sizeof(std::uint32_t);
}

bool job_memory::admit(std::size_t bytes, const std::function<std::size_t()>& measure,
                       time_point now) {
  forget_former(now);
  if (!measured_at_ || now - *measured_at_ >= options_.measure_interval) {
    measured_at_ = now;
    measured_bytes_ = measure();
  }
  // Those accepted recently may or may not be among those that were measured.
  const bool fits_recent =
      recent_.empty() || recent_bytes_ + bytes <= options_.most_bytes / options_.recent_divisor;
  const auto held = measured_bytes_ + recent_bytes_;
  const bool fits = held < options_.most_bytes && bytes <= options_.most_bytes - held;
  if (!fits || !fits_recent) return false;
  recent_.push_back({.at = now, .bytes = bytes});
  recent_bytes_ += bytes;
  return true;
}

void job_memory::forget_former(time_point now) {
  while (!recent_.empty() && now - recent_.front().at >= options_.recent) {
    recent_bytes_ -= recent_.front().bytes;
    recent_.pop_front();
  }
}

}  // namespace coltsfoot::jobs
