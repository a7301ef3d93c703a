// Replays a history on a virtual clock: the real membership, front, guards, ledger and decision module of
// several directors together with the client core of several apps, over simulated nodes and links. Uses no
// socket and no wall clock, so that the same history gives the same record. What the simulated players and
// nodes observe is checked by the audit.
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
  // Number of requests, and how many ended with each result. Cancelled ones count as unreachable.
  std::size_t requests = 0, playing = 0, throttled = 0, terminated = 0, unknown = 0, unreachable = 0;
  std::vector<Micros> retryAfter;  // of the throttled requests, in order
  std::size_t heldByGuards = 0;    // commands that the guards of all directors held back
  std::size_t violations() const;  // over all rules
};

// Replays a history and checks the record. `faultName` names a fault to inject (lab/plant.h); empty for none.
ReplayResult play(const History& history, const std::string& faultName = "");

// A table of the rules followed by a line of totals.
std::string format(const ReplayResult& result);

}  // namespace lupinsill::history
