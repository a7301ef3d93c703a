// A history: what the world did to a deployment, in the order in which it did it, so that the real decisions
// can be driven by it again on a simulated clock. Recorded from a day of the lab, or drawn from a seed.
// Notation: docs/protocol/history.md. Errors: settings::SettingsError.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "control.h"
#include "settings/deployment.h"

namespace lupinsill::history {

enum class What {
  wish,     // who: viewer; room, title, top, length
  leave,    // who: viewer, gives up or stops watching
  cut,      // who: viewer, its connection breaks
  start,    // who: node, a cold one in cell `much`
  restart,  // who: node, dies and comes back cold under the same number
  recell,   // who: node, listed in cell `much` from here on
  drain,    // who: node, listed so; it refuses what is new
  gone,     // who: node, no longer listed
  kill,     // who: node, its process dies
  hang,     // who: node, stands still while much is 1
  lose,     // who: node, its answers are lost while much is 1
  fail,     // who: node, errors for the share `much`
  refuse,   // who: node, refuses all as full while much is 1
  silent,   // who: node, tells nothing of its load while much is 1
  connect,  // who: node, a handshake takes `much` ms
  linkCut,  // who: node, its link gives `much` times less
  repeat,   // the last word of the list once more, and one of before it
  thin,     // a word of the list that lacks two thirds of the nodes; the next is whole
  late,     // who: director, hears the list `much` ms late
  down,     // who: director, killed
  up,       // who: director, started again
  stand,    // who: director, gets no turn while much is 1
  disk,     // who: director, its disk takes `much` ms a commit
};

struct Happening {
  Micros at = 0;
  What what = What::wish;
  int who = 0;
  double much = 0;
  int room = 0, title = 0, top = 0;
  Micros length = 0;
};

struct History {
  std::string settingsFile;
  settings::Deployment deployment;
  std::uint64_t seed = 1;  // of the decisions' and the links' chance
  int directors = 1, nodes = 1, zones = 1;
  double linkKb = 0;
  Micros setUpLeast = 50'000, setUpMost = 150'000;
  std::vector<Happening> happenings;  // by time
};

History read(const std::string& file);
void write(std::ostream& out, const History& history);

// Drawn, over the same deployment: joins, refusals, losses, drains, cold starts, restarts, standstills, late
// and repeated words. The same seed, the same history.
History draw(const std::string& settingsFile, std::uint64_t seed);

}  // namespace lupinsill::history
