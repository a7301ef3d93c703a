// The auditor by itself: a sound record passes, and a record bent in one way fails by that rule alone.
#include <catch2/catch.hpp>

#include "audit/audit.h"

using namespace lupinsill;
using namespace lupinsill::audit;

namespace {

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

CheckSettings statistics() {
  CheckSettings f;
  RoomType clip, paid;
  paid.effect = Effect::once;
  paid.floor = 1;
  paid.seats = 2;
  f.controlSettings.roomTypes = {clip, paid};
  f.controlSettings.slotsByKind = {20};
  f.controlSettings.coldTime = 8 * second;
  f.controlSettings.fallTime = 2 * second;
  f.controlSettings.startCapacity = 0.4;
  f.controlSettings.overloadFactor = 3;
  f.controlSettings.retryBudget = RetryBudget{2, 0.1, 5 * second};
  f.clientTimeouts = {4 * second, 3 * second};
  f.grace = 800 * ms;
  f.answerTolerance = 500 * ms;
  f.orderTolerance = 250 * ms;
  f.maxListDelay = 200 * ms;
  return f;
}

SetUpObservation setUp(Micros at, NodeId node, const std::string& sub, int room, const std::string& key) {
  SetUpObservation s;
  s.at = at;
  s.node = node;
  s.director = "d0-x";
  s.subscription = sub;
  s.viewer = "v";
  s.idempotencyKey = key;
  s.title = "t";
  s.roomType = room;
  s.rung = 1;
  s.ranAt = s.answeredAt = at + 20 * ms;
  s.endedAt = at + 5 * second;
  return s;
}

RequestObservation ask(Micros at, int room, const std::string& key, RequestObservation::Answer::Kind kind) {
  RequestObservation a;
  a.at = at;
  a.viewer = "v";
  a.idempotencyKey = key;
  a.roomType = room;
  a.timeout = room == 1 ? 3 * second : 4 * second;
  a.answers = {{at + 30 * ms, kind}};
  return a;
}

using Kind = RequestObservation::Answer::Kind;

Record sound() {
  Record r;
  r.requests = {ask(0, 1, "a", Kind::playing), ask(second, 0, "b", Kind::playing)};
  r.setUps = {setUp(10 * ms, 1, "d0-x-1", 1, "a"), setUp(second, 2, "d0-x-2", 0, "b"),
              setUp(2 * second, 3, "d0-x-2", 0, "b")};
  r.setUps[1].refusedAt = r.setUps[1].endedAt = second + 10 * ms;
  r.setUps[1].ranAt = -1;
  r.rungs = {{0, 1, 1}};
  r.starts = {{3, second, 20, true}};
  r.listedStates = {{1, 6 * second, NodeState::draining}};
  return r;
}

std::vector<std::size_t> brokenBy(const Record& r) {
  std::vector<std::size_t> rules;
  const auto rows = check(r, statistics());
  for (std::size_t i = 0; i < rows.size(); ++i)
    if (rows[i].violations > 0) rules.push_back(i + 1);
  return rules;
}

using Rules = std::vector<std::size_t>;

}  // namespace

TEST_CASE("A sound record breaks nothing") { CHECK(brokenBy(sound()) == Rules{}); }

