#include "websocket/channel.h"

#include <sodium.h>

#include <utility>

#include "websocket/handshake.h"

namespace lupinsill::websocket {
namespace {
constexpr Micros closeWait = 2'000'000;  // for the peer's close frame
}

Channel::Channel(net::BufferEvent bufferEvent, Handler& handler, const ChannelLimits& limits, bool server,
                 const std::string& host)
    : bufferEvent_(std::move(bufferEvent)), handler_(handler), limits_(limits), server_(server), host_(host) {
  openedAt_ = heardAt_ = pingedAt_ = net::monotonicNow();
  wslay_event_callbacks callbacks{};
  callbacks.recv_callback = receive;
  callbacks.send_callback = send;
  callbacks.genmask_callback = mask;
  callbacks.on_msg_recv_callback = message;
  if (server_)
    wslay_event_context_server_init(&wslay_, &callbacks, this);
  else
    wslay_event_context_client_init(&wslay_, &callbacks, this);
  wslay_event_config_set_max_recv_msg_length(wslay_, limits_.messageBytes);
  bufferevent_setcb(bufferEvent_.get(), onRead, onWrite, onEvent, this);
  // Guards against a peer that sends faster than it is served: what is not read stays in the kernel.
  bufferevent_setwatermark(bufferEvent_.get(), EV_READ, 0, limits_.messageBytes * 4 + headMost);
  bufferevent_enable(bufferEvent_.get(), EV_READ | EV_WRITE);
}

Channel::~Channel() { wslay_event_context_free(wslay_); }

std::size_t Channel::unsent() const {
  return evbuffer_get_length(bufferevent_get_output(bufferEvent_.get()));
}

void Channel::die(int code) {
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
  refused_ = true;
  closingAt_ = net::monotonicNow();
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
  // Guards against a reader that stops: what it does not take is not heaped up for it.
  if (unsent() + text.size() > limits_.unsentBytes) {
    closeCode_ = 1008;
    return die(1008);
  }
  const wslay_event_msg msg{WSLAY_TEXT_FRAME, reinterpret_cast<const std::uint8_t*>(text.data()),
                            text.size()};
  wslay_event_queue_msg(wslay_, &msg);
  wslay_event_send(wslay_);
}

void Channel::close(int code, std::string_view reason) {
  if (state_ == State::opening) return die(code);
  if (state_ != State::open) return;
  state_ = State::closing;
  closeCode_ = code;
  closingAt_ = net::monotonicNow();
  wslay_event_queue_close(wslay_, static_cast<std::uint16_t>(code),
                          reinterpret_cast<const std::uint8_t*>(reason.data()), reason.size());
  wslay_event_send(wslay_);
}

void Channel::tick(Micros now) {
  if (state_ == State::dead) return;
  if (state_ == State::opening && now - openedAt_ > limits_.handshake) return die(1006);
  if (state_ == State::closing && now - closingAt_ > closeWait) return die(closeCode_);
  if (state_ != State::open) return;
  if (now - heardAt_ > limits_.idleClose) return close(1001, "idle");
  if (now - heardAt_ > limits_.pingEvery && now - pingedAt_ > limits_.pingEvery) {
    pingedAt_ = now;
    const wslay_event_msg ping{WSLAY_PING, nullptr, 0};
    wslay_event_queue_msg(wslay_, &ping);
    wslay_event_send(wslay_);
  }
}

void Channel::readOpening() {
  evbuffer* input = bufferevent_get_input(bufferEvent_.get());
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    if (evbuffer_get_length(input) > headMost) {
      if (server_) return refuse(refusal(431, "Request Header Fields Too Large", 0));
      die(1002);
    }
    return;
  }
  std::string head(static_cast<std::size_t>(end.pos) + 4, '\0');
  evbuffer_remove(input, head.data(), head.size());
  if (server_) {
    const HandshakeReply opening = answerHandshake(head);
    if (!opening.accepted) return refuse(opening.response);
    evbuffer_add(bufferevent_get_output(bufferEvent_.get()), opening.response.data(),
                 opening.response.size());
  } else if (!isValidHandshakeReply(head, key_)) {
    return die(head.starts_with("HTTP/1.1 503") ? 1013 : 1002);
  }
  state_ = State::open;
  handler_.onOpen(*this);
}

