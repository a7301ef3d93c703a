#include "platform/nodes.h"

#include <algorithm>
#include <utility>

#include "session/early_releases.h"

namespace lupinsill::platform {

using jsonl::Message;
using jsonl::Op;
namespace reason_code = jsonl::reason_code;

namespace {

constexpr std::size_t maxQueuedMessages = 10'000;  // per node, while none of its connections is up

// The message that ends a call at its node.
Message makeRelease(const std::string& call) {
  Message message;
  message.op = Op::end;
  message.call = call;
  message.reasonCode = reason_code::finished;
  return message;
}

// Tells the node that the release of a call was received.
Message makeReleaseReceived(const std::string& call) {
  Message message;
  message.op = Op::ended;
  message.call = call;
  return message;
}

// How a subscription that played has ended, by the reason code of its release.
Outcome outcomeOfRelease(int reasonCode) {
  if (reasonCode == reason_code::finished) return Outcome::ok;
  if (reasonCode == reason_code::cancelled) return Outcome::cancelled;
  return Outcome::reset;
}

// How a join that had not started has ended, by the reason code of its rejection.
Outcome outcomeOfRefusal(int reasonCode) {
  if (reasonCode == reason_code::noCapacity) return Outcome::full;
  if (reasonCode == reason_code::nodeError) return Outcome::error;
  if (reasonCode == reason_code::notSent) return Outcome::notSent;
  return Outcome::reset;
}

// Returns the load report of a message, or an empty one.
LoadReport loadReportOf(const Message& message) {
  const std::string* load = message.find("load");
  return load == nullptr ? LoadReport{} : parseLoadReport(*load);
}

}  // namespace

struct Nodes::NodeConnection final : MessageStream::Handler {
  NodeConnection(Nodes& nodes, Node& nodeState, net::BufferEvent bufferEvent, std::string name)
      : owner(nodes),
        node(nodeState),
        openedAt(net::unixNow()),
        lastActivity(openedAt),
        stream(*this, std::move(bufferEvent), false, std::move(name)) {}
  void onConnected(MessageStream&) override { owner.handleConnected(*this); }
  void onMessage(MessageStream&, Message& message) override { owner.handleMessage(*this, message); }
  void onClosed(MessageStream&, MessageStream::CloseReason reason) override {
    owner.handleClosed(*this, reason);
  }
  Nodes& owner;
  Node& node;
  const Micros openedAt;               // when connecting began
  Micros lastActivity;                 // when connecting began, later when it was last used
  bool draining = false;               // takes no new offers; closed once no answer is pending
  std::vector<Join*> awaitingConnect;  // not written yet: the connection is not up
  std::vector<Join*> pending;          // written and not answered
  std::vector<Join*> established;      // accepted here and still playing
  MessageStream stream;
};

struct Nodes::Node {
  Node(const fleet::NodeEndpoint& nodeEndpoint, Micros now) : endpoint(nodeEndpoint), liveness(now) {}
  // Whether a join refers to this node, be it written or waiting for a connection.
  bool hasJoins() const {
    return !joins.empty() || std::any_of(connections.begin(), connections.end(), [](const auto& connection) {
      return !connection->awaitingConnect.empty();
    });
  }
  fleet::NodeEndpoint endpoint;
  fleet::LivenessCheck liveness;
  bool removed = false;                                      // from the node list
  std::vector<std::unique_ptr<NodeConnection>> connections;  // newest last
  std::map<std::string, Join*> joins;                        // that were written, by call ID
  std::vector<Message> queuedMessages;                       // sent on the next connection that comes up
  session::EarlyReleases earlyReleases;                      // empty once adoptions are no longer accepted
};

struct Nodes::Join {
  session::SetUp command;
  Call call;
  Node* node = nullptr;
  NodeConnection* connection = nullptr;
  bool written = false;  // the offer may have reached the node
  bool started = false;  // the node accepted it
  Micros startedAt = 0;
};

Nodes::Nodes(event_base* base, Handler& handler, Limits limits)
    : base_(base), handler_(handler), limits_(limits), startedAt_(net::unixNow()) {}
Nodes::~Nodes() = default;

Nodes::Join* Nodes::findJoin(session::JoinId id) {
  const auto it = joins_.find(id);
  return it == joins_.end() ? nullptr : it->second.get();
}

Nodes::Node& Nodes::nodeOf(const fleet::NodeEndpoint& endpoint) {
  auto& slot = nodes_[endpoint.node];
  if (!slot) slot = std::make_unique<Node>(endpoint, net::unixNow());
  slot->endpoint = endpoint;
  return *slot;
}

// ---- connections ----

// Closes the least recently used connection without waiting or pending joins. A node with subscriptions keeps
// one connection, on which it can report their ends.
bool Nodes::evictIdleConnection(const Node& requester) {
  NodeConnection* oldest = nullptr;
  for (auto& [id, node] : nodes_) {
    if (node.get() == &requester) continue;
    const std::size_t keep = node->joins.empty() ? 0 : 1;
    if (node->connections.size() <= keep) continue;
    for (const auto& connection : node->connections)
      if (connection->awaitingConnect.empty() && connection->pending.empty() &&
          (oldest == nullptr || connection->lastActivity < oldest->lastActivity))
        oldest = connection.get();
  }
  if (oldest == nullptr) return false;
  removeConnection(*oldest);
  return true;
}

Nodes::NodeConnection* Nodes::openConnection(Node& node) {
  if (connectionCount_ >= limits_.maxConnections && !evictIdleConnection(node)) return nullptr;
  ++statistics_.connects;
  net::BufferEvent bufferEvent = net::connectTo(base_, node.endpoint.host, node.endpoint.port);
  if (!bufferEvent) return nullptr;
  ++connectionCount_;
  node.liveness.recordConnectAttempt(net::unixNow());
  node.connections.push_back(std::make_unique<NodeConnection>(
      *this, node, std::move(bufferEvent),
      "node-" + std::to_string(node.endpoint.node) + "/" + std::to_string(statistics_.connects)));
  return node.connections.back().get();
}

// Returns the most recently used idle connection; without one, a new connection; when the connection limit
// forbids that, the least loaded one.
Nodes::NodeConnection* Nodes::chooseConnection(Node& node) {
  NodeConnection* idle = nullptr;
  NodeConnection* leastLoaded = nullptr;
  const auto load = [](const NodeConnection& connection) {
    return connection.pending.size() + connection.awaitingConnect.size();
  };
  for (const auto& connection : node.connections) {
    if (connection->draining || connection->stream.isClosed()) continue;
    if (connection->stream.isConnected() && load(*connection) == 0 &&
        (idle == nullptr || connection->lastActivity > idle->lastActivity))
      idle = connection.get();
    if (leastLoaded == nullptr || load(*connection) < load(*leastLoaded)) leastLoaded = connection.get();
  }
  if (idle != nullptr) return idle;
  if (NodeConnection* opened = openConnection(node)) return opened;
  return leastLoaded;
}

void Nodes::handleConnected(NodeConnection& connection) {
  connection.lastActivity = net::unixNow();
  connection.node.liveness.recordConnected(net::unixNow(), connection.openedAt);
  for (const Message& message : std::exchange(connection.node.queuedMessages, {}))
    connection.stream.send(message);
  connectionCameUp_ = true;
  if (connection.awaitingConnect.empty()) closeSpareConnection(connection);
}

// A probe has come up: closes the previous one unless it has come into use, so that probes do not add up. The
// node may send what concerns its subscriptions on any connection, so one besides the probe stays open.
void Nodes::closeSpareConnection(const NodeConnection& probe) {
  NodeConnection* spare = nullptr;
  int otherConnections = 0;
  for (const auto& connection : probe.node.connections) {
    if (connection.get() == &probe || !connection->stream.isConnected()) continue;
    ++otherConnections;
    if (connection->awaitingConnect.empty() && connection->pending.empty() &&
        connection->established.empty() && !connection->stream.hasUnsentBytes())
      spare = connection.get();
  }
  if (spare != nullptr && otherConnections > 1) removeConnection(*spare);
}

// A viewer's leave may be read in the same pass of the event loop in which the connection came up. Waiting
// joins are therefore written only after the turn has processed everything that was read.
void Nodes::writeWaiting() {
  if (!std::exchange(connectionCameUp_, false)) return;
  std::vector<NodeConnection*> ready;
  for (auto& [id, node] : nodes_)
    for (const auto& connection : node->connections)
      if (connection->stream.isConnected() && !connection->awaitingConnect.empty())
        ready.push_back(connection.get());
  // A connection that closes in this loop stays allocated until the next tick, and its waiting joins have
  // been reassigned by then.
  for (NodeConnection* connection : ready)
    while (!connection->awaitingConnect.empty() && connection->stream.isConnected()) {
      Join& join = *connection->awaitingConnect.front();
      connection->awaitingConnect.erase(connection->awaitingConnect.begin());
      join.connection = nullptr;
      if (connection->stream.isUsable()) {
        writeOffer(join, *connection);
      } else {
        discardStale(*connection);
        assignConnection(join);
      }
    }
}

// The node sends the release of a subscription on the connection of its set-up or, if that is closed, on any
// other, and then on the next one that it accepts. A subscription that was released on a lost connection may
// not have been reported yet.
void Nodes::recordConnectionLost(Node& node) {
  const bool hasSubscriptions = std::any_of(node.joins.begin(), node.joins.end(),
                                            [](const auto& entry) { return entry.second->started; });
  if (hasSubscriptions || handler_.acceptsAdoptions()) node.liveness.recordConnectionLost(net::unixNow());
}

// Closes a connection that takes no new offers once no answer is pending on it. Until then the node may have
// sent releases on it that did not arrive.
void Nodes::removeIfDrained(NodeConnection& connection) {
  if (!connection.draining || !connection.pending.empty()) return;
  recordConnectionLost(connection.node);
  removeConnection(connection);
}

// Removes the connection from its node at once. The object is freed in the next tick, since one of its
// callbacks may still be running.
void Nodes::removeConnection(NodeConnection& connection) {
  connection.stream.close();
  for (Join* join : std::exchange(connection.established, {})) join->connection = nullptr;
  auto& connections = connection.node.connections;
  const auto it = std::find_if(connections.begin(), connections.end(),
                               [&](const auto& other) { return other.get() == &connection; });
  if (it == connections.end()) return;
  closedConnections_.push_back(std::move(*it));
  connections.erase(it);
  --connectionCount_;
}

void Nodes::handleClosed(NodeConnection& connection, MessageStream::CloseReason reason) {
  if (reason == MessageStream::CloseReason::invalidMessage) ++statistics_.invalidMessages;
  if (reason == MessageStream::CloseReason::refused || reason == MessageStream::CloseReason::connectFailed)
    return handleConnectFailed(connection, reason == MessageStream::CloseReason::refused);
  ++statistics_.connectionsLost;
  Node& node = connection.node;
  const auto awaitingConnect = std::exchange(connection.awaitingConnect, {});
  const auto pending = std::exchange(connection.pending, {});
  removeConnection(connection);
  // Without pending joins, an orderly close comes after everything that the node has sent.
  if (reason != MessageStream::CloseReason::closedByPeer || !pending.empty()) recordConnectionLost(node);
  for (Join* join : pending) {
    const session::JoinId id = join->command.join;
    // The node may have accepted the offer; the subscription would then play there without a viewer.
    const std::string call = join->call.id;
    removeJoin(*join);
    releaseOrphan(node, call);
    handler_.joinEnded(id, Outcome::reset, {}, false);
  }
  for (Join* join : awaitingConnect) assignConnection(*join);
}

// The connection never came up, so no join that waited for it was written.
void Nodes::handleConnectFailed(NodeConnection& connection, bool refused) {
  ++statistics_.connectsFailed;
  Node& node = connection.node;
  const auto awaitingConnect = std::exchange(connection.awaitingConnect, {});
  removeConnection(connection);
  if (refused) node.liveness.recordRefusal();
  for (Join* join : awaitingConnect) {
    const session::JoinId id = join->command.join;
    removeJoin(*join);
    handler_.joinEnded(id, Outcome::connectFailed, {}, false);
  }
}

// Sends on the preferred connection, or else on any other that is up. Returns false if there is none.
bool Nodes::sendOnConnection(Node& node, const Message& message, NodeConnection* preferred) {
  if (preferred != nullptr && preferred->stream.send(message)) return true;
  for (auto it = node.connections.rbegin(); it != node.connections.rend(); ++it)
    if ((*it)->stream.isConnected() && (*it)->stream.send(message)) return true;
  return false;
}

// The message is sent on the next connection that comes up.
void Nodes::queueMessage(Node& node, const Message& message) {
  if (node.queuedMessages.size() < maxQueuedMessages) node.queuedMessages.push_back(message);
}

// Sends on a connection that is up. If there is none, queues the message and opens a connection if none is
// connecting.
void Nodes::sendToNode(Node& node, const Message& message, NodeConnection* preferred) {
  if (sendOnConnection(node, message, preferred)) return;
  queueMessage(node, message);
  if (std::none_of(node.connections.begin(), node.connections.end(), [](const auto& connection) {
        return !connection->stream.isConnected() && !connection->stream.isClosed();
      }))
    openConnection(node);
}

// Tells the node to end a call that may play there without a viewer.
void Nodes::releaseOrphan(Node& node, const std::string& call) {
  ++statistics_.releasedOrphans;
  sendToNode(node, makeRelease(call));
}

// As releaseOrphan(), for a node that is silent: a connection that is up carries the message only if it
// survives, so the message is sent on the next one as well. A node ignores the end of a call it does not
// hold.
void Nodes::releaseAtUnreachable(Node& node, const std::string& call) {
  ++statistics_.releasedOrphans;
  const Message message = makeRelease(call);
  sendOnConnection(node, message, nullptr);
  queueMessage(node, message);
}

// ---- commands ----

void Nodes::setUp(const session::SetUp& command, const fleet::NodeEndpoint& endpoint, const Call& call) {
  Node& node = nodeOf(endpoint);
  auto newJoin = std::make_unique<Join>();
  Join& join = *newJoin;
  join.command = command;
  join.call = call;
  join.node = &node;
  joins_[command.join] = std::move(newJoin);
  assignConnection(join);
}

// Writes the join on a connection of its node, or lets it wait for one to come up.
void Nodes::assignConnection(Join& join) {
  Node& node = *join.node;
  // A pooled connection may turn out to be closed by the node. Nothing was written on it yet, so another one
  // can be tried without counting this as a failed join.
  while (true) {
    NodeConnection* connection = chooseConnection(node);
    if (connection == nullptr) {
      const session::JoinId id = join.command.join;
      removeJoin(join);
      return handler_.joinEnded(id, Outcome::connectFailed, {}, false);
    }
    if (!connection->stream.isConnected()) {
      connection->awaitingConnect.push_back(&join);
      join.connection = connection;
      return;
    }
    if (connection->stream.isUsable()) return writeOffer(join, *connection);
    discardStale(*connection);
  }
}

// Takes a connection out of use that the node has closed. Joins pending on it learn of the close from the
// event loop, after any answers that arrived before it.
void Nodes::discardStale(NodeConnection& connection) {
  ++statistics_.staleConnections;
  connection.draining = true;
  if (connection.awaitingConnect.empty()) removeIfDrained(connection);
}

// Offers the call to the node. A join that fails here or may not be written ends at once.
void Nodes::writeOffer(Join& join, NodeConnection& connection) {
  const session::JoinId id = join.command.join;
  Node& node = *join.node;
  if (!handler_.mayWrite(id)) {
    removeJoin(join);
    return handler_.joinEnded(id, Outcome::notSent, {}, false);
  }
  // The end of an earlier join of this call may still be queued for this node; it would end the new join.
  std::erase_if(node.queuedMessages, [&](const Message& message) { return message.call == join.call.id; });
  Message message;
  message.op = Op::offer;
  message.call = join.call.id;
  message.fields["class"] = join.call.room;
  message.fields["key"] = join.call.title;
  message.fields["left"] = std::to_string(std::max<Micros>(1, (join.command.until - net::unixNow()) / 1000));
  message.fields["rung"] = std::to_string(join.command.rung);
  message.description = join.call.description;
  if (!connection.stream.send(message)) {
    removeJoin(join);
    handler_.joinEnded(id, Outcome::connectFailed, {}, false);
    // The other joins on this connection end as after any connection error.
    connection.stream.close();
    return handleClosed(connection, MessageStream::CloseReason::connectionError);
  }
  join.written = true;
  join.connection = &connection;
  connection.lastActivity = net::unixNow();
  connection.pending.push_back(&join);
  node.joins[join.call.id] = &join;
}

// Returns how the subscription ended if the node has released it already, and acknowledges that.
std::optional<Outcome> Nodes::takeEarlyRelease(Node& node, const std::string& call) {
  const std::optional<Outcome> outcome = node.earlyReleases.take(call);
  if (!outcome) return std::nullopt;
  ++statistics_.earlyReleasesMatched;
  sendOnConnection(node, makeReleaseReceived(call), nullptr);
  return outcome;
}

void Nodes::adopt(session::JoinId id, const fleet::NodeEndpoint& endpoint, const Call& call) {
  Node& node = nodeOf(endpoint);
  if (const std::optional<Outcome> outcome = takeEarlyRelease(node, call.id))
    return handler_.joinEnded(id, *outcome, {}, *outcome == Outcome::ok);
  // The subscription ended with the process of its node that was there before.
  if (node.endpoint.readyAt > startedAt_) return handler_.joinEnded(id, Outcome::reset, {}, false);
  auto newJoin = std::make_unique<Join>();
  Join& join = *newJoin;
  join.command.join = id;
  join.call = call;
  join.node = &node;
  join.written = join.started = true;
  node.joins[call.id] = &join;
  joins_[id] = std::move(newJoin);
}

void Nodes::changeRung(const session::ChangeRung& command) {
  Join* join = findJoin(command.join);
  if (join == nullptr) return;
  join->command.rung = command.rung;
  if (!join->written) return;
  Message message;
  message.op = Op::set;
  message.call = join->call.id;
  message.fields["rung"] = std::to_string(command.rung);
  sendToNode(*join->node, message, join->connection);
}

void Nodes::tearDown(session::JoinId id) {
  Join* join = findJoin(id);
  if (join == nullptr) return;
  Node& node = *join->node;
  NodeConnection* connection = join->connection;
  const bool written = join->written, started = join->started;
  const std::string call = join->call.id;
  removeJoin(*join);
  if (!written) return;
  // If the join was never answered, its answer may have been garbled or lost, and with it everything that the
  // node sent after it on this connection, which takes no new offers.
  const bool isSuspect = !started && connection != nullptr;
  if (isSuspect) {
    connection->draining = true;
    recordConnectionLost(node);
  }
  sendToNode(node, makeRelease(call), connection);
  if (isSuspect) removeIfDrained(*connection);
}

void Nodes::withdraw(session::JoinId id) {
  Join* join = findJoin(id);
  if (join == nullptr || join->written) return;
  removeJoin(*join);
  handler_.joinEnded(id, Outcome::notSent, {}, false);
}

void Nodes::removeJoin(Join& join) {
  if (join.connection != nullptr) {
    std::erase(join.connection->awaitingConnect, &join);
    std::erase(join.connection->pending, &join);
    std::erase(join.connection->established, &join);
  }
  auto& joinsByCall = join.node->joins;
  if (const auto it = joinsByCall.find(join.call.id); it != joinsByCall.end() && it->second == &join)
    joinsByCall.erase(it);
  joins_.erase(join.command.join);
}

// ---- messages from nodes ----

LoadReport parseLoadReport(const std::string& text) {
  LoadReport report;
  try {
    const auto pairs = jsonl::parsePairs(text);
    for (const auto& [name, into] : control_settings::loadReportFields)
      if (const auto it = pairs.find(name); it != pairs.end())
        if (const auto number = jsonl::parseNumber(it->second, 0, 1e6)) report.*into = *number;
  } catch (const jsonl::ParseError&) {
    return {};
  }
  return report;
}

// Duplicates and messages for unknown calls are ignored, except for releases that may be of a subscription
// which its viewer has not reported yet.
void Nodes::handleUnknownCall(Node& node, const Message& message) {
  ++statistics_.ignoredMessages;
  if (message.op != Op::end || !handler_.acceptsAdoptions()) return;
  if (node.earlyReleases.record(message.call, outcomeOfRelease(message.reasonCode)))
    ++statistics_.earlyReleases;
}

void Nodes::handleMessage(NodeConnection& connection, Message& message) {
  Node& node = connection.node;
  node.liveness.recordActivity(net::unixNow());
  connection.lastActivity = net::unixNow();
  const auto it = node.joins.find(message.call);
  if (it == node.joins.end()) return handleUnknownCall(node, message);
  Join& join = *it->second;
  if (message.op == Op::accept) return handleAccept(connection, join, message);
  if (message.op == Op::end && join.started) return handleRelease(connection, join, message);
  if (message.op == Op::end) return handleRefusal(connection, join, message);
  if (message.op == Op::info && join.started) handleMeasurement(join, message);
}

void Nodes::handleAccept(NodeConnection& connection, Join& join, const Message& message) {
  if (join.started || join.connection != &connection) return void(++statistics_.ignoredMessages);
  if (!message.description || message.description->empty()) {
    connection.stream.close();
    return handleClosed(connection, MessageStream::CloseReason::invalidMessage);
  }
  join.started = true;
  join.startedAt = net::unixNow();
  std::erase(connection.pending, &join);
  connection.established.push_back(&join);
  handler_.joinStarted(join.command.join, *message.description);
  removeIfDrained(connection);
}

// The subscription of a started join has ended.
void Nodes::handleRelease(NodeConnection& connection, Join& join, const Message& message) {
  const session::JoinId id = join.command.join;
  removeJoin(join);
  connection.stream.send(makeReleaseReceived(message.call));
  const Outcome outcome = outcomeOfRelease(message.reasonCode);
  handler_.joinEnded(id, outcome, loadReportOf(message), outcome == Outcome::ok);
}

// The node has rejected a join.
void Nodes::handleRefusal(NodeConnection& connection, Join& join, const Message& message) {
  if (join.connection != &connection) return void(++statistics_.ignoredMessages);
  const session::JoinId id = join.command.join;
  removeJoin(join);
  handler_.joinEnded(id, outcomeOfRefusal(message.reasonCode), loadReportOf(message), false);
  removeIfDrained(connection);
}

void Nodes::handleMeasurement(const Join& join, const Message& message) {
  const std::string* value = message.find("value");
  const std::string* note = message.find("note");
  if (value == nullptr || note == nullptr) return;
  const auto number = jsonl::parseNumber(*value, 0, 1e6);
  if (!number) return;
  const session::JoinId id = join.command.join;
  if (*note == "fill") handler_.measured(id, MeasurementKind::delivered, *number);
  if (*note == "grade") handler_.measured(id, MeasurementKind::rung, *number);
  if (*note == "local") handler_.measured(id, MeasurementKind::link, *number);
  if (*note == "upstream") handler_.measured(id, MeasurementKind::uplink, *number);
}

// ---- lost and replaced nodes ----

// Ends all joins of the node that started before the given time, as reset. Their subscriptions are released
// at the node unless they have certainly ended there: their viewers are told that they are over, and their
// seats are given to others.
void Nodes::resetEstablished(Node& node, Micros before, RemoteState remoteState) {
  std::vector<Join*> ended;
  for (const auto& [call, join] : node.joins)
    if (join->started && join->startedAt < before) ended.push_back(join);
  for (Join* join : ended) {
    const session::JoinId id = join->command.join;
    const std::string call = join->call.id;
    removeJoin(*join);
    if (remoteState == RemoteState::mayPlayOn) releaseAtUnreachable(node, call);
    handler_.joinEnded(id, Outcome::reset, {}, false);
  }
}

void Nodes::listUpdated(const fleet::Membership& membership, Micros now) {
  std::map<std::pair<std::string, int>, NodeId> idsByAddress;
  for (const auto& [id, endpoint] : membership.endpoints()) idsByAddress[{endpoint.host, endpoint.port}] = id;
  for (auto& [id, node] : nodes_) {
    const fleet::NodeEndpoint* endpoint = membership.find(id);
    node->removed = endpoint == nullptr;
    const auto sameAddress = idsByAddress.find({node->endpoint.host, node->endpoint.port});
    // Another node now has this address: the subscriptions on the old one are over, and messages queued for
    // it cannot be delivered any more.
    if (endpoint == nullptr && sameAddress != idsByAddress.end()) {
      resetEstablished(*node, now + 1, RemoteState::ended);
      node->queuedMessages.clear();
    }
    if (endpoint == nullptr) continue;
    if (endpoint->readyAt > node->endpoint.readyAt)
      resetEstablished(*node, endpoint->readyAt, RemoteState::ended);
    node->endpoint = *endpoint;
  }
}

Micros Nodes::connectTimeoutOf(const NodeConnection& connection) const {
  return connection.awaitingConnect.empty()
             ? std::min(limits_.connectTimeout, fleet::LivenessCheck::maxProbeDuration)
             : limits_.connectTimeout;
}

// Probes a node that has joins or has to be sent something, and ends its subscriptions if it is lost.
void Nodes::checkLiveness(Node& node, Micros now) {
  if (node.joins.empty() && node.queuedMessages.empty()) return;
  const bool connected = std::any_of(node.connections.begin(), node.connections.end(),
                                     [](const auto& connection) { return connection->stream.isConnected(); });
  switch (node.liveness.evaluate(now, connected)) {
    case fleet::LivenessCheck::Verdict::alive:
      break;
    case fleet::LivenessCheck::Verdict::probe:
      openConnection(node);
      break;
    case fleet::LivenessCheck::Verdict::processGone:
      ++statistics_.nodesLost;
      resetEstablished(node, now + 1, RemoteState::ended);
      node.queuedMessages.clear();
      break;
    case fleet::LivenessCheck::Verdict::unreachable:
      if (!node.joins.empty()) ++statistics_.nodesLost;
      resetEstablished(node, now + 1, RemoteState::mayPlayOn);
      break;
  }
}

void Nodes::tick(Micros now) {
  closedConnections_.clear();
  std::vector<NodeConnection*> timedOut;
  for (auto& [id, node] : nodes_)
    for (const auto& connection : node->connections)
      if (!connection->stream.isConnected() && now - connection->lastActivity > connectTimeoutOf(*connection))
        timedOut.push_back(connection.get());
  for (NodeConnection* connection : timedOut) handleConnectFailed(*connection, false);
  for (auto& [id, node] : nodes_) checkLiveness(*node, now);
  if (!handler_.acceptsAdoptions())
    for (auto& [id, node] : nodes_) node->earlyReleases.clear();
  std::vector<NodeConnection*> idle;
  for (auto& [id, node] : nodes_)
    if (node->removed && !node->hasJoins())
      for (const auto& connection : node->connections) idle.push_back(connection.get());
  for (NodeConnection* connection : idle) removeConnection(*connection);
  std::erase_if(nodes_, [](const auto& entry) {
    const Node& node = *entry.second;
    return node.removed && !node.hasJoins() && node.connections.empty();
  });
}

bool Nodes::allSent() const {
  for (const auto& [id, node] : nodes_)
    for (const auto& connection : node->connections) {
      const bool connecting = !connection->stream.isConnected() && !connection->stream.isClosed();
      if (connection->stream.hasUnsentBytes() || (connecting && !node->queuedMessages.empty())) return false;
    }
  return true;
}

Nodes::Statistics Nodes::statistics() const {
  Statistics statistics = statistics_;
  statistics.connections = connectionCount_;
  statistics.joins = joins_.size();
  statistics.nodes = nodes_.size();
  return statistics;
}

}  // namespace lupinsill::platform
