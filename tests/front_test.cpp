// The session core by itself: single troubles with a decider told what to say, then thousands of random
// sequences with the module, in which an independent watcher holds the rules against every order.
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

ControlSettings terms() {
  ControlSettings t;
  RoomType clip, paid;
  clip.joinObjective = second;
  clip.top = 2;
  paid.effect = Effect::once;
  paid.joinObjective = 1500 * ms;
  paid.benefit = 3;
  paid.floor = 1;
  paid.top = 2;
  paid.seats = 3;
  t.roomTypes = {clip, paid};
  t.ladderKb = {100, 200, 400};
  t.rungBenefit = {0.3, 0.6, 1};
  t.slotsByKind = {20};
  t.cells = 4;
  t.racks = 2;
  t.maxJoins = 3;
  t.weightKb = 4000;
  t.totalLinkKb = 16000;
  t.rackUplinkKb = 6000;
  t.startCapacity = 0.4;
  t.overloadFactor = 3;
  t.coldTime = 8 * second;
  t.fallTime = 2 * second;
  t.seenAfter = 500 * ms;
  t.reportInterval = 2 * second;
  t.maxRetryAfter = 500 * ms;
  t.retryAfter = true;
  t.cancelling = true;
  t.retryBudget = RetryBudget{5, 0.2, 5 * second};
  return t;
}

Limits bounds() {
  return {800 * ms, 200 * ms, 600 * ms, 3 * second, 60 * second, 1000, 1000, false, 1000, true};
}

// Says what a test tells it to, and keeps what it was told.
struct Scripted final : Decider {
  std::vector<Action> next;
  std::vector<Event> heard;
  void handle(Micros, const std::vector<Event>& turn, std::vector<Action>& actions) override {
    heard.insert(heard.end(), turn.begin(), turn.end());
    actions.insert(actions.end(), next.begin(), next.end());
    next.clear();
  }
  int settledEnds() const {
    return static_cast<int>(std::count_if(heard.begin(), heard.end(), [](const Event& event) {
      const auto* end = std::get_if<JoinEnded>(&event);
      return end != nullptr && end->settled;
    }));
  }
};

struct Stage {
  Scripted* decider;
  Front front;
  Micros now = 10 * second;
  std::vector<Command> orders;

  explicit Stage(Limits b = bounds(), const ControlSettings& t = terms())
      : Stage(std::make_unique<Scripted>(), b, t) {}
  Stage(std::unique_ptr<Scripted> made, Limits b, const ControlSettings& t = terms())
      : decider(made.get()), front(t, b, std::move(made)) {
    ListUpdate list{ListKind::snapshot, {}};
    for (NodeId n = 1; n <= 4; ++n)
      list.entries.push_back({n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, 0, "a"});
    front.listUpdated(list);
    turn();
  }
  void turn(Micros later = 10 * ms) {
    now += later;
    orders.clear();
    front.processTurn(now, orders);
  }
  void ask(CallId callId, const std::string& key, int room, const std::string& title = "t") {
    front.submit(
        {callId, key, "viewer", title, room, -1, 0, 4, 2, 3 * second, PlayRequest::Repeat::no, std::nullopt});
  }
  template <class T>
  const T* only() const {
    const T* found = nullptr;
    for (const Command& order : orders)
      if (const T* one = std::get_if<T>(&order)) {
        REQUIRE(found == nullptr);
        found = one;
      }
    return found;
  }
  // An ask whose join is out at node 1.
  JoinId joinOut(CallId callId, const std::string& key, int room) {
    ask(callId, key, room);
    decider->next = {SetRung{static_cast<SubscriptionId>(callId), 1},
                     Join{static_cast<SubscriptionId>(callId), 1, 0}};
    turn();
    const SetUp* setUp = only<SetUp>();
    REQUIRE(setUp != nullptr);
    return setUp->join;
  }
  std::uint64_t held(Rule rule) const { return front.statistics().held[static_cast<std::size_t>(rule)]; }
};

}  // namespace

TEST_CASE("A join that plays answers its ask once, and what ends it ends the subscription") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 0);
  s.front.mayWrite(s.now, join);
  s.front.joinStarted(join);
  s.turn();
  REQUIRE(s.only<Playing>() != nullptr);
  CHECK(s.only<Playing>()->rung == 1);
  s.front.joinStarted(join);  // an answer that comes twice
  s.turn();
  CHECK(s.orders.empty());
  s.front.joinEnded(join, Outcome::ok, {}, true);
  s.turn();
  REQUIRE(s.only<Ended>() != nullptr);
  CHECK(s.only<Ended>()->reason == EndReason::finished);
  CHECK(s.front.statistics().plays == 0);
}

