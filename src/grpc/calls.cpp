#include "grpc/calls.h"

#include <utility>

namespace lupinsill::grpc {
namespace {

// Streams per connection beyond the limit on its Play calls.
constexpr std::size_t extraStreams = 8;
// Unfinished messages of the maximum size that are buffered for one connection.
constexpr std::size_t maxUnfinishedMessages = 4;

Http2Limits http2Limits(const settings::SocketLimits& limits) {
  Http2Limits out;
  // Above the call manager's limit, so that a call over that limit is answered with a retry time instead of
  // being refused by HTTP/2, and so that the other methods have streams left.
  out.streams = static_cast<std::size_t>(limits.requestsPerSocket) + extraStreams;
  out.unsentBytes = limits.unsentBytes;
  out.handshake = limits.handshake;
  out.pingEvery = limits.pingEvery;
  out.idleClose = limits.idleClose;
  return out;
}

}  // namespace

Calls::Calls(event_base* base, session_api::Handler& handler, admission::CallManager& callManager,
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

void Calls::setLimits(const settings::SocketLimits& limits) { limits_ = limits; }

void Calls::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* context) {
  static_cast<Calls*>(context)->accept(fd);
}

void Calls::accept(evutil_socket_t fd) {
  net::noDelay(fd);
  net::BufferEvent bufferEvent = accept_(base_, fd);
  if (!bufferEvent) return;
  const admission::AcceptResult acceptResult = callManager_.acceptPeer(net::monotonicNow());
  const std::uint64_t id = acceptResult.accepted ? acceptResult.peer : ~++rejectedPeers_;
  Peer& peer = peers_[id];
  peer.connection = std::make_unique<Http2>(std::move(bufferEvent), *this, http2Limits(limits_), true);
  peer.connection->tag = id;
  // A GOAWAY that names no stream tells the client that none of its calls ran, and why.
  if (!acceptResult.accepted) peer.connection->close(NGHTTP2_ENHANCE_YOUR_CALM);
}

// ---- receiving ----

Headers Calls::responseHeaders() const {
  return {{":status", "200"}, {"content-type", "application/grpc"}, {"lupinsill-director", director_}};
}

void Calls::sendResponseHeaders(Http2& connection, StreamId stream, Call& call) {
  if (call.headersSent) return;
  call.headersSent = true;
  connection.respond(stream, responseHeaders(), false);
}

void Calls::finish(Http2& connection, StreamId stream, const Headers& trailers) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto it = peer->second.calls.find(stream);
  if (it == peer->second.calls.end()) return;
  const bool headersSent = it->second.headersSent;
  callLocations_.erase(it->second.callId);
  peer->second.calls.erase(it);
  if (headersSent) return connection.trailers(stream, trailers);
  // gRPC retries a call automatically only after a Trailers-Only response like this one; trailersOf() forbids
  // the retry of calls that may have run.
  Headers responseWithTrailers = responseHeaders();
  responseWithTrailers.insert(responseWithTrailers.end(), trailers.begin(), trailers.end());
  connection.respond(stream, responseWithTrailers, true);
}

void Calls::onHeaders(Http2& connection, StreamId stream, const Headers& headers) {
  const auto at = peers_.find(connection.tag);
  if (at == peers_.end() || at->second.calls.contains(stream)) return;  // trailers of the client
  Peer& peer = at->second;
  if (!headerValue(headers, "content-type").starts_with("application/grpc"))
    return connection.respond(stream, {{":status", "415"}}, true);
  if (headerValue(headers, ":method") != "POST")
    return connection.respond(stream, {{":status", "405"}}, true);
  Call& call = peer.calls[stream];
  call.reader = MessageReader(limits_.messageBytes);
  const std::string_view path = headerValue(headers, ":path");
  const std::string_view encoding = headerValue(headers, "grpc-encoding");
  if (!encoding.empty() && encoding != "identity") {
    Headers trailers = trailersOf(Status::unimplemented, "compressed messages are not taken");
    trailers.emplace_back("grpc-accept-encoding", "identity");
    return finish(connection, stream, trailers);
  }
  std::optional<Micros> timeout;
  if (const std::string_view text = headerValue(headers, "grpc-timeout"); !text.empty()) {
    timeout = parseTimeout(text);
    if (!timeout) return finish(connection, stream, trailersOf(Status::invalidArgument, "grpc-timeout"));
  }
  if (path == whoPath) {
    call.method = Method::who;
  } else if (path == checkPath) {
    call.method = Method::check;
  } else if (path == watchPath) {
    call.method = Method::watch;
  } else if (path == playPath) {
    const admission::OpenResult opened = callManager_.open(net::monotonicNow(), connection.tag, timeout);
    if (opened.error == admission::OpenError::abusive) return connection.close(NGHTTP2_ENHANCE_YOUR_CALM);
    if (opened.error == admission::OpenError::tooManyCalls) {
      session_api::AnswerMessage answer;
      answer.kind = session_api::AnswerKind::throttled;
      answer.reason = "busy";
      answer.retryAfter = opened.retryAfter;
      return finish(connection, stream, trailersOf(answer));
    }
    call.callId = opened.callId;
    callLocations_[opened.callId] = {connection.tag, stream};
  } else {
    ++statistics_.unknownCalls;
    finish(connection, stream, trailersOf(Status::unimplemented, "no such method"));
  }
}

