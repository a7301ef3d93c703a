#include "grpc/http2.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace lupinsill::grpc {
namespace {

constexpr std::size_t outputMost = 262'144;  // in the bufferevent; the rest waits for the peer to read
constexpr Micros closeWait = 2'000'000;

std::vector<nghttp2_nv> pairsOf(const Headers& headers) {
  std::vector<nghttp2_nv> out;
  for (const auto& [name, value] : headers) {
    nghttp2_nv pair{};
    pair.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    pair.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    pair.namelen = name.size();
    pair.valuelen = value.size();
    out.push_back(pair);
  }
  return out;
}

}  // namespace

Http2::Http2(net::BufferEvent bufferEvent, Handler& handler, const Http2Limits& limits, bool server)
    : bufferEvent_(std::move(bufferEvent)), handler_(handler), limits_(limits), server_(server) {
  openedAt_ = heardAt_ = pingedAt_ = net::monotonicNow();
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
  // A server does not speak of push.
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(), server_ ? 2 : 3);
  bufferevent_setcb(bufferEvent_.get(), onRead, onWrite, onEvent, this);
  // Guards against a peer that sends faster than it is served: what is not read stays in the kernel.
  bufferevent_setwatermark(bufferEvent_.get(), EV_READ, 0, outputMost);
  bufferevent_enable(bufferEvent_.get(), EV_READ | EV_WRITE);
  pump();
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

// ---- out ----

ssize_t Http2::pull(nghttp2_session*, StreamId id, std::uint8_t* into, std::size_t size, std::uint32_t* flags,
                    nghttp2_data_source*, void* me) {
  auto& http = *static_cast<Http2*>(me);
  Stream* stream = http.find(id);
  if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t n = std::min(size, stream->out.size());
  std::memcpy(into, stream->out.data(), n);
  stream->out.erase(0, n);
  if (!stream->out.empty()) return static_cast<ssize_t>(n);
  if (stream->ends) {
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
  if (state_ == State::dead || goneAway_) return 0;
  const auto pairs = pairsOf(headers);
  nghttp2_data_provider provider{{}, pull};
  const StreamId id =
      nghttp2_submit_request(session_, nullptr, pairs.data(), pairs.size(), &provider, nullptr);
  if (id <= 0) return 0;
  streams_[id];
  pump();
  return id;
}

void Http2::respond(StreamId id, const Headers& headers, bool whole) {
  if (find(id) == nullptr) return;
  const auto pairs = pairsOf(headers);
  nghttp2_data_provider provider{{}, pull};
  nghttp2_submit_response(session_, id, pairs.data(), pairs.size(), whole ? nullptr : &provider);
  pump();
}

void Http2::resume(StreamId id) {
  nghttp2_session_resume_data(session_, id);
  pump();
}

void Http2::send(StreamId id, std::string_view bytes) {
  Stream* stream = find(id);
  if (stream == nullptr || stream->ends) return;
  // Guards against a reader that stops: what it does not take is not heaped up for it.
  if (stream->out.size() + bytes.size() > limits_.unsentBytes) return reset(id, NGHTTP2_ENHANCE_YOUR_CALM);
  stream->out += bytes;
  resume(id);
}

void Http2::end(StreamId id) {
  Stream* stream = find(id);
  if (stream == nullptr) return;
  stream->ends = true;
  resume(id);
}

void Http2::trailers(StreamId id, const Headers& trailers) {
  Stream* stream = find(id);
  if (stream == nullptr) return;
  stream->trailers = trailers;
  stream->hasTrailers = stream->ends = true;
  resume(id);
}

void Http2::reset(StreamId id, std::uint32_t code) {
  if (state_ == State::dead) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
  pump();
}

void Http2::notice() {
  if (state_ == State::dead) return;
  nghttp2_submit_shutdown_notice(session_);
  pump();
}

void Http2::lastWord() {
  if (state_ == State::dead) return;
  goneAway_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  pump();
}

void Http2::closeWhenIdle() {
  closeIdle_ = true;
  pump();
}

void Http2::close(std::uint32_t code) {
  if (state_ == State::dead || state_ == State::closing) return;
  state_ = State::closing;
  closingAt_ = net::monotonicNow();
  nghttp2_session_terminate_session(session_, code);
  pump();
}

void Http2::abort() {
  if (state_ == State::dead) return;
  state_ = State::dead;
  streams_.clear();
  bufferEvent_.reset();
}

void Http2::pump() {
  if (reading_ || state_ == State::dead) return;
  evbuffer* output = bufferevent_get_output(bufferEvent_.get());
  reading_ = true;
  while (evbuffer_get_length(output) < outputMost) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &bytes);
    if (n <= 0) break;
    evbuffer_add(output, bytes, static_cast<std::size_t>(n));
  }
  reading_ = false;
  const bool idle = closeIdle_ && streams_.empty();
  if ((state_ == State::closing || idle) && flushed()) die();
}

