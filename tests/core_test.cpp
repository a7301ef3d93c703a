// The retry policy of the client libraries (client/core/core.h): single cases, and random event sequences
// whose actions are checked against the guarantees that core.h lists.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "core/core.h"

using namespace lupinsill::client;

namespace {

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

std::vector<DirectorEndpoint> directors() {
  return {{"a:1", "north"}, {"b:1", "north"}, {"c:1", "south"}, {"d:1", "south"}};
}
RetryPolicy retryPolicy() {
  RetryPolicy policy;
  policy.zone = "north";
  return policy;
}

// The last action of this type; null if there is none.
template <class T>
const T* lastOf(const std::vector<Action>& actions) {
  const T* found = nullptr;
  for (const Action& action : actions)
    if (const T* one = std::get_if<T>(&action)) found = one;
  return found;
}

}  // namespace

TEST_CASE("An unsafe request whose answer is lost is retried at the same director only, with the same key") {
  Core core(directors(), retryPolicy(), 7);
  std::vector<Action> actions;
  core.submit(0, {1, "key", true, 5 * second}, actions);
  const StartAttempt first = *lastOf<StartAttempt>(actions);
  core.beginSend(0, first.attempt, "d");
  actions.clear();
  core.failed(10 * ms, first.attempt, actions);
  CHECK(lastOf<StartAttempt>(actions) == nullptr);
  for (Micros now = 20 * ms; now < 2 * second && lastOf<StartAttempt>(actions) == nullptr; now += 10 * ms)
    core.tick(now, actions);
  REQUIRE(lastOf<StartAttempt>(actions) != nullptr);
  CHECK(lastOf<StartAttempt>(actions)->director == first.director);
  CHECK(lastOf<StartAttempt>(actions)->key == "key");
}

TEST_CASE("After a failed connection another director of the same zone is tried immediately") {
  Core core(directors(), retryPolicy(), 7);
  std::vector<Action> actions;
  core.submit(0, {1, "key", true, 5 * second}, actions);
  const StartAttempt first = *lastOf<StartAttempt>(actions);
  actions.clear();
  core.failed(1 * ms, first.attempt, actions);
  REQUIRE(lastOf<StartAttempt>(actions) != nullptr);
  CHECK(lastOf<StartAttempt>(actions)->director != first.director);
  CHECK(lastOf<StartAttempt>(actions)->director < 2);
}

TEST_CASE("A retry-after beyond the deadline ends the request immediately and is reported with the result") {
  Core core(directors(), retryPolicy(), 7);
  std::vector<Action> actions;
  core.submit(0, {1, "key", false, 2 * second}, actions);
  const StartAttempt first = *lastOf<StartAttempt>(actions);
  core.beginSend(0, first.attempt, "d");
  actions.clear();
  core.answered(100 * ms, first.attempt, Answer::throttled, 4 * second, false, actions);
  REQUIRE(lastOf<ReportResult>(actions) != nullptr);
  CHECK(lastOf<ReportResult>(actions)->result == Result::throttled);
  CHECK(lastOf<ReportResult>(actions)->retryAfter >= 4 * second);
}

