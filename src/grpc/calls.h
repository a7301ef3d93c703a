// Server of the session protocol over gRPC: accepts connections, passes the requests of their calls to the
// director and sends its answers. The call manager decides which messages are valid in the state of a call.
// An error of a call ends that call, an error of a connection that connection. Not movable, since callbacks
// refer to the object.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "admission/player_server.h"
#include "grpc/http2.h"
#include "grpc/messages.h"
#include "net/handles.h"
#include "settings/deployment.h"

namespace lupinsill::grpc {

// Counters since the start of the process.
struct CallsStatistics {
  std::uint64_t invalidMessages = 0, unknownCalls = 0, closed = 0;
};

// The gRPC listener with its connections. Besides the session service it serves the standard health service.
class Calls final : public Http2::Handler, public admission::PlayerServer {
 public:
  Calls(event_base* base, session_api::Handler& handler, admission::CallManager& callManager,
        std::string director, const settings::Endpoint& at, const settings::SocketLimits& limits,
        net::Accept accept);

  int port() const { return net::portOf(listener_.get()); }
  void setLimits(const settings::SocketLimits& limits);
  void stopAccepting() { listener_.reset(); }
  // Sets the status that the health service reports, and sends it to the open Watch calls.
  void setServing(bool serving);
  bool send(session::CallId callId, const session_api::AnswerMessage& message, bool ends) override;
  void send(const admission::DueAction& action) override;
  void cut(session::CallId callId) override;
  void closeAll() override;
  void tick(Micros now) override;
  std::size_t sockets() const override { return peers_.size() - closedPeers_.size(); }
  const CallsStatistics& statistics() const { return statistics_; }

 private:
  enum class Method { play, who, check, watch };  // Sessions/Play, Sessions/Who, Health/Check, Health/Watch
  struct Call {
    Method method = Method::play;
    session::CallId callId = 0;  // 0: not a Play call
    MessageReader reader{4096};  // replaced by one with the configured limit
    bool headersSent = false;
    bool messageReceived = false;  // of methods other than Play
    std::string message;           // the last message of such a method
  };
  struct Peer {
    std::unique_ptr<Http2> connection;
    std::map<StreamId, Call> calls;
  };
  struct CallLocation {
    std::uint64_t peer;
    StreamId stream;
  };
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* context);
  void accept(evutil_socket_t fd);
  void onOpen(Http2&) override {}
  void onHeaders(Http2& connection, StreamId stream, const Headers& headers) override;
  void onData(Http2& connection, StreamId stream, std::string_view bytes) override;
  void onEnd(Http2& connection, StreamId stream) override;
  void onStreamClosed(Http2& connection, StreamId stream, std::uint32_t code) override;
  void onClosed(Http2& connection) override;
  void onMessage(Http2& connection, StreamId stream, Call& call, std::string_view message);
  void onPlayRequest(Http2& connection, StreamId stream, Call& call, const PlayerMessage& message);
  void reply(Http2& connection, StreamId stream, Call& call);
  Headers responseHeaders() const;
  void sendResponseHeaders(Http2& connection, StreamId stream, Call& call);
  void finish(Http2& connection, StreamId stream, const Headers& trailers);
  bool endCallOnFault(session::CallId callId);
  static std::size_t unfinishedBytes(const Peer& peer);
  Serving servingStatus(const std::string& service) const;

  event_base* base_;
  session_api::Handler& handler_;
  admission::CallManager& callManager_;
  std::string director_;
  settings::SocketLimits limits_;
  net::Accept accept_;
  net::Listener listener_;
  bool serving_ = true;
  // Number of rejected peers. Their IDs count down from the maximum, so that they differ from those of
  // accepted peers.
  std::uint64_t rejectedPeers_ = 0;
  std::map<std::uint64_t, Peer> peers_;
  std::map<session::CallId, CallLocation> callLocations_;
  std::vector<std::uint64_t> closedPeers_;  // freed by the next tick
  CallsStatistics statistics_;
};

}  // namespace lupinsill::grpc
