#include "media/nodes.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace lupinsill::media {

struct Nodes::Connection {
  Nodes* owner = nullptr;
  NodeId node = 0;
  std::string host;
  int port = 0;
  net::BufferEvent bufferEvent;
  MessageParser parser;
  bool connected = false;
  bool closed = false;
  Micros lastActivity = 0;  // start of the connection attempt, then the last bytes sent or received
  long long cseq = 0;
  struct PendingRequest {
    session::JoinId joinId;
    enum class Step { setUp, play, other } step;
  };
  std::map<long long, PendingRequest> inFlight;  // by CSeq
  std::map<std::string, session::JoinId> joinsBySession;
  std::vector<session::JoinId> waitingJoins;  // to be written once connected

  std::string address() const { return host + ":" + std::to_string(port); }
  static void onRead(bufferevent*, void* context);
  static void onEvent(bufferevent*, short events, void* context);
};

namespace {

constexpr std::size_t schemeLength = std::string_view("rtsp://").size();
constexpr std::size_t roomParameterLength = std::string_view("?room=").size();
constexpr std::size_t rungParameterLength = std::string_view("&rung=").size();

constexpr int statusOk = 200;
constexpr int statusSessionNotFound = 454;
constexpr int statusNotImplemented = 501;

// Encodes everything but the unreserved characters of RFC 3986.
std::string percentEncode(const std::string& text) {
  std::string out;
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    const bool unreserved = (u >= '0' && u <= '9') || (u >= 'a' && u <= 'z') || (u >= 'A' && u <= 'Z') ||
                            c == '-' || c == '.' || c == '_' || c == '~';
    if (unreserved) {
      out += c;
    } else {
      std::array<char, 4> hex{};
      std::snprintf(hex.data(), hex.size(), "%%%02X", u);
      out += hex.data();
    }
  }
  return out;
}

}  // namespace

std::string percentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string formatStreamUri(const std::string& address, const std::string& title, const std::string& roomType,
                            int rung) {
  return "rtsp://" + address + "/" + percentEncode(title) + "?room=" + percentEncode(roomType) +
         "&rung=" + std::to_string(rung);
}

bool parseStreamUri(const std::string& uri, StreamUri& parsed) {
  const std::size_t path = uri.find('/', schemeLength);
  const std::size_t query = uri.find("?room=");
  const std::size_t rung = uri.find("&rung=");
  if (!uri.starts_with("rtsp://") || path == std::string::npos || query == std::string::npos ||
      rung == std::string::npos || path > query || query > rung)
    return false;
  parsed.title = percentDecode(std::string_view(uri).substr(path + 1, query - path - 1));
  parsed.roomType = percentDecode(
      std::string_view(uri).substr(query + roomParameterLength, rung - query - roomParameterLength));
  parsed.rung = std::atoi(uri.c_str() + rung + rungParameterLength);
  return true;
}

Nodes::Nodes(event_base* base, Handler& handler, std::string director, const settings::NodeLimits& limits,
             net::Connect connect)
    : base_(base),
      handler_(handler),
      director_(std::move(director)),
      limits_(limits),
      connect_(std::move(connect)) {}
Nodes::~Nodes() = default;

// ---- Commands ----

void Nodes::setUp(const session::SetUp& command, const fleet::NodeEndpoint& endpoint,
                  const std::string& roomType) {
  JoinState& join = joins_[command.join];
  join.command = command;
  join.roomType = roomType;
  Connection& connection = connectionTo(endpoint);
  join.connection = &connection;
  join.uri = formatStreamUri(connection.address(), command.title, roomType, command.rung);
  if (connection.closed) {
    // The address is unusable, or the connection failed immediately.
    removeJoin(command.join);
    return handler_.joinEnded(command.join, Outcome::connectFailed, {}, false);
  }
  // The node has stopped reading: requests queued behind its full socket would count as written although they
  // may never be sent.
  if (connection.connected &&
      evbuffer_get_length(bufferevent_get_output(connection.bufferEvent.get())) > limits_.unsentBytes) {
    ++statistics_.sendBuffersFull;
    removeJoin(command.join);
    return handler_.joinEnded(command.join, Outcome::connectFailed, {}, false);
  }
  if (connection.connected)
    writeJoin(join);
  else
    connection.waitingJoins.push_back(command.join);
}

