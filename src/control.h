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
using SubId = std::uint64_t;
using NodeId = std::uint32_t;

enum class Effect { repeatable, byKey, once };
enum class Group { all, zone, cell };
enum class Outcome { ok, error, full, timeout, connectFailed, reset, cancelled, moot };
enum class NodeState { ready, draining, gone };
enum class ListKind { changes, total, warmCopy, lost };
enum class Reading { delivered, rung, link, uplink };

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

struct FurtherJoins {
  int few = 0;
  double share = 0;
  Micros window = 0;
};

// What a deployment states at start, as far as the decisions read it.
struct Terms {
  std::vector<RoomType> roomTypes;
  std::vector<double> quotaPerSecond;  // of each tenant, over all directors
  std::vector<double> ladderKb;
  std::vector<double> rungBenefit;
  std::vector<int> placesByKind;
  std::optional<FurtherJoins> furtherJoins;
  std::string zone;
  int directors = 1;
  int ordinal = 0;
  int cells = 0;
  int racks = 0;
  int maxJoins = 1;
  double weightKb = 0;
  double allLinksKb = 0;
  double rackKb = 0;
  double refusesFrom = 0;
  double startCapacity = 1;
  double overloadFactor = 1;
  double switchSeconds = 0;
  Micros coldTime = 0;
  Micros fallTime = 0;
  Micros seenAfter = 0;
  Micros reportsEvery = 0;
  Micros maxRetryAfter = 0;
  bool retryAfter = false;
  bool cancelling = false;
  bool listOnRequest = false;
  bool uplinksReported = false;  // a note of the link is followed by one of its uplink

  int placesOf(int kind) const;  // 1 at least; of a kind that is not named, as few as any has
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

struct ListTold {
  ListKind kind = ListKind::changes;
  std::vector<ListEntry> entries;
};

struct Viewing {
  SubId sub = 0;
  std::string title;
  std::string viewer;
  int roomType = 0;
  int party = -1;
  int firstCell = 0;
  int holders = 0;
  int top = 0;
  Micros giveUpAt = 0;
  std::optional<Micros> length;
  bool moved = false;
};

struct Requested {
  Viewing viewing;
};

struct UnderWay {
  Viewing viewing;
  NodeId node = 0;
};

struct Began {
  SubId sub = 0;
  int join = 0;
};

struct Noted {
  SubId sub = 0;
  NodeId node = 0;
  Reading reading = Reading::delivered;
  double value = 0;
};

struct LoadReport {
  std::optional<double> linkShare;  // asked of the link, 1 at most
  std::optional<double> linkUse;    // asked over given
  std::optional<double> uplinkUse;
};

struct JoinEnded {
  SubId sub = 0;
  NodeId node = 0;
  int join = 0;
  Outcome outcome = Outcome::ok;
  bool settled = false;
  LoadReport report;
};

struct Lapsed {
  SubId sub = 0;
};

struct AlarmRang {
  std::int64_t key = 0;
};

using Event = std::variant<ListTold, Requested, UnderWay, Began, Noted, JoinEnded, Lapsed, AlarmRang>;

struct SetRung {
  SubId sub;
  int rung;
};

struct Join {
  SubId sub;
  NodeId node;
  Micros patience;  // 0: until the client timeout
};

struct CallOff {
  SubId sub;
  int join;
};

struct Throttle {
  SubId sub;
  Micros retryAfter;  // 0: no advice
};

struct Terminate {
  SubId sub;
};

struct SetAlarm {
  std::int64_t key;
  Micros span;
};

struct FollowList {};

// When a viewer that is turned away should come back, decided here for the module and for the front before
// it. Guards against a crowd throttled in one moment that is told to return in one moment: each next one is
// told another time, evenly spread over half to one and a half of the middle, the same on every run.
class ComeBack {
 public:
  explicit ComeBack(const Terms& terms);
  Micros next();  // 0: none may be told

 private:
  Micros middle_ = 0;
  double place_ = 0;
};

using Action = std::variant<SetRung, Join, CallOff, Throttle, Terminate, SetAlarm, FollowList>;

class Control {
 public:
  Control(Terms terms, std::uint64_t seed);
  ~Control();
  Control(Control&&) noexcept;
  Control& operator=(Control&&) noexcept;

  void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lupinsill
