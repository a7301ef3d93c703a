#include "fleet/membership.h"

#include <algorithm>

namespace lupinsill::fleet {

namespace {

// The protocol's longest time for which a list may stay out is 4.5 s; several times that is no late word.
constexpr Micros olderMost = 30'000'000;

}  // namespace

const char* nameOf(UpdateResult taken) {
  switch (taken) {
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

ListUpdate Membership::restore(const NodeList& word) {
  ListUpdate told{ListKind::cachedSnapshot, {}};
  endpoints_.clear();
  for (const NodeEndpoint& endpoint : word.endpoints) {
    endpoints_[endpoint.node] = endpoint;
    told.entries.push_back(entryOf(endpoint));
  }
  titles_ = word.titles;
  otherTitlesEverywhere_ = word.otherTitlesEverywhere;
  version_ = word.version;
  fromBefore_ = true;
  return told;
}

// Guards against a source that lost its count: its words would be older for ever, and the fleet would change
// unheard. Late words come in any order and among newer ones; such a source says nothing else for long.
bool Membership::startedOver(Micros now, std::uint64_t version) {
  if (olderSince_ == 0 || version < olderVersion_) olderSince_ = now;
  olderVersion_ = version;
  return now - olderSince_ >= olderMost;
}

UpdateResult Membership::apply(Micros now, const NodeList& word, ListUpdate& told) {
  // The same number again after a restart may carry what the old copy missed; older words never do.
  const bool over = word.version < version_;
  if (over && !startedOver(now, word.version)) return UpdateResult::older;
  olderSince_ = 0;
  if (word.version == version_ && !fromBefore_) return UpdateResult::same;

  std::map<NodeId, NodeEndpoint> next;
  for (const NodeEndpoint& endpoint : word.endpoints) {
    NodeEndpoint& taken = next[endpoint.node] = endpoint;
    const auto own = ownDrains_.find(endpoint.node);
    // What was told to drain before a source started over goes on to, until the list shows a new start.
    if (const auto held = endpoints_.find(endpoint.node);
        over && held != endpoints_.end() && held->second.state == NodeState::draining &&
        endpoint.state == NodeState::ready && endpoint.readyAt <= held->second.readyAt)
      taken.state = NodeState::draining, ownDrains_[endpoint.node] = endpoint.readyAt;
    if (own == ownDrains_.end()) continue;
    if (endpoint.readyAt > own->second || endpoint.state == NodeState::gone)
      ownDrains_.erase(own);
    else if (endpoint.state == NodeState::ready)
      taken.state = NodeState::draining;
  }
  std::size_t ready = 0;
  std::set<NodeId> missing;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.state != NodeState::ready) continue;
    ++ready;
    if (!next.contains(id)) missing.insert(id);
  }
  const bool doubtful =
      !missing.empty() && static_cast<double>(missing.size()) > (1 - leastKept_) * static_cast<double>(ready);
  // A word that goes on passing over the same nodes does not put the end of the doubt off.
  if (doubtful && doubted_ != missing) doubtUntil_ = now + doubtFor_;
  doubted_ = doubtful ? missing : std::set<NodeId>{};
  for (const NodeId id : doubted_) next[id] = endpoints_[id];

  told = {fromBefore_ ? ListKind::snapshot : ListKind::changes, {}};
  for (const auto& [id, endpoint] : next) {
    const auto before = endpoints_.find(id);
    if (fromBefore_ || before == endpoints_.end() || before->second != endpoint)
      told.entries.push_back(entryOf(endpoint));
  }
  if (!fromBefore_)
    for (const auto& [id, endpoint] : endpoints_)
      if (!next.contains(id) && endpoint.state != NodeState::gone) {
        told.entries.push_back(entryOf(endpoint));
        told.entries.back().state = NodeState::gone;
      }
  endpoints_ = std::move(next);
  std::erase_if(ownDrains_, [&](const auto& drain) { return !endpoints_.contains(drain.first); });
  titles_ = word.titles;
  otherTitlesEverywhere_ = word.otherTitlesEverywhere;
  version_ = word.version;
  fromBefore_ = false;
  if (doubtful) ++heldBack_;
  return doubtful ? UpdateResult::tooMuchGone : UpdateResult::applied;
}

ListUpdate Membership::confirmRemovals(Micros now) {
  ListUpdate told{ListKind::changes, {}};
  if (now < doubtUntil_) return told;
  for (const NodeId id : doubted_) {
    told.entries.push_back(entryOf(endpoints_[id]));
    told.entries.back().state = NodeState::gone;
    endpoints_.erase(id);
    ownDrains_.erase(id);
  }
  doubted_.clear();
  return told;
}

ListUpdate Membership::markDraining(NodeId node) {
  ListUpdate told{ListKind::changes, {}};
  const auto it = endpoints_.find(node);
  if (it == endpoints_.end() || it->second.state != NodeState::ready) return told;
  ownDrains_[node] = it->second.readyAt;
  it->second.state = NodeState::draining;
  told.entries.push_back(entryOf(it->second));
  return told;
}

const NodeEndpoint* Membership::find(NodeId node) const {
  const auto it = endpoints_.find(node);
  return it == endpoints_.end() ? nullptr : &it->second;
}

TitlePlacement Membership::where(const std::string& title) const {
  const auto it = titles_.find(title);
  if (it != titles_.end()) return it->second;
  return otherTitlesEverywhere_ ? TitlePlacement{0, std::max(1, cells_)} : TitlePlacement{};
}

}  // namespace lupinsill::fleet
