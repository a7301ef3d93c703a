#include "grpc/http2.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace lupinsill::grpc {
namespace {

// Limit of the bufferevent's output buffer; further data stays in the streams until the peer reads.
constexpr std::size_t maxOutputBytes = 262'144;
// Time for sending GOAWAY before the socket is closed.
constexpr Micros closeTimeout = 2'000'000;
// Overhead per field when the size of a header list is counted (RFC 9113, section 6.5.2).
constexpr std::size_t headerFieldOverheadBytes = 32;

std::vector<nghttp2_nv> pairsOf(const Headers& headers) {
  std::vector<nghttp2_nv> pairs;
  for (const auto& [name, value] : headers) {
    nghttp2_nv pair{};
    pair.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    pair.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    pair.namelen = name.size();
    pair.valuelen = value.size();
    pairs.push_back(pair);
  }
  return pairs;
}

}  // namespace

Http2::Http2(net::BufferEvent bufferEvent, Handler& handler, const Http2Limits& limits, bool server)
    : bufferEvent_(std::move(bufferEvent)), handler_(handler), limits_(limits), server_(server) {
  openedAt_ = lastReceivedAt_ = lastPingAt_ = net::monotonicNow();
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onSent);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
  if (server_)
    nghttp2_session_server_new(&session_, callbacks, this);
  else
    nghttp2_session_client_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 3> entries{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(limits_.streams)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.headBytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // A server must not send ENABLE_PUSH.
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(), server_ ? 2 : 3);
  bufferevent_setcb(bufferEvent_.get(), onRead, onWrite, onEvent, this);
  // Backpressure: data beyond the watermark stays in the kernel, so a fast sender is slowed down by TCP.
  bufferevent_setwatermark(bufferEvent_.get(), EV_READ, 0, maxOutputBytes);
  bufferevent_enable(bufferEvent_.get(), EV_READ | EV_WRITE);
  sendPending();
}

Http2::~Http2() { nghttp2_session_del(session_); }

Http2::Stream* Http2::find(StreamId stream) {
  const auto it = streams_.find(stream);
  return it == streams_.end() ? nullptr : &it->second;
}

bool Http2::flushed() const {
  return state_ == State::dead || (nghttp2_session_want_write(session_) == 0 &&
                                   evbuffer_get_length(bufferevent_get_output(bufferEvent_.get())) == 0);
}

// ---- sending ----

ssize_t Http2::onDataSourceRead(nghttp2_session*, StreamId id, std::uint8_t* buffer, std::size_t size,
                                std::uint32_t* flags, nghttp2_data_source*, void* context) {
  auto& http = *static_cast<Http2*>(context);
  Stream* stream = http.find(id);
  if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t n = std::min(size, stream->unsent.size());
  std::memcpy(buffer, stream->unsent.data(), n);
  stream->unsent.erase(0, n);
  if (!stream->unsent.empty()) return static_cast<ssize_t>(n);
  if (stream->endAfterUnsent) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (stream->hasTrailers) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto pairs = pairsOf(stream->trailers);
      nghttp2_submit_trailer(http.session_, id, pairs.data(), pairs.size());
    }
    return static_cast<ssize_t>(n);
  }
  if (n == 0) return NGHTTP2_ERR_DEFERRED;
  return static_cast<ssize_t>(n);
}

StreamId Http2::request(const Headers& headers) {
  if (state_ == State::dead || goawayExchanged_) return 0;
  const auto pairs = pairsOf(headers);
  nghttp2_data_provider provider{{}, onDataSourceRead};
  const StreamId id =
      nghttp2_submit_request(session_, nullptr, pairs.data(), pairs.size(), &provider, nullptr);
  if (id <= 0) return 0;
  streams_[id];
  sendPending();
  return id;
}

void Http2::respond(StreamId id, const Headers& headers, bool endStream) {
  if (find(id) == nullptr) return;
  const auto pairs = pairsOf(headers);
  nghttp2_data_provider provider{{}, onDataSourceRead};
  nghttp2_submit_response(session_, id, pairs.data(), pairs.size(), endStream ? nullptr : &provider);
  sendPending();
}

void Http2::resumeSending(StreamId id) {
  nghttp2_session_resume_data(session_, id);
  sendPending();
}

