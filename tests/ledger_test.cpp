#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>

#include "ledger/ledger.h"

using namespace lupinsill;
using namespace lupinsill::ledger;

namespace {
constexpr Micros second = 1'000'000;
}

TEST_CASE("An intent counts once it is durable; marks of one batch are one write") {
  Ledger ledger(60 * second, 10, true);
  const Digest a = digestOf("a"), b = digestOf("b");
  const Seq first = ledger.recordIntent(0, a);
  const Seq secondIntent = ledger.recordIntent(0, b);
  CHECK_FALSE(ledger.isDurable(first));
  ledger.mark(0, a, RecordState::played);
  const auto writes = ledger.takeWrites();
  REQUIRE(writes.size() == 2);
  CHECK(writes[0].record.mark == RecordState::played);
  ledger.durable(secondIntent);
  CHECK(ledger.isDurable(first));
  CHECK(ledger.takeWrites().empty());
}

TEST_CASE(
    "What nothing ran of is forgotten at once, what may have run for its memory, and no later refusal undoes "
    "it") {
  Ledger ledger(60 * second, 10, false);
  const Digest a = digestOf("a");
  ledger.recordIntent(0, a);
  CHECK(ledger.lookup(1, a, false) == LookupResult::mayHaveRun);
  ledger.mark(1, a, RecordState::refused);
  CHECK(ledger.lookup(1, a, false) == LookupResult::nothing);
  ledger.recordIntent(2, a);
  ledger.mark(3, a, RecordState::played);
  ledger.mark(4, a, RecordState::refused);
  CHECK(ledger.lookup(4, a, false) == LookupResult::played);
  ledger.expire(60 * second);
  CHECK(ledger.lookup(60 * second, a, false) == LookupResult::played);
  ledger.expire(61 * second);
  CHECK(ledger.size() == 0);
}

TEST_CASE("At a start intents count as run, what played as over, a clock set back extends nothing") {
  Ledger ledger(60 * second, 10, true);
  const Digest a = digestOf("a"), b = digestOf("b"), c = digestOf("c"), d = digestOf("d");
  ledger.recover(100 * second,
                 {{a, RecordState::intent, 130 * second},
                  {b, RecordState::played, 110 * second},
                  {c, RecordState::over, 99 * second},
                  {d, RecordState::mayHaveRun, 9'000 * second}},
                 true);
  CHECK(ledger.lookup(100 * second, a, false) == LookupResult::mayHaveRun);
  CHECK(ledger.lookup(100 * second, b, false) == LookupResult::played);
  CHECK(ledger.lookup(100 * second, c, false) == LookupResult::nothing);
  ledger.expire(111 * second);
  CHECK(ledger.size() == 2);
  ledger.expire(160 * second);
  CHECK(ledger.size() == 0);
}

TEST_CASE("A ledger that was lost answers repeats as if they had run, until all of before has expired") {
  Ledger ledger(60 * second, 10, true);
  ledger.recover(0, {}, false);
  const Digest a = digestOf("a");
  CHECK(ledger.lookup(59 * second, a, true) == LookupResult::mayHaveRun);
  CHECK(ledger.lookup(59 * second, a, false) == LookupResult::nothing);
  CHECK(ledger.lookup(60 * second, a, true) == LookupResult::nothing);
}

TEST_CASE(
    "Random lives with kills at any point: no key that may have run is ever free again within its memory") {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::minstd_rand chance(seed);
    std::map<int, RecordState> disk;  // what a store would hold
    std::map<int, bool> left;         // keys whose join has left and not been refused
    auto ledger = std::make_unique<Ledger>(1000 * second, 100, true);
    std::map<int, Seq> waiting;
    std::vector<std::pair<int, Write>> unwritten;
    std::map<Digest, int> names;
    for (int k = 0; k < 6; ++k) names[digestOf(std::to_string(k))] = k;
    Micros now = 0;
    for (int step = 0; step < 80; ++step) {
      now += second;
      const int k = static_cast<int>(chance() / 5 % 6);
      const Digest key = digestOf(std::to_string(k));
      switch (chance() / 3 % 6) {
        case 0:
          if (ledger->lookup(now, key, true) == LookupResult::nothing) {
            REQUIRE_FALSE(left[k]);  // else it would be set up twice
            waiting[k] = ledger->recordIntent(now, key);
          }
          break;
        case 1:
          if (waiting.contains(k) && ledger->isDurable(waiting[k])) left[k] = true, waiting.erase(k);
          break;
        case 2:
          if (left[k]) ledger->mark(now, key, RecordState::played);
          break;
        case 3:
          if (left[k] && ledger->lookup(now, key, false) == LookupResult::mayHaveRun &&
              chance() / 3 % 2 == 0) {
            ledger->mark(now, key, RecordState::refused);
            left[k] = false;
          }
          break;
        case 4:  // the store commits all it has
          for (const Write& w : ledger->takeWrites()) {
            const int name = names[w.record.key];
            if (w.record.mark == RecordState::refused)
              disk.erase(name);
            else
              disk[name] = w.record.mark;
            ledger->durable(w.seq);
          }
          break;
        case 5:  // killed
          if (chance() / 3 % 4 == 0) {
            std::vector<Record> found;
            for (const auto& [name, mark] : disk)
              found.push_back({digestOf(std::to_string(name)), mark, now + 900 * second});
            ledger = std::make_unique<Ledger>(1000 * second, 100, true);
            ledger->recover(now, found, true);
            waiting.clear();
          }
          break;
      }
    }
  }
}

TEST_CASE(
    "That a ledger was lost is remembered over further restarts, until everything of before has expired") {
  Ledger first(60 * second, 10, true);
  first.recover(0, {}, false);
  const auto writes = first.takeWrites();
  REQUIRE(writes.size() == 1);
  // The next run finds the new file whole.
  Ledger next(60 * second, 10, true);
  next.recover(10 * second, {writes[0].record}, true);
  const Digest a = digestOf("a");
  CHECK(next.lookup(11 * second, a, true) == LookupResult::mayHaveRun);
  CHECK(next.lookup(11 * second, a, false) == LookupResult::nothing);
  // First sent before the loss, and after it.
  CHECK(next.lookup(11 * second, a, true, -1) == LookupResult::mayHaveRun);
  CHECK(next.lookup(11 * second, a, true, 0) == LookupResult::nothing);
  CHECK(next.lookup(60 * second, a, true) == LookupResult::nothing);
  CHECK(next.size() == 0);
}