TEST_CASE("Random event sequences keep the guarantees of the core") {
  std::size_t resultCount = 0, attemptCount = 0, retryCount = 0;
  for (unsigned seed = 1; seed <= 5000; ++seed) {
    std::minstd_rand random(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(random() / 7 % n); };
    const RetryPolicy policy = retryPolicy();
    Core core(directors(), policy, seed);
    struct Observed {
      Request request;
      Micros at = 0;
      int results = 0, attempts = 0;
      AttemptId inFlight = 0;       // 0: none
      std::string address;          // of the director of the current attempt
      std::string maybeAcceptedBy;  // address of the director that may have accepted an attempt
      Micros notBefore = 0;
    };
    std::map<RequestId, Observed> requests;
    std::map<AttemptId, RequestId> inFlight;
    std::set<AttemptId> sent;
    std::vector<Micros> firstAttemptTimes, retryTimes;
    Micros now = 0;
    std::vector<Action> actions;
    const auto checkActions = [&] {
      for (const Action& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
          Observed& observed = requests.at(start->request);
          REQUIRE(observed.results == 0);
          REQUIRE(observed.inFlight == 0);
          REQUIRE(start->key == observed.request.key);
          REQUIRE(now >= observed.notBefore);
          REQUIRE(start->timeLeft <= observed.at + observed.request.timeout - now);
          const std::string address = directors()[start->director].address;
          if (observed.request.unsafe && !observed.maybeAcceptedBy.empty())
            REQUIRE(address == observed.maybeAcceptedBy);
          observed.inFlight = start->attempt;
          observed.address = address;
          inFlight[start->attempt] = start->request;
          ++attemptCount;
          if (observed.attempts++ > 0) {
            retryTimes.push_back(now);
            ++retryCount;
            const auto within = [&](const std::vector<Micros>& times) {
              return static_cast<double>(std::count_if(
                  times.begin(), times.end(), [&](Micros at) { return at > now - policy.budgetWindow; }));
            };
            REQUIRE(within(retryTimes) <= policy.minRetries + policy.budgetShare * within(firstAttemptTimes));
          }
        }
        if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
          REQUIRE(inFlight.contains(abandon->attempt));
          requests.at(inFlight[abandon->attempt]).inFlight = 0;
          inFlight.erase(abandon->attempt);
        }
        if (const auto* report = std::get_if<ReportResult>(&action)) {
          Observed& observed = requests.at(report->request);
          REQUIRE(++observed.results == 1);
          REQUIRE(now <= observed.at + observed.request.timeout + 50 * ms);
          if (report->result == Result::throttled || report->result == Result::unreachable)
            REQUIRE((!observed.request.unsafe || observed.maybeAcceptedBy.empty()));
          ++resultCount;
        }
      }
      actions.clear();
    };
    for (int step = 0; step < 150; ++step) {
      now += below(40) * ms;
      core.tick(now, actions);
      checkActions();
      const unsigned choice = below(10);
      if (choice < 3) {
        const RequestId id = requests.size() + 1;
        Observed& observed = requests[id];
        observed.request = {id, "k" + std::to_string(id), below(2) == 0,
                            static_cast<Micros>(1 + below(5)) * second};
        observed.at = now;
        firstAttemptTimes.push_back(now);
        core.submit(now, observed.request, actions);
      } else if (!inFlight.empty()) {
        auto it = inFlight.begin();
        std::advance(it, below(static_cast<unsigned>(inFlight.size())));
        const AttemptId attempt = it->first;
        Observed& observed = requests.at(it->second);
        if (!sent.contains(attempt) && choice < 7) {
          core.beginSend(now, attempt, "d");
          sent.insert(attempt);
          if (observed.request.unsafe) observed.maybeAcceptedBy = observed.address;
        } else if (choice == 7 || !sent.contains(attempt)) {
          inFlight.erase(attempt), observed.inFlight = 0;
          core.failed(now, attempt, actions);
          core.failed(now, attempt, actions);  // a repeated report has no effect
        } else if (choice == 8) {
          inFlight.erase(attempt), observed.inFlight = 0;
          const Micros retryAfter = below(3) * 400 * ms;
          observed.notBefore = now + retryAfter;
          observed.maybeAcceptedBy.clear();
          core.answered(now, attempt, Answer::throttled, retryAfter, below(5) == 0, actions);
        } else {
          inFlight.erase(attempt), observed.inFlight = 0;
          core.answered(now, attempt, below(3) == 0 ? Answer::terminated : Answer::playing, 0, false,
                        actions);
        }
      }
      checkActions();
    }
    for (int i = 0; i < 400; ++i) {
      now += 25 * ms;
      core.tick(now, actions);
      checkActions();
    }
    for (const auto& [id, observed] : requests) REQUIRE(observed.results == 1);
  }
  CHECK(resultCount > 50'000);
  CHECK(attemptCount > 50'000);
  CHECK(retryCount > 2'000);
}

TEST_CASE("An unsafe request proved unread is free again unless an earlier attempt may have been accepted") {
  Core core(directors(), retryPolicy(), 7);
  std::vector<Action> actions;
  core.submit(0, {1, "key", true, 20 * second}, actions);
  StartAttempt started = *lastOf<StartAttempt>(actions);
  const std::size_t first = started.director;
  core.beginSend(0, started.attempt, "d");
  actions.clear();
  core.failed(1 * ms, started.attempt, actions, true);
  REQUIRE(lastOf<StartAttempt>(actions) != nullptr);  // immediately, at another director
  started = *lastOf<StartAttempt>(actions);
  CHECK(started.director != first);
  // This attempt is lost without proof and the next is proved unread: the request stays pinned.
  const std::size_t pinned = started.director;
  core.beginSend(2 * ms, started.attempt, "d");
  core.failed(3 * ms, started.attempt, actions);
  for (int retry = 0; retry < 2; ++retry) {
    actions.clear();
    for (Micros now = 4 * ms; now < 9 * second && lastOf<StartAttempt>(actions) == nullptr; now += 10 * ms)
      core.tick(now, actions);
    REQUIRE(lastOf<StartAttempt>(actions) != nullptr);
    started = *lastOf<StartAttempt>(actions);
    CHECK(started.director == pinned);
    core.beginSend(5 * ms, started.attempt, "d");
    if (retry == 0) core.failed(6 * ms, started.attempt, actions, true);
  }
}

TEST_CASE("An unsent attempt times out, and another director is tried, also for an unsafe request") {
  Core core(directors(), retryPolicy(), 7);
  std::vector<Action> actions;
  core.submit(0, {1, "key", true, 20 * second}, actions);
  const StartAttempt first = *lastOf<StartAttempt>(actions);
  actions.clear();
  core.tick(retryPolicy().attemptTimeout, actions);
  REQUIRE(lastOf<AbandonAttempt>(actions) != nullptr);
  REQUIRE(lastOf<StartAttempt>(actions) != nullptr);
  CHECK(lastOf<StartAttempt>(actions)->director != first.director);
}

TEST_CASE("While all directors are ejected, first attempts are still made, but no retries") {
  Core core({{"a:1", "north"}}, retryPolicy(), 7);
  std::vector<Action> actions;
  for (RequestId id = 1; id <= 20; ++id) {
    actions.clear();
    core.submit(static_cast<Micros>(id), {id, "key", false, 200 * ms}, actions);
    const StartAttempt* started = lastOf<StartAttempt>(actions);
    REQUIRE(started != nullptr);
    const AttemptId attempt = started->attempt;
    actions.clear();
    core.failed(static_cast<Micros>(id), attempt, actions);
    CHECK(lastOf<StartAttempt>(actions) == nullptr);
  }
}

TEST_CASE("A key is valid at one director: it is kept after a lost answer and replaced after a throttle") {
  Core core(directors(), retryPolicy(), 7);
  std::vector<Action> actions;
  core.submit(0, {1, "key", true, 20 * second}, actions);
  Micros now = 0;
  const auto next = [&] {
    while (lastOf<StartAttempt>(actions) == nullptr && now < 19 * second) core.tick(now += 10 * ms, actions);
    REQUIRE(lastOf<StartAttempt>(actions) != nullptr);
    const AttemptId attempt = lastOf<StartAttempt>(actions)->attempt;
    actions.clear();
    return attempt;
  };
  AttemptId attempt = next();
  const SendParameters firstSend = core.beginSend(now, attempt, "a");
  CHECK(firstSend.key == "a:key");
  CHECK(firstSend.previousDirector.empty());
  CHECK_FALSE(firstSend.sinceFirstSent);
  CHECK(firstSend.timeLeft == 20 * second);
  CHECK(core.beginSend(now, attempt, "a").key.empty());  // once per attempt
  const Micros sentAt = now;
  core.failed(now += 10 * ms, attempt, actions);
  attempt = next();
  const SendParameters secondSend = core.beginSend(now, attempt, "a");
  CHECK(secondSend.key == "a:key");
  CHECK(secondSend.previousDirector == "a");
  CHECK(secondSend.sinceFirstSent == now - sentAt);
  CHECK(secondSend.timeLeft == 20 * second - now);
  core.answered(now, attempt, Answer::throttled, 0, false, actions);
  attempt = next();
  const SendParameters thirdSend = core.beginSend(now, attempt, "b");
  CHECK(thirdSend.key == "b:key");
  CHECK(thirdSend.previousDirector.empty());
  // Proved unread: the key counts as never sent.
  core.failed(now, attempt, actions, true);
  attempt = next();
  CHECK(core.beginSend(now, attempt, "c").key == "c:key");
}

TEST_CASE("A request that names something unknown is not retried, safe or unsafe") {
  for (const bool unsafe : {false, true}) {
    Core core(directors(), retryPolicy(), 7);
    std::vector<Action> actions;
    core.submit(0, {1, "key", unsafe, 20 * second}, actions);
    const AttemptId attempt = lastOf<StartAttempt>(actions)->attempt;
    core.beginSend(0, attempt, "a");
    actions.clear();
    core.answered(1, attempt, Answer::wrong, 0, false, actions);
    REQUIRE(lastOf<ReportResult>(actions) != nullptr);
    CHECK(lastOf<ReportResult>(actions)->result == Result::terminated);
  }
}
