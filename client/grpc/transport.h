// Links over gRPC: one HTTP/2 connection a director, a stream a link (docs/protocol/session-grpc.md). A
// connection that was told GOAWAY keeps its streams; new ones go over a new connection.
#pragma once

#include <memory>
#include <string>

#include "session/transport.h"

namespace lupinsill::client {

std::unique_ptr<Transport> makeGrpc(event_base* base, net::Connect connect = net::connectTo);

}  // namespace lupinsill::client
