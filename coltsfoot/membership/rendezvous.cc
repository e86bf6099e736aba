#include "coltsfoot/membership/rendezvous.h"

#include <utility>

#include "coltsfoot/base/hash.h"

namespace coltsfoot {

std::optional<node_id> choose(std::string_view key, const std::vector<node_id>& nodes) {
  const node_id* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const node_id& node : nodes) {
    const std::uint64_t weight = stable_hash(key, node.value);
    if (best == nullptr || weight > best_weight || (weight == best_weight && node < *best)) {
      best = &node;
      best_weight = weight;
    }
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

bool kept_choices::set_nodes(std::vector<node_id> nodes) {
  if (nodes == nodes_) return false;
  nodes_ = std::move(nodes);
  choices_.clear();
  ++version_;
  return true;
}

const std::optional<node_id>& kept_choices::of(const std::string& key) {
  const auto found = choices_.find(key);
  if (found != choices_.end()) return found->second;
  return choices_.emplace(key, choose(key, nodes_)).first->second;
}

}  // namespace coltsfoot
