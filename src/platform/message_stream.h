// A TCP connection to a viewer or a media node that carries messages as JSON lines.
#pragma once

#include <cstddef>
#include <string>

#include "control.h"
#include "jsonl/message.h"
#include "net/handles.h"

namespace lupinsill::platform {

// Sends and receives messages on one connection. A line that cannot be parsed closes it. After
// Handler::onClosed it neither sends nor receives; the owner frees it later, never from one of its callbacks.
class MessageStream {
 public:
  // Why the connection closed. connectFailed: it was never established, for another reason than `refused`.
  enum class CloseReason { closedByPeer, connectionError, refused, connectFailed, invalidMessage };
  struct Handler {
    virtual ~Handler() = default;
    virtual void onConnected(MessageStream& stream) = 0;
    virtual void onMessage(MessageStream& stream, jsonl::Message& message) = 0;
    virtual void onClosed(MessageStream& stream, CloseReason reason) = 0;
  };
  // `connected`: whether the connection is established already. `name` identifies it in the log.
  MessageStream(Handler& handler, net::BufferEvent bufferEvent, bool connected, std::string name);
  MessageStream(const MessageStream&) = delete;
  virtual ~MessageStream() = default;

  // Returns false if nothing was sent and the connection cannot be used any more, or its peer does not read.
  bool send(const jsonl::Message& message);
  // Whether it is connected and no close or reset by the peer is known to the operating system.
  bool isUsable();
  // Closes without calling Handler::onClosed. Bytes already passed to the operating system are still sent.
  void close();
  bool isConnected() const { return connected_ && bufferEvent_; }
  // Whether bytes wait here that the operating system has not taken yet.
  bool hasUnsentBytes() const;
  bool hasPartialMessage() const { return bufferEvent_ && !reader_.empty(); }
  bool isClosed() const { return !bufferEvent_; }

 private:
  static void onRead(bufferevent*, void* self);
  static void onEvent(bufferevent*, short events, void* self);
  void finish(CloseReason reason);

  Handler& handler_;
  net::BufferEvent bufferEvent_;
  bool connected_;
  std::string name_;
  jsonl::Reader reader_;
};

// Sets whether every message is logged; called once at start.
void traceMessages(bool on);

}  // namespace lupinsill::platform
