// The desk between players' words and the front: what it keeps, by scenario and by random orders of words.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "intake/desk.h"
#include "intake/reception.h"

using namespace lupinsill;
using namespace lupinsill::intake;

namespace {

constexpr Micros second = 1'000'000;

std::vector<Due> ticked(Desk& desk, Micros now) {
  std::vector<Due> due;
  desk.tick(now, due);
  return due;
}

}  // namespace

TEST_CASE("One answer to a call is sent, and no second, whatever is said") {
  Desk desk{Bounds{}};
  const PeerId peer = desk.arrive(0).peer;
  const Line line = desk.open(0, peer, std::nullopt).line;
  CHECK(desk.tell(line, Tell::playing) == Send::no);  // nobody has asked
  CHECK(desk.word(0, line, Word::ask).step == Step::take);
  CHECK(desk.tell(line, Tell::rung) == Send::no);
  CHECK(desk.tell(line, Tell::playing) == Send::andStay);
  CHECK(desk.tell(line, Tell::playing) == Send::no);
  CHECK(desk.tell(line, Tell::throttled) == Send::no);
  CHECK(desk.tell(line, Tell::rung) == Send::andStay);
  CHECK(desk.tell(line, Tell::ended) == Send::andEnd);
  CHECK(desk.tell(line, Tell::ended) == Send::no);
  CHECK(desk.figures().secondAnswers == 3);
  CHECK(desk.figures().open == 0);
}

TEST_CASE("A second ask on a call ends it, and the front hears that its player went") {
  Desk desk{Bounds{}};
  const Line line = desk.open(0, desk.arrive(0).peer, std::nullopt).line;
  desk.word(0, line, Word::ask);
  const Heard heard = desk.word(0, line, Word::ask);
  CHECK(heard.step == Step::refuse);
  CHECK(heard.tellGone);
  CHECK(desk.tell(line, Tell::playing) == Send::no);
}

TEST_CASE("A leave is through with its key, a reset may come back with it; before an ask neither is told") {
  Desk desk{Bounds{}};
  const PeerId peer = desk.arrive(0).peer;
  const auto open = [&] { return desk.open(0, peer, std::nullopt).line; };
  CHECK(desk.word(0, open(), Word::leave).step == Step::over);
  CHECK(desk.word(0, open(), Word::halfClose).step == Step::refuse);
  const Line left = open(), cut = open();
  desk.word(0, left, Word::ask), desk.word(0, cut, Word::ask);
  CHECK(desk.word(0, left, Word::halfClose).step == Step::pass);
  CHECK(desk.word(0, left, Word::leave).step == Step::tellLeft);
  CHECK(desk.word(0, cut, Word::reset).step == Step::tellGone);
  CHECK(desk.word(0, cut, Word::reset).step == Step::pass);
}

TEST_CASE("A peer that asks and takes back without end is ended, and its neighbour is not") {
  Bounds bounds;
  bounds.takenBackFew = 20;
  Desk desk{bounds};
  const PeerId bad = desk.arrive(0).peer, good = desk.arrive(0).peer;
  int rounds = 0;
  for (bool unruly = false; !unruly && rounds < 100; ++rounds) {
    const Line line = desk.open(rounds, bad, std::nullopt).line;
    desk.word(rounds, line, Word::ask);
    unruly = desk.word(rounds, line, Word::reset).unruly;
  }
  CHECK(rounds == 21);
  CHECK(desk.open(rounds, bad, std::nullopt).why == NotOpened::unruly);
  CHECK(desk.open(rounds, good, std::nullopt).why == NotOpened::no);
  // At the pace that is stated for it, one may go on for ever.
  for (Micros now = 0; now < 60 * second; now += second / 10) {
    const Line line = desk.open(now, good, std::nullopt).line;
    desk.word(now, line, Word::ask);
    CHECK_FALSE(desk.word(now, line, Word::reset).unruly);
  }
}

TEST_CASE(
    "A drain tells a peer twice, and ends it once it is idle; called off, those who were told still end") {
  Desk desk{Bounds{}};
  const PeerId idle = desk.arrive(0).peer, busy = desk.arrive(0).peer;
  const Line line = desk.open(0, busy, std::nullopt).line;
  desk.word(0, line, Word::ask), desk.tell(line, Tell::playing);
  CHECK(ticked(desk, 0).empty());
  desk.drain(true);
  CHECK(ticked(desk, second).size() == 2);
  CHECK(ticked(desk, second + 1).empty());
  // On its way when the word was said: still taken.
  CHECK(desk.open(second + 2, busy, std::nullopt).why == NotOpened::no);
  desk.drain(false);
  const auto last = ticked(desk, 2 * second);
  REQUIRE(last.size() == 3);
  CHECK(last[0].what == Due::What::lastWord);
  CHECK(last[1].what == Due::What::endPeer);
  CHECK(last[1].peer == idle);
  CHECK(last[2].peer == busy);
  desk.word(2 * second, line, Word::leave);
  CHECK(ticked(desk, 2 * second).empty());  // the call that was on its way
  const auto end = ticked(desk, 10 * second);
  REQUIRE(end.size() == 2);
  CHECK(end[0].what == Due::What::endCall);
  CHECK(end[1].what == Due::What::endPeer);
  // Whoever comes now is not told anything.
  desk.arrive(10 * second);
  CHECK(ticked(desk, 12 * second).empty());
}

