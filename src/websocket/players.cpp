#include "websocket/players.h"

#include <utility>

#include "websocket/handshake.h"

namespace lupinsill::websocket {

Players::Players(event_base* base, player::Ear& ear, intake::Desk& desk, std::string director,
                 const settings::Endpoint& at, const settings::SocketLimits& limits, net::Accept accept)
    : base_(base),
      ear_(ear),
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
  net::Bev bev = accept_(base_, fd);
  if (!bev) return;
  const intake::Arrival arrival = desk_.arrive(net::monotonicNow());
  const std::uint64_t id = arrival.taken ? arrival.peer : ~++refused_;
  Socket& socket = sockets_[id];
  const ChannelLimits limits{limits_.messageBytes, limits_.unsentBytes, limits_.handshake, limits_.pingEvery,
                             limits_.idleClose};
  socket.channel = std::make_unique<Channel>(std::move(bev), *this, limits, true, "");
  socket.channel->tag = id;
  if (!arrival.taken)
    socket.channel->refuse(
        refusal(503, "Service Unavailable", static_cast<int>((arrival.retryAfter + 999'999) / 1'000'000)));
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
    if (const auto* ask = std::get_if<AskMessage>(&message)) return asked(channel, socket, *ask);
    const auto it = socket.lines.find(std::get<LeaveMessage>(message).id);
    if (it == socket.lines.end()) return;  // it crossed our `ended`
    const session::Line line = it->second;
    lines_.erase(line);
    socket.lines.erase(it);
    const intake::Heard heard = desk_.word(net::monotonicNow(), line, intake::Word::leave);
    if (heard.step == intake::Step::tellLeft) ear_.left(line);
    if (heard.unruly) channel.close(1008, "asks and takes back without end");
  } catch (const BadMessage& bad) {
    ++figures_.badMessages;
    channel.close(bad.code, bad.what());
  }
}

void Players::asked(Channel& channel, Socket& socket, const AskMessage& ask) {
  if (socket.lines.contains(ask.id)) return error(channel, ask.id, "id: in use on this socket");
  const Micros now = net::monotonicNow();
  const intake::Opened opened = desk_.open(now, channel.tag, std::nullopt);
  if (opened.why == intake::NotOpened::unruly) return channel.close(1008, "asks and takes back without end");
  if (opened.why != intake::NotOpened::no) return error(channel, ask.id, "too many asks on this socket");
  std::string why;
  socket.lines[ask.id] = opened.line;
  lines_[opened.line] = {channel.tag, ask.id};
  desk_.word(now, opened.line, intake::Word::ask);
  if (ear_.asked(opened.line, ask, why)) return;
  desk_.refused(opened.line);
  socket.lines.erase(ask.id);
  lines_.erase(opened.line);
  error(channel, ask.id, why);
}

void Players::error(Channel& channel, const std::string& id, const std::string& why) {
  AnswerMessage message;
  message.said = Said::error;
  message.id = id;
  message.reason = why;
  channel.sendText(textOf(message));
}

bool Players::carry(session::Line line, const AnswerMessage& message, bool ends) {
  const auto it = lines_.find(line);
  if (it == lines_.end()) return false;
  const LineAt at = it->second;
  Socket& socket = sockets_.at(at.socket);
  AnswerMessage out = message;
  out.id = at.id;
  if (ends) {
    lines_.erase(line);
    socket.lines.erase(at.id);
  }
  socket.channel->sendText(textOf(out));
  return true;
}

// WebSocket has no word for "open no more here": an idle socket is closed, and its player goes elsewhere.
void Players::carry(const intake::Due& due) {
  const auto it = sockets_.find(due.peer);
  if (it == sockets_.end()) return;
  if (due.what == intake::Due::What::endPeer) it->second.channel->close(1001, "director drains");
}

void Players::onClosed(Channel& channel, int code) {
  ++figures_.closed;
  if (code == 1008) ++figures_.slow;
  Socket& socket = sockets_.at(channel.tag);
  for (const auto& [id, line] : socket.lines) lines_.erase(line);
  socket.lines.clear();
  for (const session::Line line : desk_.depart(channel.tag)) ear_.closed(line);
  dead_.push_back(channel.tag);
}

void Players::cut(session::Line line) {
  if (const auto it = lines_.find(line); it != lines_.end()) sockets_.at(it->second.socket).channel->cut();
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
