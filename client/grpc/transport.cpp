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

constexpr std::size_t maxMessageBytes = 65536;
constexpr Micros minHandshakeTimeout = 100'000;

class GrpcLink;

// An HTTP/2 connection to a director and the links on it.
struct Connection {
  std::string address;
  std::unique_ptr<Http2> http;
  std::string director;  // the director's name; empty until its Who reply has arrived
  StreamId whoStream = 0;
  grpc::Reader whoReader{maxMessageBytes};
  bool lost = false;             // closing or closed: takes no further links
  std::vector<GrpcLink*> links;  // in the order of creation
  std::map<StreamId, GrpcLink*> byStream;
};

// Opens links as streams on shared connections, one connection for each director address.
class GrpcTransport final : public Transport, public Http2::Handler {
 public:
  GrpcTransport(event_base* base, net::Connect connect) : base_(base), connect_(std::move(connect)) {}
  ~GrpcTransport() override;
  std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkHandler& handler) override;
  void tick(Micros now) override;
  // Detaches a link that is being destroyed and resets its stream if that is still open.
  void removeLink(GrpcLink& link);

 private:
  void onOpen(Http2& http) override;
  void onHeaders(Http2& http, StreamId stream, const Headers& headers) override;
  void onData(Http2& http, StreamId stream, std::string_view bytes) override;
  void onEnd(Http2&, StreamId) override {}
  void onStreamClosed(Http2& http, StreamId stream, std::uint32_t code) override;
  void onClosed(Http2& http) override;
  Connection* connectionOf(Http2& http);
  // Asks the director for its name.
  void sendWho(Connection& connection);
  // Reports the director's name to the links that do not know it yet.
  void reportHello(Connection& connection);

  event_base* base_;
  net::Connect connect_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// One Play stream. Waits on its connection until the director has named itself and the request is sent.
class GrpcLink final : public Link {
 public:
  GrpcLink(GrpcTransport& owner, Connection* on, LinkHandler& receiver)
      : connection(on), handler(receiver), owner_(owner) {}
  ~GrpcLink() override { owner_.removeLink(*this); }

  void sendPlay(const session_api::PlayMessage& message) override {
    if (connection == nullptr || stream != 0) return;
    stream = connection->http->request({{":method", "POST"},
                                        {":scheme", "http"},
                                        {":authority", connection->address},
                                        {":path", std::string(grpc::playPath)},
                                        {"content-type", "application/grpc"},
                                        {"te", "trailers"}});
    if (stream == 0) {
      refused = true;  // the connection takes no further streams: reported by the next tick
      return;
    }
    connection->byStream[stream] = this;
    connection->http->send(stream, grpc::framed(grpc::bytesOf(message)));
  }
  void leave() override {
    if (connection == nullptr || stream == 0) return;
    connection->http->send(stream, grpc::framed(grpc::leaveBytes()));
    connection->http->end(stream);
  }
  bool flushed() const override { return connection == nullptr || connection->http->flushed(); }

  void reportLost(bool unread) {
    if (finished) return;
    finished = true;
    handler.onLost(unread);
  }

  Connection* connection;
  LinkHandler& handler;
  StreamId stream = 0;
  grpc::Reader reader{maxMessageBytes};
  bool helloReported = false;
  bool refused = false;   // its stream could not be opened
  bool finished = false;  // its last event has been reported

 private:
  GrpcTransport& owner_;
};

GrpcTransport::~GrpcTransport() {
  for (auto& connection : connections_) {
    for (GrpcLink* link : connection->links) link->connection = nullptr;
    connection->http->abort();
  }
}

void GrpcTransport::removeLink(GrpcLink& link) {
  Connection* connection = link.connection;
  if (connection == nullptr) return;
  std::erase(connection->links, &link);
  if (link.stream == 0) return;
  connection->byStream.erase(link.stream);
  if (!link.finished) connection->http->reset(link.stream, NGHTTP2_CANCEL);
}

Connection* GrpcTransport::connectionOf(Http2& http) {
  for (auto& connection : connections_)
    if (connection->http.get() == &http) return connection.get();
  return nullptr;
}

std::unique_ptr<Link> GrpcTransport::open(const std::string& address, Micros timeLeft, LinkHandler& handler) {
  Connection* connection = nullptr;
  for (auto& candidate : connections_)
    if (candidate->address == address && !candidate->lost && !candidate->http->dead() &&
        (candidate->director.empty() || candidate->http->open()))
      connection = candidate.get();
  if (connection == nullptr) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) return nullptr;
    net::BufferEvent bufferEvent =
        connect_(base_, address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    if (!bufferEvent) return nullptr;
    grpc::Http2Limits limits;
    limits.handshake = std::max(Micros{minHandshakeTimeout}, std::min<Micros>(limits.handshake, timeLeft));
    auto created = std::make_unique<Connection>();
    created->address = address;
    created->http = std::make_unique<Http2>(std::move(bufferEvent), *this, limits, false);
    connection = created.get();
    connections_.push_back(std::move(created));
  }
  auto link = std::make_unique<GrpcLink>(*this, connection, handler);
  connection->links.push_back(link.get());
  return link;
}

