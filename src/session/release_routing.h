// Decides to which client the release of a subscription is sent once the connection of its set-up has closed.
//
// Clients carry the subscriptions of many viewers, so a release may be sent on another connection. A client
// that only requests and takes back may not pass it on; one that holds subscriptions, or has acknowledged a
// release, serves viewers.
//
// No I/O and no clock.
#pragma once

#include <array>

namespace lupinsill::session {

// What is known of the client on a connection.
struct ClientEvidence {
  bool verified = false;             // it has sent a valid request or health check
  bool holdsSubscriptions = false;   // of those that were set up or reported on this connection
  bool acknowledgedRelease = false;  // at least one
};

// Whether releases of other connections are sent to a client.
enum class ReleaseSuitability { unsuitable, fallback, preferred };

// The order in which connections are chosen; among equal ones, the newest is.
inline constexpr std::array releaseRoutingOrder = {ReleaseSuitability::preferred,
                                                   ReleaseSuitability::fallback};

constexpr ReleaseSuitability suitabilityForRelease(const ClientEvidence& client) {
  if (client.holdsSubscriptions || client.acknowledgedRelease) return ReleaseSuitability::preferred;
  return client.verified ? ReleaseSuitability::fallback : ReleaseSuitability::unsuitable;
}

}  // namespace lupinsill::session
