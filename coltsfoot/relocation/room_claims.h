// Decides whether first starts of fill tasks wait for slow runs that seek room.
//
// Load it answers: more fill work than the workers can do at full speed. First starts would take
// each place as soon as it is free, and runs that were started before would stay slow: a step ends
// with its slowest run. A first start waits while more than a few slow runs of jobs that are more
// urgent than its own find no room.
//
// Data: the slow runs without room of the newest pass, by the urgency of their jobs.
//
//   claims.renew(urgencies_of_slow_runs, links.size());
//   if (claims.go_before(urgency)) continue;  // a first start of this urgency waits
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "coltsfoot/placing/job_urgency.h"

namespace coltsfoot::relocation {

class room_claims {
 public:
  // Takes the urgencies of the jobs of slow runs that found no room among `workers`, one for each
  // run.
  void renew(std::vector<jobs::job_urgency> slow_runs, std::size_t workers);

  // Whether a first start for a job of this urgency waits for them.
  bool go_before(const jobs::job_urgency& urgency) const {
    return last_before_ && *last_before_ < urgency;
  }

  std::size_t size() const { return size_; }

 private:
  std::size_t size_ = 0;
  std::optional<jobs::job_urgency> last_before_;  // nothing while first starts need not wait
};

}  // namespace coltsfoot::relocation
