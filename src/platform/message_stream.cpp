#include "platform/message_stream.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "director/log.h"

namespace lupinsill::platform {
namespace {

constexpr std::size_t maxUnsentBytes = 256 * 1024;  // towards a peer that does not read

bool traceEnabled = false;

void trace(const std::string& name, const char* event, const std::string& message) {
  if (traceEnabled) director::log(director::Level::debug, event, {{"at", name}, {"message", message}});
}

}  // namespace

void traceMessages(bool on) { traceEnabled = on; }

MessageStream::MessageStream(Handler& handler, net::BufferEvent bufferEvent, bool connected, std::string name)
    : handler_(handler), bufferEvent_(std::move(bufferEvent)), connected_(connected), name_(std::move(name)) {
  if (!bufferEvent_) return;
  bufferevent_setcb(bufferEvent_.get(), onRead, nullptr, onEvent, this);
  bufferevent_enable(bufferEvent_.get(), EV_READ | EV_WRITE);
}

bool MessageStream::isUsable() {
  if (!isConnected()) return false;
  char byte = 0;
  const ssize_t received = recv(bufferevent_getfd(bufferEvent_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// Writes directly to the socket unless earlier bytes are still buffered, so that an error is known at once
// and the message is certain not to have been sent.
bool MessageStream::send(const jsonl::Message& message) {
  if (!isConnected()) return false;
  const std::string bytes = jsonl::serialize(message);
  if (traceEnabled) trace(name_, "out", bytes.substr(0, bytes.size() - 1));
  evbuffer* output = bufferevent_get_output(bufferEvent_.get());
  std::size_t sent = 0;
  if (evbuffer_get_length(output) == 0) {
    const ssize_t written = ::send(bufferevent_getfd(bufferEvent_.get()), bytes.data(), bytes.size(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written > 0) sent = static_cast<std::size_t>(written);
    if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return false;
  } else if (evbuffer_get_length(output) > maxUnsentBytes) {
    return false;
  }
  if (sent < bytes.size()) evbuffer_add(output, bytes.data() + sent, bytes.size() - sent);
  return true;
}

bool MessageStream::hasUnsentBytes() const {
  return bufferEvent_ && evbuffer_get_length(bufferevent_get_output(bufferEvent_.get())) > 0;
}

void MessageStream::close() {
  if (!bufferEvent_) return;
  bufferevent_setcb(bufferEvent_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferEvent_.reset();
}

void MessageStream::finish(CloseReason reason) {
  if (!bufferEvent_) return;
  trace(name_, "down", std::to_string(static_cast<int>(reason)));
  close();
  handler_.onClosed(*this, reason);
}

void MessageStream::onRead(bufferevent*, void* self) {
  MessageStream& stream = *static_cast<MessageStream*>(self);
  if (!stream.bufferEvent_) return;
  evbuffer* input = bufferevent_get_input(stream.bufferEvent_.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  stream.reader_.feed(bytes);
  try {
    while (stream.bufferEvent_) {
      std::optional<jsonl::Message> message = stream.reader_.next();
      if (!message) return;
      if (traceEnabled) trace(stream.name_, "in", jsonl::serialize(*message));
      stream.handler_.onMessage(stream, *message);
    }
  } catch (const jsonl::ParseError&) {
    stream.finish(CloseReason::invalidMessage);
  }
}

void MessageStream::onEvent(bufferevent*, short events, void* self) {
  MessageStream& stream = *static_cast<MessageStream*>(self);
  if (!stream.bufferEvent_) return;
  if (events & BEV_EVENT_CONNECTED) {
    stream.connected_ = true;
    trace(stream.name_, "up", "");
    net::noDelay(bufferevent_getfd(stream.bufferEvent_.get()));
    return stream.handler_.onConnected(stream);
  }
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    const int error = EVUTIL_SOCKET_ERROR();
    onRead(nullptr, self);  // process messages received before the close
    if (stream.bufferEvent_)
      stream.finish(
          !stream.connected_
              ? (error == ECONNREFUSED ? CloseReason::refused : CloseReason::connectFailed)
              : (events & BEV_EVENT_EOF ? CloseReason::closedByPeer : CloseReason::connectionError));
  }
}

}  // namespace lupinsill::platform
