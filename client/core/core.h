// The retry policy of every client library: which director to use for a request, when to retry, how long to
// back off and when to give up. The libraries have no retry loop of their own. The class does no I/O, reads
// no clock and starts no thread: the caller passes in events with the current time and executes the returned
// actions. Times are whole microseconds on the caller's monotonic clock. Nothing throws.
//
// Guarantees, for any events in any order:
//  1. Each request gets exactly one result, at its timeout at the latest. A request that is given up earlier
//     is reported immediately.
//  2. At most one attempt of a request is in flight.
//  3. All attempts of a request carry the same key. Once a director may have accepted an attempt of an unsafe
//     request, the request is pinned: retries go to that director only, until it answers or proves that it
//     never read the attempt. Directors share no state, so only that director can recognise the key.
//  4. No attempt starts before the delay requested by the last answer has passed.
//  5. Retries stay within the retry budget: in any window, a fixed number plus a share of the first attempts.
//  6. Directors in the client's own zone are preferred. A director that fails is ejected for a while, longer
//     after each consecutive failure. While all directors are ejected, first attempts are still made, but no
//     retries.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace lupinsill::client {

using Micros = std::int64_t;
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

// Where a director listens.
struct DirectorEndpoint {
  std::string address;  // host:port, in the form that the transport accepts
  std::string zone;
};

// Retry settings of a client. The defaults suit an interactive application, whose user waits for the result.
struct RetryPolicy {
  std::string zone;             // of the client; directors in it are preferred
  Micros minBackoff = 100'000;  // limit of the first random backoff; doubles with each backoff
  Micros maxBackoff = 16'000'000;
  int minRetries = 3;                // retry budget: retries that are always allowed within the window
  double budgetShare = 0.2;          // retry budget: further retries, as a share of first attempts
  Micros budgetWindow = 10'000'000;  // sliding window over which the retry budget is counted
  Micros minEjection = 500'000;      // ejection after a first failure; doubles with each consecutive one
  Micros maxEjection = 30'000'000;
  Micros attemptTimeout = 3'000'000;  // limit for an attempt that is unsent, or safe and unanswered
  int maxAttempts = 6;                // per request, including the first attempt
};

// A request for one subscription, as far as retries are concerned.
struct Request {
  RequestId id = 0;
  std::string key;      // idempotency key, unique to the request
  bool unsafe = false;  // must not be executed twice
  Micros timeout = 0;   // shared by all attempts
};

// What a director answered to an attempt.
enum class Answer {
  playing,
  throttled,
  terminated,
  wrong,  // the request names something that does not exist: nothing was executed, and a retry cannot succeed
};
// The outcome of a request.
enum class Result {
  playing,
  throttled,    // a new request is harmless: nothing was executed, or the request is safe; see retryAfter
  terminated,   // refused by the director, or the request names something that does not exist
  unknown,      // unsafe and possibly executed: let the viewer confirm before charging again
  unreachable,  // no director received the request; nothing was executed
  cancelled,
};
// The result's name, as used in result files and logs.
const char* nameOf(Result result);

// Actions that the caller has to execute.

// Send the request to a director.
struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  std::size_t director;  // index into the director list
  std::string key;
  Micros timeLeft;  // until the deadline of the request
};
// Release everything that belongs to the attempt; its answer is no longer needed.
struct AbandonAttempt {
  AttemptId attempt;
};
// Report the one result of the request to the program.
struct ReportResult {
  RequestId request;
  Result result;
  std::size_t director;  // index of the director that answered, if one did
  Micros retryAfter;     // how long to wait before a new request; 0: not at all
};
using Action = std::variant<StartAttempt, AbandonAttempt, ReportResult>;

// Counters since the creation of the core.
struct Statistics {
  // budgetRefused: retries that were not made because the retry budget was exhausted.
  std::uint64_t requests = 0, attempts = 0, retries = 0, budgetRefused = 0, ejections = 0;
};

// What a message to a director carries besides the request itself. A key is valid at one director only: after
// a director has throttled the request, the next director receives a new key.
struct SendParameters {
  std::string key;
  std::string previousDirector;          // name of the director that the key was sent to before; empty: none
  std::optional<Micros> sinceFirstSent;  // time since the key was first sent
  Micros timeLeft = 0;                   // until the deadline of the request
};

// Decides on the attempts of all requests of one client. Every event appends the resulting actions to
// `actions`.
class Core {
 public:
  // `seed` initialises the random choices: the same seed and events give the same actions.
  Core(std::vector<DirectorEndpoint> directors, RetryPolicy policy, std::uint64_t seed);

