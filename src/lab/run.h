// Runs a day: starts nodes, directors and players, injects the faults, and audits what was recorded. Throws
// settings::SettingsError and std::runtime_error.
#pragma once

#include <cstdint>
#include <string>

#include "audit/audit.h"
#include "lab/players.h"

namespace lupinsill::lab {

// Options of `lupinsill lab run`.
struct RunOptions {
  std::string dayFile;
  std::uint64_t seed = 1;
  std::string plant;        // name of a planted fault (plant.h); empty: none
  std::string policy;       // name of a baseline policy; empty: the control module
  std::string historyFile;  // to write for `lab history`; empty: not written
  std::string keepFolder;   // folder for settings, lists and logs of the directors; empty: a temporary one
};

// The outcome of a run.
struct RunResult {
  std::vector<audit::RuleResult> rows;
  PlayerStatistics playerStatistics;
  double service = 0;  // benefit earned by joins within the objective, over benefit requested
  std::size_t setUps = 0, overloadedNodes = 0;
  double rungChangesPerMinute = 0;  // per minute played
  double directorCpuSeconds = 0;
  bool cleanEnd = true;  // all directors exited successfully on SIGTERM
  // Number of violations of audit rules.
  std::size_t broken() const;
  // Number of audit rules that the run never exercised.
  std::size_t untested() const;
};

RunResult runDay(const RunOptions& options);
// The result as a table for people.
std::string formatReport(const RunResult& result);

}  // namespace lupinsill::lab
