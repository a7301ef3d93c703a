// The gRPC transport: one HTTP/2 connection for each director and one stream for each link
// (docs/protocol/session-grpc.md). After a GOAWAY a connection keeps its open streams, and new streams use a
// new connection.
#pragma once

#include <memory>
#include <string>

#include "session/transport.h"

namespace lupinsill::client {

// `connect` opens the TCP or TLS connections.
std::unique_ptr<Transport> makeGrpc(event_base* base, net::Connect connect = net::connectTo);

}  // namespace lupinsill::client
