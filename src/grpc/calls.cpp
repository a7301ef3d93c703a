#include "grpc/calls.h"

#include <utility>

namespace lupinsill::grpc {
namespace {

Http2Limits http2Limits(const settings::SocketLimits& limits) {
  Http2Limits out;
  // A few above the desk's bound, so that the desk is what answers, with a time to come back; and room for
  // health and the like.
  out.streams = static_cast<std::size_t>(limits.requestsPerSocket) + 8;
  out.unsentBytes = limits.unsentBytes;
  out.handshake = limits.handshake;
  out.pingEvery = limits.pingEvery;
  out.idleClose = limits.idleClose;
  return out;
}

}  // namespace

Calls::Calls(event_base* base, session_api::Handler& handler, admission::CallManager& desk,
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

void Calls::setLimits(const settings::SocketLimits& limits) { limits_ = limits; }

void Calls::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
  static_cast<Calls*>(me)->accept(fd);
}

void Calls::accept(evutil_socket_t fd) {
  net::noDelay(fd);
  net::BufferEvent bufferEvent = accept_(base_, fd);
  if (!bufferEvent) return;
  const admission::AcceptResult arrival = desk_.acceptPeer(net::monotonicNow());
  const std::uint64_t id = arrival.accepted ? arrival.peer : ~++refused_;
  Peer& peer = peers_[id];
  peer.connection = std::make_unique<Http2>(std::move(bufferEvent), *this, http2Limits(limits_), true);
  peer.connection->tag = id;
  // GOAWAY with no stream taken: the client knows that nothing of it ran, and where the trouble is.
  if (!arrival.accepted) peer.connection->close(NGHTTP2_ENHANCE_YOUR_CALM);
}

// ---- words in ----

Headers Calls::head() const {
  return {{":status", "200"}, {"content-type", "application/grpc"}, {"lupinsill-director", director_}};
}

void Calls::sendHead(Http2& connection, StreamId stream, Call& call) {
  if (call.headSent) return;
  call.headSent = true;
  connection.respond(stream, head(), false);
}

void Calls::finish(Http2& connection, StreamId stream, const Headers& trailers) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto it = peer->second.calls.find(stream);
  if (it == peer->second.calls.end()) return;
  const bool headSent = it->second.headSent;
  lines_.erase(it->second.callId);
  peer->second.calls.erase(it);
  if (headSent) return connection.trailers(stream, trailers);
  // "Trailers-Only": a client's own retries are allowed by it alone, and only of what never ran.
  Headers whole = head();
  whole.insert(whole.end(), trailers.begin(), trailers.end());
  connection.respond(stream, whole, true);
}

void Calls::onHeaders(Http2& connection, StreamId stream, const Headers& headers) {
  const auto at = peers_.find(connection.tag);
  if (at == peers_.end() || at->second.calls.contains(stream)) return;  // trailers of a caller mean nothing
  Peer& peer = at->second;
  if (!valueOf(headers, "content-type").starts_with("application/grpc"))
    return connection.respond(stream, {{":status", "415"}}, true);
  if (valueOf(headers, ":method") != "POST") return connection.respond(stream, {{":status", "405"}}, true);
  Call& call = peer.calls[stream];
  call.reader = Reader(limits_.messageBytes);
  const std::string_view path = valueOf(headers, ":path");
  const std::string_view encoding = valueOf(headers, "grpc-encoding");
  if (!encoding.empty() && encoding != "identity") {
    Headers no = trailersOf(Status::unimplemented, "compressed messages are not taken");
    no.emplace_back("grpc-accept-encoding", "identity");
    return finish(connection, stream, no);
  }
  std::optional<Micros> timeout;
  if (const std::string_view text = valueOf(headers, "grpc-timeout"); !text.empty()) {
    timeout = timeoutOf(text);
    if (!timeout) return finish(connection, stream, trailersOf(Status::invalidArgument, "grpc-timeout"));
  }
  if (path == whoPath) {
    call.method = Method::who;
  } else if (path == checkPath) {
    call.method = Method::check;
  } else if (path == watchPath) {
    call.method = Method::watch;
  } else if (path == playPath) {
    const admission::OpenResult opened = desk_.open(net::monotonicNow(), connection.tag, timeout);
    if (opened.error == admission::OpenError::abusive) return connection.close(NGHTTP2_ENHANCE_YOUR_CALM);
    if (opened.error == admission::OpenError::tooManyCalls) {
      session_api::AnswerMessage no;
      no.kind = session_api::AnswerKind::throttled;
      no.reason = "busy";
      no.retryAfter = opened.retryAfter;
      return finish(connection, stream, trailersOf(no));
    }
    call.callId = opened.callId;
    lines_[opened.callId] = {connection.tag, stream};
  } else {
    ++statistics_.unknownCalls;
    finish(connection, stream, trailersOf(Status::unimplemented, "no such method"));
  }
}

