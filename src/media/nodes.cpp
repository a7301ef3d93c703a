#include "media/nodes.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace lupinsill::media {

struct Nodes::Link {
  Nodes* owner = nullptr;
  NodeId node = 0;
  std::string host;
  int port = 0;
  net::BufferEvent bufferEvent;
  MessageParser reader;
  bool connected = false;
  bool dead = false;
  Micros since = 0;  // of connecting, then of the last use
  long long cseq = 0;
  struct Awaited {
    session::JoinId join;
    enum class Step { setUp, play, other } step;
  };
  std::map<long long, Awaited> awaited;
  std::map<std::string, session::JoinId> sessions;
  std::vector<session::JoinId> waiting;  // for the connection

  std::string address() const { return host + ":" + std::to_string(port); }
  static void onRead(bufferevent*, void* me);
  static void onEvent(bufferevent*, short what, void* me);
};

namespace {

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    const bool plain = (u >= '0' && u <= '9') || (u >= 'a' && u <= 'z') || (u >= 'A' && u <= 'Z') ||
                       c == '-' || c == '.' || c == '_' || c == '~';
    if (plain) {
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
  return "rtsp://" + address + "/" + escaped(title) + "?room=" + escaped(roomType) +
         "&rung=" + std::to_string(rung);
}

bool parseStreamUri(const std::string& uri, StreamUri& named) {
  const std::size_t start = uri.find('/', 7);
  const std::size_t query = uri.find("?room=");
  const std::size_t rung = uri.find("&rung=");
  if (!uri.starts_with("rtsp://") || start == std::string::npos || query == std::string::npos ||
      rung == std::string::npos || start > query || query > rung)
    return false;
  named.title = percentDecode(std::string_view(uri).substr(start + 1, query - start - 1));
  named.roomType = percentDecode(std::string_view(uri).substr(query + 6, rung - query - 6));
  named.rung = std::atoi(uri.c_str() + rung + 6);
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

// ---- orders ----

void Nodes::setUp(const session::SetUp& order, const fleet::NodeEndpoint& endpoint,
                  const std::string& roomType) {
  JoinAt& join = joins_[order.join];
  join.order = order;
  join.roomType = roomType;
  Link& link = linkTo(endpoint);
  join.link = &link;
  join.uri = formatStreamUri(link.address(), order.title, roomType, order.rung);
  if (link.dead) {
    // The address was unusable, or the refusal came at once.
    finish(order.join);
    return handler_.joinEnded(order.join, Outcome::connectFailed, {}, false);
  }
  // Guards against a node that takes nothing any more: what waits behind its full socket would count as
  // written though it may never leave.
  if (link.connected &&
      evbuffer_get_length(bufferevent_get_output(link.bufferEvent.get())) > limits_.unsentBytes) {
    ++statistics_.sendBuffersFull;
    finish(order.join);
    return handler_.joinEnded(order.join, Outcome::connectFailed, {}, false);
  }
  if (link.connected)
    write(join);
  else
    link.waiting.push_back(order.join);
}

void Nodes::write(JoinAt& join) {
  const session::JoinId key = join.order.join;
  if (!handler_.mayWrite(key)) {
    finish(key);
    return handler_.joinEnded(key, Outcome::notSent, {}, false);
  }
  join.written = true;
  // SETUP and PLAY go in one heap (RFC 7826 18.33): a join costs one turn of the wire.
  send(*join.link, "SETUP", join, "");
  send(*join.link, "PLAY", join, "");
}

void Nodes::send(Link& link, const std::string& method, const JoinAt& join, const std::string& body) {
  if (link.dead) return;
  Message message;
  message.method = method;
  message.uri = join.uri;
  const long long cseq = ++link.cseq;
  message.headers.emplace_back("CSeq", std::to_string(cseq));
  message.headers.emplace_back("User-Agent", "lupinsill (" + director_ + ")");
  if (join.session.empty())
    message.headers.emplace_back("Pipelined-Requests", std::to_string(join.order.join));
  else
    message.headers.emplace_back("Session", join.session);
  auto step = Link::Awaited::Step::other;
  if (method == "SETUP") {
    step = Link::Awaited::Step::setUp;
    message.headers.emplace_back("Transport", "RTP/AVP;unicast");
    message.headers.emplace_back("Lupinsill-Subscription", director_ + "-" + std::to_string(join.order.sub));
    message.headers.emplace_back("Lupinsill-Viewer", escaped(join.order.viewer));
    message.headers.emplace_back("Lupinsill-Ask", escaped(join.order.idempotencyKey));
  } else if (method == "PLAY") {
    step = Link::Awaited::Step::play;
  }
  if (!body.empty()) message.headers.emplace_back("Content-Type", "text/parameters");
  message.body = body;
  link.awaited[cseq] = {join.order.join, step};
  link.since = net::monotonicNow();
  const std::string bytes = message.serialize();
  evbuffer_add(bufferevent_get_output(link.bufferEvent.get()), bytes.data(), bytes.size());
}

void Nodes::change(const session::ChangeRung& order) {
  const auto it = joins_.find(order.join);
  if (it == joins_.end()) return;
  JoinAt& join = it->second;
  join.order.rung = order.rung;
  if (!join.written)
    join.uri = formatStreamUri(join.link->address(), join.order.title, join.roomType, order.rung);
  else
    send(*join.link, "SET_PARAMETER", join, "rung: " + std::to_string(order.rung) + "\r\n");
}

void Nodes::tearDown(session::JoinId key) {
  const auto it = joins_.find(key);
  if (it == joins_.end()) return;
  if (it->second.written) send(*it->second.link, "TEARDOWN", it->second, "");
  finish(key);
}

void Nodes::withdraw(session::JoinId key) {
  const auto it = joins_.find(key);
  if (it == joins_.end() || it->second.written) return;
  finish(key);
  handler_.joinEnded(key, Outcome::notSent, {}, false);
}

void Nodes::finish(session::JoinId key) {
  const auto it = joins_.find(key);
  if (it == joins_.end()) return;
  if (it->second.link != nullptr) {
    it->second.link->sessions.erase(it->second.session);
    std::erase(it->second.link->waiting, key);
  }
  joins_.erase(it);
}

// ---- connections ----

Nodes::Link& Nodes::linkTo(const fleet::NodeEndpoint& endpoint) {
  auto& slot = links_[endpoint.node];
  // A node that came back may answer elsewhere.
  if (slot && !slot->dead && (slot->host != endpoint.host || slot->port != endpoint.port))
    lost(*slot, !slot->connected);
  if (slot && slot->dead) dead_.push_back(std::move(slot));
  if (slot) return *slot;
  slot = std::make_unique<Link>();
  Link& link = *slot;
  link.owner = this;
  link.node = endpoint.node;
  link.host = endpoint.host;
  link.port = endpoint.port;
  link.since = net::monotonicNow();
  link.bufferEvent = connect_(base_, endpoint.host, endpoint.port);
  ++statistics_.connects;
  if (!link.bufferEvent) {
    ++statistics_.connectFailures;
    link.dead = true;
    return link;
  }
  bufferevent_setcb(link.bufferEvent.get(), Link::onRead, nullptr, Link::onEvent, &link);
  bufferevent_enable(link.bufferEvent.get(), EV_READ | EV_WRITE);
  return link;
}

void Nodes::Link::onEvent(bufferevent*, short what, void* me) {
  Link& link = *static_cast<Link*>(me);
  if (link.dead) return;
  if (what & BEV_EVENT_CONNECTED) {
    link.connected = true;
    link.since = net::monotonicNow();
    const std::vector<session::JoinId> waiting = std::move(link.waiting);
    link.waiting.clear();
    for (const session::JoinId key : waiting)
      if (const auto it = link.owner->joins_.find(key); it != link.owner->joins_.end())
        link.owner->write(it->second);
    return;
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    // Answers that came before the break still count.
    onRead(nullptr, me);
    if (!link.dead) link.owner->lost(link, !link.connected);
  }
}

void Nodes::lost(Link& link, bool connecting) {
  link.dead = true;
  ++(connecting ? statistics_.connectFailures : statistics_.connectionsLost);
  bufferevent_disable(link.bufferEvent.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(link.bufferEvent.get(), nullptr, nullptr, nullptr, nullptr);
  link.bufferEvent.reset();
  std::vector<session::JoinId> held;
  for (const auto& [key, join] : joins_)
    if (join.link == &link) held.push_back(key);
  for (const session::JoinId key : held) {
    const bool written = joins_.at(key).written;
    finish(key);
    handler_.joinEnded(key, written ? Outcome::reset : Outcome::connectFailed, {}, false);
  }
}

void Nodes::tick(Micros now) {
  for (auto& [node, link] : links_) {
    if (link->dead) continue;
    if (!link->connected && now - link->since > limits_.connect) {
      lost(*link, true);
    } else if (link->connected && now - link->since > limits_.idleClose && link->awaited.empty()) {
      bool used = false;
      for (const auto& [key, join] : joins_) used = used || join.link == link.get();
      if (!used) lost(*link, false);
    }
  }
  std::erase_if(links_, [](const auto& entry) { return entry.second->dead; });
  dead_.clear();
}

NodesStatistics Nodes::statistics() const {
  NodesStatistics statistics = statistics_;
  statistics.connections = links_.size();
  return statistics;
}

// ---- what comes back ----

void Nodes::Link::onRead(bufferevent*, void* me) {
  Link& link = *static_cast<Link*>(me);
  if (link.dead || !link.connected) return;
  evbuffer* input = bufferevent_get_input(link.bufferEvent.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  link.since = net::monotonicNow();
  link.reader.feed(bytes);
  try {
    while (!link.dead) {
      const std::optional<Message> message = link.reader.next();
      if (!message) return;
      if (message->isRequest())
        link.owner->asked(link, *message);
      else
        link.owner->answered(link, *message);
    }
  } catch (const RtspParseError&) {
    // Nothing that follows can be told apart: the connection is as good as lost.
    ++link.owner->statistics_.parseErrors;
    link.owner->lost(link, false);
  }
}

void Nodes::answered(Link& link, const Message& message) {
  const auto awaited = link.awaited.find(message.cseq());
  if (awaited == link.awaited.end()) return;
  const Link::Awaited what = awaited->second;
  link.awaited.erase(awaited);
  const auto it = joins_.find(what.join);
  if (it == joins_.end()) {
    // The join was given up on meanwhile; its TEARDOWN is on the way.
    if (what.step != Link::Awaited::Step::other) ++statistics_.lateResponses;
    return;
  }
  JoinAt& join = it->second;
  const OrcaReport orca = parseOrca(message.header("Endpoint-Load-Metrics"));
  const Outcome outcome = outcomeForStatus(message.status);
  if (what.step == Link::Awaited::Step::other) {
    // A session that the node does not know any more has ended there.
    if (message.status == 454) {
      finish(what.join);
      handler_.joinEnded(what.join, Outcome::reset, orca.report, false);
    }
    return;
  }
  if (outcome != Outcome::ok) {
    // A PLAY that fails after its SETUP ran leaves a session behind.
    const bool ran = !join.session.empty();
    if (ran) send(link, "TEARDOWN", join, "");
    finish(what.join);
    return handler_.joinEnded(what.join, ran ? Outcome::error : outcome, orca.report, false);
  }
  if (what.step == Link::Awaited::Step::setUp) {
    std::string_view session = message.header("Session");
    session = session.substr(0, session.find(';'));
    join.session = session;
    if (!join.session.empty()) link.sessions[join.session] = what.join;
    return;
  }
  join.began = true;
  handler_.joinStarted(what.join);
  tell(what.join, orca);
}

void Nodes::tell(session::JoinId join, const OrcaReport& orca) {
  if (orca.delivered) handler_.measured(join, MeasurementKind::delivered, *orca.delivered);
  const auto& link = orca.report.linkUse ? orca.report.linkUse : orca.report.linkShare;
  if (link) handler_.measured(join, MeasurementKind::link, *link);
  if (orca.report.uplinkUse) handler_.measured(join, MeasurementKind::uplink, *orca.report.uplinkUse);
}

void Nodes::asked(Link& link, const Message& message) {
  Message reply;
  reply.status = message.method == "PLAY_NOTIFY" || message.method == "REDIRECT" ? 200 : 501;
  reply.headers.emplace_back("CSeq", std::string(message.header("CSeq")));
  const std::string bytes = reply.serialize();
  evbuffer_add(bufferevent_get_output(link.bufferEvent.get()), bytes.data(), bytes.size());
  // REDIRECT without a session speaks of all of them (RFC 7826 13.10): the node drains.
  if (message.method == "REDIRECT") return handler_.nodeDrains(link.node);
  if (message.method != "PLAY_NOTIFY") return;
  const auto it = link.sessions.find(std::string(message.header("Session")));
  if (it == link.sessions.end()) return;
  const session::JoinId join = it->second;
  const OrcaReport orca = parseOrca(message.header("Endpoint-Load-Metrics"));
  const std::string_view reason = message.header("Notify-Reason");
  if (reason == "end-of-stream") {
    finish(join);
    return handler_.joinEnded(join, Outcome::ok, orca.report, true);
  }
  tell(join, orca);
}

}  // namespace lupinsill::media
