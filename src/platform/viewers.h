// The viewers' side of the operators' protocol: receives offers and ends, and sends the answers. An
// established subscription belongs to no connection, so calls are found by their ID on any connection.
// Placing is decided elsewhere; only requests that no media node could serve are rejected here.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_settings/control_settings.h"
#include "net/handles.h"
#include "platform/message_stream.h"
#include "session/front.h"
#include "session/recent_call_ids.h"

namespace lupinsill::platform {

// A requested or established subscription, from its offer to its release.
struct Call {
  std::string id;  // on the wire
  session::CallId callId = 0;
  std::string room, title, description;
  bool answered = false;    // accepted, or adopted
  bool mayHaveRun = false;  // a join of it was passed on towards a media node
};

// Connections and calls of all viewers. Owned by the director; must stay at one address, since its
// connections refer to it.
class Viewers {
 public:
  // Receives the requests of viewers.
  struct Handler {
    virtual ~Handler() = default;
    // A viewer requests a subscription; it must be answered with playing(), throttled() or terminated().
    virtual void onRequest(Call& call, session::PlayRequest request) = 0;
    // A viewer reports a subscription that plays at `node` since before this process started.
    virtual void onAdopted(Call& call, session::PlayRequest request, const std::string& node) = 0;
    // The viewer ended the call, or its connection closed before the answer.
    virtual void onLeave(const Call& call) = 0;
    // Whether the director passes a health check.
    virtual bool isReady() = 0;
  };
  struct Limits {
    std::size_t maxConnections = 0;
    std::size_t maxPendingPerConnection = 32;  // flow limit: requests above it are throttled
    Micros silentTimeout = 2'300'000;          // of a connection without a valid request or health check
    Micros idleTimeout = 8'000'000;            // of a verified connection without calls
    // Viewers report their running subscriptions as soon as the first health check has passed; adoptions are
    // refused after this time. Stalls of the process do not count, since messages sent meanwhile still wait
    // in the sockets.
    Micros adoptionWindow = 2'000'000;
  };
  // Counters since start, and current sizes.
  struct Statistics {
    // connectionsRefused: how often the connection limit closed or refused a connection.
    std::uint64_t accepted = 0, connectionsRefused = 0, invalidRequests = 0, invalidMessages = 0,
                  flowLimited = 0, retransmits = 0;
    std::size_t connections = 0, calls = 0;
  };

  Viewers(event_base* base, Handler& handler, const std::string& host, int port,
          const control_settings::Names& names, const ControlSettings& settings, Limits limits);
  ~Viewers();

  int port() const;
  // Whether viewers may still report subscriptions that played before this process started.
  bool acceptsAdoptions() const { return adoptionTimeLeft_ > 0; }
  // Returns null if the call is over.
  Call* find(session::CallId callId);
  // Answer a request. `description` is the node's answer; retryAfter 0 gives no retry time.
  void playing(session::CallId callId, const std::string& description);
  void throttled(session::CallId callId, Micros retryAfter);
  void terminated(session::CallId callId);
  // Tells the viewer that its subscription has ended. `finished`: normally.
  void ended(session::CallId callId, bool finished);
  // Call regularly: timeouts of connections and releases, and freeing of connections.
  void tick(Micros now);
  // Whether all messages have been passed to the operating system, and no verified connection holds a partial
  // message.
  bool allSent() const;
  Statistics statistics() const;

 private:
  struct ViewerConnection;
  struct CallEntry;
  static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  void acceptConnection(evutil_socket_t fd);
  void handleMessage(ViewerConnection& viewer, jsonl::Message& message);
  void handleOffer(ViewerConnection& viewer, const jsonl::Message& message);
  bool parseOffer(const jsonl::Message& message, session::PlayRequest& request, std::string& node) const;
  void rejectInvalid(ViewerConnection& viewer, const std::string& call);
  static void repeatRelease(ViewerConnection& viewer, const std::string& call);
  void handleRepeatedAdoption(ViewerConnection& viewer, const CallEntry& existing,
                              const jsonl::Message& message);
  void handleClosed(ViewerConnection& viewer);
  void closeConnection(ViewerConnection& viewer);
  // The message that a subscription has ended, retransmitted until it is acknowledged or expires.
  struct Release {
    jsonl::Message message;
    Micros endedAt = 0;  // when the subscription ended
  };
  void markVerified(ViewerConnection& viewer);
  void sendRelease(const Release& release, ViewerConnection* preferred);
  static bool sendReleaseOn(ViewerConnection& viewer, const Release& release);
  void rejectCall(session::CallId callId, jsonl::Message message);
  void removeCall(CallEntry& entry);

  event_base* base_;
  Handler& handler_;
  control_settings::Names names_;
  ControlSettings settings_;
  Limits limits_;
  // Retry times for requests over the flow limit, spread over time like those of the decision module.
  RetryAfterSchedule retryAfterSchedule_;
  net::Listener listener_;
  session::CallId lastCallId_ = 0;
  std::uint64_t lastConnectionId_ = 0;
  std::map<std::uint64_t, std::unique_ptr<ViewerConnection>> connections_;  // in order of arrival
  std::vector<std::unique_ptr<ViewerConnection>> closedConnections_;        // freed in the next tick
  std::map<std::string, std::unique_ptr<CallEntry>> calls_;                 // by the ID on the wire
  std::map<session::CallId, CallEntry*> callsByCallId_;                     // by the ID in the front
  session::RecentCallIds recentIds_;  // of calls that are over and may have run

  bool healthCheckPassed_ = false;
  Micros adoptionTimeLeft_ = 0;  // counted from the first passed health check
  Micros lastTick_ = 0;
  std::deque<Release> queuedReleases_;  // waiting for a verified connection
  Statistics statistics_;
};

}  // namespace lupinsill::platform
