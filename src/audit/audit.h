// The six rules held against a record. Each row says how often the rule was put to the test, how often it was
// broken, and how near to its limit the day came. No rule passes untested.
#pragma once

#include <string>
#include <vector>

#include "audit/record.h"

namespace lupinsill::audit {

struct Statistics {  // of the deployment, as the rules read them
  ControlSettings terms;
  std::vector<Micros> clientTimeouts;
  Micros grace = 0;
  Micros answerSlack = 0;  // after the client timeout, since the lab shares its machine with all it tests
  Micros orderSlack = 0;   // two sockets may be read in either order
  Micros listLook = 0;     // how late a director may see a list that has been published
};

struct Row {
  std::string rule;
  std::size_t tested = 0;
  std::size_t broken = 0;
  std::string nearest;
  std::vector<std::string> first;  // the first few breaches, in words
};

std::vector<Row> check(const Record& record, const Statistics& statistics);

}  // namespace lupinsill::audit