TEST_CASE("An ask the decider forgets is answered by the core at its time") {
  Stage s;
  s.ask(1, "k", 0);
  for (int i = 0; i < 30; ++i) {
    s.turn(100 * ms);
    if (s.only<Throttled>() != nullptr) break;
  }
  REQUIRE(s.only<Throttled>() != nullptr);
  CHECK(s.now <= 10 * second + 3 * second);
  CHECK(s.held(Rule::oneAnswer) == 1);
}

TEST_CASE("A second join while one is out is held back and told as never sent") {
  Stage s;
  s.joinOut(1, "k", 0);
  s.decider->heard.clear();
  s.decider->next = {Join{1, 2, 0}};
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  CHECK(s.held(Rule::oneJoin) == 1);
  const bool told = std::any_of(s.decider->heard.begin(), s.decider->heard.end(), [](const Event& e) {
    const auto* ended = std::get_if<JoinEnded>(&e);
    return ended != nullptr && ended->outcome == Outcome::notSent && ended->node == 2;
  });
  CHECK(told);
}

TEST_CASE("A paid ask whose join may have run is neither sent again nor throttled") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 1);
  s.front.mayWrite(s.now, join);
  s.front.joinEnded(join, Outcome::error, {});
  s.decider->next = {Join{1, 2, 0}};
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  CHECK(s.held(Rule::onceOnly) == 1);
  s.decider->next = {Throttle{1, 0}};
  s.turn();
  CHECK(s.only<Throttled>() == nullptr);
  REQUIRE(s.only<Terminated>() != nullptr);
  CHECK(s.only<Terminated>()->reason == TerminateReason::mayHaveRun);
}

TEST_CASE("A paid ask refused by its node may be sent again and throttled") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 1);
  s.front.mayWrite(s.now, join);
  s.front.joinEnded(join, Outcome::full, {});
  s.decider->next = {Join{1, 2, 0}};
  s.turn();
  REQUIRE(s.only<SetUp>() != nullptr);
  s.front.joinEnded(s.only<SetUp>()->join, Outcome::connectFailed, {});
  s.decider->next = {Throttle{1, 7}};
  s.turn();
  CHECK(s.only<Throttled>() != nullptr);
  // Nothing of it ran: the same key may ask anew.
  s.ask(2, "k", 1);
  s.decider->next = {Join{2, 3, 0}};
  s.turn();
  CHECK(s.only<SetUp>() != nullptr);
}

TEST_CASE("A join that was never written has not run, however long it waited") {
  Stage s;
  s.joinOut(1, "k", 1);
  s.decider->heard.clear();
  for (int i = 0; i < 32 && s.only<TearDown>() == nullptr; ++i) s.turn(100 * ms);
  const auto* ended = std::get_if<JoinEnded>(&s.decider->heard.front());
  REQUIRE(ended != nullptr);
  CHECK(ended->outcome == Outcome::connectFailed);
}

TEST_CASE("A join that waits for its connection or a disk is given back when its viewer goes") {
  ControlSettings own = terms();
  SECTION("where what has left can be taken back") {}
  SECTION("where it can't") { own.cancelling = false; }
  const bool stored = GENERATE(false, true), closed = GENERATE(false, true);
  Limits b = bounds();
  b.keysStored = stored;
  Stage s(b, own);
  s.ask(1, "k", 1);
  s.decider->next = {SetRung{1, 1}, Join{1, 1, 0}};
  s.turn();
  REQUIRE((s.only<SetUp>() == nullptr) == stored);
  s.decider->heard.clear();
  closed ? s.front.closed(1) : s.front.leave(1);
  s.turn();
  // Whatever comes up from here on, a connection or the disk: nothing is left that could be written.
  CHECK(!s.front.mayWrite(s.now, 1));
  if (stored) s.front.durable(1);
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  REQUIRE(!s.decider->heard.empty());
  CHECK(s.decider->settledEnds() == 1);
  CHECK(s.front.statistics().open == 0);
}

