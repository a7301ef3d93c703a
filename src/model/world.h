// Simulates the links that media nodes share: a link per node, an uplink per rack, equal reduction of all
// streams on a link that is overloaded, the warm-up of cold nodes, and the benefit that streams earn.
// Advances in short steps on a virtual clock that the caller passes in; the figures do not describe a real
// machine. Times are microseconds and rates kB/s. Must not be moved while simulated nodes point to it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "control.h"
#include "model/chance.h"

namespace lupinsill::model {

using StreamId = std::uint64_t;

struct NodeLoad {
  double link = 0;       // demand over capacity of the node's link
  double uplink = 0;     // demand over capacity of its rack's uplink
  double delivered = 1;  // share of the streams' rates, smoothed
};

// Properties of the links that the deployment's settings do not state.
struct LinkParameters {
  double linkKb = 0;  // kB/s, mean link of a warm node
  double spread = 0;  // largest deviation of links and uplinks, as a share of the mean
  int titles = 0;     // number of titles, whose rates differ
};

// The links of all nodes and the streams on them.
class LinkModel {
 public:
  LinkModel(const ControlSettings& settings, const LinkParameters& parameters, std::uint64_t seed);

  void addNode(NodeId node, int cell, Micros startedAt, bool coldStart);
  void removeNode(NodeId node);
  StreamId startStream(NodeId node, int viewer, int roomType, int rung, int title, bool earnsBenefit);
  void setRung(StreamId stream, int rung);
  void stopStream(StreamId stream);
  // Advances to `now`: updates the loads and adds the benefit earned since the last step.
  void step(Micros now);
  void stopEarningBenefit() { earning_ = false; }  // streams go on after the end of the day

  // Divides a capacity, as an injected fault; 1 ends it.
  void cutLink(NodeId node, double divisor) { nodes_[node].divisor = divisor; }
  void cutUplink(int rack, double divisor) { uplinkDivisor_[rack] = divisor; }
  void stall(NodeId node, bool stalled) { nodes_[node].stalled = stalled; }
  // The load of a node as it was `delay` before the last step.
  NodeLoad load(NodeId node, Micros delay) const;
  std::size_t streams(NodeId node) const;
  // Share of its full capacity that a node has: rises to 1 over the cold time after a cold start.
  double warmth(NodeId node, Micros now) const;

  // Benefit by viewer.
  const std::map<int, double>& earnedBenefit() const { return earnedBenefit_; }
  double rungChanges() const { return rungChanges_; }
  double playedSeconds() const { return playedSeconds_; }

 private:
  struct Node {
    int cell = 0;
    Micros startedAt = 0;
    bool coldStart = false;
    double factor = 1;  // of its link's capacity, relative to the mean
    double divisor = 1;
    bool stalled = false;  // delivers nothing
    std::deque<std::pair<Micros, NodeLoad>> history;
    std::size_t streams = 0;
  };
  struct ActiveStream {
    NodeId node;
    int viewer;
    int roomType;
    int rung;
    double factor;  // of its title's rate, relative to the mean
    bool earnsBenefit;
  };
  ControlSettings settings_;
  LinkParameters parameters_;
  RandomSource random_;
  std::map<NodeId, Node> nodes_;
  std::map<StreamId, ActiveStream> streams_;
  std::map<int, double> uplinkFactor_, uplinkDivisor_;
  std::map<int, double> titleFactor_;
  std::map<int, double> earnedBenefit_;
  StreamId lastStream_ = 0;
  Micros lastStepAt_ = 0;
  bool earning_ = true;
  double rungChanges_ = 0;
  double playedSeconds_ = 0;
};

}  // namespace lupinsill::model
