// The rules of the call manager, by scenarios and by random sequences of events, and the translation of
// requests.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "admission/call_manager.h"
#include "admission/request_translator.h"

using namespace lupinsill;
using namespace lupinsill::admission;

namespace {

constexpr Micros second = 1'000'000;

std::vector<DueAction> actionsAt(CallManager& manager, Micros now) {
  std::vector<DueAction> actions;
  manager.tick(now, actions);
  return actions;
}

}  // namespace

TEST_CASE("At most one answer to a call is sent") {
  CallManager manager{Limits{}};
  const PeerId peer = manager.acceptPeer(0).peer;
  const CallId callId = manager.open(0, peer, std::nullopt).callId;
  CHECK(manager.reply(callId, ReplyKind::playing) == SendMode::drop);  // no request yet
  CHECK(manager.handleInput(0, callId, CallInput::request).action == CallAction::accept);
  CHECK(manager.reply(callId, ReplyKind::rung) == SendMode::drop);
  CHECK(manager.reply(callId, ReplyKind::playing) == SendMode::keepOpen);
  CHECK(manager.reply(callId, ReplyKind::playing) == SendMode::drop);
  CHECK(manager.reply(callId, ReplyKind::throttled) == SendMode::drop);
  CHECK(manager.reply(callId, ReplyKind::rung) == SendMode::keepOpen);
  CHECK(manager.reply(callId, ReplyKind::ended) == SendMode::endCall);
  CHECK(manager.reply(callId, ReplyKind::ended) == SendMode::drop);
  CHECK(manager.statistics().secondAnswers == 3);
  CHECK(manager.statistics().open == 0);
}

TEST_CASE("A second request on a call is rejected, and the front is told that the call broke off") {
  CallManager manager{Limits{}};
  const CallId callId = manager.open(0, manager.acceptPeer(0).peer, std::nullopt).callId;
  manager.handleInput(0, callId, CallInput::request);
  const InputResult result = manager.handleInput(0, callId, CallInput::request);
  CHECK(result.action == CallAction::reject);
  CHECK(result.notifyClosed);
  CHECK(manager.reply(callId, ReplyKind::playing) == SendMode::drop);
}

TEST_CASE("The front is told whether a player left or broke off, but only of calls with a request") {
  CallManager manager{Limits{}};
  const PeerId peer = manager.acceptPeer(0).peer;
  const auto openCall = [&] { return manager.open(0, peer, std::nullopt).callId; };
  CHECK(manager.handleInput(0, openCall(), CallInput::leave).action == CallAction::end);
  CHECK(manager.handleInput(0, openCall(), CallInput::halfClose).action == CallAction::reject);
  const CallId left = openCall(), cut = openCall();
  manager.handleInput(0, left, CallInput::request), manager.handleInput(0, cut, CallInput::request);
  CHECK(manager.handleInput(0, left, CallInput::halfClose).action == CallAction::none);
  CHECK(manager.handleInput(0, left, CallInput::leave).action == CallAction::notifyLeft);
  CHECK(manager.handleInput(0, cut, CallInput::reset).action == CallAction::notifyClosed);
  CHECK(manager.handleInput(0, cut, CallInput::reset).action == CallAction::none);
}

TEST_CASE("A peer that floods the director with cancelled calls is closed, and other peers are not") {
  Limits limits;
  limits.cancelBurst = 20;
  CallManager manager{limits};
  const PeerId abuser = manager.acceptPeer(0).peer, other = manager.acceptPeer(0).peer;
  int rounds = 0;
  for (bool abusive = false; !abusive && rounds < 100; ++rounds) {
    const CallId callId = manager.open(rounds, abuser, std::nullopt).callId;
    manager.handleInput(rounds, callId, CallInput::request);
    abusive = manager.handleInput(rounds, callId, CallInput::reset).abusive;
  }
  CHECK(rounds == 21);
  CHECK(manager.open(rounds, abuser, std::nullopt).error == OpenError::abusive);
  CHECK(manager.open(rounds, other, std::nullopt).error == OpenError::none);
  // Cancellations at the allowed rate may go on for ever.
  for (Micros now = 0; now < 60 * second; now += second / 10) {
    const CallId callId = manager.open(now, other, std::nullopt).callId;
    manager.handleInput(now, callId, CallInput::request);
    CHECK_FALSE(manager.handleInput(now, callId, CallInput::reset).abusive);
  }
}

