#include "director/director.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sodium.h>
#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "admission/call_manager.h"
#include "admission/request_translator.h"
#include "director/admin.h"
#include "director/log.h"
#include "fleet/membership.h"
#include "grpc/calls.h"
#include "media/nodes.h"
#include "net/event_loop.h"
#include "net/handles.h"
#include "store/store.h"
#include "ticket/ticket.h"
#include "websocket/players.h"

namespace lupinsill::director {
namespace {

constexpr Micros housekeepingInterval = 50'000;
// Retry time of a request that is rejected by fault injection.
constexpr Micros injectedRetryAfter = 100'000;
// Time for sending the last answers before the process exits.
constexpr Micros shutdownFlushTimeout = 500'000;

// Connects the listeners, the media connections, the node list, the ledger store and the admin listener to
// the session front, and runs the event loop.
class Director final : public session_api::Handler, public media::Nodes::Handler {
 public:
  explicit Director(const Options& options);
  int loop();

 private:
  struct PendingRequest {
    Micros receivedAt;
    int roomType;
  };

  bool onRequest(session::CallId callId, const session_api::PlayMessage& request,
                 std::string& reason) override;
  void onLeave(session::CallId callId) override { front_.leave(callId), pendingRequests_.erase(callId); }
  void onClosed(session::CallId callId) override { front_.closed(callId), pendingRequests_.erase(callId); }
  bool mayWrite(session::JoinId join) override { return front_.mayWrite(net::monotonicNow(), join); }
  void joinStarted(session::JoinId join, const std::string& address) override;
  void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report, bool finished) override {
    front_.joinEnded(join, outcome, report, finished);
  }
  void measured(session::JoinId join, MeasurementKind kind, double value) override {
    front_.measured(join, kind, value);
  }
  void nodeDrains(NodeId node) override;

  void runTurn();
  void execute(const session::Command& command);
  void sendAnswer(session::CallId callId, const session_api::AnswerMessage& message);
  void sendDueActions();
  std::size_t sockets() const;
  enum class Decision { playing, throttled, terminated };
  static constexpr std::size_t decisionCount = 3;
  void recordAnswerTime(session::CallId callId, Decision decision);
  void createAnswerTimeHistograms();
  // Reads the node list if its file has changed. `first`: a missing file is logged.
  void checkNodeList(bool first);
  void persistNodeList(const std::string& bytes);
  void reload();
  void runHousekeeping();
  AdminResponse handleAdminRequest(const std::string& method, const std::string& path);
  std::string metricsText();
  std::string statusJson();
  std::string nodesJson();
  static void onSignal(evutil_socket_t signal, short, void* context);
  static void onStoreCommit(evutil_socket_t fd, short, void* context);
  void openLedger();

