#include "websocket/players.h"

#include <utility>

#include "websocket/handshake.h"

namespace lupinsill::websocket {

Players::Players(event_base* base, session_api::Handler& handler, admission::CallManager& callManager,
                 std::string director, const settings::Endpoint& at, const settings::SocketLimits& limits,
                 net::Accept accept)
    : base_(base),
      handler_(handler),
      callManager_(callManager),
      director_(std::move(director)),
      limits_(limits),
      accept_(std::move(accept)) {
  listener_ = net::listenOn(base, at.host, at.port, onAccept, this);
}

void Players::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* context) {
  static_cast<Players*>(context)->accept(fd);
}

void Players::accept(evutil_socket_t fd) {
  net::noDelay(fd);
  net::BufferEvent bufferEvent = accept_(base_, fd);
  if (!bufferEvent) return;
  const admission::AcceptResult acceptResult = callManager_.acceptPeer(net::monotonicNow());
  const std::uint64_t id = acceptResult.accepted ? acceptResult.peer : ~++rejectedSockets_;
  Socket& socket = sockets_[id];
  const ChannelLimits limits{limits_.messageBytes, limits_.unsentBytes, limits_.handshake, limits_.pingEvery,
                             limits_.idleClose};
  socket.channel = std::make_unique<Channel>(std::move(bufferEvent), *this, limits, true, "");
  socket.channel->tag = id;
  if (!acceptResult.accepted)
    socket.channel->refuse(refusal(503, "Service Unavailable",
                                   static_cast<int>((acceptResult.retryAfter + 999'999) / 1'000'000)));
}

// Tells the player the director's name, which it has to send if it repeats a request to another director.
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
    if (const auto* request = std::get_if<PlayMessage>(&message))
      return onPlayRequest(channel, socket, *request);
    const auto it = socket.callIds.find(std::get<LeaveMessage>(message).id);
    if (it == socket.callIds.end()) return;  // crossed an answer that ended the call
    const session::CallId callId = it->second;
    callLocations_.erase(callId);
    socket.callIds.erase(it);
    const admission::InputResult result =
        callManager_.handleInput(net::monotonicNow(), callId, admission::CallInput::leave);
    if (result.action == admission::CallAction::notifyLeft) handler_.onLeave(callId);
    if (result.abusive) channel.close(close_code::policyViolation, "asks and takes back without end");
  } catch (const BadMessage& bad) {
    ++statistics_.badMessages;
    channel.close(bad.code, bad.what());
  }
}

void Players::onPlayRequest(Channel& channel, Socket& socket, const PlayMessage& request) {
  if (socket.callIds.contains(request.id)) return sendError(channel, request.id, "id: in use on this socket");
  const Micros now = net::monotonicNow();
  const admission::OpenResult opened = callManager_.open(now, channel.tag, std::nullopt);
  if (opened.error == admission::OpenError::abusive)
    return channel.close(close_code::policyViolation, "asks and takes back without end");
  if (opened.error != admission::OpenError::none)
    return sendError(channel, request.id, "too many asks on this socket");
  std::string reason;
  socket.callIds[request.id] = opened.callId;
  callLocations_[opened.callId] = {channel.tag, request.id};
  callManager_.handleInput(now, opened.callId, admission::CallInput::request);
  if (handler_.onRequest(opened.callId, request, reason)) return;
  callManager_.rejected(opened.callId);
  socket.callIds.erase(request.id);
  callLocations_.erase(opened.callId);
  sendError(channel, request.id, reason);
}

void Players::sendError(Channel& channel, const std::string& id, const std::string& reason) {
  AnswerMessage message;
  message.kind = AnswerKind::error;
  message.id = id;
  message.reason = reason;
  channel.sendText(toJson(message));
}

bool Players::send(session::CallId callId, const AnswerMessage& message, bool ends) {
  const auto it = callLocations_.find(callId);
  if (it == callLocations_.end()) return false;
  const CallLocation location = it->second;
  Socket& socket = sockets_.at(location.socket);
  AnswerMessage outgoing = message;
  outgoing.id = location.id;
  if (ends) {
    callLocations_.erase(callId);
    socket.callIds.erase(location.id);
  }
  socket.channel->sendText(toJson(outgoing));
  return true;
}

// WebSocket has no drain notice like GOAWAY, so only the close of idle connections is carried out.
void Players::send(const admission::DueAction& action) {
  const auto it = sockets_.find(action.peer);
  if (it == sockets_.end()) return;
  if (action.kind == admission::DueAction::Kind::closePeer)
    it->second.channel->close(close_code::goingAway, "director drains");
}

void Players::onClosed(Channel& channel, int code) {
  ++statistics_.closed;
  if (code == close_code::policyViolation) ++statistics_.slow;
  Socket& socket = sockets_.at(channel.tag);
  for (const auto& [id, callId] : socket.callIds) callLocations_.erase(callId);
  socket.callIds.clear();
  for (const session::CallId callId : callManager_.removePeer(channel.tag)) handler_.onClosed(callId);
  closedSockets_.push_back(channel.tag);
}

void Players::cut(session::CallId callId) {
  if (const auto it = callLocations_.find(callId); it != callLocations_.end())
    sockets_.at(it->second.socket).channel->cut();
}

void Players::closeAll() {
  for (auto& [id, socket] : sockets_) socket.channel->close(close_code::goingAway, "director goes");
}

void Players::tick(Micros now) {
  for (auto& [id, socket] : sockets_) socket.channel->tick(now);
  for (const std::uint64_t id : closedSockets_) sockets_.erase(id);
  closedSockets_.clear();
}

}  // namespace lupinsill::websocket