  // Starts a request. An id that is already in use is ignored.
  void submit(Micros now, const Request& request, std::vector<Action>& actions);
  // Gives up a request; it is reported as cancelled.
  void cancel(Micros now, RequestId request, std::vector<Action>& actions);
  // The connection of the attempt is established and the director has named itself. Returns what the message
  // has to carry; from this call on the director may accept the attempt. An empty key means that nothing must
  // be sent: the attempt has ended, or was sent already.
  SendParameters beginSend(Micros now, AttemptId attempt, const std::string& director);
  // The attempt ended without an answer: it was never sent, or its connection was lost afterwards. `unread`:
  // the peer proved that it did not read the message (RFC 9113: a stream above the last one in GOAWAY, or
  // REFUSED_STREAM).
  void failed(Micros now, AttemptId attempt, std::vector<Action>& actions, bool unread = false);
  // A director answered the attempt. `retryAfter` is the delay that it requested; `directorDrains` says that
  // it is shutting down.
  void answered(Micros now, AttemptId attempt, Answer answer, Micros retryAfter, bool directorDrains,
                std::vector<Action>& actions);
  // Executes everything that is due at `now`.
  void tick(Micros now, std::vector<Action>& actions);
  // When tick has to be called next if no event occurs before; the largest time if nothing is scheduled.
  Micros due() const;
  const Statistics& statistics() const { return statistics_; }

 private:
  enum class State { waiting, attempting };
  struct PendingRequest {
    Request request;
    State state = State::waiting;
    Micros deadline = 0;
    Micros wakeAt = 0;  // waiting: start of the next attempt; attempting: time-out of the attempt; 0: none
    Micros notBefore = 0;
    AttemptId attempt = 0;     // the current or last one
    std::size_t director = 0;  // of that attempt
    // Address of the director that may have accepted the unsafe request; empty: not pinned.
    std::string pinnedAddress;
    std::string pinnedBefore;       // pinnedAddress before the current attempt
    std::string sentKey;            // the key as sent to keyDirector
    std::string keyDirector;        // name of the director that may know sentKey; empty: none
    std::string keyDirectorBefore;  // keyDirector before the current attempt
    Micros firstSentAt = 0;         // of sentKey
    bool attemptSent = false;       // the current attempt was sent
    int attempts = 0;
    int backoffs = 0;
    bool everSent = false;  // any attempt was sent
  };
  struct DirectorState {
    DirectorEndpoint endpoint;
    Micros ejectedUntil = 0;
    int consecutiveFailures = 0;
  };
  // Starts the next attempt, schedules it, or ends the request if no attempt is possible.
  void proceed(Micros now, PendingRequest& pending, std::vector<Action>& actions);
  // Schedules a retry after `minDelay` plus a random backoff, or ends the request if that is too late.
  void backOff(Micros now, PendingRequest& pending, Micros minDelay, std::vector<Action>& actions);
  // Reports the result and removes `pending`.
  void finish(PendingRequest& pending, Result result, std::size_t director, Micros retryAfter,
              std::vector<Action>& actions);
  // The result of a request that ends without a final answer.
  Result resultWithoutAnswer(const PendingRequest& pending) const;
  // Sets `director`. Returns false if no director is available now; then sets `availableAt` to the time from
  // which one is.
  bool pickDirector(Micros now, const PendingRequest& pending, std::size_t& director, Micros& availableAt);
  // Takes one retry from the retry budget; false if it is exhausted.
  bool takeRetry(Micros now);
  // Excludes the director from selection for at least `minSpan`.
  void eject(Micros now, std::size_t director, Micros minSpan);
  // Null if the attempt has ended.
  PendingRequest* findByAttempt(AttemptId attempt);
  // A random time in [0, span).
  Micros jitter(Micros span);
  // Schedules the request's next wake-up, in place of an earlier one.
  void wake(PendingRequest& pending, Micros at);

  RetryPolicy policy_;
  std::minstd_rand random_;
  std::vector<DirectorState> directors_;
  std::map<RequestId, PendingRequest> pending_;
  std::map<AttemptId, RequestId> attempts_;   // in flight
  std::multimap<Micros, RequestId> wakeUps_;  // may hold outdated entries; see wakeAt
  std::deque<Micros> firstAttemptTimes_;      // within the budget window
  std::deque<Micros> retryTimes_;             // within the budget window
  AttemptId lastAttempt_ = 0;
  Statistics statistics_;
};

}  // namespace lupinsill::client
