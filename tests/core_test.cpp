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

std::vector<DirectorAt> directors() {
  return {{"a:1", "north"}, {"b:1", "north"}, {"c:1", "south"}, {"d:1", "south"}};
}
Manners manners() {
  Manners m;
  m.building = "north";
  return m;
}

template <class T>
const T* only(const std::vector<Act>& acts) {
  const T* found = nullptr;
  for (const Act& act : acts)
    if (const T* one = std::get_if<T>(&act)) found = one;
  return found;
}

}  // namespace

TEST_CASE("A paid wish whose reply is lost asks the same director again with the same key, and nobody else") {
  Core core(directors(), manners(), 7);
  std::vector<Act> acts;
  core.want(0, {1, "key", true, 5 * second}, acts);
  const Try first = *only<Try>(acts);
  core.sending(0, first.attempt, "d");
  acts.clear();
  core.failed(10 * ms, first.attempt, acts);
  CHECK(only<Try>(acts) == nullptr);
  for (Micros now = 20 * ms; now < 2 * second && only<Try>(acts) == nullptr; now += 10 * ms)
    core.tick(now, acts);
  REQUIRE(only<Try>(acts) != nullptr);
  CHECK(only<Try>(acts)->director == first.director);
  CHECK(only<Try>(acts)->key == "key");
}

TEST_CASE("A director that cannot be reached costs no time: another one of the building is asked at once") {
  Core core(directors(), manners(), 7);
  std::vector<Act> acts;
  core.want(0, {1, "key", true, 5 * second}, acts);
  const Try first = *only<Try>(acts);
  acts.clear();
  core.failed(1 * ms, first.attempt, acts);
  REQUIRE(only<Try>(acts) != nullptr);
  CHECK(only<Try>(acts)->director != first.director);
  CHECK(only<Try>(acts)->director < 2);
}

TEST_CASE("Told to wait longer than there is time, it gives up at once and says when to come back") {
  Core core(directors(), manners(), 7);
  std::vector<Act> acts;
  core.want(0, {1, "key", false, 2 * second}, acts);
  const Try first = *only<Try>(acts);
  core.sending(0, first.attempt, "d");
  acts.clear();
  core.answered(100 * ms, first.attempt, Answer::throttled, 4 * second, false, acts);
  REQUIRE(only<Give>(acts) != nullptr);
  CHECK(only<Give>(acts)->result == Result::throttled);
  CHECK(only<Give>(acts)->comeBackAfter >= 4 * second);
}

