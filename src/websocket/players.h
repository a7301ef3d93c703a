// The director's side of the session protocol over WebSocket: accepts players' sockets, turns their messages
// into asks and carries answers back to the line that asked. What a word means, and who may speak, is the
// desk's to say. Errors of a socket end that socket only. Owned by the director; not to be moved while it
// listens.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "admission/player_server.h"
#include "net/handles.h"
#include "settings/deployment.h"
#include "websocket/channel.h"
#include "websocket/messages.h"

namespace lupinsill::websocket {

struct PlayersFigures {
  std::uint64_t badMessages = 0, slow = 0, closed = 0;
};

class Players final : public Channel::Handler, public admission::PlayerServer {
 public:
  Players(event_base* base, session_api::Handler& handler, admission::CallManager& desk, std::string director,
          const settings::Endpoint& at, const settings::SocketLimits& limits, net::Accept accept);

  int port() const { return net::portOf(listener_.get()); }
  bool send(session::CallId callId, const AnswerMessage& message, bool ends) override;
  void send(const admission::DueAction& due) override;
  void setLimits(const settings::SocketLimits& limits) { limits_ = limits; }
  void stopAccepting() { listener_.reset(); }
  void cut(session::CallId callId) override;
  void closeAll() override;
  void tick(Micros now) override;
  std::size_t sockets() const override { return sockets_.size() - dead_.size(); }
  const PlayersFigures& statistics() const { return statistics_; }

 private:
  struct Socket {
    std::unique_ptr<Channel> channel;
    std::map<std::string, session::CallId> lines;  // by the player's id
  };
  struct LineAt {
    std::uint64_t socket;
    std::string id;
  };
  static void onAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* from, int size, void* me);
  void accept(evutil_socket_t fd);
  void onOpen(Channel& channel) override;
  void onText(Channel& channel, std::string_view text) override;
  void onClosed(Channel& channel, int code) override;
  void asked(Channel& channel, Socket& socket, const PlayMessage& ask);
  void error(Channel& channel, const std::string& id, const std::string& why);

  event_base* base_;
  session_api::Handler& handler_;
  admission::CallManager& desk_;
  std::string director_;
  settings::SocketLimits limits_;
  net::Accept accept_;
  net::Listener listener_;
  std::uint64_t refused_ = 0;  // counts down from the top: never a peer's number
  std::map<std::uint64_t, Socket> sockets_;
  std::map<session::CallId, LineAt> lines_;
  std::vector<std::uint64_t> dead_;
  PlayersFigures statistics_;
};

}  // namespace lupinsill::websocket
