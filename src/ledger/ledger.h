// The ledger of unsafe requests, that is of requests which must not be set up twice. A repeat of such a
// request is answered from the first one, also if the director was killed in between.
//
// This file holds the rules only: what must be on disk before a join may be sent, how each outcome changes a
// record, what a record found at start means, and how repeats are answered if records were lost. The file on
// disk is written by src/store. No I/O and no clock; times are whole microseconds on the caller's clock;
// nothing throws.
//
// States of a key: intent (must be durable before the join is sent), then played and over, or mayHaveRun. The
// record is removed when its retention ends, or at once in state refused, because nothing has run.
#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control.h"

namespace lupinsill::ledger {

// 128 bits of BLAKE2b over the text that identifies a request. A cryptographic hash, because clients choose
// their keys and must not be able to construct a collision.
struct Digest {
  std::array<unsigned char, 16> bytes{};
  auto operator<=>(const Digest&) const = default;
};
Digest digestOf(const std::string& key);

// Stored as a number; the values must not change.
enum class RecordState : std::uint8_t {
  intent = 1,      // a join is about to be sent, or has been sent
  played = 2,      // the join has started
  mayHaveRun = 3,  // the join ended without proof whether it ran
  over = 4,        // the subscription played and has ended
  refused = 5,     // provably nothing ran; equivalent to no record
};

// The names in the output of the ledger command.
const char* nameOf(RecordState state);

// One key with its state. Expires at `until`.
struct Record {
  Digest key;
  RecordState state = RecordState::intent;
  Micros until = 0;
};

// Number of a write, ascending; the store reports the highest one that is durable.
using Seq = std::uint64_t;
// A change for the store: insert or replace the record, or erase it if its state is `refused`.
struct Write {
  Seq seq = 0;
  Record record;
};

// What the ledger knows about the first request of a key.
enum class LookupResult { nothing, mayHaveRun, played };

// The records of one director in memory, with the changes that its store still has to write.
class Ledger {
 public:
  // `retention`: how long a key is kept after its last update. `maxKeys`: when full() becomes true.
  // `hasStore`: whether a store persists the ledger; otherwise every intent counts as durable at once, and a
  // restart loses all.
  Ledger(Micros retention, std::size_t maxKeys, bool hasStore)
      : retention_(retention), maxKeys_(maxKeys), hasStore_(hasStore) {}

  // Loads the records found at start. `complete` is false if the store was missing or damaged. Repeats of
  // unknown keys are then answered as if their first request may have run, until every lost record would have
  // expired.
  void recover(Micros now, const std::vector<Record>& records, bool complete);

  // Records the write-ahead intent of a join, which may be sent once isDurable() is true for the returned
  // number.
  Seq recordIntent(Micros now, const Digest& key);
  // Records how far a join of the key has got. Does nothing if the state is unchanged, or if it is `refused`
  // while the key has a state other than `intent`.
  void updateState(Micros now, const Digest& key, RecordState state);
  // `declaredRepeat`: the client says that it sent the key to this director before. `firstSentAt`: the
  // earliest time at which it can have been sent first, if the client says so.
  LookupResult lookup(Micros now, const Digest& key, bool declaredRepeat,
                      std::optional<Micros> firstSentAt = std::nullopt) const;
  bool full() const { return records_.size() >= maxKeys_; }
  std::size_t size() const { return records_.size(); }
  // Whether the record of a key first sent at that time may have been lost. A key first sent during the life
  // of this ledger would have a record; without that distinction every repeat would be in doubt for the whole
  // retention.
  bool mayHaveLostRecord(Micros now, std::optional<Micros> firstSentAt = std::nullopt) const {
    return now < lossExpiresAt_ && (!firstSentAt || *firstSentAt < lossExpiresAt_ - retention_);
  }

  // Changes that the store has to write, in order. Several updates of a key in one batch are merged into one.
  std::vector<Write> takeWrites();
  void markDurable(Seq seq) { durableSeq_ = std::max(durableSeq_, seq); }
  bool isDurable(Seq seq) const { return !hasStore_ || seq <= durableSeq_; }
  // Removes expired records; the store removes its own by the same times.
  void expire(Micros now);

 private:
  struct Entry {
    RecordState state = RecordState::intent;
    Micros until = 0;
  };
  void put(Micros now, const Digest& key, RecordState state);

  Micros retention_;
  std::size_t maxKeys_;
  bool hasStore_;
  Micros lossExpiresAt_ = 0;  // when all lost records would have expired; 0: none were lost
  Seq lastSeq_ = 0;
  Seq durableSeq_ = 0;
  std::map<Digest, Entry> records_;
  std::deque<std::pair<Micros, Digest>> expiryQueue_;  // ascending, because the retention is the same for all
  std::vector<Write> pendingWrites_;
  std::map<Digest, std::size_t> pendingIndexByKey_;  // positions in pendingWrites_
};

}  // namespace lupinsill::ledger
