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

const char* nameOf(Mark mark) {
  switch (mark) {
    case Mark::intent:
      return "intent";
    case Mark::played:
      return "played";
    case Mark::mayHaveRun:
      return "may-have-run";
    case Mark::over:
      return "over";
    case Mark::refused:
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
    if (record.mark == Mark::refused || record.until <= now) continue;
    // An intent without an outcome may have run: the director was killed between the two. And what played
    // ended with the director that held it.
    const Mark mark = record.mark == Mark::intent   ? Mark::mayHaveRun
                      : record.mark == Mark::played ? Mark::over
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
  if (!whole && stored_) writes_.push_back({++next_, {lost, Mark::mayHaveRun, doubtUntil_}});
}

void Ledger::put(Micros now, const Digest& key, Mark mark) {
  if (mark == Mark::refused) {
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

Seq Ledger::intend(Micros now, const Digest& key) {
  put(now, key, Mark::intent);
  return next_;
}

void Ledger::mark(Micros now, const Digest& key, Mark mark) {
  const auto it = records_.find(key);
  // Guards against a late `refused` of one join that would erase what another join of the key has done.
  if (mark == Mark::refused && it != records_.end() && it->second.mark != Mark::intent) return;
  if (it != records_.end() && it->second.mark == mark) return;
  put(now, key, mark);
}

Known Ledger::knows(Micros now, const Digest& key, bool saidToBeRepeat,
                    std::optional<Micros> firstSentAt) const {
  const auto it = records_.find(key);
  if (it != records_.end() && now < it->second.until)
    return it->second.mark == Mark::over || it->second.mark == Mark::played ? Known::played
                                                                            : Known::mayHaveRun;
  return saidToBeRepeat && doubtful(now, firstSentAt) ? Known::mayHaveRun : Known::nothing;
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
