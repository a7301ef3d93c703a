// Simulates a fleet of directors, each with its own decision module and guards, and one cold media node. The
// joins that all directors together send to the node must stay within the limit of the settings plus a random
// fluctuation.
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

// When a join is written after its decision: after 2 ms, after a random time up to 1 s, or in bursts, all at
// the next full second.
enum class Connections { quick, late, bursts };

struct Case {
  int directors;
  int slots;
  double startCapacity;
  double overloadFactor;
  Micros fallTime;
  Connections connections;
  bool restarted;  // all directors started together with the node, so none has counted any joins yet
  bool lateLists;  // the directors learn of the node up to 1.5 s apart, instead of 0.1 s
  // Mean over the directors; one in five gets three times as many, the others half.
  double requestsPerSecond;
};

ControlSettings controlSettings(const Case& c, int ordinal) {
  ControlSettings settings;
  RoomType clip;
  clip.joinObjective = second;
  clip.top = 2;
  RoomType paid = clip;
  paid.effect = Effect::once;
  settings.roomTypes = {clip, paid};
  settings.ladderKb = {100, 200, 400};
  settings.rungBenefit = {0.3, 0.6, 1};
  settings.slotsByKind = {c.slots};
  settings.directors = c.directors;
  settings.ordinal = ordinal;
  settings.cells = 1;
  settings.racks = 1;
  settings.maxJoins = 3;
  settings.weightKb = settings.totalLinkKb = settings.rackUplinkKb =
      1e6;  // no limit by links, only by the cold node
  settings.startCapacity = c.startCapacity;
  settings.overloadFactor = c.overloadFactor;
  settings.coldTime = 8 * second;
  settings.fallTime = c.fallTime;
  settings.seenAfter = 300 * ms;
  settings.reportInterval = second;
  settings.maxRetryAfter = 500 * ms;
  settings.retryAfter = true;
  return settings;
}

struct Director {
  std::unique_ptr<Front> front;
  double rate = 0;
  double pendingRequests = 0;  // fractional
  Micros startAt = 0, listAt = 0;
  bool listSent = false;
};

// Runs the case and returns the times at which joins were written to the node, which starts at 10 s.
std::vector<Micros> simulateWrites(const Case& c, unsigned seed) {
  const Micros start = 10 * second;
  std::mt19937 random(seed);
  const auto randomSpan = [&](Micros maximum) {
    return static_cast<Micros>(random() % static_cast<unsigned>(maximum + 1));
  };
  std::vector<Director> fleet(static_cast<std::size_t>(c.directors));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Director& d = fleet[i];
    d.front = std::make_unique<Front>(
        controlSettings(c, static_cast<int>(i)),
        Limits{.grace = 2 * second,
               .answerMargin = 10 * ms,
               .stallThreshold = 300 * ms,
               .orphanTimeout = 0,
               .keyRetention = 0,
               .maxOpen = 1000,
               .maxKeys = 1000,
               .keysStored = false,
               .maxSubscriptions = 5000,
               .guardsEnabled = true,
               .minTimeLeft = 0},
        std::make_unique<ControlDecider>(controlSettings(c, static_cast<int>(i)), seed * 1000 + i));
    d.rate = c.requestsPerSecond * (i % 5 == 0 ? 3 : 0.5);
    d.startAt = c.restarted ? start + randomSpan(300 * ms) : 10 * ms;
    d.listAt = start + 400 * ms + (c.lateLists ? randomSpan(1500 * ms) : randomSpan(100 * ms));
  }
  struct PendingJoin {
    std::size_t director;
    JoinId join;
  };
  std::multimap<Micros, PendingJoin> writes, starts, ends;
  std::vector<Micros> written;
  std::vector<Command> commands;
  CallId callId = 0;
  constexpr Micros step = 5 * ms;
  for (Micros now = 10 * ms; now < start + 8 * second; now += step) {
    const auto takeDue = [&](std::multimap<Micros, PendingJoin>& at, auto handle) {
      while (!at.empty() && at.begin()->first <= now) {
        const PendingJoin pending = at.begin()->second;
        at.erase(at.begin());
        handle(pending);
      }
    };
    takeDue(writes, [&](const PendingJoin& pending) {
      if (!fleet[pending.director].front->mayWrite(now, pending.join))
        return fleet[pending.director].front->joinEnded(pending.join, Outcome::notSent, {});
      written.push_back(now);
      starts.emplace(now + 30 * ms, pending);
    });
    takeDue(starts, [&](const PendingJoin& pending) {
      fleet[pending.director].front->joinStarted(pending.join);
      ends.emplace(now + 4 * second, pending);
    });
    takeDue(ends, [&](const PendingJoin& pending) {
      fleet[pending.director].front->joinEnded(pending.join, Outcome::ok, {}, true);
    });
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      Director& d = fleet[i];
      if (now < d.startAt) continue;
      if (!d.listSent && now >= d.listAt) {
        d.listSent = true;
        d.front->listUpdated({ListKind::snapshot, {{1, NodeState::ready, 0, 1, 0, start, "a"}}});
      }
      d.pendingRequests +=
          d.rate * static_cast<double>(step) / second * (0.5 + static_cast<double>(random() % 1000) / 1000);
      for (; d.pendingRequests >= 1; d.pendingRequests -= 1)
        d.front->submit({++callId, "", "v" + std::to_string(callId), "t" + std::to_string(callId % 20),
                         static_cast<int>(callId % 2), -1, 0, 1, 2, 3 * second, PlayRequest::Repeat::no,
                         std::nullopt});
      if (now < d.front->due()) continue;
      commands.clear();
      d.front->processTurn(now, commands);
      for (const Command& command : commands)
        if (const auto* setUp = std::get_if<SetUp>(&command)) {
          Micros at = now + 2 * ms;
          if (c.connections == Connections::late) at = now + randomSpan(second);
          if (c.connections == Connections::bursts) at = (now / second + 1) * second;
          writes.emplace(at, PendingJoin{i, setUp->join});
        }
    }
  }
  return written;
}

}  // namespace

