// Decides when a node claims the ownership of a shard of jobs. The claim itself is an append of
// which the store takes one for each fence, so that of several claimants one wins; this keeps
// claims rare, and lets strong nodes that own little claim first.
//
//   if (should_claim(inputs, options, now)) append_claim(next_fence);
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/job_record.h"

namespace coltsfoot::jobs {

struct election_options {
  // An owner that lives writes at least every heartbeat; see `job_owner_options`. The silence
  // leaves room for a slow append and for a slow read.
  duration silence{1'300};
  duration stagger{400};              // claims of several nodes are spread over this time
  duration short_stagger{120};        // the same when nobody needs to be waited for
  duration per_owned_shard{250};      // waited longer for each shard that the node owns already
  duration weaker_waits{600};         // waited longer by a node weaker than the last owner
  std::uint32_t strong_enough = 500;  // thousandths of a core: no wait for a stronger node
  duration weakness_stagger{200};     // waited at the most for strong nodes, with no owner before
  duration settled{4'000};            // after which a better node relieves an owner
};

struct election_inputs {
  std::string node;
  std::uint32_t strength = 0;    // of this node, in thousandths of a core; 0: unknown
  std::size_t owned_shards = 0;  // by this node, claims under way included
  std::size_t owner_shards = 1;  // by the owner of this shard
  std::uint32_t shard = 0;
  bool caught_up = false;   // the journal has been read to its end
  bool claiming = false;    // a claim of this node is under way
  bool leaving = false;     // this node is shutting down
  owner_claim claim;        // the newest in the journal
  time_point claim_read{};  // when it was read
  // When this node last saw a record of the owner; at first, when it had read the journal.
  time_point owner_seen{};
  // Since when reads of the journal succeed without a failure in between.
  std::optional<time_point> healthy_since;
  std::optional<time_point> last_read;  // time of the last read that succeeded
};

bool should_claim(const election_inputs& in, const election_options& options, time_point now);

}  // namespace coltsfoot::jobs
