// Plays a history: membership, front, guards, ledger and module of several directors, and the client core of
// several apps, together, on a simulated clock. No socket, no wall clock: the same history gives the same
// record. What players and nodes saw goes into the record that `audit` judges.
#pragma once

#include <string>
#include <vector>

#include "audit/audit.h"
#include "director/director.h"
#include "history/history.h"

namespace lupinsill::history {

struct ReplayResult {
  audit::Record record;
  std::vector<audit::RuleResult> ruleResults;
  std::size_t requests = 0, playing = 0, throttled = 0, terminated = 0, unknown = 0, unreachable = 0;
  std::vector<Micros> retryAfter;  // what those given up on were told, in order
  std::size_t heldByGuards = 0;    // held back by guards, over all directors
  std::size_t violations() const;
};

// `plant`: see lab/plant.h; empty in earnest.
ReplayResult play(const History& history, const std::string& plant = "");

std::string format(const ReplayResult& played);

}  // namespace lupinsill::history
