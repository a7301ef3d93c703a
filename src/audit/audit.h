// The six rules held against a record. Each row says how often the rule was put to the test, how often it was
// broken, and how near to its limit the day came. No rule passes untested.
#pragma once

#include <string>
#include <vector>

#include "audit/record.h"

namespace lupinsill::audit {

struct CheckSettings {  // of the deployment, as the rules read them
  ControlSettings controlSettings;
  std::vector<Micros> clientTimeouts;
  Micros grace = 0;
  Micros answerTolerance = 0;  // after the client timeout, since the lab shares its machine with all it tests
  Micros orderTolerance = 0;   // two sockets may be read in either order
  Micros maxListDelay = 0;     // how late a director may see a list that has been published
};

struct RuleResult {
  std::string rule;
  std::size_t tested = 0;
  std::size_t violations = 0;
  std::string closestCase;
  std::vector<std::string> firstViolations;  // the first few breaches, in words
};

std::vector<RuleResult> check(const Record& record, const CheckSettings& statistics);

}  // namespace lupinsill::audit