void Channel::pump() {
  if (state_ != State::open && state_ != State::closing) return;
  if (wslay_event_recv(wslay_) != 0) return die(1002);
  if (state_ == State::dead) return;
  wslay_event_send(wslay_);
  if (state_ == State::open && wslay_event_get_close_sent(wslay_)) {
    // wslay found a fault in what came, or answered the peer's close.
    state_ = State::closing;
    closingAt_ = net::monotonicNow();
    const bool theirs = wslay_event_get_close_received(wslay_);
    closeCode_ =
        theirs ? wslay_event_get_status_code_received(wslay_) : wslay_event_get_status_code_sent(wslay_);
  }
  if (state_ == State::closing && wslay_event_get_close_sent(wslay_) && unsent() == 0) die(closeCode_);
}

void Channel::onRead(bufferevent*, void* me) {
  auto& channel = *static_cast<Channel*>(me);
  channel.heardAt_ = net::monotonicNow();
  if (channel.refused_) {
    evbuffer* input = bufferevent_get_input(channel.bufferEvent_.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (channel.state_ == State::opening) channel.readOpening();
  channel.pump();
}

void Channel::onWrite(bufferevent*, void* me) {
  auto& channel = *static_cast<Channel*>(me);
  // Called once at the start as well, when what was put in meanwhile has not left.
  if (channel.unsent() != 0) return;
  if (channel.state_ == State::closing && (channel.refused_ || wslay_event_get_close_sent(channel.wslay_)))
    channel.die(channel.closeCode_);
}

void Channel::onEvent(bufferevent*, short what, void* me) {
  auto& channel = *static_cast<Channel*>(me);
  if (what & BEV_EVENT_CONNECTED) {
    net::noDelay(bufferevent_getfd(channel.bufferEvent_.get()));
    if (channel.server_) return;  // under TLS, the end of its handshake: the player speaks first
    channel.key_ = generateKey();
    channel.sendRaw(handshakeRequest(channel.host_, channel.key_));
    return;
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    // What came before the end still counts.
    if (channel.state_ != State::opening && !channel.refused_) channel.pump();
    channel.die(channel.state_ == State::closing ? channel.closeCode_ : 1006);
  }
}

ssize_t Channel::receive(wslay_event_context* ctx, std::uint8_t* buffer, std::size_t size, int, void* me) {
  auto& channel = *static_cast<Channel*>(me);
  if (channel.state_ == State::dead) {
    wslay_event_set_error(ctx, WSLAY_ERR_WOULDBLOCK);
    return -1;
  }
  const int got = evbuffer_remove(bufferevent_get_input(channel.bufferEvent_.get()), buffer, size);
  if (got > 0) return got;
  wslay_event_set_error(ctx, WSLAY_ERR_WOULDBLOCK);
  return -1;
}

ssize_t Channel::send(wslay_event_context*, const std::uint8_t* data, std::size_t size, int, void* me) {
  auto& channel = *static_cast<Channel*>(me);
  if (channel.state_ != State::dead)
    evbuffer_add(bufferevent_get_output(channel.bufferEvent_.get()), data, size);
  return static_cast<ssize_t>(size);
}

int Channel::mask(wslay_event_context*, std::uint8_t* buffer, std::size_t size, void*) {
  randombytes_buf(buffer, size);
  return 0;
}

void Channel::message(wslay_event_context*, const wslay_event_on_msg_recv_arg* arg, void* me) {
  auto& channel = *static_cast<Channel*>(me);
  if (channel.state_ != State::open) return;
  if (arg->opcode == WSLAY_BINARY_FRAME) return channel.close(1003, "text only");
  if (arg->opcode != WSLAY_TEXT_FRAME) return;
  channel.handler_.onText(channel, {reinterpret_cast<const char*>(arg->msg), arg->msg_length});
}

}  // namespace lupinsill::websocket
