// Decides whether a media node that serves subscriptions is still alive.
//
// When a machine vanishes or is cut off from the network, its TCP connections stay open and silent, and its
// viewers would never be told. The check probes a silent node by opening a new connection. A node whose
// process hangs still accepts connections, so only failed connection attempts count against a node.
//
// No I/O and no clock: times are microseconds on the caller's clock.
#pragma once

#include "control.h"

namespace lupinsill::fleet {

class LivenessCheck {
 public:
  enum class Verdict {
    alive,  // nothing to do
    probe,  // open a new connection to the node
    dead    // end the subscriptions at the node
  };

  explicit LivenessCheck(Micros now) : lastActivity_(now) {}
  // The node sent data, or a connection to it was established.
  void recordActivity(Micros now) {
    lastActivity_ = now;
    refused_ = unanswered_ = 0;
  }
  // A connection attempt failed. `refused`: the machine refused it, so no process listens there any more;
  // otherwise the attempt was not answered.
  void recordConnectFailure(bool refused) { ++(refused ? refused_ : unanswered_); }
  // Returns what to do now about a node that serves subscriptions. `connected`: a connection to it is
  // established; `connecting`: an attempt is under way.
  Verdict evaluate(Micros now, bool connected, bool connecting);

 private:
  Micros lastActivity_;
  Micros lastProbe_ = 0;
  // Failed attempts since the last activity.
  int refused_ = 0;
  int unanswered_ = 0;
};

}  // namespace lupinsill::fleet