  Options options_;
  settings::Deployment deployment_;
  std::string runId_;  // prefix of subscription IDs, unique to this run of the process
  ticket::KeyRing ticketKeys_;
  net::EventLoop eventLoop_;
  std::unique_ptr<net::Tls> webSocketTls_, grpcTls_, nodesTls_;  // null: plain connections
  fleet::Membership membership_;
  session::Front front_;
  media::Nodes nodes_;
  admission::RequestTranslator requestTranslator_;
  admission::CallManager callManager_;
  std::unique_ptr<websocket::Players> players_;
  std::unique_ptr<grpc::Calls> calls_;                   // null without a gRPC listener
  std::vector<admission::PlayerServer*> playerServers_;  // players_ and, if present, calls_
  std::vector<admission::DueAction> dueActions_;
  std::unique_ptr<Admin> admin_;
  struct FileDescriptor {
    int fd = -1;
    ~FileDescriptor() {
      if (fd >= 0) close(fd);
    }
  } storeEventFd_;  // signalled by the store's thread after each commit
  net::Event storeEvent_;
  std::unique_ptr<store::Store> store_;
  std::vector<net::Event> signals_;
  std::map<session::CallId, PendingRequest> pendingRequests_;
  // For fault injection only: titles by call and join, and the calls to drop once the event loop has left
  // their callbacks.
  std::map<session::CallId, std::string> requestTitles_;
  std::map<session::JoinId, std::string> joinTitles_;
  std::vector<std::string> turnTitles_;
  std::vector<session::CallId> callsToDrop_;
  bool dropConnectionAt(FaultPoint point, session::CallId callId);
  prometheus::Registry registry_;
  std::vector<prometheus::Histogram*> answerTimes_;  // by room type and decision
  std::vector<session::Command> commands_;
  Micros lastHousekeeping_ = 0;
  Micros lastListCheck_ = 0;
  Micros exitDeadline_ = 0;  // 0: not shutting down
  bool stopping_ = false;
  bool draining_ = false;
  struct stat listStat_ {};
  std::string listError_;
  std::uint64_t listsRejected_ = 0;
  std::uint64_t listsApplied_ = 0;
  Micros startedAt_ = 0;
};

std::uint64_t seedOrRandom(std::uint64_t given) {
  std::uint64_t seed = given;
  if (seed == 0) randombytes_buf(&seed, sizeof seed);
  return seed;
}

std::string randomRunToken() {
  std::uint32_t token = 0;
  randombytes_buf(&token, sizeof token);
  char text[9];
  std::snprintf(text, sizeof text, "%08x", token);
  return text;
}

session::Limits sessionLimits(const settings::Deployment& deployment, const FaultHooks& hooks) {
  session::Limits limits = deployment.sessionLimits;
  limits.guardsEnabled = hooks.guardsEnabled;
  limits.keysStored = limits.keysStored && hooks.ledgerEnabled;
  return limits;
}

std::unique_ptr<session::Decider> makeDecider(const Options& options, const ControlSettings& settings) {
  const std::uint64_t seed = seedOrRandom(options.seed);
  if (options.hooks.makeDecider) return options.hooks.makeDecider(settings, seed);
  return std::make_unique<session::ControlDecider>(settings, seed);
}

std::unique_ptr<net::Tls> makeTls(net::Tls::Side side, const net::TlsFiles& files, const char* protocol) {
  return files.empty() ? nullptr : std::make_unique<net::Tls>(side, files, protocol);
}

net::Accept acceptFunction(const net::Tls* tls) {
  if (tls == nullptr) return net::acceptPlain;
  return [tls](event_base* base, evutil_socket_t fd) { return tls->accept(base, fd); };
}

net::Connect connectFunction(const net::Tls* tls) {
  if (tls == nullptr) return net::connectTo;
  return
      [tls](event_base* base, const std::string& host, int port) { return tls->connect(base, host, port); };
}

admission::Limits callLimits(const settings::Deployment& deployment) {
  admission::Limits limits;
  limits.peers = static_cast<std::size_t>(deployment.sockets.connections);
  limits.maxCallsPerPeer = static_cast<std::size_t>(deployment.sockets.requestsPerSocket);
  limits.requestTimeout = deployment.sockets.handshake;
  return limits;
}

std::string readFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

bool writeFileAtomically(const std::string& file, const std::string& bytes) {
  const std::string temporary = file + ".next";
  {
    std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
    out << bytes;
    out.flush();
    if (!out) return false;
  }
  return std::rename(temporary.c_str(), file.c_str()) == 0;
}

Director::Director(const Options& options)
    : options_(options),
      deployment_(settings::readDeployment(options.settingsFile)),
      runId_(deployment_.name + "-" + randomRunToken()),
      webSocketTls_(makeTls(net::Tls::Side::server, deployment_.playersTls, "http/1.1")),
      grpcTls_(makeTls(net::Tls::Side::server, deployment_.playersTls, "h2")),
      nodesTls_(makeTls(net::Tls::Side::client, deployment_.nodesTls, "")),
      membership_(deployment_.controlSettings.cells, deployment_.minRetainedShare,
                  deployment_.sessionLimits.grace),
      front_(deployment_.controlSettings, sessionLimits(deployment_, options.hooks),
             makeDecider(options, deployment_.controlSettings)),
      nodes_(eventLoop_.base(), *this, runId_, deployment_.nodes, connectFunction(nodesTls_.get())),
      requestTranslator_(
          {deployment_.name, deployment_.roomTypes, deployment_.tenants, deployment_.clientTimeouts},
          deployment_.controlSettings.roomTypes),
      callManager_(callLimits(deployment_)) {
  createAnswerTimeHistograms();
  setUpLog(deployment_.logLevel, deployment_.logForm, deployment_.name);
  startedAt_ = net::monotonicNow();
  ticketKeys_ = deployment_.ticketKeyFile.empty() ? ticket::KeyRing{ticket::generateKey()}
                                                  : ticket::readKeys(deployment_.ticketKeyFile);
  if (deployment_.ticketKeyFile.empty())
    log(Level::warn, "tickets-unshared", {{"why", "no key-file: a random key is used for this run only"}});

  if (!deployment_.ledgerFile.empty() && options.hooks.ledgerEnabled) openLedger();

  // The list saved by the previous run is loaded first, because the list file may be unavailable.
  try {
    const Micros offset = net::monotonicNow() - net::wallNow();
    front_.listUpdated(
        membership_.restore(settings::readNodes(deployment_.listCacheFile, deployment_, offset)));
    log(Level::info, "list-kept",
        {{"version", std::to_string(membership_.version())},
         {"nodes", std::to_string(membership_.endpoints().size())}});
  } catch (const settings::SettingsError& error) {
    log(Level::info, "list-not-kept", {{"why", error.what()}});
    front_.listUpdated({ListKind::cachedSnapshot, {}});
  }
  checkNodeList(true);

  players_ = std::make_unique<websocket::Players>(eventLoop_.base(), *this, callManager_, deployment_.name,
                                                  deployment_.players, deployment_.sockets,
                                                  acceptFunction(webSocketTls_.get()));
  playerServers_.push_back(players_.get());
  if (deployment_.grpc) {
    calls_ =
        std::make_unique<grpc::Calls>(eventLoop_.base(), *this, callManager_, deployment_.name,
                                      *deployment_.grpc, deployment_.sockets, acceptFunction(grpcTls_.get()));
    playerServers_.push_back(calls_.get());
  }
  admin_ = std::make_unique<Admin>(eventLoop_.base(), deployment_.admin,
                                   [this](const std::string& method, const std::string& path) {
                                     return handleAdminRequest(method, path);
                                   });
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(eventLoop_.base(), signal, onSignal, this));
    event_add(signals_.back().get(), nullptr);
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (!options.portsFile.empty() &&
      !writeFileAtomically(options.portsFile, "players " + std::to_string(players_->port()) + "\nadmin " +
                                                  std::to_string(admin_->port()) +
                                                  (calls_ ? "\ngrpc " + std::to_string(calls_->port()) : "") +
                                                  "\n"))
    throw std::runtime_error(options.portsFile + ": cannot be written");
  log(Level::info, "listening",
      {{"players", std::to_string(players_->port())},
       {"grpc", calls_ ? std::to_string(calls_->port()) : "none"},
       {"admin", std::to_string(admin_->port())}});
}

