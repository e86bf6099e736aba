// Decides when a node claims the ownership of the fleet's jobs. The claim itself is an append of
// which the store takes one for each fence, so that of several claimants one wins; this only keeps
// claims rare.
//
//   if (should_claim(inputs, options, now)) append_claim(next_fence);
#pragma once

#include <optional>

#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/job_record.h"

namespace coltsfoot::jobs {

struct election_options {
  // An owner that lives writes at least every heartbeat; see `job_owner_options`. The silence
  // leaves room for a slow append and for a slow read.
  duration silence{1'300};
  duration stagger{400};        // claims of several nodes are spread over this time
  duration short_stagger{120};  // the same when nobody needs to be waited for
};

struct election_inputs {
  std::string node;
  bool caught_up = false;  // the journal has been read to its end
  bool claiming = false;   // a claim of this node is under way
  bool leaving = false;    // this node is shutting down
  owner_claim claim;       // the newest in the journal
  // When this node last saw a record of the owner; at first, when it had read the journal.
  time_point owner_seen{};
  // Since when reads of the journal succeed without a failure in between.
  std::optional<time_point> healthy_since;
  std::optional<time_point> last_read;  // time of the last read that succeeded
};

bool should_claim(const election_inputs& in, const election_options& options, time_point now);

}  // namespace coltsfoot::jobs
