// A stub media node: a test double that listens on a real socket, speaks RTSP 2.0 as media nodes do
// (docs/design/director.md), plays streams in the simulated link model (model/world.h), and can be made to
// fail. It records the requests that reach it. All nodes run in the lab's process, on one event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "audit/record.h"
#include "lab/day.h"
#include "media/rtsp.h"
#include "model/world.h"
#include "net/handles.h"

namespace lupinsill::lab {

// The faults that a node currently shows.
struct Faults {
  bool hang = false;         // reads requests, but answers and delivers nothing
  bool loseAnswers = false;  // sets up and plays streams, but sends no answers
  double failShare = 0;      // of set-ups that fail at once with status 500
  double slowShare = 0;      // of set-ups that take slowSetUpFactor times as long
  bool draining = false;     // answers 503 and has announced it to the directors by REDIRECT
};

// State that the nodes and the scripted players of one run share.
struct LabContext {
  event_base* base = nullptr;
  const Day* day = nullptr;
  model::LinkModel* world = nullptr;
  audit::Record* record = nullptr;
  Micros dayStart = 0;          // start of the day on the monotonic clock
  Micros extraReportDelay = 0;  // additional age of reported load while reports are late
  // How long the viewer's stream is still to play.
  std::function<Micros(const std::string& viewer)> remainingLength;
  // Whether a join that completes now is within the join objective.
  std::function<bool(const std::string& viewer, int roomType)> metJoinObjective;
  // Time since the start of the day.
  Micros now() const { return net::monotonicNow() - dayStart; }
};

// One stub media node.
class StandIn {
 public:
  StandIn(LabContext& context, NodeId node, int cell, std::string zone, bool coldStart, std::uint64_t seed);
  ~StandIn();

  // Advances set-ups and streams and sends due measurements; call it every few milliseconds.
  void tick();
  // Closes the listener and all connections at once. The node stays dead.
  void kill();
  // Refuses set-ups from now on and sends REDIRECT on every connection.
  void drain();
  bool dead() const { return dead_; }
  // Whether the node died because more set-ups arrived than it could handle while cold.
  bool overloaded() const { return overloaded_; }
  int port() const { return port_; }

  const NodeId node;
  const int cell;
  const std::string zone;
  const Micros startedWall;  // UTC, wall clock
  const bool coldStart;
  Faults faults;

 private:
  struct Connection;
  struct Session {
    std::size_t recordIndex = 0;  // of its entry in the record's set-ups
    Connection* connection = nullptr;
    std::string pipelined;  // value of Pipelined-Requests, which names the session before it has an id
    std::string id;
    std::string viewer;
    int title = 0;
    int roomType = 0;
    int rung = 0;
    long long setUpCseq = 0, playCseq = -1;
    Micros streamStartsAt = 0;  // 0: set-up not begun
    Micros endsAt = 0;          // end of the stream
    bool started = false;
    bool ended = false;
    model::StreamId stream = 0;
  };
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me);
  static void onRead(bufferevent*, void* me);
  static void onEvent(bufferevent*, short what, void* me);
  void receive(Connection& connection, const media::Message& message);
  void process(Connection& connection, const media::Message& message);
  void setUp(Connection& connection, const media::Message& message);
  void startSetUp(Session& session);
  void startStream(Session& session);
  void end(Session& session);
  void drop(Connection& connection);
  Session* find(const Connection& connection, const media::Message& message);
  void answer(Connection& connection, int status, long long cseq, const std::string& session, bool load);
  void notify(Session& session, const char* reason, const LoadReport& report,
              std::optional<double> delivered);
  void sendMeasurements(Micros now);
  bool exceedsColdCapacity(Micros now);
  LoadReport report(Micros late) const;

  LabContext& context_;
  model::RandomSource chance_;
  net::Listener listener_;
  int port_ = 0;
  bool dead_ = false;
  bool overloaded_ = false;
  Micros startedAt_ = 0;
  Micros measuredAt_ = 0, reportedAt_ = 0;
  bool wasUnderDelivering_ = false;
  std::uint64_t nextSession_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::vector<Micros> recentSetUps_;
};

}  // namespace lupinsill::lab
