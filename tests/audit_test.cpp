// Tests of the audit: a record without violations passes, and a record changed in one way fails the rule for
// that change and no other.
#include <catch2/catch.hpp>

#include "audit/audit.h"

using namespace lupinsill;
using namespace lupinsill::audit;

namespace {

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

CheckSettings testSettings() {
  CheckSettings settings;
  RoomType clip, paid;
  paid.effect = Effect::once;
  paid.floor = 1;
  paid.seats = 2;
  settings.controlSettings.roomTypes = {clip, paid};
  settings.controlSettings.slotsByKind = {20};
  settings.controlSettings.coldTime = 8 * second;
  settings.controlSettings.fallTime = 2 * second;
  settings.controlSettings.startCapacity = 0.4;
  settings.controlSettings.overloadFactor = 3;
  settings.controlSettings.retryBudget = RetryBudget{2, 0.1, 5 * second};
  settings.clientTimeouts = {4 * second, 3 * second};
  settings.grace = 800 * ms;
  settings.answerTolerance = 500 * ms;
  settings.orderTolerance = 250 * ms;
  settings.maxListDelay = 200 * ms;
  return settings;
}

SetUpObservation setUp(Micros at, NodeId node, const std::string& subscription, int room,
                       const std::string& idempotencyKey) {
  SetUpObservation observed;
  observed.at = at;
  observed.node = node;
  observed.director = "d0-x";
  observed.subscription = subscription;
  observed.viewer = "v";
  observed.idempotencyKey = idempotencyKey;
  observed.title = "t";
  observed.roomType = room;
  observed.rung = 1;
  observed.ranAt = observed.answeredAt = at + 20 * ms;
  observed.endedAt = at + 5 * second;
  return observed;
}

RequestObservation request(Micros at, int room, const std::string& idempotencyKey,
                           RequestObservation::Answer::Kind kind) {
  RequestObservation observed;
  observed.at = at;
  observed.viewer = "v";
  observed.idempotencyKey = idempotencyKey;
  observed.roomType = room;
  observed.timeout = room == 1 ? 3 * second : 4 * second;
  observed.answers = {{at + 30 * ms, kind}};
  return observed;
}

using Kind = RequestObservation::Answer::Kind;

Record validRecord() {
  Record record;
  record.requests = {request(0, 1, "a", Kind::playing), request(second, 0, "b", Kind::playing)};
  record.setUps = {setUp(10 * ms, 1, "d0-x-1", 1, "a"), setUp(second, 2, "d0-x-2", 0, "b"),
                   setUp(2 * second, 3, "d0-x-2", 0, "b")};
  record.setUps[1].refusedAt = record.setUps[1].endedAt = second + 10 * ms;
  record.setUps[1].ranAt = -1;
  record.rungs = {{0, 1, 1}};
  record.starts = {{3, second, 20, true}};
  record.listedStates = {{1, 6 * second, NodeState::draining}};
  return record;
}

std::vector<std::size_t> violatedRules(const Record& record) {
  std::vector<std::size_t> rules;
  const auto results = check(record, testSettings());
  for (std::size_t i = 0; i < results.size(); ++i)
    if (results[i].violations > 0) rules.push_back(i + 1);
  return rules;
}

using Rules = std::vector<std::size_t>;

}  // namespace

TEST_CASE("A record without violations passes every rule") { CHECK(violatedRules(validRecord()) == Rules{}); }

