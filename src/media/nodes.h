// RTSP 2.0 client of the director towards media nodes: one persistent connection per node, with the requests
// of all joins pipelined on it. Translates session commands to requests, and responses and notifications to
// join outcomes. Makes no placement decisions.
//
// A join counts as written once its requests are in the output buffer of an established connection: from then
// on the node may run it. Each join ends with exactly one call of Handler::joinEnded, except joins ended by
// tearDown(), which are not reported.
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

// Counters since the start of the process, except where noted.
struct NodesStatistics {
  std::uint64_t connects = 0;         // connection attempts
  std::uint64_t connectFailures = 0;  // attempts that failed or timed out
  std::uint64_t connectionsLost = 0;  // established connections closed by either side
  std::uint64_t parseErrors = 0;      // connections closed because of bytes that are not RTSP
  std::uint64_t lateResponses = 0;    // responses to SETUP or PLAY of joins that had ended
  std::uint64_t sendBuffersFull = 0;  // joins not sent because the node's output buffer was over its limit
  std::size_t connections = 0;        // open connections and connection attempts now
};

// Connections to all media nodes and the joins on them. Single-threaded, on the event loop of `base`.
// Connections point back to this object, so it must not be moved.
class Nodes {
 public:
  // Receives the events of joins. Calls are made from within the methods of Nodes and from the event loop.
  struct Handler {
    virtual ~Handler() = default;
    // Called just before a join is written. If it returns false, the join ends with Outcome::notSent.
    virtual bool mayWrite(session::JoinId join) = 0;
    // The node at `address` (host:port) accepted PLAY.
    virtual void joinStarted(session::JoinId join, const std::string& address) = 0;
    // `report` is the load report that came with the last response, empty if there was none. `finished` is
    // true if the node reported the end of the stream.
    virtual void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report,
                           bool finished) = 0;
    // A value of a load report that arrived with a response or notification of this join.
    virtual void measured(session::JoinId join, MeasurementKind kind, double value) = 0;
    // The node asked for all its sessions to be moved away.
    virtual void nodeDrains(NodeId node) = 0;
  };

  // `director` is sent as the user agent and is part of the subscription names sent to nodes. `connect` makes
  // connections, plain or under TLS.
  Nodes(event_base* base, Handler& handler, std::string director, const settings::NodeLimits& limits,
        net::Connect connect = net::connectTo);
  ~Nodes();

  // Starts a join on the node at `endpoint`, connecting to it first if there is no connection. `roomType` is
  // the name of the command's room type.
  void setUp(const session::SetUp& command, const fleet::NodeEndpoint& endpoint, const std::string& roomType);
  // Changes the rung of a join, whether or not it has been written. Unknown joins are ignored.
  void change(const session::ChangeRung& command);
  // Ends a join without calling Handler::joinEnded; sends TEARDOWN if the join was written.
  void tearDown(session::JoinId joinId);
  // Ends a join with Outcome::notSent if it has not been written yet; otherwise does nothing.
  void withdraw(session::JoinId joinId);
  // Applies from now on, also to open connections.
  void setLimits(const settings::NodeLimits& limits) { limits_ = limits; }
  // To be called periodically: enforces the connect timeout, closes idle connections and frees closed ones.
  void tick(Micros now);
  NodesStatistics statistics() const;

 private:
  struct Connection;
  struct JoinState {
    session::SetUp command;
    Connection* connection = nullptr;
    std::string uri;
    std::string roomType;
    std::string sessionId;  // assigned by the node; empty until SETUP is answered
    bool written = false;
    bool started = false;
  };
  // The connection to the endpoint's node, opened if needed. It may already be closed if connecting failed.
  Connection& connectionTo(const fleet::NodeEndpoint& endpoint);
  void writeJoin(JoinState& join);
  void sendRequest(Connection& connection, const std::string& method, const JoinState& join,
                   const std::string& body);
  // Closes a connection and ends its joins. `connecting`: whether it had not been established.
  void closeConnection(Connection& connection, bool connecting);
  void handleResponse(Connection& connection, const Message& message);
  void handleRequest(Connection& connection, const Message& message);
  void reportMeasurements(session::JoinId joinId, const OrcaReport& orca);
  void removeJoin(session::JoinId joinId);

  event_base* base_;
  Handler& handler_;
  std::string director_;
  settings::NodeLimits limits_;
  net::Connect connect_;
  std::map<NodeId, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closedConnections_;  // freed by tick(), after their callbacks
  std::map<session::JoinId, JoinState> joins_;
  NodesStatistics statistics_;
};

// The RTSP URI of a title at a rung for a room type, with title and room type percent-encoded.
// `address` is host:port.
std::string formatStreamUri(const std::string& address, const std::string& title, const std::string& roomType,
                            int rung);
// Decodes a percent-encoded part of a URI or value of a Lupinsill-* header.
std::string percentDecode(std::string_view text);
// The parts of a URI made by formatStreamUri.
struct StreamUri {
  std::string title;
  std::string roomType;
  int rung = 0;
};
// Returns false, with `parsed` unchanged, if the URI does not have the form of formatStreamUri.
bool parseStreamUri(const std::string& uri, StreamUri& parsed);

}  // namespace lupinsill::media
