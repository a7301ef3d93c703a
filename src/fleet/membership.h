// The membership of the fleet: which media nodes exist, at which addresses, in which state, and which cells
// hold which titles. It applies lists of nodes from a source such as a watched file or a name server and
// returns the changes that the decider has to be told.
//
// A list reports a node's process only as ready, draining or gone. Outdated lists are ignored, a source whose
// versions start over is accepted after a while, and removals that look like a damaged list are held back
// until they are confirmed.
//
// No I/O and no clock: times are microseconds on the caller's clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control.h"

namespace lupinsill::fleet {

// A media node as the list describes it.
struct NodeEndpoint {
  NodeId node = 0;
  std::string host;
  int port = 0;
  NodeState state = NodeState::ready;
  int kind = 0;  // index of the machine type
  int cell = 0;
  double weight = 1;
  std::string zone;
  Micros readyAt = 0;  // when its process started; 0: long ago
  bool operator==(const NodeEndpoint&) const = default;
};

// The cells that hold a title: `holders` consecutive ones from `firstCell` on, the last being followed by
// cell 0.
struct TitlePlacement {
  int firstCell = 0;
  int holders = 0;
};

// A complete list of nodes and titles from a source. Versions of a source only grow, until the source loses
// its state and starts over.
struct NodeList {
  std::uint64_t version = 0;
  std::vector<NodeEndpoint> endpoints;
  std::map<std::string, TitlePlacement> titles;
  bool otherTitlesEverywhere = true;  // titles not named in `titles` are in every cell; otherwise in none
};

// What became of a list.
enum class UpdateResult {
  applied,
  same,        // ignored: this version is already applied
  older,       // ignored: older than the applied version
  tooMuchGone  // applied, but the removal of the missing nodes is held back
};
// Returns the name under which a result is logged.
const char* nameOf(UpdateResult result);

class Membership {
 public:
  // `cells`: number of cells of the deployment.
  // `minKeptShare`: share of the ready nodes that a list has to name. One that names fewer may have lost
  // entries, so the missing nodes stay until their removal is confirmed. States that a list names (draining,
  // gone) always apply at once.
  // `grace`: how long joins may still go to a node after it is reported draining or gone. It runs from the
  // list's arrival, so removals are held back for at most half of it.
  Membership(int cells, double minKeptShare, Micros grace)
      : cells_(cells), minKeptShare_(minKeptShare), removalHoldDown_(grace / 2) {}

  // Loads the list saved before a restart, without checks, and returns it as a cached snapshot, which may be
  // outdated. The first list from the source that is not older then replaces all of it.
  ListUpdate restore(const NodeList& list);
  // Applies a list from the source. Sets `update` to what the decider has to be told, possibly nothing;
  // leaves it alone where the list is ignored.
  UpdateResult apply(Micros now, const NodeList& list, ListUpdate& update);
  // Removes the nodes held back since an earlier list, once their hold-down is over, and returns the changes.
  // Call it often; it mostly returns nothing.
  ListUpdate confirmRemovals(Micros now);
  // The node itself reported that it drains. This overrides the list until the list shows a restart of the
  // node.
  ListUpdate markDraining(NodeId node);

  // Returns the node, or null if it is unknown. The pointer is valid until the next non-const call.
  const NodeEndpoint* find(NodeId node) const;
  // Returns the cells that hold `title`.
  TitlePlacement placementOf(const std::string& title) const;
  std::uint64_t version() const { return version_; }
  const std::map<NodeId, NodeEndpoint>& endpoints() const { return endpoints_; }
  // How many lists had removals held back.
  std::uint64_t heldBack() const { return listsHeldBack_; }

 private:
  ListEntry entryOf(const NodeEndpoint& endpoint) const;
  bool sourceRestarted(Micros now, std::uint64_t version);

  int cells_;
  double minKeptShare_;
  Micros removalHoldDown_;
  Micros removalsHeldUntil_ = 0;
  Micros olderSince_ = 0;           // only older versions, in rising order, have arrived since; 0: none
  std::uint64_t olderVersion_ = 0;  // the last of those versions
  std::uint64_t version_ = 0;
  bool onlyRestored_ = true;                 // no list from the source has been applied yet
  std::set<NodeId> heldRemovals_;            // ready nodes missing from the last list, kept for now
  std::map<NodeId, Micros> drainOverrides_;  // drains that override the list, by the `readyAt` of the process
  std::uint64_t listsHeldBack_ = 0;
  std::map<NodeId, NodeEndpoint> endpoints_;
  std::map<std::string, TitlePlacement> titles_;
  bool otherTitlesEverywhere_ = true;
};

}  // namespace lupinsill::fleet
