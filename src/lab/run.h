// A day of the laboratory from start to verdict. Errors: settings::BadSettings, std::runtime_error.
#pragma once

#include <cstdint>
#include <string>

#include "audit/audit.h"
#include "lab/players.h"

namespace lupinsill::lab {

struct RunOptions {
  std::string dayFile;
  std::uint64_t seed = 1;
  std::string plant;
  std::string policy;       // a baseline's name; empty: the module
  std::string historyFile;  // where to write what happened, for `lab history`; empty: nowhere
  std::string keepFolder;   // folder for settings, lists and logs of the directors; empty: a temporary one
};

struct RunResult {
  std::vector<audit::Row> rows;
  PlayerStatistics playerStatistics;
  double service = 0;  // benefit within the objective over benefit asked
  std::size_t setUps = 0, overloadedNodes = 0;
  double rungChangesPerMinute = 0;  // of rung, per minute played
  double directorCpuSeconds = 0;
  bool cleanEnd = true;
  std::size_t broken() const;
  std::size_t untested() const;
};

RunResult runDay(const RunOptions& options);
std::string formatReport(const RunResult& result);

}  // namespace lupinsill::lab