std::size_t Director::sockets() const {
  std::size_t total = 0;
  for (const admission::PlayerServer* server : playerServers_) total += server->sockets();
  return total;
}

void Director::openLedger() {
  storeEventFd_.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  storeEvent_.reset(
      event_new(eventLoop_.base(), storeEventFd_.fd, EV_READ | EV_PERSIST, onStoreCommit, this));
  event_add(storeEvent_.get(), nullptr);
  store_ = std::make_unique<store::Store>(deployment_.ledgerFile, deployment_.ledgerMegabytes,
                                          net::wallNow() - net::monotonicNow(), [fd = storeEventFd_.fd] {
                                            const std::uint64_t one = 1;
                                            if (write(fd, &one, sizeof one) < 0)
                                              return;  // counter full: already signalled
                                          });
  const store::LoadResult& found = store_->loadResult();
  // A deleted ledger cannot be told from a first start. The ledger therefore counts as lost in both cases, so
  // that declared repeats are treated as possibly run; at a true first start no client sends any.
  front_.recover(net::monotonicNow(), found.records, found.intact && !found.created);
  if (found.intact && found.created)
    log(Level::warn, "ledger-new",
        {{"file", deployment_.ledgerFile}, {"so", "declared repeats are answered as if they had run"}});
  else if (found.intact)
    log(Level::info, "ledger", {{"records", std::to_string(found.records.size())}});
  else
    log(Level::error, "ledger-damaged",
        {{"why", found.error},
         {"kept", std::to_string(found.records.size())},
         {"so", "repeats of paid requests are answered as if they had run"}});
}

void Director::onStoreCommit(evutil_socket_t fd, short, void* context) {
  auto& director = *static_cast<Director*>(context);
  std::uint64_t count = 0;
  if (read(static_cast<int>(fd), &count, sizeof count) < 0) return;
  director.front_.durable(director.store_->durable());
  if (!director.store_->failed()) return;
  log(Level::error, "ledger-failed", {{"so", "paid requests are refused until a restart"}});
  director.front_.storeFailed();
}

