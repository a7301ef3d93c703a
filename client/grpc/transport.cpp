#include "grpc/transport.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <utility>
#include <vector>

#include "grpc/http2.h"
#include "grpc/messages.h"

namespace lupinsill::client {
namespace {

using grpc::Headers;
using grpc::Http2;
using grpc::StreamId;

constexpr std::size_t messageMost = 65536;

class GrpcLink;

// One connection to a director and the links on it.
struct Wire {
  std::string address;
  std::unique_ptr<Http2> http;
  std::string director;  // once it has said who it is
  StreamId who = 0;
  grpc::MessageReader whoReader{messageMost};
  bool lost = false;
  std::vector<GrpcLink*> links;  // in the order in which they came
  std::map<StreamId, GrpcLink*> byStream;
};

class Grpc final : public Transport, public Http2::Handler {
 public:
  Grpc(event_base* base, net::Connect connect) : base_(base), connect_(std::move(connect)) {}
  ~Grpc() override;
  std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkHandler& handler) override;
  void tick(Micros now) override;
  void drop(GrpcLink& link);

 private:
  void onOpen(Http2& http) override;
  void onHeaders(Http2& http, StreamId stream, const Headers& headers) override;
  void onData(Http2& http, StreamId stream, std::string_view bytes) override;
  void onEnd(Http2&, StreamId) override {}
  void onStreamClosed(Http2& http, StreamId stream, std::uint32_t code) override;
  void onClosed(Http2& http) override;
  Wire* wireOf(Http2& http);
  void askWho(Wire& wire);
  void greet(Wire& wire);

  event_base* base_;
  net::Connect connect_;
  std::vector<std::unique_ptr<Wire>> wires_;
};

class GrpcLink final : public Link {
 public:
  GrpcLink(Grpc& owner, Wire* at, LinkHandler& to) : wire(at), handler(to), owner_(owner) {}
  ~GrpcLink() override { owner_.drop(*this); }

  void ask(const session_api::PlayMessage& message) override {
    if (wire == nullptr || stream != 0) return;
    stream = wire->http->request({{":method", "POST"},
                                  {":scheme", "http"},
                                  {":authority", wire->address},
                                  {":path", std::string(grpc::playPath)},
                                  {"content-type", "application/grpc"},
                                  {"te", "trailers"}});
    if (stream == 0) {
      refused = true;  // the connection takes no more: told from the next tick
      return;
    }
    wire->byStream[stream] = this;
    wire->http->send(stream, grpc::lengthPrefixed(grpc::serialize(message)));
  }
  void leave() override {
    if (wire == nullptr || stream == 0) return;
    wire->http->send(stream, grpc::lengthPrefixed(grpc::serializeLeave()));
    wire->http->end(stream);
  }
  bool flushed() const override { return wire == nullptr || wire->http->flushed(); }

  void lose(bool unread) {
    if (over) return;
    over = true;
    handler.onLost(unread);
  }

  Wire* wire;
  LinkHandler& handler;
  StreamId stream = 0;
  grpc::MessageReader reader{messageMost};
  bool greeted = false;
  bool refused = false;
  bool over = false;  // its last word has been told