TEST_CASE("Nothing is placed for a viewer whose leave is read in the turn in which its join ends") {
  const Outcome outcome = GENERATE(Outcome::full, Outcome::connectFailed, Outcome::error);
  Front front(terms(), bounds(), std::make_unique<ControlDecider>(terms(), 5));
  ListUpdate list{ListKind::snapshot, {}};
  for (NodeId n = 1; n <= 2; ++n)
    list.entries.push_back({n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, 0, "a"});
  front.listUpdated(list);
  std::vector<Command> orders;
  Micros now = 10 * second;
  const auto turn = [&] { front.processTurn(now += 10 * ms, orders); };
  const auto setUps = [&] {
    std::vector<SetUp> all;
    for (const Command& order : orders)
      if (const auto* one = std::get_if<SetUp>(&order)) all.push_back(*one);
    return all;
  };
  const auto ask = [&](CallId callId) {
    front.submit({callId, "k" + std::to_string(callId), "v", "t", 0, -1, 0, 2, 2, 3 * second,
                  PlayRequest::Repeat::no, std::nullopt});
  };
  turn();
  now += 20 * second;  // long past what is young or cold
  turn();
  ask(1);
  turn();
  REQUIRE(setUps().size() == 1);
  const SetUp first = setUps()[0];
  front.mayWrite(now, first.join);
  front.joinEnded(first.join, outcome, {});
  front.leave(1);
  orders.clear();
  turn();
  CHECK(setUps().empty());
  // A join that nobody ended would keep its node shut for good: long after, both nodes take joins again.
  now += 40 * second;
  std::set<NodeId> used;
  for (CallId callId = 2; callId < 30; ++callId) {
    turn();
    orders.clear();
    ask(callId);
    turn();
    for (const SetUp& one : setUps()) {
      used.insert(one.node);
      front.mayWrite(now, one.join);
      front.joinStarted(one.join);
      turn();
      front.joinEnded(one.join, Outcome::ok, {}, true);
      turn();
    }
    now += second;
  }
  CHECK(used.size() == 2);
}

TEST_CASE("The word of a drain calls back a join that waits for its connection") {
  Stage s;
  const JoinId waits = s.joinOut(1, "k", 0);
  const JoinId left = s.joinOut(2, "l", 0);
  s.front.mayWrite(s.now, left);
  s.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
  s.turn();
  REQUIRE(s.only<Withdraw>() != nullptr);
  CHECK(s.only<Withdraw>()->join == waits);
  s.front.joinEnded(waits, Outcome::notSent, {});
  s.decider->next = {Join{1, 2, 0}};
  s.turn();
  CHECK(s.only<SetUp>()->node == 2);
}

TEST_CASE("Nothing goes to a draining node after the grace, whatever the decider says") {
  Stage s;
  s.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
  s.turn();
  s.turn(500 * ms);
  s.front.listUpdated(
      {ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});  // said twice: no new grace
  s.turn(400 * ms);
  s.ask(1, "k", 0);
  s.decider->next = {Join{1, 1, 0}};
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  CHECK(s.held(Rule::drain) == 1);
}

TEST_CASE("Seats, floors, budgets and the cold pace are kept below the decider") {
  Stage s;
  SECTION("seats") {
    for (CallId callId = 1; callId <= 4; ++callId) {
      s.ask(callId, "k" + std::to_string(callId), 1);
      s.decider->next = {Join{callId, 1, 0}};
      s.turn();
    }
    CHECK(s.held(Rule::seats) == 1);
  }
  SECTION("floor") {
    s.ask(1, "k", 1);
    s.decider->next = {SetRung{1, 0}, Join{1, 1, 0}};
    s.turn();
    REQUIRE(s.only<SetUp>() != nullptr);
    CHECK(s.only<SetUp>()->rung == 1);
    CHECK(s.held(Rule::floor) == 1);
  }
  SECTION("further joins") {
    for (CallId callId = 1; callId <= 8; ++callId) {
      const JoinId join = s.joinOut(callId, "k", 0);
      s.front.joinEnded(join, Outcome::full, {});
      s.decider->next = {Join{callId, 2, 0}};
      s.turn();
    }
    // Eight asks allow five and a fifth of eight.
    CHECK(s.held(Rule::further) == 2);
  }
  SECTION("cold") {
    s.front.listUpdated({ListKind::changes, {{1, NodeState::ready, 0, 1, 0, s.now, "a"}}});
    for (CallId callId = 1; callId <= 10; ++callId) {
      s.ask(callId, "k", 0);
      s.decider->next = {Join{callId, 1, 0}};
      s.turn(1 * ms);
      if (const SetUp* up = s.only<SetUp>()) s.front.mayWrite(s.now, up->join);
    }
    // 20 places over 8 s, at 0.4 of them, three times over, for 2 s: six.
    CHECK(s.held(Rule::cold) == 4);
  }
}

