// The life of every request of one director, from the ask to its one answer and on to the end of what plays.
// No socket, no clock, no log: edges say what came in and hand over the time, and carry out the orders that
// come back. Whatever is decided about placing goes through the Decider; every answer to a player and every
// join to a media node leaves through this class, which keeps the six rules on both.
//
// Times are whole microseconds on one clock that never runs back. Nothing throws; an event for something
// that has ended is passed over, since edges may be late. Source: operators' brief, docs/design/director.md.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control.h"
#include "ledger/ledger.h"
#include "session/decider.h"
#include "session/guards.h"

namespace lupinsill::session {

using CallId = std::uint64_t;  // one ask on one player's socket; named by the edge, never used again
using JoinId = std::uint64_t;  // one join, named by the front, never used again

// What a player asks for. `idempotencyKey` names the ask: the same key again is the same ask (the answer to
// the first may have been lost), not another subscription. `viewer` names who watches.
struct PlayRequest {
  CallId callId = 0;
  std::string idempotencyKey;
  std::string viewer;
  std::string title;
  int roomType = 0;
  int party = -1;
  int firstCell = 0;
  int holders = 0;  // 0: nothing holds it
  int top = 0;
  Micros timeout = 0;  // the client timeout, from when the ask was sent
  // Whether the player says that this key was sent before: to this director, or to another, which alone knows
  // what became of it.
  enum class Repeat { no, here, elsewhere } repeat = Repeat::no;
  std::optional<Micros> length;
  std::optional<Micros> sinceFirstSent = std::nullopt;  // how long before this ask its key was first sent
};

// How the front is bounded, apart from the terms that the decider reads.
struct Limits {
  Micros grace = 0;           // rule 3
  Micros answerMargin = 0;    // answers leave so long before the client timeout
  Micros stallThreshold = 0;  // a gap between turns above it: asks may have waited in the socket so long
  Micros orphanTimeout = 0;   // an unsafe subscription whose player is gone waits so long for its return
  Micros keyRetention = 0;    // how long the key of an unsafe ask is remembered after its end
  std::size_t maxOpen = 0;    // asks not answered yet
  std::size_t maxKeys = 0;    // keys remembered
  bool keysStored = false;    // a store stands behind the ledger: intents wait for it
  std::size_t maxSubscriptions = 0;  // subscriptions held in all
  bool guardsEnabled = true;         // off only where the lab plants a fault behind the guards
  // Asks with less time left than this are throttled unheard; 0 leaves that to the decider alone.
  Micros minTimeLeft = 60'000;
};

enum class ThrottleReason { noRoom, busy, late, draining, unknownTitle };
enum class TerminateReason { mayHaveRun, ended, failed, elsewhere };
enum class EndReason { finished, nodeLost, directorDrains };
const char* nameOf(ThrottleReason why);
const char* nameOf(TerminateReason why);
const char* nameOf(EndReason why);

// Orders to the players' edge: an ask gets exactly one of the first three.
struct Playing {
  CallId callId;
  SubscriptionId sub;
  NodeId node;
  int rung;
};
struct Throttled {
  CallId callId;
  Micros retryAfter;  // 0: no advice
  ThrottleReason reason;
};
struct Terminated {
  CallId callId;
  TerminateReason reason;
};
struct RungChanged {
  CallId callId;
  int rung;
};
struct Ended {
  CallId callId;
  EndReason reason;
  Micros retryAfter;
};
// Orders to the media edge.
struct SetUp {
  JoinId join;
  SubscriptionId sub;
  NodeId node;
  int roomType;
  int rung;
  std::string title;
  std::string viewer;
  std::string idempotencyKey;  // the same over all joins of one ask: a node may know a repeat by it
  CallId callId;               // of the first that asked
  Micros until;                // the join is given up on then
};
struct ChangeRung {
  JoinId join;
  int rung;
};
struct TearDown {
  JoinId join;
};
// Give back a join that has not been written yet, as ended with Outcome::notSent; pass over one that has.
struct Withdraw {
  JoinId join;
};
struct StartListWatch {};

using Command = std::variant<Playing, Throttled, Terminated, RungChanged, Ended, SetUp, ChangeRung, TearDown,
                             Withdraw, StartListWatch>;

// Counters that only grow, but for the last three.
struct Statistics {
  std::uint64_t asks = 0, playing = 0, throttled = 0, terminated = 0, joins = 0, furtherJoins = 0;
  std::uint64_t repeated = 0;  // asks answered from an earlier one of the same key
  std::uint64_t doubted = 0;   // repeats answered for what a lost record may have said
  std::uint64_t late = 0;      // asks too old when they were read
  std::uint64_t stalls = 0;
  std::uint64_t withdrawnJoins = 0;  // joins withdrawn before they were written
  std::uint64_t ended = 0, nodeLost = 0, rungChanges = 0;
  std::array<std::uint64_t, ruleCount> held{};  // by a guard, by rule
  std::size_t open = 0, plays = 0, keys = 0;
};

class Front {
 public:
  Front(ControlSettings terms, Limits bounds, std::unique_ptr<Decider> decider);

