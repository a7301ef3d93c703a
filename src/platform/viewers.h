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

#include "control_settings/control_settings.h"
#include "net/handles.h"
#include "platform/link.h"
#include "session/front.h"

namespace lupinsill::platform {

// A set-up and what comes of it, from its first message to its release.
struct Call {
  std::string id;
  session::CallId callId = 0;
  std::string room, title, desc;
  bool answered = false;
};

class Viewers {
 public:
  struct Handler {
    virtual ~Handler() = default;
    virtual void onRequest(Call& call, session::PlayRequest ask) = 0;
    virtual void onAdopted(Call& call, session::PlayRequest ask, const std::string& node) = 0;
    virtual void onLeave(const Call& call) = 0;
    virtual bool ready() = 0;  // a test is passed
  };
  struct Limits {
    std::size_t connections = 0;
    std::size_t openPerConnection = 32;
    Micros silent = 2'300'000;  // a connection that has brought nothing of use is closed then
    Micros idle = 8'000'000;    // one that has, and carries nothing any more
    // What plays at a start is named as soon as the first test is passed; nothing is taken on after so much
    // of this process's own time, of which a standstill is no part: what was sent then still lies in the
    // sockets.
    Micros adopting = 2'000'000;
  };
  struct Statistics {
    std::uint64_t accepted = 0, turnedAway = 0, useless = 0, unreadable = 0, floods = 0, saidAgain = 0;
    std::size_t connections = 0, calls = 0;
  };

  Viewers(event_base* base, Handler& handler, const std::string& host, int port,
          const control_settings::Names& names, const ControlSettings& terms, Limits bounds);
  ~Viewers();

  int port() const;
  Call* find(session::CallId callId);
  void playing(session::CallId callId, const std::string& desc);
  void throttled(session::CallId callId, Micros retryAfter);
  void terminated(session::CallId callId);
  void ended(session::CallId callId, bool finished);
  void tick(Micros now);
  // Whether all that was to be said has been handed to the machine, and no message is half in.
  bool settled() const;
  Statistics statistics() const;

 private:
  struct Peer;
  struct Held;
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me);
  void accepted(evutil_socket_t fd);
  void heard(Peer& peer, jsonl::Message& message);
  void offered(Peer& peer, const jsonl::Message& message);
  bool read(const jsonl::Message& message, session::PlayRequest& ask, std::string& node) const;
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
  void turnAway(session::CallId callId, jsonl::Message message);
  void forget(Held& held);

  event_base* base_;
  Handler& handler_;
  control_settings::Names names_;
  ControlSettings terms_;
  Limits bounds_;
  RetryAfterSchedule retryAfterSchedule_;  // for floods: the times are the module's, spread like its own
  net::Listener listener_;
  session::CallId lastLine_ = 0;
  std::uint64_t lastPeer_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;  // in the order they came
  std::vector<std::unique_ptr<Peer>> dead_;
  std::map<std::string, std::unique_ptr<Held>> calls_;
  std::map<session::CallId, Held*> lines_;
  bool passed_ = false;  // a test
  Micros adoptsFor_ = 0;
  Micros tickedAt_ = 0;
  std::deque<Release> unsaid_;  // for which no connection was there
  Statistics statistics_;
};

}  // namespace lupinsill::platform
