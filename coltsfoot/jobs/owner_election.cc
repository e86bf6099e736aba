#include "coltsfoot/jobs/owner_election.h"

#include <algorithm>

#include "coltsfoot/base/hash.h"

namespace coltsfoot::jobs {
namespace {

// Different for each node and each claim that is to be replaced.
duration stagger_of(const election_inputs& in, duration longest) {
  const auto hash = stable_hash(std::to_string(in.claim.fence), in.node);
  return duration{static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(longest.count()))};
}

// Nobody needs to be waited for.
bool holder_is_gone(const election_inputs& in) {
  return in.claim.fence == 0 || in.claim.resigned;
}

}  // namespace

bool should_claim(const election_inputs& in, const election_options& options, time_point now) {
  if (!in.caught_up || in.claiming || in.leaving || !in.healthy_since || !in.last_read) {
    return false;
  }
  const bool own = in.claim.fence != 0 && in.claim.node == in.node;
  if (own) return true;
  if (holder_is_gone(in)) return now >= in.owner_seen + stagger_of(in, options.short_stagger);
  // Silence counts only while the journal could be read.
  const auto heard_until = std::max(in.owner_seen, *in.healthy_since);
  return *in.last_read >= heard_until + options.silence + stagger_of(in, options.stagger);
}

}  // namespace coltsfoot::jobs
