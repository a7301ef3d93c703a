// Numbers for the names of media nodes. A name keeps its number for as long as the membership holds the node,
// whatever a single word says of it: a word may be doubted, already known or older, and one that then lost
// its number would come back as another node, with all that stands there left to nobody. A name whose node
// has gone and that comes back is another node. No I/O, no clock.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/membership.h"

namespace lupinsill::fleet {

class NodeIdRegistry {
 public:
  NodeId idOf(const std::string& name) {
    const auto [at, fresh] = numbers_.try_emplace(name, last_ + 1);
    if (fresh) ++last_;
    return at->second;
  }
  std::optional<NodeId> find(const std::string& name) const {
    const auto at = numbers_.find(name);
    return at == numbers_.end() ? std::nullopt : std::optional(at->second);
  }
  // Call it after every word, taken or not, with the nodes that are held now.
  void retain(const std::map<NodeId, NodeEndpoint>& endpoints) {
    std::erase_if(numbers_, [&](const auto& entry) { return !endpoints.contains(entry.second); });
  }

 private:
  std::map<std::string, NodeId> numbers_;
  NodeId last_ = 0;
};

}  // namespace lupinsill::fleet
