// One HTTP/2 connection on a bufferevent, either side: nghttp2's frames, bounds on what a peer may make us
// hold, pings, the two-step GOAWAY. Nothing here knows gRPC.
//
// Errors end a stream (told once by onStreamClosed with the RFC 9113 code) or the connection (told once by
// onClosed, after every stream of it was told). A connection is dead from then on; its owner frees it outside
// of its callbacks. Streams named by other calls after their end are passed over.
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

struct Http2Limits {
  std::size_t headBytes = 8192;
  std::size_t streams = 100;  // that the peer may have open at once
  std::size_t unsentBytes = 65536;
  Micros handshake = 5'000'000;
  Micros pingEvery = 20'000'000;
  Micros idleClose = 60'000'000;
};

class Http2 {
 public:
  struct Handler {
    virtual ~Handler() = default;
    virtual void onOpen(Http2& connection) = 0;  // the peer speaks HTTP/2
    virtual void onHeaders(Http2& connection, StreamId stream, const Headers& headers) = 0;
    virtual void onData(Http2& connection, StreamId stream, std::string_view bytes) = 0;
    virtual void onEnd(Http2& connection, StreamId stream) = 0;  // the peer says no more on it
    virtual void onStreamClosed(Http2& connection, StreamId stream, std::uint32_t code) = 0;
    virtual void onClosed(Http2& connection) = 0;
  };

  Http2(net::BufferEvent bufferEvent, Handler& handler, const Http2Limits& limits, bool server);
  ~Http2();
  Http2(const Http2&) = delete;
  Http2& operator=(const Http2&) = delete;

  // Client: opens a stream; 0 where the connection takes no more.
  StreamId request(const Headers& headers);
  // Server: the response's head. `whole`: nothing follows (in gRPC, "Trailers-Only").
  void respond(StreamId stream, const Headers& headers, bool whole);
  void send(StreamId stream, std::string_view bytes);
  void end(StreamId stream);                                // says no more
  void trailers(StreamId stream, const Headers& trailers);  // and then says no more
  void reset(StreamId stream, std::uint32_t code);

  void notice();    // server: open no more streams here; those on their way are still taken
  void lastWord();  // server: GOAWAY with the last stream that was taken
  void closeWhenIdle();
  void close(std::uint32_t code);  // GOAWAY, then the socket
  void abort();                    // drops the socket as it is; the ear hears nothing more
  void tick(Micros now);           // pings and time-outs; some times a second

  bool open() const { return state_ == State::open && !goneAway_; }
  bool dead() const { return state_ == State::dead; }
  std::size_t streams() const { return streams_.size(); }
  bool flushed() const;

  std::uint64_t tag = 0;  // the owner's

 private:
  enum class State { opening, open, closing, dead };
  struct Stream {
    Headers heard;
    std::size_t heardBytes = 0;
    std::string out;
    Headers trailers;
    bool ends = false;
    bool hasTrailers = false;
    bool peerEnded = false;
  };
  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* me);
  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize,
                      std::uint8_t flags, void* me);
  static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* me);
  static int onSent(nghttp2_session*, const nghttp2_frame* frame, void* me);
  static int onChunk(nghttp2_session*, std::uint8_t flags, StreamId stream, const std::uint8_t* data,
                     std::size_t size, void* me);
  static int onStreamClose(nghttp2_session*, StreamId stream, std::uint32_t code, void* me);
  static ssize_t pull(nghttp2_session*, StreamId stream, std::uint8_t* into, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source* source, void* me);
  static void onRead(bufferevent*, void* me);
  static void onWrite(bufferevent*, void* me);
  static void onEvent(bufferevent*, short what, void* me);
  Stream* find(StreamId stream);
  void resume(StreamId stream);
  void pump();
  void die();

  net::BufferEvent bufferEvent_;
  Handler& handler_;
  Http2Limits limits_;
  bool server_;
  nghttp2_session* session_ = nullptr;
  State state_ = State::opening;
  bool reading_ = false;   // nghttp2 must not be made to write from within its own callbacks
  bool goneAway_ = false;  // by either side
  bool closeIdle_ = false;
  Micros openedAt_ = 0, heardAt_ = 0, pingedAt_ = 0, closingAt_ = 0;
  std::map<StreamId, Stream> streams_;
};

}  // namespace lupinsill::grpc
