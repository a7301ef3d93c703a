// Assigns numeric ids to the names of media nodes.
//
// A name keeps its id for as long as the membership holds the node, even if a single list does not name it:
// that list may be held back, a duplicate or outdated. If the id were dropped then, the node would return
// under a new id, and nobody would manage the subscriptions under the old one. A name that returns after its
// node was removed gets a new id.
//
// No I/O and no clock.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/membership.h"

namespace lupinsill::fleet {

class NodeIdRegistry {
 public:
  // Returns the id of `name` and assigns one if it has none.
  NodeId idOf(const std::string& name) {
    const auto [it, inserted] = ids_.try_emplace(name, lastId_ + 1);
    if (inserted) ++lastId_;
    return it->second;
  }
  // Returns the id of `name`, or nothing if it has none.
  std::optional<NodeId> find(const std::string& name) const {
    const auto it = ids_.find(name);
    return it == ids_.end() ? std::nullopt : std::optional(it->second);
  }
  // Drops the ids of all nodes but `endpoints`. Call it with the membership's nodes after every list, applied
  // or not.
  void retain(const std::map<NodeId, NodeEndpoint>& endpoints) {
    std::erase_if(ids_, [&](const auto& entry) { return !endpoints.contains(entry.second); });
  }

 private:
  std::map<std::string, NodeId> ids_;
  NodeId lastId_ = 0;
};

}  // namespace lupinsill::fleet