void Director::onSignal(evutil_socket_t signal, short, void* context) {
  auto& director = *static_cast<Director*>(context);
  if (signal == SIGHUP) return director.reload();
  if (director.stopping_) return;
  log(Level::info, "stopping", {{"signal", std::to_string(signal)}});
  director.stopping_ = true;
  director.players_->stopAccepting();
  if (director.calls_) director.calls_->stopAccepting(), director.calls_->setServing(false);
  director.front_.endAll();
}

int Director::loop() {
  while (true) {
    const Micros due = std::min(front_.due(), lastHousekeeping_ + housekeepingInterval);
    eventLoop_.run(due - net::monotonicNow());
    const Micros now = net::monotonicNow();
    runTurn();
    for (const session::CallId callId : std::exchange(callsToDrop_, {}))
      for (admission::PlayerServer* server : playerServers_) server->cut(callId);
    if (now - lastHousekeeping_ >= housekeepingInterval) runHousekeeping();
    if (stopping_ && exitDeadline_ == 0) {
      for (admission::PlayerServer* server : playerServers_) server->closeAll();
      exitDeadline_ = now + shutdownFlushTimeout;
    }
    if (exitDeadline_ != 0 && (now >= exitDeadline_ || sockets() == 0)) break;
    if (draining_ && !stopping_) {
      const session::Statistics statistics = front_.statistics();
      if (statistics.open == 0 && statistics.plays == 0) {
        log(Level::info, "drained", {});
        stopping_ = true;
        front_.endAll();
      }
    }
  }
  log(Level::info, "stopped", {});
  return 0;
}

void Director::runHousekeeping() {
  const Micros now = lastHousekeeping_ = net::monotonicNow();
  sendDueActions();
  for (admission::PlayerServer* server : playerServers_) server->tick(now);
  nodes_.tick(now);
  if (now - lastListCheck_ >= deployment_.listPollInterval) checkNodeList(false);
  if (ListUpdate update = membership_.confirmRemovals(now); !update.entries.empty()) {
    log(Level::warn, "list-confirmed", {{"gone", std::to_string(update.entries.size())}});
    front_.listUpdated(std::move(update));
  }
}

void Director::runTurn() {
  const Micros now = net::monotonicNow();
  if (now < front_.due()) return;
  commands_.clear();
  front_.processTurn(now, commands_);
  if (options_.hooks.alterCommands) options_.hooks.alterCommands(now, commands_);
  if (options_.hooks.onFaultPoint)
    for (const std::string& title : std::exchange(turnTitles_, {}))
      options_.hooks.onFaultPoint(FaultPoint::requestDecided, title);
  for (const session::Command& command : commands_) execute(command);
  if (store_) store_->write(front_.takeWrites());
}

// ---- requests and answers ----

bool Director::onRequest(session::CallId callId, const session_api::PlayMessage& request,
                         std::string& reason) {
  const Micros now = net::monotonicNow();
  auto translated =
      requestTranslator_.translate(callId, request, callManager_.timeLeft(now, callId), membership_, reason);
  if (!translated) return false;
  if (options_.hooks.onFaultPoint) {
    requestTitles_[callId] = translated->title;
    if (dropConnectionAt(FaultPoint::requestRead, callId)) return true;
    if (options_.hooks.onFaultPoint(FaultPoint::requestRead, translated->title) == FaultAction::reject) {
      execute(session::Throttled{callId, injectedRetryAfter, session::ThrottleReason::busy});
      return true;
    }
    turnTitles_.push_back(translated->title);
  }
  pendingRequests_[callId] = {now, translated->roomType};
  front_.submit(std::move(*translated));
  return true;
}

void Director::recordAnswerTime(session::CallId callId, Decision decision) {
  const auto it = pendingRequests_.find(callId);
  if (it == pendingRequests_.end()) return;
  const PendingRequest request = it->second;
  pendingRequests_.erase(it);
  const auto index =
      static_cast<std::size_t>(request.roomType) * decisionCount + static_cast<std::size_t>(decision);
  answerTimes_[index]->Observe(static_cast<double>(net::monotonicNow() - request.receivedAt) / 1e6);
}

