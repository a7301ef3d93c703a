// Tests the session core (Front with its guards). First single cases with a scripted decider, then random
// sequences of events with the real decision module, where an independent checker verifies the rules on every
// command.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "session/front.h"

using namespace lupinsill;
using namespace lupinsill::session;

namespace {

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

// Room type 0 is safe to repeat; room type 1 is paid, takes effect once and has three seats per title.
ControlSettings settings() {
  ControlSettings controlSettings;
  RoomType clip, paid;
  clip.joinObjective = second;
  clip.top = 2;
  paid.effect = Effect::once;
  paid.joinObjective = 1500 * ms;
  paid.benefit = 3;
  paid.floor = 1;
  paid.top = 2;
  paid.seats = 3;
  controlSettings.roomTypes = {clip, paid};
  controlSettings.ladderKb = {100, 200, 400};
  controlSettings.rungBenefit = {0.3, 0.6, 1};
  controlSettings.slotsByKind = {20};
  controlSettings.cells = 4;
  controlSettings.racks = 2;
  controlSettings.maxJoins = 3;
  controlSettings.weightKb = 4000;
  controlSettings.totalLinkKb = 16000;
  controlSettings.rackUplinkKb = 6000;
  controlSettings.startCapacity = 0.4;
  controlSettings.overloadFactor = 3;
  controlSettings.coldTime = 8 * second;
  controlSettings.fallTime = 2 * second;
  controlSettings.seenAfter = 500 * ms;
  controlSettings.reportInterval = 2 * second;
  controlSettings.maxRetryAfter = 500 * ms;
  controlSettings.retryAfter = true;
  controlSettings.cancelling = true;
  controlSettings.retryBudget = RetryBudget{5, 0.2, 5 * second};
  return controlSettings;
}

Limits limits() {
  return {.grace = 800 * ms,
          .answerMargin = 200 * ms,
          .stallThreshold = 600 * ms,
          .orphanTimeout = 3 * second,
          .keyRetention = 60 * second,
          .maxOpen = 1000,
          .maxKeys = 1000,
          .keysStored = false,
          .maxSubscriptions = 1000,
          .guardsEnabled = true};
}

// Returns the actions that a test has set, and records the events it receives.
struct ScriptedDecider final : Decider {
  std::vector<Action> nextActions;
  std::vector<Event> events;
  void handle(Micros, const std::vector<Event>& newEvents, std::vector<Action>& actions) override {
    events.insert(events.end(), newEvents.begin(), newEvents.end());
    actions.insert(actions.end(), nextActions.begin(), nextActions.end());
    nextActions.clear();
  }
  int settledEnds() const {
    return static_cast<int>(std::count_if(events.begin(), events.end(), [](const Event& event) {
      const auto* end = std::get_if<JoinEnded>(&event);
      return end != nullptr && end->settled;
    }));
  }
};

struct FrontHarness {
  ScriptedDecider* decider;
  Front front;
  Micros now = 10 * second;
  std::vector<Command> commands;

  explicit FrontHarness(Limits frontLimits = limits(), const ControlSettings& controlSettings = settings())
      : FrontHarness(std::make_unique<ScriptedDecider>(), frontLimits, controlSettings) {}
  FrontHarness(std::unique_ptr<ScriptedDecider> ownDecider, Limits frontLimits,
               const ControlSettings& controlSettings = settings())
      : decider(ownDecider.get()), front(controlSettings, frontLimits, std::move(ownDecider)) {
    ListUpdate list{ListKind::snapshot, {}};
    for (NodeId n = 1; n <= 4; ++n)
      list.entries.push_back({n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, 0, "a"});
    front.listUpdated(list);
    turn();
  }
  void turn(Micros elapsed = 10 * ms) {
    now += elapsed;
    commands.clear();
    front.processTurn(now, commands);
  }
  void submit(CallId callId, const std::string& key, int room, const std::string& title = "t") {
    front.submit(
        {callId, key, "viewer", title, room, -1, 0, 4, 2, 3 * second, PlayRequest::Repeat::no, std::nullopt});
  }
  template <class T>
  const T* only() const {
    const T* found = nullptr;
    for (const Command& command : commands)
      if (const T* matching = std::get_if<T>(&command)) {
        REQUIRE(found == nullptr);
        found = matching;
      }
    return found;
  }
  // Submits a request and lets the decider join it at node 1. Returns its join.
  JoinId startJoin(CallId callId, const std::string& key, int room) {
    submit(callId, key, room);
    decider->nextActions = {SetRung{static_cast<SubscriptionId>(callId), 1},
                            Join{static_cast<SubscriptionId>(callId), 1, 0}};
    turn();
    const SetUp* setUp = only<SetUp>();
    REQUIRE(setUp != nullptr);
    return setUp->join;
  }
  std::uint64_t violations(Rule rule) const {
    return front.statistics().guardViolations[static_cast<std::size_t>(rule)];
  }
};

}  // namespace

