// Schedules queries for the node list to a name server and matches answers to outstanding queries.
//
// It handles answers that are lost, late, duplicated, truncated, under an unknown query id, a failure or an
// older list, and a server that is silent for a while. While the server takes long to answer, queries go on
// at the usual interval without waiting for earlier answers, so that changes are heard no later than the
// server sends them. Polls are jittered so that many directors do not query the server at the same moments.
// fleet/membership.h interprets the list and judges its version.
//
// No I/O and no clock: times are microseconds on the caller's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <random>

#include "control.h"

namespace lupinsill::fleet {

class ListPoller {
 public:
  // `seed` differs between directors, so that their polls spread out. std::minstd_rand needs a seed between 1
  // and 2147483646.
  explicit ListPoller(std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {}

  // When the next query is due.
  Micros due() const { return due_; }
  // Returns the id of the next query; call it once the query is due.
  std::uint16_t nextQuery(Micros now);
  // The server has a new address: makes a query due at once and discards the outstanding ones.
  void serverMoved(Micros now);
  // Returns whether `queryId` belongs to an outstanding query, which is outstanding no longer after that.
  // Each id matches once.
  bool matchAnswer(Micros now, std::uint16_t queryId);
  // Reports a complete, successful answer whose list is not older than the known one.
  void answered(Micros now);

 private:
  struct OutstandingQuery {
    std::uint16_t id = 0;
    Micros sentAt = 0;
  };
  Micros nextPollInterval();
  // Whether the last matched answer took longer than a lost one is waited for.
  bool serverIsSlow() const;

  std::minstd_rand random_;
  std::deque<OutstandingQuery> outstanding_;  // in the order of sending
  Micros lastAnswerDelay_ = 0;                // from query to answer
  Micros due_ = 0;
};

}  // namespace lupinsill::fleet