void Calls::onData(Http2& connection, StreamId stream, std::string_view bytes) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto find = [&] { return peer->second.calls.find(stream); };
  auto it = find();
  if (it == peer->second.calls.end()) return;  // it has been answered already
  const bool good = it->second.reader.feed(bytes);
  // A message may end its call: it is looked up again for each.
  while (it != peer->second.calls.end()) {
    const auto message = it->second.reader.next();
    if (!message) break;
    said(connection, stream, it->second, *message);
    it = find();
  }
  if (good || it == peer->second.calls.end()) return;
  ++statistics_.badWords;
  const session::CallId callId = it->second.callId;
  const Reader::Fault fault = it->second.reader.fault();
  if (callId != 0) endLine(callId);
  finish(connection, stream,
         fault == Reader::Fault::tooLarge ? trailersOf(Status::resourceExhausted, "message too large")
         : fault == Reader::Fault::compressed
             ? trailersOf(Status::unimplemented, "compressed messages are not taken")
             : trailersOf(Status::internal, "not a gRPC message"));
}

// The call is over by a fault of its player: the front has to hear where it has the call.
void Calls::endLine(session::CallId callId) {
  const admission::InputResult heard =
      desk_.handleInput(net::monotonicNow(), callId, admission::CallInput::reset);
  if (heard.action == admission::CallAction::notifyClosed) handler_.onClosed(callId);
}

void Calls::said(Http2& connection, StreamId stream, Call& call, std::string_view message) {
  if (call.method != Method::play) {
    call.asked = true;
    call.message = message;
    if (call.method == Method::watch) reply(connection, stream, call);
    return;
  }
  const PlayerWord word = readPlayerWord(message);
  if (word.kind == PlayerWord::Kind::ask) return asked(connection, stream, call, word);
  const session::CallId callId = call.callId;
  if (word.kind == PlayerWord::Kind::bad) {
    ++statistics_.badWords;
    endLine(callId);
    return finish(connection, stream, trailersOf(Status::invalidArgument, word.fault));
  }
  const admission::InputResult heard =
      desk_.handleInput(net::monotonicNow(), callId, admission::CallInput::leave);
  finish(connection, stream, trailersOf(Status::ok, ""));
  if (heard.action == admission::CallAction::notifyLeft) handler_.onLeave(callId);
  if (heard.abusive) connection.close(NGHTTP2_ENHANCE_YOUR_CALM);
}

void Calls::asked(Http2& connection, StreamId stream, Call& call, const PlayerWord& word) {
  const session::CallId callId = call.callId;
  const admission::InputResult heard =
      desk_.handleInput(net::monotonicNow(), callId, admission::CallInput::request);
  if (heard.action == admission::CallAction::reject) {
    finish(connection, stream, trailersOf(Status::invalidArgument, "one ask a call"));
    if (heard.notifyClosed) handler_.onClosed(callId);
    return;
  }
  if (heard.action != admission::CallAction::accept) return;
  std::string why;
  if (handler_.onRequest(callId, word.ask, why)) return;
  desk_.rejected(callId);
  session_api::AnswerMessage no;
  no.reason = why;
  finish(connection, stream, trailersOf(no));
}

void Calls::onEnd(Http2& connection, StreamId stream) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto it = peer->second.calls.find(stream);
  if (it == peer->second.calls.end()) return;
  Call& call = it->second;
  if (!call.reader.between())
    return finish(connection, stream, trailersOf(Status::internal, "a message was cut off"));
  if (call.method == Method::watch && call.asked) return;  // it goes on listening
  if (call.method != Method::play) return reply(connection, stream, call);
  if (desk_.handleInput(net::monotonicNow(), call.callId, admission::CallInput::halfClose).action ==
      admission::CallAction::reject)
    finish(connection, stream, trailersOf(Status::invalidArgument, "an ask expected"));
}

Serving Calls::servingOf(const std::string& service) const {
  if (!service.empty() && service != sessionsService) return Serving::unknownService;
  return serving_ ? Serving::yes : Serving::no;
}

