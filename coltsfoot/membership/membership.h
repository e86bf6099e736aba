// Gossip heartbeats: which nodes live, and what they say of their units.
//
//   out.set_origin({core_module::membership});
//   membership.set_local_units(units, now);
//   membership.on_tick(now, out);
//   const auto owner = choose(unit.value, membership.live_nodes());
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coltsfoot/base/random.h"
#include "coltsfoot/membership/rendezvous.h"
#include "coltsfoot/membership/unit_directory.h"
#include "coltsfoot/node/commands.h"
#include "coltsfoot/node/outbox.h"

namespace coltsfoot {

// The defaults keep what a node sends below 9 KB/s with 9 nodes and 20 units; see the test.
struct membership_options {
  writer_id self;
  std::string address;  // peer address that others reach this node at
  zone_id zone;
  std::vector<std::string> seeds;    // peer addresses; the own one is ignored
  duration heartbeat_interval{500};  // between two rounds of gossip
  std::uint32_t fanout = 2;          // live peers that each round goes to
  std::uint32_t probe_rounds = 4;    // each so many rounds also go to a seed or a dead member
  duration suspect_time{3000};       // without a newer heartbeat: dead for this node
  // A dead member counts as known for so long when the majority is determined. A short time would
  // let the smaller side of a partition become its own majority.
  duration forget_time{24 * 3'600'000};
  duration forget_leaving_time{60'000};  // same, for a member that said that it leaves
  duration gossip_timeout{1000};         // of a `gossip` request
  std::size_t max_members = 4;           // entries per message, the own one included
  std::size_t max_units = 1;             // entries per message
  std::uint32_t unit_sends = 6;          // messages in which a node repeats an entry of a unit
  double hint_change = 0.10;             // smaller relative changes of hints are not sent
  duration hint_interval{4000};          // between two changes of a unit's hints
  // An unchanged entry is sent again this often, for nodes that missed it, or less often if there
  // are many units: see `refresh_per_unit`.
  duration hint_refresh{8000};
  duration refresh_per_unit{400};
  std::uint64_t seed = 1;
};

// A member as this node sees it.
struct member_view {
  member_entry entry;
  time_point last_progress;  // when its heartbeat last grew here
  time_point silent_since;   // same, but without the time in which this node itself was paused
  bool alive = true;
};

// A version of the configuration that a live peer has in force.
struct peer_config_version {
  std::string address;
  std::uint64_t version = 0;
};

class membership {
 public:
  membership(membership_options options, time_point now);

  // Sends gossip that is due and marks silent members as dead. After a gap between two ticks that
  // is longer than half the suspect time, silence up to now doesn't count.
  void on_tick(time_point now, outbox& out);

  // Handles a `gossip` request; answers it with what the sender doesn't know yet.
  void on_gossip(call_id call, const gossip& message, time_point now, outbox& out);
  void on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                       time_point now, outbox& out);

  // What this node owns now. Sets `version` and `owner` of the entries. Hints that changed little
  // are not taken; a new epoch, a change of `ready` and a rack that becomes overloaded are at once.
  void set_local_units(std::vector<unit_entry> units, time_point now);
  void set_leaving(bool leaving);
  void set_log_readable(bool readable);
  void set_config_version(std::uint64_t version) { config_version_ = version; }

  // Ids of live members that aren't leaving, this node included unless it is leaving; sorted.
  const std::vector<node_id>& live_nodes() const { return kept_.nodes(); }

  // Grows with each change of `live_nodes`.
  std::uint64_t live_version() const { return kept_.version(); }

  // Whether this run of the node may be alive: the node is, and no later run of it is known.
  bool is_alive(const writer_id& writer) const;

  // All members that aren't forgotten, this node included.
  const std::map<node_id, member_view>& members() const { return members_; }

  const unit_directory& directory() const { return directory_; }
  unit_directory& directory() { return directory_; }

  // How long the rendezvous choice for `unit` has been the same node, as of the last tick or call.
  duration rendezvous_stable_for(const unit_id& unit, time_point now);

  // Present rendezvous choice for `unit`. It is kept until the live nodes change.
  const std::optional<node_id>& rendezvous_choice(const unit_id& unit) {
    return kept_.of(unit.value);
  }

  // Members whose heartbeat grew within the suspect time, leaving ones and this node included.
  // Time in which this node was paused counts as silence.
  std::vector<member_entry> heard_recently(time_point now) const;

  // How many nodes are known: members that aren't forgotten, and seeds that were never heard.
  std::size_t known_nodes() const;

  // Whether this node hears a majority of the known nodes (members and seeds) and none of them,
  // itself included, reads the log.
  bool may_act_without_log(time_point now) const;

  // Configuration versions that live peers reported, the highest first.
  std::vector<peer_config_version> config_versions() const;

 private:
  struct stable_choice {
    std::optional<node_id> node;
    time_point since;
  };
  struct local_unit {
    unit_entry entry;  // as it was last sent
    time_point changed;
  };

  void take(const gossip& message, time_point now);
  void take_member(const member_entry& entry, time_point now);
  void take_unit(const unit_entry& entry);
  void discount_pause(time_point now);
  void update_liveness(time_point now);
  void update_live_nodes();
  void refresh_choices(time_point now);
  bool is_worth_sending(const local_unit& last, const unit_entry& entry, time_point now) const;
  gossip make_message(const gossip* known);
  std::vector<member_entry> pick_members(const gossip* known);
  std::vector<unit_entry> pick_units();
  void send_round(time_point now, outbox& out);
  std::vector<std::string> pick_targets();
  std::vector<std::string> probe_addresses() const;

  membership_options options_;
  member_entry self_;
  std::uint64_t config_version_ = 0;
  random_engine random_;
  std::map<node_id, member_view> members_;
  std::map<node_id, std::uint64_t> config_versions_;
  std::map<node_id, std::uint32_t> member_sends_;  // messages that held the present entry
  std::map<unit_id, std::uint32_t> unit_sends_;    // same
  std::map<unit_id, local_unit> local_units_;
  std::map<unit_id, stable_choice> choices_;
  std::uint64_t choices_version_ = 0;  // of the live nodes that `choices_` are based on
  kept_choices kept_;                  // its nodes are the live nodes
  std::set<call_id> calls_;
  unit_directory directory_;
  std::optional<time_point> last_tick_;
  time_point next_round_;
  std::uint64_t round_ = 0;
};

}  // namespace coltsfoot
