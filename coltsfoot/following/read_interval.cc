#include "coltsfoot/following/read_interval.h"

#include <algorithm>

namespace coltsfoot::jobs {

bool is_follower(const read_interval_inputs& in) {
  const bool weaker = in.strength > 0 && in.strength < in.owner_strength;
  return in.has_other_owner && weaker;
}

duration read_interval(const read_interval_inputs& in, const read_interval_options& options) {
  const auto others = static_cast<std::int64_t>(std::max<std::size_t>(in.shards, 1)) - 1;
  const auto often = options.shortest + options.per_shard * others;
  if (!is_follower(in) || !in.owner_heard) return often;
  return std::max(often, options.follower);
}

duration freshness_limit(const read_interval_inputs& in, const read_interval_options& options,
                         duration least) {
  if (!is_follower(in)) return least;
  return std::max(least, read_interval(in, options) + options.read_margin);
}

}  // namespace coltsfoot::jobs
