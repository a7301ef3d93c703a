// Stub media nodes that count SETUP requests by title and answer each as the title's fault plan says
// (src/client_script). They stream nothing; the nodes of lab runs are in stand_in.h. All share one event
// loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "media/rtsp.h"
#include "net/handles.h"

namespace lupinsill::lab {

// The nodes, each on a port of its own.
class CountingNodes {
 public:
  // Called on the first SETUP of a title whose plan kills the director that sent it, with the director's name
  // and whether its ledger is to be deleted as well.
  using KillHandler = std::function<void(const std::string& director, bool wipe)>;
  CountingNodes(event_base* base, int count, KillHandler killHandler);
  ~CountingNodes();
  CountingNodes(const CountingNodes&) = delete;
  CountingNodes& operator=(const CountingNodes&) = delete;

  // The node list, in the format of a director's list file.
  std::string list(int version) const;
  // Number of SETUP requests by title.
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
