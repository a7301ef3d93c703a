// The desk between players' words and the front: what it keeps, by scenario and by random orders of words.
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

std::vector<DueAction> ticked(CallManager& desk, Micros now) {
  std::vector<DueAction> due;
  desk.tick(now, due);
  return due;
}

}  // namespace

TEST_CASE("One answer to a call is sent, and no second, whatever is said") {
  CallManager desk{Limits{}};
  const PeerId peer = desk.acceptPeer(0).peer;
  const CallId callId = desk.open(0, peer, std::nullopt).callId;
  CHECK(desk.reply(callId, ReplyKind::playing) == SendMode::drop);  // nobody has asked
  CHECK(desk.handleInput(0, callId, CallInput::request).action == CallAction::accept);
  CHECK(desk.reply(callId, ReplyKind::rung) == SendMode::drop);
  CHECK(desk.reply(callId, ReplyKind::playing) == SendMode::keepOpen);
  CHECK(desk.reply(callId, ReplyKind::playing) == SendMode::drop);
  CHECK(desk.reply(callId, ReplyKind::throttled) == SendMode::drop);
  CHECK(desk.reply(callId, ReplyKind::rung) == SendMode::keepOpen);
  CHECK(desk.reply(callId, ReplyKind::ended) == SendMode::endCall);
  CHECK(desk.reply(callId, ReplyKind::ended) == SendMode::drop);
  CHECK(desk.statistics().secondAnswers == 3);
  CHECK(desk.statistics().open == 0);
}

TEST_CASE("A second ask on a call ends it, and the front hears that its player went") {
  CallManager desk{Limits{}};
  const CallId callId = desk.open(0, desk.acceptPeer(0).peer, std::nullopt).callId;
  desk.handleInput(0, callId, CallInput::request);
  const InputResult heard = desk.handleInput(0, callId, CallInput::request);
  CHECK(heard.action == CallAction::reject);
  CHECK(heard.notifyClosed);
  CHECK(desk.reply(callId, ReplyKind::playing) == SendMode::drop);
}

TEST_CASE("A leave is through with its key, a reset may come back with it; before an ask neither is told") {
  CallManager desk{Limits{}};
  const PeerId peer = desk.acceptPeer(0).peer;
  const auto open = [&] { return desk.open(0, peer, std::nullopt).callId; };
  CHECK(desk.handleInput(0, open(), CallInput::leave).action == CallAction::end);
  CHECK(desk.handleInput(0, open(), CallInput::halfClose).action == CallAction::reject);
  const CallId left = open(), cut = open();
  desk.handleInput(0, left, CallInput::request), desk.handleInput(0, cut, CallInput::request);
  CHECK(desk.handleInput(0, left, CallInput::halfClose).action == CallAction::none);
  CHECK(desk.handleInput(0, left, CallInput::leave).action == CallAction::notifyLeft);
  CHECK(desk.handleInput(0, cut, CallInput::reset).action == CallAction::notifyClosed);
  CHECK(desk.handleInput(0, cut, CallInput::reset).action == CallAction::none);
}

TEST_CASE("A peer that asks and takes back without end is ended, and its neighbour is not") {
  Limits bounds;
  bounds.cancelBurst = 20;
  CallManager desk{bounds};
  const PeerId bad = desk.acceptPeer(0).peer, good = desk.acceptPeer(0).peer;
  int rounds = 0;
  for (bool abusive = false; !abusive && rounds < 100; ++rounds) {
    const CallId callId = desk.open(rounds, bad, std::nullopt).callId;
    desk.handleInput(rounds, callId, CallInput::request);
    abusive = desk.handleInput(rounds, callId, CallInput::reset).abusive;
  }
  CHECK(rounds == 21);
  CHECK(desk.open(rounds, bad, std::nullopt).error == OpenError::abusive);
  CHECK(desk.open(rounds, good, std::nullopt).error == OpenError::none);
  // At the pace that is stated for it, one may go on for ever.
  for (Micros now = 0; now < 60 * second; now += second / 10) {
    const CallId callId = desk.open(now, good, std::nullopt).callId;
    desk.handleInput(now, callId, CallInput::request);
    CHECK_FALSE(desk.handleInput(now, callId, CallInput::reset).abusive);
  }
}