TEST_CASE("A join is looked at again as it is written: its node may have drained, gone or started anew") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 0);
  SECTION("drained over the grace ago") {
    s.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
    s.turn();
    REQUIRE(s.only<Withdraw>() != nullptr);
    CHECK_FALSE(s.front.mayWrite(s.now + 900 * ms, join));
    CHECK(s.held(Rule::drain) == 1);
  }
  SECTION("gone and long forgotten") {
    s.front.listUpdated({ListKind::changes, {{1, NodeState::gone, 0, 1, 0, 0, "a"}}});
    s.turn();
    CHECK_FALSE(s.front.mayWrite(s.now + 20 * second, join));
  }
  SECTION("started anew, with as many on the way as it bears") {
    s.front.listUpdated({ListKind::changes, {{1, NodeState::ready, 0, 1, 0, s.now, "a"}}});
    s.turn();
    std::vector<JoinId> waiting{join};
    for (CallId callId = 2; callId <= 10; ++callId) waiting.push_back(s.joinOut(callId, "k", 0));
    CHECK(std::count_if(waiting.begin(), waiting.end(),
                        [&](JoinId one) { return s.front.mayWrite(s.now, one); }) == 6);
    CHECK(s.held(Rule::cold) == 4);
  }
  SECTION("as it was") {
    CHECK(s.front.mayWrite(s.now, join));
    CHECK_FALSE(s.front.mayWrite(s.now, join + 1));
  }
}

TEST_CASE("A room type that is none is answered, and a crowd turned away is not told to return as one") {
  Stage s;
  s.ask(1, "k", 2);
  s.ask(2, "k", -1);
  s.turn();
  CHECK(s.orders.size() == 2);
  CHECK(std::holds_alternative<Terminated>(s.orders.at(0)));
  s.front.drain(true);
  for (CallId callId = 3; callId <= 22; ++callId) s.ask(callId, "k", 0);
  s.turn();
  std::set<Micros> told;
  for (const Command& order : s.orders) told.insert(std::get<Throttled>(order).retryAfter / (20 * ms));
  CHECK(told.size() >= 10);
  CHECK(*told.begin() > 0);
  CHECK(*told.rbegin() * 20 * ms <= 500 * ms);
}

TEST_CASE("A paid player whose socket closes in the middle of its join finds it again by its key") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 1);
  s.front.mayWrite(s.now, join);
  s.front.closed(1);
  s.turn();
  CHECK(s.orders.empty());
  SECTION("while it is out") {
    s.ask(2, "k", 1);
    s.turn();
    CHECK(s.only<SetUp>() == nullptr);
    SECTION("and it plays") {
      s.front.joinStarted(join);
      s.turn();
      REQUIRE(s.only<Playing>() != nullptr);
      CHECK(s.only<Playing>()->callId == 2);
    }
    SECTION("and it fails: who came back is owed an answer") {
      s.front.joinEnded(join, Outcome::error, {});
      s.decider->next = {Terminate{1}};
      s.turn();
      REQUIRE(s.only<Terminated>() != nullptr);
      CHECK(s.only<Terminated>()->callId == 2);
    }
    SECTION("and the decider forgets it: the core answers") {
      s.front.joinEnded(join, Outcome::error, {});
      for (int i = 0; i < 40 && s.only<Terminated>() == nullptr; ++i) s.turn(100 * ms);
      CHECK(s.only<Terminated>() != nullptr);
    }
  }
  SECTION("when it plays already") {
    s.front.joinStarted(join);
    s.turn();
    CHECK(s.orders.empty());
    s.ask(2, "k", 1);
    s.turn();
    REQUIRE(s.only<Playing>() != nullptr);
  }
  SECTION("when it failed: the answer is the first one's, and nothing is set up") {
    s.front.joinEnded(join, Outcome::reset, {});
    s.turn();
    s.ask(2, "k", 1);
    s.turn();
    CHECK(s.only<SetUp>() == nullptr);
    REQUIRE(s.only<Terminated>() != nullptr);
    CHECK(s.only<Terminated>()->reason == TerminateReason::mayHaveRun);
  }
  SECTION("when nobody comes back it is taken down") {
    s.front.joinStarted(join);
    int downs = 0;
    for (int i = 0; i < 40; ++i) {
      s.turn(100 * ms);
      if (s.only<TearDown>() != nullptr) ++downs;
    }
    CHECK(downs == 1);
    CHECK(s.front.statistics().plays == 0);
  }
}