void Calls::reply(Http2& connection, StreamId stream, Call& call) {
  if (!call.asked) return finish(connection, stream, trailersOf(Status::invalidArgument, "no message"));
  std::string body;
  if (call.method == Method::who) {
    body = whoReply(director_);
  } else {
    const auto service = readHealthRequest(call.message);
    if (!service)
      return finish(connection, stream, trailersOf(Status::invalidArgument, "not a health request"));
    const Serving serving = servingOf(*service);
    if (call.method == Method::check && serving == Serving::unknownService)
      return finish(connection, stream, trailersOf(Status::notFound, "unknown service"));
    body = healthReply(serving);
  }
  sendHead(connection, stream, call);
  connection.send(stream, framed(body));
  if (call.method != Method::watch) finish(connection, stream, trailersOf(Status::ok, ""));
}

void Calls::setServing(bool serving) {
  if (serving_ == serving) return;
  serving_ = serving;
  for (auto& [id, peer] : peers_)
    for (auto& [stream, call] : peer.calls) {
      if (call.method != Method::watch || !call.asked) continue;
      const auto service = readHealthRequest(call.message);
      if (service) peer.connection->send(stream, framed(healthReply(servingOf(*service))));
    }
}

// ---- what ends ----

void Calls::onStreamClosed(Http2& connection, StreamId stream, std::uint32_t) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto it = peer->second.calls.find(stream);
  if (it == peer->second.calls.end()) return;
  const session::CallId callId = it->second.callId;
  peer->second.calls.erase(it);
  if (callId == 0) return;
  lines_.erase(callId);
  const admission::InputResult heard =
      desk_.handleInput(net::monotonicNow(), callId, admission::CallInput::reset);
  if (heard.action == admission::CallAction::notifyClosed) handler_.onClosed(callId);
  if (heard.abusive) connection.close(NGHTTP2_ENHANCE_YOUR_CALM);
}

void Calls::onClosed(Http2& connection) {
  ++statistics_.closed;
  for (const session::CallId callId : desk_.removePeer(connection.tag)) handler_.onClosed(callId);
  dead_.push_back(connection.tag);
}

void Calls::cut(session::CallId callId) {
  if (const auto it = lines_.find(callId); it != lines_.end())
    peers_.at(it->second.peer).connection->reset(it->second.stream, NGHTTP2_INTERNAL_ERROR);
}

void Calls::closeAll() {
  for (auto& [id, peer] : peers_) {
    // Calls that never asked hold nothing that the front would answer.
    while (!peer.calls.empty()) {
      const session::CallId callId = peer.calls.begin()->second.callId;
      const StreamId stream = peer.calls.begin()->first;
      if (callId != 0) endLine(callId);
      finish(*peer.connection, stream, trailersOf(Status::unavailable, "director goes"));
    }
    peer.connection->lastWord();
    peer.connection->closeWhenIdle();
  }
}

// ---- words out ----

bool Calls::send(session::CallId callId, const session_api::AnswerMessage& message, bool ends) {
  const auto at = lines_.find(callId);
  if (at == lines_.end()) return false;
  const StreamId stream = at->second.stream;
  Peer& peer = peers_.at(at->second.peer);
  Http2& connection = *peer.connection;
  if (message.kind == session_api::AnswerKind::playing || message.kind == session_api::AnswerKind::rung ||
      message.kind == session_api::AnswerKind::ended) {
    sendHead(connection, stream, peer.calls.at(stream));
    connection.send(stream, framed(bytesOf(message)));
  }
  if (ends) finish(connection, stream, trailersOf(message));
  return true;
}

void Calls::send(const admission::DueAction& due) {
  const auto it = peers_.find(due.peer);
  if (it == peers_.end()) return;
  Http2& connection = *it->second.connection;
  switch (due.kind) {
    case admission::DueAction::Kind::drainNotice:
      return connection.notice();
    case admission::DueAction::Kind::finalDrainNotice:
      return connection.lastWord();
    case admission::DueAction::Kind::closePeer: {
      while (!it->second.calls.empty())
        finish(connection, it->second.calls.begin()->first,
               trailersOf(Status::unavailable, "director drains"));
      return connection.closeWhenIdle();
    }
    case admission::DueAction::Kind::endCall: {
      const auto at = lines_.find(due.callId);
      if (at != lines_.end())
        finish(connection, at->second.stream, trailersOf(Status::deadlineExceeded, "deadline"));
      if (due.notifyClosed) handler_.onClosed(due.callId);
      return;
    }
  }
}

void Calls::tick(Micros now) {
  for (auto& [id, peer] : peers_) peer.connection->tick(now);
  for (const std::uint64_t id : dead_) peers_.erase(id);
  dead_.clear();
}

}  // namespace lupinsill::grpc
