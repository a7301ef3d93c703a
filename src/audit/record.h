// The events of a day or a replay as media nodes and players observed them, in the order of observation. The
// audit uses nothing else. The lab's own actions on processes and lists are recorded too, because the rules
// refer to them; what directors report about themselves is not. Times are microseconds from the start of the
// day; -1 means never.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"

namespace lupinsill::audit {

// One SETUP request, as observed by the node that it reached.
struct SetUpObservation {
  Micros at = 0;
  NodeId node = 0;
  std::string director;      // "d<index>-<run>": a restarted director is another run
  std::string subscription;  // as the director names it
  std::string viewer;
  std::string idempotencyKey;
  std::string title;
  int roomType = 0;
  int rung = 0;
  Micros ranAt = -1;      // from when it counts as set up, and as paid for
  Micros refusedAt = -1;  // answered with 453 or 503: certainly never ran
  Micros answeredAt = -1;
  Micros endedAt = -1;  // torn down, refused, end of stream, or loss of its connection or node
};

// One request of a player on an open socket, as observed by the player.
struct RequestObservation {
  Micros at = 0;
  int director = 0;  // index of the director
  int run = 0;       // run of that director: a restart begins another
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
  Micros closedAt = -1;         // the player closed or lost its socket
  bool connectionLost = false;  // lost, not closed by the player
  bool neverReads = false;      // an injected fault: the player does not read its socket
};

struct NodeStart {
  NodeId node = 0;
  Micros at = 0;
  int places = 0;
  bool coldStart = false;  // started within the day; nodes there from its beginning are warm
};
// A node's state in a list that was published.
struct ListedState {
  NodeId node = 0;
  Micros at = 0;
  NodeState state = NodeState::ready;
  int director = -1;  // the only director that could read the list then; -1: all
};
struct DirectorKill {
  int director = 0;
  int run = 0;
  Micros at = 0;
};
// A period in which a director process was stopped.
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
  std::vector<std::string> overloadedNodes;  // cold nodes that got more set-ups than they bear, and died
};

}  // namespace lupinsill::audit
