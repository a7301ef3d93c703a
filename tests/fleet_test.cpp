// A fleet of directors, each with its own module and guards, against one cold media node on a simulated
// clock: what all of them send it together stays within what chance may add to what the settings allow.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "session/front.h"

using namespace lupinsill;
using namespace lupinsill::session;

namespace {

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

enum class Connections { quick, late, inHeaps };

struct Case {
  int directors;
  int places;
  double startCapacity;
  double overloadFactor;
  Micros fallTime;
  Connections connections;
  bool restarted;  // all directors were started with the node: none has counted anything yet
  bool lateLists;
  double perSecond;  // asks of the mean director; one in five sees three times that
};

ControlSettings parseControlSettings(const Case& c, int ordinal) {
  ControlSettings t;
  RoomType clip;
  clip.joinObjective = second;
  clip.top = 2;
  RoomType paid = clip;
  paid.effect = Effect::once;
  t.roomTypes = {clip, paid};
  t.ladderKb = {100, 200, 400};
  t.rungBenefit = {0.3, 0.6, 1};
  t.slotsByKind = {c.places};
  t.directors = c.directors;
  t.ordinal = ordinal;
  t.cells = 1;
  t.racks = 1;
  t.maxJoins = 3;
  t.weightKb = t.totalLinkKb = t.rackUplinkKb = 1e6;  // links are no limit here: the pace alone is
  t.startCapacity = c.startCapacity;
  t.overloadFactor = c.overloadFactor;
  t.coldTime = 8 * second;
  t.fallTime = c.fallTime;
  t.seenAfter = 300 * ms;
  t.reportInterval = second;
  t.maxRetryAfter = 500 * ms;
  t.retryAfter = true;
  return t;
}

struct Director {
  std::unique_ptr<Front> front;
  double rate = 0;
  double owed = 0;
  Micros bornAt = 0, toldAt = 0;
  bool told = false;
};

// The times of all set-ups that were written to the node, which starts at ten seconds.
std::vector<Micros> sendsOf(const Case& c, unsigned seed) {
  const Micros start = 10 * second;
  std::mt19937 draw(seed);
  const auto span = [&](Micros most) {
    return static_cast<Micros>(draw() % static_cast<unsigned>(most + 1));
  };
  std::vector<Director> fleet(static_cast<std::size_t>(c.directors));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Director& d = fleet[i];
    d.front = std::make_unique<Front>(
        parseControlSettings(c, static_cast<int>(i)),
        Limits{2 * second, 10 * ms, 300 * ms, 0, 0, 1000, 1000, false, 5000, true, 0},
        std::make_unique<ControlDecider>(parseControlSettings(c, static_cast<int>(i)), seed * 1000 + i));
    d.rate = c.perSecond * (i % 5 == 0 ? 3 : 0.5);
    d.bornAt = c.restarted ? start + span(300 * ms) : 10 * ms;
    d.toldAt = start + 400 * ms + (c.lateLists ? span(1500 * ms) : span(100 * ms));
  }
  struct Write {
    std::size_t director;
    JoinId join;
  };
  std::multimap<Micros, Write> writes, answers, ends;
  std::vector<Micros> sent;
  std::vector<Command> orders;
  CallId callId = 0;
  constexpr Micros step = 5 * ms;
  for (Micros now = 10 * ms; now < start + 8 * second; now += step) {
    const auto due = [&](std::multimap<Micros, Write>& at, auto act) {
      while (!at.empty() && at.begin()->first <= now) {
        const Write write = at.begin()->second;
        at.erase(at.begin());
        act(write);
      }
    };
    due(writes, [&](const Write& w) {
      if (!fleet[w.director].front->mayWrite(now, w.join))
        return fleet[w.director].front->joinEnded(w.join, Outcome::notSent, {});
      sent.push_back(now);
      answers.emplace(now + 30 * ms, w);
    });
    due(answers, [&](const Write& w) {
      fleet[w.director].front->joinStarted(w.join);
      ends.emplace(now + 4 * second, w);
    });
    due(ends, [&](const Write& w) { fleet[w.director].front->joinEnded(w.join, Outcome::ok, {}, true); });
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      Director& d = fleet[i];
      if (now < d.bornAt) continue;
      if (!d.told && now >= d.toldAt) {
        d.told = true;
        d.front->listUpdated({ListKind::snapshot, {{1, NodeState::ready, 0, 1, 0, start, "a"}}});
      }
      d.owed +=
          d.rate * static_cast<double>(step) / second * (0.5 + static_cast<double>(draw() % 1000) / 1000);
      for (; d.owed >= 1; d.owed -= 1)
        d.front->submit({++callId, "", "v" + std::to_string(callId), "t" + std::to_string(callId % 20),
                         static_cast<int>(callId % 2), -1, 0, 1, 2, 3 * second, PlayRequest::Repeat::no,
                         std::nullopt});
      if (now < d.front->due()) continue;
      orders.clear();
      d.front->processTurn(now, orders);
      for (const Command& order : orders)
        if (const auto* out = std::get_if<SetUp>(&order)) {
          Micros at = now + 2 * ms;
          if (c.connections == Connections::late) at = now + span(second);
          if (c.connections == Connections::inHeaps) at = (now / second + 1) * second;
          writes.emplace(at, Write{i, out->join});
        }
    }
  }
  return sent;
}

}  // namespace

TEST_CASE("No fleet of directors pushes a cold node over, with uneven traffic, late lists and connections") {
  const Case c = GENERATE(Case{20, 20, 0.4, 3, 2 * second, Connections::quick, false, false, 4},
                          Case{30, 20, 0.4, 3, 2 * second, Connections::late, false, true, 4},
                          Case{30, 20, 0.4, 3, 2 * second, Connections::inHeaps, false, false, 4},
                          Case{30, 20, 0.4, 2, second, Connections::quick, true, false, 4},
                          Case{30, 20, 0.4, 2, second, Connections::inHeaps, true, true, 4},
                          Case{30, 300, 0.4, 4, 2 * second, Connections::inHeaps, true, false, 8},
                          Case{30, 300, 0.4, 2.5, second, Connections::late, true, true, 8},
                          Case{300, 300, 0.4, 4, 2 * second, Connections::quick, true, true, 2},
                          Case{300, 40, 0.4, 2.5, second, Connections::inHeaps, true, false, 1});
  const unsigned seeds = c.directors > 100 ? 2 : 6;
  int broken = 0, within = 0;
  double worst = 0;
  std::size_t all = 0;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    const std::vector<Micros> sent = sendsOf(c, seed);
    all += sent.size();
    std::size_t from = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
      while (sent[from] <= sent[i] - c.fallTime) ++from;
      // The node is as warm as when the span began, or as it started.
      const double age = std::max(0.0, static_cast<double>(sent[i] - c.fallTime - 10 * second));
      const double warmth = c.startCapacity + (1 - c.startCapacity) * age / (8 * second);
      const double allowed =
          c.overloadFactor * c.places * warmth * static_cast<double>(c.fallTime) / (8 * second);
      const double most = allowed + 2 * std::sqrt(allowed) + 2;
      const auto count = static_cast<double>(i - from + 1);
      worst = std::max(worst, count / most);
      ++(count > most ? broken : within);
    }
  }
  CAPTURE(c.directors, c.places, c.overloadFactor, c.fallTime, static_cast<int>(c.connections), c.restarted,
          worst, all);
  CHECK(broken == 0);
  CHECK(all > 0);  // a node that gets nothing proves nothing
}
