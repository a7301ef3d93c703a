#include "platform/run.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

#include "director/log.h"
#include "discovery/dns.h"
#include "fleet/list_poller.h"
#include "fleet/membership.h"
#include "fleet/node_id_registry.h"
#include "net/event_loop.h"
#include "net/handles.h"
#include "platform/configuration.h"
#include "platform/nodes.h"
#include "platform/viewers.h"
#include "session/front.h"

namespace lupinsill::platform {
namespace {

using director::Level;
using director::log;

constexpr const char* serviceName = "_api._tcp.svc.local";
constexpr Micros housekeepingInterval = 25'000;
// New requests still arrive for this long after SIGTERM and are answered.
constexpr Micros shutdownMinimum = 1'200'000;
// SIGKILL follows SIGTERM after the longest client timeout, at most maxCountedTimeout, plus killMargin.
constexpr Micros maxCountedTimeout = 3'000'000;
constexpr Micros killMargin = 700'000;
constexpr Micros finalAnswerMargin = 100'000;  // between the last answers and that time
// The process exits only after it has been idle for this long: closing a connection with unread bytes resets
// it, and the peer may then lose the answer sent before.
constexpr Micros quietPeriod = 100'000;
constexpr Micros statisticsInterval = 5'000'000;
// A list that keeps a smaller share of the ready nodes may be faulty: it takes effect only if it is confirmed
// for half of the drain grace.
constexpr double minKeptShare = 0.1;
// For the event loop, the name server, the log and connections that are being closed.
constexpr std::size_t reservedSockets = 24;

// Connects viewers, media nodes and the name server to session::Front.
class Director final : public Viewers::Handler, public Nodes::Handler {
 public:
  Director(const std::string& file, const std::string& logLevel);
  int loop();

 private:
  void onRequest(Call& call, session::PlayRequest request) override;
  void onAdopted(Call& call, session::PlayRequest request, const std::string& node) override;
  void onLeave(const Call& call) override { front_.leave(call.callId); }
  bool isReady() override { return !stopping_ && !membership_.endpoints().empty(); }
  bool mayWrite(session::JoinId join) override { return front_.mayWrite(net::unixNow(), join); }
  void joinStarted(session::JoinId join, const std::string& description) override {
    front_.joinStarted(join, description);
  }
  void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report, bool finished) override {
    front_.joinEnded(join, outcome, report, finished);
  }
  void measured(session::JoinId join, MeasurementKind kind, double value) override {
    front_.measured(join, kind, value);
  }
  bool acceptsAdoptions() override { return viewers_->acceptsAdoptions(); }

  // Carries out a command of the front.
  void execute(const session::Command& command);
  void processTurn();
  fleet::NodeList makeNodeList(std::uint64_t version, const std::vector<discovery::NodeRecord>& nodes);
  // Informs the front and the nodes of an applied list.
  void listApplied(Micros now, fleet::UpdateResult result, ListUpdate update);
  void connectResolver(const HostPort& resolver);
  void queryList(Micros now);
  void readListAnswers();
  void reload();
  bool mayExit(Micros now);
  void logStatistics(Level level);
  static void onSignal(evutil_socket_t signal, short, void* self);
  static void onListAnswer(evutil_socket_t, short, void* self) {
    static_cast<Director*>(self)->readListAnswers();
  }