void Calls::onData(Http2& connection, StreamId stream, std::string_view bytes) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto findCall = [&] { return peer->second.calls.find(stream); };
  auto it = findCall();
  if (it == peer->second.calls.end()) return;  // already answered
  const bool valid = it->second.reader.feed(bytes);
  // A message may end its call, so the call is looked up again after each.
  while (it != peer->second.calls.end()) {
    const auto message = it->second.reader.next();
    if (!message) break;
    onMessage(connection, stream, it->second, *message);
    it = findCall();
  }
  if (it == peer->second.calls.end()) return;
  const bool tooMuchUnfinished = unfinishedBytes(peer->second) > maxUnfinishedMessages * limits_.messageBytes;
  if (valid && !tooMuchUnfinished) return;
  ++statistics_.invalidMessages;
  const session::CallId callId = it->second.callId;
  const MessageReader::Fault fault = it->second.reader.fault();
  const bool mayHaveRun = callId != 0 && endCallOnFault(callId);
  finish(connection, stream, trailersOf(fault, mayHaveRun));
}

// Bytes that are buffered for messages of the peer that are not complete yet.
std::size_t Calls::unfinishedBytes(const Peer& peer) {
  std::size_t bytes = 0;
  for (const auto& [stream, call] : peer.calls) bytes += call.reader.bufferedBytes();
  return bytes;
}

// Ends a call in the call manager after an error of its client, and tells the director if it has the call.
// Returns whether it has, so that the request may have run.
bool Calls::endCallOnFault(session::CallId callId) {
  const admission::InputResult result =
      callManager_.handleInput(net::monotonicNow(), callId, admission::CallInput::reset);
  const bool isKnown = result.action == admission::CallAction::notifyClosed;
  if (isKnown) handler_.onClosed(callId);
  return isKnown;
}

void Calls::onMessage(Http2& connection, StreamId stream, Call& call, std::string_view message) {
  if (call.method != Method::play) {
    call.messageReceived = true;
    call.message = message;
    if (call.method == Method::watch) reply(connection, stream, call);
    return;
  }
  const PlayerMessage playerMessage = parsePlayerMessage(message);
  if (playerMessage.kind == PlayerMessage::Kind::request)
    return onPlayRequest(connection, stream, call, playerMessage);
  const session::CallId callId = call.callId;
  if (playerMessage.kind == PlayerMessage::Kind::invalid) {
    ++statistics_.invalidMessages;
    endCallOnFault(callId);
    return finish(connection, stream, trailersOf(Status::invalidArgument, playerMessage.error));
  }
  const admission::InputResult result =
      callManager_.handleInput(net::monotonicNow(), callId, admission::CallInput::leave);
  finish(connection, stream, trailersOf(Status::ok, ""));
  if (result.action == admission::CallAction::notifyLeft) handler_.onLeave(callId);
  if (result.abusive) connection.close(NGHTTP2_ENHANCE_YOUR_CALM);
}

void Calls::onPlayRequest(Http2& connection, StreamId stream, Call& call, const PlayerMessage& message) {
  const session::CallId callId = call.callId;
  const admission::InputResult result =
      callManager_.handleInput(net::monotonicNow(), callId, admission::CallInput::request);
  if (result.action == admission::CallAction::reject) {
    finish(connection, stream, trailersOf(Status::invalidArgument, "one ask a call"));
    if (result.notifyClosed) handler_.onClosed(callId);
    return;
  }
  if (result.action != admission::CallAction::accept) return;
  std::string reason;
  if (handler_.onRequest(callId, message.request, reason)) return;
  callManager_.rejected(callId);
  session_api::AnswerMessage answer;
  answer.reason = reason;
  finish(connection, stream, trailersOf(answer));
}

void Calls::onEnd(Http2& connection, StreamId stream) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto it = peer->second.calls.find(stream);
  if (it == peer->second.calls.end()) return;
  Call& call = it->second;
  if (!call.reader.atMessageBoundary())
    return finish(connection, stream, trailersOf(Status::internal, "a message was cut off"));
  if (call.method == Method::watch && call.messageReceived) return;  // the response stream stays open
  if (call.method != Method::play) return reply(connection, stream, call);
  if (callManager_.handleInput(net::monotonicNow(), call.callId, admission::CallInput::halfClose).action ==
      admission::CallAction::reject)
    finish(connection, stream, trailersOf(Status::invalidArgument, "an ask expected"));
}

Serving Calls::servingStatus(const std::string& service) const {
  if (!service.empty() && service != sessionsService) return Serving::unknownService;
  return serving_ ? Serving::yes : Serving::no;
}