// The histograms are created once, because a lookup by labels costs more than serializing an answer.
void Director::createAnswerTimeHistograms() {
  const prometheus::Histogram::BucketBoundaries boundariesSeconds{
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
  auto& family = prometheus::BuildHistogram()
                     .Name("lupinsill_answer_seconds")
                     .Help("Seconds from reading a request to passing its answer to the socket")
                     .Register(registry_);
  for (const std::string& room : deployment_.roomTypes)
    for (const char* answer : {"playing", "throttled", "terminated"})
      answerTimes_.push_back(&family.Add({{"answer", answer}, {"room", room}}, boundariesSeconds));
}

bool Director::dropConnectionAt(FaultPoint point, session::CallId callId) {
  const auto it = requestTitles_.find(callId);
  if (it == requestTitles_.end() ||
      options_.hooks.onFaultPoint(point, it->second) != FaultAction::dropConnection)
    return false;
  callsToDrop_.push_back(callId);
  return true;
}

void Director::joinStarted(session::JoinId join, const std::string& address) {
  if (const auto it = joinTitles_.find(join); it != joinTitles_.end())
    options_.hooks.onFaultPoint(FaultPoint::joinStarted, it->second);
  front_.joinStarted(join, address);
}

void Director::sendAnswer(session::CallId callId, const session_api::AnswerMessage& message) {
  using session_api::AnswerKind;
  const admission::ReplyKind replyKind =
      message.kind == AnswerKind::playing      ? admission::ReplyKind::playing
      : message.kind == AnswerKind::throttled  ? admission::ReplyKind::throttled
      : message.kind == AnswerKind::terminated ? admission::ReplyKind::terminated
      : message.kind == AnswerKind::rung       ? admission::ReplyKind::rung
      : message.kind == AnswerKind::ended      ? admission::ReplyKind::ended
                                               : admission::ReplyKind::error;
  const bool answer = replyKind == admission::ReplyKind::playing ||
                      replyKind == admission::ReplyKind::throttled ||
                      replyKind == admission::ReplyKind::terminated;
  if (options_.hooks.onFaultPoint && answer && dropConnectionAt(FaultPoint::answerDecided, callId)) return;
  const admission::SendMode mode = callManager_.reply(callId, replyKind);
  if (mode == admission::SendMode::drop) return;
  for (admission::PlayerServer* server : playerServers_)
    if (server->send(callId, message, mode == admission::SendMode::endCall)) return;
}

// Carries out the timed actions of the call manager: drain notices, and the end of calls past their deadline.
void Director::sendDueActions() {
  dueActions_.clear();
  callManager_.tick(net::monotonicNow(), dueActions_);
  for (const admission::DueAction& action : dueActions_)
    for (admission::PlayerServer* server : playerServers_) server->send(action);
}

void Director::execute(const session::Command& command) {
  using session_api::AnswerKind;
  using session_api::AnswerMessage;
  if (const auto* playing = std::get_if<session::Playing>(&command)) {
    AnswerMessage message;
    message.kind = AnswerKind::playing;
    message.subscription = runId_ + "-" + std::to_string(playing->sub);
    message.node = playing->answer;
    message.rung = playing->rung;
    message.ticket =
        ticket::sign(ticketKeys_.front(), {message.subscription, message.node, playing->rung,
                                           (net::wallNow() + deployment_.ticketValid) / 1'000'000});
    recordAnswerTime(playing->callId, Decision::playing);
    sendAnswer(playing->callId, message);
  } else if (const auto* throttled = std::get_if<session::Throttled>(&command)) {
    AnswerMessage message;
    message.kind = AnswerKind::throttled;
    message.reason = nameOf(throttled->reason);
    message.retryAfter = throttled->retryAfter;
    recordAnswerTime(throttled->callId, Decision::throttled);
    sendAnswer(throttled->callId, message);
  } else if (const auto* terminated = std::get_if<session::Terminated>(&command)) {
    AnswerMessage message;
    message.kind = AnswerKind::terminated;
    message.reason = nameOf(terminated->reason);
    recordAnswerTime(terminated->callId, Decision::terminated);
    sendAnswer(terminated->callId, message);
  } else if (const auto* rung = std::get_if<session::RungChanged>(&command)) {
    AnswerMessage message;
    message.kind = AnswerKind::rung;
    message.rung = rung->rung;
    sendAnswer(rung->callId, message);
  } else if (const auto* ended = std::get_if<session::Ended>(&command)) {
    AnswerMessage message;
    message.kind = AnswerKind::ended;
    message.reason = nameOf(ended->reason);
    message.retryAfter = ended->retryAfter;
    sendAnswer(ended->callId, message);
  } else if (const auto* setUp = std::get_if<session::SetUp>(&command)) {
    const fleet::NodeEndpoint* endpoint = membership_.find(setUp->node);
    if (endpoint == nullptr) return front_.joinEnded(setUp->join, Outcome::connectFailed, {}, false);
    if (options_.hooks.onFaultPoint) {
      joinTitles_[setUp->join] = setUp->title;
      options_.hooks.onFaultPoint(FaultPoint::joinSent, setUp->title);
    }
    nodes_.setUp(*setUp, *endpoint, deployment_.roomTypes[static_cast<std::size_t>(setUp->roomType)]);
  } else if (const auto* change = std::get_if<session::ChangeRung>(&command)) {
    nodes_.change(*change);
  } else if (const auto* tearDown = std::get_if<session::TearDown>(&command)) {
    nodes_.tearDown(tearDown->join);
  } else if (const auto* withdraw = std::get_if<session::Withdraw>(&command)) {
    nodes_.withdraw(withdraw->join);
  } else {
    listStat_ = {};  // forces the list to be read again though the file has not changed
  }
}

// ---- node list ----

void Director::nodeDrains(NodeId node) {
  ListUpdate update = membership_.markDraining(node);
  if (update.entries.empty()) return;
  log(Level::info, "node-drains", {{"node", std::to_string(node)}, {"by", "itself"}});
  front_.listUpdated(std::move(update));
}

void Director::checkNodeList(bool first) {
  lastListCheck_ = net::monotonicNow();
  struct stat current {};
  if (stat(deployment_.listFile.c_str(), &current) != 0) {
    if (first) log(Level::warn, "list-missing", {{"file", deployment_.listFile}});
    return;
  }
  if (current.st_ino == listStat_.st_ino && current.st_size == listStat_.st_size &&
      current.st_mtim.tv_sec == listStat_.st_mtim.tv_sec &&
      current.st_mtim.tv_nsec == listStat_.st_mtim.tv_nsec)
    return;
  listStat_ = current;
  try {
    const Micros offset = net::monotonicNow() - net::wallNow();
    const std::string bytes = readFile(deployment_.listFile);
    const fleet::NodeList list = settings::readNodes(deployment_.listFile, deployment_, offset);
    ListUpdate update;
    const fleet::UpdateResult result = membership_.apply(lastListCheck_, list, update);
    const bool applied = result == fleet::UpdateResult::applied || result == fleet::UpdateResult::tooMuchGone;
    log(applied ? Level::info : Level::warn, "list",
        {{"version", std::to_string(list.version)},
         {"taken", nameOf(result)},
         {"changes", std::to_string(update.entries.size())}});
    listError_.clear();
    if (!applied) return;
    ++listsApplied_;
    if (!update.entries.empty() || update.kind == ListKind::snapshot) front_.listUpdated(std::move(update));
    persistNodeList(bytes);
  } catch (const settings::SettingsError& error) {
    // The previous list stays in force: an old list is better than none.
    ++listsRejected_;
    listError_ = error.what();
    log(Level::error, "list-refused", {{"why", error.what()}});
  }
}

void Director::persistNodeList(const std::string& bytes) {
  if (!writeFileAtomically(deployment_.listCacheFile, bytes))
    log(Level::error, "list-not-kept", {{"file", deployment_.listCacheFile}});
}

void Director::reload() {
  try {
    settings::Deployment next = settings::readDeployment(options_.settingsFile);
    const std::vector<std::string> unsafe = settings::changesNeedingRestart(deployment_, next);
    if (!unsafe.empty()) {
      std::string names;
      for (const std::string& name : unsafe) names += (names.empty() ? "" : ", ") + name;
      return log(Level::error, "reload-refused", {{"needs a restart", names}});
    }
    if (!next.ticketKeyFile.empty()) ticketKeys_ = ticket::readKeys(next.ticketKeyFile);
    // All files are read before any is put to use, so that certificates of different dates are never mixed.
    std::unique_ptr<net::Tls> webSocketTls = makeTls(net::Tls::Side::server, next.playersTls, "http/1.1");
    std::unique_ptr<net::Tls> grpcTls = makeTls(net::Tls::Side::server, next.playersTls, "h2");
    std::unique_ptr<net::Tls> nodesTls = makeTls(net::Tls::Side::client, next.nodesTls, "");
    if (webSocketTls) webSocketTls_->takeOver(*webSocketTls);
    if (grpcTls) grpcTls_->takeOver(*grpcTls);
    if (nodesTls) nodesTls_->takeOver(*nodesTls);
    deployment_ = std::move(next);
    setUpLog(deployment_.logLevel, deployment_.logForm, deployment_.name);
    players_->setLimits(deployment_.sockets);
    if (calls_) calls_->setLimits(deployment_.sockets);
    callManager_.setLimits(callLimits(deployment_));
    nodes_.setLimits(deployment_.nodes);
    listStat_ = {};
    log(Level::info, "reloaded", {});
  } catch (const std::runtime_error& error) {
    log(Level::error, "reload-refused", {{"why", error.what()}});
  }
}

// ---- admin requests ----

AdminResponse Director::handleAdminRequest(const std::string& method, const std::string& path) {
  if (method == "GET" && path == "/metrics") return {200, "text/plain; version=0.0.4", metricsText()};
  if (method == "GET" && path == "/status") return {200, "application/json", statusJson()};
  if (method == "GET" && path == "/nodes") return {200, "application/json", nodesJson()};
  if (method == "POST" && (path == "/drain" || path == "/undrain")) {
    draining_ = path == "/drain";
    front_.drain(draining_);
    callManager_.drain(draining_);
    if (calls_) calls_->setServing(!draining_);
    log(Level::info, draining_ ? "draining" : "drain-called-off", {});
    return {200, "application/json", statusJson()};
  }
  return {404, "text/plain", "no such page\n"};
}

std::string Director::statusJson() {
  const session::Statistics statistics = front_.statistics();
  nlohmann::ordered_json json{{"director", deployment_.name},
                              {"draining", front_.draining()},
                              {"upSeconds", (net::monotonicNow() - startedAt_) / 1'000'000},
                              {"openAsks", statistics.open},
                              {"subscriptions", statistics.plays},
                              {"asks", statistics.asks},
                              {"playing", statistics.playing},
                              {"throttled", statistics.throttled},
                              {"terminated", statistics.terminated},
                              {"sockets", sockets()},
                              {"list",
                               {{"version", membership_.version()},
                                {"nodes", membership_.endpoints().size()},
                                {"refused", listsRejected_}}}};
  if (!listError_.empty()) json["list"]["complaint"] = listError_;
  nlohmann::ordered_json violations = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    if (statistics.guardViolations[i] != 0)
      violations[nameOf(static_cast<session::Rule>(i))] = statistics.guardViolations[i];
  json["guardsHeld"] = violations;
  return json.dump(2) + "\n";
}

std::string Director::nodesJson() {
  std::map<NodeId, session::Front::NodeStatus> statuses;
  for (const auto& status : front_.nodeStatuses()) statuses.emplace(status.node, status);
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& [id, endpoint] : membership_.endpoints()) {
    const auto it = statuses.find(id);
    rows.push_back({{"node", id},
                    {"address", endpoint.host + ":" + std::to_string(endpoint.port)},
                    {"state", endpoint.state == NodeState::ready      ? "ready"
                              : endpoint.state == NodeState::draining ? "draining"
                                                                      : "gone"},
                    {"zone", endpoint.zone},
                    {"cell", endpoint.cell},
                    {"joinsOut", it == statuses.end() ? 0 : it->second.waiting},
                    {"subscriptions", it == statuses.end() ? 0 : it->second.plays}});
  }
  return rows.dump(2) + "\n";
}

