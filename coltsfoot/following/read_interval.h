// Decides how often a node reads the journal of a shard.
//
// Load it answers: a fleet of many nodes in which each reads the journals of all shards. Records
// come all the time, so that long polls return at once and the interval alone bounds the calls to
// the store. The owner and the nodes that would succeed it read often. A node that is weaker than
// the owner lets stronger ones succeed it anyway (`election_options::weaker_waits`); it reads
// rarely while the owner is heard. Callers are not served later there: the state of an open job is
// asked from the owner, and the owner is notified of new jobs and cancellations directly.
//
// The inputs are those of the newest read of the journal, so they are at most one interval old.
//
//   journal.set_poll_interval(read_interval(inputs, options));
#pragma once

#include <cstddef>
#include <cstdint>

#include "coltsfoot/base/time.h"

namespace coltsfoot::jobs {

struct read_interval_options {
  duration shortest{250};     // with one shard
  duration per_shard{85};     // added for each further shard, whose journal is read too
  duration follower{1'200};   // of a node that does not succeed the owner
  duration read_margin{800};  // for a read to be answered, in the age that proves absence
};

struct read_interval_inputs {
  std::size_t shards = 1;
  bool has_other_owner = false;      // another node owns the shard, as far as is known
  bool owner_heard = false;          // the newest read brought records of the owner
  std::uint32_t strength = 0;        // of this node, in thousandths of a core; 0: unknown
  std::uint32_t owner_strength = 0;  // 0: unknown
};

// Whether the node neither owns the shard nor is among those that succeed its owner.
bool is_follower(const read_interval_inputs& in);

// Least time between the starts of two reads of the journal.
duration read_interval(const read_interval_inputs& in, const read_interval_options& options);

// Age up to which a copy that is read at these intervals proves that a job is not there.
// `least`: for a copy that is read often.
duration freshness_limit(const read_interval_inputs& in, const read_interval_options& options,
                         duration least);

}  // namespace coltsfoot::jobs
