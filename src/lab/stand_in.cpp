#include "lab/stand_in.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "media/nodes.h"

namespace lupinsill::lab {

struct StandIn::Connection {
  StandIn* owner = nullptr;
  net::BufferEvent bufferEvent;
  media::MessageParser reader;
  std::string director;
  bool dead = false;
  bool drainNoticeSent = false;
  std::vector<media::Message> heldMessages;  // received while the node hangs
};

namespace {

constexpr Micros measurementInterval = 1'000'000;  // of the delivered share
constexpr Micros answerLoadAge = 300'000;          // age of the load that an answer reports
constexpr double fullDelivery = 0.98;              // a lower delivered share is reported
constexpr int setUpAllowance = 2;                  // set-ups that a cold node bears over its capacity
constexpr Micros slowSetUpFactor = 20;

// Titles are named "t0", "t1" and so on.
int titleIndex(const std::string& title) { return std::atoi(title.c_str() + 1); }

// The director's instance name, which stands in parentheses in its User-Agent.
std::string directorOf(std::string_view agent) {
  const std::size_t open = agent.find('('), close = agent.find(')');
  return open == std::string_view::npos || close == std::string_view::npos
             ? std::string()
             : std::string(agent.substr(open + 1, close - open - 1));
}

}  // namespace

StandIn::StandIn(LabContext& context, NodeId number, int inCell, std::string inZone, bool isCold,
                 std::uint64_t seed)
    : node(number),
      cell(inCell),
      zone(std::move(inZone)),
      startedWall(net::wallNow()),
      coldStart(isCold),
      context_(context),
      chance_(seed, 1000 + number) {
  listener_ = net::listenOn(context.base, "127.0.0.1", 0, onAccept, this);
  port_ = net::portOf(listener_.get());
  startedAt_ = context.now();
  context.world->addNode(node, cell, startedAt_, coldStart);
  context.record->starts.push_back(
      {node, startedAt_, context.day->deployment.controlSettings.slotsByKind[0], coldStart});
}
StandIn::~StandIn() = default;

void StandIn::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
  auto& self = *static_cast<StandIn*>(me);
  net::noDelay(fd);
  auto connection = std::make_unique<Connection>();
  connection->owner = &self;
  connection->bufferEvent.reset(
      bufferevent_socket_new(self.context_.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(connection->bufferEvent.get(), onRead, nullptr, onEvent, connection.get());
  bufferevent_enable(connection->bufferEvent.get(), EV_READ | EV_WRITE);
  self.connections_.push_back(std::move(connection));
}

void StandIn::onRead(bufferevent* bufferEvent, void* me) {
  auto& connection = *static_cast<Connection*>(me);
  if (connection.dead) return;
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

void StandIn::onEvent(bufferevent* bufferEvent, short what, void* me) {
  auto& connection = *static_cast<Connection*>(me);
  if (connection.dead || !(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) return;
  onRead(bufferEvent, me);
  if (!connection.dead) connection.owner->drop(connection);
}

void StandIn::drop(Connection& connection) {
  connection.dead = true;
  bufferevent_disable(connection.bufferEvent.get(), EV_READ | EV_WRITE);
  for (auto& session : sessions_)
    if (session->connection == &connection) end(*session);
}

void StandIn::kill() {
  dead_ = true;
  listener_.reset();
  for (auto& session : sessions_) end(*session);
  for (auto& connection : connections_) {
    connection->dead = true;
    connection->bufferEvent.reset();
  }
  context_.world->removeNode(node);
}

void StandIn::drain() {
  faults.draining = true;
  media::Message redirect;
  redirect.method = "REDIRECT";
  redirect.uri = "*";
  redirect.headers = {{"CSeq", "1"}, {"Terminate-Reason", "Server-Admin"}};
  const std::string bytes = redirect.serialize();
  for (auto& connection : connections_) {
    if (connection->dead || connection->drainNoticeSent) continue;
    connection->drainNoticeSent = true;
    evbuffer_add(bufferevent_get_output(connection->bufferEvent.get()), bytes.data(), bytes.size());
  }
}

// Requests are recorded as soon as they are read, also while the node hangs: a hanging process stops
// answering, but its socket still receives.
void StandIn::receive(Connection& connection, const media::Message& message) {
  if (!message.isRequest()) return;
  if (message.method == "SETUP") {
    setUp(connection, message);
    if (dead_) return;
  } else if (message.method == "TEARDOWN") {
    if (Session* session = find(connection, message)) end(*session);
  }
  if (faults.hang)
    connection.heldMessages.push_back(message);
  else
    process(connection, message);
}

void StandIn::setUp(Connection& connection, const media::Message& message) {
  auto session = std::make_unique<Session>();
  media::StreamUri named;
  media::parseStreamUri(message.uri, named);
  const auto& rooms = context_.day->deployment.roomTypes;
  const auto room = std::find(rooms.begin(), rooms.end(), named.roomType);
  session->connection = &connection;
  session->pipelined = message.header("Pipelined-Requests");
  session->viewer = media::percentDecode(message.header("Lupinsill-Viewer"));
  session->title = titleIndex(named.title);
  session->roomType = room == rooms.end() ? 0 : static_cast<int>(room - rooms.begin());
  session->rung = named.rung;
  session->setUpCseq = message.cseq();
  if (connection.director.empty()) connection.director = directorOf(message.header("User-Agent"));
  const Micros now = context_.now();
  audit::SetUpObservation seen;
  seen.at = now;
  seen.node = node;
  seen.director = connection.director;
  seen.subscription = message.header("Lupinsill-Subscription");
  seen.viewer = session->viewer;
  seen.idempotencyKey = media::percentDecode(message.header("Lupinsill-Ask"));
  seen.title = named.title;
  seen.roomType = session->roomType;
  seen.rung = session->rung;
  session->recordIndex = context_.record->setUps.size();
  context_.record->setUps.push_back(std::move(seen));
  context_.record->rungs.push_back({now, session->roomType, session->rung});
  sessions_.push_back(std::move(session));
  if (exceedsColdCapacity(now)) {
    overloaded_ = true;
    context_.record->overloadedNodes.push_back("node " + std::to_string(node) + " at " +
                                               std::to_string(now / 1000) + " ms");
    kill();
  }
}

// Whether more set-ups arrived within the fall time than a cold node can handle at its present warmth.
bool StandIn::exceedsColdCapacity(Micros now) {
  const ControlSettings& terms = context_.day->deployment.controlSettings;
  if (!coldStart || now - startedAt_ > terms.coldTime) return false;
  std::erase_if(recentSetUps_, [&](Micros at) { return at <= now - terms.fallTime; });
  recentSetUps_.push_back(now);
  const double capacity = terms.slotsByKind[0] * context_.world->warmth(node, now) *
                          static_cast<double>(terms.fallTime) / static_cast<double>(terms.coldTime) *
                          terms.overloadFactor;
  return static_cast<double>(recentSetUps_.size()) > capacity + setUpAllowance;
}

StandIn::Session* StandIn::find(const Connection& connection, const media::Message& message) {
  const std::string_view id = message.header("Session"), pipelined = message.header("Pipelined-Requests");
  for (auto it = sessions_.rbegin(); it != sessions_.rend(); ++it) {
    Session& s = **it;
    if (s.connection == &connection && !s.ended &&
        ((!id.empty() && s.id == id) || (id.empty() && s.pipelined == pipelined)))
      return &s;
  }
  return nullptr;
}

void StandIn::process(Connection& connection, const media::Message& message) {
  if (connection.dead) return;
  Session* session = find(connection, message);
  if (message.method == "TEARDOWN") return answer(connection, 200, message.cseq(), "", true);
  if (session == nullptr) return answer(connection, 454, message.cseq(), "", false);
  if (message.method == "SETUP") return startSetUp(*session);
  if (message.method == "PLAY") {
    session->playCseq = message.cseq();
    return;
  }
  if (message.method == "SET_PARAMETER") {
    const std::size_t at = message.body.find("rung:");
    if (at != std::string::npos) {
      session->rung = std::atoi(message.body.c_str() + at + 5);
      context_.record->rungs.push_back({context_.now(), session->roomType, session->rung});
      if (session->stream != 0) context_.world->setRung(session->stream, session->rung);
    }
    return answer(connection, 200, message.cseq(), session->id, true);
  }
  answer(connection, 501, message.cseq(), "", false);
}

void StandIn::startSetUp(Session& session) {
  audit::SetUpObservation& seen = context_.record->setUps[session.recordIndex];
  const ControlSettings& terms = context_.day->deployment.controlSettings;
  int status = 0;
  if (faults.draining) status = 503;
  if (status == 0 && context_.world->streams(node) >= static_cast<std::size_t>(terms.slotsByKind[0]))
    status = 453;
  if (status == 0 && terms.refusalThreshold > 0 &&
      context_.world->load(node, 0).link >= terms.refusalThreshold)
    status = 453;
  if (status == 0 && chance_.withProbability(faults.failShare)) status = 500;
  if (status != 0) {
    if (status != 500) seen.refusedAt = context_.now();
    seen.answeredAt = context_.now();
    answer(*session.connection, status, session.setUpCseq, "", true);
    return end(session);
  }
  Micros setUpTime = chance_.duration(context_.day->minSetUpTime, context_.day->maxSetUpTime);
  if (chance_.withProbability(faults.slowShare)) setUpTime *= slowSetUpFactor;
  session.streamStartsAt = context_.now() + setUpTime;
}

void StandIn::startStream(Session& session) {
  const Micros now = context_.now();
  audit::SetUpObservation& seen = context_.record->setUps[session.recordIndex];
  session.started = true;
  seen.ranAt = now;
  session.id = std::to_string(node) + "-" + std::to_string(++nextSession_);
  session.endsAt = now + context_.remainingLength(session.viewer);
  session.stream =
      context_.world->startStream(node, std::atoi(session.viewer.c_str() + 1), session.roomType, session.rung,
                                  session.title, context_.metJoinObjective(session.viewer, session.roomType));
  if (faults.loseAnswers) return;
  seen.answeredAt = now;
  answer(*session.connection, 200, session.setUpCseq, session.id, true);
  if (session.playCseq >= 0) answer(*session.connection, 200, session.playCseq, session.id, true);
}

void StandIn::end(Session& session) {
  if (session.ended) return;
  session.ended = true;
  context_.record->setUps[session.recordIndex].endedAt = context_.now();
  if (session.stream != 0) context_.world->stopStream(session.stream);
}

LoadReport StandIn::report(Micros late) const {
  const model::NodeLoad load = context_.world->load(node, late + context_.extraReportDelay);
  LoadReport loadReport;
  loadReport.linkUse = load.link;
  if (context_.day->deployment.controlSettings.uplinksReported) loadReport.uplinkUse = load.uplink;
  return loadReport;
}

void StandIn::answer(Connection& connection, int status, long long cseq, const std::string& session,
                     bool load) {
  if (connection.dead || faults.loseAnswers) return;
  media::Message reply;
  reply.status = status;
  reply.headers.emplace_back("CSeq", std::to_string(cseq));
  if (!session.empty()) reply.headers.emplace_back("Session", session + ";timeout=60");
  if (load) reply.headers.emplace_back("Endpoint-Load-Metrics", media::formatOrca(report(answerLoadAge)));
  const std::string bytes = reply.serialize();
  evbuffer_add(bufferevent_get_output(connection.bufferEvent.get()), bytes.data(), bytes.size());
}

void StandIn::notify(Session& session, const char* reason, const LoadReport& loadReport,
                     std::optional<double> delivered) {
  Connection& connection = *session.connection;
  if (connection.dead || faults.loseAnswers || faults.hang) return;
  media::Message message;
  message.method = "PLAY_NOTIFY";
  message.uri = "*";
  message.headers = {{"CSeq", "1"},
                     {"Session", session.id},
                     {"Notify-Reason", reason},
                     {"Endpoint-Load-Metrics", media::formatOrca(loadReport, delivered)}};
  const std::string bytes = message.serialize();
  evbuffer_add(bufferevent_get_output(connection.bufferEvent.get()), bytes.data(), bytes.size());
}

void StandIn::sendMeasurements(Micros now) {
  const ControlSettings& terms = context_.day->deployment.controlSettings;
  const bool measurementDue = now - measuredAt_ >= measurementInterval;
  const bool reportDue = terms.reportInterval > 0 && now - reportedAt_ >= terms.reportInterval;
  if (!measurementDue && !reportDue) return;
  const double delivered = context_.world->load(node, terms.seenAfter + context_.extraReportDelay).delivered;
  const bool underDelivering = delivered < fullDelivery;
  for (auto& connection : connections_) {
    if (connection->dead) continue;
    const auto playing = std::find_if(sessions_.begin(), sessions_.end(), [&](const auto& s) {
      return s->connection == connection.get() && s->started && !s->ended;
    });
    if (playing == sessions_.end()) continue;
    if (measurementDue && (underDelivering || wasUnderDelivering_))
      notify(**playing, "media-properties-update", {}, delivered);
    if (reportDue) notify(**playing, "media-properties-update", report(terms.seenAfter), std::nullopt);
  }
  if (measurementDue) measuredAt_ = now, wasUnderDelivering_ = underDelivering;
  if (reportDue) reportedAt_ = now;
}

void StandIn::tick() {
  if (dead_) return;
  const Micros now = context_.now();
  if (!faults.hang) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      Connection& connection = *connections_[i];
      const std::vector<media::Message> held = std::move(connection.heldMessages);
      connection.heldMessages.clear();
      for (const media::Message& message : held) process(connection, message);
    }
    for (std::size_t i = 0; i < sessions_.size(); ++i) {
      Session& session = *sessions_[i];
      if (session.ended) continue;
      if (!session.started && session.streamStartsAt != 0 && now >= session.streamStartsAt)
        startStream(session);
      if (session.started && now >= session.endsAt) {
        notify(session, "end-of-stream", report(0), std::nullopt);
        end(session);
      }
    }
    sendMeasurements(now);
  }
  std::erase_if(sessions_, [](const auto& s) { return s->ended; });
  std::erase_if(connections_, [](const auto& c) { return c->dead; });
}

}  // namespace lupinsill::lab