TEST_CASE("The same paid ask twice at once has one join and an answer for each") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 1);
  s.ask(2, "k", 1);
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  s.front.mayWrite(s.now, join);
  s.front.joinStarted(join);
  s.turn();
  CHECK(s.orders.size() == 2);
  CHECK(s.front.statistics().repeated == 1);
}

TEST_CASE("A paid join leaves only once its intent is on disk, and what happens before proves nothing ran") {
  Limits b = bounds();
  b.keysStored = true;
  Stage s(std::make_unique<Scripted>(), b);
  s.ask(1, "k", 1);
  s.decider->next = {SetRung{1, 1}, Join{1, 1, 0}};
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  const auto writes = s.front.takeWrites();
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].record.mark == ledger::RecordState::intent);
  SECTION("then it leaves") {
    s.front.durable(writes[0].seq);
    s.turn();
    REQUIRE(s.only<SetUp>() != nullptr);
    s.front.mayWrite(s.now, s.only<SetUp>()->join);
    s.front.joinEnded(s.only<SetUp>()->join, Outcome::full, {});
    s.turn();
    REQUIRE(s.front.takeWrites().at(0).record.mark == ledger::RecordState::refused);
  }
  SECTION("its node drains first: it never leaves") {
    s.front.listUpdated({ListKind::changes, {{1, NodeState::draining, 0, 1, 0, 0, "a"}}});
    s.turn();
    s.front.durable(writes[0].seq);
    s.turn();
    CHECK(s.only<SetUp>() == nullptr);
  }
  SECTION("a disk that fails: the ask is refused in that turn, and not at its deadline") {
    s.decider->heard.clear();
    s.front.storeFailed();
    s.turn();
    CHECK(s.only<SetUp>() == nullptr);
    REQUIRE(s.only<Throttled>() != nullptr);
    CHECK(s.only<Throttled>()->retryAfter > 0);
    REQUIRE_FALSE(s.decider->heard.empty());
    CHECK(std::get<JoinEnded>(s.decider->heard.front()).settled);
  }
  SECTION("a disk that never answers: the ask is refused, as provably never sent") {
    s.decider->heard.clear();
    for (int i = 0; i < 32 && s.decider->heard.empty(); ++i) s.turn(100 * ms);
    CHECK(std::get<JoinEnded>(s.decider->heard.front()).outcome == Outcome::connectFailed);
    CHECK(s.only<Throttled>() != nullptr);
    s.front.storeFailed();
    s.ask(2, "l", 1);
    s.turn();
    CHECK(s.only<Throttled>()->reason == ThrottleReason::busy);
  }
  SECTION("killed here: the next run answers the repeat as may have run, and sets nothing up") {
    Stage next(std::make_unique<Scripted>(), b);
    next.front.recover(next.now, {writes[0].record}, true);
    next.ask(1, "k", 1);
    next.turn();
    CHECK(next.only<SetUp>() == nullptr);
    REQUIRE(next.only<Terminated>() != nullptr);
    CHECK(next.only<Terminated>()->reason == TerminateReason::mayHaveRun);
  }
}

TEST_CASE("Repeats: said elsewhere, and said here where the ledger was lost") {
  Stage s;
  const auto again = [&](CallId callId, const std::string& key, PlayRequest::Repeat what) {
    s.front.submit({callId, key, "viewer", "t", 1, -1, 0, 4, 2, 3 * second, what, std::nullopt});
    s.turn();
    return s.only<Terminated>();
  };
  REQUIRE(again(1, "a", PlayRequest::Repeat::elsewhere) != nullptr);
  CHECK(s.only<Terminated>()->reason == TerminateReason::elsewhere);
  CHECK(again(2, "b", PlayRequest::Repeat::here) == nullptr);  // it never left: free to be set up
  s.front.recover(s.now, {}, false);
  REQUIRE(again(3, "c", PlayRequest::Repeat::here) != nullptr);
  CHECK(s.only<Terminated>()->reason == TerminateReason::mayHaveRun);
  CHECK(again(4, "d", PlayRequest::Repeat::no) == nullptr);  // a first ask is no repeat
}