TEST_CASE("A started join answers its request once, and its end ends the subscription") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 0);
  harness.front.mayWrite(harness.now, join);
  harness.front.joinStarted(join);
  harness.turn();
  REQUIRE(harness.only<Playing>() != nullptr);
  CHECK(harness.only<Playing>()->rung == 1);
  harness.front.joinStarted(join);  // reported twice
  harness.turn();
  CHECK(harness.commands.empty());
  harness.front.joinEnded(join, Outcome::ok, {}, true);
  harness.turn();
  REQUIRE(harness.only<Ended>() != nullptr);
  CHECK(harness.only<Ended>()->reason == EndReason::finished);
  CHECK(harness.front.statistics().plays == 0);
}

// Guards against an answer without its content: the content was kept beside the front and dropped at the
// join's end.
TEST_CASE("Playing carries the join's answer, also where the join ends in the same turn and to a repeat") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 1);
  harness.front.mayWrite(harness.now, join);
  harness.front.joinStarted(join, "description");
  SECTION("the join ends in the same turn") {
    const Outcome outcome = GENERATE(Outcome::ok, Outcome::reset, Outcome::cancelled);
    harness.front.joinEnded(join, outcome, {}, outcome == Outcome::ok);
    harness.turn();
    REQUIRE(harness.only<Ended>() != nullptr);
  }
  SECTION("a request with the same key comes later") {
    harness.turn();
    harness.submit(2, "k", 1);
    harness.turn();
  }
  REQUIRE(harness.only<Playing>() != nullptr);
  CHECK(harness.only<Playing>()->answer == "description");
}

TEST_CASE("A request for which the decider never decides is answered by the front at its deadline") {
  FrontHarness harness;
  harness.submit(1, "k", 0);
  for (int i = 0; i < 30; ++i) {
    harness.turn(100 * ms);
    if (harness.only<Throttled>() != nullptr) break;
  }
  REQUIRE(harness.only<Throttled>() != nullptr);
  CHECK(harness.now <= 10 * second + 3 * second);
  CHECK(harness.violations(Rule::oneAnswer) == 1);
}

