// One HTTP/2 connection on a libevent bufferevent, as client or server. Uses nghttp2 for the frames and adds
// limits on the memory a peer can occupy, pings and the two-step GOAWAY. Independent of gRPC.
//
// An error ends a stream (reported once by onStreamClosed with an RFC 9113 error code) or the connection
// (reported once by onClosed, after onStreamClosed for each of its streams). The connection is dead from then
// on; its owner frees it outside its callbacks. Calls for a stream that has ended have no effect.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.h"
#include "net/handles.h"

namespace lupinsill::grpc {

using StreamId = std::int32_t;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Limits of one connection; times in microseconds.
struct Http2Limits {
  std::size_t headBytes = 8192;     // received header block, with 32 bytes of overhead for each field
  std::size_t streams = 100;        // concurrent streams opened by the peer
  std::size_t unsentBytes = 65536;  // data queued on one stream; above it the stream is reset
  Micros handshake = 5'000'000;     // until the peer's SETTINGS frame
  Micros pingEvery = 20'000'000;    // silence of the peer after which it is sent a ping
  Micros idleClose = 60'000'000;    // silence of the peer after which the connection is closed
};

// Not movable; the owner must keep it until onClosed or abort().
class Http2 {
 public:
  // Receives the events of the connection. It may call the connection from its callbacks, but must not free
  // it there.
  struct Handler {
    virtual ~Handler() = default;
    virtual void onOpen(Http2& connection) = 0;  // the peer's SETTINGS frame has arrived
    virtual void onHeaders(Http2& connection, StreamId stream, const Headers& headers) = 0;
    virtual void onData(Http2& connection, StreamId stream, std::string_view bytes) = 0;
    virtual void onEnd(Http2& connection, StreamId stream) = 0;  // the peer has half-closed the stream
    virtual void onStreamClosed(Http2& connection, StreamId stream, std::uint32_t code) = 0;
    virtual void onClosed(Http2& connection) = 0;
  };

  Http2(net::BufferEvent bufferEvent, Handler& handler, const Http2Limits& limits, bool server);
  ~Http2();
  Http2(const Http2&) = delete;
  Http2& operator=(const Http2&) = delete;

  // Client: opens a stream. Returns 0 if the connection accepts no more streams.
  StreamId request(const Headers& headers);
  // Server: sends the response headers. `endStream`: nothing follows (in gRPC, "Trailers-Only").
  void respond(StreamId stream, const Headers& headers, bool endStream);
  void send(StreamId stream, std::string_view bytes);
  void end(StreamId stream);                                // half-closes the stream
  void trailers(StreamId stream, const Headers& trailers);  // sends trailers and half-closes the stream
  void reset(StreamId stream, std::uint32_t code);

  void announceShutdown();         // server: first GOAWAY; streams already on their way are still accepted
  void sendGoaway();               // server: second GOAWAY, with the last stream that was accepted
  void closeWhenIdle();            // closes the connection once it has no streams
  void close(std::uint32_t code);  // sends GOAWAY, then closes the socket
  void abort();                    // closes the socket at once; the handler is not called any more
  void tick(Micros now);           // pings and time-outs; must be called several times a second

  bool open() const { return state_ == State::open && !goawayExchanged_; }
  bool dead() const { return state_ == State::dead; }
  std::size_t streams() const { return streams_.size(); }
  bool flushed() const;  // everything has been passed to the socket

  std::uint64_t tag = 0;  // for the owner's use

 private:
  enum class State { opening, open, closing, dead };
  struct Stream {
    Headers receivedHeaders;
    std::size_t receivedHeaderBytes = 0;
    std::string unsent;
    Headers trailers;
    bool endAfterUnsent = false;
    bool hasTrailers = false;
    bool peerEnded = false;
  };
  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* context);
  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize,
                      std::uint8_t flags, void* context);
  static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* context);
  static int onSent(nghttp2_session*, const nghttp2_frame* frame, void* context);
  static int onChunk(nghttp2_session*, std::uint8_t flags, StreamId stream, const std::uint8_t* data,
                     std::size_t size, void* context);
  static int onStreamClose(nghttp2_session*, StreamId stream, std::uint32_t code, void* context);
  static ssize_t onDataSourceRead(nghttp2_session*, StreamId stream, std::uint8_t* buffer, std::size_t size,
                                  std::uint32_t* flags, nghttp2_data_source* source, void* context);
  static void onRead(bufferevent*, void* context);
  static void onWrite(bufferevent*, void* context);
  static void onEvent(bufferevent*, short what, void* context);
  Stream* find(StreamId stream);
  void resumeSending(StreamId stream);
  void sendPending();
  void terminate();

  net::BufferEvent bufferEvent_;
  Handler& handler_;
  Http2Limits limits_;
  bool server_;
  nghttp2_session* session_ = nullptr;
  State state_ = State::opening;
  bool insideNghttp2_ = false;    // nghttp2 must not be asked to send from within its callbacks
  bool goawayExchanged_ = false;  // a GOAWAY was sent (server) or received (client)
  bool closeWhenIdle_ = false;
  Micros openedAt_ = 0, lastReceivedAt_ = 0, lastPingAt_ = 0, closeStartedAt_ = 0;
  std::map<StreamId, Stream> streams_;
};

}  // namespace lupinsill::grpc
