// Decides whether a node accepts another job, by the memory that the jobs of the fleet take. Each
// node holds a copy of all jobs until some time after their end, so that a few small requests for
// many tasks could take the memory of all nodes.
//
//   job_memory memory{{.most_bytes = 40 << 20}};
//   if (!memory.admit(bytes_of_job(spec), [&] { return bytes_of_all_jobs(); }, now)) refuse();
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <optional>

#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/job_table.h"

namespace coltsfoot::jobs {

struct job_memory_options {
  std::size_t most_bytes = std::numeric_limits<std::size_t>::max();  // of all jobs
  // Nodes don't know at once what others accept, so each accepts a part only in this time, one job
  // at least.
  duration recent{2'000};
  std::size_t recent_divisor = 16;
  duration measure_interval{500};  // at most so often the jobs are summed up
};

// Memory that a job takes in a node's copy, in bytes.
std::size_t bytes_of_job(const job_spec& spec);
std::size_t bytes_of_job(const job& j);

class job_memory {
 public:
  explicit job_memory(job_memory_options options) : options_(options) {}

  // Whether a job of `bytes` may be accepted now, which is then counted. `measure` returns the
  // bytes of all jobs that the node knows.
  bool admit(std::size_t bytes, const std::function<std::size_t()>& measure, time_point now);

 private:
  struct admission {
    time_point at{};
    std::size_t bytes = 0;
  };

  void forget_former(time_point now);

  job_memory_options options_;
  std::optional<time_point> measured_at_;
  std::size_t measured_bytes_ = 0;
  std::deque<admission> recent_;
  std::size_t recent_bytes_ = 0;
};

}  // namespace coltsfoot::jobs
