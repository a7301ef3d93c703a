// Tests the rules of the ledger: durability of intents, states of keys, restart and loss of the store.
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

TEST_CASE("An intent is durable once the store says so, and updates of a key in one batch are one write") {
  Ledger ledger(60 * second, 10, true);
  const Digest a = digestOf("a"), b = digestOf("b");
  const Seq first = ledger.recordIntent(0, a);
  const Seq secondIntent = ledger.recordIntent(0, b);
  CHECK_FALSE(ledger.isDurable(first));
  ledger.updateState(0, a, RecordState::played);
  const auto writes = ledger.takeWrites();
  REQUIRE(writes.size() == 2);
  CHECK(writes[0].record.state == RecordState::played);
  ledger.markDurable(secondIntent);
  CHECK(ledger.isDurable(first));
  CHECK(ledger.takeWrites().empty());
}

TEST_CASE(
    "A refused key is removed at once, a key that may have run is kept for its retention, and a late refusal "
    "does not remove it") {
  Ledger ledger(60 * second, 10, false);
  const Digest a = digestOf("a");
  ledger.recordIntent(0, a);
  CHECK(ledger.lookup(1, a, false) == LookupResult::mayHaveRun);
  ledger.updateState(1, a, RecordState::refused);
  CHECK(ledger.lookup(1, a, false) == LookupResult::nothing);
  ledger.recordIntent(2, a);
  ledger.updateState(3, a, RecordState::played);
  ledger.updateState(4, a, RecordState::refused);
  CHECK(ledger.lookup(4, a, false) == LookupResult::played);
  ledger.expire(60 * second);
  CHECK(ledger.lookup(60 * second, a, false) == LookupResult::played);
  ledger.expire(61 * second);
  CHECK(ledger.size() == 0);
}

TEST_CASE(
    "At start an intent counts as may have run, played as over, and a clock set back extends no retention") {
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

TEST_CASE(
    "After a loss of the ledger, repeats count as may have run until all lost records would have expired") {
  Ledger ledger(60 * second, 10, true);
  ledger.recover(0, {}, false);
  const Digest a = digestOf("a");
  CHECK(ledger.lookup(59 * second, a, true) == LookupResult::mayHaveRun);
  CHECK(ledger.lookup(59 * second, a, false) == LookupResult::nothing);
  CHECK(ledger.lookup(60 * second, a, true) == LookupResult::nothing);
}

TEST_CASE("Random updates with kills at any point never free a key that may have run within its retention") {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::minstd_rand random(seed);
    std::map<int, RecordState> disk;  // what the store holds
    std::map<int, bool> sent;         // keys whose join was sent and not refused
    auto ledger = std::make_unique<Ledger>(1000 * second, 100, true);
    std::map<int, Seq> intents;  // keys whose join waits for its intent to be durable
    std::vector<std::pair<int, Write>> unwritten;
    std::map<Digest, int> keyByDigest;
    for (int k = 0; k < 6; ++k) keyByDigest[digestOf(std::to_string(k))] = k;
    Micros now = 0;
    for (int step = 0; step < 80; ++step) {
      now += second;
      const int k = static_cast<int>(random() / 5 % 6);
      const Digest key = digestOf(std::to_string(k));
      switch (random() / 3 % 6) {
        case 0:
          if (ledger->lookup(now, key, true) == LookupResult::nothing) {
            REQUIRE_FALSE(sent[k]);  // otherwise it would be set up twice
            intents[k] = ledger->recordIntent(now, key);
          }
          break;
        case 1:
          if (intents.contains(k) && ledger->isDurable(intents[k])) sent[k] = true, intents.erase(k);
          break;
        case 2:
          if (sent[k]) ledger->updateState(now, key, RecordState::played);
          break;
        case 3:
          if (sent[k] && ledger->lookup(now, key, false) == LookupResult::mayHaveRun &&
              random() / 3 % 2 == 0) {
            ledger->updateState(now, key, RecordState::refused);
            sent[k] = false;
          }
          break;
        case 4:  // the store commits all pending writes
          for (const Write& write : ledger->takeWrites()) {
            const int number = keyByDigest[write.record.key];
            if (write.record.state == RecordState::refused)
              disk.erase(number);
            else
              disk[number] = write.record.state;
            ledger->markDurable(write.seq);
          }
          break;
        case 5:  // the process is killed and restarts
          if (random() / 3 % 4 == 0) {
            std::vector<Record> records;
            for (const auto& [number, state] : disk)
              records.push_back({digestOf(std::to_string(number)), state, now + 900 * second});
            ledger = std::make_unique<Ledger>(1000 * second, 100, true);
            ledger->recover(now, records, true);
            intents.clear();
          }
          break;
      }
    }
  }
}

TEST_CASE("The loss of a ledger is remembered over restarts until all lost records would have expired") {
  Ledger first(60 * second, 10, true);
  first.recover(0, {}, false);
  const auto writes = first.takeWrites();
  REQUIRE(writes.size() == 1);
  // The next start finds the new store complete.
  Ledger next(60 * second, 10, true);
  next.recover(10 * second, {writes[0].record}, true);
  const Digest a = digestOf("a");
  CHECK(next.lookup(11 * second, a, true) == LookupResult::mayHaveRun);
  CHECK(next.lookup(11 * second, a, false) == LookupResult::nothing);
  // A key first sent before the loss may have had a record, one sent after it would have one.
  CHECK(next.lookup(11 * second, a, true, -1) == LookupResult::mayHaveRun);
  CHECK(next.lookup(11 * second, a, true, 0) == LookupResult::nothing);
  CHECK(next.lookup(60 * second, a, true) == LookupResult::nothing);
  CHECK(next.size() == 0);
}
