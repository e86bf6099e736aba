// The units of one kind that this node follows, claims or owns.
//
//   unit_set<rack_owner> racks{options, [](const unit_id& unit) { return rack_owner{...}; }};
//   wanted.set(units);
//   racks.manage(wanted, view, now, env);
//   racks.on_tick(now, env);
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "coltsfoot/membership/membership.h"
#include "coltsfoot/membership/rendezvous.h"
#include "coltsfoot/ownership/claim_policy.h"
#include "coltsfoot/ownership/owned_stream.h"

namespace coltsfoot {

struct unit_set_options {
  writer_id self;
  owned_stream_options stream;  // `unit` is set for each stream
  claim_options claims;
};

// The units of one kind that should have an owner.
class wanted_units {
 public:
  void set(std::set<unit_id> units) {
    if (units == units_) return;
    units_ = std::move(units);
    ++version_;
  }
  const std::set<unit_id>& units() const { return units_; }

  // Grows with each change of the units.
  std::uint64_t version() const { return version_; }

 private:
  std::set<unit_id> units_;
  std::uint64_t version_ = 0;
};

// What the claim policy needs to know of the node.
struct claim_surroundings {
  membership& members;
  bool may_claim = false;  // false while too few nodes are heard to judge who is alive
  bool leaving = false;
};

template <owned_unit Unit>
class unit_set {
 public:
  using unit_factory = std::function<Unit(const unit_id&)>;

  unit_set(unit_set_options options, unit_factory make_unit)
      : options_(std::move(options)), make_unit_(std::move(make_unit)) {}

  // Sets the chart of the streams. It must outlive this object.
  void set_chart(const state_chart& chart) { options_.stream.chart = &chart; }

  // Follows, claims or releases each unit in `wanted` and each that is present already.
  void manage(const wanted_units& wanted, claim_surroundings& around, time_point now,
              const owned_stream_env& env) {
    add_chosen(wanted, around.members);
    for (auto at = streams_.begin(); at != streams_.end();) {
      const bool unused = !manage_one(at->second, around, now, env);
      at = unused ? streams_.erase(at) : std::next(at);
    }
  }

  void on_tick(time_point now, const owned_stream_env& env) {
    for (auto& [unit, stream] : streams_) stream.on_tick(now, env);
  }

  // Returns the stream of a unit, or null.
  owned_stream<Unit>* find(const unit_id& unit) {
    const auto found = streams_.find(unit);
    return found == streams_.end() ? nullptr : &found->second;
  }

  // Adds what other nodes are told of the owned units.
  void describe(std::vector<unit_entry>& out, time_point now, const owned_stream_env& env) const {
    for (const auto& [unit, stream] : streams_) {
      if (!stream.is_owner()) continue;
      unit_entry entry = stream.unit().describe(now);
      entry.unit = unit;
      entry.unit_epoch = stream.unit_epoch();
      entry.owner = options_.self.node;
      entry.ready = entry.ready && stream.may_act(now, env);
      out.push_back(std::move(entry));
    }
  }

  std::size_t owned() const {
    std::size_t count = 0;
    for (const auto& [unit, stream] : streams_) count += stream.is_owner() ? 1 : 0;
    return count;
  }

 private:
  // Adds the wanted units that this node should claim. They stay while they are chosen, so the
  // choices are only made again after a change of the units or of the live nodes.
  void add_chosen(const wanted_units& wanted, const membership& members) {
    const std::pair basis{wanted.version(), members.live_version()};
    if (chosen_basis_ == basis) return;
    chosen_basis_ = basis;
    // `choose` is called directly, because only the choices of present streams are worth keeping.
    for (const auto& unit : wanted.units()) {
      if (choose(unit.value, members.live_nodes()) == options_.self.node) add(unit);
    }
  }

  void add(const unit_id& unit) {
    if (streams_.contains(unit)) return;
    auto options = options_.stream;
    options.unit = unit;
    options.self = options_.self;
    streams_.try_emplace(unit, std::move(options), [this, unit] { return make_unit_(unit); });
  }

  // Returns false if the stream serves no purpose any more.
  bool manage_one(owned_stream<Unit>& stream, claim_surroundings& around, time_point now,
                  const owned_stream_env& env) {
    const unit_id& unit = stream.unit_name();
    const auto choice = around.members.rendezvous_choice(unit);
    const node_id successor = stream.release_successor();
    const claim_inputs inputs{.self = options_.self,
                              .rendezvous = choice.value_or(node_id{}),
                              .caught_up = stream.caught_up(),
                              .owning = stream.is_owner(),
                              .owner = stream.current_owner(),
                              .owner_alive = around.members.is_alive(stream.current_owner()),
                              .released = stream.released(),
                              .successor = successor,
                              .successor_alive = is_live(around.members, successor),
                              .choice_stable_for = around.members.rendezvous_stable_for(unit, now),
                              .leaving = around.leaving};
    switch (decide_claim(inputs, options_.claims)) {
      case claim_decision::none:
        if (stream.phase() == ownership_phase::following) stream.stop_following(now, env);
        break;
      case claim_decision::follow:
        if (stream.phase() == ownership_phase::idle) stream.follow(now, env);
        break;
      case claim_decision::claim:
        if (around.may_claim) stream.request_claim(now, env);
        break;
      case claim_decision::release:
        stream.request_release(inputs.rendezvous, now, env);
        break;
    }
    return stream.phase() != ownership_phase::idle || choice == options_.self.node;
  }

  static bool is_live(const membership& members, const node_id& node) {
    const auto found = members.members().find(node);
    return found != members.members().end() && found->second.alive;
  }

  unit_set_options options_;
  unit_factory make_unit_;
  std::map<unit_id, owned_stream<Unit>> streams_;
  // Versions of the wanted units and of the live nodes that `add_chosen` used last.
  std::optional<std::pair<std::uint64_t, std::uint64_t>> chosen_basis_;
};

}  // namespace coltsfoot
