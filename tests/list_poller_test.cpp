// When the name server is queried for the list and which answers are accepted.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "fleet/list_poller.h"

using namespace lupinsill;
using fleet::ListPoller;

namespace {
constexpr Micros ms = 1'000, second = 1'000'000;
}

TEST_CASE("The next query follows soon after a lost answer and later after a good one") {
  ListPoller listPoller(1);
  Micros now = 10 * second;
  CHECK(listPoller.due() <= now);
  const std::uint16_t firstQuery = listPoller.nextQuery(now);
  CHECK(listPoller.due() <= now + 200 * ms);
  now = listPoller.due();
  const std::uint16_t secondQuery = listPoller.nextQuery(now);
  CHECK(firstQuery != secondQuery);
  CHECK(listPoller.matchAnswer(now, firstQuery));  // a late answer to an outstanding query
  CHECK(!listPoller.matchAnswer(now, firstQuery));
  CHECK(!listPoller.matchAnswer(now, static_cast<std::uint16_t>(secondQuery + 1)));
  listPoller.answered(now);
  CHECK(listPoller.due() >= now + 200 * ms);
  CHECK(listPoller.due() <= now + second);
}

TEST_CASE("While answers bring only older lists, every next query follows soon") {
  ListPoller listPoller(1);
  Micros now = 10 * second;
  listPoller.nextQuery(now);
  listPoller.answered(now);
  for (int i = 0; i < 20; ++i) {
    now = listPoller.due();
    // The list in the answer is older, so answered() is not called.
    CHECK(listPoller.matchAnswer(now, listPoller.nextQuery(now)));
    CHECK(listPoller.due() <= now + 200 * ms);
  }
}

// Guards against a name server that is never heard: only the last eight queries, 0.96 s of them, were
// matched.
TEST_CASE(
    "However long a server takes to answer, each answer matches and the queries go on at the usual rate") {
  const Micros delay = GENERATE(900 * ms, 1000 * ms, 1200 * ms, 2 * second, 8 * second, 25 * second);
  CAPTURE(delay);
  ListPoller listPoller(1);
  const Micros start = 10 * second, end = start + delay + 20 * second;
  std::multimap<Micros, std::uint16_t> answers;  // by arrival
  Micros lastHeard = 0, longestGap = 0;
  int lateQueries = 0;  // sent after the first answer
  while (true) {
    const Micros now = std::min(listPoller.due(), answers.empty() ? end : answers.begin()->first);
    if (now >= end) break;
    if (!answers.empty() && answers.begin()->first == now) {
      CHECK(listPoller.matchAnswer(now, answers.begin()->second));
      listPoller.answered(now);
      answers.erase(answers.begin());
      if (lastHeard != 0) longestGap = std::max(longestGap, now - lastHeard);
      lastHeard = now;
      continue;
    }
    const Micros sentAt = std::max(now, start);
    answers.emplace(sentAt + delay, listPoller.nextQuery(sentAt));
    if (lastHeard != 0) ++lateQueries;
  }
  CHECK(lastHeard >= end - second / 2);
  CHECK(longestGap <= second / 2);
  CHECK(lateQueries <= 20 * 5);
}

TEST_CASE("An answer delayed for longer than any outage is not matched") {
  ListPoller listPoller(1);
  const std::uint16_t query = listPoller.nextQuery(10 * second);
  CHECK(!listPoller.matchAnswer(40 * second, query));
}

TEST_CASE("The queries of directors that start together spread out") {
  std::vector<ListPoller> pollers;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) pollers.emplace_back(seed * 7919);
  std::map<Micros, int> queries;  // per 10 ms, in the second that follows the first ten
  for (ListPoller& poller : pollers)
    for (Micros now = poller.due(); now < 11 * second; now = poller.due()) {
      poller.nextQuery(now);
      poller.answered(now);
      if (now >= 10 * second) ++queries[now / (10 * ms)];
    }
  int peak = 0, total = 0;
  for (const auto& [interval, count] : queries) peak = std::max(peak, count), total += count;
  CHECK(total >= 300 * 2);
  CHECK(peak <= 3 * total / 100);
}

TEST_CASE("A server that moved is queried at once, and answers to queries of its old address are rejected") {
  ListPoller listPoller(1);
  const std::uint16_t oldQuery = listPoller.nextQuery(10 * second);
  listPoller.serverMoved(10 * second + ms);
  CHECK(listPoller.due() <= 10 * second + ms);
  CHECK(!listPoller.matchAnswer(10 * second + ms, oldQuery));
}
