// A history is a trace of external events on a deployment: requests of viewers, faults, and changes of nodes
// and directors, in order of time. It is recorded from a day of the lab or generated from a seed, and
// replayed on a virtual clock (history/play.h). File format: docs/protocol/history.md.
// Errors: settings::SettingsError.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "control.h"
#include "settings/deployment.h"

namespace lupinsill::history {

// What happens, with the meaning of the event's subject and value. Values that switch a fault are 1 or 0.
enum class EventKind {
  request,         // subject: viewer; uses room, title, top and length
  leave,           // subject: viewer, cancels its request or stops watching
  disconnect,      // subject: viewer, its connection breaks
  startNode,       // subject: a new cold node in cell `value`
  restartNode,     // subject: node, is killed and starts cold under the same id
  changeCell,      // subject: node, is listed in cell `value` from now on
  drainNode,       // subject: node, is listed as draining and refuses new joins
  unlistNode,      // subject: node, is removed from the list
  killNode,        // subject: node, its process is killed
  stallNode,       // subject: node, its process is stopped (1) or resumed (0)
  loseAnswers,     // subject: node, its answers are lost (1) or not (0)
  failJoins,       // subject: node, answers the share `value` of its joins with an error
  refuseJoins,     // subject: node, refuses all joins as full (1) or not (0)
  stopReports,     // subject: node, reports no load (1) or does (0)
  setConnectTime,  // subject: node, a connection to it takes `value` ms
  reduceLink,      // subject: node, the capacity of its link is divided by `value`
  repeatList,      // the current list and the one before it are sent again
  partialList,     // a list without two thirds of the nodes, followed by a complete one
  delayList,       // subject: director, receives lists `value` ms late
  killDirector,    // subject: director
  startDirector,   // subject: director
  stallDirector,   // subject: director, its process is stopped (1) or resumed (0)
  setCommitTime,   // subject: director, a commit of its ledger takes `value` ms
};

struct HistoryEvent {
  Micros at = 0;  // from the start of the history
  EventKind kind = EventKind::request;
  int subject = 0;
  double value = 0;
  int room = 0, title = 0, top = 0;
  Micros length = 0;  // how long the viewer watches
};

struct History {
  std::string settingsFile;
  settings::Deployment deployment;
  std::uint64_t seed = 1;  // for the decisions and the links
  int directors = 1, nodes = 1, zones = 1;
  double linkKb = 0;                                     // kB/s, mean link of a warm node
  Micros minSetUpTime = 50'000, maxSetUpTime = 150'000;  // of a join at a node
  std::vector<HistoryEvent> events;                      // by time
};

// Reads a history and the deployment that its settings file describes.
History read(const std::string& file);
// Writes a history in the file format that read() accepts.
void write(std::ostream& out, const History& history);

// Generates a random history for a deployment, with requests, leaving viewers and a few faults and restarts.
// The same seed gives the same history.
History generate(const std::string& settingsFile, std::uint64_t seed);

}  // namespace lupinsill::history
