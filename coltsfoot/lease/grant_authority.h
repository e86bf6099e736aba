// Whether the owner of a shard may grant leases to workers, and until when leases of its
// predecessors can last. Two owners must not both rely on leases: a successor starts the tasks of a
// worker that it can't reach elsewhere once all leases there are over.
//
// An owner may grant leases for a limited time after the sending of
//   - an append that was recorded, or a read that showed no later claim, or
//   - looks that were obeyed by a majority of the shard's witnesses, which obey no former owner.
// The second keeps work alive through an outage of the store, however long it is: no node can claim
// meanwhile. Behind a partition one of two owners has no majority.
//
// A successor waits for that time and a lease, from when it has reached a majority itself. The
// witnesses are worker lives that the journal names, so that both count the same ones. A worker
// that restarts has forgotten whom it obeyed, so its next life is no witness until it is recorded.
//
//   grant_authority authority{{}, recorded_witnesses, now};
//   authority.on_obeyed(life, look_sent_at, now);
//   if (authority.may_grant(now)) renew_leases();
#pragma once

#include <concepts>
#include <map>
#include <optional>
#include <set>

#include "coltsfoot/base/time.h"
#include "coltsfoot/jobs/job_table.h"

namespace coltsfoot::jobs {

using witness_set = std::set<worker_life>;

struct grant_options {
  // How long leases may be granted after the sending of what allows it. Longer than the heartbeats
  // of an owner with a slow store are apart.
  duration validity{1'500};
  duration margin{200};  // of a successor, for clocks that differ in speed
  // Without a recorded append for this long, workers are asked more often.
  duration workers_needed_after{750};
  // A witness that a successor has not reached, and that the registry has not listed for this long,
  // does not count any more: it is gone for good.
  duration absence_limit{15'000};
};

class grant_authority {
 public:
  // `witnesses`: as recorded by the former owner. `confirmed_at`: see `on_confirmed`.
  grant_authority(grant_options options, witness_set witnesses, time_point confirmed_at,
                  time_point now);

  // At some time since `at` the store has shown that no other node had claimed: by recording an
  // append that was first sent then, or by a read sent then.
  void on_confirmed(time_point at);
  // A worker has obeyed an order that was sent at `sent_at`.
  void on_obeyed(const worker_life& life, time_point sent_at, time_point now);

  // --- Witnesses ---
  // Whether a new set may be recorded. Before a majority of the former owner's is reached, a third
  // owner would take the new set for that of both.
  bool may_propose() const { return majority_reached_ && !proposed_; }
  // Has `next` count beside the recorded witnesses, while it is on its way to the journal.
  void propose(witness_set next);
  void on_proposal_recorded();
  const witness_set& witnesses() const { return recorded_; }
  // Whether the former owner had recorded the life as a witness.
  bool was_witness(const worker_life& life) const { return former_.contains(life); }

  // --- Leases ---
  bool may_grant(time_point now) const;
  duration unconfirmed_for(time_point now) const { return now - confirmed_at_; }
  bool needs_workers(time_point now) const {
    return now >= confirmed_at_ + options_.workers_needed_after;
  }
  // From when on no lease lasts that a former owner granted in the last `longest_lease`. Nothing
  // until a majority of the former owner's witnesses is reached.
  std::optional<time_point> inherited_until(duration longest_lease) const;
  // Notes which witnesses the registry lists. To be called regularly.
  template <std::predicate<const worker_id&> IsListed>
  void note_listed(IsListed is_listed, time_point now) {
    if (majority_reached_) return;
    for (const auto& life : unreached_) {
      if (is_listed(life.worker)) {
        missing_since_.erase(life);
      } else {
        missing_since_.try_emplace(life, now);
      }
    }
    settle(now);
  }

 private:
  bool has_majority(const witness_set& witnesses, time_point now) const;
  void settle(time_point now);

  grant_options options_;
  witness_set former_;  // of the former owner
  witness_set recorded_;
  std::optional<witness_set> proposed_;
  time_point confirmed_at_;
  std::map<worker_life, time_point> obeyed_;         // when the newest order was sent
  witness_set unreached_;                            // of the former owner's
  std::size_t reached_ = 0;                          // of the former owner's
  std::map<worker_life, time_point> missing_since_;  // unreached ones that are not listed
  std::optional<time_point> majority_reached_;
};

}  // namespace coltsfoot::jobs
