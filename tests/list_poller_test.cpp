// When the name server is asked and what is believed of it; when a silent node counts as gone.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "fleet/list_poller.h"
#include "fleet/liveness_check.h"

using namespace lupinsill;
using fleet::ListPoller;
using fleet::LivenessCheck;

namespace {
constexpr Micros ms = 1'000, second = 1'000'000;
}

TEST_CASE("A lost answer is asked for again soon, a good one later") {
  ListPoller listPoller(1);
  Micros now = 10 * second;
  CHECK(listPoller.due() <= now);
  const std::uint16_t first = listPoller.nextQuery(now);
  CHECK(listPoller.due() <= now + 200 * ms);
  now = listPoller.due();
  const std::uint16_t secondQuery = listPoller.nextQuery(now);
  CHECK(first != secondQuery);
  CHECK(listPoller.expects(first));  // late, and still one of ours
  CHECK(!listPoller.expects(first));
  CHECK(!listPoller.expects(static_cast<std::uint16_t>(secondQuery + 1)));
  listPoller.answered(now);
  CHECK(listPoller.due() >= now + 200 * ms);
  CHECK(listPoller.due() <= now + second);
}

TEST_CASE("Where nothing new enough is heard the next ask does not wait, however often that goes on") {
  ListPoller listPoller(1);
  Micros now = 10 * second;
  listPoller.nextQuery(now);
  listPoller.answered(now);
  for (int i = 0; i < 20; ++i) {
    now = listPoller.due();
    CHECK(listPoller.expects(
        listPoller.nextQuery(now)));  // what came was older, and is not told to the inquiry
    CHECK(listPoller.due() <= now + 200 * ms);
  }
}

TEST_CASE("Directors that start together do not go on asking together") {
  std::vector<ListPoller> fleet;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) fleet.emplace_back(seed * 7919);
  std::map<Micros, int> asked;  // in each 10 ms of the second after the first ten
  for (ListPoller& one : fleet)
    for (Micros now = one.due(); now < 11 * second; now = one.due()) {
      one.nextQuery(now);
      one.answered(now);
      if (now >= 10 * second) ++asked[now / (10 * ms)];
    }
  int most = 0, all = 0;
  for (const auto& [at, count] : asked) most = std::max(most, count), all += count;
  CHECK(all >= 300 * 2);
  CHECK(most <= 3 * all / 100);
}

TEST_CASE("Another address is asked at once, and answers to asks of the old one are void") {
  ListPoller listPoller(1);
  const std::uint16_t old = listPoller.nextQuery(10 * second);
  listPoller.serverMoved(10 * second + ms);
  CHECK(listPoller.due() <= 10 * second + ms);
  CHECK(!listPoller.expects(old));
}

TEST_CASE(
    "A node whose connections never come up any more is over, within the time viewers have to be told") {
  LivenessCheck pulse(10 * second);
  Micros now = 10 * second;
  Micros over = 0;
  int tries = 0;
  for (; now < 20 * second && over == 0; now += 25 * ms) {
    const auto verdict = pulse.look(now, true, false);
    if (verdict == LivenessCheck::Verdict::probe) ++tries, pulse.failed(false);
    if (verdict == LivenessCheck::Verdict::dead) over = now;
  }
  CHECK(tries >= 3);
  CHECK(over > 13 * second);
  CHECK(over < 17 * second);
}

TEST_CASE("A node that hangs but takes connections is not over") {
  LivenessCheck pulse(10 * second);
  for (Micros now = 10 * second; now < 60 * second; now += 25 * ms) {
    const auto verdict = pulse.look(now, true, false);
    REQUIRE(verdict != LivenessCheck::Verdict::dead);
    if (verdict == LivenessCheck::Verdict::probe) pulse.heard(now);
  }
}

TEST_CASE("A dead process is over once its machine has refused twice and no connection is left") {
  LivenessCheck pulse(10 * second);
  Micros now = 10 * second + ms;
  CHECK(pulse.look(now, false, false) == LivenessCheck::Verdict::probe);
  pulse.failed(true);
  CHECK(pulse.look(now, false, false) == LivenessCheck::Verdict::alive);
  now += second / 2;
  CHECK(pulse.look(now, true, false) != LivenessCheck::Verdict::dead);
  CHECK(pulse.look(now, false, false) == LivenessCheck::Verdict::probe);
  CHECK(pulse.look(now, false, true) == LivenessCheck::Verdict::alive);
  pulse.failed(true);
  CHECK(pulse.look(now, true, false) == LivenessCheck::Verdict::alive);
  CHECK(pulse.look(now, false, false) == LivenessCheck::Verdict::dead);
}