  std::string file_;
  Configuration configuration_;
  net::EventLoop eventLoop_;
  fleet::Membership membership_;
  fleet::ListPoller listPoller_;
  session::Front front_;
  Nodes nodes_;
  std::unique_ptr<Viewers> viewers_;
  net::Event resolverEvent_;
  std::vector<net::Event> signals_;
  // Owns a file descriptor.
  struct Descriptor {
    int fd = -1;
    ~Descriptor() { reset(-1); }
    void reset(int newFd) {
      if (fd >= 0) close(fd);
      fd = newFd;
    }
  } resolverSocket_;
  // Counters since start.
  struct ListStatistics {
    std::uint64_t queries = 0;
    std::uint64_t matchedAnswers = 0;
    std::uint64_t ignoredAnswers = 0;  // malformed, a failure, or to no outstanding query
  } listStatistics_;
  fleet::NodeIdRegistry nodeIds_;
  std::vector<session::Command> commands_;
  Micros lastHousekeeping_ = 0;
  Micros lastStatistics_ = 0;
  Micros exitFrom_ = 0;      // while stopping: earliest time to exit
  Micros exitBy_ = 0;        // while stopping: time to exit even with work left
  Micros allDoneSince_ = 0;  // while stopping: since when no work has been left; 0: some is
  bool stopping_ = false;
};

session::Limits sessionLimits(const Configuration& configuration) {
  session::Limits limits;
  limits.grace = configuration.drainGrace;
  limits.answerMargin = 10'000;  // delivery time of an answer
  limits.stallThreshold = 300'000;
  limits.maxOpen = 4'000;
  limits.maxKeys = 1'000;  // unused: requests on this platform have no idempotency key
  limits.maxSubscriptions = 50'000;
  limits.minTimeLeft = 0;
  return limits;
}

// Returns 45 % of the usable descriptors. Genuine viewers need at most a third; the margin absorbs idle
// connections of others. The rest is for media nodes.
std::size_t viewerConnectionLimit(std::size_t sockets) { return (sockets - reservedSockets) * 9 / 20; }

Director::Director(const std::string& file, const std::string& logLevel)
    : file_(file),
      configuration_(readConfiguration(file)),
      membership_(configuration_.settings.cells, minKeptShare, configuration_.drainGrace),
      listPoller_(configuration_.seed),
      front_(configuration_.settings, sessionLimits(configuration_),
             std::make_unique<session::ControlDecider>(configuration_.settings, configuration_.seed)),
      nodes_(eventLoop_.base(), *this,
             {configuration_.maxSockets - reservedSockets - viewerConnectionLimit(configuration_.maxSockets),
              configuration_.connectTimeout}) {
  director::setUpLog(logLevel, "text", configuration_.name);
  traceMessages(logLevel == "debug");
  front_.listUpdated(
      membership_.restore(makeNodeList(configuration_.listVersion, configuration_.knownNodes)));
  connectResolver(configuration_.resolver);
  viewers_ = std::make_unique<Viewers>(
      eventLoop_.base(), *this, configuration_.listen.host, configuration_.listen.port, configuration_.names,
      configuration_.settings, Viewers::Limits{viewerConnectionLimit(configuration_.maxSockets)});
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(eventLoop_.base(), signal, onSignal, this));
    event_add(signals_.back().get(), nullptr);
  }
  std::signal(SIGPIPE, SIG_IGN);
  log(Level::info, "listening",
      {{"port", std::to_string(viewers_->port())},
       {"nodes", std::to_string(membership_.endpoints().size())}});
}

// ---- node list ----

fleet::NodeList Director::makeNodeList(std::uint64_t version,
                                       const std::vector<discovery::NodeRecord>& nodes) {
  fleet::NodeList list;
  list.version = version;
  for (const discovery::NodeRecord& node : nodes) {
    fleet::NodeEndpoint endpoint;
    endpoint.node = nodeIds_.idOf(node.name);
    endpoint.host = node.host;
    endpoint.port = node.port;
    endpoint.state = node.draining ? NodeState::draining : NodeState::ready;
    endpoint.kind = control_settings::indexOf(configuration_.names.kinds, node.kind);
    endpoint.cell = node.cell;
    endpoint.weight = node.weight;
    endpoint.zone = node.zone;
    endpoint.readyAt = node.startedMs * 1000;
    list.endpoints.push_back(std::move(endpoint));
  }
  return list;
}

void Director::listApplied(Micros now, fleet::UpdateResult result, ListUpdate update) {
  nodeIds_.retain(membership_.endpoints());
  if (result != fleet::UpdateResult::applied && result != fleet::UpdateResult::tooMuchGone) return;
  log(Level::debug, "list",
      {{"version", std::to_string(membership_.version())},
       {"changes", std::to_string(update.entries.size())},
       {"taken", nameOf(result)}});
  nodes_.listUpdated(membership_, now);
  if (!update.entries.empty() || update.kind == ListKind::snapshot) front_.listUpdated(std::move(update));
}

