// Media nodes that count: each answers a SETUP as its title's plan says (src/client_script) and keeps how
// many came for each title. One loop holds them all; the lab's richer stand-ins are in stand_in.h.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "media/rtsp.h"
#include "net/handles.h"

namespace lupinsill::lab {

class CountingNodes {
 public:
  // `atNode`: told of each SETUP whose plan kills its director, with the director's name and
  // whether its ledger goes too.
  using KillHandler = std::function<void(const std::string& director, bool wipe)>;
  CountingNodes(event_base* base, int count, KillHandler killHandler);
  ~CountingNodes();
  CountingNodes(const CountingNodes&) = delete;
  CountingNodes& operator=(const CountingNodes&) = delete;

  std::string list(int version) const;  // as a director's list file
  const std::map<std::string, int>& setUps() const { return setUps_; }

 private:
  struct Connection;
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me);
  static void onRead(bufferevent*, void* me);
  static void onEvent(bufferevent*, short what, void* me);
  void receive(Connection& connection, const media::Message& message);

  event_base* base_;
  KillHandler killHandler_;
  std::vector<net::Listener> listeners_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<std::string, int> setUps_;
  std::uint64_t nextSession_ = 0;
};

}  // namespace lupinsill::lab
