#include "fleet/liveness_check.h"

namespace lupinsill::fleet {
namespace {

// Viewers have to be told within 8 s of the end of their subscription, and a cut lasts up to 6 s. A machine
// may vanish right after it was last heard, so the node is given up shortly before 8 s of silence. A cut may
// begin as late as the first probe; after it, time is left for two more probes, of which one may be lost.
constexpr Micros silenceBeforeUnreachable = 7'850'000;
constexpr Micros silenceBeforeProbe = 1'300'000;
constexpr Micros minProbeInterval = 200'000;
constexpr Micros unreachableProbeInterval = 2'000'000;

// Single attempts fail at a healthy node as well.
constexpr int attemptsBeforeUnreachable = 4;
// A node without a connection has no process after this many refused attempts in a row.
constexpr int refusalsBeforeGone = 2;

}  // namespace

void LivenessCheck::recordActivity(Micros now) {
  lastActivity_ = now;
  wasUnreachable_ = false;
  refusals_ = attempts_ = 0;
}

void LivenessCheck::recordConnectAttempt(Micros now) {
  ++attempts_;
  lastAttempt_ = now;
}

// The node may have accepted a connection whose attempt began earlier before it sent what was lost.
void LivenessCheck::recordConnected(Micros now, Micros attemptBegan) {
  recordActivity(now);
  if (connectionLostAt_ && attemptBegan >= *connectionLostAt_) connectionLostAt_.reset();
}

LivenessCheck::Verdict LivenessCheck::evaluate(Micros now, bool connected) {
  if (!connected && refusals_ >= refusalsBeforeGone) return Verdict::processGone;
  if (attempts_ >= attemptsBeforeUnreachable && now - lastActivity_ >= silenceBeforeUnreachable) {
    wasUnreachable_ = true;
    refusals_ = attempts_ = 0;
    return Verdict::unreachable;
  }
  const Micros probeInterval = wasUnreachable_ ? unreachableProbeInterval : minProbeInterval;
  if (now - lastAttempt_ < probeInterval) return Verdict::alive;
  // An attempt without an answer is followed by the next one at once, since a single one may fail at a
  // healthy node.
  const bool isHeard = connected && attempts_ == 0 && now - lastActivity_ < silenceBeforeProbe;
  if (isHeard && !connectionLostAt_) return Verdict::alive;
  // Also where the caller cannot open a connection: the next probe is due one interval later.
  lastAttempt_ = now;
  return Verdict::probe;
}

}  // namespace lupinsill::fleet
