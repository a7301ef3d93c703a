#include "fleet/list_poller.h"

#include <algorithm>

namespace lupinsill::fleet {
namespace {

// A director is held to a list change 1.5 s after it is published, so several polls must fit into that time.
constexpr Micros minPollInterval = 240'000;  // from a good answer to the next query
constexpr Micros pollJitter = 120'000;       // random addition below this
constexpr Micros retryInterval = 120'000;    // from an unanswered query to the next one

// How long an answer may take. It exceeds the longest outage of a name server, 25 s. It must not exceed the
// time after which Membership takes older lists for a restart of the source: the late answers of a server
// that has not restarted end before that.
constexpr Micros maxAnswerDelay = 30'000'000;

}  // namespace

Micros ListPoller::nextPollInterval() {
  return minPollInterval + static_cast<Micros>(random_()) % pollJitter;
}

bool ListPoller::serverIsSlow() const { return lastAnswerDelay_ > retryInterval; }

std::uint16_t ListPoller::nextQuery(Micros now) {
  due_ = now + (serverIsSlow() ? nextPollInterval() : retryInterval);
  while (!outstanding_.empty() && now - outstanding_.front().sentAt >= maxAnswerDelay)
    outstanding_.pop_front();
  const auto queryId = static_cast<std::uint16_t>(random_());
  outstanding_.push_back({queryId, now});
  return queryId;
}

void ListPoller::serverMoved(Micros now) {
  outstanding_.clear();
  lastAnswerDelay_ = 0;
  due_ = now;
}

bool ListPoller::matchAnswer(Micros now, std::uint16_t queryId) {
  const auto query =
      std::find_if(outstanding_.begin(), outstanding_.end(), [&](const OutstandingQuery& outstanding) {
        return outstanding.id == queryId && now - outstanding.sentAt < maxAnswerDelay;
      });
  if (query == outstanding_.end()) return false;
  lastAnswerDelay_ = now - query->sentAt;
  outstanding_.erase(query);
  return true;
}

void ListPoller::answered(Micros now) {
  // Queries that are younger than the answered one are under way to a slow server; the next is due as it was.
  if (!serverIsSlow()) due_ = now + nextPollInterval();
}

}  // namespace lupinsill::fleet
