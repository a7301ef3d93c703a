#include "session/guards.h"

#include <algorithm>

namespace lupinsill::session {

const char* nameOf(Rule rule) {
  switch (rule) {
    case Rule::oneAnswer:
      return "one-answer";
    case Rule::oneJoin:
      return "one-join";
    case Rule::onceOnly:
      return "once-only";
    case Rule::drain:
      return "drain";
    case Rule::cold:
      return "cold";
    case Rule::seats:
      return "seats";
    case Rule::floor:
      return "floor";
    case Rule::further:
      return "further";
  }
  return "?";
}

namespace {
void forget(std::deque<Micros>& times, Micros before) {
  while (!times.empty() && times.front() <= before) times.pop_front();
}
}  // namespace

void Guards::listUpdated(Micros now, const ListUpdate& told) {
  if (told.kind == ListKind::lost) return;
  std::set<NodeId> named;
  for (const ListEntry& entry : told.entries) {
    named.insert(entry.node);
    Known& node = nodes_[entry.node];
    // A second word of the same drain does not give a new grace.
    if (entry.state != NodeState::ready && node.state == NodeState::ready) node.since = now;
    node.state = entry.state;
    node.readyAt = std::max(node.readyAt, entry.readyAt);
    node.kind = entry.kind;
  }
  // Guards against a fleet whose nodes are replaced for weeks. One not known counts as gone.
  std::erase_if(nodes_, [&](const auto& entry) {
    return entry.second.state == NodeState::gone && now - entry.second.since > grace_ + terms_.coldTime;
  });
  if (told.kind == ListKind::changes) return;
  for (auto& [id, node] : nodes_)
    if (!named.contains(id) && node.state == NodeState::ready) node.state = NodeState::gone, node.since = now;
}

void Guards::requestArrived(Micros now) {
  if (!terms_.retryBudget) return;
  forget(asks_, now - terms_.retryBudget->window);
  asks_.push_back(now);
}

bool Guards::draining(NodeId node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() || it->second.state != NodeState::ready;
}

std::size_t Guards::seatsTaken(const std::string& title, int roomType) const {
  const auto it = seats_.find({title, roomType});
  return it == seats_.end() ? 0 : it->second;
}

// One director alone over what all together may send a cold node is surely too much, whatever the others do.
bool Guards::coldAllows(Micros now, NodeId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return true;
  Known& node = it->second;
  const Micros age = now - node.readyAt;
  if (node.readyAt == 0 || age >= terms_.coldTime || terms_.fallTime <= 0) {
    node.sent.clear();
    return true;
  }
  forget(node.sent, now - terms_.fallTime);
  const int places = terms_.slotsOf(node.kind);
  // Of the moment at which what is counted here began: the node was colder then.
  const Micros then = (node.sent.empty() ? now : node.sent.front()) - node.readyAt;
  const double warmth = terms_.startCapacity + (1 - terms_.startCapacity) *
                                                   static_cast<double>(std::max<Micros>(0, then)) /
                                                   static_cast<double>(terms_.coldTime);
  const double bears = places * warmth * static_cast<double>(terms_.fallTime) /
                       static_cast<double>(terms_.coldTime) * terms_.overloadFactor;
  return static_cast<double>(node.sent.size()) + 1 <= std::max(1.0, bears);
}

bool Guards::drained(Micros now, NodeId id) const {
  const auto it = nodes_.find(id);
  return it == nodes_.end() || (it->second.state != NodeState::ready && now - it->second.since > grace_);
}

bool Guards::mayWrite(Micros now, NodeId id, Rule& rule) {
  if (drained(now, id)) return rule = Rule::drain, false;
  if (!coldAllows(now, id)) return rule = Rule::cold, false;
  Known& node = nodes_.at(id);
  if (node.readyAt != 0 && now - node.readyAt < terms_.coldTime) node.sent.push_back(now);
  return true;
}

bool Guards::mayPlace(Micros now, const std::string& title, int roomType, NodeId id, bool further,
                      Rule& rule) {
  const RoomType& room = terms_.roomTypes[static_cast<std::size_t>(roomType)];
  if (drained(now, id)) return rule = Rule::drain, false;
  if (room.seats > 0 && seatsTaken(title, roomType) >= static_cast<std::size_t>(room.seats))
    return rule = Rule::seats, false;
  if (further && terms_.retryBudget) {
    const RetryBudget& budget = *terms_.retryBudget;
    forget(further_, now - budget.window);
    forget(asks_, now - budget.window);
    if (static_cast<double>(further_.size()) + 1 >
        budget.minRetries + budget.share * static_cast<double>(asks_.size()))
      return rule = Rule::further, false;
  }
  if (!coldAllows(now, id)) return rule = Rule::cold, false;
  if (further && terms_.retryBudget) further_.push_back(now);
  ++seats_[{title, roomType}];
  return true;
}

void Guards::ended(const std::string& title, int roomType) {
  const auto it = seats_.find({title, roomType});
  if (it == seats_.end()) return;
  if (--it->second == 0) seats_.erase(it);
}

}  // namespace lupinsill::session
