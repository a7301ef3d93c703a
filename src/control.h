// The interface of the decision module: typed events in, typed actions out, no wire.
// A director makes one Control per instance with the terms it was handed, hands it all events that have come
// in since its last turn, in the order they arrived, and carries out the actions that come back in theirs.
// Times are whole microseconds on one clock.
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

enum class Effect { repeatable, byKey, once };
enum class Group { all, zone, cell };
enum class Outcome { ok, error, full, timeout, connectFailed, reset, cancelled, notSent };
enum class NodeState { ready, draining, gone };
enum class ListKind { changes, snapshot, cachedSnapshot, lost };
enum class MeasurementKind { delivered, rung, link, uplink };

struct RoomType {
  Effect effect = Effect::repeatable;
  Group group = Group::all;
  Micros window = 0;
  Micros joinObjective = 0;
  double benefit = 1;
  double rateFactor = 1;
  int floor = 0;
  int top = 0;
  int seats = 0;
};

struct RetryBudget {
  int minRetries = 0;
  double share = 0;
  Micros window = 0;
};

// What a deployment states at start, as far as the decisions read it.
struct ControlSettings {
  std::vector<RoomType> roomTypes;
  std::vector<double> quotaPerSecond;  // of each tenant, over all directors
  std::vector<double> ladderKb;
  std::vector<double> rungBenefit;
  std::vector<int> slotsByKind;
  std::optional<RetryBudget> retryBudget;
  std::string zone;
  int directors = 1;
  int ordinal = 0;
  int cells = 0;
  int racks = 0;
  int maxJoins = 1;
  double weightKb = 0;
  double totalLinkKb = 0;
  double rackUplinkKb = 0;
  double refusalThreshold = 0;
  double startCapacity = 1;
  double overloadFactor = 1;
  double switchSeconds = 0;
  Micros coldTime = 0;
  Micros fallTime = 0;
  Micros seenAfter = 0;
  Micros reportInterval = 0;
  Micros maxRetryAfter = 0;
  bool retryAfter = false;
  bool cancelling = false;
  bool listOnRequest = false;
  bool uplinksReported = false;  // a note of the link is followed by one of its uplink

  int slotsOf(int kind) const;  // 1 at least; of a kind that is not named, as few as any has
};

struct ListEntry {
  NodeId node = 0;
  NodeState state = NodeState::ready;
  int kind = 0;
  double weight = 1;
  int cell = 0;
  Micros readyAt = 0;
  std::string zone;
};

struct ListUpdate {
  ListKind kind = ListKind::changes;
  std::vector<ListEntry> entries;
};

struct SubscriptionInfo {
  SubscriptionId sub = 0;
  std::string title;
  std::string viewer;
  int roomType = 0;
  int party = -1;
  int firstCell = 0;
  int holders = 0;
  int top = 0;
  Micros deadline = 0;
  std::optional<Micros> length;
  bool moved = false;
};

struct SubscriptionRequested {
  SubscriptionInfo viewing;
};

struct SubscriptionAdopted {
  SubscriptionInfo viewing;
  NodeId node = 0;
};

struct JoinStarted {
  SubscriptionId sub = 0;
  int join = 0;
};

struct MeasurementReported {
  SubscriptionId sub = 0;
  NodeId node = 0;
  MeasurementKind reading = MeasurementKind::delivered;
  double value = 0;
};

struct LoadReport {
  std::optional<double> linkShare;  // asked of the link, 1 at most
  std::optional<double> linkUse;    // asked over given
  std::optional<double> uplinkUse;
};

struct JoinEnded {
  SubscriptionId sub = 0;
  NodeId node = 0;
  int join = 0;
  Outcome outcome = Outcome::ok;
  bool settled = false;
  LoadReport report;
};

struct SubscriptionAbandoned {
  SubscriptionId sub = 0;
};

struct TimerFired {
  std::int64_t key = 0;
};

using Event = std::variant<ListUpdate, SubscriptionRequested, SubscriptionAdopted, JoinStarted,
                           MeasurementReported, JoinEnded, SubscriptionAbandoned, TimerFired>;

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

struct Throttle {
  SubscriptionId sub;
  Micros retryAfter;  // 0: no advice
};

struct Terminate {
  SubscriptionId sub;
};

struct SetTimer {
  std::int64_t key;
  Micros span;
};

struct WatchList {};

// When a viewer that is turned away should come back, decided here for the module and for the front before
// it. Guards against a crowd throttled in one moment that is told to return in one moment: each next one is
// told another time, evenly spread over half to one and a half of the middle, the same on every run.
class RetryAfterSchedule {
 public:
  explicit RetryAfterSchedule(const ControlSettings& terms);
  Micros next();  // 0: none may be told

 private:
  Micros middle_ = 0;
  double place_ = 0;
};

using Action = std::variant<SetRung, Join, CancelJoin, Throttle, Terminate, SetTimer, WatchList>;

class Control {
 public:
  Control(ControlSettings terms, std::uint64_t seed);
  ~Control();
  Control(Control&&) noexcept;
  Control& operator=(Control&&) noexcept;

  void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lupinsill