TEST_CASE("A second join of a subscription is rejected and reported to the decider as not sent") {
  FrontHarness harness;
  harness.startJoin(1, "k", 0);
  harness.decider->events.clear();
  harness.decider->nextActions = {Join{1, 2, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  CHECK(harness.violations(Rule::oneJoin) == 1);
  const bool reported =
      std::any_of(harness.decider->events.begin(), harness.decider->events.end(), [](const Event& e) {
        const auto* ended = std::get_if<JoinEnded>(&e);
        return ended != nullptr && ended->outcome == Outcome::notSent && ended->node == 2;
      });
  CHECK(reported);
}

TEST_CASE("A paid request whose join may have run is neither joined again nor throttled") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 1);
  harness.front.mayWrite(harness.now, join);
  harness.front.joinEnded(join, Outcome::error, {});
  harness.decider->nextActions = {Join{1, 2, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  CHECK(harness.violations(Rule::onceOnly) == 1);
  harness.decider->nextActions = {Throttle{1, 0}};
  harness.turn();
  CHECK(harness.only<Throttled>() == nullptr);
  REQUIRE(harness.only<Terminated>() != nullptr);
  CHECK(harness.only<Terminated>()->reason == TerminateReason::mayHaveRun);
}

TEST_CASE("A paid request refused by its node may be joined again and throttled") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 1);
  harness.front.mayWrite(harness.now, join);
  harness.front.joinEnded(join, Outcome::full, {});
  harness.decider->nextActions = {Join{1, 2, 0}};
  harness.turn();
  REQUIRE(harness.only<SetUp>() != nullptr);
  harness.front.joinEnded(harness.only<SetUp>()->join, Outcome::connectFailed, {});
  harness.decider->nextActions = {Throttle{1, 7}};
  harness.turn();
  CHECK(harness.only<Throttled>() != nullptr);
  // Nothing has run, so the same key may be used again.
  harness.submit(2, "k", 1);
  harness.decider->nextActions = {Join{2, 3, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>() != nullptr);
}

TEST_CASE("A join that was never written ends as not run, however long it waited") {
  FrontHarness harness;
  harness.startJoin(1, "k", 1);
  harness.decider->events.clear();
  for (int i = 0; i < 32 && harness.only<TearDown>() == nullptr; ++i) harness.turn(100 * ms);
  const auto* ended = std::get_if<JoinEnded>(&harness.decider->events.front());
  REQUIRE(ended != nullptr);
  CHECK(ended->outcome == Outcome::connectFailed);
}

TEST_CASE("A join that waits for its connection or the store is withdrawn when its viewer leaves") {
  ControlSettings customSettings = settings();
  SECTION("written joins can be cancelled") {}
  SECTION("written joins can't be cancelled") { customSettings.cancelling = false; }
  const bool stored = GENERATE(false, true), closed = GENERATE(false, true);
  Limits custom = limits();
  custom.keysStored = stored;
  FrontHarness harness(custom, customSettings);
  harness.submit(1, "k", 1);
  harness.decider->nextActions = {SetRung{1, 1}, Join{1, 1, 0}};
  harness.turn();
  REQUIRE((harness.only<SetUp>() == nullptr) == stored);
  harness.decider->events.clear();
  closed ? harness.front.closed(1) : harness.front.leave(1);
  harness.turn();
  // Whichever becomes ready now, the connection or the store, no join may be written.
  CHECK(!harness.front.mayWrite(harness.now, 1));
  if (stored) harness.front.durable(1);
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  REQUIRE(!harness.decider->events.empty());
  CHECK(harness.decider->settledEnds() == 1);
  CHECK(harness.front.statistics().open == 0);
}

TEST_CASE("No join is placed for a viewer who leaves in the turn in which the join ends") {
  const Outcome outcome = GENERATE(Outcome::full, Outcome::connectFailed, Outcome::error);
  Front front(settings(), limits(), std::make_unique<ControlDecider>(settings(), 5));
  ListUpdate list{ListKind::snapshot, {}};
  for (NodeId n = 1; n <= 2; ++n)
    list.entries.push_back({n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, 0, "a"});
  front.listUpdated(list);
  std::vector<Command> commands;
  Micros now = 10 * second;
  const auto turn = [&] { front.processTurn(now += 10 * ms, commands); };
  const auto setUps = [&] {
    std::vector<SetUp> all;
    for (const Command& command : commands)
      if (const auto* setUp = std::get_if<SetUp>(&command)) all.push_back(*setUp);
    return all;
  };
  const auto submit = [&](CallId callId) {
    front.submit({callId, "k" + std::to_string(callId), "v", "t", 0, -1, 0, 2, 2, 3 * second,
                  PlayRequest::Repeat::no, std::nullopt});
  };
  turn();
  now += 20 * second;  // the nodes are neither new nor cold any more
  turn();
  submit(1);
  turn();
  REQUIRE(setUps().size() == 1);
  const SetUp first = setUps()[0];
  front.mayWrite(now, first.join);
  front.joinEnded(first.join, outcome, {});
  front.leave(1);
  commands.clear();
  turn();
  CHECK(setUps().empty());
  // A join that never ends would make the decider avoid its node for good. Later, both nodes must take joins
  // again.
  now += 40 * second;
  std::set<NodeId> used;
  for (CallId callId = 2; callId < 30; ++callId) {
    turn();
    commands.clear();
    submit(callId);
    turn();
    for (const SetUp& setUp : setUps()) {
      used.insert(setUp.node);
      front.mayWrite(now, setUp.join);
      front.joinStarted(setUp.join);
      turn();
      front.joinEnded(setUp.join, Outcome::ok, {}, true);
      turn();
    }
    now += second;
  }
  CHECK(used.size() == 2);
}

TEST_CASE("A drain withdraws a join that waits for its connection") {
  FrontHarness harness;
  const JoinId waiting = harness.startJoin(1, "k", 0);
  const JoinId written = harness.startJoin(2, "l", 0);
  harness.front.mayWrite(harness.now, written);
  harness.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
  harness.turn();
  REQUIRE(harness.only<Withdraw>() != nullptr);
  CHECK(harness.only<Withdraw>()->join == waiting);
  harness.front.joinEnded(waiting, Outcome::notSent, {});
  harness.decider->nextActions = {Join{1, 2, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>()->node == 2);
}

TEST_CASE("No join goes to a draining node after the grace period, whatever the decider says") {
  FrontHarness harness;
  harness.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
  harness.turn();
  harness.turn(500 * ms);
  harness.front.listUpdated(
      {ListKind::changes,
       {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});  // reported again: no new grace period
  harness.turn(400 * ms);
  harness.submit(1, "k", 0);
  harness.decider->nextActions = {Join{1, 1, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  CHECK(harness.violations(Rule::drain) == 1);
}

TEST_CASE("Guards enforce seats, floor, retry budget and cold node limit whatever the decider says") {
  FrontHarness harness;
  SECTION("seats") {
    for (CallId callId = 1; callId <= 4; ++callId) {
      harness.submit(callId, "k" + std::to_string(callId), 1);
      harness.decider->nextActions = {Join{callId, 1, 0}};
      harness.turn();
    }
    CHECK(harness.violations(Rule::seats) == 1);
  }
  SECTION("floor") {
    harness.submit(1, "k", 1);
    harness.decider->nextActions = {SetRung{1, 0}, Join{1, 1, 0}};
    harness.turn();
    REQUIRE(harness.only<SetUp>() != nullptr);
    CHECK(harness.only<SetUp>()->rung == 1);
    CHECK(harness.violations(Rule::floor) == 1);
  }
  SECTION("further joins") {
    for (CallId callId = 1; callId <= 8; ++callId) {
      const JoinId join = harness.startJoin(callId, "k", 0);
      harness.front.joinEnded(join, Outcome::full, {});
      harness.decider->nextActions = {Join{callId, 2, 0}};
      harness.turn();
    }
    // For eight requests the budget is five joins plus a fifth of eight, rounded down.
    CHECK(harness.violations(Rule::retryBudget) == 2);
  }
  SECTION("cold") {
    harness.front.listUpdated({ListKind::changes, {{1, NodeState::ready, 0, 1, 0, harness.now, "a"}}});
    for (CallId callId = 1; callId <= 10; ++callId) {
      harness.submit(callId, "k", 0);
      harness.decider->nextActions = {Join{callId, 1, 0}};
      harness.turn(1 * ms);
      if (const SetUp* setUp = harness.only<SetUp>()) harness.front.mayWrite(harness.now, setUp->join);
    }
    // 20 slots / 8 s cold time * 0.4 start capacity * 3 overload factor * 2 s fall time = 6 joins.
    CHECK(harness.violations(Rule::cold) == 4);
  }
}

TEST_CASE("A join is checked again when it is written: its node may have drained, left or restarted") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 0);
  SECTION("draining for longer than the grace period") {
    harness.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
    harness.turn();
    REQUIRE(harness.only<Withdraw>() != nullptr);
    CHECK_FALSE(harness.front.mayWrite(harness.now + 900 * ms, join));
    CHECK(harness.violations(Rule::drain) == 1);
  }
  SECTION("gone and its record removed") {
    harness.front.listUpdated({ListKind::changes, {{1, NodeState::gone, 0, 1, 0, 0, "a"}}});
    harness.turn();
    CHECK_FALSE(harness.front.mayWrite(harness.now + 20 * second, join));
  }
  SECTION("restarted, with more joins waiting than a cold node may get") {
    harness.front.listUpdated({ListKind::changes, {{1, NodeState::ready, 0, 1, 0, harness.now, "a"}}});
    harness.turn();
    std::vector<JoinId> waiting{join};
    for (CallId callId = 2; callId <= 10; ++callId) waiting.push_back(harness.startJoin(callId, "k", 0));
    CHECK(std::count_if(waiting.begin(), waiting.end(),
                        [&](JoinId id) { return harness.front.mayWrite(harness.now, id); }) == 6);
    CHECK(harness.violations(Rule::cold) == 4);
  }
  SECTION("unchanged") {
    CHECK(harness.front.mayWrite(harness.now, join));
    CHECK_FALSE(harness.front.mayWrite(harness.now, join + 1));
  }
}

TEST_CASE("An unknown room type is answered, and throttled requests get retry times that are spread out") {
  FrontHarness harness;
  harness.submit(1, "k", 2);
  harness.submit(2, "k", -1);
  harness.turn();
  CHECK(harness.commands.size() == 2);
  CHECK(std::holds_alternative<Terminated>(harness.commands.at(0)));
  harness.front.drain(true);
  for (CallId callId = 3; callId <= 22; ++callId) harness.submit(callId, "k", 0);
  harness.turn();
  std::set<Micros> retryTimes;  // in steps of 20 ms
  for (const Command& command : harness.commands)
    retryTimes.insert(std::get<Throttled>(command).retryAfter / (20 * ms));
  CHECK(retryTimes.size() >= 10);
  CHECK(*retryTimes.begin() > 0);
  CHECK(*retryTimes.rbegin() * 20 * ms <= 500 * ms);
}

TEST_CASE("A paid player whose socket closes during its join finds the join again by its key") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 1);
  harness.front.mayWrite(harness.now, join);
  harness.front.closed(1);
  harness.turn();
  CHECK(harness.commands.empty());
  SECTION("it waits") {
    harness.submit(2, "k", 1);
    harness.turn();
    CHECK(harness.only<SetUp>() == nullptr);
    SECTION("and starts") {
      harness.front.joinStarted(join);
      harness.turn();
      REQUIRE(harness.only<Playing>() != nullptr);
      CHECK(harness.only<Playing>()->callId == 2);
    }
    SECTION("and fails: the returned player gets an answer") {
      harness.front.joinEnded(join, Outcome::error, {});
      harness.decider->nextActions = {Terminate{1}};
      harness.turn();
      REQUIRE(harness.only<Terminated>() != nullptr);
      CHECK(harness.only<Terminated>()->callId == 2);
    }
    SECTION("and fails, and the decider does not decide: the front answers") {
      harness.front.joinEnded(join, Outcome::error, {});
      for (int i = 0; i < 40 && harness.only<Terminated>() == nullptr; ++i) harness.turn(100 * ms);
      CHECK(harness.only<Terminated>() != nullptr);
    }
  }
  SECTION("it plays") {
    harness.front.joinStarted(join);
    harness.turn();
    CHECK(harness.commands.empty());
    harness.submit(2, "k", 1);
    harness.turn();
    REQUIRE(harness.only<Playing>() != nullptr);
  }
  SECTION("it has failed: the repeat gets the outcome of the first request and no join") {
    harness.front.joinEnded(join, Outcome::reset, {});
    harness.turn();
    harness.submit(2, "k", 1);
    harness.turn();
    CHECK(harness.only<SetUp>() == nullptr);
    REQUIRE(harness.only<Terminated>() != nullptr);
    CHECK(harness.only<Terminated>()->reason == TerminateReason::mayHaveRun);
  }
  SECTION("the player does not return: it is torn down") {
    harness.front.joinStarted(join);
    int tearDowns = 0;
    for (int i = 0; i < 40; ++i) {
      harness.turn(100 * ms);
      if (harness.only<TearDown>() != nullptr) ++tearDowns;
    }
    CHECK(tearDowns == 1);
    CHECK(harness.front.statistics().plays == 0);
  }
}

TEST_CASE("Two simultaneous paid requests with the same key share one join and get an answer each") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 1);
  harness.submit(2, "k", 1);
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  harness.front.mayWrite(harness.now, join);
  harness.front.joinStarted(join);
  harness.turn();
  CHECK(harness.commands.size() == 2);
  CHECK(harness.front.statistics().repeated == 1);
}

