// Whether a media node on which subscriptions stand is still there. Guards against a machine that vanished
// or was cut off: its connections stay open and silent for ever, and nobody would tell the viewers. A node
// that hangs still takes connections, so only new ones that never come up speak against it.
// No I/O, no clock; times are whole microseconds on the caller's clock.
#pragma once

#include "control.h"

namespace lupinsill::fleet {

class LivenessCheck {
 public:
  enum class Verdict { alive, probe, dead };

  explicit LivenessCheck(Micros now) : heard_(now) {}
  // Bytes came in, or a connection came up.
  void heard(Micros now) {
    heard_ = now;
    refused_ = silent_ = 0;
  }
  // A connection did not come up. `refused`: the machine said so; nothing listens there any more.
  void failed(bool refused) { ++(refused ? refused_ : silent_); }
  // What is to be done now about a node on which something stands. `linked`: a connection to it is up;
  // `trying`: one is on its way. probe: open one.
  Verdict look(Micros now, bool linked, bool trying);

 private:
  Micros heard_;
  Micros triedAt_ = 0;
  int refused_ = 0;
  int silent_ = 0;
};

}  // namespace lupinsill::fleet