void GrpcTransport::onOpen(Http2& http) {
  if (Connection* connection = connectionOf(http)) sendWho(*connection);
}

void GrpcTransport::sendWho(Connection& connection) {
  connection.whoStream = connection.http->request({{":method", "POST"},
                                                   {":scheme", "http"},
                                                   {":authority", connection.address},
                                                   {":path", std::string(grpc::whoPath)},
                                                   {"content-type", "application/grpc"},
                                                   {"te", "trailers"}});
  connection.http->send(connection.whoStream, grpc::framed(""));
  connection.http->end(connection.whoStream);
}

void GrpcTransport::reportHello(Connection& connection) {
  const std::vector<GrpcLink*> links = connection.links;
  for (GrpcLink* link : links) {
    if (std::find(connection.links.begin(), connection.links.end(), link) == connection.links.end() ||
        link->helloReported)
      continue;
    link->helloReported = true;
    link->handler.onHello(connection.director);
  }
}

void GrpcTransport::onHeaders(Http2& http, StreamId stream, const Headers& headers) {
  Connection* connection = connectionOf(http);
  if (connection == nullptr || grpc::valueOf(headers, "grpc-status").empty()) return;
  const auto it = connection->byStream.find(stream);
  if (it == connection->byStream.end()) return;
  GrpcLink& link = *it->second;
  const grpc::Trailers trailers = grpc::readTrailers(headers);
  if (link.finished) return;
  // Trailers that a director did not write leave the outcome of the request unknown.
  if (!trailers.ours) return link.reportLost(false);
  link.finished = true;
  // An `ended` was reported already, from its message.
  if (trailers.answer.kind != session_api::AnswerKind::ended) link.handler.onAnswer(trailers.answer);
}

void GrpcTransport::onData(Http2& http, StreamId stream, std::string_view bytes) {
  Connection* connection = connectionOf(http);
  if (connection == nullptr) return;
  if (stream == connection->whoStream) {
    connection->whoReader.feed(bytes);
    const auto message = connection->whoReader.next();
    const auto director = message ? grpc::readWhoReply(*message) : std::nullopt;
    if (!director) return;
    connection->director = *director;
    return reportHello(*connection);
  }
  const auto it = connection->byStream.find(stream);
  if (it == connection->byStream.end()) return;
  GrpcLink& link = *it->second;
  if (!link.reader.feed(bytes)) return link.reportLost(false);
  while (!link.finished) {
    const auto message = link.reader.next();
    if (!message) return;
    const auto answer = grpc::readAnswer(*message);
    if (!answer) continue;  // a newer director may send messages that this library does not know
    // Only the stream's trailers follow an `ended`, and they add nothing.
    if (answer->kind == session_api::AnswerKind::ended) link.finished = true;
    link.handler.onAnswer(*answer);
  }
}

void GrpcTransport::onStreamClosed(Http2& http, StreamId stream, std::uint32_t code) {
  Connection* connection = connectionOf(http);
  if (connection == nullptr) return;
  if (stream == connection->whoStream && connection->director.empty()) {
    connection->lost = true;
    return http.close(NGHTTP2_NO_ERROR);
  }
  const auto it = connection->byStream.find(stream);
  if (it == connection->byStream.end()) return;
  GrpcLink& link = *it->second;
  connection->byStream.erase(it);
  // REFUSED_STREAM proves that the request was not processed (RFC 9113).
  link.reportLost(code == NGHTTP2_REFUSED_STREAM);
}

void GrpcTransport::onClosed(Http2& http) {
  Connection* connection = connectionOf(http);
  if (connection == nullptr) return;
  connection->lost = true;
  // A link without a stream never sent its request.
  const std::vector<GrpcLink*> links = connection->links;
  for (GrpcLink* link : links)
    if (std::find(connection->links.begin(), connection->links.end(), link) != connection->links.end())
      link->reportLost(link->stream == 0);
}

void GrpcTransport::tick(Micros now) {
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    Connection& connection = *connections_[i];
    connection.http->tick(now);
    if (!connection.director.empty() && !connection.lost) reportHello(connection);
    const std::vector<GrpcLink*> links = connection.links;
    for (GrpcLink* link : links)
      if (std::find(connection.links.begin(), connection.links.end(), link) != connection.links.end() &&
          link->refused)
        link->reportLost(true);
  }
  // Connections are destroyed here, outside of their own callbacks.
  std::erase_if(connections_, [](const auto& connection) {
    if (!connection->lost || !connection->http->dead()) return false;
    for (GrpcLink* link : connection->links) link->connection = nullptr;
    return true;
  });
}

}  // namespace

std::unique_ptr<Transport> makeGrpc(event_base* base, net::Connect connect) {
  return std::make_unique<GrpcTransport>(base, std::move(connect));
}

}  // namespace lupinsill::client
