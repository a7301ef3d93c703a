#include "session/recent_call_ids.h"

#include <charconv>

namespace lupinsill::session {
namespace {

constexpr int hexadecimal = 16;

std::uint64_t valueOf(const std::string& id) {
  std::uint64_t value = 0;
  std::from_chars(id.data(), id.data() + id.size(), value, hexadecimal);
  return value;
}

}  // namespace

void RecentCallIds::record(Micros now, const std::string& id) {
  dropExpired(now);
  if (!ids_.insert(valueOf(id)).second) return;
  entries_.push_back({now, valueOf(id)});
  if (entries_.size() <= capacity) return;
  ids_.erase(entries_.front().id);
  entries_.pop_front();
}

bool RecentCallIds::contains(Micros now, const std::string& id) {
  dropExpired(now);
  return ids_.contains(valueOf(id));
}

void RecentCallIds::dropExpired(Micros now) {
  while (!entries_.empty() && now - entries_.front().recordedAt > retention) {
    ids_.erase(entries_.front().id);
    entries_.pop_front();
  }
}

}  // namespace lupinsill::session
