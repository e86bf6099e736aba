#include "coltsfoot/ownership/claim_policy.h"

#include <algorithm>

namespace coltsfoot {
namespace {

bool is_free(const claim_inputs& in, const claim_options& options) {
  if (in.owner.node.empty() || !in.owner_alive) return true;
  // This process holds the epoch but gave the unit's state up, for instance after a gap in the log.
  if (in.owner == in.self && !in.released) return true;
  if (!in.released) return false;
  if (in.successor.empty() || in.successor == in.self.node || !in.successor_alive) return true;
  // The choice moved on after the release, so the named successor doesn't claim.
  return in.choice_stable_for >= options.stable_choice;
}

}  // namespace

claim_decision decide_claim(const claim_inputs& in, const claim_options& options) {
  const bool chosen = in.rendezvous == in.self.node;
  if (in.owning) {
    if (in.leaving) return claim_decision::release;
    const bool yields = !chosen && !in.rendezvous.empty();
    return yields && in.choice_stable_for >= options.stable_choice ? claim_decision::release
                                                                   : claim_decision::none;
  }
  if (!chosen || in.leaving) return claim_decision::none;
  if (!in.caught_up) return claim_decision::follow;
  return is_free(in, options) ? claim_decision::claim : claim_decision::follow;
}

}  // namespace coltsfoot