void Calls::reply(Http2& connection, StreamId stream, Call& call) {
  if (!call.messageReceived)
    return finish(connection, stream, trailersOf(Status::invalidArgument, "no message"));
  std::string body;
  if (call.method == Method::who) {
    body = serializeWhoReply(director_);
  } else {
    const auto service = parseHealthRequest(call.message);
    if (!service)
      return finish(connection, stream, trailersOf(Status::invalidArgument, "not a health request"));
    const Serving serving = servingStatus(*service);
    if (call.method == Method::check && serving == Serving::unknownService)
      return finish(connection, stream, trailersOf(Status::notFound, "unknown service"));
    body = serializeHealthReply(serving);
  }
  sendResponseHeaders(connection, stream, call);
  connection.send(stream, lengthPrefixed(body));
  if (call.method != Method::watch) finish(connection, stream, trailersOf(Status::ok, ""));
}

void Calls::setServing(bool serving) {
  if (serving_ == serving) return;
  serving_ = serving;
  for (auto& [id, peer] : peers_)
    for (auto& [stream, call] : peer.calls) {
      if (call.method != Method::watch || !call.messageReceived) continue;
      const auto service = parseHealthRequest(call.message);
      if (service)
        peer.connection->send(stream, lengthPrefixed(serializeHealthReply(servingStatus(*service))));
    }
}

// ---- ends of calls and connections ----

void Calls::onStreamClosed(Http2& connection, StreamId stream, std::uint32_t) {
  const auto peer = peers_.find(connection.tag);
  if (peer == peers_.end()) return;
  const auto it = peer->second.calls.find(stream);
  if (it == peer->second.calls.end()) return;
  const session::CallId callId = it->second.callId;
  peer->second.calls.erase(it);
  if (callId == 0) return;
  callLocations_.erase(callId);
  const admission::InputResult result =
      callManager_.handleInput(net::monotonicNow(), callId, admission::CallInput::reset);
  if (result.action == admission::CallAction::notifyClosed) handler_.onClosed(callId);
  if (result.abusive) connection.close(NGHTTP2_ENHANCE_YOUR_CALM);
}

void Calls::onClosed(Http2& connection) {
  ++statistics_.closed;
  for (const session::CallId callId : callManager_.removePeer(connection.tag)) handler_.onClosed(callId);
  closedPeers_.push_back(connection.tag);
}

void Calls::cut(session::CallId callId) {
  if (const auto it = callLocations_.find(callId); it != callLocations_.end())
    peers_.at(it->second.peer).connection->reset(it->second.stream, NGHTTP2_INTERNAL_ERROR);
}

void Calls::closeAll() {
  for (auto& [id, peer] : peers_) {
    // The director has answered all requests; calls without one are ended here.
    while (!peer.calls.empty()) {
      const session::CallId callId = peer.calls.begin()->second.callId;
      const StreamId stream = peer.calls.begin()->first;
      if (callId != 0) endCallOnFault(callId);
      finish(*peer.connection, stream, trailersOf(Status::unavailable, "director goes"));
    }
    peer.connection->sendGoaway();
    peer.connection->closeWhenIdle();
  }
}

// ---- sending ----

bool Calls::send(session::CallId callId, const session_api::AnswerMessage& message, bool ends) {
  const auto at = callLocations_.find(callId);
  if (at == callLocations_.end()) return false;
  const StreamId stream = at->second.stream;
  Peer& peer = peers_.at(at->second.peer);
  Http2& connection = *peer.connection;
  if (message.kind == session_api::AnswerKind::playing || message.kind == session_api::AnswerKind::rung ||
      message.kind == session_api::AnswerKind::ended) {
    sendResponseHeaders(connection, stream, peer.calls.at(stream));
    connection.send(stream, lengthPrefixed(serialize(message)));
  }
  if (ends) finish(connection, stream, trailersOf(message));
  return true;
}

void Calls::send(const admission::DueAction& action) {
  const auto it = peers_.find(action.peer);
  if (it == peers_.end()) return;
  Http2& connection = *it->second.connection;
  switch (action.kind) {
    case admission::DueAction::Kind::drainNotice:
      return connection.announceShutdown();
    case admission::DueAction::Kind::finalDrainNotice:
      return connection.sendGoaway();
    case admission::DueAction::Kind::closePeer: {
      while (!it->second.calls.empty())
        finish(connection, it->second.calls.begin()->first,
               trailersOf(Status::unavailable, "director drains"));
      return connection.closeWhenIdle();
    }
    case admission::DueAction::Kind::endCall: {
      const auto at = callLocations_.find(action.callId);
      if (at != callLocations_.end())
        finish(connection, at->second.stream, trailersOf(Status::deadlineExceeded, "deadline"));
      if (action.notifyClosed) handler_.onClosed(action.callId);
      return;
    }
  }
}

void Calls::tick(Micros now) {
  for (auto& [id, peer] : peers_) peer.connection->tick(now);
  for (const std::uint64_t id : closedPeers_) peers_.erase(id);
  closedPeers_.clear();
}

}  // namespace lupinsill::grpc