  // What came in since the last turn, in the order in which it arrived.
  void submit(PlayRequest ask);
  // A subscription that was playing at `node` before this run began: it is owed no answer, only its end.
  JoinId adopt(PlayRequest ask, NodeId node);
  void leave(CallId callId);   // the player said that it leaves
  void closed(CallId callId);  // its socket closed; it may come back with the same key
  // The media edge asks as it is about to write a join; once told true it has left, and may run. False: it is
  // to be given back as ended with Outcome::notSent.
  bool mayWrite(Micros now, JoinId join);
  void joinStarted(JoinId join);
  void joinEnded(JoinId join, Outcome outcome, const LoadReport& report, bool finished = false);
  void measured(JoinId join, MeasurementKind reading, double value);
  void listUpdated(ListUpdate told);
  // What the ledger found at start, and how far its store has come since. See ledger/ledger.h.
  void recover(Micros now, const std::vector<ledger::Record>& records, bool whole) {
    ledger_.recover(now, records, whole);
  }
  void durable(ledger::Seq seq);
  // The store takes no more: unsafe asks are refused from here on, since a join of theirs would leave no
  // trace.
  void storeFailed() { storeFailed_ = true; }
  std::vector<ledger::Write> takeWrites() { return ledger_.takeWrites(); }
  void drain(bool on);  // throttles new asks; what plays goes on
  // A director that is going: whatever is asked, before or after this, has its answer by then.
  void setAnswerDeadline(Micros at);
  void endAll();  // tells every player that the director goes, and tears everything down

  // Decides on all of that at once and appends what is to be done, in order.
  void processTurn(Micros now, std::vector<Command>& orders);

  // When the next turn is due though nothing comes in.
  Micros due() const;
  Statistics statistics() const;
  bool draining() const { return draining_; }

  struct NodeStatus {  // of a node, for operators
    NodeId node;
    std::size_t waiting, plays;
  };
  std::vector<NodeStatus> nodeStatuses() const;

 private:
  struct Request;
  struct JoinOut {
    JoinId key = 0;
    Request* request = nullptr;
    NodeId node = 0;
    int number = 0;
    bool written = false;
    bool began = false;
    bool counted = false;  // by the guards
    Micros until = 0;
  };
  struct LineOf {
    CallId callId = 0;
    bool answered = false;
  };
  struct Request {
    SubscriptionId id = 0;
    PlayRequest ask;
    Micros deadline = 0;
    std::vector<LineOf> lines;
    bool unsafe = false;
    bool answered = false;    // the one answer has been decided
    bool mayHaveRun = false;  // of joins that have ended
    ledger::Digest key;       // of an unsafe ask
    bool lapsed = false;      // the decider was told that nobody waits
    int joins = 0;
    int rung = 0;
    JoinOut* out = nullptr;
    Micros orphanUntil = 0;
  };
  struct CameAsk {
    PlayRequest ask;
  };
  struct CameAdopted {
    PlayRequest ask;
    NodeId node;
    JoinId key;
  };
  struct CameLeave {
    CallId callId;
    bool closed;
  };
  struct CameEvent {
    Event event;
  };
  struct CameEnd {
    JoinId join;
    Outcome outcome;
    LoadReport report;
    bool finished;
  };
  struct CameBegan {
    JoinId join;
  };
  using Came = std::variant<CameAsk, CameAdopted, CameLeave, CameEvent, CameEnd, CameBegan>;

  void take(CameAsk& came);
  void take(CameAdopted& came);
  void take(CameLeave& came);
  void take(CameEvent& came);
  void take(CameEnd& came);
  void take(CameBegan& came);
  bool repeated(const PlayRequest& ask);
  SubscriptionInfo viewingOf(const Request& request) const;
  void act(const Action& action);
  void join(Request& request, NodeId node, Micros patience);
  void endBeforePlay(JoinOut& out, Outcome outcome, const LoadReport& report, bool tellEdge);
  void finishJoin(JoinOut& out, Outcome outcome, const LoadReport& report, bool settled, bool tellEdge);
  void timeOut(JoinOut& out);
  void hasten(Request& request, Micros deadline);
  void settle(Request& request);
  void lapse(Request& request);
  void endEverything();
  void answerPlaying(Request& request);
  void answerThrottled(Request& request, Micros retryAfter, ThrottleReason why);
  void answerTerminated(Request& request, TerminateReason why);
  void endLines(Request& request, EndReason why, Micros retryAfter);
  void remember(const Request& request, ledger::RecordState mark);
  void letGo(const SetUp& order, ledger::Seq seq);
  void giveUpUnrecorded();
  void forget(SubscriptionId sub);
  void lateOnes();
  Request* find(SubscriptionId sub);
  JoinOut* findJoin(JoinId key);
  static ledger::Digest keyOf(const PlayRequest& ask);
  void trip(Rule rule) { ++statistics_.held[static_cast<std::size_t>(rule)]; }

  ControlSettings terms_;
  Limits bounds_;
  std::unique_ptr<Decider> decider_;
  Guards guards_;
  Micros now_ = 0;
  Micros lastTurn_ = 0;
  Micros waited_ = 0;  // how long the asks of this turn may have lain in the socket
  bool draining_ = false;
  bool ending_ = false;
  Micros answerBy_ = 0;  // 0: at each ask's own time
  SubscriptionId nextSub_ = 0;
  JoinId nextJoin_ = 0;
  std::vector<Came> came_;
  std::vector<Event> events_;
  std::vector<Command>* orders_ = nullptr;
  std::map<SubscriptionId, std::unique_ptr<Request>> requests_;
  std::map<JoinId, std::unique_ptr<JoinOut>> joins_;
  std::map<CallId, SubscriptionId> lines_;
  std::map<ledger::Digest, SubscriptionId> byKey_;
  ledger::Ledger ledger_;
  RetryAfterSchedule retryAfterSchedule_;
  std::deque<std::pair<ledger::Seq, SetUp>> unrecorded_;  // joins whose intent is not on disk yet
  bool storeFailed_ = false;
  std::set<std::pair<Micros, SubscriptionId>> deadlines_;  // of asks, and of subscriptions without a player
  std::set<std::pair<Micros, JoinId>> timeouts_;
  std::multimap<Micros, std::int64_t> alarms_;
  Statistics statistics_;
};

}  // namespace lupinsill::session
