// The rules on joins, checked once more between the decision and the socket. A guard never chooses: it lets a
// join out or holds it back, and what it holds back never ran, so the decider may choose again. On a sound
// build no guard ever trips; each trip is counted by its rule and shown to operators.
// Times are whole microseconds on the caller's clock. Source: the six rules of the operators' brief.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "control.h"

namespace lupinsill::session {

enum class Rule { oneAnswer, oneJoin, onceOnly, drain, cold, seats, floor, further };
constexpr std::size_t ruleCount = 8;
const char* nameOf(Rule rule);

class Guards {
 public:
  // `grace`: after the word that a node drains or is gone, until when joins may still go there.
  Guards(const ControlSettings& terms, Micros grace) : terms_(terms), grace_(grace) {}

  void listUpdated(Micros now, const ListUpdate& told);
  void requestArrived(Micros now);

  // Whether a join may be placed; if so its seat is taken. `rule` says which rule held it back.
  bool mayPlace(Micros now, const std::string& title, int roomType, NodeId node, bool further, Rule& rule);
  // Whether it may be written now: it may have waited for a disk or a connection since it was placed, while
  // its node began to drain, went, or started anew. Counted against a cold node here and nowhere else.
  bool mayWrite(Micros now, NodeId node, Rule& rule);
  void adopted(const std::string& title, int roomType) { ++seats_[{title, roomType}]; }
  void ended(const std::string& title, int roomType);

  bool draining(NodeId node) const;  // told to drain, told gone, or never told of
  std::size_t seatsTaken(const std::string& title, int roomType) const;

 private:
  struct Known {
    NodeState state = NodeState::gone;
    Micros since = 0;  // of a state other than ready
    Micros readyAt = 0;
    int kind = 0;
    std::deque<Micros> sent;  // while cold, over the last fall time
  };
  bool drained(Micros now, NodeId id) const;
  bool coldAllows(Micros now, NodeId id);

  ControlSettings terms_;
  Micros grace_;
  std::map<NodeId, Known> nodes_;
  std::map<std::pair<std::string, int>, std::size_t> seats_;
  std::deque<Micros> asks_;
  std::deque<Micros> further_;
};

}  // namespace lupinsill::session