TEST_CASE("Each kind of violation is reported by its own rule and by no other") {
  Record record = validRecord();
  SECTION("no answer") {
    record.requests[0].answers.clear();
    CHECK(violatedRules(record) == Rules{1});
    // Nothing is owed when the director was killed or the player left before its timeout.
    record.directorKills = {{0, 0, second}};
    CHECK(violatedRules(record) == Rules{});
    record.directorKills.clear();
    record.requests[0].closedAt = second;
    CHECK(violatedRules(record) == Rules{});
  }
  SECTION("two answers") {
    record.requests[0].answers.push_back({second, Kind::terminated});
    CHECK(violatedRules(record) == Rules{1});
  }
  SECTION("an answer after the client timeout") {
    record.requests[0].answers[0].at = 3600 * ms;
    CHECK(violatedRules(record) == Rules{1});
    record.directorStalls = {{0, 0, second, 3 * second}};
    CHECK(violatedRules(record) == Rules{});
  }
  SECTION("two joins of one subscription at the same time") {
    record.setUps[1].refusedAt = -1;
    record.setUps[1].endedAt = 4 * second;
    CHECK(violatedRules(record) == Rules{2});
  }
  SECTION("a paid request set up twice, by two runs of a director") {
    record.setUps.push_back(setUp(7 * second, 2, "d0-y-1", 1, "a"));
    record.setUps.back().director = "d0-y";
    CHECK(violatedRules(record) == Rules{2});
  }
  SECTION("a paid request throttled though it may have run") {
    record.requests[0].answers[0].kind = Kind::throttled;
    CHECK(violatedRules(record) == Rules{2});
  }
  SECTION("a join after the grace period of a drain") {
    record.setUps.push_back(setUp(7100 * ms, 1, "d0-x-9", 0, "z"));
    CHECK(violatedRules(record) == Rules{3});
  }
  SECTION("a burst on a cold node") {
    for (int i = 0; i < 9; ++i)
      record.setUps.push_back(setUp(3 * second, 3, "d0-x-" + std::to_string(20 + i), 0, "z"));
    CHECK(violatedRules(record) == Rules{4});
  }
  SECTION("more joins than seats") {
    record.setUps.push_back(setUp(second, 1, "d0-x-5", 1, "c"));
    CHECK(violatedRules(record) == Rules{});
    record.setUps.push_back(setUp(second, 1, "d0-x-6", 1, "d"));
    CHECK(violatedRules(record) == Rules{5});
  }
  SECTION("a rung below the floor") {
    record.rungs.push_back({second, 1, 0});
    CHECK(violatedRules(record) == Rules{5});
  }
  SECTION("further joins over the retry budget") {
    for (int i = 0; i < 4; ++i)
      for (int join = 0; join < 2; ++join) {
        record.setUps.push_back(setUp(3 * second + join * ms, 2, "d0-x-" + std::to_string(30 + i), 0, "z"));
        record.setUps.back().refusedAt = record.setUps.back().endedAt = record.setUps.back().at;
      }
    CHECK(violatedRules(record) == Rules{6});
  }
}

TEST_CASE("A node that is ready again may get joins, and its second drain is checked like the first") {
  Record record = validRecord();
  record.listedStates = {{1, second, NodeState::draining}, {1, 3 * second, NodeState::ready}};
  record.setUps.push_back(setUp(7 * second, 1, "d0-x-9", 0, "z"));
  CHECK(violatedRules(record) == Rules{});
  record.listedStates.push_back({1, 5 * second, NodeState::draining});
  CHECK(violatedRules(record) == Rules{3});
  // A list that only one director could read binds no other director.
  record.listedStates.back().director = 1;
  CHECK(violatedRules(record) == Rules{});
}

TEST_CASE("A player that never reads its socket is checked only by the answers it received") {
  Record record = validRecord();
  record.requests[0].neverReads = true;
  record.requests[0].answers.push_back({second, Kind::terminated});
  CHECK(violatedRules(record) == Rules{1});
  record.requests[0].answers.clear();
  CHECK(violatedRules(record) == Rules{});
}

TEST_CASE("A player that closes at its timeout without an answer counts as unanswered") {
  Record record = validRecord();
  record.requests[0].answers.clear();
  record.requests[0].closedAt = record.requests[0].at + record.requests[0].timeout;
  CHECK(violatedRules(record) == Rules{1});
}

TEST_CASE("Paid requests without an idempotency key are not taken for one request") {
  Record record = validRecord();
  record.requests[0].idempotencyKey = record.setUps[0].idempotencyKey = "";
  record.setUps.push_back(setUp(20 * ms, 2, "d0-x-7", 1, ""));
  CHECK(violatedRules(record) == Rules{});
}