TEST_CASE("A paid join is sent only once its intent is durable; if it ends before, it has not run") {
  Limits custom = limits();
  custom.keysStored = true;
  FrontHarness harness(std::make_unique<ScriptedDecider>(), custom);
  harness.submit(1, "k", 1);
  harness.decider->nextActions = {SetRung{1, 1}, Join{1, 1, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  const auto writes = harness.front.takeWrites();
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].record.state == ledger::RecordState::intent);
  SECTION("the intent becomes durable: it is sent") {
    harness.front.durable(writes[0].seq);
    harness.turn();
    REQUIRE(harness.only<SetUp>() != nullptr);
    harness.front.mayWrite(harness.now, harness.only<SetUp>()->join);
    harness.front.joinEnded(harness.only<SetUp>()->join, Outcome::full, {});
    harness.turn();
    REQUIRE(harness.front.takeWrites().at(0).record.state == ledger::RecordState::refused);
  }
  SECTION("its node drains first: it is never sent") {
    harness.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
    harness.turn();
    harness.front.durable(writes[0].seq);
    harness.turn();
    CHECK(harness.only<SetUp>() == nullptr);
  }
  SECTION("the store fails: the request is throttled in that turn and not at its deadline") {
    harness.decider->events.clear();
    harness.front.storeFailed();
    harness.turn();
    CHECK(harness.only<SetUp>() == nullptr);
    REQUIRE(harness.only<Throttled>() != nullptr);
    CHECK(harness.only<Throttled>()->retryAfter > 0);
    REQUIRE_FALSE(harness.decider->events.empty());
    CHECK(std::get<JoinEnded>(harness.decider->events.front()).settled);
  }
  SECTION("the store never answers: the request is throttled, as its join was provably not sent") {
    harness.decider->events.clear();
    for (int i = 0; i < 32 && harness.decider->events.empty(); ++i) harness.turn(100 * ms);
    CHECK(std::get<JoinEnded>(harness.decider->events.front()).outcome == Outcome::connectFailed);
    CHECK(harness.only<Throttled>() != nullptr);
    harness.front.storeFailed();
    harness.submit(2, "l", 1);
    harness.turn();
    CHECK(harness.only<Throttled>()->reason == ThrottleReason::busy);
  }
  SECTION("the process is killed: the next one answers the repeat as may have run, without a join") {
    FrontHarness next(std::make_unique<ScriptedDecider>(), custom);
    next.front.recover(next.now, {writes[0].record}, true);
    next.submit(1, "k", 1);
    next.turn();
    CHECK(next.only<SetUp>() == nullptr);
    REQUIRE(next.only<Terminated>() != nullptr);
    CHECK(next.only<Terminated>()->reason == TerminateReason::mayHaveRun);
  }
}

