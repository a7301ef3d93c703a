// Remembers the IDs of requests that may have run at a media node, so that none of them runs a second time.
//
// Clients give each request an ID of its own, and a retry as well. One that sends an ID again after it has
// left, or after its session has ended, would have the request run twice. IDs are kept for a limited time and
// in limited number, the oldest being dropped first.
//
// No I/O and no clock: times are microseconds on the caller's clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>

#include "control.h"

namespace lupinsill::session {

class RecentCallIds {
 public:
  static constexpr Micros retention = 300'000'000;
  static constexpr std::size_t capacity = 20'000;

  // Records an ID of 16 hex digits whose request is over.
  void record(Micros now, const std::string& id);
  // Whether the ID was recorded within the retention time and has not been dropped.
  bool contains(Micros now, const std::string& id);
  std::size_t size() const { return ids_.size(); }

 private:
  struct Entry {
    Micros recordedAt;
    std::uint64_t id;
  };
  void dropExpired(Micros now);

  std::deque<Entry> entries_;  // oldest first
  std::unordered_set<std::uint64_t> ids_;
};

}  // namespace lupinsill::session
