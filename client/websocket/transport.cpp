#include "websocket/transport.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "websocket/channel.h"
#include "websocket/messages.h"

namespace lupinsill::client {
namespace {

class WebSocketLink;

class WebSocket final : public Transport {
 public:
  WebSocket(event_base* base, net::Connect connect) : base_(base), connect_(std::move(connect)) {}
  std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkHandler& handler) override;
  void tick(Micros now) override;
  std::set<WebSocketLink*> links;  // never walked into a decision

 private:
  event_base* base_;
  net::Connect connect_;
};

class WebSocketLink final : public Link, public websocket::Channel::Handler {
 public:
  WebSocketLink(WebSocket& owner, LinkHandler& handler, net::BufferEvent bufferEvent,
                const websocket::ChannelLimits& limits, const std::string& address)
      : owner_(owner), handler_(handler), channel_(std::move(bufferEvent), *this, limits, false, address) {
    owner_.links.insert(this);
  }
  ~WebSocketLink() override { owner_.links.erase(this); }

  void ask(const session_api::PlayMessage& message) override {
    session_api::PlayMessage out = message;
    out.id = "a";
    channel_.sendText(websocket::toJson(out));
  }
  void leave() override { channel_.sendText(websocket::toJson(session_api::LeaveMessage{"a"})); }
  bool flushed() const override { return channel_.dead() || channel_.unsent() == 0; }
  void tick(Micros now) { channel_.tick(now); }

 private:
  void onOpen(websocket::Channel&) override {}  // the director speaks first
  void onText(websocket::Channel&, std::string_view text) override {
    session_api::AnswerMessage answer;
    try {
      answer = websocket::parseAnswer(text);
    } catch (const websocket::BadMessage&) {
      return;  // a newer director may say more than this library knows
    }
    if (answer.kind == session_api::AnswerKind::hello) return handler_.onHello(answer.director);
    handler_.onAnswer(answer);
  }
  // WebSocket has no proof that a message was not read.
  void onClosed(websocket::Channel&, int) override { handler_.onLost(false); }

  WebSocket& owner_;
  LinkHandler& handler_;
  websocket::Channel channel_;
};

std::unique_ptr<Link> WebSocket::open(const std::string& address, Micros timeLeft, LinkHandler& handler) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  net::BufferEvent bufferEvent =
      connect_(base_, address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  if (!bufferEvent) return nullptr;
  websocket::ChannelLimits limits;
  limits.messageBytes = 65536;
  limits.handshake = std::max<Micros>(100'000, std::min<Micros>(limits.handshake, timeLeft));
  return std::make_unique<WebSocketLink>(*this, handler, std::move(bufferEvent), limits, address);
}

void WebSocket::tick(Micros now) {
  const std::set<WebSocketLink*> all = links;
  for (WebSocketLink* link : all)
    if (links.contains(link)) link->tick(now);
}

}  // namespace

std::unique_ptr<Transport> makeWebSocket(event_base* base, net::Connect connect) {
  return std::make_unique<WebSocket>(base, std::move(connect));
}

}  // namespace lupinsill::client
