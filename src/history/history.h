// A history: what the world did to a deployment, in the order in which it did it, so that the real decisions
// can be driven by it again on a simulated clock. Recorded from a day of the lab, or drawn from a seed.
// Notation: docs/protocol/history.md. Errors: settings::BadSettings.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "control.h"
#include "settings/deployment.h"

namespace lupinsill::history {

enum class EventKind {
  request,         // who: viewer; room, title, top, length
  leave,           // who: viewer, gives up or stops watching
  disconnect,      // who: viewer, its connection breaks
  startNode,       // who: node, a cold one in cell `much`
  restartNode,     // who: node, dies and comes back cold under the same number
  changeCell,      // who: node, listed in cell `much` from here on
  drainNode,       // who: node, listed so; it refuses what is new
  unlistNode,      // who: node, no longer listed
  killNode,        // who: node, its process dies
  stallNode,       // who: node, stands still while much is 1
  loseAnswers,     // who: node, its answers are lost while much is 1
  failJoins,       // who: node, errors for the share `much`
  refuseJoins,     // who: node, refuses all as full while much is 1
  stopReports,     // who: node, tells nothing of its load while much is 1
  setConnectTime,  // who: node, a handshake takes `much` ms
  reduceLink,      // who: node, its link gives `much` times less
  repeatList,      // the last word of the list once more, and one of before it
  partialList,     // a word of the list that lacks two thirds of the nodes; the next is whole
  delayList,       // who: director, hears the list `much` ms late
  killDirector,    // who: director, killed
  startDirector,   // who: director, started again
  stallDirector,   // who: director, gets no turn while much is 1
  setCommitTime,   // who: director, its disk takes `much` ms a commit
};

struct HistoryEvent {
  Micros at = 0;
  EventKind kind = EventKind::request;
  int subject = 0;
  double value = 0;
  int room = 0, title = 0, top = 0;
  Micros length = 0;
};

struct History {
  std::string settingsFile;
  settings::Deployment deployment;
  std::uint64_t seed = 1;  // of the decisions' and the links' chance
  int directors = 1, nodes = 1, zones = 1;
  double linkKb = 0;
  Micros minSetUpTime = 50'000, maxSetUpTime = 150'000;
  std::vector<HistoryEvent> events;  // by time
};

History read(const std::string& file);
void write(std::ostream& out, const History& history);

// Drawn, over the same deployment: joins, refusals, losses, drains, cold starts, restarts, standstills, late
// and repeated words. The same seed, the same history.
History generate(const std::string& settingsFile, std::uint64_t seed);

}  // namespace lupinsill::history
