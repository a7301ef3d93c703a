// Rates are counted over sliding windows, as time stamps in ascending order.
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
    case Rule::retryBudget:
      return "further";
  }
  return "?";
}

namespace {
// Removes the times up to and including `cutoff` from the front of `times`, which is in ascending order.
void removeUpTo(std::deque<Micros>& times, Micros cutoff) {
  while (!times.empty() && times.front() <= cutoff) times.pop_front();
}
}  // namespace

void Guards::listUpdated(Micros now, const ListUpdate& update) {
  if (update.kind == ListKind::lost) return;
  std::set<NodeId> listed;
  for (const ListEntry& entry : update.entries) {
    listed.insert(entry.node);
    NodeRecord& node = nodes_[entry.node];
    // A repeated report of the same drain does not restart the grace period.
    if (entry.state != NodeState::ready && node.state == NodeState::ready) node.notReadySince = now;
    node.state = entry.state;
    node.readyAt = std::max(node.readyAt, entry.readyAt);
    node.kind = entry.kind;
  }
  // Removes old records, so that they do not accumulate as nodes are replaced. An unknown node counts as
  // gone.
  std::erase_if(nodes_, [&](const auto& entry) {
    return entry.second.state == NodeState::gone &&
           now - entry.second.notReadySince > grace_ + settings_.coldTime;
  });
  if (update.kind == ListKind::changes) return;
  for (auto& [id, node] : nodes_)
    if (!listed.contains(id) && node.state == NodeState::ready)
      node.state = NodeState::gone, node.notReadySince = now;
}

void Guards::requestArrived(Micros now) {
  if (!settings_.retryBudget) return;
  removeUpTo(requestTimes_, now - settings_.retryBudget->window);
  requestTimes_.push_back(now);
}

bool Guards::isNotReady(NodeId node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() || it->second.state != NodeState::ready;
}

std::size_t Guards::seatsTaken(const std::string& title, int roomType) const {
  const auto it = seats_.find({title, roomType});
  return it == seats_.end() ? 0 : it->second;
}

// Counts the joins of this director only, against the limit for all directors together. A join above it is
// certainly too many, whatever the other directors send.
bool Guards::coldLimitAllows(Micros now, NodeId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return true;
  NodeRecord& node = it->second;
  const Micros age = now - node.readyAt;
  if (node.readyAt == 0 || age >= settings_.coldTime || settings_.fallTime <= 0) {
    node.recentJoins.clear();
    return true;
  }
  removeUpTo(node.recentJoins, now - settings_.fallTime);
  const int slots = settings_.slotsOf(node.kind);
  // The capacity at the start of the counted window: the node was colder then than now.
  const Micros ageAtWindowStart = (node.recentJoins.empty() ? now : node.recentJoins.front()) - node.readyAt;
  const double capacityShare =
      settings_.startCapacity + (1 - settings_.startCapacity) *
                                    static_cast<double>(std::max<Micros>(0, ageAtWindowStart)) /
                                    static_cast<double>(settings_.coldTime);
  const double maxJoins = slots * capacityShare * static_cast<double>(settings_.fallTime) /
                          static_cast<double>(settings_.coldTime) * settings_.overloadFactor;
  return static_cast<double>(node.recentJoins.size()) + 1 <= std::max(1.0, maxJoins);
}

bool Guards::graceExpired(Micros now, NodeId id) const {
  const auto it = nodes_.find(id);
  return it == nodes_.end() ||
         (it->second.state != NodeState::ready && now - it->second.notReadySince > grace_);
}

bool Guards::mayWrite(Micros now, NodeId id, Rule& rule) {
  if (graceExpired(now, id)) return rule = Rule::drain, false;
  if (!coldLimitAllows(now, id)) return rule = Rule::cold, false;
  NodeRecord& node = nodes_.at(id);
  if (node.readyAt != 0 && now - node.readyAt < settings_.coldTime) node.recentJoins.push_back(now);
  return true;
}

bool Guards::mayPlace(Micros now, const std::string& title, int roomType, NodeId id, bool isRetry,
                      Rule& rule) {
  const RoomType& room = settings_.roomTypes[static_cast<std::size_t>(roomType)];
  if (graceExpired(now, id)) return rule = Rule::drain, false;
  if (room.seats > 0 && seatsTaken(title, roomType) >= static_cast<std::size_t>(room.seats))
    return rule = Rule::seats, false;
  if (isRetry && settings_.retryBudget) {
    const RetryBudget& budget = *settings_.retryBudget;
    removeUpTo(retryTimes_, now - budget.window);
    removeUpTo(requestTimes_, now - budget.window);
    if (static_cast<double>(retryTimes_.size()) + 1 >
        budget.minRetries + budget.share * static_cast<double>(requestTimes_.size()))
      return rule = Rule::retryBudget, false;
  }
  if (!coldLimitAllows(now, id)) return rule = Rule::cold, false;
  if (isRetry && settings_.retryBudget) retryTimes_.push_back(now);
  ++seats_[{title, roomType}];
  return true;
}

void Guards::joinEnded(const std::string& title, int roomType) {
  const auto it = seats_.find({title, roomType});
  if (it == seats_.end()) return;
  if (--it->second == 0) seats_.erase(it);
}

}  // namespace lupinsill::session
