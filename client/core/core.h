// When a client asks again, where, how long it waits and when it gives up: the one piece that decides this
// for every library, so that no library has a retry loop of its own. No I/O, no clock, no thread: events and
// the time come in, acts go out. Times are whole microseconds on the caller's clock; nothing throws.
//
// What it keeps, whatever comes in and in whatever order:
//  1. Each wish gets exactly one result, by its timeout at the latest; what is given up on is told at once.
//  2. At most one try of a wish is out.
//  3. All tries of a wish carry the same key. Once a try of an unsafe wish may have been taken, further tries
//     go to that director only, until it answers or proves that it never read it: directors share nothing,
//     and only that one knows the key.
//  4. No try leaves before the time that the last answer asked to wait.
//  5. Tries beyond a wish's first stay within the budget: in any window, a few and a share of first tries.
//  6. Directors of the own building come first; one that fails is left alone for a while, longer each time.
//     Where all of them are, a wish's first try is still made, and no further one.
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

struct DirectorEndpoint {
  std::string address;  // host:port, as the transport reads it
  std::string zone;
};

// How a client behaves; the defaults suit an app that a person waits in front of.
struct RetryPolicy {
  std::string zone;             // its own
  Micros minBackoff = 100'000;  // the first wait where nobody said how long; doubles
  Micros maxBackoff = 16'000'000;
  int minRetries = 3;        // tries beyond the first, in a window
  double budgetShare = 0.2;  // and this share of first tries
  Micros budgetWindow = 10'000'000;
  Micros minEjection = 500'000;  // a director that failed; doubles each time
  Micros maxEjection = 30'000'000;
  Micros attemptTimeout =
      3'000'000;        // a try that is unsent, or safe and unanswered, is given up on after this
  int maxAttempts = 6;  // of one wish
};

struct Request {
  RequestId id = 0;
  std::string key;      // unique to the wish
  bool unsafe = false;  // must not be set up twice
  Micros timeout = 0;   // shared by all its tries
};

enum class Answer {
  playing,
  throttled,
  terminated,
  wrong,  // it names what is not there: nothing was taken, and asking again would not help
};
enum class Result {
  playing,
  throttled,    // asking anew does no harm: nothing ran, or the wish was a safe one; see comeBackAfter
  terminated,   // the director said so, or the wish names what is not there
  unknown,      // unsafe, and may have run: ask the viewer before paying again
  unreachable,  // no director took the ask; nothing ran
  cancelled,
};
const char* nameOf(Result result);

// Acts.
struct StartAttempt {  // ask `director` (place in the list) for `wish`
  RequestId request;
  AttemptId attempt;
  std::size_t director;
  std::string key;
  Micros timeLeft;
};
struct AbandonAttempt {  // close what belongs to this try; its answer is of no use any more
  AttemptId attempt;
};
struct ReportResult {  // the wish's one result
  RequestId request;
  Result result;
  std::size_t director;  // that answered, where one did
  Micros retryAfter;     // 0: at will
};
using Action = std::variant<StartAttempt, AbandonAttempt, ReportResult>;

struct Statistics {
  std::uint64_t requests = 0, attempts = 0, retries = 0, budgetRefused = 0, ejections = 0;
};

// What an ask carries besides the wish itself (docs/protocol). A key is for one director; one that throttled
// is done with it, and the next gets a key of its own.
struct SendParameters {
  std::string key;
  std::string previousDirector;          // the director the key was sent to before; empty: none
  std::optional<Micros> sinceFirstSent;  // how long ago that was first
  Micros timeLeft = 0;                   // of the wish
};

class Core {
 public:
  Core(std::vector<DirectorEndpoint> directors, RetryPolicy manners, std::uint64_t seed);

  void submit(Micros now, const Request& wish, std::vector<Action>& acts);
  void cancel(Micros now, RequestId wish, std::vector<Action>& acts);
  // The connection stands and names its director: what the ask has to say of itself. From now on it may be
  // taken. Empty key: the try is over, and nothing is to be sent.
  SendParameters beginSend(Micros now, AttemptId attempt, const std::string& director);
  // The try ended without an answer: never sent (no connection), or lost after sending. `unread`: the other
  // side has proved that it never read the ask (RFC 9113: a stream over GOAWAY's last one, or
  // REFUSED_STREAM).
  void failed(Micros now, AttemptId attempt, std::vector<Action>& acts, bool unread = false);
  void answered(Micros now, AttemptId attempt, Answer answer, Micros retryAfter, bool directorDrains,
                std::vector<Action>& acts);
  void tick(Micros now, std::vector<Action>& acts);
  // When to tick though nothing happens; the largest time where nothing is due.
  Micros due() const;
  const Statistics& statistics() const { return statistics_; }

 private:
  enum class State { waiting, trying };
  struct Held {
    Request wish;
    State state = State::waiting;
    Micros endsAt = 0;
    Micros wakeAt = 0;  // waiting: when to try; trying: when to give this try up
    Micros notBefore = 0;
    AttemptId attempt = 0;
    std::size_t director = 0;
    std::string bound;         // the director that may have taken it, by address; empty: none
    std::string boundBefore;   // this try
    std::string keySent;       // for the director below
    std::string sentTo;        // the name of the one that may know the key; empty: none
    std::string sentToBefore;  // this try
    Micros firstSentAt = 0;
    bool sentNow = false;  // this try
    int tries = 0;
    int waits = 0;
    bool sentOnce = false;
  };
  struct Known {
    DirectorEndpoint at;
    Micros shunUntil = 0;
    int failures = 0;
  };
  void go(Micros now, Held& held, std::vector<Action>& acts);
  void wait(Micros now, Held& held, Micros least, std::vector<Action>& acts);
  void end(Held& held, Result result, std::size_t director, Micros comeBack, std::vector<Action>& acts);
  Result lastWord(const Held& held) const;
  bool choose(Micros now, const Held& held, std::size_t& director, Micros& freeAt);
  bool spend(Micros now);
  void shun(Micros now, std::size_t director, Micros least);
  Held* byTry(AttemptId attempt);
  Micros jitter(Micros most);
  void note(Held& held, Micros at);

  RetryPolicy manners_;
  std::minstd_rand chance_;
  std::vector<Known> directors_;
  std::map<RequestId, Held> held_;
  std::map<AttemptId, RequestId> tries_;
  std::multimap<Micros, RequestId> due_;
  std::deque<Micros> firsts_;
  std::deque<Micros> furthers_;
  AttemptId next_ = 0;
  Statistics statistics_;
};

}  // namespace lupinsill::client
