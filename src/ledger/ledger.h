// What is remembered of asks that must not be set up twice, so that a repeat of one is answered from the
// first, also after this director was killed in between. Rules only: what must be on disk before a join may
// leave, what each outcome changes, what a record found at start means, and what is said where records were
// lost. The file is src/store's. No I/O, no clock; whole microseconds on the caller's clock; nothing throws.
//
// A key goes: intend (must be durable before its join leaves) -> played | mayHaveRun -> forgotten when its
// time is over; or refused, which forgets it at once, since nothing ran.
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

// 128 bits of BLAKE2b over what names an ask: keys come from strangers, who must not find two that meet.
struct Digest {
  std::array<unsigned char, 16> bytes{};
  auto operator<=>(const Digest&) const = default;
};
Digest digestOf(const std::string& key);

enum class RecordState : std::uint8_t {
  intent = 1,      // a join is about to leave, or has left
  played = 2,      // it began
  mayHaveRun = 3,  // it ended without proof either way
  over = 4,        // it played and has ended
  refused = 5,     // provably nothing ran; as good as no record
};

const char* nameOf(RecordState mark);

struct Record {
  Digest key;
  RecordState mark = RecordState::intent;
  Micros until = 0;
};

using Seq = std::uint64_t;
struct Write {
  Seq seq = 0;
  Record record;  // refused: erase it
};

enum class LookupResult { nothing, mayHaveRun, played };

class Ledger {
 public:
  // `memory`: how long a key is known after its last mark. `most`: keys at most. `durable`: whether a store
  // stands behind; without one every intent counts as durable at once and a restart forgets.
  Ledger(Micros memory, std::size_t most, bool durable) : memory_(memory), most_(most), stored_(durable) {}

  // At start. `whole` is false where the store was lost or damaged: what it held cannot be known then, and
  // repeats are answered as if they had run, until every key of before must have expired.
  void recover(Micros now, const std::vector<Record>& records, bool whole);

  // A number to wait for: the join may leave once isDurable() says so.
  Seq recordIntent(Micros now, const Digest& key);
  void mark(Micros now, const Digest& key, RecordState mark);
  // `firstSentAt`: when the key was first sent at the earliest, where its client said so.
  LookupResult lookup(Micros now, const Digest& key, bool saidToBeRepeat,
                      std::optional<Micros> firstSentAt = std::nullopt) const;
  bool full() const { return records_.size() >= most_; }
  std::size_t size() const { return records_.size(); }
  // Whether a record of then may have been lost. Guards against doubting every repeat for the whole memory:
  // what was first sent in this ledger's own life would stand in it.
  bool doubtful(Micros now, std::optional<Micros> firstSentAt = std::nullopt) const {
    return now < doubtUntil_ && (!firstSentAt || *firstSentAt < doubtUntil_ - memory_);
  }

  // What the store has to write, in order; several marks of one key within a batch are one.
  std::vector<Write> takeWrites();
  void durable(Seq seq) { durableSeq_ = std::max(durableSeq_, seq); }
  bool isDurable(Seq seq) const { return !stored_ || seq <= durableSeq_; }
  // Forgets what has expired; the store forgets by the same times.
  void expire(Micros now);

 private:
  struct Entry {
    RecordState mark = RecordState::intent;
    Micros until = 0;
  };
  void put(Micros now, const Digest& key, RecordState mark);

  Micros memory_;
  std::size_t most_;
  bool stored_;
  Micros doubtUntil_ = 0;
  Seq next_ = 0;
  Seq durableSeq_ = 0;
  std::map<Digest, Entry> records_;
  std::deque<std::pair<Micros, Digest>> order_;  // by expiry, since all live equally long
  std::vector<Write> writes_;
  std::map<Digest, std::size_t> pending_;  // where in writes_
};

}  // namespace lupinsill::ledger
