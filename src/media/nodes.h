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

struct NodesStatistics {
  std::uint64_t connects = 0, connectFailures = 0, connectionsLost = 0, parseErrors = 0, lateResponses = 0,
                sendBuffersFull = 0;
  std::size_t connections = 0;
};

class Nodes {
 public:
  struct Handler {
    virtual ~Handler() = default;
    // Asked as a join is about to be written; false: it is not, and has ended as moot.
    virtual bool mayWrite(session::JoinId join) = 0;
    virtual void joinStarted(session::JoinId join) = 0;
    virtual void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report,
                           bool finished) = 0;
    virtual void measured(session::JoinId join, MeasurementKind reading, double value) = 0;
    virtual void nodeDrains(NodeId node) = 0;
  };

  Nodes(event_base* base, Handler& handler, std::string director, const settings::NodeLimits& limits,
        net::Connect connect = net::connectTo);
  ~Nodes();

  void setUp(const session::SetUp& order, const fleet::NodeEndpoint& endpoint, const std::string& roomType);
  void change(const session::ChangeRung& order);
  void tearDown(session::JoinId join);
  void withdraw(session::JoinId join);
  void setLimits(const settings::NodeLimits& limits) { limits_ = limits; }
  void tick(Micros now);  // connect time-outs, idle connections, and frees what has died
  NodesStatistics statistics() const;

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
  Link& linkTo(const fleet::NodeEndpoint& endpoint);
  void write(JoinAt& join);
  void send(Link& link, const std::string& method, const JoinAt& join, const std::string& body);
  void lost(Link& link, bool connecting);
  void answered(Link& link, const Message& message);
  void asked(Link& link, const Message& message);
  void tell(session::JoinId join, const OrcaReport& orca);
  void finish(session::JoinId join);

  event_base* base_;
  Handler& handler_;
  std::string director_;
  settings::NodeLimits limits_;
  net::Connect connect_;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Link>> dead_;
  std::map<session::JoinId, JoinAt> joins_;
  NodesStatistics statistics_;
};

// What one title and rung are named on the wire; the stand-in nodes read it back.
std::string formatStreamUri(const std::string& address, const std::string& title, const std::string& roomType,
                            int rung);
std::string percentDecode(std::string_view text);  // of a URI's part, or of a header of ours
struct StreamUri {
  std::string title;
  std::string roomType;
  int rung = 0;
};
bool parseStreamUri(const std::string& uri, StreamUri& named);

}  // namespace lupinsill::media
