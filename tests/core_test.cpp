// The client core against random directors: what it keeps is checked on its acts alone.
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
RetryPolicy manners() {
  RetryPolicy m;
  m.zone = "north";
  return m;
}

template <class T>
const T* only(const std::vector<Action>& acts) {
  const T* found = nullptr;
  for (const Action& act : acts)
    if (const T* one = std::get_if<T>(&act)) found = one;
  return found;
}

}  // namespace

TEST_CASE("A paid wish whose reply is lost asks the same director again with the same key, and nobody else") {
  Core core(directors(), manners(), 7);
  std::vector<Action> acts;
  core.submit(0, {1, "key", true, 5 * second}, acts);
  const StartAttempt first = *only<StartAttempt>(acts);
  core.beginSend(0, first.attempt, "d");
  acts.clear();
  core.failed(10 * ms, first.attempt, acts);
  CHECK(only<StartAttempt>(acts) == nullptr);
  for (Micros now = 20 * ms; now < 2 * second && only<StartAttempt>(acts) == nullptr; now += 10 * ms)
    core.tick(now, acts);
  REQUIRE(only<StartAttempt>(acts) != nullptr);
  CHECK(only<StartAttempt>(acts)->director == first.director);
  CHECK(only<StartAttempt>(acts)->key == "key");
}

TEST_CASE("A director that cannot be reached costs no time: another one of the building is asked at once") {
  Core core(directors(), manners(), 7);
  std::vector<Action> acts;
  core.submit(0, {1, "key", true, 5 * second}, acts);
  const StartAttempt first = *only<StartAttempt>(acts);
  acts.clear();
  core.failed(1 * ms, first.attempt, acts);
  REQUIRE(only<StartAttempt>(acts) != nullptr);
  CHECK(only<StartAttempt>(acts)->director != first.director);
  CHECK(only<StartAttempt>(acts)->director < 2);
}

TEST_CASE("Told to wait longer than there is time, it gives up at once and says when to come back") {
  Core core(directors(), manners(), 7);
  std::vector<Action> acts;
  core.submit(0, {1, "key", false, 2 * second}, acts);
  const StartAttempt first = *only<StartAttempt>(acts);
  core.beginSend(0, first.attempt, "d");
  acts.clear();
  core.answered(100 * ms, first.attempt, Answer::throttled, 4 * second, false, acts);
  REQUIRE(only<ReportResult>(acts) != nullptr);
  CHECK(only<ReportResult>(acts)->result == Result::throttled);
  CHECK(only<ReportResult>(acts)->retryAfter >= 4 * second);
}

