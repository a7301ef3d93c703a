#include "fleet/membership.h"

#include <algorithm>

namespace lupinsill::fleet {

namespace {

// The protocol's longest time for which a list may stay out is 4.5 s; several times that is no late word.
constexpr Micros olderMost = 30'000'000;

}  // namespace

const char* nameOf(Taken taken) {
  switch (taken) {
    case Taken::applied:
      return "applied";
    case Taken::same:
      return "same";
    case Taken::older:
      return "older";
    case Taken::tooMuchGone:
      return "too-much-gone";
  }
  return "?";
}

ListEntry Membership::entryOf(const Box& box) const {
  return {box.node, box.state, box.kind, box.weight, box.cell, box.readyAt, box.zone};
}

ListTold Membership::startFrom(const Word& word) {
  ListTold told{ListKind::warmCopy, {}};
  boxes_.clear();
  for (const Box& box : word.boxes) {
    boxes_[box.node] = box;
    told.entries.push_back(entryOf(box));
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

Taken Membership::apply(Micros now, const Word& word, ListTold& told) {
  // The same number again after a restart may carry what the old copy missed; older words never do.
  const bool over = word.version < version_;
  if (over && !startedOver(now, word.version)) return Taken::older;
  olderSince_ = 0;
  if (word.version == version_ && !fromBefore_) return Taken::same;

  std::map<NodeId, Box> next;
  for (const Box& box : word.boxes) {
    Box& taken = next[box.node] = box;
    const auto own = ownDrains_.find(box.node);
    // What was told to drain before a source started over goes on to, until the list shows a new start.
    if (const auto held = boxes_.find(box.node);
        over && held != boxes_.end() && held->second.state == NodeState::draining &&
        box.state == NodeState::ready && box.readyAt <= held->second.readyAt)
      taken.state = NodeState::draining, ownDrains_[box.node] = box.readyAt;
    if (own == ownDrains_.end()) continue;
    if (box.readyAt > own->second || box.state == NodeState::gone)
      ownDrains_.erase(own);
    else if (box.state == NodeState::ready)
      taken.state = NodeState::draining;
  }
  std::size_t ready = 0;
  std::set<NodeId> missing;
  for (const auto& [id, box] : boxes_) {
    if (box.state != NodeState::ready) continue;
    ++ready;
    if (!next.contains(id)) missing.insert(id);
  }
  const bool doubtful =
      !missing.empty() && static_cast<double>(missing.size()) > (1 - leastKept_) * static_cast<double>(ready);
  // A word that goes on passing over the same nodes does not put the end of the doubt off.
  if (doubtful && doubted_ != missing) doubtUntil_ = now + doubtFor_;
  doubted_ = doubtful ? missing : std::set<NodeId>{};
  for (const NodeId id : doubted_) next[id] = boxes_[id];

  told = {fromBefore_ ? ListKind::total : ListKind::changes, {}};
  for (const auto& [id, box] : next) {
    const auto before = boxes_.find(id);
    if (fromBefore_ || before == boxes_.end() || before->second != box) told.entries.push_back(entryOf(box));
  }
  if (!fromBefore_)
    for (const auto& [id, box] : boxes_)
      if (!next.contains(id) && box.state != NodeState::gone) {
        told.entries.push_back(entryOf(box));
        told.entries.back().state = NodeState::gone;
      }
  boxes_ = std::move(next);
  std::erase_if(ownDrains_, [&](const auto& drain) { return !boxes_.contains(drain.first); });
  titles_ = word.titles;
  otherTitlesEverywhere_ = word.otherTitlesEverywhere;
  version_ = word.version;
  fromBefore_ = false;
  if (doubtful) ++heldBack_;
  return doubtful ? Taken::tooMuchGone : Taken::applied;
}

ListTold Membership::confirm(Micros now) {
  ListTold told{ListKind::changes, {}};
  if (now < doubtUntil_) return told;
  for (const NodeId id : doubted_) {
    told.entries.push_back(entryOf(boxes_[id]));
    told.entries.back().state = NodeState::gone;
    boxes_.erase(id);
    ownDrains_.erase(id);
  }
  doubted_.clear();
  return told;
}

ListTold Membership::drains(NodeId node) {
  ListTold told{ListKind::changes, {}};
  const auto it = boxes_.find(node);
  if (it == boxes_.end() || it->second.state != NodeState::ready) return told;
  ownDrains_[node] = it->second.readyAt;
  it->second.state = NodeState::draining;
  told.entries.push_back(entryOf(it->second));
  return told;
}

const Box* Membership::find(NodeId node) const {
  const auto it = boxes_.find(node);
  return it == boxes_.end() ? nullptr : &it->second;
}

TitleAt Membership::where(const std::string& title) const {
  const auto it = titles_.find(title);
  if (it != titles_.end()) return it->second;
  return otherTitlesEverywhere_ ? TitleAt{0, std::max(1, cells_)} : TitleAt{};
}

}  // namespace lupinsill::fleet