TEST_CASE(
    "A drain tells a peer twice, and ends it once it is idle; called off, those who were told still end") {
  CallManager desk{Limits{}};
  const PeerId idle = desk.acceptPeer(0).peer, busy = desk.acceptPeer(0).peer;
  const CallId callId = desk.open(0, busy, std::nullopt).callId;
  desk.handleInput(0, callId, CallInput::request), desk.reply(callId, ReplyKind::playing);
  CHECK(ticked(desk, 0).empty());
  desk.drain(true);
  CHECK(ticked(desk, second).size() == 2);
  CHECK(ticked(desk, second + 1).empty());
  // On its way when the word was said: still taken.
  CHECK(desk.open(second + 2, busy, std::nullopt).error == OpenError::none);
  desk.drain(false);
  const auto last = ticked(desk, 2 * second);
  REQUIRE(last.size() == 3);
  CHECK(last[0].kind == DueAction::Kind::finalDrainNotice);
  CHECK(last[1].kind == DueAction::Kind::closePeer);
  CHECK(last[1].peer == idle);
  CHECK(last[2].peer == busy);
  desk.handleInput(2 * second, callId, CallInput::leave);
  CHECK(ticked(desk, 2 * second).empty());  // the call that was on its way
  const auto end = ticked(desk, 10 * second);
  REQUIRE(end.size() == 2);
  CHECK(end[0].kind == DueAction::Kind::endCall);
  CHECK(end[1].kind == DueAction::Kind::closePeer);
  // Whoever comes now is not told anything.
  desk.acceptPeer(10 * second);
  CHECK(ticked(desk, 12 * second).empty());
}

TEST_CASE("A call past its own deadline ends, asked or not; the front hears where it has it") {
  CallManager desk{Limits{}};
  const PeerId peer = desk.acceptPeer(0).peer;
  const CallId silent = desk.open(0, peer, second).callId, plays = desk.open(0, peer, 2 * second).callId;
  desk.handleInput(0, plays, CallInput::request), desk.reply(plays, ReplyKind::playing);
  CHECK(desk.timeLeft(second, plays) == second);
  const auto first = ticked(desk, second), next = ticked(desk, 2 * second);
  REQUIRE(first.size() == 1);
  CHECK(first[0].callId == silent);
  CHECK_FALSE(first[0].notifyClosed);
  REQUIRE(next.size() == 1);
  CHECK(next[0].notifyClosed);
  CHECK(desk.reply(plays, ReplyKind::ended) == SendMode::drop);
}