void Http2::die() {
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

// ---- in ----

int Http2::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* me) {
  auto& http = *static_cast<Http2*>(me);
  if (http.server_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST) http.streams_[frame->hd.stream_id];
  if (Stream* stream = http.find(frame->hd.stream_id)) stream->heard.clear(), stream->heardBytes = 0;
  return 0;
}

int Http2::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                    void* me) {
  auto& http = *static_cast<Http2*>(me);
  Stream* stream = http.find(frame->hd.stream_id);
  if (stream == nullptr) return 0;
  // Guards against a head without end: the announced bound is a wish, this is the wall.
  stream->heardBytes += nameSize + valueSize + 32;
  if (stream->heardBytes > http.limits_.headBytes) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  stream->heard.emplace_back(std::string(reinterpret_cast<const char*>(name), nameSize),
                             std::string(reinterpret_cast<const char*>(value), valueSize));
  return 0;
}

int Http2::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* me) {
  auto& http = *static_cast<Http2*>(me);
  const StreamId id = frame->hd.stream_id;
  if (http.state_ == State::dead) return 0;
  if (frame->hd.type == NGHTTP2_SETTINGS && (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0 &&
      http.state_ == State::opening) {
    http.state_ = State::open;
    http.handler_.onOpen(http);
  }
  if (frame->hd.type == NGHTTP2_GOAWAY && !http.server_) http.goneAway_ = true;
  if (frame->hd.type == NGHTTP2_HEADERS)
    if (Stream* stream = http.find(id)) {
      const Headers heard = std::move(stream->heard);
      stream->heard.clear();
      http.handler_.onHeaders(http, id, heard);
    }
  if ((frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
      (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    if (Stream* stream = http.find(id)) {
      stream->peerEnded = true;
      http.handler_.onEnd(http, id);
    }
  return 0;
}

// Guards against a caller that never ends its side: its answered call would count as open for ever.
int Http2::onSent(nghttp2_session* session, const nghttp2_frame* frame, void* me) {
  auto& http = *static_cast<Http2*>(me);
  if (!http.server_ || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 ||
      (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA))
    return 0;
  const Stream* stream = http.find(frame->hd.stream_id);
  if (stream != nullptr && !stream->peerEnded)
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
  return 0;
}

int Http2::onChunk(nghttp2_session*, std::uint8_t, StreamId id, const std::uint8_t* data, std::size_t size,
                   void* me) {
  auto& http = *static_cast<Http2*>(me);
  if (http.find(id) != nullptr) http.handler_.onData(http, id, {reinterpret_cast<const char*>(data), size});
  return 0;
}

int Http2::onStreamClose(nghttp2_session*, StreamId id, std::uint32_t code, void* me) {
  auto& http = *static_cast<Http2*>(me);
  if (http.streams_.erase(id) != 0 && http.state_ != State::dead)
    http.handler_.onStreamClosed(http, id, code);
  return 0;
}

void Http2::onRead(bufferevent* bufferEvent, void* me) {
  auto& http = *static_cast<Http2*>(me);
  evbuffer* input = bufferevent_get_input(bufferEvent);
  http.heardAt_ = net::monotonicNow();
  while (http.state_ != State::dead && evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const unsigned char* bytes = evbuffer_pullup(input, static_cast<ssize_t>(size));
    http.reading_ = true;
    const ssize_t n = nghttp2_session_mem_recv(http.session_, bytes, size);
    http.reading_ = false;
    if (http.state_ == State::dead) return;
    if (n < 0) return http.die();  // not HTTP/2: there is nobody to tell
    evbuffer_drain(input, static_cast<std::size_t>(n));
    if (n == 0) break;
  }
  http.pump();
  // nghttp2 ends the session by itself where the peer broke the protocol, or said goodbye.
  if (http.state_ != State::dead && nghttp2_session_want_read(http.session_) == 0 && http.flushed())
    http.die();
}

void Http2::onWrite(bufferevent*, void* me) {
  auto& http = *static_cast<Http2*>(me);
  http.pump();
  if (http.state_ != State::dead && nghttp2_session_want_read(http.session_) == 0 && http.flushed())
    http.die();
}

void Http2::onEvent(bufferevent* bufferEvent, short what, void* me) {
  auto& http = *static_cast<Http2*>(me);
  if ((what & BEV_EVENT_CONNECTED) != 0) return net::noDelay(bufferevent_getfd(bufferEvent));
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    // What came before the end still counts.
    if (evbuffer_get_length(bufferevent_get_input(bufferEvent)) > 0) onRead(bufferEvent, me);
    http.die();
  }
}

void Http2::tick(Micros now) {
  if (state_ == State::dead) return;
  if (state_ == State::opening && now - openedAt_ > limits_.handshake) return die();
  if (state_ == State::closing && now - closingAt_ > closeWait) return die();
  if (state_ != State::open) return;
  if (now - heardAt_ > limits_.idleClose) return close(NGHTTP2_NO_ERROR);
  // Guards against a peer that vanished without a word: its calls would hold their places for ever.
  if (now - heardAt_ > limits_.pingEvery && now - pingedAt_ > limits_.pingEvery) {
    pingedAt_ = now;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    pump();
  }
}

}  // namespace lupinsill::grpc
