// Server of the session protocol over WebSocket: accepts connections, passes the players' requests to the
// director and sends its answers. The call manager limits connections and calls, and decides which messages
// are valid in the state of a call. An error of a connection ends that connection only. Not movable, since
// callbacks refer to the object.
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

// Counters since the start of the process. `slow`: closed with the code 1008.
struct PlayersStatistics {
  std::uint64_t badMessages = 0, slow = 0, closed = 0;
};

// The WebSocket listener with its connections.
class Players final : public Channel::Handler, public admission::PlayerServer {
 public:
  Players(event_base* base, session_api::Handler& handler, admission::CallManager& callManager,
          std::string director, const settings::Endpoint& at, const settings::SocketLimits& limits,
          net::Accept accept);

  int port() const { return net::portOf(listener_.get()); }
  bool send(session::CallId callId, const AnswerMessage& message, bool ends) override;
  void send(const admission::DueAction& action) override;
  void setLimits(const settings::SocketLimits& limits) { limits_ = limits; }
  void stopAccepting() { listener_.reset(); }
  void cut(session::CallId callId) override;
  void closeAll() override;
  void tick(Micros now) override;
  std::size_t sockets() const override { return sockets_.size() - closedSockets_.size(); }
  const PlayersStatistics& statistics() const { return statistics_; }

 private:
  struct Socket {
    std::unique_ptr<Channel> channel;
    std::map<std::string, session::CallId> callIds;  // by the ID that the player gave its request
  };
  struct CallLocation {
    std::uint64_t socket;
    std::string id;
  };
  static void onAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* from, int size, void* context);
  void accept(evutil_socket_t fd);
  void onOpen(Channel& channel) override;
  void onText(Channel& channel, std::string_view text) override;
  void onClosed(Channel& channel, int code) override;
  void onPlayRequest(Channel& channel, Socket& socket, const PlayMessage& request);
  void sendError(Channel& channel, const std::string& id, const std::string& reason);

  event_base* base_;
  session_api::Handler& handler_;
  admission::CallManager& callManager_;
  std::string director_;
  settings::SocketLimits limits_;
  net::Accept accept_;
  net::Listener listener_;
  // Number of rejected sockets. Their IDs count down from the maximum, so that they differ from those of
  // accepted ones.
  std::uint64_t rejectedSockets_ = 0;
  std::map<std::uint64_t, Socket> sockets_;
  std::map<session::CallId, CallLocation> callLocations_;
  std::vector<std::uint64_t> closedSockets_;  // freed by the next tick
  PlayersStatistics statistics_;
};

}  // namespace lupinsill::websocket