TEST_CASE("Thousands of random sequences keep what the core promises") {
  std::size_t gives = 0, tries = 0, furthers = 0;
  for (unsigned seed = 1; seed <= 5000; ++seed) {
    std::minstd_rand chance(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() / 7 % n); };
    const RetryPolicy m = manners();
    Core core(directors(), m, seed);
    struct Seen {
      Request wish;
      Micros at = 0;
      int gives = 0, tries = 0;
      AttemptId out = 0;
      std::string address;     // of the try that is out
      std::string maybeTaken;  // at which a try may have been taken
      Micros notBefore = 0;
    };
    std::map<RequestId, Seen> wishes;
    std::map<AttemptId, RequestId> out;
    std::set<AttemptId> sent;
    std::vector<Micros> firstAt, furtherAt;
    Micros now = 0;
    std::vector<Action> acts;
    const auto see = [&] {
      for (const Action& act : acts) {
        if (const auto* t = std::get_if<StartAttempt>(&act)) {
          Seen& w = wishes.at(t->request);
          REQUIRE(w.gives == 0);
          REQUIRE(w.out == 0);
          REQUIRE(t->key == w.wish.key);
          REQUIRE(now >= w.notBefore);
          REQUIRE(t->timeLeft <= w.at + w.wish.timeout - now);
          const std::string address = directors()[t->director].address;
          if (w.wish.unsafe && !w.maybeTaken.empty()) REQUIRE(address == w.maybeTaken);
          w.out = t->attempt;
          w.address = address;
          out[t->attempt] = t->request;
          ++tries;
          if (w.tries++ > 0) {
            furtherAt.push_back(now);
            ++furthers;
            const auto within = [&](const std::vector<Micros>& list) {
              return static_cast<double>(std::count_if(list.begin(), list.end(),
                                                       [&](Micros at) { return at > now - m.budgetWindow; }));
            };
            REQUIRE(within(furtherAt) <= m.minRetries + m.budgetShare * within(firstAt));
          }
        }
        if (const auto* a = std::get_if<AbandonAttempt>(&act)) {
          REQUIRE(out.contains(a->attempt));
          wishes.at(out[a->attempt]).out = 0;
          out.erase(a->attempt);
        }
        if (const auto* g = std::get_if<ReportResult>(&act)) {
          Seen& w = wishes.at(g->request);
          REQUIRE(++w.gives == 1);
          REQUIRE(now <= w.at + w.wish.timeout + 50 * ms);
          if (g->result == Result::throttled || g->result == Result::unreachable)
            REQUIRE((!w.wish.unsafe || w.maybeTaken.empty()));
          ++gives;
        }
      }
      acts.clear();
    };
    for (int step = 0; step < 150; ++step) {
      now += below(40) * ms;
      core.tick(now, acts);
      see();
      const unsigned what = below(10);
      if (what < 3) {
        const RequestId id = wishes.size() + 1;
        Seen& w = wishes[id];
        w.wish = {id, "k" + std::to_string(id), below(2) == 0, static_cast<Micros>(1 + below(5)) * second};
        w.at = now;
        firstAt.push_back(now);
        core.submit(now, w.wish, acts);
      } else if (!out.empty()) {
        auto it = out.begin();
        std::advance(it, below(static_cast<unsigned>(out.size())));
        const AttemptId attempt = it->first;
        Seen& w = wishes.at(it->second);
        if (!sent.contains(attempt) && what < 7) {
          core.beginSend(now, attempt, "d");
          sent.insert(attempt);
          if (w.wish.unsafe) w.maybeTaken = w.address;
        } else if (what == 7 || !sent.contains(attempt)) {
          out.erase(attempt), w.out = 0;
          core.failed(now, attempt, acts);
          core.failed(now, attempt, acts);  // said twice
        } else if (what == 8) {
          out.erase(attempt), w.out = 0;
          const Micros wait = below(3) * 400 * ms;
          w.notBefore = now + wait;
          w.maybeTaken.clear();
          core.answered(now, attempt, Answer::throttled, wait, below(5) == 0, acts);
        } else {
          out.erase(attempt), w.out = 0;
          core.answered(now, attempt, below(3) == 0 ? Answer::terminated : Answer::playing, 0, false, acts);
        }
      }
      see();
    }
    for (int i = 0; i < 400; ++i) {
      now += 25 * ms;
      core.tick(now, acts);
      see();
    }
    for (const auto& [id, w] : wishes) REQUIRE(w.gives == 1);
  }
  CHECK(gives > 50'000);
  CHECK(tries > 50'000);
  CHECK(furthers > 2'000);
}

TEST_CASE("What was proved unread frees a paid wish; an earlier try that may have been taken does not") {
  Core core(directors(), manners(), 7);
  std::vector<Action> acts;
  core.submit(0, {1, "key", true, 20 * second}, acts);
  StartAttempt out = *only<StartAttempt>(acts);
  const std::size_t first = out.director;
  core.beginSend(0, out.attempt, "d");
  acts.clear();
  core.failed(1 * ms, out.attempt, acts, true);
  REQUIRE(only<StartAttempt>(acts) != nullptr);  // at once, and elsewhere
  out = *only<StartAttempt>(acts);
  CHECK(out.director != first);
  // This one is lost without proof, and the next proved unread: it stays bound.
  const std::size_t bound = out.director;
  core.beginSend(2 * ms, out.attempt, "d");
  core.failed(3 * ms, out.attempt, acts);
  for (int tries = 0; tries < 2; ++tries) {
    acts.clear();
    for (Micros now = 4 * ms; now < 9 * second && only<StartAttempt>(acts) == nullptr; now += 10 * ms)
      core.tick(now, acts);
    REQUIRE(only<StartAttempt>(acts) != nullptr);
    out = *only<StartAttempt>(acts);
    CHECK(out.director == bound);
    core.beginSend(5 * ms, out.attempt, "d");
    if (tries == 0) core.failed(6 * ms, out.attempt, acts, true);
  }
}

TEST_CASE("A director that takes a connection and says nothing holds no wish for long, paid or not") {
  Core core(directors(), manners(), 7);
  std::vector<Action> acts;
  core.submit(0, {1, "key", true, 20 * second}, acts);
  const StartAttempt first = *only<StartAttempt>(acts);
  acts.clear();
  core.tick(manners().attemptTimeout, acts);
  REQUIRE(only<AbandonAttempt>(acts) != nullptr);
  REQUIRE(only<StartAttempt>(acts) != nullptr);
  CHECK(only<StartAttempt>(acts)->director != first.director);
}

TEST_CASE("Where every director was shunned a first try is still made, and no further one") {
  Core core({{"a:1", "north"}}, manners(), 7);
  std::vector<Action> acts;
  for (RequestId id = 1; id <= 20; ++id) {
    acts.clear();
    core.submit(static_cast<Micros>(id), {id, "key", false, 200 * ms}, acts);
    const StartAttempt* out = only<StartAttempt>(acts);
    REQUIRE(out != nullptr);
    const AttemptId attempt = out->attempt;
    acts.clear();
    core.failed(static_cast<Micros>(id), attempt, acts);
    CHECK(only<StartAttempt>(acts) == nullptr);
  }
}

TEST_CASE("A key is for one director: the same after a lost reply, with its age; another after a throttle") {
  Core core(directors(), manners(), 7);
  std::vector<Action> acts;
  core.submit(0, {1, "key", true, 20 * second}, acts);
  Micros now = 0;
  const auto next = [&] {
    while (only<StartAttempt>(acts) == nullptr && now < 19 * second) core.tick(now += 10 * ms, acts);
    REQUIRE(only<StartAttempt>(acts) != nullptr);
    const AttemptId attempt = only<StartAttempt>(acts)->attempt;
    acts.clear();
    return attempt;
  };
  AttemptId out = next();
  const SendParameters first = core.beginSend(now, out, "a");
  CHECK(first.key == "a:key");
  CHECK(first.previousDirector.empty());
  CHECK_FALSE(first.sinceFirstSent);
  CHECK(first.timeLeft == 20 * second);
  CHECK(core.beginSend(now, out, "a").key.empty());  // once a try
  const Micros sentAt = now;
  core.failed(now += 10 * ms, out, acts);
  out = next();
  const SendParameters secondSending = core.beginSend(now, out, "a");
  CHECK(secondSending.key == "a:key");
  CHECK(secondSending.previousDirector == "a");
  CHECK(secondSending.sinceFirstSent == now - sentAt);
  CHECK(secondSending.timeLeft == 20 * second - now);
  core.answered(now, out, Answer::throttled, 0, false, acts);
  out = next();
  const SendParameters third = core.beginSend(now, out, "b");
  CHECK(third.key == "b:key");
  CHECK(third.previousDirector.empty());
  // Proved unread: as if it had never been sent.
  core.failed(now, out, acts, true);
  out = next();
  CHECK(core.beginSend(now, out, "c").key == "c:key");
}

TEST_CASE("What names something that is not there is not asked again, safe or not") {
  for (const bool unsafe : {false, true}) {
    Core core(directors(), manners(), 7);
    std::vector<Action> acts;
    core.submit(0, {1, "key", unsafe, 20 * second}, acts);
    const AttemptId out = only<StartAttempt>(acts)->attempt;
    core.beginSend(0, out, "a");
    acts.clear();
    core.answered(1, out, Answer::wrong, 0, false, acts);
    REQUIRE(only<ReportResult>(acts) != nullptr);
    CHECK(only<ReportResult>(acts)->result == Result::terminated);
  }
}
