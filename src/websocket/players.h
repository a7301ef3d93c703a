// The director's side of the session protocol: accepts players' sockets, bounds them, turns their messages
// into asks and carries answers back to the line that asked. Decides nothing about subscriptions. Errors of a
// socket end that socket only. Owned by the director; not to be moved while it listens.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/handles.h"
#include "session/front.h"
#include "settings/deployment.h"
#include "websocket/channel.h"
#include "websocket/messages.h"

namespace lupinsill::websocket {

struct PlayersFigures {
  std::uint64_t accepted = 0, refused = 0, badMessages = 0, slow = 0, closed = 0;
  std::size_t sockets = 0;
};

class Players final : public Channel::Ear {
 public:
  struct Ear {
    virtual ~Ear() = default;
    // A well-formed ask. False with a reason where it names what this deployment does not have.
    virtual bool asked(session::Line line, const AskMessage& ask, std::string& why) = 0;
    virtual void left(session::Line line) = 0;
    virtual void closed(session::Line line) = 0;
  };

  Players(event_base* base, Ear& ear, std::string director, const settings::Endpoint& at,
          const settings::SocketLimits& limits);

  int port() const { return net::portOf(listener_.get()); }
  // The line's last message ends it: throttled, terminated and ended.
  void answer(session::Line line, AnswerMessage message);
  void setLimits(const settings::SocketLimits& limits) { limits_ = limits; }
  void stopAccepting() { listener_.reset(); }
  void closeAll();
  void tick(Micros now);  // pings, time-outs, and frees what has died; some times a second
  const PlayersFigures& figures();

 private:
  struct Socket {
    std::unique_ptr<Channel> channel;
    std::map<std::string, session::Line> lines;  // by the player's id
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
  void error(Channel& channel, const std::string& id, const std::string& why);

  event_base* base_;
  Ear& ear_;
  std::string director_;
  settings::SocketLimits limits_;
  net::Listener listener_;
  std::uint64_t nextSocket_ = 0;
  session::Line nextLine_ = 0;
  std::map<std::uint64_t, Socket> sockets_;
  std::map<session::Line, LineAt> lines_;
  std::vector<std::uint64_t> dead_;
  PlayersFigures figures_;
};

}  // namespace lupinsill::websocket