TEST_CASE("Declared repeats of a request to another director, or to this one after its ledger was lost") {
  FrontHarness harness;
  const auto submitPaid = [&](CallId callId, const std::string& key, PlayRequest::Repeat repeat) {
    harness.front.submit({callId, key, "viewer", "t", 1, -1, 0, 4, 2, 3 * second, repeat, std::nullopt});
    harness.turn();
    return harness.only<Terminated>();
  };
  REQUIRE(submitPaid(1, "a", PlayRequest::Repeat::elsewhere) != nullptr);
  CHECK(harness.only<Terminated>()->reason == TerminateReason::elsewhere);
  CHECK(submitPaid(2, "b", PlayRequest::Repeat::here) == nullptr);  // not known here, so it never ran
  harness.front.recover(harness.now, {}, false);
  REQUIRE(submitPaid(3, "c", PlayRequest::Repeat::here) != nullptr);
  CHECK(harness.only<Terminated>()->reason == TerminateReason::mayHaveRun);
  CHECK(submitPaid(4, "d", PlayRequest::Repeat::no) == nullptr);  // not declared as a repeat
}

TEST_CASE("After a stall a request counts as old as the stall") {
  FrontHarness harness;
  SECTION("too old for a join in time") {
    harness.submit(1, "k", 0);
    harness.turn(2900 * ms);
    REQUIRE(harness.only<Throttled>() != nullptr);
    CHECK(harness.only<Throttled>()->reason == ThrottleReason::late);
  }
  SECTION("still in time: the decider gets the earlier deadline") {
    harness.submit(1, "k", 0);
    harness.turn(1000 * ms);
    const auto* request = std::get_if<SubscriptionRequested>(&harness.decider->events.back());
    REQUIRE(request != nullptr);
    CHECK(request->viewing.deadline == harness.now + 3 * second - 200 * ms - 1000 * ms);
  }
}