TEST_CASE("Thousands of random sequences keep what the core promises") {
  std::size_t gives = 0, tries = 0, furthers = 0;
  for (unsigned seed = 1; seed <= 5000; ++seed) {
    std::minstd_rand chance(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() / 7 % n); };
    const Manners m = manners();
    Core core(directors(), m, seed);
    struct Seen {
      Wish wish;
      Micros at = 0;
      int gives = 0, tries = 0;
      TryId out = 0;
      std::string address;     // of the try that is out
      std::string maybeTaken;  // at which a try may have been taken
      Micros notBefore = 0;
    };
    std::map<WishId, Seen> wishes;
    std::map<TryId, WishId> out;
    std::set<TryId> sent;
    std::vector<Micros> firstAt, furtherAt;
    Micros now = 0;
    std::vector<Act> acts;
    const auto see = [&] {
      for (const Act& act : acts) {
        if (const auto* t = std::get_if<Try>(&act)) {
          Seen& w = wishes.at(t->wish);
          REQUIRE(w.gives == 0);
          REQUIRE(w.out == 0);
          REQUIRE(t->key == w.wish.key);
          REQUIRE(now >= w.notBefore);
          REQUIRE(t->timeLeft <= w.at + w.wish.timeout - now);
          const std::string address = directors()[t->director].address;
          if (w.wish.unsafe && !w.maybeTaken.empty()) REQUIRE(address == w.maybeTaken);
          w.out = t->attempt;
          w.address = address;
          out[t->attempt] = t->wish;
          ++tries;
          if (w.tries++ > 0) {
            furtherAt.push_back(now);
            ++furthers;
            const auto within = [&](const std::vector<Micros>& list) {
              return static_cast<double>(std::count_if(list.begin(), list.end(),
                                                       [&](Micros at) { return at > now - m.budgetWindow; }));
            };
            REQUIRE(within(furtherAt) <= m.budgetFew + m.budgetShare * within(firstAt));
          }
        }
        if (const auto* a = std::get_if<Abandon>(&act)) {
          REQUIRE(out.contains(a->attempt));
          wishes.at(out[a->attempt]).out = 0;
          out.erase(a->attempt);
        }
        if (const auto* g = std::get_if<Give>(&act)) {
          Seen& w = wishes.at(g->wish);
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
        const WishId id = wishes.size() + 1;
        Seen& w = wishes[id];
        w.wish = {id, "k" + std::to_string(id), below(2) == 0, static_cast<Micros>(1 + below(5)) * second};
        w.at = now;
        firstAt.push_back(now);
        core.want(now, w.wish, acts);
      } else if (!out.empty()) {
        auto it = out.begin();
        std::advance(it, below(static_cast<unsigned>(out.size())));
        const TryId attempt = it->first;
        Seen& w = wishes.at(it->second);
        if (!sent.contains(attempt) && what < 7) {
          core.sending(now, attempt, "d");
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
  std::vector<Act> acts;
  core.want(0, {1, "key", true, 20 * second}, acts);
  Try out = *only<Try>(acts);
  const std::size_t first = out.director;
  core.sending(0, out.attempt, "d");
  acts.clear();
  core.failed(1 * ms, out.attempt, acts, true);
  REQUIRE(only<Try>(acts) != nullptr);  // at once, and elsewhere
  out = *only<Try>(acts);
  CHECK(out.director != first);
  // This one is lost without proof, and the next proved unread: it stays bound.
  const std::size_t bound = out.director;
  core.sending(2 * ms, out.attempt, "d");
  core.failed(3 * ms, out.attempt, acts);
  for (int tries = 0; tries < 2; ++tries) {
    acts.clear();
    for (Micros now = 4 * ms; now < 9 * second && only<Try>(acts) == nullptr; now += 10 * ms)
      core.tick(now, acts);
    REQUIRE(only<Try>(acts) != nullptr);
    out = *only<Try>(acts);
    CHECK(out.director == bound);
    core.sending(5 * ms, out.attempt, "d");
    if (tries == 0) core.failed(6 * ms, out.attempt, acts, true);
  }
}

TEST_CASE("A director that takes a connection and says nothing holds no wish for long, paid or not") {
  Core core(directors(), manners(), 7);
  std::vector<Act> acts;
  core.want(0, {1, "key", true, 20 * second}, acts);
  const Try first = *only<Try>(acts);
  acts.clear();
  core.tick(manners().tryMost, acts);
  REQUIRE(only<Abandon>(acts) != nullptr);
  REQUIRE(only<Try>(acts) != nullptr);
  CHECK(only<Try>(acts)->director != first.director);
}

TEST_CASE("Where every director was shunned a first try is still made, and no further one") {
  Core core({{"a:1", "north"}}, manners(), 7);
  std::vector<Act> acts;
  for (WishId id = 1; id <= 20; ++id) {
    acts.clear();
    core.want(static_cast<Micros>(id), {id, "key", false, 200 * ms}, acts);
    const Try* out = only<Try>(acts);
    REQUIRE(out != nullptr);
    const TryId attempt = out->attempt;
    acts.clear();
    core.failed(static_cast<Micros>(id), attempt, acts);
    CHECK(only<Try>(acts) == nullptr);
  }
}

TEST_CASE("A key is for one director: the same after a lost reply, with its age; another after a throttle") {
  Core core(directors(), manners(), 7);
  std::vector<Act> acts;
  core.want(0, {1, "key", true, 20 * second}, acts);
  Micros now = 0;
  const auto next = [&] {
    while (only<Try>(acts) == nullptr && now < 19 * second) core.tick(now += 10 * ms, acts);
    REQUIRE(only<Try>(acts) != nullptr);
    const TryId attempt = only<Try>(acts)->attempt;
    acts.clear();
    return attempt;
  };
  TryId out = next();
  const Sending first = core.sending(now, out, "a");
  CHECK(first.key == "a:key");
  CHECK(first.again.empty());
  CHECK_FALSE(first.againAge);
  CHECK(first.timeLeft == 20 * second);
  CHECK(core.sending(now, out, "a").key.empty());  // once a try
  const Micros sentAt = now;
  core.failed(now += 10 * ms, out, acts);
  out = next();
  const Sending secondSending = core.sending(now, out, "a");
  CHECK(secondSending.key == "a:key");
  CHECK(secondSending.again == "a");
  CHECK(secondSending.againAge == now - sentAt);
  CHECK(secondSending.timeLeft == 20 * second - now);
  core.answered(now, out, Answer::throttled, 0, false, acts);
  out = next();
  const Sending third = core.sending(now, out, "b");
  CHECK(third.key == "b:key");
  CHECK(third.again.empty());
  // Proved unread: as if it had never been sent.
  core.failed(now, out, acts, true);
  out = next();
  CHECK(core.sending(now, out, "c").key == "c:key");
}

TEST_CASE("What names something that is not there is not asked again, safe or not") {
  for (const bool unsafe : {false, true}) {
    Core core(directors(), manners(), 7);
    std::vector<Act> acts;
    core.want(0, {1, "key", unsafe, 20 * second}, acts);
    const TryId out = only<Try>(acts)->attempt;
    core.sending(0, out, "a");
    acts.clear();
    core.answered(1, out, Answer::wrong, 0, false, acts);
    REQUIRE(only<Give>(acts) != nullptr);
    CHECK(only<Give>(acts)->result == Result::terminated);
  }
}
