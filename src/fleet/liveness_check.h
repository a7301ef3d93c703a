// Decides whether a media node that serves subscriptions is still there.
//
// When a machine vanishes or is cut off from the network, its TCP connections stay open and silent. The two
// cannot be told apart at first: the subscriptions of a machine that vanished are over and their viewers have
// to be told, whereas those of a machine that is cut off play on and must not be given up while the cut may
// still end. The check therefore probes a silent node by opening new connections, and gives it up only once
// none has come up for longer than a cut may last. A node whose process hangs still accepts connections, so
// silence alone does not count against a node.
//
// It also decides when a node that is still there has to be reached anew: a node sends the release of a
// subscription on the connection of its set-up and repeats it only on the next connection that it accepts. If
// a connection is lost, so may be the releases that were sent on it, and the next connection is due at once.
//
// No I/O and no clock: times are microseconds on the caller's clock.
#pragma once

#include <optional>

#include "control.h"

namespace lupinsill::fleet {

class LivenessCheck {
 public:
  enum class Verdict {
    alive,        // nothing to do
    probe,        // open a new connection to the node
    processGone,  // the process has ended, and the subscriptions at the node with it
    unreachable   // give up the subscriptions at the node, which may still play there
  };

  // How long an attempt is waited for that only probes. A connection may take up to 1 s to come up.
  static constexpr Micros maxProbeDuration = 1'100'000;

  explicit LivenessCheck(Micros now) : lastActivity_(now) {}
  // The node sent data, or a connection to it was established.
  void recordActivity(Micros now);
  // An attempt to open a connection begins, as a probe or for another purpose.
  void recordConnectAttempt(Micros now);
  // A connection was established. `attemptBegan`: when its attempt began.
  void recordConnected(Micros now, Micros attemptBegan);
  // An established connection has ended or is useless, and what the node sent on it may not have arrived.
  void recordConnectionLost(Micros now) { connectionLostAt_ = now; }
  // The machine refused a connection, so no process listens there any more.
  void recordRefusal() { ++refusals_; }
  // Returns what to do now about a node that serves subscriptions or has to be sent something. `connected`: a
  // connection to it is established. After `unreachable` the node is probed less often, and the check starts
  // over.
  Verdict evaluate(Micros now, bool connected);

 private:
  Micros lastActivity_;
  Micros lastAttempt_ = 0;
  bool wasUnreachable_ = false;
  // When the last connection was lost; empty once an attempt that began later has succeeded.
  std::optional<Micros> connectionLostAt_;
  // Since the last activity, or since the node was found unreachable.
  int refusals_ = 0;
  int attempts_ = 0;
};

}  // namespace lupinsill::fleet
