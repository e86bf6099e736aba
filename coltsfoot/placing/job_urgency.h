// In which order waiting jobs get room.
//
// Load it answers: more work than the workers can do by the time it is due. Jobs that can still end
// in time go first, by priority and then by the time they are due; work on a job that must miss its
// objective would make others miss theirs. Jobs that can only be late follow, and those that are
// past all credit come last, but are done.
//
//   const auto place = urgency_of(j, correction, now);
//   if (place_a < place_b) ...
#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "coltsfoot/jobs/job_table.h"

namespace coltsfoot::jobs {

enum class prospect : std::uint8_t {
  in_time,  // can end within its objective
  late,     // can end while it still has a part of its worth
  overdue
};

struct job_urgency {
  prospect expected = prospect::in_time;
  std::int32_t priority = 0;
  wall_time due{};
  friend auto operator<=>(const job_urgency&, const job_urgency&) = default;
};

// Learns by queue how much longer tasks run than estimated, waits for room aside.
class estimate_correction {
 public:
  void observe(const queue_id& queue, duration estimated, duration taken);
  double factor(const queue_id& queue) const;

 private:
  std::map<queue_id, double> factors_;
};

// Longest chain of estimated work through the steps, done work left out if `only_open`.
duration longest_chain(const job& j, bool only_open);

// The time by which a job is to end.
wall_time due_time(const job& j);

job_urgency urgency_of(const job& j, const estimate_correction& correction, wall_time now);

}  // namespace coltsfoot::jobs
