// Load, delivery and benefit of streams on simulated links.
#include "model/world.h"

#include <algorithm>

namespace lupinsill::model {
namespace {
constexpr Micros historyKept = 6'000'000;  // loads older than this are dropped
constexpr std::uint64_t linkPurpose = 2;   // purpose of the random source
constexpr double titleSpread = 0.15;       // of the rates of titles
constexpr double fullyDelivered = 0.98;    // share of its rate from which a stream earns its full benefit
constexpr double missingCost = 6;          // share of the benefit lost per share of the rate that is missing
constexpr double minLoad = 1e-9;           // avoids a division by zero
constexpr double noUplinkLimit = 1e18;     // kB/s
constexpr double smoothingRate = 2;        // per second, of the delivered share that is reported
}  // namespace

LinkModel::LinkModel(const ControlSettings& settings, const LinkParameters& parameters, std::uint64_t seed)
    : settings_(settings), parameters_(parameters), random_(seed, linkPurpose) {
  for (int rack = 0; rack < std::max(1, settings.racks); ++rack) {
    uplinkFactor_[rack] = 1 + random_.between(-parameters.spread, parameters.spread);
    uplinkDivisor_[rack] = 1;
  }
  for (int title = 0; title < parameters.titles; ++title)
    titleFactor_[title] = 1 + random_.between(-titleSpread, titleSpread);
}

void LinkModel::addNode(NodeId node, int cell, Micros startedAt, bool coldStart) {
  Node& n = nodes_[node];
  n.cell = cell;
  n.startedAt = startedAt;
  n.coldStart = coldStart;
  n.factor = 1 + random_.between(-parameters_.spread, parameters_.spread) / 2;
}

void LinkModel::removeNode(NodeId node) {
  std::erase_if(streams_, [&](const auto& s) { return s.second.node == node; });
  nodes_.erase(node);
}

double LinkModel::warmth(NodeId node, Micros now) const {
  const Node& n = nodes_.at(node);
  const ControlSettings& settings = settings_;
  if (!n.coldStart) return 1;
  const double age = static_cast<double>(now - n.startedAt) / static_cast<double>(settings.coldTime);
  return settings.startCapacity + (1 - settings.startCapacity) * std::clamp(age, 0.0, 1.0);
}

StreamId LinkModel::startStream(NodeId node, int viewer, int roomType, int rung, int title,
                                bool earnsBenefit) {
  const auto it = titleFactor_.find(title);
  streams_[++lastStream_] = {node,        viewer, roomType, rung, it == titleFactor_.end() ? 1.0 : it->second,
                             earnsBenefit};
  ++nodes_[node].streams;
  return lastStream_;
}

void LinkModel::setRung(StreamId stream, int rung) {
  const auto it = streams_.find(stream);
  if (it == streams_.end() || it->second.rung == rung) return;
  const ControlSettings& settings = settings_;
  const RoomType& room = settings.roomTypes[static_cast<std::size_t>(it->second.roomType)];
  it->second.rung = rung;
  ++rungChanges_;
  if (it->second.earnsBenefit && earning_)
    earnedBenefit_[it->second.viewer] -= settings.switchSeconds * room.benefit;
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
  const double seconds = lastStepAt_ == 0 ? 0 : static_cast<double>(now - lastStepAt_) / 1e6;
  lastStepAt_ = now;
  const ControlSettings& settings = settings_;
  const int racks = std::max(1, settings.racks);
  std::map<NodeId, double> demandKb;
  std::map<int, double> rackDemandKb;
  for (const auto& [id, stream] : streams_) {
    const double kb = settings.ladderKb[static_cast<std::size_t>(stream.rung)] *
                      settings.roomTypes[static_cast<std::size_t>(stream.roomType)].rateFactor *
                      stream.factor;
    demandKb[stream.node] += kb;
    rackDemandKb[nodes_[stream.node].cell % racks] += kb;
  }
  std::map<NodeId, double> deliveredShare;
  for (auto& [id, node] : nodes_) {
    const int rack = node.cell % racks;
    const double link = parameters_.linkKb * node.factor * warmth(id, now) / node.divisor;
    const double uplink = settings.rackUplinkKb > 0
                              ? settings.rackUplinkKb * uplinkFactor_[rack] / uplinkDivisor_[rack]
                              : noUplinkLimit;
    NodeLoad load{demandKb[id] / link, rackDemandKb[rack] / uplink, 1};
    deliveredShare[id] = node.stalled ? 0 : std::min(1.0, 1 / std::max({minLoad, load.link, load.uplink}));
    // The reported share is smoothed over about a second.
    const double before = node.history.empty() ? 1 : node.history.back().second.delivered;
    load.delivered = before + (deliveredShare[id] - before) * std::min(1.0, seconds * smoothingRate);
    node.history.emplace_back(now, load);
    while (node.history.front().first < now - historyKept) node.history.pop_front();
  }
  for (const auto& [id, stream] : streams_) {
    playedSeconds_ += seconds;
    if (!stream.earnsBenefit || !earning_) continue;
    const RoomType& room = settings.roomTypes[static_cast<std::size_t>(stream.roomType)];
    const double missing = std::max(0.0, fullyDelivered - deliveredShare[stream.node]);
    const double rungValue = settings.rungBenefit[static_cast<std::size_t>(stream.rung)] *
                             std::max(0.0, 1 - missingCost * missing);
    earnedBenefit_[stream.viewer] += seconds * room.benefit * rungValue;
  }
}

NodeLoad LinkModel::load(NodeId node, Micros delay) const {
  const auto it = nodes_.find(node);
  if (it == nodes_.end() || it->second.history.empty()) return {};
  const auto& history = it->second.history;
  const Micros wantedTime = history.back().first - delay;
  for (auto p = history.rbegin(); p != history.rend(); ++p)
    if (p->first <= wantedTime) return p->second;
  return history.front().second;
}

}  // namespace lupinsill::model
