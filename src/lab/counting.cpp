#include "lab/counting.h"

#include <algorithm>
#include <set>

#include "media/nodes.h"

namespace lupinsill::lab {

struct CountingNodes::Connection {
  CountingNodes* owner = nullptr;
  net::BufferEvent bufferEvent;
  media::MessageParser reader;
  std::set<std::string> unansweredSessions;  // by the value of Pipelined-Requests
  bool dead = false;
};

CountingNodes::CountingNodes(event_base* base, int count, KillHandler killHandler)
    : base_(base), killHandler_(std::move(killHandler)) {
  for (int i = 0; i < count; ++i) listeners_.push_back(net::listenOn(base, "127.0.0.1", 0, onAccept, this));
}
CountingNodes::~CountingNodes() = default;

std::string CountingNodes::list(int version) const {
  std::string out = "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"" + std::to_string(version) + "\">";
  for (std::size_t i = 0; i < listeners_.size(); ++i)
    out += "<node id=\"" + std::to_string(i + 1) +
           "\" address=\"127.0.0.1:" + std::to_string(net::portOf(listeners_[i].get())) +
           "\" kind=\"two-core\" zone=\"zone0\" cell=\"0\"/>";
  return out + "</nodes>\n";
}

void CountingNodes::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
  auto& nodes = *static_cast<CountingNodes*>(me);
  net::noDelay(fd);
  std::erase_if(nodes.connections_, [](const auto& c) { return c->dead; });
  auto connection = std::make_unique<Connection>();
  connection->owner = &nodes;
  connection->bufferEvent = net::acceptPlain(nodes.base_, fd);
  if (!connection->bufferEvent) return;
  bufferevent_setcb(connection->bufferEvent.get(), onRead, nullptr, onEvent, connection.get());
  bufferevent_enable(connection->bufferEvent.get(), EV_READ | EV_WRITE);
  nodes.connections_.push_back(std::move(connection));
}

void CountingNodes::onEvent(bufferevent* bufferEvent, short what, void* me) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  static_cast<Connection*>(me)->dead = true;
  bufferevent_disable(bufferEvent, EV_READ | EV_WRITE);
}

void CountingNodes::onRead(bufferevent* bufferEvent, void* me) {
  auto& connection = *static_cast<Connection*>(me);
  evbuffer* input = bufferevent_get_input(bufferEvent);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  connection.reader.feed(bytes);
  while (!connection.dead) {
    const auto message = connection.reader.next();
    if (!message) return;
    connection.owner->receive(connection, *message);
  }
}

void CountingNodes::receive(Connection& connection, const media::Message& message) {
  if (!message.isRequest()) return;
  const std::string pipelined(message.header("Pipelined-Requests"));
  media::Message reply;
  reply.status = 200;
  reply.headers = {{"CSeq", std::string(message.header("CSeq"))}};
  if (message.method == "SETUP") {
    media::StreamUri named;
    if (!media::parseStreamUri(message.uri, named)) return;
    ++setUps_[named.title];
    const std::string plan = named.title.substr(0, named.title.find('.'));
    const std::string key = media::percentDecode(message.header("Lupinsill-Ask"));
    if (plan == "drop") connection.unansweredSessions.insert(pipelined);
    if (plan == "cut") {
      connection.dead = true;
      connection.bufferEvent.reset();
      return;
    }
    if (plan.ends_with("-at-node") && setUps_[named.title] == 1) {
      connection.unansweredSessions.insert(pipelined);
      killHandler_(key.substr(0, key.find(':')), plan.starts_with("wipe"));
    }
    if (plan == "err" || plan == "lose-err") reply.status = 500;
    reply.headers.emplace_back("Session", "s" + std::to_string(++nextSession_));
  } else if (!message.header("Session").empty()) {
    reply.headers.emplace_back("Session", std::string(message.header("Session")));
  }
  if (!pipelined.empty() && connection.unansweredSessions.contains(pipelined)) return;
  const std::string bytes = reply.serialize();
  evbuffer_add(bufferevent_get_output(connection.bufferEvent.get()), bytes.data(), bytes.size());
}

}  // namespace lupinsill::lab
