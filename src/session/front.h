// The session core of a director: tracks every play request from its arrival to its one answer, and every
// subscription until it ends.
//
// A request is called unsafe if its room type has an effect other than `repeatable`: setting it up twice does
// harm, for example by charging the viewer twice. Unsafe requests are deduplicated by their idempotency key.
//
// The core has no sockets, no clock and no log. The transports report what came in, call processTurn() with
// the current time and carry out the commands that it returns. All placement decisions are made by the
// Decider; all answers to players and all joins to media nodes are issued here, so the rules of guards.h hold
// for both.
//
// Times are whole microseconds on one monotonic clock. Nothing throws. Events for a call, join or
// subscription that has ended are ignored, because transports may report them late.
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

// One play request on one player's socket. Assigned by the transport and never reused.
using CallId = std::uint64_t;
// One join. Assigned by the front and never reused.
using JoinId = std::uint64_t;

// A player's request for a subscription.
struct PlayRequest {
  CallId callId = 0;
  // A request with the key of an earlier one is a repeat of it, for example because the first answer was
  // lost, and does not create another subscription if it is unsafe. Empty: the request has no key.
  std::string idempotencyKey;
  std::string viewer;
  std::string title;
  int roomType = 0;
  int party = -1;
  int firstCell = 0;
  int holders = 0;  // media nodes that hold the title; 0: unknown title
  int top = 0;
  Micros timeout = 0;  // the client timeout, counted from when the request was sent
  // Whether the player says that it has sent this key before, and if so whether to this director or to
  // another. Directors share no ledger, so only the director that got the first request knows its outcome.
  enum class Repeat { no, here, elsewhere } repeat = Repeat::no;
  std::optional<Micros> length;
  std::optional<Micros> sinceFirstSent = std::nullopt;  // time from the first send of the key to this request
};

// Limits of the front itself; the limits that the decider applies are in ControlSettings.
struct Limits {
  Micros grace = 0;           // joins may still go to a node this long after it was reported draining or gone
  Micros answerMargin = 0;    // answers leave this long before the client timeout
  Micros stallThreshold = 0;  // after a longer gap between turns, requests are assumed to have waited as long
  Micros orphanTimeout = 0;   // an unsafe subscription whose player has disconnected is kept for this long
  Micros keyRetention = 0;    // how long the ledger keeps the key of an unsafe request after its last update
  std::size_t maxOpen = 0;    // requests that are not answered yet
  std::size_t maxKeys = 0;    // keys in the ledger
  bool keysStored = false;    // the ledger has a store, so a join waits until its intent is on disk
  std::size_t maxSubscriptions = 0;  // subscriptions held, whether they wait or play
  // False only in lab runs that check whether faults of the decider are detected when no guard stops them.
  bool guardsEnabled = true;
  // Requests with less time left are throttled without asking the decider; 0 leaves this to the decider.
  Micros minTimeLeft = 60'000;
};

// Why a request was throttled; the player may send it again.
enum class ThrottleReason {
  noRoom,        // the decider found no place
  busy,          // a limit of the front is reached, or the store has failed
  late,          // too little time is left, or its deadline has passed
  draining,      // the director drains or shuts down
  unknownTitle,  // no media node holds the title
};
// Why a request was terminated; sending it again is pointless or unsafe.
enum class TerminateReason {
  mayHaveRun,  // a join of its key may have run
  ended,       // the subscription of its key played and has ended
  failed,      // the request is invalid, or the decider ended it
  elsewhere,   // another director received the key before, and this one cannot know the outcome
};
// Why a playing subscription ended.
enum class EndReason {
  finished,        // it reached its regular end
  nodeLost,        // the media node or the connection to it failed
  directorDrains,  // the director shuts down
};
// The names of the reasons in messages to players.
const char* nameOf(ThrottleReason reason);
const char* nameOf(TerminateReason reason);
const char* nameOf(EndReason reason);