TEST_CASE("Any order of words: one answer a call, each call told to the front once and taken back once") {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::minstd_rand chance(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() / 7 % n); };
    Limits bounds;
    bounds.peers = 4, bounds.maxCallsPerPeer = 3, bounds.cancelBurst = 5;
    CallManager desk{bounds};
    struct Seen {
      int taken = 0, gone = 0, answers = 0;
      bool ended = false;
    };
    std::map<CallId, Seen> seen;
    std::set<PeerId> peers;
    Micros now = 0;
    const auto gone = [&](CallId callId) {
      ++seen[callId].gone;
      REQUIRE(seen[callId].taken == 1);
      REQUIRE(seen[callId].gone == 1);
      seen[callId].ended = true;
    };
    for (int step = 0; step < 120; ++step) {
      now += below(200'000);
      const PeerId peer = 1 + below(6);
      const CallId callId = 1 + below(static_cast<unsigned>(seen.size()) + 1);
      switch (below(8)) {
        case 0: {
          const AcceptResult arrival = desk.acceptPeer(now);
          REQUIRE(arrival.accepted == (peers.size() < 4));
          if (arrival.accepted) peers.insert(arrival.peer);
          break;
        }
        case 1:
          if (below(4) != 0) break;
          for (const CallId l : desk.removePeer(peer)) gone(l);
          peers.erase(peer);
          break;
        case 2:
        case 3: {
          const OpenResult opened =
              desk.open(now, peer, below(2) ? std::optional<Micros>(below(3'000'000)) : std::nullopt);
          if (opened.callId != 0) REQUIRE(seen.emplace(opened.callId, Seen{}).second);
          break;
        }
        case 4:
        case 5: {
          const InputResult heard = desk.handleInput(now, callId, static_cast<CallInput>(below(4)));
          if (heard.action == CallAction::accept) {
            REQUIRE(++seen[callId].taken == 1);
            if (below(5) == 0) desk.rejected(callId), seen[callId].ended = true;
          }
          if (heard.action == CallAction::notifyLeft || heard.action == CallAction::notifyClosed ||
              heard.notifyClosed)
            gone(callId);
          break;
        }
        case 6: {
          const auto tell = static_cast<ReplyKind>(below(6));
          const SendMode send = desk.reply(callId, tell);
          if (send == SendMode::drop) break;
          REQUIRE_FALSE(seen[callId].ended);
          REQUIRE(seen[callId].taken == 1);
          if (tell != ReplyKind::rung && tell != ReplyKind::ended) REQUIRE(++seen[callId].answers == 1);
          if (send == SendMode::endCall) seen[callId].ended = true;
          break;
        }
        case 7:
          if (below(20) == 0) desk.drain(below(2) != 0);
          for (const DueAction& due : ticked(desk, now)) {
            if (due.kind == DueAction::Kind::endCall && due.notifyClosed) gone(due.callId);
            if (due.kind == DueAction::Kind::closePeer) {
              REQUIRE(desk.removePeer(due.peer).empty());
              peers.erase(due.peer);
            }
          }
          break;
      }
      REQUIRE(desk.statistics().peers == peers.size());
      REQUIRE(desk.statistics().open <= 12);
    }
  }
}

TEST_CASE("The shortest of three times is the ask's: room type, player, protocol") {
  RoomType room;
  room.effect = Effect::repeatable;
  room.top = 5;
  const RequestTranslator reception({"front-1", {"clip"}, {}, {4 * second}}, {room});
  const fleet::Membership fleet(1, 0.5, second);
  session_api::PlayMessage ask;
  ask.key = "k", ask.viewer = "v", ask.title = "t", ask.room = "clip", ask.top = 9;
  std::string why;
  CHECK(reception.translate(1, ask, std::nullopt, fleet, why)->timeout == 4 * second);
  CHECK(reception.translate(1, ask, second, fleet, why)->timeout == second);
  ask.timeout = second / 2;
  CHECK(reception.translate(1, ask, second, fleet, why)->timeout == second / 2);
  CHECK(reception.translate(1, ask, second, fleet, why)->top == 5);
  ask.room = "attic";
  CHECK_FALSE(reception.translate(1, ask, second, fleet, why));
  CHECK(why == "room: unknown room type");
}

TEST_CASE("An unknown tenant, and a paid key that names no director, are refused at the door") {
  RoomType paid;
  paid.effect = Effect::once;
  const RequestTranslator reception({"front-1", {"paid"}, {"one"}, {4 * second}}, {paid});
  const fleet::Membership fleet(1, 0.5, second);
  session_api::PlayMessage ask;
  ask.viewer = "v", ask.title = "t", ask.room = "paid", ask.tenant = "one";
  std::string why;
  for (const char* key : {"", "k", "front-1:"}) {
    ask.key = key;
    CHECK_FALSE(reception.translate(1, ask, std::nullopt, fleet, why));
  }
  ask.key = "front-1:k";
  CHECK(reception.translate(1, ask, std::nullopt, fleet, why)->repeat == session::PlayRequest::Repeat::no);
  ask.key = "front-2:k";
  CHECK(reception.translate(1, ask, std::nullopt, fleet, why)->repeat ==
        session::PlayRequest::Repeat::elsewhere);
  ask.tenant = "two";
  CHECK_FALSE(reception.translate(1, ask, std::nullopt, fleet, why));
  CHECK(why == "tenant: unknown tenant");
}
