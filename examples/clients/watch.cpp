// Asks for a title and watches what becomes of it, over either protocol:
//   watch websocket 127.0.0.1:7400 recipe-clip flatbread
//   watch grpc 127.0.0.1:7402 paid-class flatbread
// Ends when the subscription has ended or was refused. The library decides on every retry; there is none
// here.
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

  client::SubscriptionRequest want;
  want.viewer = "example";
  want.room = argv[3];
  want.title = argv[4];
  want.unsafe = want.room == "paid-class";  // must not be set up twice
  int code = 0;
  sessions.subscribe(
      want,
      [&](client::RequestId, const client::SubscriptionResult& heard) {
        std::printf("%s %s", client::nameOf(heard.result), heard.reason.c_str());
        if (heard.result == client::Result::playing)
          std::printf("at %s on rung %d, ticket %s", heard.node.c_str(), heard.rung, heard.ticket.c_str());
        else
          code = 1, event_base_loopbreak(base.get());
        if (heard.retryAfter > 0)
          std::printf(", come back after %lld ms", static_cast<long long>(heard.retryAfter / 1000));
        std::printf("\n");
      },
      [&](client::RequestId, const std::string& reason, client::Micros) {
        std::printf("ended: %s\n", reason.c_str());
        event_base_loopbreak(base.get());
      });
  event_base_dispatch(base.get());
  return code;
}