TEST_CASE("Each way to break a rule is seen, by that rule") {
  Record r = sound();
  SECTION("no answer") {
    r.requests[0].answers.clear();
    CHECK(brokenBy(r) == Rules{1});
    // unless its director was killed, or the player itself left
    r.directorKills = {{0, 0, second}};
    CHECK(brokenBy(r) == Rules{});
    r.directorKills.clear();
    r.requests[0].closedAt = second;
    CHECK(brokenBy(r) == Rules{});
  }
  SECTION("two answers") {
    r.requests[0].answers.push_back({second, Kind::terminated});
    CHECK(brokenBy(r) == Rules{1});
  }
  SECTION("an answer after the client timeout") {
    r.requests[0].answers[0].at = 3600 * ms;
    CHECK(brokenBy(r) == Rules{1});
    r.directorStalls = {{0, 0, second, 3 * second}};
    CHECK(brokenBy(r) == Rules{});
  }
  SECTION("two joins out") {
    r.setUps[1].refusedAt = -1;
    r.setUps[1].endedAt = 4 * second;
    CHECK(brokenBy(r) == Rules{2});
  }
  SECTION("a paid ask set up twice, by two runs of a director") {
    r.setUps.push_back(setUp(7 * second, 2, "d0-y-1", 1, "a"));
    r.setUps.back().director = "d0-y";
    CHECK(brokenBy(r) == Rules{2});
  }
  SECTION("a paid ask throttled though it may have run") {
    r.requests[0].answers[0].kind = Kind::throttled;
    CHECK(brokenBy(r) == Rules{2});
  }
  SECTION("a join after the grace") {
    r.setUps.push_back(setUp(7100 * ms, 1, "d0-x-9", 0, "z"));
    CHECK(brokenBy(r) == Rules{3});
  }
  SECTION("a burst on a cold node") {
    for (int i = 0; i < 9; ++i)
      r.setUps.push_back(setUp(3 * second, 3, "d0-x-" + std::to_string(20 + i), 0, "z"));
    CHECK(brokenBy(r) == Rules{4});
  }
  SECTION("a seat too many") {
    r.setUps.push_back(setUp(second, 1, "d0-x-5", 1, "c"));
    CHECK(brokenBy(r) == Rules{});
    r.setUps.push_back(setUp(second, 1, "d0-x-6", 1, "d"));
    CHECK(brokenBy(r) == Rules{5});
  }
  SECTION("a rung under the floor") {
    r.rungs.push_back({second, 1, 0});
    CHECK(brokenBy(r) == Rules{5});
  }
  SECTION("further joins over the budget") {
    for (int i = 0; i < 4; ++i)
      for (int join = 0; join < 2; ++join) {
        r.setUps.push_back(setUp(3 * second + join * ms, 2, "d0-x-" + std::to_string(30 + i), 0, "z"));
        r.setUps.back().refusedAt = r.setUps.back().endedAt = r.setUps.back().at;
      }
    CHECK(brokenBy(r) == Rules{6});
  }
}

TEST_CASE("A node that came back may be sent joins, and its second drain counts as the first did") {
  Record r = sound();
  r.listedStates = {{1, second, NodeState::draining}, {1, 3 * second, NodeState::ready}};
  r.setUps.push_back(setUp(7 * second, 1, "d0-x-9", 0, "z"));
  CHECK(brokenBy(r) == Rules{});
  r.listedStates.push_back({1, 5 * second, NodeState::draining});
  CHECK(brokenBy(r) == Rules{3});
  // A word that only one director could read binds that one alone.
  r.listedStates.back().director = 1;
  CHECK(brokenBy(r) == Rules{});
}

TEST_CASE("A mute player's ask is judged by what it heard") {
  Record r = sound();
  r.requests[0].neverReads = true;
  r.requests[0].answers.push_back({second, Kind::terminated});
  CHECK(brokenBy(r) == Rules{1});
  r.requests[0].answers.clear();
  CHECK(brokenBy(r) == Rules{});
}

TEST_CASE("A player that closes at its very time-out, unanswered, was not answered") {
  Record r = sound();
  r.requests[0].answers.clear();
  r.requests[0].closedAt = r.requests[0].at + r.requests[0].timeout;
  CHECK(brokenBy(r) == Rules{1});
}

TEST_CASE("Paid asks without a key are not one ask") {
  Record r = sound();
  r.requests[0].idempotencyKey = r.setUps[0].idempotencyKey = "";
  r.setUps.push_back(setUp(20 * ms, 2, "d0-x-7", 1, ""));
  CHECK(brokenBy(r) == Rules{});
}
