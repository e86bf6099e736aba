// Decides whether first starts of fill tasks wait for slow runs that seek room.
//
// Load it answers: more fill work than the workers can do at full speed. First starts would take
// each place as soon as it is free, and runs that were started before would stay slow: a step ends
// with its slowest run. A first start waits while more than a few slow runs of jobs of its service
// that are more urgent than its own find no room.
//
// Data: the slow runs for which the newest pass found no room, by service and urgency of their
// jobs.
//
//   claims.renew(slow_runs_without_room, judged_workers);
//   if (claims.hold_back(service, urgency)) continue;  // a first start waits
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/placing/job_urgency.h"

namespace coltsfoot::relocation {

// By service, the urgencies of the jobs of slow runs, one for each run.
using urgencies_by_service = std::map<service_id, std::vector<jobs::job_urgency>>;

class room_claims {
 public:
  // Takes the slow runs that found no room in a pass over so many workers.
  void renew(urgencies_by_service slow_runs, std::size_t workers);
  void clear() { limits_.clear(); }

  // Whether a first start for a job of this service and urgency waits.
  bool hold_back(const service_id& service, const jobs::job_urgency& urgency) const;

 private:
  // Jobs that are less urgent than this wait.
  std::map<service_id, jobs::job_urgency> limits_;
};

}  // namespace coltsfoot::relocation
