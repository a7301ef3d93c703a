// The client library for C++ programs: requests subscriptions from directors over a transport
// (websocket/transport.h or grpc/transport.h) and reports what becomes of them. All retry decisions are made
// by core/core.h. Protocol: docs/protocol. Runs on one libevent base without threads; callbacks are called
// from the event loop, never from within a call to this class. Times are whole microseconds. Each request
// gets exactly one result; if that result is `playing`, exactly one end follows unless the program leaves.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "net/handles.h"
#include "session/transport.h"

namespace lupinsill::client {

// What a viewer wants to watch, and for how long to try.
struct SubscriptionRequest {
  std::string viewer;
  std::string title;
  std::string room;     // room type
  bool unsafe = false;  // the room type must not be set up twice
  int top = 1000;       // highest rung to be delivered
  Micros timeout = 5'000'000;
  Micros length = 0;  // expected duration; 0: not known
};

// What became of a request.
struct SubscriptionResult {
  Result result = Result::unreachable;
  std::string reason;  // from the last answer of a director; empty if there was none
  std::string subscription, node, ticket;
  int rung = 0;
  Micros retryAfter = 0;  // how long to wait before a new request; 0: not at all
};

// Must not be moved or copied: its timer and its connections refer to it.
class SessionClient {
 public:
  using OnResult = std::function<void(RequestId, const SubscriptionResult&)>;
  using OnEnd = std::function<void(RequestId, const std::string& reason, Micros retryAfter)>;
  using OnRung = std::function<void(RequestId, int rung)>;

  // `seed` initialises the random choices of the retry policy.
  SessionClient(event_base* base, std::unique_ptr<Transport> transport,
                std::vector<DirectorEndpoint> directors, RetryPolicy policy, std::uint64_t seed);
  ~SessionClient();
  SessionClient(const SessionClient&) = delete;
  SessionClient& operator=(const SessionClient&) = delete;

  // Requests a subscription. onEnd is called when a playing subscription ends without leave(), onRung when
  // its rung changes.
  RequestId subscribe(const SubscriptionRequest& request, OnResult onResult, OnEnd onEnd = {},
                      OnRung onRung = {});
  // Cancels a pending request, which is reported as cancelled, or ends a playing subscription.
  void leave(RequestId request);
  const Statistics& statistics() const { return core_.statistics(); }

 private:
  struct Subscription;
  struct AttemptLink;
  void executeActions();
  void open(const StartAttempt& attempt);
  void handleHello(AttemptLink& link, const std::string& director);
  void handleAnswer(AttemptLink& link, const session_api::AnswerMessage& answer);
  void handleLost(AttemptLink& link, bool unread);
  void drop(AttemptId attempt);
  void armTimer();
  static void onTimer(evutil_socket_t, short, void* self);

  std::unique_ptr<Transport> transport_;
  std::vector<DirectorEndpoint> directors_;
  Core core_;
  net::Event timer_;
  RequestId lastRequest_ = 0;
  std::map<RequestId, std::unique_ptr<Subscription>> subscriptions_;  // pending or playing
  std::map<AttemptId, std::unique_ptr<AttemptLink>> links_;
  std::vector<Action> actions_;                   // of the core, not yet executed
  std::vector<std::function<void()>> callbacks_;  // of the program, not yet called
};

}  // namespace lupinsill::client
