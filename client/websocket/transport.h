// Links over WebSocket: a socket each (docs/protocol/session-websocket.md).
#pragma once

#include <memory>
#include <set>
#include <string>

#include "session/transport.h"

namespace lupinsill::client {

std::unique_ptr<Transport> makeWebSocket(event_base* base, net::Connect connect = net::connectTo);

}  // namespace lupinsill::client
