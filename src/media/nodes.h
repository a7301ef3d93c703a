// The director's side towards media nodes: RTSP 2.0 over one kept connection a node, joins pipelined on it.
// It translates orders to messages and what comes back to outcomes; it decides nothing.
//
// A join counts as written from the moment its bytes are handed to a connected socket: from then on it may
// run. Outcomes are told once a join, and never for one that was torn down. docs/design/director.md has the
// table. Owned by the director; not to be moved.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/membership.h"
#include "media/rtsp.h"
#include "net/handles.h"
#include "session/front.h"
#include "settings/deployment.h"

namespace lupinsill::media {

struct NodesFigures {
  std::uint64_t connects = 0, connectsFailed = 0, lost = 0, badBytes = 0, lateAnswers = 0, stuck = 0;
  std::size_t connections = 0;
};

class Nodes {
 public:
  struct Ear {
    virtual ~Ear() = default;
    // Asked as a join is about to be written; false: it is not, and has ended as moot.
    virtual bool leaves(session::JoinKey join) = 0;
    virtual void began(session::JoinKey join) = 0;
    virtual void ended(session::JoinKey join, Outcome outcome, const LoadReport& report, bool finished) = 0;
    virtual void noted(session::JoinKey join, Reading reading, double value) = 0;
    virtual void drains(NodeId node) = 0;
  };

  Nodes(event_base* base, Ear& ear, std::string director, const settings::NodeLimits& limits,
        net::Connect connect = net::connectTo);
  ~Nodes();

  void setUp(const session::SetUp& order, const fleet::Box& box, const std::string& roomType);
  void change(const session::ChangeRung& order);
  void tearDown(session::JoinKey join);
  void withdraw(session::JoinKey join);
  void setLimits(const settings::NodeLimits& limits) { limits_ = limits; }
  void tick(Micros now);  // connect time-outs, idle connections, and frees what has died
  NodesFigures figures() const;

 private:
  struct Link;
  struct JoinAt {
    session::SetUp order;
    Link* link = nullptr;
    std::string uri;
    std::string roomType;
    std::string session;  // the node's name for it, once told
    bool written = false;
    bool began = false;
  };
  Link& linkTo(const fleet::Box& box);
  void write(JoinAt& join);
  void send(Link& link, const std::string& method, const JoinAt& join, const std::string& body);
  void lost(Link& link, bool connecting);
  void answered(Link& link, const Message& message);
  void asked(Link& link, const Message& message);
  void tell(session::JoinKey join, const Orca& orca);
  void finish(session::JoinKey join);

  event_base* base_;
  Ear& ear_;
  std::string director_;
  settings::NodeLimits limits_;
  net::Connect connect_;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Link>> dead_;
  std::map<session::JoinKey, JoinAt> joins_;
  NodesFigures figures_;
};

// What one title and rung are named on the wire; the stand-in nodes read it back.
std::string uriOf(const std::string& address, const std::string& title, const std::string& roomType,
                  int rung);
std::string unescaped(std::string_view text);  // of a URI's part, or of a header of ours
struct Named {
  std::string title;
  std::string roomType;
  int rung = 0;
};
bool readUri(const std::string& uri, Named& named);

}  // namespace lupinsill::media
