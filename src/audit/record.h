// What media nodes and players saw of a day, in the order in which they saw it: the only thing the audit goes
// by. The lab's own acts on processes and lists stand in it too, since the rules speak of them. Nothing a
// director says of itself does. Whole microseconds from the start of the day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"

namespace lupinsill::audit {

// A node's view of one SETUP that reached it.
struct SetUpObservation {
  Micros at = 0;
  NodeId node = 0;
  std::string director;      // one run of one director: a restart is another
  std::string subscription;  // as the director names it
  std::string viewer;
  std::string idempotencyKey;
  std::string title;
  int roomType = 0;
  int rung = 0;
  Micros ranAt = -1;      // from when it counts as set up (and paid); -1: never
  Micros refusedAt = -1;  // answered 453 or 503: provably never ran
  Micros answeredAt = -1;
  Micros endedAt = -1;  // torn down, refused, its stream ended, its connection or node gone
};

// A player's view of one ask that it sent on an open socket.
struct RequestObservation {
  Micros at = 0;
  int director = 0;  // place
  int run = 0;       // which run of that director
  std::string viewer;
  std::string idempotencyKey;
  std::string title;
  int roomType = 0;
  Micros timeout = 0;
  struct Answer {
    Micros at;
    enum class Kind { playing, throttled, terminated } kind;
  };
  std::vector<Answer> answers;
  Micros closedAt = -1;  // the player closed, or lost, its socket
  bool connectionLost = false;
  bool neverReads = false;  // it does not read what it is told
};

struct NodeStart {
  NodeId node = 0;
  Micros at = 0;
  int places = 0;
  bool coldStart = false;  // started within the day
};
struct ListedState {  // the list that names it so was published
  NodeId node = 0;
  Micros at = 0;
  NodeState state = NodeState::ready;
  int director = -1;  // the only one that could read it then; -1: all
};
struct DirectorKill {
  int director = 0;
  int run = 0;
  Micros at = 0;
};
struct DirectorStall {
  int director = 0;
  int run = 0;
  Micros from = 0, to = 0;
};
struct RungObservation {
  Micros at = 0;
  int roomType = 0;
  int rung = 0;
};

struct Record {
  std::vector<SetUpObservation> setUps;
  std::vector<RequestObservation> requests;
  std::vector<NodeStart> starts;
  std::vector<ListedState> listedStates;
  std::vector<DirectorKill> directorKills;
  std::vector<DirectorStall> directorStalls;
  std::vector<RungObservation> rungs;
  std::vector<std::string> overloadedNodes;
};

}  // namespace lupinsill::audit
