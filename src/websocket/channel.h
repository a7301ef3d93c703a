// One WebSocket connection on a libevent bufferevent, as client or server: handshake, frames (by wslay),
// pings and close codes, with limits on the memory a peer can occupy. Independent of the content of the
// messages.
//
// An error ends the connection and is reported once by Handler::onClosed with a close code of RFC 6455: 1002
// invalid frames, 1003 a binary message, 1006 broken socket, 1007 invalid UTF-8, 1008 a peer that reads too
// slowly or a message in too many fragments, 1009 message too large. The channel is dead from then on; its
// owner frees it outside its callbacks.
#pragma once

#include <wslay/wslay.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "control.h"
#include "net/handles.h"

namespace lupinsill::websocket {

// Close codes of RFC 6455, section 7.4.
namespace close_code {
inline constexpr int goingAway = 1001;
inline constexpr int protocolError = 1002;
inline constexpr int unsupportedData = 1003;
inline constexpr int abnormalClosure = 1006;  // never sent: the connection ended without a close frame
inline constexpr int policyViolation = 1008;
inline constexpr int tryAgainLater = 1013;
}  // namespace close_code

// Limits of one connection; times in microseconds.
struct ChannelLimits {
  std::size_t messageBytes = 4096;  // received message
  std::size_t unsentBytes = 65536;  // data waiting for the peer to read it; above it the connection is closed
  Micros handshake = 5'000'000;     // until the end of the opening handshake
  Micros pingEvery = 20'000'000;    // silence of the peer after which it is sent a ping
  Micros idleClose = 60'000'000;    // silence of the peer after which the connection is closed
  std::size_t fragments = 64;       // frames of one received message
};

// Not movable; the owner must keep it until onClosed or abort().
class Channel {
 public:
  // Receives the events of the connection. It may call the connection from its callbacks, but must not free
  // it there.
  struct Handler {
    virtual ~Handler() = default;
    virtual void onOpen(Channel& channel) = 0;  // the handshake is complete
    virtual void onText(Channel& channel, std::string_view text) = 0;
    virtual void onClosed(Channel& channel, int code) = 0;
  };

  // `host`: the Host header of a client's handshake; unused by a server.
  Channel(net::BufferEvent bufferEvent, Handler& handler, const ChannelLimits& limits, bool server,
          const std::string& host);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void sendText(std::string_view text);
  void close(int code, std::string_view reason);
  void cut() { terminate(close_code::abnormalClosure); }  // fault injection: acts as if the socket had broken
  void abort();                          // closes the socket; the handler is not called any more
  void refuse(std::string text);         // server, before the handshake: sends `text`, then closes
  void stopReading();                    // fault injection: simulates a peer that never reads
  void sendRaw(std::string_view bytes);  // sends the bytes as they are; they need not be valid frames
  void tick(Micros now);                 // pings and time-outs; must be called several times a second

  bool open() const { return state_ == State::open; }
  bool dead() const { return state_ == State::dead; }
  std::size_t unsent() const;  // bytes waiting to be sent

  std::uint64_t tag = 0;  // for the owner's use

 private:
  enum class State { opening, open, closing, dead };
  static ssize_t receive(wslay_event_context* ctx, std::uint8_t* buffer, std::size_t size, int flags,
                         void* context);
  static ssize_t send(wslay_event_context* ctx, const std::uint8_t* data, std::size_t size, int flags,
                      void* context);
  static int generateMask(wslay_event_context* ctx, std::uint8_t* buffer, std::size_t size, void* context);
  static void onFrameStart(wslay_event_context* ctx, const wslay_event_on_frame_recv_start_arg* arg,
                           void* context);
  static void onMessage(wslay_event_context* ctx, const wslay_event_on_msg_recv_arg* arg, void* context);
  static void onRead(bufferevent* bufferEvent, void* context);
  static void onWrite(bufferevent* bufferEvent, void* context);
  static void onEvent(bufferevent* bufferEvent, short what, void* context);
  void readHandshake();
  void processInput();
  void terminate(int code);

  net::BufferEvent bufferEvent_;
  Handler& handler_;
  ChannelLimits limits_;
  bool server_;
  std::string host_;
  std::string key_;
  State state_ = State::opening;
  int closeCode_ = close_code::abnormalClosure;
  Micros openedAt_ = 0;
  Micros lastReceivedAt_ = 0;
  Micros lastPingAt_ = 0;
  Micros closeStartedAt_ = 0;
  bool rejected_ = false;
  bool ignoresInput_ = false;  // closing after a violation: what the peer sends is dropped
  std::size_t fragments_ = 0;  // received so far of the current message
  wslay_event_context* wslay_ = nullptr;
};

}  // namespace lupinsill::websocket
