// The viewers' side of the platform's protocol: takes set-ups and what ends them, words the answers. A
// standing subscription belongs to no connection, so calls are found by their id on any of them.
// It decides nothing on placing; what it turns away is what no media node could use.
// Owned by the director; not to be moved.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/handles.h"
#include "platform/link.h"
#include "session/front.h"
#include "terms/terms.h"

namespace lupinsill::platform {

// A set-up and what comes of it, from its first message to its release.
struct Call {
  std::string id;
  session::Line line = 0;
  std::string room, title, desc;
  bool answered = false;
};

class Viewers {
 public:
  struct Ear {
    virtual ~Ear() = default;
    virtual void asked(Call& call, session::Ask ask) = 0;
    virtual void adopted(Call& call, session::Ask ask, const std::string& node) = 0;
    virtual void left(const Call& call) = 0;
    virtual bool ready() = 0;  // a test is passed
  };
  struct Bounds {
    std::size_t connections = 0;
    std::size_t openPerConnection = 32;
    Micros silent = 2'300'000;  // a connection that has brought nothing of use is closed then
    Micros idle = 8'000'000;    // one that has, and carries nothing any more
    // What plays at a start is named as soon as the first test is passed; nothing is taken on after so much
    // of this process's own time, of which a standstill is no part: what was sent then still lies in the
    // sockets.
    Micros adopting = 2'000'000;
  };
  struct Figures {
    std::uint64_t accepted = 0, turnedAway = 0, useless = 0, unreadable = 0, floods = 0, saidAgain = 0;
    std::size_t connections = 0, calls = 0;
  };

  Viewers(event_base* base, Ear& ear, const std::string& host, int port, const terms::Names& names,
          const Terms& terms, Bounds bounds);
  ~Viewers();

  int port() const;
  Call* find(session::Line line);
  void playing(session::Line line, const std::string& desc);
  void throttled(session::Line line, Micros retryAfter);
  void terminated(session::Line line);
  void ended(session::Line line, bool finished);
  void tick(Micros now);
  // Whether all that was to be said has been handed to the machine, and no message is half in.
  bool settled() const;
  Figures figures() const;

 private:
  struct Peer;
  struct Held;
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me);
  void accepted(evutil_socket_t fd);
  void heard(Peer& peer, jsonl::Message& message);
  void offered(Peer& peer, const jsonl::Message& message);
  bool read(const jsonl::Message& message, session::Ask& ask, std::string& node) const;
  void useless(Peer& peer, const std::string& call);
  void named(Peer& peer, const Held& known, const jsonl::Message& message);
  void down(Peer& peer);
  void drop(Peer& peer);
  struct Release {
    jsonl::Message message;
    Micros since = 0;  // of the end that it tells
  };
  void proved(Peer& peer);
  void say(const Release& release, Peer* first);
  static bool tell(Peer& peer, const Release& release);
  void turnAway(session::Line line, jsonl::Message message);
  void forget(Held& held);

  event_base* base_;
  Ear& ear_;
  terms::Names names_;
  Terms terms_;
  Bounds bounds_;
  ComeBack comeBack_;  // for floods: the times are the module's, spread like its own
  net::Listener listener_;
  session::Line lastLine_ = 0;
  std::uint64_t lastPeer_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;  // in the order they came
  std::vector<std::unique_ptr<Peer>> dead_;
  std::map<std::string, std::unique_ptr<Held>> calls_;
  std::map<session::Line, Held*> lines_;
  bool passed_ = false;  // a test
  Micros adoptsFor_ = 0;
  Micros tickedAt_ = 0;
  std::deque<Release> unsaid_;  // for which no connection was there
  Figures figures_;
};

}  // namespace lupinsill::platform
