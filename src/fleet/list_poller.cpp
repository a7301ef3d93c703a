#include "fleet/list_poller.h"

namespace lupinsill::fleet {
namespace {

// A director is held to a list change 1.5 s after it is published, so several polls must fit into that time.
constexpr Micros minPollInterval = 240'000;  // from a good answer to the next query
constexpr Micros pollJitter = 120'000;       // random addition below this
constexpr Micros retryInterval = 120'000;    // from an unanswered query to the next one

// Set above the 16 bits of a query id, so that id 0 differs from a free slot.
constexpr std::uint32_t inUse = 1U << 16;

}  // namespace

std::uint16_t ListPoller::nextQuery(Micros now) {
  due_ = now + retryInterval;
  const auto queryId = static_cast<std::uint16_t>(random_());
  outstanding_[nextSlot_++ % outstanding_.size()] = inUse | queryId;
  return queryId;
}

void ListPoller::serverMoved(Micros now) {
  outstanding_ = {};
  due_ = now;
}

bool ListPoller::matchAnswer(std::uint16_t queryId) {
  for (std::uint32_t& slot : outstanding_)
    if (slot == (inUse | queryId)) return slot = 0, true;
  return false;
}

void ListPoller::answered(Micros now) {
  due_ = now + minPollInterval + static_cast<Micros>(random_()) % pollJitter;
}

}  // namespace lupinsill::fleet
