#include "net/handles.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>

namespace lupinsill::net {
namespace {

// Read from a client in one go, so that hundreds that send at full speed leave each other their turns.
constexpr std::size_t maxClientReadBytes = 1024;

bool addressOf(const std::string& host, int port, sockaddr_in& into) {
  into = {};
  into.sin_family = AF_INET;
  into.sin_port = htons(static_cast<std::uint16_t>(port));
  const std::string plain = host == "localhost" ? "127.0.0.1" : host;
  return inet_pton(AF_INET, plain.c_str(), &into.sin_addr) == 1;
}

}  // namespace

Listener listenOn(event_base* base, const std::string& host, int port, evconnlistener_cb onAccept,
                  void* user) {
  sockaddr_in address{};
  const std::string named = host + ":" + std::to_string(port);
  if (!addressOf(host, port, address)) throw ListenError(named + ": expected an IPv4 address or localhost");
  Listener listener(evconnlistener_new_bind(base, onAccept, user,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                            1024, reinterpret_cast<sockaddr*>(&address), sizeof address));
  if (!listener) throw ListenError(named + ": " + std::strerror(errno));
  return listener;
}

int portOf(evconnlistener* listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    return 0;
  return ntohs(address.sin_port);
}

BufferEvent acceptPlain(event_base* base, evutil_socket_t fd) {
  BufferEvent bufferEvent(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!bufferEvent) {
    evutil_closesocket(fd);
    return bufferEvent;
  }
  bufferevent_set_max_single_read(bufferEvent.get(), maxClientReadBytes);
  return bufferEvent;
}

BufferEvent connectTo(event_base* base, const std::string& host, int port) {
  sockaddr_in address{};
  if (!addressOf(host, port, address)) return nullptr;
  BufferEvent bufferEvent(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!bufferEvent || bufferevent_socket_connect(bufferEvent.get(), reinterpret_cast<sockaddr*>(&address),
                                                 sizeof address) != 0)
    return nullptr;
  noDelay(bufferevent_getfd(bufferEvent.get()));
  return bufferEvent;
}

void noDelay(int fd) {
  const int on = 1;
  if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::int64_t monotonicNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
std::int64_t wallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t unixNow() {
  static const std::int64_t offset = wallNow() - monotonicNow();
  return offset + monotonicNow();
}

}  // namespace lupinsill::net
