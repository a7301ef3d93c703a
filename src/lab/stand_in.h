// A stand-in media node: a real listener that speaks RTSP 2.0 as docs/design/director.md has it, sets up and
// plays in the lab's world, and can be made to fail. It records what reaches it. One process holds them all.
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

struct Faults {
  bool hang = false;         // reads, answers nothing, delivers nothing
  bool loseAnswers = false;  // sets up and plays, tells nobody
  double failShare = 0;      // share of set-ups that fail at once
  double slowShare = 0;      // share of set-ups that take twenty times as long
  bool draining = false;     // answers 503, and has told its directors by REDIRECT
};

// What stand-ins share.
struct LabContext {
  event_base* base = nullptr;
  const Day* day = nullptr;
  model::World* world = nullptr;
  audit::Record* record = nullptr;
  Micros dayStart = 0;          // the day's start on the monotonic clock
  Micros extraReportDelay = 0;  // notes and reports, while they come late
  std::function<Micros(const std::string& viewer)> remainingLength;
  std::function<bool(const std::string& viewer, int roomType)>
      metJoinObjective;  // its join met the objective
  Micros now() const { return net::monotonicNow() - dayStart; }
};

class StandIn {
 public:
  StandIn(LabContext& context, NodeId node, int cell, std::string zone, bool coldStart, std::uint64_t seed);
  ~StandIn();

  void tick();  // every few milliseconds
  void kill();  // closes everything at once; it takes no more part
  void drain();
  bool dead() const { return dead_; }
  bool overloaded() const { return overloaded_; }
  int port() const { return port_; }

  const NodeId node;
  const int cell;
  const std::string zone;
  const Micros startedWall;  // UTC
  const bool coldStart;
  Faults faults;

 private:
  struct Connection;
  struct Session {
    std::size_t seen = 0;  // in the record
    Connection* connection = nullptr;
    std::string pipelined;
    std::string id;
    std::string viewer;
    int title = 0;
    int roomType = 0;
    int rung = 0;
    long long setUpCseq = 0, playCseq = -1;
    Micros streamStartsAt = 0;
    Micros endsAt = 0;
    bool started = false;
    bool ended = false;
    model::Stream stream = 0;
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
  model::Chance chance_;
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