void Nodes::writeJoin(JoinState& join) {
  const session::JoinId joinId = join.command.join;
  if (!handler_.mayWrite(joinId)) {
    removeJoin(joinId);
    return handler_.joinEnded(joinId, Outcome::notSent, {}, false);
  }
  join.written = true;
  // SETUP and PLAY are pipelined (RFC 7826, section 18.33), so that a join takes one round trip.
  sendRequest(*join.connection, "SETUP", join, "");
  sendRequest(*join.connection, "PLAY", join, "");
}

void Nodes::sendRequest(Connection& connection, const std::string& method, const JoinState& join,
                        const std::string& body) {
  if (connection.closed) return;
  Message message;
  message.method = method;
  message.uri = join.uri;
  const long long cseq = ++connection.cseq;
  message.headers.emplace_back("CSeq", std::to_string(cseq));
  message.headers.emplace_back("User-Agent", "lupinsill (" + director_ + ")");
  if (join.sessionId.empty())
    message.headers.emplace_back("Pipelined-Requests", std::to_string(join.command.join));
  else
    message.headers.emplace_back("Session", join.sessionId);
  auto step = Connection::PendingRequest::Step::other;
  if (method == "SETUP") {
    step = Connection::PendingRequest::Step::setUp;
    message.headers.emplace_back("Transport", "RTP/AVP;unicast");
    message.headers.emplace_back("Lupinsill-Subscription",
                                 director_ + "-" + std::to_string(join.command.sub));
    message.headers.emplace_back("Lupinsill-Viewer", percentEncode(join.command.viewer));
    message.headers.emplace_back("Lupinsill-Ask", percentEncode(join.command.idempotencyKey));
  } else if (method == "PLAY") {
    step = Connection::PendingRequest::Step::play;
  }
  if (!body.empty()) message.headers.emplace_back("Content-Type", "text/parameters");
  message.body = body;
  connection.inFlight[cseq] = {join.command.join, step};
  connection.lastActivity = net::monotonicNow();
  const std::string bytes = message.serialize();
  evbuffer_add(bufferevent_get_output(connection.bufferEvent.get()), bytes.data(), bytes.size());
}

void Nodes::change(const session::ChangeRung& command) {
  const auto it = joins_.find(command.join);
  if (it == joins_.end()) return;
  JoinState& join = it->second;
  join.command.rung = command.rung;
  if (!join.written)
    join.uri = formatStreamUri(join.connection->address(), join.command.title, join.roomType, command.rung);
  else
    sendRequest(*join.connection, "SET_PARAMETER", join, "rung: " + std::to_string(command.rung) + "\r\n");
}

void Nodes::tearDown(session::JoinId joinId) {
  const auto it = joins_.find(joinId);
  if (it == joins_.end()) return;
  if (it->second.written) sendRequest(*it->second.connection, "TEARDOWN", it->second, "");
  removeJoin(joinId);
}

void Nodes::withdraw(session::JoinId joinId) {
  const auto it = joins_.find(joinId);
  if (it == joins_.end() || it->second.written) return;
  removeJoin(joinId);
  handler_.joinEnded(joinId, Outcome::notSent, {}, false);
}

void Nodes::removeJoin(session::JoinId joinId) {
  const auto it = joins_.find(joinId);
  if (it == joins_.end()) return;
  if (it->second.connection != nullptr) {
    it->second.connection->joinsBySession.erase(it->second.sessionId);
    std::erase(it->second.connection->waitingJoins, joinId);
  }
  joins_.erase(it);
}

// ---- Connections ----

