#include "websocket/transport.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "websocket/channel.h"
#include "websocket/messages.h"

namespace lupinsill::client {
namespace {

constexpr std::size_t maxMessageBytes = 65536;
constexpr Micros minHandshakeTimeout = 100'000;
// Names the request on its socket; any text will do, since a socket carries one request only.
constexpr const char* requestName = "a";

class WebSocketLink;

// Opens a socket for each link and checks their time-outs.
class WebSocketTransport final : public Transport {
 public:
  WebSocketTransport(event_base* base, net::Connect connect) : base_(base), connect_(std::move(connect)) {}
  std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkHandler& handler) override;
  void tick(Micros now) override;
  std::set<WebSocketLink*> links;  // in no defined order; nothing may depend on it

 private:
  event_base* base_;
  net::Connect connect_;
};

// One socket with one request.
class WebSocketLink final : public Link, public websocket::Channel::Handler {
 public:
  WebSocketLink(WebSocketTransport& owner, LinkHandler& handler, net::BufferEvent bufferEvent,
                const websocket::ChannelLimits& limits, const std::string& address)
      : owner_(owner), handler_(handler), channel_(std::move(bufferEvent), *this, limits, false, address) {
    owner_.links.insert(this);
  }
  ~WebSocketLink() override { owner_.links.erase(this); }

  void sendPlay(const session_api::PlayMessage& message) override {
    session_api::PlayMessage named = message;
    named.id = requestName;
    channel_.sendText(websocket::textOf(named));
  }
  void leave() override { channel_.sendText(websocket::textOf(session_api::LeaveMessage{requestName})); }
  bool flushed() const override { return channel_.dead() || channel_.unsent() == 0; }
  void tick(Micros now) { channel_.tick(now); }

 private:
  void onOpen(websocket::Channel&) override {}  // the director sends the first message
  void onText(websocket::Channel&, std::string_view text) override {
    session_api::AnswerMessage answer;
    try {
      answer = websocket::readAnswer(text);
    } catch (const websocket::BadMessage&) {
      return;  // a newer director may send messages that this library does not know
    }
    if (answer.kind == session_api::AnswerKind::hello) return handler_.onHello(answer.director);
    handler_.onAnswer(answer);
  }
  // WebSocket cannot prove that a message was not read.
  void onClosed(websocket::Channel&, int) override { handler_.onLost(false); }

  WebSocketTransport& owner_;
  LinkHandler& handler_;
  websocket::Channel channel_;
};

std::unique_ptr<Link> WebSocketTransport::open(const std::string& address, Micros timeLeft,
                                               LinkHandler& handler) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  net::BufferEvent bufferEvent =
      connect_(base_, address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  if (!bufferEvent) return nullptr;
  websocket::ChannelLimits limits;
  limits.messageBytes = maxMessageBytes;
  limits.handshake = std::max(Micros{minHandshakeTimeout}, std::min<Micros>(limits.handshake, timeLeft));
  return std::make_unique<WebSocketLink>(*this, handler, std::move(bufferEvent), limits, address);
}

void WebSocketTransport::tick(Micros now) {
  // A copy, because a link may be destroyed while another one is handled.
  const std::set<WebSocketLink*> all = links;
  for (WebSocketLink* link : all)
    if (links.contains(link)) link->tick(now);
}

}  // namespace

std::unique_ptr<Transport> makeWebSocket(event_base* base, net::Connect connect) {
  return std::make_unique<WebSocketTransport>(base, std::move(connect));
}

}  // namespace lupinsill::client