// The old socket is replaced only once the new one is usable; without a socket no list would arrive any more.
void Director::connectResolver(const HostPort& resolver) {
  Descriptor newSocket;
  newSocket.reset(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(resolver.port));
  // A connected UDP socket receives only from this address.
  if (newSocket.fd < 0 || inet_pton(AF_INET, resolver.host.c_str(), &address.sin_addr) != 1 ||
      connect(newSocket.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    return log(Level::error, "resolver-unusable", {{"address", resolver.host}});
  resolverEvent_.reset();
  resolverSocket_.reset(std::exchange(newSocket.fd, -1));
  listPoller_.serverMoved(net::unixNow());
  resolverEvent_.reset(
      event_new(eventLoop_.base(), resolverSocket_.fd, EV_READ | EV_PERSIST, onListAnswer, this));
  event_add(resolverEvent_.get(), nullptr);
}

void Director::queryList(Micros now) {
  if (now < listPoller_.due()) return;
  const std::string query = discovery::buildQuery(listPoller_.nextQuery(now), serviceName);
  ++listStatistics_.queries;
  // A query that cannot be sent is repeated by the poller like one that was lost.
  if (send(resolverSocket_.fd, query.data(), query.size(), MSG_DONTWAIT) < 0) return;
}

void Director::readListAnswers() {
  std::array<char, 16 * 1024> bytes;
  while (true) {
    const ssize_t size = recv(resolverSocket_.fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0) return;
    const auto answer = discovery::parseAnswer({bytes.data(), static_cast<std::size_t>(size)}, serviceName);
    const Micros now = net::unixNow();
    if (!answer || !listPoller_.matchAnswer(now, answer->queryId)) {
      ++listStatistics_.ignoredAnswers;
      continue;
    }
    ++listStatistics_.matchedAnswers;
    ListUpdate update;
    const fleet::UpdateResult outcome =
        membership_.apply(now, makeNodeList(answer->serial, answer->nodes), update);
    if (outcome != fleet::UpdateResult::older) listPoller_.answered(now);
    listApplied(now, outcome, std::move(update));
  }
}

// ---- requests and answers ----

void Director::onRequest(Call&, session::PlayRequest request) { front_.submit(std::move(request)); }

void Director::onAdopted(Call& call, session::PlayRequest request, const std::string& node) {
  const std::optional<NodeId> nodeId = nodeIds_.find(node);
  const fleet::NodeEndpoint* endpoint = nodeId ? membership_.find(*nodeId) : nullptr;
  if (endpoint == nullptr) return viewers_->ended(call.callId, false);  // its node is no longer listed
  const session::JoinId join = front_.adopt(std::move(request), endpoint->node);
  nodes_.adopt(join, *endpoint, call);
}

void Director::execute(const session::Command& command) {
  if (const auto* playing = std::get_if<session::Playing>(&command)) {
    viewers_->playing(playing->callId, playing->answer);
  } else if (const auto* throttled = std::get_if<session::Throttled>(&command)) {
    viewers_->throttled(throttled->callId, throttled->retryAfter);
  } else if (const auto* terminated = std::get_if<session::Terminated>(&command)) {
    viewers_->terminated(terminated->callId);
  } else if (const auto* end = std::get_if<session::Ended>(&command)) {
    viewers_->ended(end->callId, end->reason == session::EndReason::finished);
  } else if (const auto* setUp = std::get_if<session::SetUp>(&command)) {
    const fleet::NodeEndpoint* endpoint = membership_.find(setUp->node);
    Call* call = viewers_->find(setUp->callId);
    if (call == nullptr) return front_.joinEnded(setUp->join, Outcome::notSent, {}, false);
    if (endpoint == nullptr) return front_.joinEnded(setUp->join, Outcome::connectFailed, {}, false);
    call->mayHaveRun = true;
    nodes_.setUp(*setUp, *endpoint, *call);
  } else if (const auto* change = std::get_if<session::ChangeRung>(&command)) {
    nodes_.changeRung(*change);
  } else if (const auto* down = std::get_if<session::TearDown>(&command)) {
    nodes_.tearDown(down->join);
  } else if (const auto* withdraw = std::get_if<session::Withdraw>(&command)) {
    nodes_.withdraw(withdraw->join);
  } else if (std::holds_alternative<session::StartListWatch>(command)) {
    listPoller_.serverMoved(net::unixNow());
  }
}

void Director::processTurn() {
  const Micros now = net::unixNow();
  if (now < front_.due()) return;
  commands_.clear();
  front_.processTurn(now, commands_);
  for (const session::Command& command : commands_) execute(command);
}

// ---- the process ----

void Director::onSignal(evutil_socket_t signal, short, void* self) {
  auto& director = *static_cast<Director*>(self);
  if (signal == SIGHUP) return director.reload();
  if (director.stopping_) return;
  director.stopping_ = true;
  const Micros now = net::unixNow();
  director.exitFrom_ = now + shutdownMinimum;
  const Micros longest = director.configuration_.longestClientTimeout;
  director.exitBy_ =
      now + (longest > 0 ? std::min(longest, maxCountedTimeout) : maxCountedTimeout) + killMargin;
  director.front_.setAnswerDeadline(director.exitBy_ - finalAnswerMargin);
  log(Level::info, "stopping");
}

void Director::reload() {
  try {
    Configuration nextConfiguration = readConfiguration(file_);
    connectResolver(nextConfiguration.resolver);
    // The list in the file may be newer than the known one, and the new name server may not answer yet.
    if (nextConfiguration.listVersion > membership_.version()) {
      const Micros now = net::unixNow();
      ListUpdate update;
      const fleet::UpdateResult outcome = membership_.apply(
          now, makeNodeList(nextConfiguration.listVersion, nextConfiguration.knownNodes), update);
      listApplied(now, outcome, std::move(update));
    }
    log(Level::info, "reloaded",
        {{"resolver",
          nextConfiguration.resolver.host + ":" + std::to_string(nextConfiguration.resolver.port)}});
  } catch (const control_settings::InvalidInput& error) {
    log(Level::error, "reload-refused", {{"why", error.what()}});
  }
}

void Director::logStatistics(Level level) {
  const session::Statistics sessionStatistics = front_.statistics();
  const Viewers::Statistics viewerStatistics = viewers_->statistics();
  const Nodes::Statistics nodeStatistics = nodes_.statistics();
  std::string heldByRule;
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    if (sessionStatistics.guardViolations[i] != 0)
      heldByRule += std::string(heldByRule.empty() ? "" : ",") + nameOf(static_cast<session::Rule>(i)) + ":" +
                    std::to_string(sessionStatistics.guardViolations[i]);
  const auto text = [](std::uint64_t value) { return std::to_string(value); };
  log(level, "figures",
      {{"asks", text(sessionStatistics.asks)},
       {"playing", text(sessionStatistics.playing)},
       {"throttled", text(sessionStatistics.throttled)},
       {"terminated", text(sessionStatistics.terminated)},
       {"joins", text(sessionStatistics.joins)},
       {"lost", text(sessionStatistics.nodeLost)},
       {"open", text(sessionStatistics.open)},
       {"plays", text(sessionStatistics.plays)},
       {"held", heldByRule},
       {"late", text(sessionStatistics.stalls)},
       {"peers", text(viewerStatistics.connections)},
       {"calls", text(viewerStatistics.calls)},
       {"useless", text(viewerStatistics.invalidRequests)},
       {"unreadable", text(viewerStatistics.invalidMessages)},
       {"turned-away", text(viewerStatistics.connectionsRefused)},
       {"floods", text(viewerStatistics.flowLimited)},
       {"said-again", text(viewerStatistics.retransmits)},
       {"wires", text(nodeStatistics.connections)},
       {"connects", text(nodeStatistics.connects)},
       {"failed", text(nodeStatistics.connectsFailed)},
       {"broken", text(nodeStatistics.connectionsLost)},
       {"spoilt", text(nodeStatistics.invalidMessages)},
       {"passed-over", text(nodeStatistics.ignoredMessages)},
       {"early-releases", text(nodeStatistics.earlyReleases)},
       {"early-releases-matched", text(nodeStatistics.earlyReleasesMatched)},
       {"orphans", text(nodeStatistics.releasedOrphans)},
       {"vanished", text(nodeStatistics.nodesLost)},
       {"node-joins", text(nodeStatistics.joins)},
       {"list-queries", text(listStatistics_.queries)},
       {"list-answers", text(listStatistics_.matchedAnswers)},
       {"list-ignored", text(listStatistics_.ignoredAnswers)},
       {"version", text(membership_.version())}});
}

// Exits only once every request is answered and every message to viewers and nodes has been sent, or when the
// time is up.
bool Director::mayExit(Micros now) {
  const bool allDone = front_.statistics().open == 0 && viewers_->allSent() && nodes_.allSent();
  if (!allDone) allDoneSince_ = 0;
  if (allDone && allDoneSince_ == 0) allDoneSince_ = now;
  return now >= exitBy_ || (allDone && now >= exitFrom_ && now - allDoneSince_ >= quietPeriod);
}

int Director::loop() {
  while (true) {
    const Micros due = std::min({front_.due(), lastHousekeeping_ + housekeepingInterval, listPoller_.due()});
    eventLoop_.run(due - net::unixNow());
    const Micros now = net::unixNow();
    processTurn();
    nodes_.writeWaiting();
    queryList(now);
    if (now - lastHousekeeping_ >= housekeepingInterval) {
      lastHousekeeping_ = now;
      if (ListUpdate removed = membership_.confirmRemovals(now); !removed.entries.empty()) {
        log(Level::warn, "list-confirmed", {{"gone", std::to_string(removed.entries.size())}});
        listApplied(now, fleet::UpdateResult::applied, std::move(removed));
      }
      nodes_.tick(now);
      viewers_->tick(now);
    }
    if (now - lastStatistics_ >= statisticsInterval) lastStatistics_ = now, logStatistics(Level::info);
    if (stopping_ && mayExit(now)) break;
  }
  logStatistics(Level::info);
  log(Level::info, "stopped");
  return 0;
}

}  // namespace

int run(const std::string& configurationFile, const std::string& logLevel) {
  return Director(configurationFile, logLevel).loop();
}

}  // namespace lupinsill::platform
