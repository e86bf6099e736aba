#include "coltsfoot/jobs/owner_election.h"

#include <algorithm>

#include "coltsfoot/base/hash.h"

namespace coltsfoot::jobs {
namespace {

// Different for each node, each shard and each claim that is to be replaced.
duration stagger_of(const election_inputs& in, duration longest) {
  const auto hash =
      stable_hash(std::to_string(in.claim.fence) + "/" + std::to_string(in.shard), in.node);
  return duration{static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(longest.count()))};
}

// Nobody needs to be waited for.
bool holder_is_gone(const election_inputs& in) {
  return in.claim.fence == 0 || in.claim.resigned;
}

// Leaves the shard to nodes that have more processor left for it.
duration courtesy_of(const election_inputs& in, const election_options& options) {
  duration wait = options.per_owned_shard * static_cast<std::int64_t>(in.owned_shards);
  if (in.strength == 0) return wait;
  if (in.claim.fence == 0) {
    const auto lacking = options.strong_enough - std::min(in.strength, options.strong_enough);
    return wait + options.weakness_stagger * lacking / options.strong_enough;
  }
  if (in.strength < in.claim.strength) wait += options.weaker_waits;
  return wait;
}

// Whether this node should take over from an owner that lives: one that is much weaker, or that
// owns several shards while this node owns none.
bool relieves(const election_inputs& in, const election_options& options, time_point now) {
  if (in.owned_shards > 0 || in.strength == 0 || in.claim.strength == 0) return false;
  if (now < in.claim_read + options.settled + stagger_of(in, options.settled)) return false;
  const bool much_weaker = in.claim.strength * 3 < in.strength * 2;
  const bool overloaded = in.owner_shards > 1 && in.strength >= in.claim.strength;
  return much_weaker || overloaded;
}

}  // namespace

bool should_claim(const election_inputs& in, const election_options& options, time_point now) {
  if (!in.caught_up || in.claiming || in.leaving || !in.healthy_since || !in.last_read) {
    return false;
  }
  const bool own = in.claim.fence != 0 && in.claim.node == in.node;
  if (own) return true;
  const auto courtesy = courtesy_of(in, options);
  if (holder_is_gone(in)) {
    return now >= in.owner_seen + stagger_of(in, options.short_stagger) + courtesy;
  }
  if (relieves(in, options, now)) return true;
  // Silence counts only while the journal could be read.
  const auto heard_until = std::max(in.owner_seen, *in.healthy_since);
  return *in.last_read >=
         heard_until + options.silence + stagger_of(in, options.stagger) + courtesy;
}

}  // namespace coltsfoot::jobs