TEST_CASE("A call past its own deadline ends, asked or not; the front hears where it has it") {
  Desk desk{Bounds{}};
  const PeerId peer = desk.arrive(0).peer;
  const Line silent = desk.open(0, peer, second).line, plays = desk.open(0, peer, 2 * second).line;
  desk.word(0, plays, Word::ask), desk.tell(plays, Tell::playing);
  CHECK(desk.timeLeft(second, plays) == second);
  const auto first = ticked(desk, second), next = ticked(desk, 2 * second);
  REQUIRE(first.size() == 1);
  CHECK(first[0].line == silent);
  CHECK_FALSE(first[0].tellGone);
  REQUIRE(next.size() == 1);
  CHECK(next[0].tellGone);
  CHECK(desk.tell(plays, Tell::ended) == Send::no);
}

TEST_CASE("Any order of words: one answer a call, each call told to the front once and taken back once") {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::minstd_rand chance(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() / 7 % n); };
    Bounds bounds;
    bounds.peers = 4, bounds.callsPerPeer = 3, bounds.takenBackFew = 5;
    Desk desk{bounds};
    struct Seen {
      int taken = 0, gone = 0, answers = 0;
      bool ended = false;
    };
    std::map<Line, Seen> seen;
    std::set<PeerId> peers;
    Micros now = 0;
    const auto gone = [&](Line line) {
      ++seen[line].gone;
      REQUIRE(seen[line].taken == 1);
      REQUIRE(seen[line].gone == 1);
      seen[line].ended = true;
    };
    for (int step = 0; step < 120; ++step) {
      now += below(200'000);
      const PeerId peer = 1 + below(6);
      const Line line = 1 + below(static_cast<unsigned>(seen.size()) + 1);
      switch (below(8)) {
        case 0: {
          const Arrival arrival = desk.arrive(now);
          REQUIRE(arrival.taken == (peers.size() < 4));
          if (arrival.taken) peers.insert(arrival.peer);
          break;
        }
        case 1:
          if (below(4) != 0) break;
          for (const Line l : desk.depart(peer)) gone(l);
          peers.erase(peer);
          break;
        case 2:
        case 3: {
          const Opened opened =
              desk.open(now, peer, below(2) ? std::optional<Micros>(below(3'000'000)) : std::nullopt);
          if (opened.line != 0) REQUIRE(seen.emplace(opened.line, Seen{}).second);
          break;
        }
        case 4:
        case 5: {
          const Heard heard = desk.word(now, line, static_cast<Word>(below(4)));
          if (heard.step == Step::take) {
            REQUIRE(++seen[line].taken == 1);
            if (below(5) == 0) desk.refused(line), seen[line].ended = true;
          }
          if (heard.step == Step::tellLeft || heard.step == Step::tellGone || heard.tellGone) gone(line);
          break;
        }
        case 6: {
          const auto tell = static_cast<Tell>(below(6));
          const Send send = desk.tell(line, tell);
          if (send == Send::no) break;
          REQUIRE_FALSE(seen[line].ended);
          REQUIRE(seen[line].taken == 1);
          if (tell != Tell::rung && tell != Tell::ended) REQUIRE(++seen[line].answers == 1);
          if (send == Send::andEnd) seen[line].ended = true;
          break;
        }
        case 7:
          if (below(20) == 0) desk.drain(below(2) != 0);
          for (const Due& due : ticked(desk, now)) {
            if (due.what == Due::What::endCall && due.tellGone) gone(due.line);
            if (due.what == Due::What::endPeer) {
              REQUIRE(desk.depart(due.peer).empty());
              peers.erase(due.peer);
            }
          }
          break;
      }
      REQUIRE(desk.figures().peers == peers.size());
      REQUIRE(desk.figures().open <= 12);
    }
  }
}

TEST_CASE("The shortest of three times is the ask's: room type, player, protocol") {
  RoomType room;
  room.effect = Effect::repeatable;
  room.top = 5;
  const Reception reception({"front-1", {"clip"}, {}, {4 * second}}, {room});
  const fleet::Membership fleet(1, 0.5, second);
  player::AskMessage ask;
  ask.key = "k", ask.viewer = "v", ask.title = "t", ask.room = "clip", ask.top = 9;
  std::string why;
  CHECK(reception.read(1, ask, std::nullopt, fleet, why)->timeout == 4 * second);
  CHECK(reception.read(1, ask, second, fleet, why)->timeout == second);
  ask.timeout = second / 2;
  CHECK(reception.read(1, ask, second, fleet, why)->timeout == second / 2);
  CHECK(reception.read(1, ask, second, fleet, why)->top == 5);
  ask.room = "attic";
  CHECK_FALSE(reception.read(1, ask, second, fleet, why));
  CHECK(why == "room: unknown room type");
}

TEST_CASE("An unknown tenant, and a paid key that names no director, are refused at the door") {
  RoomType paid;
  paid.effect = Effect::once;
  const Reception reception({"front-1", {"paid"}, {"one"}, {4 * second}}, {paid});
  const fleet::Membership fleet(1, 0.5, second);
  player::AskMessage ask;
  ask.viewer = "v", ask.title = "t", ask.room = "paid", ask.tenant = "one";
  std::string why;
  for (const char* key : {"", "k", "front-1:"}) {
    ask.key = key;
    CHECK_FALSE(reception.read(1, ask, std::nullopt, fleet, why));
  }
  ask.key = "front-1:k";
  CHECK(reception.read(1, ask, std::nullopt, fleet, why)->again == session::Ask::Again::no);
  ask.key = "front-2:k";
  CHECK(reception.read(1, ask, std::nullopt, fleet, why)->again == session::Ask::Again::elsewhere);
  ask.tenant = "two";
  CHECK_FALSE(reception.read(1, ask, std::nullopt, fleet, why));
  CHECK(why == "tenant: unknown tenant");
}
