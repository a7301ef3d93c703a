// Every change is applied to the records in memory and queued for the store in the same step.
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

const char* nameOf(RecordState state) {
  switch (state) {
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

void Ledger::recover(Micros now, const std::vector<Record>& records, bool complete) {
  // Key of the record which persists that an earlier store was lost; no real digest is all zeros.
  const Digest lossMarker{};
  if (!complete) lossExpiresAt_ = now + retention_;
  std::vector<Record> sorted = records;
  std::sort(sorted.begin(), sorted.end(), [](const Record& a, const Record& b) {
    return std::pair(a.until, a.key) < std::pair(b.until, b.key);
  });
  for (const Record& record : sorted) {
    if (record.state == RecordState::refused || record.until <= now) continue;
    // An intent without an outcome may have run, because the director was killed between the two. A
    // subscription that was playing has ended with the director that served it.
    const RecordState state = record.state == RecordState::intent   ? RecordState::mayHaveRun
                              : record.state == RecordState::played ? RecordState::over
                                                                    : record.state;
    // If the clock was set back, a record must not outlive its retention, or the file would never become
    // empty.
    const Micros until = std::min(record.until, now + retention_);
    if (record.key == lossMarker) {
      lossExpiresAt_ = std::max(lossExpiresAt_, until);
      continue;
    }
    records_[record.key] = {state, until};
    expiryQueue_.emplace_back(until, record.key);
  }
  // Persists the loss: the next restart will find the new store complete and could not know of it otherwise.
  if (!complete && hasStore_)
    pendingWrites_.push_back({++lastSeq_, {lossMarker, RecordState::mayHaveRun, lossExpiresAt_}});
}

void Ledger::put(Micros now, const Digest& key, RecordState state) {
  if (state == RecordState::refused) {
    records_.erase(key);
  } else {
    records_[key] = {state, now + retention_};
    expiryQueue_.emplace_back(now + retention_, key);
  }
  const Write write{++lastSeq_, {key, state, now + retention_}};
  if (!hasStore_) return;
  // Merged into the pending write of the key: it keeps its position but takes the new sequence number. The
  // whole batch becomes durable at once, so waiting for either number is the same.
  if (const auto it = pendingIndexByKey_.find(key); it != pendingIndexByKey_.end()) {
    pendingWrites_[it->second] = write;
    return;
  }
  pendingIndexByKey_.emplace(key, pendingWrites_.size());
  pendingWrites_.push_back(write);
}

Seq Ledger::recordIntent(Micros now, const Digest& key) {
  put(now, key, RecordState::intent);
  return lastSeq_;
}

void Ledger::updateState(Micros now, const Digest& key, RecordState state) {
  const auto it = records_.find(key);
  // A late `refused` of one join must not erase the outcome of another join of the same key.
  if (state == RecordState::refused && it != records_.end() && it->second.state != RecordState::intent)
    return;
  if (it != records_.end() && it->second.state == state) return;
  put(now, key, state);
}

LookupResult Ledger::lookup(Micros now, const Digest& key, bool declaredRepeat,
                            std::optional<Micros> firstSentAt) const {
  const auto it = records_.find(key);
  if (it != records_.end() && now < it->second.until)
    return it->second.state == RecordState::over || it->second.state == RecordState::played
               ? LookupResult::played
               : LookupResult::mayHaveRun;
  return declaredRepeat && mayHaveLostRecord(now, firstSentAt) ? LookupResult::mayHaveRun
                                                               : LookupResult::nothing;
}

std::vector<Write> Ledger::takeWrites() {
  pendingIndexByKey_.clear();
  return std::exchange(pendingWrites_, {});
}

void Ledger::expire(Micros now) {
  while (!expiryQueue_.empty() && expiryQueue_.front().first <= now) {
    const auto it = records_.find(expiryQueue_.front().second);
    // A record updated since then has a later entry in the queue.
    if (it != records_.end() && it->second.until <= now) records_.erase(it);
    expiryQueue_.pop_front();
  }
}

}  // namespace lupinsill::ledger
