// One WebSocket on a bufferevent, either side: handshake, frames by wslay, pings, close codes, and bounds on
// what a peer may make us hold. Nothing here knows what the messages mean.
//
// Errors end the channel and are told once by Handler::onClosed with the RFC 6455 code: 1002 bad frames, 1007
// bad UTF-8, 1009 too large, 1003 a binary message, 1008 a reader too slow, 1006 the socket broke. A channel
// is dead from then on; its owner frees it outside of its callbacks.
#pragma once

#include <wslay/wslay.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "control.h"
#include "net/handles.h"

namespace lupinsill::websocket {

struct ChannelLimits {
  std::size_t messageBytes = 4096;
  std::size_t unsentBytes = 65536;
  Micros handshake = 5'000'000;
  Micros pingEvery = 20'000'000;
  Micros idleClose = 60'000'000;
};

class Channel {
 public:
  struct Handler {
    virtual ~Handler() = default;
    virtual void onOpen(Channel& channel) = 0;
    virtual void onText(Channel& channel, std::string_view text) = 0;
    virtual void onClosed(Channel& channel, int code) = 0;
  };

  Channel(net::BufferEvent bufferEvent, Handler& handler, const ChannelLimits& limits, bool server,
          const std::string& host);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void sendText(std::string_view text);
  void close(int code, std::string_view reason);
  void cut() { die(1006); }       // as if the socket had broken; the ear hears it
  void abort();                   // drops the socket as it is, without a word
  void refuse(std::string text);  // server, before the handshake: sends `text` and closes
  void stopReading();             // as a player that never reads
  void sendRaw(std::string_view bytes);
  void tick(Micros now);  // pings and time-outs; call it some times a second

  bool open() const { return state_ == State::open; }
  bool dead() const { return state_ == State::dead; }
  std::size_t unsent() const;

  std::uint64_t tag = 0;  // the owner's

 private:
  enum class State { opening, open, closing, dead };
  static ssize_t receive(wslay_event_context* ctx, std::uint8_t* buffer, std::size_t size, int flags,
                         void* me);
  static ssize_t send(wslay_event_context* ctx, const std::uint8_t* data, std::size_t size, int flags,
                      void* me);
  static int mask(wslay_event_context* ctx, std::uint8_t* buffer, std::size_t size, void* me);
  static void message(wslay_event_context* ctx, const wslay_event_on_msg_recv_arg* arg, void* me);
  static void onRead(bufferevent* bufferEvent, void* me);
  static void onWrite(bufferevent* bufferEvent, void* me);
  static void onEvent(bufferevent* bufferEvent, short what, void* me);
  void readOpening();
  void pump();
  void die(int code);

  net::BufferEvent bufferEvent_;
  Handler& handler_;
  ChannelLimits limits_;
  bool server_;
  std::string host_;
  std::string key_;
  State state_ = State::opening;
  int closeCode_ = 1006;
  Micros openedAt_ = 0;
  Micros heardAt_ = 0;
  Micros pingedAt_ = 0;
  Micros closingAt_ = 0;
  bool refused_ = false;
  wslay_event_context* wslay_ = nullptr;
};

}  // namespace lupinsill::websocket
