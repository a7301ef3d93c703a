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
  std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkEar& ear) override;
  void tick(Micros now) override;
  std::set<WebSocketLink*> links;  // never walked into a decision

 private:
  event_base* base_;
  net::Connect connect_;
};

class WebSocketLink final : public Link, public websocket::Channel::Ear {
 public:
  WebSocketLink(WebSocket& owner, LinkEar& ear, net::Bev bev, const websocket::ChannelLimits& limits,
                const std::string& address)
      : owner_(owner), ear_(ear), channel_(std::move(bev), *this, limits, false, address) {
    owner_.links.insert(this);
  }
  ~WebSocketLink() override { owner_.links.erase(this); }

  void ask(const player::AskMessage& message) override {
    player::AskMessage out = message;
    out.id = "a";
    channel_.sendText(websocket::textOf(out));
  }
  void leave() override { channel_.sendText(websocket::textOf(player::LeaveMessage{"a"})); }
  bool flushed() const override { return channel_.dead() || channel_.unsent() == 0; }
  void tick(Micros now) { channel_.tick(now); }

 private:
  void onOpen(websocket::Channel&) override {}  // the director speaks first
  void onText(websocket::Channel&, std::string_view text) override {
    player::AnswerMessage answer;
    try {
      answer = websocket::readAnswer(text);
    } catch (const websocket::BadMessage&) {
      return;  // a newer director may say more than this library knows
    }
    if (answer.said == player::Said::hello) return ear_.onHello(answer.director);
    ear_.onAnswer(answer);
  }
  // WebSocket has no proof that a message was not read.
  void onClosed(websocket::Channel&, int) override { ear_.onLost(false); }

  WebSocket& owner_;
  LinkEar& ear_;
  websocket::Channel channel_;
};

std::unique_ptr<Link> WebSocket::open(const std::string& address, Micros timeLeft, LinkEar& ear) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  net::Bev bev = connect_(base_, address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  if (!bev) return nullptr;
  websocket::ChannelLimits limits;
  limits.messageBytes = 65536;
  limits.handshake = std::max<Micros>(100'000, std::min<Micros>(limits.handshake, timeLeft));
  return std::make_unique<WebSocketLink>(*this, ear, std::move(bev), limits, address);
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