// Commands to the player transport. Each request gets exactly one of Playing, Throttled and Terminated,
// unless its player leaves before. RungChanged and Ended follow only after Playing or for an adopted
// subscription.
// The subscription plays.
struct Playing {
  CallId callId;
  SubscriptionId sub;
  NodeId node;
  int rung;
  std::string answer;  // as given to Front::joinStarted()
};
// The request is rejected and may be sent again.
struct Throttled {
  CallId callId;
  Micros retryAfter;  // 0: no advice
  ThrottleReason reason;
};
// The request has failed for good.
struct Terminated {
  CallId callId;
  TerminateReason reason;
};
// The rung of a playing subscription has changed.
struct RungChanged {
  CallId callId;
  int rung;
};
// A playing subscription has ended.
struct Ended {
  CallId callId;
  EndReason reason;
  Micros retryAfter;  // 0: no advice
};

// Commands to the media transport.

// Send a join to a media node.
struct SetUp {
  JoinId join;
  SubscriptionId sub;
  NodeId node;
  int roomType;
  int rung;
  std::string title;
  std::string viewer;
  std::string idempotencyKey;  // the same for all joins of a subscription, so that a node can detect a repeat
  CallId callId;               // of the request that created the subscription
  Micros until;                // when the join times out
};
// Change the rung of a join that has been sent or that waits to be written.
struct ChangeRung {
  JoinId join;
  int rung;
};
// End a join, whether or not it was written or has started.
struct TearDown {
  JoinId join;
};
// Return a join that has not been written yet, as ended with Outcome::notSent; ignore one that has been
// written.
struct Withdraw {
  JoinId join;
};
// Watch the node list for changes.
struct StartListWatch {};

// What processTurn() returns for the transports to carry out.
using Command = std::variant<Playing, Throttled, Terminated, RungChanged, Ended, SetUp, ChangeRung, TearDown,
                             Withdraw, StartListWatch>;

// Counters since start, except for the last three members, which are current values.
struct Statistics {
  std::uint64_t asks = 0;              // requests received
  std::uint64_t playing = 0;           // answers of this kind
  std::uint64_t throttled = 0;         // answers of this kind
  std::uint64_t terminated = 0;        // answers of this kind
  std::uint64_t joins = 0;             // joins placed
  std::uint64_t furtherJoins = 0;      // those of them that were not the first of their subscription
  std::uint64_t repeated = 0;          // requests answered from an earlier request with the same key
  std::uint64_t uncertainRepeats = 0;  // repeats terminated because their record may have been lost
  std::uint64_t late = 0;              // requests throttled on arrival because too little time was left
  std::uint64_t stalls = 0;            // gaps between turns above Limits::stallThreshold
  std::uint64_t withdrawnJoins = 0;    // joins returned by the transport before they were written
  std::uint64_t ended = 0;             // playing subscriptions that ended at their media node
  std::uint64_t nodeLost = 0;          // those of them that did not reach their regular end
  std::uint64_t rungChanges = 0;       // while playing
  std::array<std::uint64_t, ruleCount> guardViolations{};  // by rule
  std::size_t open = 0;                                    // subscriptions that wait for their answer
  std::size_t plays = 0;                                   // subscriptions that play
  std::size_t keys = 0;                                    // keys in the ledger
};

// The state machine of one director. Single-threaded: one turn at a time, driven by the owner.
class Front {
 public:
  Front(ControlSettings settings, Limits limits, std::unique_ptr<Decider> decider);

  // Inbound events. All calls up to listUpdated() except mayWrite() take effect at the next turn, in order.