TEST_CASE("After a standstill an ask is as old as the standstill") {
  Stage s;
  SECTION("too old to be answered in time by a join") {
    s.ask(1, "k", 0);
    s.turn(2900 * ms);
    REQUIRE(s.only<Throttled>() != nullptr);
    CHECK(s.only<Throttled>()->reason == ThrottleReason::late);
  }
  SECTION("still in time: the decider is told of less") {
    s.ask(1, "k", 0);
    s.turn(1000 * ms);
    const auto* request = std::get_if<SubscriptionRequested>(&s.decider->heard.back());
    REQUIRE(request != nullptr);
    CHECK(request->viewing.deadline == s.now + 3 * second - 200 * ms - 1000 * ms);
  }
}

TEST_CASE("Answers read after a standstill count before time-outs are drawn from their absence") {
  Stage s;
  const JoinId join = s.joinOut(1, "k", 1);
  s.front.mayWrite(s.now, join);
  s.front.joinStarted(join);
  s.turn(2750 * ms);
  CHECK(s.only<Playing>() != nullptr);
}

TEST_CASE("What is over a bound or comes in a drain is refused at once with a time to come back") {
  Limits b = bounds();
  b.maxOpen = 2;
  Stage s(std::make_unique<Scripted>(), b);
  s.ask(1, "k", 0);
  s.ask(2, "l", 0);
  s.ask(3, "m", 0);
  s.turn();
  REQUIRE(s.only<Throttled>() != nullptr);
  CHECK(s.only<Throttled>()->reason == ThrottleReason::busy);
  CHECK(s.only<Throttled>()->retryAfter > 0);
  s.front.drain(true);
  s.ask(4, "n", 0);
  s.turn();
  CHECK(s.only<Throttled>()->reason == ThrottleReason::draining);
}

TEST_CASE("At its end a director answers and tears down all it holds") {
  Stage s;
  const JoinId playing = s.joinOut(1, "a", 0);
  s.front.mayWrite(s.now, playing);
  s.front.joinStarted(playing);
  const JoinId paid = s.joinOut(2, "b", 1);
  s.front.mayWrite(s.now, paid);
  s.ask(3, "c", 0);
  s.turn();
  s.front.endAll();
  s.turn();
  CHECK(s.only<Ended>()->callId == 1);
  CHECK(s.only<Terminated>()->callId == 2);
  CHECK(s.only<Throttled>()->callId == 3);
  const auto downs = std::count_if(s.orders.begin(), s.orders.end(),
                                   [](const Command& o) { return std::holds_alternative<TearDown>(o); });
  CHECK(downs == 2);
  CHECK(s.front.statistics().open == 0);
}

namespace {

// Holds the rules against orders without asking the front anything.
struct Watcher {
  struct Out {
    NodeId node;
    std::string key, title;
    int room;
    bool written = false, over = false;
  };
  std::map<CallId, Micros> asked;
  std::map<CallId, std::string> keyOf;
  std::map<CallId, int> roomOf;
  std::map<CallId, int> answers;
  std::map<JoinId, Out> joins;
  std::map<std::string, int> mayHaveRun;  // by the key of a paid ask
  std::map<NodeId, Micros> drained;
  std::vector<std::string> broken;
  Micros lastTurn = 0;

  void see(Micros now, const std::vector<Command>& orders) {
    for (const Command& order : orders) {
      if (const auto* p = std::get_if<Playing>(&order)) answer(now, p->callId, false);
      if (const auto* t = std::get_if<Throttled>(&order)) answer(now, t->callId, true);
      if (const auto* t = std::get_if<Terminated>(&order)) answer(now, t->callId, false);
      if (const auto* down = std::get_if<TearDown>(&order)) joins[down->join].over = true;
      if (const auto* up = std::get_if<SetUp>(&order)) setUp(now, *up);
    }
    lastTurn = now;
  }
  void answer(Micros now, CallId callId, bool throttled) {
    if (++answers[callId] > 1) broken.push_back("two answers");
    // A director that stood still over the client timeout answers at its first turn after.
    if (now > asked[callId] + 3 * second && lastTurn > asked[callId] + 2800 * ms) broken.push_back("late");
    if (throttled && roomOf[callId] == 1 && mayHaveRun[keyOf[callId]] > 0)
      broken.push_back("throttled after a run: line " + std::to_string(callId) + " key " + keyOf[callId]);
  }
  void setUp(Micros now, const SetUp& up) {
    int seats = up.roomType == 1 ? 1 : 0;
    for (const auto& [key, out] : joins) {
      if (out.over) continue;
      if (out.key == up.idempotencyKey && out.room == up.roomType) broken.push_back("two joins out");
      if (out.room == 1 && up.roomType == 1 && out.title == up.title) ++seats;
    }
    if (seats > 3) broken.push_back("seats");
    if (up.roomType == 1 && up.rung < 1) broken.push_back("floor");
    if (up.roomType == 1 && mayHaveRun[up.idempotencyKey] > 0) broken.push_back("set up twice");
    if (const auto it = drained.find(up.node); it != drained.end() && now > it->second + 800 * ms)
      broken.push_back("drain");
    joins[up.join] = {up.node, up.idempotencyKey, up.title, up.roomType};
  }
};

}  // namespace

