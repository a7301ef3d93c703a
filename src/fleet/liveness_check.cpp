#include "fleet/liveness_check.h"

namespace lupinsill::fleet {
namespace {

constexpr Micros silenceBeforeProbe = 2'000'000;
constexpr Micros minProbeInterval = 300'000;

// A node without a connection is dead after this many refused attempts in a row.
constexpr int deadAfterRefusals = 2;

// Any node is dead after this many failed attempts in a row, refused or unanswered, together with this long a
// silence. Viewers must be told within 8 s.
constexpr int deadAfterFailures = 4;
constexpr Micros silenceBeforeDead = 4'000'000;

}  // namespace

LivenessCheck::Verdict LivenessCheck::evaluate(Micros now, bool connected, bool connecting) {
  if (!connected && refused_ >= deadAfterRefusals) return Verdict::dead;
  if (unanswered_ + refused_ >= deadAfterFailures && now - lastActivity_ >= silenceBeforeDead)
    return Verdict::dead;
  if (connecting || now - lastProbe_ < minProbeInterval) return Verdict::alive;
  if (connected && now - lastActivity_ < silenceBeforeProbe) return Verdict::alive;
  lastProbe_ = now;
  return Verdict::probe;
}

}  // namespace lupinsill::fleet
