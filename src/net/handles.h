// RAII handles for libevent objects, TCP helpers and clocks. A bufferevent owns its socket.
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

// Calls libevent's free function of the type.
template <auto Free>
struct HandleDeleter {
  template <class T>
  void operator()(T* handle) const {
    Free(handle);
  }
};

using EventBase = std::unique_ptr<event_base, HandleDeleter<event_base_free>>;
using BufferEvent = std::unique_ptr<bufferevent, HandleDeleter<bufferevent_free>>;
using Event = std::unique_ptr<event, HandleDeleter<event_free>>;
using Listener = std::unique_ptr<evconnlistener, HandleDeleter<evconnlistener_free>>;
using Http = std::unique_ptr<evhttp, HandleDeleter<evhttp_free>>;

// Thrown if an address cannot be listened on; the text names it.
struct ListenError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Listens on host:port; port 0 selects a free port. Throws ListenError.
Listener listenOn(event_base* base, const std::string& host, int port, evconnlistener_cb onAccept,
                  void* user);
// Returns the port that the listener is bound to.
int portOf(evconnlistener* listener);
// Wraps an accepted socket in a bufferevent, plain or with TLS. Returns null, with the socket closed, on
// failure.
using Accept = std::function<BufferEvent(event_base* base, evutil_socket_t fd)>;
BufferEvent acceptPlain(event_base* base, evutil_socket_t fd);
// Starts to connect; returns null if the address is invalid or the connection cannot be started.
BufferEvent connectTo(event_base* base, const std::string& host, int port);
using Connect = std::function<BufferEvent(event_base* base, const std::string& host, int port)>;
// Sends small messages at once (TCP_NODELAY).
void noDelay(int fd);

// The monotonic clock in microseconds.
std::int64_t monotonicNow();
// The system's wall clock in Unix microseconds; it may be set back.
std::int64_t wallNow();
// Unix microseconds that never run back: the wall clock at the first call, advanced by the monotonic clock.
// Comparable between processes on different hosts as far as their wall clocks agree.
std::int64_t unixNow();

}  // namespace lupinsill::net
