#include "websocket/channel.h"

#include <sodium.h>

#include <utility>

#include "websocket/handshake.h"

namespace lupinsill::websocket {
namespace {

// Time for the peer's close frame before the socket is closed.
constexpr Micros closeTimeout = 2'000'000;
// Messages of the maximum size that the input buffer holds, besides a handshake.
constexpr std::size_t bufferedMessages = 4;

}  // namespace

Channel::Channel(net::BufferEvent bufferEvent, Handler& handler, const ChannelLimits& limits, bool server,
                 const std::string& host)
    : bufferEvent_(std::move(bufferEvent)), handler_(handler), limits_(limits), server_(server), host_(host) {
  openedAt_ = lastReceivedAt_ = lastPingAt_ = net::monotonicNow();
  wslay_event_callbacks callbacks{};
  callbacks.recv_callback = receive;
  callbacks.send_callback = send;
  callbacks.genmask_callback = generateMask;
  callbacks.on_frame_recv_start_callback = onFrameStart;
  callbacks.on_msg_recv_callback = onMessage;
  if (server_)
    wslay_event_context_server_init(&wslay_, &callbacks, this);
  else
    wslay_event_context_client_init(&wslay_, &callbacks, this);
  wslay_event_config_set_max_recv_msg_length(wslay_, limits_.messageBytes);
  bufferevent_setcb(bufferEvent_.get(), onRead, onWrite, onEvent, this);
  // Backpressure: data beyond the watermark stays in the kernel, so a fast sender is slowed down by TCP.
  bufferevent_setwatermark(bufferEvent_.get(), EV_READ, 0,
                           limits_.messageBytes * bufferedMessages + maxHeadBytes);
  bufferevent_enable(bufferEvent_.get(), EV_READ | EV_WRITE);
}

Channel::~Channel() { wslay_event_context_free(wslay_); }

std::size_t Channel::unsent() const {
  return evbuffer_get_length(bufferevent_get_output(bufferEvent_.get()));
}

void Channel::terminate(int code) {
  if (state_ == State::dead) return;
  state_ = State::dead;
  bufferevent_disable(bufferEvent_.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(bufferEvent_.get(), nullptr, nullptr, nullptr, nullptr);
  handler_.onClosed(*this, code);
}

void Channel::abort() {
  if (state_ == State::dead) return;
  state_ = State::dead;
  bufferEvent_.reset();
}

void Channel::refuse(std::string text) {
  rejected_ = true;
  closeStartedAt_ = net::monotonicNow();
  state_ = State::closing;
  evbuffer_add(bufferevent_get_output(bufferEvent_.get()), text.data(), text.size());
}

void Channel::stopReading() {
  if (bufferEvent_) bufferevent_disable(bufferEvent_.get(), EV_READ);
}

void Channel::sendRaw(std::string_view bytes) {
  if (state_ != State::dead)
    evbuffer_add(bufferevent_get_output(bufferEvent_.get()), bytes.data(), bytes.size());
}

void Channel::sendText(std::string_view text) {
  if (state_ != State::open) return;
  // A peer that stops reading must not occupy memory without limit.
  if (unsent() + text.size() > limits_.unsentBytes) {
    closeCode_ = close_code::policyViolation;
    return terminate(close_code::policyViolation);
  }
  const wslay_event_msg message{WSLAY_TEXT_FRAME, reinterpret_cast<const std::uint8_t*>(text.data()),
                                text.size()};
  wslay_event_queue_msg(wslay_, &message);
  wslay_event_send(wslay_);
}

void Channel::close(int code, std::string_view reason) {
  if (state_ == State::opening) return terminate(code);
  if (state_ != State::open) return;
  state_ = State::closing;
  closeCode_ = code;
  closeStartedAt_ = net::monotonicNow();
  wslay_event_queue_close(wslay_, static_cast<std::uint16_t>(code),
                          reinterpret_cast<const std::uint8_t*>(reason.data()), reason.size());
  wslay_event_send(wslay_);
}

void Channel::tick(Micros now) {
  if (state_ == State::dead) return;
  if (state_ == State::opening && now - openedAt_ > limits_.handshake)
    return terminate(close_code::abnormalClosure);
  if (state_ == State::closing && now - closeStartedAt_ > closeTimeout) return terminate(closeCode_);
  if (state_ != State::open) return;
  if (now - lastReceivedAt_ > limits_.idleClose) return close(close_code::goingAway, "idle");
  if (now - lastReceivedAt_ > limits_.pingEvery && now - lastPingAt_ > limits_.pingEvery) {
    lastPingAt_ = now;
    const wslay_event_msg ping{WSLAY_PING, nullptr, 0};
    wslay_event_queue_msg(wslay_, &ping);
    wslay_event_send(wslay_);
  }
}

void Channel::readHandshake() {
  evbuffer* input = bufferevent_get_input(bufferEvent_.get());
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    if (evbuffer_get_length(input) > maxHeadBytes) {
      if (server_) return refuse(refusal(431, "Request Header Fields Too Large", 0));
      terminate(close_code::protocolError);
    }
    return;
  }
  std::string head(static_cast<std::size_t>(end.pos) + 4, '\0');
  evbuffer_remove(input, head.data(), head.size());
  if (server_) {
    const HandshakeReply reply = answerHandshake(head);
    if (!reply.accepted) return refuse(reply.response);
    evbuffer_add(bufferevent_get_output(bufferEvent_.get()), reply.response.data(), reply.response.size());
  } else if (!isValidHandshakeReply(head, key_)) {
    return terminate(head.starts_with("HTTP/1.1 503") ? close_code::tryAgainLater
                                                      : close_code::protocolError);
  }
  state_ = State::open;
  handler_.onOpen(*this);
}

void Channel::processInput() {
  if (state_ != State::open && state_ != State::closing) return;
  if (wslay_event_recv(wslay_) != 0) return terminate(close_code::protocolError);
  if (state_ == State::dead) return;
  wslay_event_send(wslay_);
  if (state_ == State::open && wslay_event_get_close_sent(wslay_)) {
    // wslay has detected a protocol error or answered the peer's close frame.
    state_ = State::closing;
    closeStartedAt_ = net::monotonicNow();
    const bool receivedFromPeer = wslay_event_get_close_received(wslay_);
    closeCode_ = receivedFromPeer ? wslay_event_get_status_code_received(wslay_)
                                  : wslay_event_get_status_code_sent(wslay_);
  }
  if (state_ == State::closing && wslay_event_get_close_sent(wslay_) && unsent() == 0) terminate(closeCode_);
}

void Channel::onRead(bufferevent*, void* context) {
  auto& channel = *static_cast<Channel*>(context);
  channel.lastReceivedAt_ = net::monotonicNow();
  if (channel.rejected_ || channel.ignoresInput_) {
    evbuffer* input = bufferevent_get_input(channel.bufferEvent_.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (channel.state_ == State::opening) channel.readHandshake();
  channel.processInput();
}

void Channel::onWrite(bufferevent*, void* context) {
  auto& channel = *static_cast<Channel*>(context);
  // libevent also calls this once at the start, possibly with data still in the output buffer.
  if (channel.unsent() != 0) return;
  if (channel.state_ == State::closing && (channel.rejected_ || wslay_event_get_close_sent(channel.wslay_)))
    channel.terminate(channel.closeCode_);
}

void Channel::onEvent(bufferevent*, short what, void* context) {
  auto& channel = *static_cast<Channel*>(context);
  if (what & BEV_EVENT_CONNECTED) {
    net::noDelay(bufferevent_getfd(channel.bufferEvent_.get()));
    if (channel.server_) return;  // end of the TLS handshake: the client sends the first message
    channel.key_ = generateKey();
    channel.sendRaw(handshakeRequest(channel.host_, channel.key_));
    return;
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    // Data received before the end is still processed.
    if (channel.state_ != State::opening && !channel.rejected_) channel.processInput();
    channel.terminate(channel.state_ == State::closing ? channel.closeCode_ : close_code::abnormalClosure);
  }
}

ssize_t Channel::receive(wslay_event_context* ctx, std::uint8_t* buffer, std::size_t size, int,
                         void* context) {
  auto& channel = *static_cast<Channel*>(context);
  if (channel.state_ == State::dead || channel.ignoresInput_) {
    wslay_event_set_error(ctx, WSLAY_ERR_WOULDBLOCK);
    return -1;
  }
  const int count = evbuffer_remove(bufferevent_get_input(channel.bufferEvent_.get()), buffer, size);
  if (count > 0) return count;
  wslay_event_set_error(ctx, WSLAY_ERR_WOULDBLOCK);
  return -1;
}

ssize_t Channel::send(wslay_event_context*, const std::uint8_t* data, std::size_t size, int, void* context) {
  auto& channel = *static_cast<Channel*>(context);
  if (channel.state_ != State::dead)
    evbuffer_add(bufferevent_get_output(channel.bufferEvent_.get()), data, size);
  return static_cast<ssize_t>(size);
}

int Channel::generateMask(wslay_event_context*, std::uint8_t* buffer, std::size_t size, void*) {
  randombytes_buf(buffer, size);
  return 0;
}

// Each fragment of an unfinished message occupies a chunk of memory of its own, which is many times the size
// of a short fragment. The limit on the size of a message does not bound that.
void Channel::onFrameStart(wslay_event_context*, const wslay_event_on_frame_recv_start_arg* arg,
                           void* context) {
  auto& channel = *static_cast<Channel*>(context);
  if (wslay_is_ctrl_frame(arg->opcode)) return;
  ++channel.fragments_;
  if (channel.fragments_ > channel.limits_.fragments) {
    channel.close(close_code::policyViolation, "too many fragments");
    channel.ignoresInput_ = true;
  }
  if (arg->fin != 0) channel.fragments_ = 0;
}

void Channel::onMessage(wslay_event_context*, const wslay_event_on_msg_recv_arg* arg, void* context) {
  auto& channel = *static_cast<Channel*>(context);
  if (channel.state_ != State::open) return;
  if (arg->opcode == WSLAY_BINARY_FRAME) return channel.close(close_code::unsupportedData, "text only");
  if (arg->opcode != WSLAY_TEXT_FRAME) return;
  channel.handler_.onText(channel, {reinterpret_cast<const char*>(arg->msg), arg->msg_length});
}

}  // namespace lupinsill::websocket
