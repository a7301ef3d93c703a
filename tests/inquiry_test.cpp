// When the name server is asked and what is believed of it; when a silent node counts as gone.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "fleet/inquiry.h"
#include "fleet/pulse.h"

using namespace lupinsill;
using fleet::Inquiry;
using fleet::Pulse;

namespace {
constexpr Micros ms = 1'000, second = 1'000'000;
}

TEST_CASE("A lost answer is asked for again soon, a good one later") {
  Inquiry inquiry(1);
  Micros now = 10 * second;
  CHECK(inquiry.due() <= now);
  const std::uint16_t first = inquiry.ask(now);
  CHECK(inquiry.due() <= now + 200 * ms);
  now = inquiry.due();
  const std::uint16_t secondQuery = inquiry.ask(now);
  CHECK(first != secondQuery);
  CHECK(inquiry.expects(first));  // late, and still one of ours
  CHECK(!inquiry.expects(first));
  CHECK(!inquiry.expects(static_cast<std::uint16_t>(secondQuery + 1)));
  inquiry.heard(now);
  CHECK(inquiry.due() >= now + 200 * ms);
  CHECK(inquiry.due() <= now + second);
}

TEST_CASE("Where nothing new enough is heard the next ask does not wait, however often that goes on") {
  Inquiry inquiry(1);
  Micros now = 10 * second;
  inquiry.ask(now);
  inquiry.heard(now);
  for (int i = 0; i < 20; ++i) {
    now = inquiry.due();
    CHECK(inquiry.expects(inquiry.ask(now)));  // what came was older, and is not told to the inquiry
    CHECK(inquiry.due() <= now + 200 * ms);
  }
}

TEST_CASE("Directors that start together do not go on asking together") {
  std::vector<Inquiry> fleet;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) fleet.emplace_back(seed * 7919);
  std::map<Micros, int> asked;  // in each 10 ms of the second after the first ten
  for (Inquiry& one : fleet)
    for (Micros now = one.due(); now < 11 * second; now = one.due()) {
      one.ask(now);
      one.heard(now);
      if (now >= 10 * second) ++asked[now / (10 * ms)];
    }
  int most = 0, all = 0;
  for (const auto& [at, count] : asked) most = std::max(most, count), all += count;
  CHECK(all >= 300 * 2);
  CHECK(most <= 3 * all / 100);
}

TEST_CASE("Another address is asked at once, and answers to asks of the old one are void") {
  Inquiry inquiry(1);
  const std::uint16_t old = inquiry.ask(10 * second);
  inquiry.moved(10 * second + ms);
  CHECK(inquiry.due() <= 10 * second + ms);
  CHECK(!inquiry.expects(old));
}

TEST_CASE(
    "A node whose connections never come up any more is over, within the time viewers have to be told") {
  Pulse pulse(10 * second);
  Micros now = 10 * second;
  Micros over = 0;
  int tries = 0;
  for (; now < 20 * second && over == 0; now += 25 * ms) {
    const auto verdict = pulse.look(now, true, false);
    if (verdict == Pulse::Verdict::tryIt) ++tries, pulse.failed(false);
    if (verdict == Pulse::Verdict::over) over = now;
  }
  CHECK(tries >= 3);
  CHECK(over > 13 * second);
  CHECK(over < 17 * second);
}

TEST_CASE("A node that hangs but takes connections is not over") {
  Pulse pulse(10 * second);
  for (Micros now = 10 * second; now < 60 * second; now += 25 * ms) {
    const auto verdict = pulse.look(now, true, false);
    REQUIRE(verdict != Pulse::Verdict::over);
    if (verdict == Pulse::Verdict::tryIt) pulse.heard(now);
  }
}

TEST_CASE("A dead process is over once its machine has refused twice and no connection is left") {
  Pulse pulse(10 * second);
  Micros now = 10 * second + ms;
  CHECK(pulse.look(now, false, false) == Pulse::Verdict::tryIt);
  pulse.failed(true);
  CHECK(pulse.look(now, false, false) == Pulse::Verdict::fine);
  now += second / 2;
  CHECK(pulse.look(now, true, false) != Pulse::Verdict::over);
  CHECK(pulse.look(now, false, false) == Pulse::Verdict::tryIt);
  CHECK(pulse.look(now, false, true) == Pulse::Verdict::fine);
  pulse.failed(true);
  CHECK(pulse.look(now, true, false) == Pulse::Verdict::fine);
  CHECK(pulse.look(now, false, false) == Pulse::Verdict::over);
}
