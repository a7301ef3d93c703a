#include "websocket/players.h"

#include <utility>

#include "websocket/handshake.h"

namespace lupinsill::websocket {

Players::Players(event_base* base, session_api::Handler& handler, admission::CallManager& desk,
                 std::string director, const settings::Endpoint& at, const settings::SocketLimits& limits,
                 net::Accept accept)
    : base_(base),
      handler_(handler),
      desk_(desk),
      director_(std::move(director)),
      limits_(limits),
      accept_(std::move(accept)) {
  listener_ = net::listenOn(base, at.host, at.port, onAccept, this);
}

void Players::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
  static_cast<Players*>(me)->accept(fd);
}

void Players::accept(evutil_socket_t fd) {
  net::noDelay(fd);
  net::BufferEvent bufferEvent = accept_(base_, fd);
  if (!bufferEvent) return;
  const admission::AcceptResult arrival = desk_.acceptPeer(net::monotonicNow());
  const std::uint64_t id = arrival.accepted ? arrival.peer : ~++refused_;
  Socket& socket = sockets_[id];
  const ChannelLimits limits{limits_.messageBytes, limits_.unsentBytes, limits_.handshake, limits_.pingEvery,
                             limits_.idleClose};
  socket.channel = std::make_unique<Channel>(std::move(bufferEvent), *this, limits, true, "");
  socket.channel->tag = id;
  if (!arrival.accepted)
    socket.channel->refuse(
        refusal(503, "Service Unavailable", static_cast<int>((arrival.retryAfter + 999'999) / 1'000'000)));
}

// Who answers here: a player that asks again elsewhere has to say whom it asked before.
void Players::onOpen(Channel& channel) {
  AnswerMessage hello;
  hello.kind = AnswerKind::hello;
  hello.director = director_;
  channel.sendText(toJson(hello));
}

void Players::onText(Channel& channel, std::string_view text) {
  try {
    const PlayerMessage message = parsePlayerMessage(text);
    Socket& socket = sockets_.at(channel.tag);
    if (const auto* ask = std::get_if<PlayMessage>(&message)) return asked(channel, socket, *ask);
    const auto it = socket.lines.find(std::get<LeaveMessage>(message).id);
    if (it == socket.lines.end()) return;  // it crossed our `ended`
    const session::CallId callId = it->second;
    lines_.erase(callId);
    socket.lines.erase(it);
    const admission::InputResult heard =
        desk_.handleInput(net::monotonicNow(), callId, admission::CallInput::leave);
    if (heard.action == admission::CallAction::notifyLeft) handler_.onLeave(callId);
    if (heard.abusive) channel.close(1008, "asks and takes back without end");
  } catch (const BadMessage& bad) {
    ++statistics_.badMessages;
    channel.close(bad.code, bad.what());
  }
}

void Players::asked(Channel& channel, Socket& socket, const PlayMessage& ask) {
  if (socket.lines.contains(ask.id)) return error(channel, ask.id, "id: in use on this socket");
  const Micros now = net::monotonicNow();
  const admission::OpenResult opened = desk_.open(now, channel.tag, std::nullopt);
  if (opened.error == admission::OpenError::abusive)
    return channel.close(1008, "asks and takes back without end");
  if (opened.error != admission::OpenError::none)
    return error(channel, ask.id, "too many asks on this socket");
  std::string why;
  socket.lines[ask.id] = opened.callId;
  lines_[opened.callId] = {channel.tag, ask.id};
  desk_.handleInput(now, opened.callId, admission::CallInput::request);
  if (handler_.onRequest(opened.callId, ask, why)) return;
  desk_.rejected(opened.callId);
  socket.lines.erase(ask.id);
  lines_.erase(opened.callId);
  error(channel, ask.id, why);
}

void Players::error(Channel& channel, const std::string& id, const std::string& why) {
  AnswerMessage message;
  message.kind = AnswerKind::error;
  message.id = id;
  message.reason = why;
  channel.sendText(toJson(message));
}

bool Players::send(session::CallId callId, const AnswerMessage& message, bool ends) {
  const auto it = lines_.find(callId);
  if (it == lines_.end()) return false;
  const LineAt at = it->second;
  Socket& socket = sockets_.at(at.socket);
  AnswerMessage out = message;
  out.id = at.id;
  if (ends) {
    lines_.erase(callId);
    socket.lines.erase(at.id);
  }
  socket.channel->sendText(toJson(out));
  return true;
}

// WebSocket has no word for "open no more here": an idle socket is closed, and its player goes elsewhere.
void Players::send(const admission::DueAction& due) {
  const auto it = sockets_.find(due.peer);
  if (it == sockets_.end()) return;
  if (due.kind == admission::DueAction::Kind::closePeer) it->second.channel->close(1001, "director drains");
}

void Players::onClosed(Channel& channel, int code) {
  ++statistics_.closed;
  if (code == 1008) ++statistics_.slow;
  Socket& socket = sockets_.at(channel.tag);
  for (const auto& [id, callId] : socket.lines) lines_.erase(callId);
  socket.lines.clear();
  for (const session::CallId callId : desk_.removePeer(channel.tag)) handler_.onClosed(callId);
  dead_.push_back(channel.tag);
}

void Players::cut(session::CallId callId) {
  if (const auto it = lines_.find(callId); it != lines_.end()) sockets_.at(it->second.socket).channel->cut();
}

void Players::closeAll() {
  for (auto& [id, socket] : sockets_) socket.channel->close(1001, "director goes");
}

void Players::tick(Micros now) {
  for (auto& [id, socket] : sockets_) socket.channel->tick(now);
  for (const std::uint64_t id : dead_) sockets_.erase(id);
  dead_.clear();
}

}  // namespace lupinsill::websocket
