// What this node has heard about units and nodes: who owns a unit, with which hints, and where the
// owner listens. Entries may be out of date; epochs decide at the receiver.
//
//   if (const unit_entry* entry = directory.find(unit)) send(directory.address_of(entry->owner));
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coltsfoot/base/ids.h"
#include "coltsfoot/model/peer_messages.h"

namespace coltsfoot {

class unit_directory {
 public:
  // Takes an entry if it is newer: a higher epoch, or the same epoch and a higher version.
  // Returns whether it was taken.
  bool update(const unit_entry& entry);

  // Returns the newest entry of `unit`, or null. The pointer is valid until the next change.
  const unit_entry* find(const unit_id& unit) const;

  // Returns the entries of all racks, ordered by unit id.
  std::vector<const unit_entry*> racks() const;

  // All entries, ordered by unit id.
  const std::map<unit_id, unit_entry>& entries() const { return entries_; }

  void set_address(const node_id& node, std::string address);
  void remove_node(const node_id& node);

  // Returns the peer address of a node, or "" if it is unknown or believed dead.
  std::string address_of(const node_id& node) const;

  // Returns the address of the owner of `unit`, or "".
  std::string owner_address(const unit_id& unit) const;

 private:
  std::map<unit_id, unit_entry> entries_;
  std::map<node_id, std::string> addresses_;
};

}  // namespace coltsfoot