Nodes::Connection& Nodes::connectionTo(const fleet::NodeEndpoint& endpoint) {
  auto& slot = connections_[endpoint.node];
  // A restarted node may have a new address.
  if (slot && !slot->closed && (slot->host != endpoint.host || slot->port != endpoint.port))
    closeConnection(*slot, !slot->connected);
  if (slot && slot->closed) closedConnections_.push_back(std::move(slot));
  if (slot) return *slot;
  slot = std::make_unique<Connection>();
  Connection& connection = *slot;
  connection.owner = this;
  connection.node = endpoint.node;
  connection.host = endpoint.host;
  connection.port = endpoint.port;
  connection.lastActivity = net::monotonicNow();
  connection.bufferEvent = connect_(base_, endpoint.host, endpoint.port);
  ++statistics_.connects;
  if (!connection.bufferEvent) {
    ++statistics_.connectFailures;
    connection.closed = true;
    return connection;
  }
  bufferevent_setcb(connection.bufferEvent.get(), Connection::onRead, nullptr, Connection::onEvent,
                    &connection);
  bufferevent_enable(connection.bufferEvent.get(), EV_READ | EV_WRITE);
  return connection;
}

void Nodes::Connection::onEvent(bufferevent*, short events, void* context) {
  Connection& connection = *static_cast<Connection*>(context);
  if (connection.closed) return;
  if (events & BEV_EVENT_CONNECTED) {
    connection.connected = true;
    connection.lastActivity = net::monotonicNow();
    const std::vector<session::JoinId> readyJoins = std::move(connection.waitingJoins);
    connection.waitingJoins.clear();
    for (const session::JoinId joinId : readyJoins)
      if (const auto it = connection.owner->joins_.find(joinId); it != connection.owner->joins_.end())
        connection.owner->writeJoin(it->second);
    return;
  }
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    // Responses received before the connection broke are still processed.
    onRead(nullptr, context);
    if (!connection.closed) connection.owner->closeConnection(connection, !connection.connected);
  }
}

