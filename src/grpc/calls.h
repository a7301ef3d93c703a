// The director's side of the session protocol over gRPC: accepts connections, reads calls, turns their words
// into asks and carries answers back. What a word means is the desk's to say. Errors of a call end that call,
// errors of a connection that connection. Owned by the director; not to be moved while it listens.
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

struct CallsFigures {
  std::uint64_t badWords = 0, unknownCalls = 0, closed = 0;
};

class Calls final : public Http2::Handler, public admission::PlayerServer {
 public:
  Calls(event_base* base, session_api::Handler& handler, admission::CallManager& desk, std::string director,
        const settings::Endpoint& at, const settings::SocketLimits& limits, net::Accept accept);

  int port() const { return net::portOf(listener_.get()); }
  void setLimits(const settings::SocketLimits& limits);
  void stopAccepting() { listener_.reset(); }
  // What health says from now on; those who watch are told.
  void setServing(bool serving);
  bool send(session::CallId callId, const session_api::AnswerMessage& message, bool ends) override;
  void send(const admission::DueAction& due) override;
  void cut(session::CallId callId) override;
  void closeAll() override;
  void tick(Micros now) override;
  std::size_t sockets() const override { return peers_.size() - dead_.size(); }
  const CallsFigures& statistics() const { return statistics_; }

 private:
  enum class Method { play, who, check, watch };
  struct Call {
    Method method = Method::play;
    session::CallId callId = 0;
    MessageReader reader{4096};
    bool headSent = false;
    bool asked = false;  // of one-shot calls: its message has come
    std::string message;
  };
  struct Peer {
    std::unique_ptr<Http2> connection;
    std::map<StreamId, Call> calls;
  };
  struct LineAt {
    std::uint64_t peer;
    StreamId stream;
  };
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me);
  void accept(evutil_socket_t fd);
  void onOpen(Http2&) override {}
  void onHeaders(Http2& connection, StreamId stream, const Headers& headers) override;
  void onData(Http2& connection, StreamId stream, std::string_view bytes) override;
  void onEnd(Http2& connection, StreamId stream) override;
  void onStreamClosed(Http2& connection, StreamId stream, std::uint32_t code) override;
  void onClosed(Http2& connection) override;
  void said(Http2& connection, StreamId stream, Call& call, std::string_view message);
  void asked(Http2& connection, StreamId stream, Call& call, const PlayerMessage& word);
  void reply(Http2& connection, StreamId stream, Call& call);
  Headers head() const;
  void sendHead(Http2& connection, StreamId stream, Call& call);
  void finish(Http2& connection, StreamId stream, const Headers& trailers);
  void endLine(session::CallId callId);
  Serving servingOf(const std::string& service) const;

  event_base* base_;
  session_api::Handler& handler_;
  admission::CallManager& desk_;
  std::string director_;
  settings::SocketLimits limits_;
  net::Accept accept_;
  net::Listener listener_;
  bool serving_ = true;
  std::uint64_t refused_ = 0;  // counts down from the top: never a peer's number
  std::map<std::uint64_t, Peer> peers_;
  std::map<session::CallId, LineAt> lines_;
  std::vector<std::uint64_t> dead_;
  CallsFigures statistics_;
};

}  // namespace lupinsill::grpc