TEST_CASE("Join starts read after a stall are processed before join time-outs") {
  FrontHarness harness;
  const JoinId join = harness.startJoin(1, "k", 1);
  harness.front.mayWrite(harness.now, join);
  harness.front.joinStarted(join);
  harness.turn(2750 * ms);
  CHECK(harness.only<Playing>() != nullptr);
}

TEST_CASE("A request over a limit or during a drain is throttled at once with a retry time") {
  Limits custom = limits();
  custom.maxOpen = 2;
  FrontHarness harness(std::make_unique<ScriptedDecider>(), custom);
  harness.submit(1, "k", 0);
  harness.submit(2, "l", 0);
  harness.submit(3, "m", 0);
  harness.turn();
  REQUIRE(harness.only<Throttled>() != nullptr);
  CHECK(harness.only<Throttled>()->reason == ThrottleReason::busy);
  CHECK(harness.only<Throttled>()->retryAfter > 0);
  harness.front.drain(true);
  harness.submit(4, "n", 0);
  harness.turn();
  CHECK(harness.only<Throttled>()->reason == ThrottleReason::draining);
}

TEST_CASE("At shutdown a director answers all requests and tears down all joins") {
  FrontHarness harness;
  const JoinId playing = harness.startJoin(1, "a", 0);
  harness.front.mayWrite(harness.now, playing);
  harness.front.joinStarted(playing);
  const JoinId paid = harness.startJoin(2, "b", 1);
  harness.front.mayWrite(harness.now, paid);
  harness.submit(3, "c", 0);
  harness.turn();
  harness.front.endAll();
  harness.turn();
  CHECK(harness.only<Ended>()->callId == 1);
  CHECK(harness.only<Terminated>()->callId == 2);
  CHECK(harness.only<Throttled>()->callId == 3);
  const auto tearDowns =
      std::count_if(harness.commands.begin(), harness.commands.end(),
                    [](const Command& command) { return std::holds_alternative<TearDown>(command); });
  CHECK(tearDowns == 2);
  CHECK(harness.front.statistics().open == 0);
}

namespace {

// Verifies the rules on the commands alone, without querying the front.
struct RuleChecker {
  struct JoinState {
    NodeId node;
    std::string key, title;
    int room;
    bool written = false, ended = false;
  };
  std::map<CallId, Micros> sentAt;
  std::map<CallId, std::string> keyOf;
  std::map<CallId, int> roomOf;
  std::map<CallId, int> answerCount;
  std::map<JoinId, JoinState> joins;
  std::map<std::string, int> mayHaveRun;  // by the key of a paid request
  std::map<NodeId, Micros> drainedAt;
  std::vector<std::string> violations;
  Micros lastTurn = 0;

  void check(Micros now, const std::vector<Command>& commands) {
    for (const Command& command : commands) {
      if (const auto* playing = std::get_if<Playing>(&command)) answer(now, playing->callId, false);
      if (const auto* throttled = std::get_if<Throttled>(&command)) answer(now, throttled->callId, true);
      if (const auto* terminated = std::get_if<Terminated>(&command)) answer(now, terminated->callId, false);
      if (const auto* tearDown = std::get_if<TearDown>(&command)) joins[tearDown->join].ended = true;
      if (const auto* newSetUp = std::get_if<SetUp>(&command)) setUp(now, *newSetUp);
    }
    lastTurn = now;
  }
  void answer(Micros now, CallId callId, bool throttled) {
    if (++answerCount[callId] > 1) violations.push_back("two answers");
    // After a stall beyond the client timeout, the first turn may answer late.
    if (now > sentAt[callId] + 3 * second && lastTurn > sentAt[callId] + 2800 * ms)
      violations.push_back("answered late");
    if (throttled && roomOf[callId] == 1 && mayHaveRun[keyOf[callId]] > 0)
      violations.push_back("throttled although it may have run: call " + std::to_string(callId) + ", key " +
                           keyOf[callId]);
  }
  void setUp(Micros now, const SetUp& newSetUp) {
    int seats = newSetUp.roomType == 1 ? 1 : 0;
    for (const auto& [id, join] : joins) {
      if (join.ended) continue;
      if (join.key == newSetUp.idempotencyKey && join.room == newSetUp.roomType)
        violations.push_back("two joins of a subscription");
      if (join.room == 1 && newSetUp.roomType == 1 && join.title == newSetUp.title) ++seats;
    }
    if (seats > 3) violations.push_back("more subscriptions than seats");
    if (newSetUp.roomType == 1 && newSetUp.rung < 1) violations.push_back("rung below the floor");
    if (newSetUp.roomType == 1 && mayHaveRun[newSetUp.idempotencyKey] > 0)
      violations.push_back("joined again although it may have run");
    if (const auto it = drainedAt.find(newSetUp.node); it != drainedAt.end() && now > it->second + 800 * ms)
      violations.push_back("join to a draining node after the grace period");
    joins[newSetUp.join] = {newSetUp.node, newSetUp.idempotencyKey, newSetUp.title, newSetUp.roomType};
  }
};

}  // namespace

