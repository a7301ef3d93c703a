#include "websocket/players.h"

#include <utility>

#include "websocket/handshake.h"

namespace lupinsill::websocket {

Players::Players(event_base* base, Ear& ear, std::string director, const settings::Endpoint& at,
                 const settings::SocketLimits& limits)
    : base_(base), ear_(ear), director_(std::move(director)), limits_(limits) {
  listener_ = net::listenOn(base, at.host, at.port, onAccept, this);
}

void Players::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
  static_cast<Players*>(me)->accept(fd);
}

void Players::accept(evutil_socket_t fd) {
  net::noDelay(fd);
  net::Bev bev(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!bev) {
    evutil_closesocket(fd);
    return;
  }
  const std::uint64_t id = ++nextSocket_;
  Socket& socket = sockets_[id];
  const ChannelLimits limits{limits_.messageBytes, limits_.unsentBytes, limits_.handshake, limits_.pingEvery,
                             limits_.idleClose};
  socket.channel = std::make_unique<Channel>(std::move(bev), *this, limits, true, "");
  socket.channel->tag = id;
  ++figures_.accepted;
  // Guards against a crowd that is left to the kernel's queue: each one over the limit hears so at once.
  if (sockets_.size() > static_cast<std::size_t>(limits_.connections)) {
    ++figures_.refused;
    socket.channel->refuse(refusal(503, "Service Unavailable", 1));
  }
}

// Who answers here: a player that asks again elsewhere has to say whom it asked before.
void Players::onOpen(Channel& channel) {
  AnswerMessage hello;
  hello.said = Said::hello;
  hello.director = director_;
  channel.sendText(textOf(hello));
}

void Players::onText(Channel& channel, std::string_view text) {
  try {
    const PlayerMessage message = readPlayerMessage(text);
    Socket& socket = sockets_.at(channel.tag);
    if (const auto* leave = std::get_if<LeaveMessage>(&message)) {
      const auto it = socket.lines.find(leave->id);
      if (it == socket.lines.end()) return;  // it crossed our `ended`
      const session::Line line = it->second;
      lines_.erase(line);
      socket.lines.erase(it);
      return ear_.left(line);
    }
    const auto& ask = std::get<AskMessage>(message);
    if (socket.lines.contains(ask.id)) return error(channel, ask.id, "id: in use on this socket");
    if (socket.lines.size() >= static_cast<std::size_t>(limits_.asksPerSocket))
      return error(channel, ask.id, "too many asks on this socket");
    const session::Line line = ++nextLine_;
    std::string why;
    socket.lines[ask.id] = line;
    lines_[line] = {channel.tag, ask.id};
    if (ear_.asked(line, ask, why)) return;
    socket.lines.erase(ask.id);
    lines_.erase(line);
    error(channel, ask.id, why);
  } catch (const BadMessage& bad) {
    ++figures_.badMessages;
    channel.close(bad.code, bad.what());
  }
}

void Players::error(Channel& channel, const std::string& id, const std::string& why) {
  AnswerMessage message;
  message.said = Said::error;
  message.id = id;
  message.reason = why;
  channel.sendText(textOf(message));
}

void Players::answer(session::Line line, AnswerMessage message) {
  const auto it = lines_.find(line);
  if (it == lines_.end()) return;  // its socket closed first
  const LineAt at = it->second;
  Socket& socket = sockets_.at(at.socket);
  message.id = at.id;
  if (message.said == Said::throttled || message.said == Said::terminated || message.said == Said::ended) {
    lines_.erase(line);
    socket.lines.erase(at.id);
  }
  socket.channel->sendText(textOf(message));
}

void Players::onClosed(Channel& channel, int code) {
  ++figures_.closed;
  if (code == 1008) ++figures_.slow;
  Socket& socket = sockets_.at(channel.tag);
  for (const auto& [id, line] : socket.lines) {
    lines_.erase(line);
    ear_.closed(line);
  }
  socket.lines.clear();
  dead_.push_back(channel.tag);
}

void Players::closeAll() {
  for (auto& [id, socket] : sockets_) socket.channel->close(1001, "director goes");
}

void Players::tick(Micros now) {
  for (auto& [id, socket] : sockets_) socket.channel->tick(now);
  for (const std::uint64_t id : dead_) sockets_.erase(id);
  dead_.clear();
}

const PlayersFigures& Players::figures() {
  figures_.sockets = sockets_.size();
  return figures_;
}

}  // namespace lupinsill::websocket
