// The WebSocket transport: one socket for each link (docs/protocol/session-websocket.md).
#pragma once

#include <memory>
#include <set>
#include <string>

#include "session/transport.h"

namespace lupinsill::client {

// `connect` opens the TCP or TLS connections.
std::unique_ptr<Transport> makeWebSocket(event_base* base, net::Connect connect = net::connectTo);

}  // namespace lupinsill::client