TEST_CASE(
    "A fleet of directors does not overload a cold node, with uneven traffic, late lists and connections") {
  const Case c = GENERATE(Case{20, 20, 0.4, 3, 2 * second, Connections::quick, false, false, 4},
                          Case{30, 20, 0.4, 3, 2 * second, Connections::late, false, true, 4},
                          Case{30, 20, 0.4, 3, 2 * second, Connections::bursts, false, false, 4},
                          Case{30, 20, 0.4, 2, second, Connections::quick, true, false, 4},
                          Case{30, 20, 0.4, 2, second, Connections::bursts, true, true, 4},
                          Case{30, 300, 0.4, 4, 2 * second, Connections::bursts, true, false, 8},
                          Case{30, 300, 0.4, 2.5, second, Connections::late, true, true, 8},
                          Case{300, 300, 0.4, 4, 2 * second, Connections::quick, true, true, 2},
                          Case{300, 40, 0.4, 2.5, second, Connections::bursts, true, false, 1});
  const unsigned seeds = c.directors > 100 ? 2 : 6;
  int overLimit = 0, withinLimit = 0;
  double maxLoad = 0;  // as a share of the limit
  std::size_t total = 0;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    const std::vector<Micros> written = simulateWrites(c, seed);
    total += written.size();
    std::size_t windowStart = 0;
    for (std::size_t i = 0; i < written.size(); ++i) {
      while (written[windowStart] <= written[i] - c.fallTime) ++windowStart;
      // The capacity of the node at the start of the window, or at its own start if that is later.
      const double age = std::max(0.0, static_cast<double>(written[i] - c.fallTime - 10 * second));
      const double capacityShare = c.startCapacity + (1 - c.startCapacity) * age / (8 * second);
      const double allowed =
          c.overloadFactor * c.slots * capacityShare * static_cast<double>(c.fallTime) / (8 * second);
      const double limit = allowed + 2 * std::sqrt(allowed) + 2;
      const auto count = static_cast<double>(i - windowStart + 1);
      maxLoad = std::max(maxLoad, count / limit);
      ++(count > limit ? overLimit : withinLimit);
    }
  }
  CAPTURE(c.directors, c.slots, c.overloadFactor, c.fallTime, static_cast<int>(c.connections), c.restarted,
          maxLoad, total);
  CHECK(overLimit == 0);
  CHECK(total > 0);  // without joins the check would be empty
}
