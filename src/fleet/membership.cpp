#include "fleet/membership.h"

#include <algorithm>

namespace lupinsill::fleet {

namespace {

// How long a source must deliver only older versions to count as restarted. Lists that are merely delayed are
// ruled out: ListPoller matches no answer that took longer.
constexpr Micros sourceRestartDelay = 30'000'000;

}  // namespace

const char* nameOf(UpdateResult result) {
  switch (result) {
    case UpdateResult::applied:
      return "applied";
    case UpdateResult::same:
      return "same";
    case UpdateResult::older:
      return "older";
    case UpdateResult::tooMuchGone:
      return "too-much-gone";
  }
  return "?";
}

ListEntry Membership::entryOf(const NodeEndpoint& endpoint) const {
  return {endpoint.node, endpoint.state,   endpoint.kind, endpoint.weight,
          endpoint.cell, endpoint.readyAt, endpoint.zone};
}

ListUpdate Membership::restore(const NodeList& list) {
  ListUpdate update{ListKind::cachedSnapshot, {}};
  endpoints_.clear();
  for (const NodeEndpoint& endpoint : list.endpoints) {
    endpoints_[endpoint.node] = endpoint;
    update.entries.push_back(entryOf(endpoint));
  }
  titles_ = list.titles;
  otherTitlesEverywhere_ = list.otherTitlesEverywhere;
  version_ = list.version;
  onlyRestored_ = true;
  return update;
}

// A source that lost its version counter would be ignored for ever, and changes to the fleet with it. Delayed
// lists arrive in any order and between newer ones, whereas a restarted source delivers only older versions,
// in rising order, for a long time.
bool Membership::sourceRestarted(Micros now, std::uint64_t version) {
  if (olderSince_ == 0 || version < olderVersion_) olderSince_ = now;
  olderVersion_ = version;
  return now - olderSince_ >= sourceRestartDelay;
}

UpdateResult Membership::apply(Micros now, const NodeList& list, ListUpdate& update) {
  // After a restart of this director the same version is applied again, since the saved copy may have missed
  // part of it. An older version never is, unless the source restarted.
  const bool restarted = list.version < version_;
  if (restarted && !sourceRestarted(now, list.version)) return UpdateResult::older;
  olderSince_ = 0;
  if (list.version == version_ && !onlyRestored_) return UpdateResult::same;

  std::map<NodeId, NodeEndpoint> next;
  for (const NodeEndpoint& endpoint : list.endpoints) {
    NodeEndpoint& listed = next[endpoint.node] = endpoint;
    const auto drainOverride = drainOverrides_.find(endpoint.node);
    // A restarted source may have lost its drains too: a draining node stays so until the list shows a
    // restart of the node.
    if (const auto previous = endpoints_.find(endpoint.node);
        restarted && previous != endpoints_.end() && previous->second.state == NodeState::draining &&
        endpoint.state == NodeState::ready && endpoint.readyAt <= previous->second.readyAt)
      listed.state = NodeState::draining, drainOverrides_[endpoint.node] = endpoint.readyAt;
    if (drainOverride == drainOverrides_.end()) continue;
    if (endpoint.readyAt > drainOverride->second || endpoint.state == NodeState::gone)
      drainOverrides_.erase(drainOverride);
    else if (endpoint.state == NodeState::ready)
      listed.state = NodeState::draining;
  }
  std::size_t readyCount = 0;
  std::set<NodeId> missing;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.state != NodeState::ready) continue;
    ++readyCount;
    if (!next.contains(id)) missing.insert(id);
  }
  const bool holdBack = !missing.empty() && static_cast<double>(missing.size()) >
                                                (1 - minKeptShare_) * static_cast<double>(readyCount);
  // A further list that omits the same nodes does not extend the hold-down.
  if (holdBack && heldRemovals_ != missing) removalsHeldUntil_ = now + removalHoldDown_;
  heldRemovals_ = holdBack ? missing : std::set<NodeId>{};
  for (const NodeId id : heldRemovals_) next[id] = endpoints_[id];

  update = {onlyRestored_ ? ListKind::snapshot : ListKind::changes, {}};
  for (const auto& [id, endpoint] : next) {
    const auto previous = endpoints_.find(id);
    if (onlyRestored_ || previous == endpoints_.end() || previous->second != endpoint)
      update.entries.push_back(entryOf(endpoint));
  }
  if (!onlyRestored_)
    for (const auto& [id, endpoint] : endpoints_)
      if (!next.contains(id) && endpoint.state != NodeState::gone) {
        update.entries.push_back(entryOf(endpoint));
        update.entries.back().state = NodeState::gone;
      }
  endpoints_ = std::move(next);
  std::erase_if(drainOverrides_, [&](const auto& drain) { return !endpoints_.contains(drain.first); });
  titles_ = list.titles;
  otherTitlesEverywhere_ = list.otherTitlesEverywhere;
  version_ = list.version;
  onlyRestored_ = false;
  if (holdBack) ++listsHeldBack_;
  return holdBack ? UpdateResult::tooMuchGone : UpdateResult::applied;
}

ListUpdate Membership::confirmRemovals(Micros now) {
  ListUpdate update{ListKind::changes, {}};
  if (now < removalsHeldUntil_) return update;
  for (const NodeId id : heldRemovals_) {
    update.entries.push_back(entryOf(endpoints_[id]));
    update.entries.back().state = NodeState::gone;
    endpoints_.erase(id);
    drainOverrides_.erase(id);
  }
  heldRemovals_.clear();
  return update;
}

ListUpdate Membership::markDraining(NodeId node) {
  ListUpdate update{ListKind::changes, {}};
  const auto it = endpoints_.find(node);
  if (it == endpoints_.end() || it->second.state != NodeState::ready) return update;
  drainOverrides_[node] = it->second.readyAt;
  it->second.state = NodeState::draining;
  update.entries.push_back(entryOf(it->second));
  return update;
}

const NodeEndpoint* Membership::find(NodeId node) const {
  const auto it = endpoints_.find(node);
  return it == endpoints_.end() ? nullptr : &it->second;
}

TitlePlacement Membership::placementOf(const std::string& title) const {
  const auto it = titles_.find(title);
  if (it != titles_.end()) return it->second;
  return otherTitlesEverywhere_ ? TitlePlacement{0, std::max(1, cells_)} : TitlePlacement{};
}

}  // namespace lupinsill::fleet
