// Subscriptions for C++ programs, over the core and a transport (websocket/transport.h, grpc/transport.h):
// asks, hears, and never decides on a retry itself. One libevent base, no thread; callbacks come from the
// base's loop, never from within a call of this class. Times are whole microseconds. A wish gets exactly one
// result; one that plays then gets exactly one end. Source: docs/protocol. Not to be moved while its base
// runs.
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

struct SubscriptionRequest {
  std::string viewer;
  std::string title;
  std::string room;
  bool unsafe = false;  // a room type that must not be set up twice
  int top = 1000;
  Micros timeout = 5'000'000;
  Micros length = 0;  // 0: not known
};

struct SubscriptionResult {
  Result result = Result::unreachable;
  std::string reason;  // of the director's last answer, where there was one
  std::string subscription, node, ticket;
  int rung = 0;
  Micros retryAfter = 0;
};

class SessionClient {
 public:
  using OnResult = std::function<void(RequestId, const SubscriptionResult&)>;
  using OnEnd = std::function<void(RequestId, const std::string& reason, Micros comeBackAfter)>;
  using OnRung = std::function<void(RequestId, int rung)>;

  SessionClient(event_base* base, std::unique_ptr<Transport> transport,
                std::vector<DirectorEndpoint> directors, RetryPolicy manners, std::uint64_t seed);
  ~SessionClient();
  SessionClient(const SessionClient&) = delete;
  SessionClient& operator=(const SessionClient&) = delete;

  RequestId subscribe(const SubscriptionRequest& want, OnResult onResult, OnEnd onEnd = {},
                      OnRung onRung = {});
  void leave(RequestId wish);  // gives up a wish, or ends what plays
  const Statistics& statistics() const { return core_.statistics(); }

 private:
  struct Wished;
  struct Line;
  void carry();
  void open(const StartAttempt& attempt);
  void hello(Line& line, const std::string& director);
  void heard(Line& line, const session_api::AnswerMessage& answer);
  void lost(Line& line, bool unread);
  void drop(AttemptId attempt);
  void arm();
  static void onTimer(evutil_socket_t, short, void* me);

  std::unique_ptr<Transport> transport_;
  std::vector<DirectorEndpoint> directors_;
  Core core_;
  net::Event timer_;
  RequestId next_ = 0;
  std::map<RequestId, std::unique_ptr<Wished>> wishes_;
  std::map<AttemptId, std::unique_ptr<Line>> lines_;
  std::vector<Action> acts_;
  std::vector<std::function<void()>> calls_;  // of the program, made from the loop
};

}  // namespace lupinsill::client