TEST_CASE("Thousands of random sequences with the module keep the rules") {
  std::size_t answered = 0, setUps = 0;
  for (unsigned seed = 1; seed <= 600; ++seed) {
    std::minstd_rand chance(seed);
    const auto below = [&](unsigned n) { return static_cast<int>(chance() / 7 % n); };
    Front front(terms(), bounds(), std::make_unique<ControlDecider>(terms(), seed));
    Watcher watcher;
    Micros now = 5 * second;
    std::vector<Command> orders;
    CallId callId = 0;
    ListUpdate list{ListKind::snapshot, {}};
    for (NodeId n = 1; n <= 4; ++n)
      list.entries.push_back(
          {n, NodeState::ready, 0, 1, static_cast<int>(n) - 1, below(3) == 0 ? now : 0, "a"});
    front.listUpdated(list);
    const auto turn = [&] {
      orders.clear();
      front.processTurn(now, orders);
      watcher.see(now, orders);
      for (const Command& order : orders) {
        const auto* up = std::get_if<SetUp>(&order);
        // Most connections stand already; some joins wait, and some nodes are out of reach.
        if (up == nullptr || below(5) == 0) continue;
        if (front.mayWrite(now, up->join))
          watcher.joins[up->join].written = true;
        else
          front.joinEnded(up->join, Outcome::notSent, {}), watcher.joins[up->join].over = true;
      }
    };
    turn();
    for (int step = 0; step < 120; ++step) {
      now += below(40) == 0 ? below(1500) * ms : below(60) * ms;
      const int what = below(10);
      if (what <= 3) {
        const int room = below(2);
        const bool again = below(4) == 0 && callId > 0;
        PlayRequest ask;
        ask.callId = ++callId;
        ask.idempotencyKey =
            "k" + std::to_string(again ? 1 + below(static_cast<unsigned>(callId)) : static_cast<int>(callId));
        ask.viewer = "v";
        ask.title = "t";
        ask.roomType = again && watcher.roomOf.count(std::stoull(ask.idempotencyKey.substr(1))) != 0
                           ? watcher.roomOf[std::stoull(ask.idempotencyKey.substr(1))]
                           : room;
        if (again && ask.roomType == 0)
          ask.idempotencyKey = "k" + std::to_string(callId);  // safe asks are not joined
        ask.holders = 4;
        ask.top = 2;
        ask.timeout = 3 * second;
        watcher.asked[callId] = now;
        watcher.keyOf[callId] = ask.idempotencyKey;
        watcher.roomOf[callId] = ask.roomType;
        front.submit(ask);
      } else if (what <= 7 && !watcher.joins.empty()) {
        auto it = watcher.joins.begin();
        std::advance(it, below(static_cast<unsigned>(watcher.joins.size())));
        if (it->second.over) continue;
        constexpr Outcome kinds[] = {Outcome::error, Outcome::full, Outcome::reset};
        if (!it->second.written) {
          front.joinEnded(it->first, Outcome::connectFailed, {});
          it->second.over = true;
        } else if (what <= 6) {
          front.joinStarted(it->first);
          ++watcher.mayHaveRun[it->second.key];
        } else {
          const Outcome outcome = kinds[below(3)];
          if (outcome != Outcome::full) ++watcher.mayHaveRun[it->second.key];
          front.joinEnded(it->first, outcome, {});
          it->second.over = true;
        }
      } else if (what == 8 && callId > 0) {
        const CallId one = 1 + static_cast<CallId>(below(static_cast<unsigned>(callId)));
        if (below(2) == 0)
          front.closed(one);
        else
          front.leave(one);
        if (watcher.answers[one] == 0) watcher.answers[one] = 1;  // it hears no answer any more
        watcher.asked[one] = now + 3600 * second;
        if (watcher.answers[one] == 1) watcher.answers[one] = 0;
      } else if (what == 9 && below(6) == 0) {
        const auto node = static_cast<NodeId>(1 + below(4));
        front.listUpdated(
            {ListKind::changes, {{node, NodeState::draining, 0, 1, static_cast<int>(node) - 1, 0, "a"}}});
        watcher.drained.try_emplace(node, now);
      }
      // A join that timed out may have run.
      turn();
      for (const Command& order : orders)
        if (const auto* down = std::get_if<TearDown>(&order))
          if (watcher.joins[down->join].written) ++watcher.mayHaveRun[watcher.joins[down->join].key];
    }
    std::set<CallId> gone;
    for (int i = 0; i < 40; ++i) {
      now += 100 * ms;
      turn();
    }
    INFO("seed " << seed);
    if (!watcher.broken.empty()) FAIL(watcher.broken.front());
    for (const auto& [one, at] : watcher.asked)
      if (at <= now) CHECK(watcher.answers[one] == 1);
    CHECK(front.statistics().open == 0);
    CHECK(front.statistics().held[static_cast<std::size_t>(Rule::oneAnswer)] == 0);
    answered += watcher.answers.size();
    setUps += watcher.joins.size();
  }
  CHECK(answered > 20'000);
  CHECK(setUps > 4'000);
}

TEST_CASE("A first list that names a part of the fleet does not make its links look wider") {
  const auto rungAfter = [](NodeId first) {
    ControlSettings stated = terms();
    stated.totalLinkKb = 1600;  // four nodes of 400 kB
    Control control(stated, 1);
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

TEST_CASE(
    "Terms that cannot be are brought into bounds before anything divides by them or indexes with them") {
  ControlSettings stated = terms();
  stated.directors = 0;
  stated.ordinal = 7;
  stated.startCapacity = 0;
  stated.overloadFactor = 0;
  stated.rungBenefit = {0.3};
  stated.roomTypes[0].top = 50;
  stated.roomTypes[0].floor = -2;
  Control control(stated, 1);
  std::vector<Action> actions;
  // One node that has just started: its pace divides by nearly all of them.
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

TEST_CASE("A subscription under way takes its seat and node, is owed no answer, and its end is told") {
  Stage s;
  const auto adopt = [&](CallId callId) {
    return s.front.adopt(
        {callId, "", "viewer", "t", 1, -1, 0, 4, 2, 0, PlayRequest::Repeat::no, std::nullopt}, 2);
  };
  const JoinId first = adopt(1);
  adopt(2);
  adopt(3);  // the last of three seats
  s.turn();
  CHECK(s.orders.empty());
  CHECK(s.front.statistics().plays == 3);
  REQUIRE(std::count_if(s.decider->heard.begin(), s.decider->heard.end(),
                        [](const Event& e) { return std::holds_alternative<SubscriptionAdopted>(e); }) == 3);
  s.ask(4, "", 1);
  s.decider->next = {Join{4, 1, 0}};
  s.turn();
  CHECK(s.only<SetUp>() == nullptr);
  CHECK(s.held(Rule::seats) == 1);

  s.front.joinEnded(first, Outcome::ok, {}, true);
  s.turn();
  REQUIRE(s.only<Ended>() != nullptr);
  CHECK(s.only<Ended>()->callId == 1);
  s.front.leave(2);
  s.turn();
  REQUIRE(s.only<TearDown>() != nullptr);
  CHECK(s.front.statistics().plays == 1);
}

TEST_CASE("What was under way plays on when its note comes in the same turn as it does") {
  Stage s;
  const JoinId join =
      s.front.adopt({1, "", "viewer", "t", 0, -1, 0, 4, 2, 0, PlayRequest::Repeat::no, std::nullopt}, 2);
  s.front.joinEnded(join, Outcome::reset, {}, false);
  s.turn();
  REQUIRE(s.only<Ended>() != nullptr);
  CHECK(s.only<Ended>()->reason == EndReason::nodeLost);
  CHECK(s.front.statistics().plays == 0);
}

TEST_CASE("With no least time left the decider is asked, however little there is") {
  Limits b = bounds();
  b.minTimeLeft = 0;
  b.answerMargin = 10 * ms;
  Stage s(b);
  s.front.submit({1, "", "viewer", "t", 0, -1, 0, 4, 2, 30 * ms, PlayRequest::Repeat::no, std::nullopt});
  s.decider->next = {Throttle{1, 250 * ms}};
  s.turn(ms);
  REQUIRE(s.only<Throttled>() != nullptr);
  CHECK(s.only<Throttled>()->retryAfter == 250 * ms);
  CHECK(s.front.statistics().late == 0);
}
