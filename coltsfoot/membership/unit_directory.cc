#include "coltsfoot/membership/unit_directory.h"

#include <tuple>
#include <utility>

namespace coltsfoot {

bool unit_directory::update(const unit_entry& entry) {
  const auto found = entries_.find(entry.unit);
  if (found == entries_.end()) {
    entries_.emplace(entry.unit, entry);
    return true;
  }
  const unit_entry& known = found->second;
  if (std::tie(entry.unit_epoch, entry.version) <= std::tie(known.unit_epoch, known.version)) {
    return false;
  }
  found->second = entry;
  return true;
}

const unit_entry* unit_directory::find(const unit_id& unit) const {
  const auto found = entries_.find(unit);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const unit_entry*> unit_directory::racks() const {
  std::vector<const unit_entry*> out;
  for (const auto& [unit, entry] : entries_) {
    if (unit.value.starts_with("rack/")) out.push_back(&entry);
  }
  return out;
}

void unit_directory::set_address(const node_id& node, std::string address) {
  addresses_[node] = std::move(address);
}

void unit_directory::remove_node(const node_id& node) {
  addresses_.erase(node);
}

std::string unit_directory::address_of(const node_id& node) const {
  const auto found = addresses_.find(node);
  return found == addresses_.end() ? std::string{} : found->second;
}

std::string unit_directory::owner_address(const unit_id& unit) const {
  const unit_entry* entry = find(unit);
  return entry == nullptr ? std::string{} : address_of(entry->owner);
}

}  // namespace coltsfoot
