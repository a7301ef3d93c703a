// The interface of the module that decides where subscriptions join and at which rung. It performs no input
// or output: a director creates one Control, passes it all events since the last call in the order of their
// arrival, and carries out the returned actions in order.
//
// Times and durations are whole microseconds of one monotonic clock. Names that end in Kb are data rates; the
// rungs, links and uplinks of a deployment are stated in the same unit. "Use" is the data rate asked of a
// link or uplink divided by its capacity.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lupinsill {

using Micros = std::int64_t;
using SubscriptionId = std::uint64_t;
using NodeId = std::uint32_t;

// Whether a join that may have run can be repeated: on any node, within the group and window of the room type
// (an idempotency key makes it take effect once), or never.
enum class Effect { repeatable, byKey, once };
// The nodes among which joins with the same idempotency key take effect once: all, or those of one zone or
// cell.
enum class Group { all, zone, cell };
// How a join or a playing subscription ended. With full, connectFailed and notSent it cannot have run.
enum class Outcome { ok, error, full, timeout, connectFailed, reset, cancelled, notSent };
enum class NodeState { ready, draining, gone };
// What a list update contains: changed entries, the whole list, the whole list as stored before a restart, or
// nothing because the list could not be obtained.
enum class ListKind { changes, snapshot, cachedSnapshot, lost };
// What a playing subscription measures: the share of its data rate that it receives, its rung, and the use of
// its node's link and uplink.
enum class MeasurementKind { delivered, rung, link, uplink };

struct RoomType {
  Effect effect = Effect::repeatable;
  Group group = Group::all;
  Micros window = 0;  // how long a join by key may be repeated
  Micros joinObjective = 0;
  double benefit = 1;
  double rateFactor = 1;  // data rate relative to the ladder
  int floor = 0;          // lowest rung
  int top = 0;            // highest rung
  int seats = 0;          // joins allowed at the same time per title; 0: unlimited
};

// Joins after the first of a subscription are allowed up to minRetries plus a share of the requests in the
// window.
struct RetryBudget {
  int minRetries = 0;
  double share = 0;
  Micros window = 0;
};

// The settings of a deployment that affect decisions.
struct ControlSettings {
  std::vector<RoomType> roomTypes;
  std::vector<double> quotaPerSecond;  // requests of each tenant, over all directors
  std::vector<double> ladderKb;        // data rate of each rung, rising
  std::vector<double> rungBenefit;     // of each rung, for a room type of benefit 1
  std::vector<int> slotsByKind;        // subscriptions that a node of each kind can serve
  std::optional<RetryBudget> retryBudget;
  std::string zone;
  int directors = 1;
  int ordinal = 0;  // of this director, from 0
  int cells = 0;
  int racks = 0;  // a node's rack is its cell modulo this; 0: unknown
  int maxJoins = 1;
  double weightKb = 0;          // link capacity of a node of weight 1
  double totalLinkKb = 0;       // link capacity of all nodes together; 0: unknown
  double rackUplinkKb = 0;      // capacity of each uplink
  double refusalThreshold = 0;  // link use from which nodes refuse joins as full; 0: unknown
  double startCapacity = 1;     // part of its capacity that a node has when it becomes ready
  // A cold node bears this multiple of the set-ups that would fill its start capacity once in the cold time.
  double overloadFactor = 1;
  double switchSeconds = 0;  // cost of a rung change, in seconds of benefit
  Micros coldTime = 0;       // after readyAt, in which a node warms up to its full capacity
  Micros fallTime = 0;       // window in which the set-ups of a cold node are compared with what it bears
  Micros seenAfter = 0;      // delay of measurements
  Micros reportInterval = 0;
  Micros maxRetryAfter = 0;
  bool retryAfter = false;       // whether throttled viewers may be told when to retry
  bool cancelling = false;       // whether joins can be cancelled
  bool listOnRequest = false;    // whether the list is sent only after WatchList
  bool uplinksReported = false;  // whether each measurement of a link is followed by one of its uplink

  // At least 1. For an unknown kind, the smallest number that any kind has.
  int slotsOf(int kind) const;
};

