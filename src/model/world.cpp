#include "model/world.h"

#include <algorithm>

namespace lupinsill::model {
namespace {
constexpr Micros pastKept = 6'000'000;
}

LinkModel::LinkModel(const ControlSettings& terms, const LinkParameters& plan, std::uint64_t seed)
    : terms_(terms), plan_(plan), chance_(seed, 2) {
  for (int rack = 0; rack < std::max(1, terms.racks); ++rack) {
    uplinkFactor_[rack] = 1 + chance_.between(-plan.spread, plan.spread);
    uplinkCut_[rack] = 1;
  }
  for (int title = 0; title < plan.titles; ++title) titleFactor_[title] = 1 + chance_.between(-0.15, 0.15);
}

void LinkModel::addNode(NodeId node, int cell, Micros startedAt, bool coldStart) {
  Node& n = nodes_[node];
  n.cell = cell;
  n.startedAt = startedAt;
  n.coldStart = coldStart;
  n.factor = 1 + chance_.between(-plan_.spread, plan_.spread) / 2;
}

void LinkModel::removeNode(NodeId node) {
  std::erase_if(streams_, [&](const auto& s) { return s.second.node == node; });
  nodes_.erase(node);
}

double LinkModel::warmth(NodeId node, Micros now) const {
  const Node& n = nodes_.at(node);
  const ControlSettings& t = terms_;
  if (!n.coldStart) return 1;
  const double age = static_cast<double>(now - n.startedAt) / static_cast<double>(t.coldTime);
  return t.startCapacity + (1 - t.startCapacity) * std::clamp(age, 0.0, 1.0);
}

StreamId LinkModel::startStream(NodeId node, int viewer, int roomType, int rung, int title, bool earns) {
  const auto it = titleFactor_.find(title);
  streams_[++next_] = {node, viewer, roomType, rung, it == titleFactor_.end() ? 1.0 : it->second, earns};
  ++nodes_[node].streams;
  return next_;
}

void LinkModel::setRung(StreamId stream, int rung) {
  const auto it = streams_.find(stream);
  if (it == streams_.end() || it->second.rung == rung) return;
  const ControlSettings& t = terms_;
  const RoomType& room = t.roomTypes[static_cast<std::size_t>(it->second.roomType)];
  it->second.rung = rung;
  ++rungSteps_;
  if (it->second.earns && earning_) earned_[it->second.viewer] -= t.switchSeconds * room.benefit;
}

void LinkModel::stopStream(StreamId stream) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) return;
  --nodes_[it->second.node].streams;
  streams_.erase(it);
}

std::size_t LinkModel::streams(NodeId node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() ? 0 : it->second.streams;
}

void LinkModel::step(Micros now) {
  const double seconds = last_ == 0 ? 0 : static_cast<double>(now - last_) / 1e6;
  last_ = now;
  const ControlSettings& t = terms_;
  const int racks = std::max(1, t.racks);
  std::map<NodeId, double> asked;
  std::map<int, double> rackAsked;
  for (const auto& [id, s] : streams_) {
    const double kb = t.ladderKb[static_cast<std::size_t>(s.rung)] *
                      t.roomTypes[static_cast<std::size_t>(s.roomType)].rateFactor * s.factor;
    asked[s.node] += kb;
    rackAsked[nodes_[s.node].cell % racks] += kb;
  }
  std::map<NodeId, double> share;
  for (auto& [id, n] : nodes_) {
    const int rack = n.cell % racks;
    const double link = plan_.linkKb * n.factor * warmth(id, now) / n.cut;
    const double uplink = t.rackUplinkKb > 0 ? t.rackUplinkKb * uplinkFactor_[rack] / uplinkCut_[rack] : 1e18;
    NodeLoad load{asked[id] / link, rackAsked[rack] / uplink, 1};
    share[id] = n.stalled ? 0 : std::min(1.0, 1 / std::max({1e-9, load.link, load.uplink}));
    // What is told is smoothed over about a second.
    const double before = n.past.empty() ? 1 : n.past.back().second.delivered;
    load.delivered = before + (share[id] - before) * std::min(1.0, seconds * 2);
    n.past.emplace_back(now, load);
    while (n.past.front().first < now - pastKept) n.past.pop_front();
  }
  for (const auto& [id, s] : streams_) {
    playedSeconds_ += seconds;
    if (!s.earns || !earning_) continue;
    const RoomType& room = t.roomTypes[static_cast<std::size_t>(s.roomType)];
    const double missing = std::max(0.0, 0.98 - share[s.node]);
    const double worth = t.rungBenefit[static_cast<std::size_t>(s.rung)] * std::max(0.0, 1 - 6 * missing);
    earned_[s.viewer] += seconds * room.benefit * worth;
  }
}

NodeLoad LinkModel::load(NodeId node, Micros late) const {
  const auto it = nodes_.find(node);
  if (it == nodes_.end() || it->second.past.empty()) return {};
  const auto& past = it->second.past;
  const Micros wanted = past.back().first - late;
  for (auto p = past.rbegin(); p != past.rend(); ++p)
    if (p->first <= wanted) return p->second;
  return past.front().second;
}

}  // namespace lupinsill::model
