// Requests a subscription to a title over either protocol and prints its result and its end:
//   watch websocket 127.0.0.1:7400 recipe-clip flatbread
//   watch grpc 127.0.0.1:7402 paid-class flatbread
// Exits when the subscription has ended or the request has failed. Retries are made by the library.
#include <event2/event.h>

#include <cstdio>
#include <string>

#include "grpc/transport.h"
#include "session/session_client.h"
#include "websocket/transport.h"

using namespace lupinsill;

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "watch websocket|grpc HOST:PORT ROOM-TYPE TITLE\n");
    return 2;
  }
  const net::EventBase base(event_base_new());
  auto transport =
      std::string(argv[1]) == "grpc" ? client::makeGrpc(base.get()) : client::makeWebSocket(base.get());
  client::SessionClient sessions(base.get(), std::move(transport), {{argv[2], "here"}}, client::RetryPolicy{},
                                 1);

  client::SubscriptionRequest request;
  request.viewer = "example";
  request.room = argv[3];
  request.title = argv[4];
  request.unsafe = request.room == "paid-class";  // must not be set up twice
  int code = 0;
  sessions.subscribe(
      request,
      [&](client::RequestId, const client::SubscriptionResult& outcome) {
        std::printf("%s %s", client::nameOf(outcome.result), outcome.reason.c_str());
        if (outcome.result == client::Result::playing)
          std::printf("at %s on rung %d, ticket %s", outcome.node.c_str(), outcome.rung,
                      outcome.ticket.c_str());
        else
          code = 1, event_base_loopbreak(base.get());
        if (outcome.retryAfter > 0)
          std::printf(", come back after %lld ms", static_cast<long long>(outcome.retryAfter / 1000));
        std::printf("\n");
      },
      [&](client::RequestId, const std::string& reason, client::Micros) {
        std::printf("ended: %s\n", reason.c_str());
        event_base_loopbreak(base.get());
      });
  event_base_dispatch(base.get());
  return code;
}