 private:
  Grpc& owner_;
};

Grpc::~Grpc() {
  for (auto& wire : wires_) {
    for (GrpcLink* link : wire->links) link->wire = nullptr;
    wire->http->abort();
  }
}

void Grpc::drop(GrpcLink& link) {
  Wire* wire = link.wire;
  if (wire == nullptr) return;
  std::erase(wire->links, &link);
  if (link.stream == 0) return;
  wire->byStream.erase(link.stream);
  if (!link.over) wire->http->reset(link.stream, NGHTTP2_CANCEL);
}

Wire* Grpc::wireOf(Http2& http) {
  for (auto& wire : wires_)
    if (wire->http.get() == &http) return wire.get();
  return nullptr;
}

std::unique_ptr<Link> Grpc::open(const std::string& address, Micros timeLeft, LinkHandler& handler) {
  Wire* wire = nullptr;
  for (auto& one : wires_)
    if (one->address == address && !one->lost && !one->http->dead() &&
        (one->director.empty() || one->http->open()))
      wire = one.get();
  if (wire == nullptr) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return nullptr;
    net::BufferEvent bufferEvent =
        connect_(base_, address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    if (!bufferEvent) return nullptr;
    grpc::Http2Limits limits;
    limits.handshake = std::max<Micros>(100'000, std::min<Micros>(limits.handshake, timeLeft));
    auto made = std::make_unique<Wire>();
    made->address = address;
    made->http = std::make_unique<Http2>(std::move(bufferEvent), *this, limits, false);
    wire = made.get();
    wires_.push_back(std::move(made));
  }
  auto link = std::make_unique<GrpcLink>(*this, wire, handler);
  wire->links.push_back(link.get());
  return link;
}

void Grpc::onOpen(Http2& http) {
  if (Wire* wire = wireOf(http)) askWho(*wire);
}

void Grpc::askWho(Wire& wire) {
  wire.who = wire.http->request({{":method", "POST"},
                                 {":scheme", "http"},
                                 {":authority", wire.address},
                                 {":path", std::string(grpc::whoPath)},
                                 {"content-type", "application/grpc"},
                                 {"te", "trailers"}});
  wire.http->send(wire.who, grpc::lengthPrefixed(""));
  wire.http->end(wire.who);
}

void Grpc::greet(Wire& wire) {
  const std::vector<GrpcLink*> links = wire.links;
  for (GrpcLink* link : links) {
    if (std::find(wire.links.begin(), wire.links.end(), link) == wire.links.end() || link->greeted) continue;
    link->greeted = true;
    link->handler.onHello(wire.director);
  }
}

void Grpc::onHeaders(Http2& http, StreamId stream, const Headers& headers) {
  Wire* wire = wireOf(http);
  if (wire == nullptr || grpc::headerValue(headers, "grpc-status").empty()) return;
  const auto it = wire->byStream.find(stream);
  if (it == wire->byStream.end()) return;
  GrpcLink& link = *it->second;
  const grpc::Trailers trailers = grpc::parseTrailers(headers);
  if (link.over) return;
  // Without a word of the director's own, what became of the ask is not known; an `ended` was told as a
  // message.
  if (!trailers.fromDirector) return link.lose(false);
  link.over = true;
  if (trailers.answer.kind != session_api::AnswerKind::ended) link.handler.onAnswer(trailers.answer);
}

void Grpc::onData(Http2& http, StreamId stream, std::string_view bytes) {
  Wire* wire = wireOf(http);
  if (wire == nullptr) return;
  if (stream == wire->who) {
    wire->whoReader.feed(bytes);
    const auto message = wire->whoReader.next();
    const auto director = message ? grpc::parseWhoReply(*message) : std::nullopt;
    if (!director) return;
    wire->director = *director;
    return greet(*wire);
  }
  const auto it = wire->byStream.find(stream);
  if (it == wire->byStream.end()) return;
  GrpcLink& link = *it->second;
  if (!link.reader.feed(bytes)) return link.lose(false);
  while (!link.over) {
    const auto message = link.reader.next();
    if (!message) return;
    const auto answer = grpc::parseAnswer(*message);
    if (!answer) continue;  // a newer director may say more than this library knows
    // The stream's trailers follow an `ended`; nothing after it matters.
    if (answer->kind == session_api::AnswerKind::ended) link.over = true;
    link.handler.onAnswer(*answer);
  }
}

void Grpc::onStreamClosed(Http2& http, StreamId stream, std::uint32_t code) {
  Wire* wire = wireOf(http);
  if (wire == nullptr) return;
  if (stream == wire->who && wire->director.empty()) {
    wire->lost = true;
    return http.close(NGHTTP2_NO_ERROR);
  }
  const auto it = wire->byStream.find(stream);
  if (it == wire->byStream.end()) return;
  GrpcLink& link = *it->second;
  wire->byStream.erase(it);
  link.lose(code == NGHTTP2_REFUSED_STREAM);
}

void Grpc::onClosed(Http2& http) {
  Wire* wire = wireOf(http);
  if (wire == nullptr) return;
  wire->lost = true;
  const std::vector<GrpcLink*> links = wire->links;
  for (GrpcLink* link : links)
    if (std::find(wire->links.begin(), wire->links.end(), link) != wire->links.end())
      link->lose(link->stream == 0);
}

void Grpc::tick(Micros now) {
  for (std::size_t i = 0; i < wires_.size(); ++i) {
    Wire& wire = *wires_[i];
    wire.http->tick(now);
    if (!wire.director.empty() && !wire.lost) greet(wire);
    const std::vector<GrpcLink*> links = wire.links;
    for (GrpcLink* link : links)
      if (std::find(wire.links.begin(), wire.links.end(), link) != wire.links.end() && link->refused)
        link->lose(true);
  }
  // Freed here, outside of their own callbacks.
  std::erase_if(wires_, [](const auto& wire) {
    if (!wire->lost || !wire->http->dead()) return false;
    for (GrpcLink* link : wire->links) link->wire = nullptr;
    return true;
  });
}

}  // namespace

std::unique_ptr<Transport> makeGrpc(event_base* base, net::Connect connect) {
  return std::make_unique<Grpc>(base, std::move(connect));
}

}  // namespace lupinsill::client
