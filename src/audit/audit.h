// Checks a record of a day or a replay against six rules on answers, set-ups, drains, cold nodes, rungs,
// seats and the retry budget. Each result says how often its rule was tested and violated and how close the
// record came to the limit. A rule without a test counts as untested, not as passed.
#pragma once

#include <string>
#include <vector>

#include "audit/record.h"

namespace lupinsill::audit {

// The deployment's settings and the tolerances of the observation.
struct CheckSettings {
  ControlSettings controlSettings;
  std::vector<Micros> clientTimeouts;
  Micros grace = 0;
  Micros answerTolerance =
      0;  // after the client timeout: the lab shares its machine with all processes under test
  Micros orderTolerance = 0;  // two sockets may be read in either order
  Micros maxListDelay = 0;    // from the publication of a list until every director has read it
};

struct RuleResult {
  std::string rule;
  std::size_t tested = 0;
  std::size_t violations = 0;
  std::string closestCase;                   // the case nearest to the limit, or "-"
  std::vector<std::string> firstViolations;  // descriptions of the first few violations
};

// Returns one result per rule, in the order of the rule numbers.
std::vector<RuleResult> check(const Record& record, const CheckSettings& settings);

}  // namespace lupinsill::audit
