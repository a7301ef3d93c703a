// What the words about the fleet mean now: which media nodes there are, where they answer, what they hold,
// and which change of that the decider has to be told. Decides on words as they come in, whoever brings them:
// a watched file today. No I/O, no clock; times are whole microseconds on the caller's clock. Source:
// operators' brief (the list knows only of processes that run, drain or are gone).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control.h"

namespace lupinsill::fleet {

struct NodeEndpoint {
  NodeId node = 0;
  std::string host;
  int port = 0;
  NodeState state = NodeState::ready;
  int kind = 0;
  int cell = 0;
  double weight = 1;
  std::string zone;
  Micros readyAt = 0;  // 0: long ago
  bool operator==(const NodeEndpoint&) const = default;
};

struct TitlePlacement {
  int firstCell = 0;
  int holders = 0;
};

// One whole list, as its source worded it. Versions only grow at one source, until it starts over.
struct NodeList {
  std::uint64_t version = 0;
  std::vector<NodeEndpoint> endpoints;
  std::map<std::string, TitlePlacement> titles;
  bool otherTitlesEverywhere = true;
};

enum class UpdateResult { applied, same, older, tooMuchGone };
const char* nameOf(UpdateResult taken);

class Membership {
 public:
  // `cells`: of the deployment. `leastKept`: where a word passes over more than the rest of the ready nodes
  // in silence, they stay until it is confirmed, since a list that lost its entries looks just like that.
  // What a word says aloud (draining, gone) always holds at once.
  // `grace`: of rule 3, which runs from the word on, so half of it is the most that doubt may take.
  Membership(int cells, double leastKept, Micros grace)
      : cells_(cells), leastKept_(leastKept), doubtFor_(grace / 2) {}

  // The list of before a restart: taken without question, told as possibly old.
  ListUpdate restore(const NodeList& word);
  // `told` is what to tell the decider; it may be empty.
  UpdateResult apply(Micros now, const NodeList& word, ListUpdate& told);
  // Nodes that were passed over and that no later word has named since: gone, once the doubt is over. Call it
  // often; it is empty otherwise.
  ListUpdate confirmRemovals(Micros now);
  // The node itself says that it drains. That holds whatever the list says, until the list shows a new start.
  ListUpdate markDraining(NodeId node);

  // The returned pointer holds until the next word.
  const NodeEndpoint* find(NodeId node) const;
  TitlePlacement where(const std::string& title) const;
  std::uint64_t version() const { return version_; }
  const std::map<NodeId, NodeEndpoint>& endpoints() const { return endpoints_; }
  std::uint64_t heldBack() const { return heldBack_; }

 private:
  ListEntry entryOf(const NodeEndpoint& endpoint) const;
  bool startedOver(Micros now, std::uint64_t version);

  int cells_;
  double leastKept_;
  Micros doubtFor_;
  Micros doubtUntil_ = 0;
  Micros olderSince_ = 0;           // nothing but older words has come since, in rising order; 0: none
  std::uint64_t olderVersion_ = 0;  // of the last of these
  std::uint64_t version_ = 0;
  bool fromBefore_ = true;              // nothing but the list of before a restart is known
  std::set<NodeId> doubted_;            // passed over by the last word, and kept for now
  std::map<NodeId, Micros> ownDrains_;  // said by the node itself, of the start at that time
  std::uint64_t heldBack_ = 0;
  std::map<NodeId, NodeEndpoint> endpoints_;
  std::map<std::string, TitlePlacement> titles_;
  bool otherTitlesEverywhere_ = true;
};

}  // namespace lupinsill::fleet