void Nodes::closeConnection(Connection& connection, bool connecting) {
  connection.closed = true;
  ++(connecting ? statistics_.connectFailures : statistics_.connectionsLost);
  bufferevent_disable(connection.bufferEvent.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(connection.bufferEvent.get(), nullptr, nullptr, nullptr, nullptr);
  connection.bufferEvent.reset();
  std::vector<session::JoinId> endedJoins;
  for (const auto& [joinId, join] : joins_)
    if (join.connection == &connection) endedJoins.push_back(joinId);
  for (const session::JoinId joinId : endedJoins) {
    const bool written = joins_.at(joinId).written;
    removeJoin(joinId);
    handler_.joinEnded(joinId, written ? Outcome::reset : Outcome::connectFailed, {}, false);
  }
}

void Nodes::tick(Micros now) {
  for (auto& [node, connection] : connections_) {
    if (connection->closed) continue;
    if (!connection->connected && now - connection->lastActivity > limits_.connect) {
      closeConnection(*connection, true);
    } else if (connection->connected && now - connection->lastActivity > limits_.idleClose &&
               connection->inFlight.empty()) {
      bool used = false;
      for (const auto& [joinId, join] : joins_) used = used || join.connection == connection.get();
      if (!used) closeConnection(*connection, false);
    }
  }
  std::erase_if(connections_, [](const auto& entry) { return entry.second->closed; });
  closedConnections_.clear();
}

NodesStatistics Nodes::statistics() const {
  NodesStatistics statistics = statistics_;
  statistics.connections = connections_.size();
  return statistics;
}

// ---- Responses and requests of nodes ----

void Nodes::Connection::onRead(bufferevent*, void* context) {
  Connection& connection = *static_cast<Connection*>(context);
  if (connection.closed || !connection.connected) return;
  evbuffer* input = bufferevent_get_input(connection.bufferEvent.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  connection.lastActivity = net::monotonicNow();
  connection.parser.feed(bytes);
  try {
    while (!connection.closed) {
      const std::optional<Message> message = connection.parser.next();
      if (!message) return;
      if (message->isRequest())
        connection.owner->handleRequest(connection, *message);
      else
        connection.owner->handleResponse(connection, *message);
    }
  } catch (const RtspParseError&) {
    // Message boundaries are lost, so nothing further can be read from this connection.
    ++connection.owner->statistics_.parseErrors;
    connection.owner->closeConnection(connection, false);
  }
}

void Nodes::handleResponse(Connection& connection, const Message& message) {
  const auto pending = connection.inFlight.find(message.cseq());
  if (pending == connection.inFlight.end()) return;
  const Connection::PendingRequest request = pending->second;
  connection.inFlight.erase(pending);
  const auto it = joins_.find(request.joinId);
  if (it == joins_.end()) {
    // The join has ended in the meantime, and TEARDOWN was sent for it.
    if (request.step != Connection::PendingRequest::Step::other) ++statistics_.lateResponses;
    return;
  }
  JoinState& join = it->second;
  const OrcaReport orca = parseOrca(message.header("Endpoint-Load-Metrics"));
  const Outcome outcome = outcomeForStatus(message.status);
  if (request.step == Connection::PendingRequest::Step::other) {
    // The node no longer knows the session, so it has ended there.
    if (message.status == statusSessionNotFound) {
      removeJoin(request.joinId);
      handler_.joinEnded(request.joinId, Outcome::reset, orca.report, false);
    }
    return;
  }
  if (outcome != Outcome::ok) {
    // If PLAY fails after a successful SETUP, the node still holds a session.
    const bool setUpRan = !join.sessionId.empty();
    if (setUpRan) sendRequest(connection, "TEARDOWN", join, "");
    removeJoin(request.joinId);
    return handler_.joinEnded(request.joinId, setUpRan ? Outcome::error : outcome, orca.report, false);
  }
  if (request.step == Connection::PendingRequest::Step::setUp) {
    std::string_view session = message.header("Session");
    session = session.substr(0, session.find(';'));
    join.sessionId = session;
    if (!join.sessionId.empty()) connection.joinsBySession[join.sessionId] = request.joinId;
    return;
  }
  join.started = true;
  handler_.joinStarted(request.joinId, connection.address());
  reportMeasurements(request.joinId, orca);
}

void Nodes::reportMeasurements(session::JoinId joinId, const OrcaReport& orca) {
  if (orca.delivered) handler_.measured(joinId, MeasurementKind::delivered, *orca.delivered);
  const auto& linkUse = orca.report.linkUse ? orca.report.linkUse : orca.report.linkShare;
  if (linkUse) handler_.measured(joinId, MeasurementKind::link, *linkUse);
  if (orca.report.uplinkUse) handler_.measured(joinId, MeasurementKind::uplink, *orca.report.uplinkUse);
}

void Nodes::handleRequest(Connection& connection, const Message& message) {
  Message reply;
  reply.status =
      message.method == "PLAY_NOTIFY" || message.method == "REDIRECT" ? statusOk : statusNotImplemented;
  reply.headers.emplace_back("CSeq", std::string(message.header("CSeq")));
  const std::string bytes = reply.serialize();
  evbuffer_add(bufferevent_get_output(connection.bufferEvent.get()), bytes.data(), bytes.size());
  // REDIRECT without a session concerns all sessions of the connection (RFC 7826, section 13.10): the node
  // drains.
  if (message.method == "REDIRECT") return handler_.nodeDrains(connection.node);
  if (message.method != "PLAY_NOTIFY") return;
  const auto it = connection.joinsBySession.find(std::string(message.header("Session")));
  if (it == connection.joinsBySession.end()) return;
  const session::JoinId joinId = it->second;
  const OrcaReport orca = parseOrca(message.header("Endpoint-Load-Metrics"));
  const std::string_view reason = message.header("Notify-Reason");
  if (reason == "end-of-stream") {
    removeJoin(joinId);
    return handler_.joinEnded(joinId, Outcome::ok, orca.report, true);
  }
  reportMeasurements(joinId, orca);
}

}  // namespace lupinsill::media
