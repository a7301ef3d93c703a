// Safety rules on joins, checked between the decision and the socket.
//
// A guard only allows or rejects a join; it never chooses a node. A rejected join has not run, so the decider
// may place it anew. As long as the decider works correctly no guard rejects anything, so each rejection is
// counted as a violation of its rule and shown to operators.
//
// Times are whole microseconds on the caller's clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "control.h"

namespace lupinsill::session {

// Checked in part by the Front, which knows the requests, and in part by Guards, which knows nodes and rates.
enum class Rule {
  oneAnswer,    // every request is answered by its deadline
  oneJoin,      // a subscription has at most one join at a time
  onceOnly,     // an unsafe request whose join may have run is not throttled, and not joined again if `once`
  drain,        // no joins to a node that has been draining or gone for longer than the grace period
  cold,         // no more joins to a cold node than its capacity allows
  seats,        // no more subscriptions to a title than its room type has seats
  floor,        // no rung below the floor of the room type
  retryBudget,  // no more further joins than the retry budget allows
};
constexpr std::size_t ruleCount = 8;
const char* nameOf(Rule rule);  // in metrics and logs

// Tracks nodes, seats and rates, and checks each join against the rules drain, cold, seats and retryBudget.
class Guards {
 public:
  // `grace`: how long joins may still go to a node after it was reported draining or gone.
  Guards(const ControlSettings& settings, Micros grace) : settings_(settings), grace_(grace) {}

  // Updates the states of the nodes.
  void listUpdated(Micros now, const ListUpdate& update);
  // Counts a request towards the retry budget.
  void requestArrived(Micros now);

  // Whether a join may be placed; if so, takes its seat. Otherwise sets `rule` to the violated rule.
  bool mayPlace(Micros now, const std::string& title, int roomType, NodeId node, bool isRetry, Rule& rule);
  // Whether a placed join may be written now. Since it was placed it may have waited for the store or a
  // connection while its node drained, left or restarted. Only written joins count towards the limit of a
  // cold node.
  bool mayWrite(Micros now, NodeId node, Rule& rule);
  // Takes the seat of a subscription that was playing when the process started.
  void adopted(const std::string& title, int roomType) { ++seats_[{title, roomType}]; }
  // Releases the seat of a join.
  void joinEnded(const std::string& title, int roomType);

  bool isNotReady(NodeId node) const;  // draining, gone or unknown
  std::size_t seatsTaken(const std::string& title, int roomType) const;

 private:
  struct NodeRecord {
    NodeState state = NodeState::gone;
    Micros notReadySince = 0;  // valid while the state is not ready
    Micros readyAt = 0;
    int kind = 0;
    std::deque<Micros> recentJoins;  // written within the last fall time, while the node is cold
  };
  bool graceExpired(Micros now, NodeId id) const;
  bool coldLimitAllows(Micros now, NodeId id);

  ControlSettings settings_;
  Micros grace_;
  std::map<NodeId, NodeRecord> nodes_;
  std::map<std::pair<std::string, int>, std::size_t> seats_;  // taken, by title and room type
  std::deque<Micros> requestTimes_;                           // within the window of the retry budget
  std::deque<Micros> retryTimes_;                             // likewise
};

}  // namespace lupinsill::session
