#include "ledger/ledger.h"

#include <sodium.h>

#include <algorithm>

namespace lupinsill::ledger {

Digest digestOf(const std::string& key) {
  Digest digest;
  crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
  return digest;
}

const char* nameOf(RecordState mark) {
  switch (mark) {
    case RecordState::intent:
      return "intent";
    case RecordState::played:
      return "played";
    case RecordState::mayHaveRun:
      return "may-have-run";
    case RecordState::over:
      return "over";
    case RecordState::refused:
      return "refused";
  }
  return "?";
}

void Ledger::recover(Micros now, const std::vector<Record>& records, bool whole) {
  // No digest of a key is all zeros: under that name the file itself says that one before it was lost.
  const Digest lost{};
  if (!whole) doubtUntil_ = now + memory_;
  std::vector<Record> sorted = records;
  std::sort(sorted.begin(), sorted.end(), [](const Record& a, const Record& b) {
    return std::pair(a.until, a.key) < std::pair(b.until, b.key);
  });
  for (const Record& record : sorted) {
    if (record.mark == RecordState::refused || record.until <= now) continue;
    // An intent without an outcome may have run: the director was killed between the two. And what played
    // ended with the director that held it.
    const RecordState mark = record.mark == RecordState::intent   ? RecordState::mayHaveRun
                             : record.mark == RecordState::played ? RecordState::over
                                                                  : record.mark;
    // A clock set back must not make a record outlive its memory, or the file would never empty.
    const Micros until = std::min(record.until, now + memory_);
    if (record.key == lost) {
      doubtUntil_ = std::max(doubtUntil_, until);
      continue;
    }
    records_[record.key] = {mark, until};
    order_.emplace_back(until, record.key);
  }
  // Guards against a second restart that finds the new file whole and forgets that the old one is gone.
  if (!whole && stored_) writes_.push_back({++next_, {lost, RecordState::mayHaveRun, doubtUntil_}});
}

void Ledger::put(Micros now, const Digest& key, RecordState mark) {
  if (mark == RecordState::refused) {
    records_.erase(key);
  } else {
    records_[key] = {mark, now + memory_};
    order_.emplace_back(now + memory_, key);
  }
  const Write write{++next_, {key, mark, now + memory_}};
  if (!stored_) return;
  // The place of the first stays, the number of the last counts: whoever waits waits for the whole batch.
  if (const auto it = pending_.find(key); it != pending_.end()) {
    writes_[it->second] = write;
    return;
  }
  pending_.emplace(key, writes_.size());
  writes_.push_back(write);
}

Seq Ledger::recordIntent(Micros now, const Digest& key) {
  put(now, key, RecordState::intent);
  return next_;
}

void Ledger::mark(Micros now, const Digest& key, RecordState mark) {
  const auto it = records_.find(key);
  // Guards against a late `refused` of one join that would erase what another join of the key has done.
  if (mark == RecordState::refused && it != records_.end() && it->second.mark != RecordState::intent) return;
  if (it != records_.end() && it->second.mark == mark) return;
  put(now, key, mark);
}

LookupResult Ledger::lookup(Micros now, const Digest& key, bool saidToBeRepeat,
                            std::optional<Micros> firstSentAt) const {
  const auto it = records_.find(key);
  if (it != records_.end() && now < it->second.until)
    return it->second.mark == RecordState::over || it->second.mark == RecordState::played
               ? LookupResult::played
               : LookupResult::mayHaveRun;
  return saidToBeRepeat && doubtful(now, firstSentAt) ? LookupResult::mayHaveRun : LookupResult::nothing;
}

std::vector<Write> Ledger::takeWrites() {
  pending_.clear();
  return std::exchange(writes_, {});
}

void Ledger::expire(Micros now) {
  while (!order_.empty() && order_.front().first <= now) {
    const auto it = records_.find(order_.front().second);
    // Marked again since: a later place in the order speaks of it.
    if (it != records_.end() && it->second.until <= now) records_.erase(it);
    order_.pop_front();
  }
}

}  // namespace lupinsill::ledger
