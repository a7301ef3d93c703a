// libevent's objects as values that free themselves. A bufferevent owns its socket.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace lupinsill::net {

template <auto Free>
struct Freer {
  template <class T>
  void operator()(T* thing) const {
    Free(thing);
  }
};

using EventBase = std::unique_ptr<event_base, Freer<event_base_free>>;
using BufferEvent = std::unique_ptr<bufferevent, Freer<bufferevent_free>>;
using Event = std::unique_ptr<event, Freer<event_free>>;
using Listener = std::unique_ptr<evconnlistener, Freer<evconnlistener_free>>;
using Http = std::unique_ptr<evhttp, Freer<evhttp_free>>;

struct ListenError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Listens on host:port; port 0 takes a free one. Throws ListenError.
Listener listenOn(event_base* base, const std::string& host, int port, evconnlistener_cb onAccept,
                  void* user);
int portOf(evconnlistener* listener);
// How an accepted socket becomes a bufferevent, plain or under TLS; null (and the socket closed) where it
// cannot.
using Accept = std::function<BufferEvent(event_base* base, evutil_socket_t fd)>;
BufferEvent acceptPlain(event_base* base, evutil_socket_t fd);
// A bufferevent that connects; null where the address is unusable.
BufferEvent connectTo(event_base* base, const std::string& host, int port);
using Connect = std::function<BufferEvent(event_base* base, const std::string& host, int port)>;
void noDelay(int fd);

// The one clock of a process: whole microseconds, never back.
std::int64_t monotonicNow();
std::int64_t wallNow();
// The Unix clock as it was at the first call, going on steadily: what processes that share nothing else agree
// on, and never back.
std::int64_t unixNow();

}  // namespace lupinsill::net
