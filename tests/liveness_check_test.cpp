// When a silent media node is probed and when it is given up.
#include <catch2/catch.hpp>
#include <deque>
#include <optional>

#include "fleet/liveness_check.h"

using namespace lupinsill;
using fleet::LivenessCheck;

namespace {

constexpr Micros ms = 1'000, second = 1'000'000;

// A node on a simulated clock, seen by a check that is evaluated every 25 ms. It answers connection attempts
// after 1 ms and sends a message every `messageInterval`, except while its machine is cut off: then
// attempts are lost, and what it sends arrives at the end of the cut.
struct SimulatedNode {
  Micros cutFrom = 0, cutUntil = 0;
  Micros messageInterval = 0;  // 0: never
  int lostAttempt = 0;  // the number of one attempt that is lost although the machine is reachable; 0: none
  int attempts = 0;
  bool isCut(Micros now) const { return now >= cutFrom && now < cutUntil; }

  // Returns when the node was found unreachable, or nothing by `end`.
  std::optional<Micros> unreachableAt(Micros start, Micros end) {
    LivenessCheck liveness(start);
    std::deque<Micros> answers;
    for (Micros now = start; now < end; now += 25 * ms) {
      while (!answers.empty() && answers.front() <= now) {
        if (!isCut(now)) liveness.recordActivity(now);
        answers.pop_front();
      }
      const bool sends = messageInterval != 0 && (now - start) % messageInterval == 0;
      if (!isCut(now) && (sends || (now >= cutUntil && now < cutUntil + 25 * ms && messageInterval != 0)))
        liveness.recordActivity(now);
      const auto verdict = liveness.evaluate(now, true);
      if (verdict == LivenessCheck::Verdict::unreachable) return now;
      if (verdict != LivenessCheck::Verdict::probe) continue;
      liveness.recordConnectAttempt(now);
      const bool lost = ++attempts == lostAttempt;
      if (!isCut(now) && !lost) answers.push_back(now + ms);
    }
    return std::nullopt;
  }
};

constexpr Micros forever = 1'000'000 * second;

}  // namespace

// Guards against subscriptions that are given up while they play: the check gave up after 4 s of silence, and
// a cut lasts up to 6 s.
TEST_CASE("A cut of 6 s does not make a node unreachable, and one that vanishes is given up within 8 s") {
  const Micros messageInterval = GENERATE(Micros{0}, 400 * ms, 1'000 * ms, 4'000 * ms);
  const int lostAttempt = GENERATE(range(0, 10));
  CAPTURE(messageInterval, lostAttempt);
  const Micros start = 10 * second;
  for (Micros phase = 0; phase < 6 * second; phase += 25 * ms) {
    CAPTURE(phase);
    const Micros from = start + phase;
    SimulatedNode cutOff{from, from + 6 * second, messageInterval, lostAttempt};
    REQUIRE(!cutOff.unreachableAt(start, from + 10 * second));
    SimulatedNode vanished{from, forever, messageInterval, lostAttempt};
    const auto givenUp = vanished.unreachableAt(start, from + 10 * second);
    REQUIRE(givenUp);
    // 8 s, less a tenth of a second to tell the viewers.
    REQUIRE(*givenUp <= from + 8 * second - 100 * ms);
  }
}

TEST_CASE("An unreachable node is probed less often, and heard again it is checked anew") {
  LivenessCheck liveness(10 * second);
  Micros now = 10 * second;
  const auto probesUntil = [&](Micros end) {
    int probes = 0;
    for (; now < end; now += 25 * ms)
      if (liveness.evaluate(now, true) == LivenessCheck::Verdict::probe)
        ++probes, liveness.recordConnectAttempt(now);
    return probes;
  };
  CHECK(probesUntil(18 * second) >= 10);
  CHECK(probesUntil(28 * second) <= 6);
  liveness.recordActivity(now);
  CHECK(liveness.evaluate(now + second, true) == LivenessCheck::Verdict::alive);
  CHECK(liveness.evaluate(now + 2 * second, true) == LivenessCheck::Verdict::probe);
}

// Guards against a release that is never heard because the node has no next connection to repeat it on.
TEST_CASE("After a connection was lost, a node is probed until an attempt that began later has succeeded") {
  LivenessCheck liveness(10 * second);
  Micros now = 10 * second;
  const auto evaluateAfter = [&](Micros wait) {
    now += wait;
    liveness.recordActivity(now);  // on another connection
    return liveness.evaluate(now, true);
  };
  liveness.recordConnectAttempt(now);
  const Micros earlierAttempt = now;
  CHECK(evaluateAfter(second) == LivenessCheck::Verdict::alive);
  liveness.recordConnectionLost(now);
  CHECK(evaluateAfter(25 * ms) == LivenessCheck::Verdict::probe);
  liveness.recordConnectAttempt(now);
  // The node may have accepted this connection before it sent what was lost.
  liveness.recordConnected(now, earlierAttempt);
  CHECK(evaluateAfter(100 * ms) == LivenessCheck::Verdict::alive);  // the attempt is under way
  CHECK(evaluateAfter(200 * ms) == LivenessCheck::Verdict::probe);  // it may have failed
  liveness.recordConnectAttempt(now);
  liveness.recordConnected(now + 10 * ms, now);
  for (int i = 0; i < 100; ++i) CHECK(evaluateAfter(100 * ms) == LivenessCheck::Verdict::alive);
}

TEST_CASE("A node that hangs but accepts connections is not given up") {
  LivenessCheck liveness(10 * second);
  for (Micros now = 10 * second; now < 60 * second; now += 25 * ms) {
    const auto verdict = liveness.evaluate(now, true);
    REQUIRE(verdict != LivenessCheck::Verdict::unreachable);
    REQUIRE(verdict != LivenessCheck::Verdict::processGone);
    if (verdict != LivenessCheck::Verdict::probe) continue;
    liveness.recordConnectAttempt(now);
    liveness.recordActivity(now);
  }
}

TEST_CASE("A node's process is gone once its machine has refused two connections and none is left") {
  LivenessCheck liveness(10 * second);
  Micros now = 10 * second + ms;
  CHECK(liveness.evaluate(now, false) == LivenessCheck::Verdict::probe);
  liveness.recordConnectAttempt(now);
  CHECK(liveness.evaluate(now, false) == LivenessCheck::Verdict::alive);  // the attempt is under way
  liveness.recordRefusal();
  CHECK(liveness.evaluate(now, false) == LivenessCheck::Verdict::alive);
  now += second / 2;
  CHECK(liveness.evaluate(now, true) != LivenessCheck::Verdict::processGone);
  now += second / 2;
  CHECK(liveness.evaluate(now, false) == LivenessCheck::Verdict::probe);
  liveness.recordConnectAttempt(now);
  CHECK(liveness.evaluate(now, false) == LivenessCheck::Verdict::alive);
  liveness.recordRefusal();
  CHECK(liveness.evaluate(now, true) == LivenessCheck::Verdict::alive);
  CHECK(liveness.evaluate(now, false) == LivenessCheck::Verdict::processGone);
}