TEST_CASE("Random sequences of events with the decision module violate no rule") {
  std::size_t answered = 0, setUps = 0;
  for (unsigned seed = 1; seed <= 600; ++seed) {
    std::minstd_rand random(seed);
    const auto randomBelow = [&](unsigned n) { return static_cast<int>(random() / 7 % n); };
    Front front(settings(), limits(), std::make_unique<ControlDecider>(settings(), seed));
    RuleChecker checker;
    Micros now = 5 * second;
    std::vector<Command> commands;
    CallId callId = 0;
    ListUpdate list{ListKind::snapshot, {}};
    for (NodeId n = 1; n <= 4; ++n)
      list.entries.push_back(
          {n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, randomBelow(3) == 0 ? now : 0, "a"});
    front.listUpdated(list);
    const auto turn = [&] {
      commands.clear();
      front.processTurn(now, commands);
      checker.check(now, commands);
      for (const Command& command : commands) {
        const auto* newSetUp = std::get_if<SetUp>(&command);
        // Most joins find an open connection; some wait, and some cannot be written.
        if (newSetUp == nullptr || randomBelow(5) == 0) continue;
        if (front.mayWrite(now, newSetUp->join))
          checker.joins[newSetUp->join].written = true;
        else
          front.joinEnded(newSetUp->join, Outcome::notSent, {}), checker.joins[newSetUp->join].ended = true;
      }
    };
    turn();
    for (int step = 0; step < 120; ++step) {
      now += randomBelow(40) == 0 ? randomBelow(1500) * ms : randomBelow(60) * ms;
      const int choice = randomBelow(10);
      if (choice <= 3) {
        const int room = randomBelow(2);
        const bool repeat = randomBelow(4) == 0 && callId > 0;
        PlayRequest request;
        request.callId = ++callId;
        request.idempotencyKey = "k" + std::to_string(repeat ? 1 + randomBelow(static_cast<unsigned>(callId))
                                                             : static_cast<int>(callId));
        request.viewer = "v";
        request.title = "t";
        request.roomType = repeat && checker.roomOf.count(std::stoull(request.idempotencyKey.substr(1))) != 0
                               ? checker.roomOf[std::stoull(request.idempotencyKey.substr(1))]
                               : room;
        if (repeat && request.roomType == 0)
          request.idempotencyKey = "k" + std::to_string(callId);  // safe requests are not deduplicated
        request.holders = 4;
        request.top = 2;
        request.timeout = 3 * second;
        checker.sentAt[callId] = now;
        checker.keyOf[callId] = request.idempotencyKey;
        checker.roomOf[callId] = request.roomType;
        front.submit(request);
      } else if (choice <= 7 && !checker.joins.empty()) {
        auto it = checker.joins.begin();
        std::advance(it, randomBelow(static_cast<unsigned>(checker.joins.size())));
        if (it->second.ended) continue;
        constexpr Outcome kinds[] = {Outcome::error, Outcome::full, Outcome::reset};
        if (!it->second.written) {
          front.joinEnded(it->first, Outcome::connectFailed, {});
          it->second.ended = true;
        } else if (choice <= 6) {
          front.joinStarted(it->first);
          ++checker.mayHaveRun[it->second.key];
        } else {
          const Outcome outcome = kinds[randomBelow(3)];
          if (outcome != Outcome::full) ++checker.mayHaveRun[it->second.key];
          front.joinEnded(it->first, outcome, {});
          it->second.ended = true;
        }
      } else if (choice == 8 && callId > 0) {
        const CallId leaving = 1 + static_cast<CallId>(randomBelow(static_cast<unsigned>(callId)));
        if (randomBelow(2) == 0)
          front.closed(leaving);
        else
          front.leave(leaving);
        if (checker.answerCount[leaving] == 0)
          checker.answerCount[leaving] = 1;  // a player that has left gets no answer
        checker.sentAt[leaving] = now + 3600 * second;
        if (checker.answerCount[leaving] == 1) checker.answerCount[leaving] = 0;
      } else if (choice == 9 && randomBelow(6) == 0) {
        const auto node = static_cast<NodeId>(1 + randomBelow(4));
        front.listUpdated(
            {ListKind::changes, {{node, NodeState::draining, 0, 1, static_cast<int>(node) - 1, 0, "a"}}});
        checker.drainedAt.try_emplace(node, now);
      }
      // A written join that timed out may have run.
      turn();
      for (const Command& command : commands)
        if (const auto* tearDown = std::get_if<TearDown>(&command))
          if (checker.joins[tearDown->join].written) ++checker.mayHaveRun[checker.joins[tearDown->join].key];
    }
    std::set<CallId> gone;
    for (int i = 0; i < 40; ++i) {
      now += 100 * ms;
      turn();
    }
    INFO("seed " << seed);
    if (!checker.violations.empty()) FAIL(checker.violations.front());
    for (const auto& [id, at] : checker.sentAt)
      if (at <= now) CHECK(checker.answerCount[id] == 1);
    CHECK(front.statistics().open == 0);
    CHECK(front.statistics().guardViolations[static_cast<std::size_t>(Rule::oneAnswer)] == 0);
    answered += checker.answerCount.size();
    setUps += checker.joins.size();
  }
  CHECK(answered > 20'000);
  CHECK(setUps > 4'000);
}

TEST_CASE("A first list with a part of the fleet does not raise the estimated link capacity per node") {
  const auto rungAfter = [](NodeId first) {
    ControlSettings custom = settings();
    custom.totalLinkKb = 1600;  // four nodes of 400 kB
    Control control(custom, 1);
    std::vector<Action> actions;
    ListUpdate list{ListKind::snapshot, {}};
    for (NodeId n = 1; n <= 4; ++n) {
      list.entries.push_back({n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, 0, "a"});
      if (n >= first) control.handle(n * second, {list}, actions);
    }
    actions.clear();
    control.handle(60 * second,
                   {SubscriptionRequested{{1, "t", "v", 0, -1, 0, 4, 2, 64 * second, std::nullopt, false}}},
                   actions);
    for (const Action& action : actions)
      if (const auto* rung = std::get_if<SetRung>(&action)) return rung->rung;
    return -1;
  };
  CHECK(rungAfter(1) == rungAfter(4));
}

TEST_CASE("Invalid control settings are clamped before they are used as divisors or indices") {
  ControlSettings custom = settings();
  custom.directors = 0;
  custom.ordinal = 7;
  custom.startCapacity = 0;
  custom.overloadFactor = 0;
  custom.rungBenefit = {0.3};
  custom.roomTypes[0].top = 50;
  custom.roomTypes[0].floor = -2;
  Control control(custom, 1);
  std::vector<Action> actions;
  // One node that has just started, so that the rate limit of a cold node divides by nearly all of these
  // settings.
  control.handle(second, {ListUpdate{ListKind::snapshot, {{1, NodeState::ready, 0, 1, 0, second, "a"}}}},
                 actions);
  for (SubscriptionId sub = 1; sub <= 20; ++sub) {
    const Micros now = second + static_cast<Micros>(sub) * 700 * ms;
    control.handle(
        now, {SubscriptionRequested{{sub, "t", "v", 0, -1, 0, 4, 90, now + 3 * second, std::nullopt, false}}},
        actions);
  }
  std::size_t answered = 0;
  for (const Action& action : actions) {
    if (const auto* rung = std::get_if<SetRung>(&action)) CHECK((rung->rung >= 0 && rung->rung <= 2));
    answered += std::holds_alternative<Join>(action) || std::holds_alternative<Throttle>(action);
  }
  CHECK(answered == 20);
}

TEST_CASE("An adopted subscription takes its seat, gets no answer, and its player is told of its end") {
  FrontHarness harness;
  const auto adopt = [&](CallId callId) {
    return harness.front.adopt(
        {callId, "", "viewer", "t", 1, -1, 0, 4, 2, 0, PlayRequest::Repeat::no, std::nullopt}, 2);
  };
  const JoinId first = adopt(1);
  adopt(2);
  adopt(3);  // the last of three seats
  harness.turn();
  CHECK(harness.commands.empty());
  CHECK(harness.front.statistics().plays == 3);
  REQUIRE(std::count_if(harness.decider->events.begin(), harness.decider->events.end(),
                        [](const Event& e) { return std::holds_alternative<SubscriptionAdopted>(e); }) == 3);
  harness.submit(4, "", 1);
  harness.decider->nextActions = {Join{4, 1, 0}};
  harness.turn();
  CHECK(harness.only<SetUp>() == nullptr);
  CHECK(harness.violations(Rule::seats) == 1);

  harness.front.joinEnded(first, Outcome::ok, {}, true);
  harness.turn();
  REQUIRE(harness.only<Ended>() != nullptr);
  CHECK(harness.only<Ended>()->callId == 1);
  harness.front.leave(2);
  harness.turn();
  REQUIRE(harness.only<TearDown>() != nullptr);
  CHECK(harness.front.statistics().plays == 1);
}

TEST_CASE("An adopted subscription whose join ends in the same turn is reported as ended") {
  FrontHarness harness;
  const JoinId join = harness.front.adopt(
      {1, "", "viewer", "t", 0, -1, 0, 4, 2, 0, PlayRequest::Repeat::no, std::nullopt}, 2);
  harness.front.joinEnded(join, Outcome::reset, {}, false);
  harness.turn();
  REQUIRE(harness.only<Ended>() != nullptr);
  CHECK(harness.only<Ended>()->reason == EndReason::nodeLost);
  CHECK(harness.front.statistics().plays == 0);
}

TEST_CASE("With a minimum time left of zero the decider gets every request, however little time is left") {
  Limits custom = limits();
  custom.minTimeLeft = 0;
  custom.answerMargin = 10 * ms;
  FrontHarness harness(custom);
  harness.front.submit(
      {1, "", "viewer", "t", 0, -1, 0, 4, 2, 30 * ms, PlayRequest::Repeat::no, std::nullopt});
  harness.decider->nextActions = {Throttle{1, 250 * ms}};
  harness.turn(ms);
  REQUIRE(harness.only<Throttled>() != nullptr);
  CHECK(harness.only<Throttled>()->retryAfter == 250 * ms);
  CHECK(harness.front.statistics().late == 0);
}
