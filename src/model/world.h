// The links that media nodes share: racks, uplinks, equal cuts, warm-up, and the benefit that streams earn on
// them. Simulated in short steps on a clock that is handed in; nothing here is a measurement of a real
// machine. Whole microseconds, kB a second. Not to be moved while stand-ins hold it.
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
  double link = 0;       // asked over given
  double uplink = 0;     // of its rack
  double delivered = 1;  // share of the rates
};

// What a fleet's links are like, beside what the deployment's terms state.
struct LinkParameters {
  double linkKb = 0;  // the mean link of a warm node
  double spread = 0;  // of links and uplinks about their means
  int titles = 0;
};

class LinkModel {
 public:
  LinkModel(const ControlSettings& terms, const LinkParameters& plan, std::uint64_t seed);

  void addNode(NodeId node, int cell, Micros startedAt, bool coldStart);
  void removeNode(NodeId node);
  StreamId startStream(NodeId node, int viewer, int roomType, int rung, int title, bool earns);
  void setRung(StreamId stream, int rung);
  void stopStream(StreamId stream);
  void step(Micros now);
  void stopEarningBenefit() { earning_ = false; }  // the day is over; what plays goes on

  void cutLink(NodeId node, double times) { nodes_[node].cut = times; }
  void cutUplink(int rack, double times) { uplinkCut_[rack] = times; }
  void stall(NodeId node, bool on) { nodes_[node].stalled = on; }
  NodeLoad load(NodeId node, Micros late) const;
  std::size_t streams(NodeId node) const;
  double warmth(NodeId node, Micros now) const;

  const std::map<int, double>& earnedBenefit() const { return earned_; }
  double rungChanges() const { return rungSteps_; }
  double playedSeconds() const { return playedSeconds_; }

 private:
  struct Node {
    int cell = 0;
    Micros startedAt = 0;
    bool coldStart = false;
    double factor = 1;  // of its link, against the mean
    double cut = 1;
    bool stalled = false;
    std::deque<std::pair<Micros, NodeLoad>> past;
    std::size_t streams = 0;
  };
  struct Playing {
    NodeId node;
    int viewer;
    int roomType;
    int rung;
    double factor;  // of its title's rate
    bool earns;
  };
  ControlSettings terms_;
  LinkParameters plan_;
  RandomSource chance_;
  std::map<NodeId, Node> nodes_;
  std::map<StreamId, Playing> streams_;
  std::map<int, double> uplinkFactor_, uplinkCut_;
  std::map<int, double> titleFactor_;
  std::map<int, double> earned_;
  StreamId next_ = 0;
  Micros last_ = 0;
  bool earning_ = true;
  double rungSteps_ = 0;
  double playedSeconds_ = 0;
};

}  // namespace lupinsill::model