void Http2::send(StreamId id, std::string_view bytes) {
  Stream* stream = find(id);
  if (stream == nullptr || stream->endAfterUnsent) return;
  // A peer that stops reading must not occupy memory without limit.
  if (stream->unsent.size() + bytes.size() > limits_.unsentBytes) return reset(id, NGHTTP2_ENHANCE_YOUR_CALM);
  stream->unsent += bytes;
  resumeSending(id);
}

void Http2::end(StreamId id) {
  Stream* stream = find(id);
  if (stream == nullptr) return;
  stream->endAfterUnsent = true;
  resumeSending(id);
}

void Http2::trailers(StreamId id, const Headers& trailers) {
  Stream* stream = find(id);
  if (stream == nullptr) return;
  stream->trailers = trailers;
  stream->hasTrailers = stream->endAfterUnsent = true;
  resumeSending(id);
}

void Http2::reset(StreamId id, std::uint32_t code) {
  if (state_ == State::dead) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
  sendPending();
}

void Http2::announceShutdown() {
  if (state_ == State::dead) return;
  nghttp2_submit_shutdown_notice(session_);
  sendPending();
}

void Http2::sendGoaway() {
  if (state_ == State::dead) return;
  goawayExchanged_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  sendPending();
}

void Http2::closeWhenIdle() {
  closeWhenIdle_ = true;
  sendPending();
}

void Http2::close(std::uint32_t code) {
  if (state_ == State::dead || state_ == State::closing) return;
  state_ = State::closing;
  closeStartedAt_ = net::monotonicNow();
  nghttp2_session_terminate_session(session_, code);
  sendPending();
}

void Http2::abort() {
  if (state_ == State::dead) return;
  state_ = State::dead;
  streams_.clear();
  bufferEvent_.reset();
}

void Http2::sendPending() {
  if (insideNghttp2_ || state_ == State::dead) return;
  evbuffer* output = bufferevent_get_output(bufferEvent_.get());
  insideNghttp2_ = true;
  while (evbuffer_get_length(output) < maxOutputBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &bytes);
    if (n <= 0) break;
    evbuffer_add(output, bytes, static_cast<std::size_t>(n));
  }
  insideNghttp2_ = false;
  const bool idle = closeWhenIdle_ && streams_.empty();
  if ((state_ == State::closing || idle) && flushed()) terminate();
}

void Http2::terminate() {
  if (state_ == State::dead) return;
  state_ = State::dead;
  bufferevent_disable(bufferEvent_.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(bufferEvent_.get(), nullptr, nullptr, nullptr, nullptr);
  while (!streams_.empty()) {
    const StreamId id = streams_.begin()->first;
    streams_.erase(streams_.begin());
    handler_.onStreamClosed(*this, id, NGHTTP2_INTERNAL_ERROR);
  }
  handler_.onClosed(*this);
}

// ---- receiving ----

int Http2::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* context) {
  auto& http = *static_cast<Http2*>(context);
  if (http.server_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST) http.streams_[frame->hd.stream_id];
  if (Stream* stream = http.find(frame->hd.stream_id))
    stream->receivedHeaders.clear(), stream->receivedHeaderBytes = 0;
  return 0;
}

int Http2::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                    void* context) {
  auto& http = *static_cast<Http2*>(context);
  Stream* stream = http.find(frame->hd.stream_id);
  if (stream == nullptr) return 0;
  // SETTINGS_MAX_HEADER_LIST_SIZE is only advisory, so the limit is enforced here.
  stream->receivedHeaderBytes += nameSize + valueSize + headerFieldOverheadBytes;
  if (stream->receivedHeaderBytes > http.limits_.headBytes) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  stream->receivedHeaders.emplace_back(std::string(reinterpret_cast<const char*>(name), nameSize),
                                       std::string(reinterpret_cast<const char*>(value), valueSize));
  return 0;
}

