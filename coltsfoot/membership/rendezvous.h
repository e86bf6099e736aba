// Rendezvous (highest random weight) hashing: which node should own a key.
//
//   const std::optional<node_id> owner = choose("rack/z1/r1", live_nodes);
//
// When a node joins or leaves, only the keys that it gets or had change their node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coltsfoot/base/ids.h"

namespace coltsfoot {

// Returns the node with the highest weight for `key`; of equal weights the lowest id. Nothing if
// `nodes` is empty. The order of `nodes` has no effect.
std::optional<node_id> choose(std::string_view key, const std::vector<node_id>& nodes);

// Keeps the choice of each key that was asked for until the nodes change. A choice costs time in
// proportion to the number of nodes, and owners ask for the same keys many times a second.
//
//   kept_choices choices;
//   choices.set_nodes(live_nodes);
//   const std::optional<node_id>& owner = choices.of("rack/z1/r1");
class kept_choices {
 public:
  // Discards the kept choices if `nodes` differ from those before. Returns whether they do.
  bool set_nodes(std::vector<node_id> nodes);

  const std::vector<node_id>& nodes() const { return nodes_; }

  // Grows with each change of the nodes.
  std::uint64_t version() const { return version_; }

  // Returns `choose(key, nodes())`. The reference is valid until the nodes change.
  const std::optional<node_id>& of(const std::string& key);

 private:
  std::vector<node_id> nodes_;
  std::uint64_t version_ = 0;
  std::unordered_map<std::string, std::optional<node_id>> choices_;
};

}  // namespace coltsfoot
