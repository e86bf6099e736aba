// Decides whether this node claims, follows or releases a unit.
//
//   switch (decide_claim({.self = self, .rendezvous = choice, ...}, {})) ...
#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <string_view>
#include <utility>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/base/name_table.h"
#include "coltsfoot/base/time.h"
#include "coltsfoot/model/peer_messages.h"

namespace coltsfoot {

enum class claim_decision {
  none,    // keep no state of the unit; an owner goes on owning
  follow,  // read the stream, so that a later claim is quick
  claim,
  release  // to the rendezvous choice
};
template <>
struct enum_names<claim_decision> {
  static constexpr std::array table{
      std::pair{claim_decision::none, std::string_view{"none"}},
      std::pair{claim_decision::follow, std::string_view{"follow"}},
      std::pair{claim_decision::claim, std::string_view{"claim"}},
      std::pair{claim_decision::release, std::string_view{"release"}}};
};

struct claim_options {
  // How long a rendezvous choice stays the same before an owner yields to it. Keeps units from
  // moving to and fro while nodes start or while gossip still spreads.
  duration stable_choice{10'000};
};

struct claim_inputs {
  writer_id self;
  node_id rendezvous;      // choice among live nodes that are not leaving; empty if there are none
  bool caught_up = false;  // the replica has read the stream up to its end
  bool owning = false;     // this node holds the unit: `owned_stream::is_owner`
  writer_id owner;         // of the newest epoch; an empty node if there is none
  bool owner_alive = false;  // the owner's node is alive and has the owner's incarnation
  bool released = false;     // the owner released the unit, to `successor` or to anyone
  node_id successor;
  bool successor_alive = false;
  duration choice_stable_for{0};  // how long `rendezvous` has been the same
  bool leaving = false;           // this node shuts down or is marked as leaving
};

claim_decision decide_claim(const claim_inputs& in, const claim_options& options);

}  // namespace coltsfoot