TEST_CASE("A drain notifies peers twice and closes them once idle, even if it is called off in between") {
  CallManager manager{Limits{}};
  const PeerId idle = manager.acceptPeer(0).peer, busy = manager.acceptPeer(0).peer;
  const CallId callId = manager.open(0, busy, std::nullopt).callId;
  manager.handleInput(0, callId, CallInput::request), manager.reply(callId, ReplyKind::playing);
  CHECK(actionsAt(manager, 0).empty());
  manager.drain(true);
  CHECK(actionsAt(manager, second).size() == 2);
  CHECK(actionsAt(manager, second + 1).empty());
  // A call that was on its way when the notice was sent is still accepted.
  CHECK(manager.open(second + 2, busy, std::nullopt).error == OpenError::none);
  manager.drain(false);
  const auto last = actionsAt(manager, 2 * second);
  REQUIRE(last.size() == 3);
  CHECK(last[0].kind == DueAction::Kind::finalDrainNotice);
  CHECK(last[1].kind == DueAction::Kind::closePeer);
  CHECK(last[1].peer == idle);
  CHECK(last[2].peer == busy);
  manager.handleInput(2 * second, callId, CallInput::leave);
  CHECK(actionsAt(manager, 2 * second).empty());  // the second call is still open
  const auto end = actionsAt(manager, 10 * second);
  REQUIRE(end.size() == 2);
  CHECK(end[0].kind == DueAction::Kind::endCall);
  CHECK(end[1].kind == DueAction::Kind::closePeer);
  // A peer that connects after the drain was called off gets no notice.
  manager.acceptPeer(10 * second);
  CHECK(actionsAt(manager, 12 * second).empty());
}

TEST_CASE("A call ends at its deadline, and the front is told if the call has a request") {
  CallManager manager{Limits{}};
  const PeerId peer = manager.acceptPeer(0).peer;
  const CallId unused = manager.open(0, peer, second).callId,
               playing = manager.open(0, peer, 2 * second).callId;
  manager.handleInput(0, playing, CallInput::request), manager.reply(playing, ReplyKind::playing);
  CHECK(manager.timeLeft(second, playing) == second);
  const auto first = actionsAt(manager, second), next = actionsAt(manager, 2 * second);
  REQUIRE(first.size() == 1);
  CHECK(first[0].callId == unused);
  CHECK_FALSE(first[0].notifyClosed);
  REQUIRE(next.size() == 1);
  CHECK(next[0].notifyClosed);
  CHECK(manager.reply(playing, ReplyKind::ended) == SendMode::drop);
}