struct ListEntry {
  NodeId node = 0;
  NodeState state = NodeState::ready;
  int kind = 0;       // index in slotsByKind
  double weight = 1;  // link capacity in multiples of weightKb
  int cell = 0;
  Micros readyAt = 0;  // when its process became ready; the node is cold for the cold time after it
  std::string zone;
};

// ---- Events ----

struct ListUpdate {
  ListKind kind = ListKind::changes;
  std::vector<ListEntry> entries;
};

struct SubscriptionInfo {
  SubscriptionId sub = 0;
  std::string title;
  std::string viewer;
  int roomType = 0;
  int party = -1;     // index of the tenant in quotaPerSecond; -1: none
  int firstCell = 0;  // the title is held by this cell and the following ones, as many as holders
  int holders = 0;
  int top = 0;                   // highest rung that the viewer can play
  Micros deadline = 0;           // when the client timeout ends
  std::optional<Micros> length;  // how long it will play, if known
  bool moved = false;            // the viewer's subscription broke elsewhere: it has the reconnect grace
};

struct SubscriptionRequested {
  SubscriptionInfo viewing;
};

// A subscription that already plays on a node, for example after a restart of the director.
struct SubscriptionAdopted {
  SubscriptionInfo viewing;
  NodeId node = 0;
};

struct JoinStarted {
  SubscriptionId sub = 0;
  int join = 0;  // counted from 0 for each subscription
};

struct MeasurementReported {
  SubscriptionId sub = 0;
  NodeId node = 0;
  MeasurementKind reading = MeasurementKind::delivered;  // what `value` is
  double value = 0;
};

// The load of a media node as it reports it with an outcome.
struct LoadReport {
  std::optional<double> linkShare;  // use of the link, cut at 1
  std::optional<double> linkUse;    // use of the link; above 1 if more is asked than it carries
  std::optional<double> uplinkUse;
};

struct JoinEnded {
  SubscriptionId sub = 0;
  NodeId node = 0;
  int join = 0;
  Outcome outcome = Outcome::ok;
  bool settled = false;  // the subscription is over: no further join
  LoadReport report;
};

// The viewer has left or its client timeout has ended.
struct SubscriptionAbandoned {
  SubscriptionId sub = 0;
};

struct TimerFired {
  std::int64_t key = 0;
};

using Event = std::variant<ListUpdate, SubscriptionRequested, SubscriptionAdopted, JoinStarted,
                           MeasurementReported, JoinEnded, SubscriptionAbandoned, TimerFired>;

// ---- Actions ----

struct SetRung {
  SubscriptionId sub;
  int rung;
};

struct Join {
  SubscriptionId sub;
  NodeId node;
  Micros timeout;  // 0: until the client timeout
};

struct CancelJoin {
  SubscriptionId sub;
  int join;
};

// Rejects a request that the viewer may send again.
struct Throttle {
  SubscriptionId sub;
  Micros retryAfter;  // 0: the viewer is not told when
};

// Rejects a request that must not be sent again.
struct Terminate {
  SubscriptionId sub;
};

struct SetTimer {
  std::int64_t key;
  Micros span;  // from now
};

// Requests the node list and its further updates.
struct WatchList {};

// Chooses the retry delays that throttled viewers are told, for this module and for the session front. Guards
// against viewers that are throttled together and return together: the delays are spread evenly from half to
// one and a half times their mean. The sequence is deterministic.
class RetryAfterSchedule {
 public:
  explicit RetryAfterSchedule(const ControlSettings& settings);
  // Returns 0 if the deployment does not allow retry delays.
  Micros next();

 private:
  Micros mean_ = 0;
  double phase_ = 0;  // position in the range of delays, from 0 to 1
};

using Action = std::variant<SetRung, Join, CancelJoin, Throttle, Terminate, SetTimer, WatchList>;

// Decides for one director. Decisions depend only on the settings, the seed and the events. Not thread-safe.
class Control {
 public:
  Control(ControlSettings settings, std::uint64_t seed);
  ~Control();
  Control(Control&&) noexcept;
  Control& operator=(Control&&) noexcept;

  // Processes the events of one turn and appends the resulting actions. `now` must not decrease.
  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lupinsill