int Http2::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* context) {
  auto& http = *static_cast<Http2*>(context);
  const StreamId id = frame->hd.stream_id;
  if (http.state_ == State::dead) return 0;
  if (frame->hd.type == NGHTTP2_SETTINGS && (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0 &&
      http.state_ == State::opening) {
    http.state_ = State::open;
    http.handler_.onOpen(http);
  }
  if (frame->hd.type == NGHTTP2_GOAWAY && !http.server_) http.goawayExchanged_ = true;
  if (frame->hd.type == NGHTTP2_HEADERS)
    if (Stream* stream = http.find(id)) {
      const Headers headers = std::move(stream->receivedHeaders);
      stream->receivedHeaders.clear();
      http.handler_.onHeaders(http, id, headers);
    }
  if ((frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
      (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    if (Stream* stream = http.find(id)) {
      stream->peerEnded = true;
      http.handler_.onEnd(http, id);
    }
  return 0;
}

// Resets a stream whose response is complete but whose client has not half-closed it: the stream would
// otherwise count as open for ever.
int Http2::onSent(nghttp2_session* session, const nghttp2_frame* frame, void* context) {
  auto& http = *static_cast<Http2*>(context);
  if (!http.server_ || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 ||
      (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA))
    return 0;
  const Stream* stream = http.find(frame->hd.stream_id);
  if (stream != nullptr && !stream->peerEnded)
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
  return 0;
}

int Http2::onChunk(nghttp2_session*, std::uint8_t, StreamId id, const std::uint8_t* data, std::size_t size,
                   void* context) {
  auto& http = *static_cast<Http2*>(context);
  if (http.find(id) != nullptr) http.handler_.onData(http, id, {reinterpret_cast<const char*>(data), size});
  return 0;
}

int Http2::onStreamClose(nghttp2_session*, StreamId id, std::uint32_t code, void* context) {
  auto& http = *static_cast<Http2*>(context);
  if (http.streams_.erase(id) != 0 && http.state_ != State::dead)
    http.handler_.onStreamClosed(http, id, code);
  return 0;
}

void Http2::onRead(bufferevent* bufferEvent, void* context) {
  auto& http = *static_cast<Http2*>(context);
  evbuffer* input = bufferevent_get_input(bufferEvent);
  http.lastReceivedAt_ = net::monotonicNow();
  while (http.state_ != State::dead && evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const unsigned char* bytes = evbuffer_pullup(input, static_cast<ssize_t>(size));
    http.insideNghttp2_ = true;
    const ssize_t n = nghttp2_session_mem_recv(http.session_, bytes, size);
    http.insideNghttp2_ = false;
    if (http.state_ == State::dead) return;
    if (n < 0) return http.terminate();  // not HTTP/2: an error code would not be understood
    evbuffer_drain(input, static_cast<std::size_t>(n));
    if (n == 0) break;
  }
  http.sendPending();
  // nghttp2 ends the session itself after a protocol error or a GOAWAY of the peer.
  if (http.state_ != State::dead && nghttp2_session_want_read(http.session_) == 0 && http.flushed())
    http.terminate();
}

void Http2::onWrite(bufferevent*, void* context) {
  auto& http = *static_cast<Http2*>(context);
  http.sendPending();
  if (http.state_ != State::dead && nghttp2_session_want_read(http.session_) == 0 && http.flushed())
    http.terminate();
}

void Http2::onEvent(bufferevent* bufferEvent, short what, void* context) {
  auto& http = *static_cast<Http2*>(context);
  if ((what & BEV_EVENT_CONNECTED) != 0) return net::noDelay(bufferevent_getfd(bufferEvent));
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    // Data received before the end is still processed.
    if (evbuffer_get_length(bufferevent_get_input(bufferEvent)) > 0) onRead(bufferEvent, context);
    http.terminate();
  }
}

void Http2::tick(Micros now) {
  if (state_ == State::dead) return;
  if (state_ == State::opening && now - openedAt_ > limits_.handshake) return terminate();
  if (state_ == State::closing && now - closeStartedAt_ > closeTimeout) return terminate();
  if (state_ != State::open) return;
  if (now - lastReceivedAt_ > limits_.idleClose) return close(NGHTTP2_NO_ERROR);
  // A ping detects a peer that vanished without closing the connection; its calls would otherwise stay open.
  if (now - lastReceivedAt_ > limits_.pingEvery && now - lastPingAt_ > limits_.pingEvery) {
    lastPingAt_ = now;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    sendPending();
  }
}

}  // namespace lupinsill::grpc