std::string Director::metricsText() {
  std::vector<prometheus::MetricFamily> families = registry_.Collect();
  const auto add = [&](const char* name, const char* help, bool counter,
                       std::vector<std::pair<std::string, double>> values, const char* label = nullptr) {
    prometheus::MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    for (const auto& [key, value] : values) {
      prometheus::ClientMetric metric;
      if (label != nullptr) metric.label.push_back({label, key});
      (counter ? metric.counter.value : metric.gauge.value) = value;
      family.metric.push_back(metric);
    }
    families.push_back(std::move(family));
  };
  const auto toDouble = [](auto n) { return static_cast<double>(n); };
  const session::Statistics front = front_.statistics();
  const websocket::PlayersStatistics& webSocket = players_->statistics();
  const admission::Statistics callCounts = callManager_.statistics();
  const media::NodesStatistics nodes = nodes_.statistics();
  add("lupinsill_asks_total", "Requests accepted from players", true, {{"", toDouble(front.asks)}});
  add("lupinsill_answers_total", "Answers sent, by kind", true,
      {{"playing", toDouble(front.playing)},
       {"throttled", toDouble(front.throttled)},
       {"terminated", toDouble(front.terminated)}},
      "answer");
  add("lupinsill_asks_repeated_total", "Requests answered from an earlier one with the same key", true,
      {{"", toDouble(front.repeated)}});
  add("lupinsill_asks_late_total", "Requests that were too old when they were read", true,
      {{"", toDouble(front.late)}});
  add("lupinsill_standstills_total", "Event loop stalls", true, {{"", toDouble(front.stalls)}});
  add("lupinsill_joins_total", "Joins sent, by whether they were the first of their subscription", true,
      {{"first", toDouble(front.joins - front.furtherJoins)}, {"further", toDouble(front.furtherJoins)}},
      "join");
  add("lupinsill_joins_handed_back_total", "Joins withdrawn before they were sent", true,
      {{"", toDouble(front.withdrawnJoins)}});
  add("lupinsill_subscriptions_ended_total", "Subscriptions ended by their media node, by reason", true,
      {{"finished", toDouble(front.ended - front.nodeLost)}, {"node-lost", toDouble(front.nodeLost)}}, "why");
  add("lupinsill_rung_changes_total", "Rung changes of playing subscriptions", true,
      {{"", toDouble(front.rungChanges)}});
  std::vector<std::pair<std::string, double>> violations;
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    violations.emplace_back(nameOf(static_cast<session::Rule>(i)), toDouble(front.guardViolations[i]));
  add("lupinsill_guard_held_total", "Actions blocked by a guard, by rule; any value above 0 is a defect",
      true, violations, "rule");
  add("lupinsill_open_asks", "Requests not answered yet", false, {{"", toDouble(front.open)}});
  add("lupinsill_subscriptions", "Playing subscriptions", false, {{"", toDouble(front.plays)}});
  add("lupinsill_asks_doubted_total",
      "Repeats answered as possibly run because their record may have been lost", true,
      {{"", toDouble(front.uncertainRepeats)}});
  if (store_)
    add("lupinsill_ledger_commits_total", "Group commits of the ledger", true,
        {{"", toDouble(store_->commits())}});
  add("lupinsill_keys", "Keys of unsafe requests in use or retained", false, {{"", toDouble(front.keys)}});
  add("lupinsill_player_sockets", "Open player connections", false, {{"", toDouble(sockets())}});
  add("lupinsill_player_sockets_total", "Player connections, by outcome", true,
      {{"accepted", toDouble(callCounts.taken)},
       {"refused", toDouble(callCounts.refused)},
       {"unruly", toDouble(callCounts.abusive)},
       {"closed", toDouble(webSocket.closed + (calls_ ? calls_->statistics().closed : 0))},
       {"too-slow", toDouble(webSocket.slow)},
       {"bad-message",
        toDouble(webSocket.badMessages + (calls_ ? calls_->statistics().invalidMessages : 0))}},
      "what");
  add("lupinsill_calls", "Open calls on player connections", false, {{"", toDouble(callCounts.open)}});
  add("lupinsill_calls_total", "Calls on player connections, by outcome", true,
      {{"opened", toDouble(callCounts.calls)},
       {"refused", toDouble(callCounts.callsRefused)},
       {"deadline", toDouble(callCounts.deadlines)},
       {"wrong-word", toDouble(callCounts.invalidInputs)},
       {"second-answer", toDouble(callCounts.secondAnswers)}},
      "what");
  add("lupinsill_node_connections", "Open connections to media nodes", false,
      {{"", toDouble(nodes.connections)}});
  add("lupinsill_node_connections_total", "Connections to media nodes, by outcome", true,
      {{"opened", toDouble(nodes.connects)},
       {"failed", toDouble(nodes.connectFailures)},
       {"lost", toDouble(nodes.connectionsLost)},
       {"bad-bytes", toDouble(nodes.parseErrors)},
       {"stuck", toDouble(nodes.sendBuffersFull)}},
      "what");
  add("lupinsill_node_late_answers_total", "Answers of media nodes to joins that had timed out", true,
      {{"", toDouble(nodes.lateResponses)}});
  add("lupinsill_list_version", "Version of the node list in use", false,
      {{"", toDouble(membership_.version())}});
  add("lupinsill_list_total", "Node lists read, by outcome", true,
      {{"applied", toDouble(listsApplied_)},
       {"refused", toDouble(listsRejected_)},
       {"held-back", toDouble(membership_.heldBack())}},
      "what");
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace

int run(const Options& options) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium initialization failed");
  Director director(options);
  return director.loop();
}

}  // namespace lupinsill::director
