// The media nodes' side of the operators' protocol: executes the front's commands on a pool of connections to
// each node and reports how joins end. Placing is decided elsewhere.
//
// An unparsable line costs a connection and every pending join on it. Each pending join therefore has a
// connection of its own while the connection limit allows it; established subscriptions share connections.
// A join counts as written once its bytes have been passed to the operating system. A subscription that may
// play at a node without a viewer is released there, also if the node can be reached only later.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/liveness_check.h"
#include "fleet/membership.h"
#include "net/handles.h"
#include "platform/message_stream.h"
#include "platform/viewers.h"
#include "session/front.h"

namespace lupinsill::platform {

// Connections and joins of all media nodes. Owned by the director; must stay at one address, since its
// connections refer to it.
class Nodes {
 public:
  // Receives the events of joins.
  struct Handler {
    virtual ~Handler() = default;
    // Called right before a join is written. If it returns false, the join is not written and ends with
    // Outcome::notSent.
    virtual bool mayWrite(session::JoinId join) = 0;
    // The node accepted the call; `description` is its answer to the viewer.
    virtual void joinStarted(session::JoinId join, const std::string& description) = 0;
    // A join failed or its subscription ended. `finished`: it had started and ended normally.
    virtual void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report,
                           bool finished) = 0;
    // The node reported a measurement of an established subscription.
    virtual void measured(session::JoinId join, MeasurementKind kind, double value) = 0;
    // Whether viewers may still report subscriptions that played before this process started.
    virtual bool acceptsAdoptions() = 0;
  };
  struct Limits {
    std::size_t maxConnections = 0;  // to all nodes together
    Micros connectTimeout = 0;       // after which a connection that is not up counts as failed
  };
  // Counters since start, and current sizes.
  struct Statistics {
    std::uint64_t connects = 0, connectsFailed = 0, connectionsLost = 0, invalidMessages = 0,
                  ignoredMessages = 0, releasedOrphans = 0, nodesLost = 0, staleConnections = 0,
                  earlyReleases = 0, earlyReleasesMatched = 0;
    std::size_t connections = 0, joins = 0, nodes = 0;
  };

  Nodes(event_base* base, Handler& handler, Limits limits);
  ~Nodes();

  // Starts a join: offers the call to the node.
  void setUp(const session::SetUp& command, const fleet::NodeEndpoint& endpoint, const Call& call);
  // Takes over a subscription that was playing at the node before this process started. If it is known to
  // have ended, joinEnded is called at once.
  void adopt(session::JoinId join, const fleet::NodeEndpoint& endpoint, const Call& call);
  // Tells the node, or if the offer is not written yet, offers the new rung.
  void changeRung(const session::ChangeRung& command);
  // Ends a join or subscription at its node, without reporting joinEnded.
  void tearDown(session::JoinId join);
  // Ends a join with Outcome::notSent if it has not been written yet.
  void withdraw(session::JoinId join);
  // Call after each change of the node list. Ends subscriptions at nodes that restarted or whose address now
  // belongs to another node.
  void listUpdated(const fleet::Membership& membership, Micros now);
  // Call after each turn. Writes the joins whose connection has come up.
  void writeWaiting();
  // Call regularly: connect timeouts, health checks of nodes with subscriptions, and freeing of connections.
  void tick(Micros now);
  // Whether all messages that can be delivered have been passed to the operating system. Messages queued for
  // a node to which no connection comes up do not count.
  bool allSent() const;
  Statistics statistics() const;

 private:
  struct Node;
  struct NodeConnection;
  struct Join;
  Node& nodeOf(const fleet::NodeEndpoint& endpoint);
  NodeConnection* openConnection(Node& node);
  NodeConnection* chooseConnection(Node& node);
  bool evictIdleConnection(const Node& requester);
  void closeSpareConnection(const NodeConnection& probe);
  void assignConnection(Join& join);
  void writeOffer(Join& join, NodeConnection& connection);
  void discardStale(NodeConnection& connection);
  bool sendOnConnection(Node& node, const jsonl::Message& message, NodeConnection* preferred);
  void queueMessage(Node& node, const jsonl::Message& message);
  void sendToNode(Node& node, const jsonl::Message& message, NodeConnection* preferred = nullptr);
  void handleConnected(NodeConnection& connection);
  void handleMessage(NodeConnection& connection, jsonl::Message& message);
  std::optional<Outcome> takeEarlyRelease(Node& node, const std::string& call);
  void handleUnknownCall(Node& node, const jsonl::Message& message);
  void handleAccept(NodeConnection& connection, Join& join, const jsonl::Message& message);
  void handleRelease(NodeConnection& connection, Join& join, const jsonl::Message& message);
  void handleRefusal(NodeConnection& connection, Join& join, const jsonl::Message& message);
  void handleMeasurement(const Join& join, const jsonl::Message& message);
  void handleClosed(NodeConnection& connection, MessageStream::CloseReason reason);
  void handleConnectFailed(NodeConnection& connection, bool refused);
  Micros connectTimeoutOf(const NodeConnection& connection) const;
  void removeConnection(NodeConnection& connection);
  void removeIfDrained(NodeConnection& connection);
  void recordConnectionLost(Node& node);
  void releaseOrphan(Node& node, const std::string& call);
  void releaseAtUnreachable(Node& node, const std::string& call);
  void removeJoin(Join& join);
  // What has become of the subscriptions at a node.
  enum class RemoteState {
    ended,      // with the process of the node
    mayPlayOn,  // the node cannot be reached
  };
  void resetEstablished(Node& node, Micros before, RemoteState remoteState);
  void checkLiveness(Node& node, Micros now);
  Join* findJoin(session::JoinId id);

  event_base* base_;
  Handler& handler_;
  Limits limits_;
  const Micros startedAt_;  // when this process started
  std::map<NodeId, std::unique_ptr<Node>> nodes_;
  std::map<session::JoinId, std::unique_ptr<Join>> joins_;
  std::size_t connectionCount_ = 0;                                 // to all nodes
  bool connectionCameUp_ = false;                                   // since the last writeWaiting()
  std::vector<std::unique_ptr<NodeConnection>> closedConnections_;  // freed in the next tick
  Statistics statistics_;
};

// Parses the `load` field of a message; returns an empty report if it is malformed.
LoadReport parseLoadReport(const std::string& text);

}  // namespace lupinsill::platform