  void submit(PlayRequest request);
  // Takes over a subscription that was already playing at `node` when this process started. Its player gets
  // no answer, only the notice of its end.
  JoinId adopt(PlayRequest request, NodeId node);
  void leave(CallId callId);   // the player has asked to leave
  void closed(CallId callId);  // the player's socket has closed; the player may return with the same key
  // To be called by the media transport immediately before it writes a join; takes effect at once. If true,
  // the transport must write the join, which counts as possibly run from then on. If false, the transport
  // must not write it and must report it as ended with Outcome::notSent.
  bool mayWrite(Micros now, JoinId join);
  // The media node has confirmed that the join plays. `answer`: what the transport has to pass on to the
  // player with Playing, such as the node's description of the session.
  void joinStarted(JoinId join, std::string answer = {});
  // `finished`: a join that was playing has reached its regular end.
  void joinEnded(JoinId join, Outcome outcome, const LoadReport& report, bool finished = false);
  // A measurement of a playing join was reported.
  void measured(JoinId join, MeasurementKind kind, double value);
  void listUpdated(ListUpdate update);

  // The following calls take effect at once unless noted otherwise.

  // Loads the records found in the store at start; `complete` is false if the store was missing or damaged.
  // See Ledger::recover().
  void recover(Micros now, const std::vector<ledger::Record>& records, bool complete) {
    ledger_.recover(now, records, complete);
  }
  // The store has written everything up to this sequence number.
  void durable(ledger::Seq seq);
  // The store cannot write any more. Unsafe requests are throttled from now on, because their joins would
  // leave no record.
  void storeFailed() { storeFailed_ = true; }
  // Ledger changes that the store has to write.
  std::vector<ledger::Write> takeWrites() { return ledger_.takeWrites(); }
  // Throttles new requests while on; subscriptions that play continue.
  void drain(bool on);
  // Sets a deadline by which every request, present and future, is answered. For a director that shuts down.
  void setAnswerDeadline(Micros deadline);
  // Ends all subscriptions at the next turn and tells their players that the director shuts down.
  void endAll();

  // Processes all inbound events and expired deadlines, and appends the resulting commands in order.
  void processTurn(Micros now, std::vector<Command>& commands);

  // When the next turn is due if nothing comes in before.
  Micros due() const;
  Statistics statistics() const;
  bool draining() const { return draining_; }

  // Number of joins at a media node that wait to start, and of those that play; for operators.
  struct NodeStatus {
    NodeId node;
    std::size_t waiting, plays;
  };
  std::vector<NodeStatus> nodeStatuses() const;

 private:
  struct Subscription;
  // One join of a subscription to a media node, from the decision to its end.
  struct JoinAttempt {
    JoinId id = 0;
    Subscription* subscription = nullptr;
    NodeId node = 0;
    int number = 0;  // among the joins of the subscription, from 0
    bool written = false;
    bool started = false;          // the node has confirmed that it plays
    bool countedByGuards = false;  // holds a seat in the guards
    Micros deadline = 0;
    std::string answer;  // of a started join; empty once no further request can ask for it
  };
  // One request that waits for the subscription or watches it.
  struct Call {
    CallId id = 0;
    bool answered = false;
  };
  // A subscription, waiting or playing, with all requests that share its idempotency key.
  struct Subscription {
    SubscriptionId id = 0;
    PlayRequest request;  // the first one
    Micros deadline = 0;  // of the answer
    std::vector<Call> calls;
    bool unsafe = false;
    bool answered = false;    // the answer has been decided, or no player waits for it
    bool mayHaveRun = false;  // a join that has ended may have run; always true if adopted
    ledger::Digest key;       // set only if unsafe and the request has a key
    bool abandoned = false;   // no player waits any more
    int joinCount = 0;
    int rung = 0;
    JoinAttempt* attempt = nullptr;  // the current join
    Micros orphanDeadline = 0;       // 0: not orphaned
  };

  // Inbound events as they wait for the next turn.
  struct InboundRequest {
    PlayRequest request;
  };
  struct InboundAdoption {
    PlayRequest request;
    NodeId node;
    JoinId join;
  };
  struct InboundLeave {
    CallId callId;
    bool socketClosed;
  };
  struct InboundControlEvent {  // passed on to the decider
    Event event;
  };
  struct InboundJoinEnd {
    JoinId join;
    Outcome outcome;
    LoadReport report;
    bool finished;
  };
  struct InboundJoinStart {
    JoinId join;
    std::string answer;
  };
  using InboundEvent = std::variant<InboundRequest, InboundAdoption, InboundLeave, InboundControlEvent,
                                    InboundJoinEnd, InboundJoinStart>;