TEST_CASE(
    "In any order of events a call has one answer, and the front hears once of its request and its end") {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::minstd_rand random(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(random() / 7 % n); };
    Limits limits;
    limits.peers = 4, limits.maxCallsPerPeer = 3, limits.cancelBurst = 5;
    CallManager manager{limits};
    struct CallRecord {
      int requests = 0, ends = 0, answers = 0;
      bool ended = false;
    };
    std::map<CallId, CallRecord> records;
    std::set<PeerId> peers;
    Micros now = 0;
    const auto recordEnd = [&](CallId callId) {
      ++records[callId].ends;
      REQUIRE(records[callId].requests == 1);
      REQUIRE(records[callId].ends == 1);
      records[callId].ended = true;
    };
    for (int step = 0; step < 120; ++step) {
      now += below(200'000);
      const PeerId peer = 1 + below(6);
      const CallId callId = 1 + below(static_cast<unsigned>(records.size()) + 1);
      switch (below(8)) {
        case 0: {
          const AcceptResult result = manager.acceptPeer(now);
          REQUIRE(result.accepted == (peers.size() < 4));
          if (result.accepted) peers.insert(result.peer);
          break;
        }
        case 1:
          if (below(4) != 0) break;
          for (const CallId closed : manager.removePeer(peer)) recordEnd(closed);
          peers.erase(peer);
          break;
        case 2:
        case 3: {
          const OpenResult opened =
              manager.open(now, peer, below(2) ? std::optional<Micros>(below(3'000'000)) : std::nullopt);
          if (opened.callId != 0) REQUIRE(records.emplace(opened.callId, CallRecord{}).second);
          break;
        }
        case 4:
        case 5: {
          const InputResult result = manager.handleInput(now, callId, static_cast<CallInput>(below(4)));
          if (result.action == CallAction::accept) {
            REQUIRE(++records[callId].requests == 1);
            if (below(5) == 0) manager.rejected(callId), records[callId].ended = true;
          }
          if (result.action == CallAction::notifyLeft || result.action == CallAction::notifyClosed ||
              result.notifyClosed)
            recordEnd(callId);
          break;
        }
        case 6: {
          const auto kind = static_cast<ReplyKind>(below(6));
          const SendMode send = manager.reply(callId, kind);
          if (send == SendMode::drop) break;
          REQUIRE_FALSE(records[callId].ended);
          REQUIRE(records[callId].requests == 1);
          if (kind != ReplyKind::rung && kind != ReplyKind::ended) REQUIRE(++records[callId].answers == 1);
          if (send == SendMode::endCall) records[callId].ended = true;
          break;
        }
        case 7:
          if (below(20) == 0) manager.drain(below(2) != 0);
          for (const DueAction& due : actionsAt(manager, now)) {
            if (due.kind == DueAction::Kind::endCall && due.notifyClosed) recordEnd(due.callId);
            if (due.kind == DueAction::Kind::closePeer) {
              REQUIRE(manager.removePeer(due.peer).empty());
              peers.erase(due.peer);
            }
          }
          break;
      }
      REQUIRE(manager.statistics().peers == peers.size());
      REQUIRE(manager.statistics().open <= 12);
    }
  }
}

TEST_CASE("A request times out at the shortest of the limits of room type, player and protocol") {
  RoomType roomType;
  roomType.effect = Effect::repeatable;
  roomType.top = 5;
  const RequestTranslator translator({"front-1", {"clip"}, {}, {4 * second}}, {roomType});
  const fleet::Membership fleet(1, 0.5, second);
  session_api::PlayMessage message;
  message.key = "k", message.viewer = "v", message.title = "t", message.room = "clip", message.top = 9;
  std::string error;
  CHECK(translator.translate(1, message, std::nullopt, fleet, error)->timeout == 4 * second);
  CHECK(translator.translate(1, message, second, fleet, error)->timeout == second);
  message.timeout = second / 2;
  CHECK(translator.translate(1, message, second, fleet, error)->timeout == second / 2);
  CHECK(translator.translate(1, message, second, fleet, error)->top == 5);
  message.room = "unknown";
  CHECK_FALSE(translator.translate(1, message, second, fleet, error));
  CHECK(error == "room: unknown room type");
}

TEST_CASE("An unknown tenant, and a key without a director for a room type with effects, are rejected") {
  RoomType paid;
  paid.effect = Effect::once;
  const RequestTranslator translator({"front-1", {"paid"}, {"one"}, {4 * second}}, {paid});
  const fleet::Membership fleet(1, 0.5, second);
  session_api::PlayMessage message;
  message.viewer = "v", message.title = "t", message.room = "paid", message.tenant = "one";
  std::string error;
  for (const char* key : {"", "k", "front-1:"}) {
    message.key = key;
    CHECK_FALSE(translator.translate(1, message, std::nullopt, fleet, error));
  }
  message.key = "front-1:k";
  CHECK(translator.translate(1, message, std::nullopt, fleet, error)->repeat ==
        session::PlayRequest::Repeat::no);
  message.key = "front-2:k";
  CHECK(translator.translate(1, message, std::nullopt, fleet, error)->repeat ==
        session::PlayRequest::Repeat::elsewhere);
  message.tenant = "two";
  CHECK_FALSE(translator.translate(1, message, std::nullopt, fleet, error));
  CHECK(error == "tenant: unknown tenant");
}
