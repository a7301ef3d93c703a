#include "platform/link.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "director/log.h"

namespace lupinsill::platform {
namespace {

constexpr std::size_t unsentMost = 256 * 1024;  // to one that reads nothing

bool traced = false;

void trace(const std::string& name, const char* way, const std::string& what) {
  if (traced) director::log(director::Level::debug, way, {{"at", name}, {"message", what}});
}

}  // namespace

void traceMessages(bool on) { traced = on; }

Link::Link(Handler& handler, net::BufferEvent bufferEvent, bool isUp, std::string name)
    : handler_(handler), bufferEvent_(std::move(bufferEvent)), up_(isUp), name_(std::move(name)) {
  if (!bufferEvent_) return;
  bufferevent_setcb(bufferEvent_.get(), onRead, nullptr, onEvent, this);
  bufferevent_enable(bufferEvent_.get(), EV_READ | EV_WRITE);
}

bool Link::sound() {
  if (!isUp()) return false;
  char byte = 0;
  const ssize_t got = recv(bufferevent_getfd(bufferEvent_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// Straight to the socket where nothing waits before it: a message that the kernel does not take never left.
bool Link::say(const jsonl::Message& message) {
  if (!isUp()) return false;
  const std::string bytes = jsonl::bytesOf(message);
  if (traced) trace(name_, "out", bytes.substr(0, bytes.size() - 1));
  evbuffer* output = bufferevent_get_output(bufferEvent_.get());
  std::size_t sent = 0;
  if (evbuffer_get_length(output) == 0) {
    const ssize_t put =
        send(bufferevent_getfd(bufferEvent_.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (put > 0) sent = static_cast<std::size_t>(put);
    if (put < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return false;
  } else if (evbuffer_get_length(output) > unsentMost) {
    return false;
  }
  if (sent < bytes.size()) evbuffer_add(output, bytes.data() + sent, bytes.size() - sent);
  return true;
}

bool Link::unsent() const {
  return bufferEvent_ && evbuffer_get_length(bufferevent_get_output(bufferEvent_.get())) > 0;
}

void Link::close() {
  if (!bufferEvent_) return;
  bufferevent_setcb(bufferEvent_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferEvent_.reset();
}

void Link::end(End how) {
  if (!bufferEvent_) return;
  trace(name_, "down", std::to_string(static_cast<int>(how)));
  close();
  handler_.onDown(*this, how);
}

void Link::onRead(bufferevent*, void* me) {
  Link& link = *static_cast<Link*>(me);
  if (!link.bufferEvent_) return;
  evbuffer* input = bufferevent_get_input(link.bufferEvent_.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  link.reader_.feed(bytes);
  try {
    while (link.bufferEvent_) {
      std::optional<jsonl::Message> message = link.reader_.next();
      if (!message) return;
      if (traced) trace(link.name_, "in", jsonl::bytesOf(*message));
      link.handler_.onMessage(link, *message);
    }
  } catch (const jsonl::BadLine&) {
    link.end(End::unreadable);
  }
}

void Link::onEvent(bufferevent*, short what, void* me) {
  Link& link = *static_cast<Link*>(me);
  if (!link.bufferEvent_) return;
  if (what & BEV_EVENT_CONNECTED) {
    link.up_ = true;
    trace(link.name_, "up", "");
    net::noDelay(bufferevent_getfd(link.bufferEvent_.get()));
    return link.handler_.onUp(link);
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    const int error = EVUTIL_SOCKET_ERROR();
    onRead(nullptr, me);  // what came before the break still counts
    if (link.bufferEvent_)
      link.end(!link.up_ ? (error == ECONNREFUSED ? End::refused : End::neverUp)
                         : (what & BEV_EVENT_EOF ? End::closed : End::broken));
  }
}

}  // namespace lupinsill::platform