  void process(InboundRequest& inbound);
  void process(InboundAdoption& inbound);
  void process(InboundLeave& inbound);
  void process(InboundControlEvent& inbound);
  void process(InboundJoinEnd& inbound);
  void process(InboundJoinStart& inbound);
  // Handles the request if its key is known; returns false if it is to be treated as a new request.
  bool handleRepeat(const PlayRequest& request);
  SubscriptionInfo infoOf(const Subscription& subscription) const;
  void execute(const Action& action);
  void startJoin(Subscription& subscription, NodeId node, Micros timeout);
  void endUnstartedJoin(JoinAttempt& attempt, Outcome outcome, const LoadReport& report, bool sendTearDown);
  // Removes the join and tells the decider. `settled`: no further join may follow, and the subscription is
  // removed with it.
  void finishJoin(JoinAttempt& attempt, Outcome outcome, const LoadReport& report, bool settled,
                  bool sendTearDown);
  void timeOutJoin(JoinAttempt& attempt);
  void shortenDeadline(Subscription& subscription, Micros deadline);
  void markAnswered(Subscription& subscription);
  void abandon(Subscription& subscription);
  void endAllSubscriptions();
  void answerPlaying(Subscription& subscription);
  void answerThrottled(Subscription& subscription, Micros retryAfter, ThrottleReason reason);
  void answerTerminated(Subscription& subscription, TerminateReason reason);
  void notifyEnded(Subscription& subscription, EndReason reason, Micros retryAfter);
  void recordState(const Subscription& subscription, ledger::RecordState state);
  void sendOnceDurable(const SetUp& setUp, ledger::Seq seq);
  void cancelUnrecordedJoins();
  void removeSubscription(SubscriptionId sub);
  void expireDeadlines();
  Subscription* findSubscription(SubscriptionId sub);
  JoinAttempt* findAttempt(JoinId join);
  static ledger::Digest digestOfKey(const PlayRequest& request);
  void countViolation(Rule rule) { ++statistics_.guardViolations[static_cast<std::size_t>(rule)]; }

  ControlSettings settings_;
  Limits limits_;
  std::unique_ptr<Decider> decider_;
  Guards guards_;
  Micros now_ = 0;
  Micros lastTurn_ = 0;
  Micros stallTime_ = 0;  // how long the requests of this turn may have waited in their sockets
  bool draining_ = false;
  bool endAllRequested_ = false;
  Micros answerDeadline_ = 0;  // 0: none, each request has its own deadline only
  SubscriptionId lastSubscriptionId_ = 0;
  JoinId lastJoinId_ = 0;
  std::vector<InboundEvent> inboundEvents_;
  std::vector<Event> deciderEvents_;          // for the next call of the decider
  std::vector<Command>* commands_ = nullptr;  // of the current turn
  std::map<SubscriptionId, std::unique_ptr<Subscription>> subscriptions_;
  std::map<JoinId, std::unique_ptr<JoinAttempt>> attempts_;
  std::map<CallId, SubscriptionId> subscriptionByCall_;
  std::map<ledger::Digest, SubscriptionId> subscriptionByKey_;
  ledger::Ledger ledger_;
  RetryAfterSchedule retryAfterSchedule_;
  std::deque<std::pair<ledger::Seq, SetUp>> unrecordedJoins_;  // their intent is not on disk yet
  bool storeFailed_ = false;
  std::set<std::pair<Micros, SubscriptionId>> deadlines_;  // of answers and of orphaned subscriptions
  std::set<std::pair<Micros, JoinId>> joinDeadlines_;
  std::multimap<Micros, std::int64_t> timers_;  // set by the decider: when they fire, and their keys
  Statistics statistics_;
};

}  // namespace lupinsill::session
