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
#include "net/handles.h"
#include "store/store.h"
#include "ticket/ticket.h"
#include "websocket/players.h"

namespace lupinsill::director {
namespace {

constexpr Micros housekeeping = 50'000;
constexpr Micros stoodStill = 100'000;  // between two passes of the loop
constexpr int catchUpPasses = 16;
constexpr Micros flushTime = 500'000;  // for last answers at the end

class Director final : public session_api::Handler, public media::Nodes::Handler {
 public:
  explicit Director(const Start& start);
  int loop();

 private:
  struct AskedAt {
    Micros at;
    int roomType;
  };

  bool onRequest(session::CallId callId, const session_api::PlayMessage& ask, std::string& why) override;
  void onLeave(session::CallId callId) override { front_.leave(callId), asked_.erase(callId); }
  void onClosed(session::CallId callId) override { front_.closed(callId), asked_.erase(callId); }
  bool mayWrite(session::JoinId join) override { return front_.mayWrite(net::monotonicNow(), join); }
  void joinStarted(session::JoinId join) override;
  void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report, bool finished) override {
    front_.joinEnded(join, outcome, report, finished);
  }
  void measured(session::JoinId join, MeasurementKind reading, double value) override {
    front_.measured(join, reading, value);
  }
  void nodeDrains(NodeId node) override;

  void turn();
  void carry(const session::Command& order);
  void say(session::CallId callId, const session_api::AnswerMessage& message);
  void follow();
  std::size_t sockets() const;
  enum class Kind { playing, throttled, terminated };
  static constexpr std::size_t kinds = 3;
  void answered(session::CallId callId, Kind kind);
  void makeAnswerTimes();
  void look(bool first);
  void keepList(const std::string& bytes);
  void reload();
  void house();
  AdminAnswer serve(const std::string& method, const std::string& path);
  std::string metrics();
  std::string status();
  std::string nodesShown();
  static void onSignal(evutil_socket_t signal, short, void* me);
  static void onWake(evutil_socket_t, short, void*) {}
  static void onStored(evutil_socket_t fd, short, void* me);
  void openLedger();

  Start start_;
  settings::Deployment deployment_;
  std::string runName_;  // of this run: subscriptions of an earlier one are others
  ticket::KeyRing ticketKeys_;
  net::EventBase base_;
  std::unique_ptr<net::Tls> webTls_, grpcTls_, nodesTls_;  // where the settings name files
  fleet::Membership membership_;
  session::Front front_;
  media::Nodes nodes_;
  admission::RequestTranslator reception_;
  admission::CallManager desk_;
  std::unique_ptr<websocket::Players> players_;
  std::unique_ptr<grpc::Calls> calls_;           // where the settings name a place for it
  std::vector<admission::PlayerServer*> doors_;  // of both, as they are
  std::vector<admission::DueAction> dues_;
  std::unique_ptr<Admin> admin_;
  net::Event wake_;
  struct Descriptor {
    int fd = -1;
    ~Descriptor() {
      if (fd >= 0) close(fd);
    }
  } stored_;  // told by the store's thread after each commit
  net::Event storedEvent_;
  std::unique_ptr<store::Store> store_;
  std::vector<net::Event> signals_;
  std::map<session::CallId, AskedAt> asked_;
  // For the lab's hooks alone: what a step is about, and calls to cut once the loop is out of their
  // callbacks.
  std::map<session::CallId, std::string> titles_;
  std::map<session::JoinId, std::string> joinTitles_;
  std::vector<std::string> turnTitles_;
  std::vector<session::CallId> cuts_;
  bool cutAt(Step step, session::CallId callId);
  prometheus::Registry registry_;
  std::vector<prometheus::Histogram*> answerTimes_;  // by room type and kind of answer
  std::vector<session::Command> orders_;
  Micros housedAt_ = 0;
  Micros lookedAt_ = 0;
  Micros stopAt_ = 0;  // when to leave, once everything was told
  bool stopping_ = false;
  bool drainingOut_ = false;
  struct stat listStat_ {};
  std::string listComplaint_;
  std::uint64_t listRefused_ = 0;
  std::uint64_t listApplied_ = 0;
  Micros startedAt_ = 0;
};

std::uint64_t drawnSeed(std::uint64_t given) {
  std::uint64_t seed = given;
  if (seed == 0) randombytes_buf(&seed, sizeof seed);
  return seed;
}

std::string runToken() {
  std::uint32_t token = 0;
  randombytes_buf(&token, sizeof token);
  char text[9];
  std::snprintf(text, sizeof text, "%08x", token);
  return text;
}

session::Limits boundsOf(const settings::Deployment& deployment, const Hooks& hooks) {
  session::Limits bounds = deployment.bounds;
  bounds.guardsEnabled = hooks.guardsEnabled;
  bounds.keysStored = bounds.keysStored && hooks.recorded;
  return bounds;
}

std::unique_ptr<session::Decider> deciderOf(const Start& start, const ControlSettings& terms) {
  const std::uint64_t seed = drawnSeed(start.seed);
  if (start.hooks.decider) return start.hooks.decider(terms, seed);
  return std::make_unique<session::ControlDecider>(terms, seed);
}

std::unique_ptr<net::Tls> tlsOf(net::Tls::Side side, const net::TlsFiles& files, const char* protocol) {
  return files.empty() ? nullptr : std::make_unique<net::Tls>(side, files, protocol);
}

net::Accept acceptOf(const net::Tls* tls) {
  if (tls == nullptr) return net::acceptPlain;
  return [tls](event_base* base, evutil_socket_t fd) { return tls->accept(base, fd); };
}

net::Connect connectOf(const net::Tls* tls) {
  if (tls == nullptr) return net::connectTo;
  return
      [tls](event_base* base, const std::string& host, int port) { return tls->connect(base, host, port); };
}

admission::Limits deskBounds(const settings::Deployment& deployment) {
  admission::Limits bounds;
  bounds.peers = static_cast<std::size_t>(deployment.sockets.connections);
  bounds.maxCallsPerPeer = static_cast<std::size_t>(deployment.sockets.asksPerSocket);
  bounds.requestTimeout = deployment.sockets.handshake;
  return bounds;
}

std::string bytesOf(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

bool writeWhole(const std::string& file, const std::string& bytes) {
  const std::string next = file + ".next";
  {
    std::ofstream out(next, std::ios::binary | std::ios::trunc);
    out << bytes;
    out.flush();
    if (!out) return false;
  }
  return std::rename(next.c_str(), file.c_str()) == 0;
}

Director::Director(const Start& start)
    : start_(start),
      deployment_(settings::readDeployment(start.settingsFile)),
      runName_(deployment_.name + "-" + runToken()),
      base_(event_base_new()),
      webTls_(tlsOf(net::Tls::Side::server, deployment_.playersTls, "http/1.1")),
      grpcTls_(tlsOf(net::Tls::Side::server, deployment_.playersTls, "h2")),
      nodesTls_(tlsOf(net::Tls::Side::client, deployment_.nodesTls, "")),
      membership_(deployment_.terms.cells, deployment_.leastKept, deployment_.bounds.grace),
      front_(deployment_.terms, boundsOf(deployment_, start.hooks), deciderOf(start, deployment_.terms)),
      nodes_(base_.get(), *this, runName_, deployment_.nodes, connectOf(nodesTls_.get())),
      reception_({deployment_.name, deployment_.roomTypes, deployment_.tenants, deployment_.clientTimeouts},
                 deployment_.terms.roomTypes),
      desk_(deskBounds(deployment_)) {
  makeAnswerTimes();
  setUpLog(deployment_.logLevel, deployment_.logForm, deployment_.name);
  startedAt_ = net::monotonicNow();
  ticketKeys_ = deployment_.ticketKeyFile.empty() ? ticket::KeyRing{ticket::freshKey()}
                                                  : ticket::readKeys(deployment_.ticketKeyFile);
  if (deployment_.ticketKeyFile.empty())
    log(Level::warn, "tickets-unshared", {{"why", "no key-file: a key was drawn for this run alone"}});

  if (!deployment_.ledgerFile.empty() && start.hooks.recorded) openLedger();

  // The list of before a restart comes first: it is all there is if the list's source is out of reach.
  try {
    const Micros offset = net::monotonicNow() - net::wallNow();
    front_.listUpdated(membership_.restore(settings::readNodes(deployment_.keptAs, deployment_, offset)));
    log(Level::info, "list-kept",
        {{"version", std::to_string(membership_.version())},
         {"nodes", std::to_string(membership_.endpoints().size())}});
  } catch (const settings::BadSettings& bad) {
    log(Level::info, "list-not-kept", {{"why", bad.what()}});
    front_.listUpdated({ListKind::cachedSnapshot, {}});
  }
  look(true);

  players_ =
      std::make_unique<websocket::Players>(base_.get(), *this, desk_, deployment_.name, deployment_.players,
                                           deployment_.sockets, acceptOf(webTls_.get()));
  doors_.push_back(players_.get());
  if (deployment_.grpc) {
    calls_ = std::make_unique<grpc::Calls>(base_.get(), *this, desk_, deployment_.name, *deployment_.grpc,
                                           deployment_.sockets, acceptOf(grpcTls_.get()));
    doors_.push_back(calls_.get());
  }
  admin_ =
      std::make_unique<Admin>(base_.get(), deployment_.admin,
                              [this](const std::string& m, const std::string& p) { return serve(m, p); });
  wake_.reset(event_new(base_.get(), -1, 0, onWake, nullptr));
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(base_.get(), signal, onSignal, this));
    event_add(signals_.back().get(), nullptr);
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (!start.portsFile.empty() &&
      !writeWhole(start.portsFile, "players " + std::to_string(players_->port()) + "\nadmin " +
                                       std::to_string(admin_->port()) +
                                       (calls_ ? "\ngrpc " + std::to_string(calls_->port()) : "") + "\n"))
    throw std::runtime_error(start.portsFile + ": cannot be written");
  log(Level::info, "listening",
      {{"players", std::to_string(players_->port())},
       {"grpc", calls_ ? std::to_string(calls_->port()) : "none"},
       {"admin", std::to_string(admin_->port())}});
}

std::size_t Director::sockets() const {
  std::size_t all = 0;
  for (const admission::PlayerServer* door : doors_) all += door->sockets();
  return all;
}

void Director::openLedger() {
  stored_.fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  storedEvent_.reset(event_new(base_.get(), stored_.fd, EV_READ | EV_PERSIST, onStored, this));
  event_add(storedEvent_.get(), nullptr);
  store_ = std::make_unique<store::Store>(deployment_.ledgerFile, deployment_.ledgerMegabytes,
                                          net::wallNow() - net::monotonicNow(), [fd = stored_.fd] {
                                            const std::uint64_t one = 1;
                                            if (write(fd, &one, sizeof one) < 0) return;  // full: it is awake
                                          });
  const store::Found& found = store_->found();
  // Guards against a ledger that was deleted, which looks like a first start: who says "again" is believed
  // then, and a first start has nobody who could say so in earnest.
  front_.recover(net::monotonicNow(), found.records, found.whole && !found.fresh);
  if (found.whole && found.fresh)
    log(Level::warn, "ledger-new",
        {{"file", deployment_.ledgerFile}, {"so", "repeats that say so are answered as if they had run"}});
  else if (found.whole)
    log(Level::info, "ledger", {{"records", std::to_string(found.records.size())}});
  else
    log(Level::error, "ledger-damaged",
        {{"why", found.complaint},
         {"kept", std::to_string(found.records.size())},
         {"so", "repeats of paid asks are answered as if they had run"}});
}

void Director::onStored(evutil_socket_t fd, short, void* me) {
  auto& director = *static_cast<Director*>(me);
  std::uint64_t count = 0;
  if (read(static_cast<int>(fd), &count, sizeof count) < 0) return;
  director.front_.durable(director.store_->durable());
  if (!director.store_->failed()) return;
  log(Level::error, "ledger-failed", {{"so", "paid asks are refused until a restart"}});
  director.front_.storeFailed();
}

void Director::onSignal(evutil_socket_t signal, short, void* me) {
  auto& director = *static_cast<Director*>(me);
  if (signal == SIGHUP) return director.reload();
  if (director.stopping_) return;
  log(Level::info, "stopping", {{"signal", std::to_string(signal)}});
  director.stopping_ = true;
  director.players_->stopAccepting();
  if (director.calls_) director.calls_->stopAccepting(), director.calls_->setServing(false);
  director.front_.endAll();
}

int Director::loop() {
  Micros last = net::monotonicNow();
  while (true) {
    const Micros due = std::min(front_.due(), housedAt_ + housekeeping);
    const Micros wait = std::max<Micros>(0, due - net::monotonicNow());
    const timeval span{static_cast<time_t>(wait / 1'000'000), static_cast<suseconds_t>(wait % 1'000'000)};
    event_add(wake_.get(), &span);
    event_base_loop(base_.get(), EVLOOP_ONCE);
    // Guards against deciding on a part of what came while the process stood still: answers that lie in the
    // sockets must be read before time-outs are drawn from their absence.
    if (net::monotonicNow() - last > stoodStill)
      for (int pass = 0; pass < catchUpPasses; ++pass) event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    last = net::monotonicNow();
    turn();
    for (const session::CallId callId : std::exchange(cuts_, {}))
      for (admission::PlayerServer* door : doors_) door->cut(callId);
    if (last - housedAt_ >= housekeeping) house();
    if (stopping_ && stopAt_ == 0) {
      for (admission::PlayerServer* door : doors_) door->closeAll();
      stopAt_ = last + flushTime;
    }
    if (stopAt_ != 0 && (last >= stopAt_ || sockets() == 0)) break;
    if (drainingOut_ && !stopping_) {
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

void Director::house() {
  const Micros now = housedAt_ = net::monotonicNow();
  follow();
  for (admission::PlayerServer* door : doors_) door->tick(now);
  nodes_.tick(now);
  if (now - lookedAt_ >= deployment_.lookEvery) look(false);
  if (ListUpdate told = membership_.confirmRemovals(now); !told.entries.empty()) {
    log(Level::warn, "list-confirmed", {{"gone", std::to_string(told.entries.size())}});
    front_.listUpdated(std::move(told));
  }
}

void Director::turn() {
  const Micros now = net::monotonicNow();
  if (now < front_.due()) return;
  orders_.clear();
  front_.processTurn(now, orders_);
  if (start_.hooks.tamper) start_.hooks.tamper(now, orders_);
  if (start_.hooks.at)
    for (const std::string& title : std::exchange(turnTitles_, {})) start_.hooks.at(Step::askDecided, title);
  for (const session::Command& order : orders_) carry(order);
  if (store_) store_->write(front_.takeWrites());
}

// ---- asks and answers ----

bool Director::onRequest(session::CallId callId, const session_api::PlayMessage& ask, std::string& why) {
  const Micros now = net::monotonicNow();
  auto read = reception_.translate(callId, ask, desk_.timeLeft(now, callId), membership_, why);
  if (!read) return false;
  if (start_.hooks.at) {
    titles_[callId] = read->title;
    if (cutAt(Step::askRead, callId)) return true;
    if (start_.hooks.at(Step::askRead, read->title) == Fate::refuse) {
      carry(session::Throttled{callId, 100'000, session::ThrottleReason::busy});
      return true;
    }
    turnTitles_.push_back(read->title);
  }
  asked_[callId] = {now, read->roomType};
  front_.submit(std::move(*read));
  return true;
}

void Director::answered(session::CallId callId, Kind kind) {
  const auto it = asked_.find(callId);
  if (it == asked_.end()) return;
  const AskedAt at = it->second;
  asked_.erase(it);
  const auto place = static_cast<std::size_t>(at.roomType) * kinds + static_cast<std::size_t>(kind);
  answerTimes_[place]->Observe(static_cast<double>(net::monotonicNow() - at.at) / 1e6);
}

// Made once: looking one up by its labels costs more than an answer's whole JSON.
void Director::makeAnswerTimes() {
  const prometheus::Histogram::BucketBoundaries bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                       0.1,    0.2,   0.5,   1,     2,    5};
  auto& family = prometheus::BuildHistogram()
                     .Name("lupinsill_answer_seconds")
                     .Help("From reading an ask to handing its answer to the socket")
                     .Register(registry_);
  for (const std::string& room : deployment_.roomTypes)
    for (const char* answer : {"playing", "throttled", "terminated"})
      answerTimes_.push_back(&family.Add({{"answer", answer}, {"room", room}}, bounds));
}

bool Director::cutAt(Step step, session::CallId callId) {
  const auto it = titles_.find(callId);
  if (it == titles_.end() || start_.hooks.at(step, it->second) != Fate::cut) return false;
  cuts_.push_back(callId);
  return true;
}

void Director::joinStarted(session::JoinId join) {
  if (const auto it = joinTitles_.find(join); it != joinTitles_.end())
    start_.hooks.at(Step::joinBegan, it->second);
  front_.joinStarted(join);
}

void Director::say(session::CallId callId, const session_api::AnswerMessage& message) {
  using session_api::AnswerKind;
  const admission::ReplyKind tell = message.kind == AnswerKind::playing     ? admission::ReplyKind::playing
                                    : message.kind == AnswerKind::throttled ? admission::ReplyKind::throttled
                                    : message.kind == AnswerKind::terminated
                                        ? admission::ReplyKind::terminated
                                    : message.kind == AnswerKind::rung  ? admission::ReplyKind::rung
                                    : message.kind == AnswerKind::ended ? admission::ReplyKind::ended
                                                                        : admission::ReplyKind::error;
  const bool answer = tell == admission::ReplyKind::playing || tell == admission::ReplyKind::throttled ||
                      tell == admission::ReplyKind::terminated;
  if (start_.hooks.at && answer && cutAt(Step::answerDecided, callId)) return;
  const admission::SendMode send = desk_.reply(callId, tell);
  if (send == admission::SendMode::drop) return;
  for (admission::PlayerServer* door : doors_)
    if (door->send(callId, message, send == admission::SendMode::endCall)) return;
}

// What the desk has due: the notices of a drain, and calls past their own deadline.
void Director::follow() {
  dues_.clear();
  desk_.tick(net::monotonicNow(), dues_);
  for (const admission::DueAction& due : dues_)
    for (admission::PlayerServer* door : doors_) door->send(due);
}

void Director::carry(const session::Command& order) {
  using session_api::AnswerKind;
  using session_api::AnswerMessage;
  if (const auto* playing = std::get_if<session::Playing>(&order)) {
    const fleet::NodeEndpoint* endpoint = membership_.find(playing->node);
    AnswerMessage message;
    message.kind = AnswerKind::playing;
    message.subscription = runName_ + "-" + std::to_string(playing->sub);
    message.node = endpoint == nullptr ? "" : endpoint->host + ":" + std::to_string(endpoint->port);
    message.rung = playing->rung;
    message.ticket =
        ticket::sign(ticketKeys_.front(), {message.subscription, message.node, playing->rung,
                                           (net::wallNow() + deployment_.ticketValid) / 1'000'000});
    answered(playing->callId, Kind::playing);
    say(playing->callId, message);
  } else if (const auto* throttled = std::get_if<session::Throttled>(&order)) {
    AnswerMessage message;
    message.kind = AnswerKind::throttled;
    message.reason = nameOf(throttled->reason);
    message.retryAfter = throttled->retryAfter;
    answered(throttled->callId, Kind::throttled);
    say(throttled->callId, message);
  } else if (const auto* terminated = std::get_if<session::Terminated>(&order)) {
    AnswerMessage message;
    message.kind = AnswerKind::terminated;
    message.reason = nameOf(terminated->reason);
    answered(terminated->callId, Kind::terminated);
    say(terminated->callId, message);
  } else if (const auto* rung = std::get_if<session::RungChanged>(&order)) {
    AnswerMessage message;
    message.kind = AnswerKind::rung;
    message.rung = rung->rung;
    say(rung->callId, message);
  } else if (const auto* end = std::get_if<session::Ended>(&order)) {
    AnswerMessage message;
    message.kind = AnswerKind::ended;
    message.reason = nameOf(end->reason);
    message.retryAfter = end->retryAfter;
    say(end->callId, message);
  } else if (const auto* setUp = std::get_if<session::SetUp>(&order)) {
    const fleet::NodeEndpoint* endpoint = membership_.find(setUp->node);
    if (endpoint == nullptr) return front_.joinEnded(setUp->join, Outcome::connectFailed, {}, false);
    if (start_.hooks.at) {
      joinTitles_[setUp->join] = setUp->title;
      start_.hooks.at(Step::joinLeaves, setUp->title);
    }
    nodes_.setUp(*setUp, *endpoint, deployment_.roomTypes[static_cast<std::size_t>(setUp->roomType)]);
  } else if (const auto* change = std::get_if<session::ChangeRung>(&order)) {
    nodes_.change(*change);
  } else if (const auto* down = std::get_if<session::TearDown>(&order)) {
    nodes_.tearDown(down->join);
  } else if (const auto* withdraw = std::get_if<session::Withdraw>(&order)) {
    nodes_.withdraw(withdraw->join);
  } else {
    listStat_ = {};  // read it again though it looks the same
  }
}

// ---- the list ----

void Director::nodeDrains(NodeId node) {
  ListUpdate told = membership_.markDraining(node);
  if (told.entries.empty()) return;
  log(Level::info, "node-drains", {{"node", std::to_string(node)}, {"by", "itself"}});
  front_.listUpdated(std::move(told));
}

void Director::look(bool first) {
  lookedAt_ = net::monotonicNow();
  struct stat now {};
  if (stat(deployment_.listFile.c_str(), &now) != 0) {
    if (first) log(Level::warn, "list-missing", {{"file", deployment_.listFile}});
    return;
  }
  if (now.st_ino == listStat_.st_ino && now.st_size == listStat_.st_size &&
      now.st_mtim.tv_sec == listStat_.st_mtim.tv_sec && now.st_mtim.tv_nsec == listStat_.st_mtim.tv_nsec)
    return;
  listStat_ = now;
  try {
    const Micros offset = net::monotonicNow() - net::wallNow();
    const std::string bytes = bytesOf(deployment_.listFile);
    const fleet::NodeList word = settings::readNodes(deployment_.listFile, deployment_, offset);
    ListUpdate told;
    const fleet::UpdateResult taken = membership_.apply(lookedAt_, word, told);
    const bool applied = taken == fleet::UpdateResult::applied || taken == fleet::UpdateResult::tooMuchGone;
    log(applied ? Level::info : Level::warn, "list",
        {{"version", std::to_string(word.version)},
         {"taken", nameOf(taken)},
         {"changes", std::to_string(told.entries.size())}});
    listComplaint_.clear();
    if (!applied) return;
    ++listApplied_;
    if (!told.entries.empty() || told.kind == ListKind::snapshot) front_.listUpdated(std::move(told));
    keepList(bytes);
  } catch (const settings::BadSettings& bad) {
    // The list of before stays in force: no list is worse than an old one.
    ++listRefused_;
    listComplaint_ = bad.what();
    log(Level::error, "list-refused", {{"why", bad.what()}});
  }
}

void Director::keepList(const std::string& bytes) {
  if (!writeWhole(deployment_.keptAs, bytes))
    log(Level::error, "list-not-kept", {{"file", deployment_.keptAs}});
}

void Director::reload() {
  try {
    settings::Deployment next = settings::readDeployment(start_.settingsFile);
    const std::vector<std::string> unsafe = settings::unsafeChanges(deployment_, next);
    if (!unsafe.empty()) {
      std::string names;
      for (const std::string& name : unsafe) names += (names.empty() ? "" : ", ") + name;
      return log(Level::error, "reload-refused", {{"needs a restart", names}});
    }
    if (!next.ticketKeyFile.empty()) ticketKeys_ = ticket::readKeys(next.ticketKeyFile);
    // Each is read before any is taken over: certificates of two dates would not fit each other.
    std::unique_ptr<net::Tls> web = tlsOf(net::Tls::Side::server, next.playersTls, "http/1.1");
    std::unique_ptr<net::Tls> second = tlsOf(net::Tls::Side::server, next.playersTls, "h2");
    std::unique_ptr<net::Tls> nodes = tlsOf(net::Tls::Side::client, next.nodesTls, "");
    if (web) webTls_->takeOver(*web);
    if (second) grpcTls_->takeOver(*second);
    if (nodes) nodesTls_->takeOver(*nodes);
    deployment_ = std::move(next);
    setUpLog(deployment_.logLevel, deployment_.logForm, deployment_.name);
    players_->setLimits(deployment_.sockets);
    if (calls_) calls_->setLimits(deployment_.sockets);
    desk_.setLimits(deskBounds(deployment_));
    nodes_.setLimits(deployment_.nodes);
    listStat_ = {};
    log(Level::info, "reloaded", {});
  } catch (const std::runtime_error& bad) {
    log(Level::error, "reload-refused", {{"why", bad.what()}});
  }
}

// ---- operators ----

AdminAnswer Director::serve(const std::string& method, const std::string& path) {
  if (method == "GET" && path == "/metrics") return {200, "text/plain; version=0.0.4", metrics()};
  if (method == "GET" && path == "/status") return {200, "application/json", status()};
  if (method == "GET" && path == "/nodes") return {200, "application/json", nodesShown()};
  if (method == "POST" && (path == "/drain" || path == "/undrain")) {
    drainingOut_ = path == "/drain";
    front_.drain(drainingOut_);
    desk_.drain(drainingOut_);
    if (calls_) calls_->setServing(!drainingOut_);
    log(Level::info, drainingOut_ ? "draining" : "drain-called-off", {});
    return {200, "application/json", status()};
  }
  return {404, "text/plain", "no such page\n"};
}

std::string Director::status() {
  const session::Statistics f = front_.statistics();
  nlohmann::ordered_json json{{"director", deployment_.name},
                              {"draining", front_.draining()},
                              {"upSeconds", (net::monotonicNow() - startedAt_) / 1'000'000},
                              {"openAsks", f.open},
                              {"subscriptions", f.plays},
                              {"asks", f.asks},
                              {"playing", f.playing},
                              {"throttled", f.throttled},
                              {"terminated", f.terminated},
                              {"sockets", sockets()},
                              {"list",
                               {{"version", membership_.version()},
                                {"nodes", membership_.endpoints().size()},
                                {"refused", listRefused_}}}};
  if (!listComplaint_.empty()) json["list"]["complaint"] = listComplaint_;
  nlohmann::ordered_json held = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    if (f.guardViolations[i] != 0) held[nameOf(static_cast<session::Rule>(i))] = f.guardViolations[i];
  json["guardsHeld"] = held;
  return json.dump(2) + "\n";
}

std::string Director::nodesShown() {
  std::map<NodeId, session::Front::NodeStatus> shown;
  for (const auto& row : front_.nodeStatuses()) shown.emplace(row.node, row);
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& [id, endpoint] : membership_.endpoints()) {
    const auto it = shown.find(id);
    rows.push_back({{"node", id},
                    {"address", endpoint.host + ":" + std::to_string(endpoint.port)},
                    {"state", endpoint.state == NodeState::ready      ? "ready"
                              : endpoint.state == NodeState::draining ? "draining"
                                                                      : "gone"},
                    {"zone", endpoint.zone},
                    {"cell", endpoint.cell},
                    {"joinsOut", it == shown.end() ? 0 : it->second.waiting},
                    {"subscriptions", it == shown.end() ? 0 : it->second.plays}});
  }
  return rows.dump(2) + "\n";
}

std::string Director::metrics() {
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
  const auto real = [](auto n) { return static_cast<double>(n); };
  const session::Statistics f = front_.statistics();
  const websocket::PlayersFigures& p = players_->statistics();
  const admission::Statistics desk = desk_.statistics();
  const media::NodesStatistics n = nodes_.statistics();
  add("lupinsill_asks_total", "Asks taken from players", true, {{"", real(f.asks)}});
  add("lupinsill_answers_total", "Answers given, by kind", true,
      {{"playing", real(f.playing)}, {"throttled", real(f.throttled)}, {"terminated", real(f.terminated)}},
      "answer");
  add("lupinsill_asks_repeated_total", "Asks answered from an earlier one of the same key", true,
      {{"", real(f.repeated)}});
  add("lupinsill_asks_late_total", "Asks too old when they were read", true, {{"", real(f.late)}});
  add("lupinsill_standstills_total", "Gaps between turns over the stated length", true,
      {{"", real(f.stalls)}});
  add("lupinsill_joins_total", "Joins sent, by whether the subscription had one before", true,
      {{"first", real(f.joins - f.furtherJoins)}, {"further", real(f.furtherJoins)}}, "join");
  add("lupinsill_joins_handed_back_total", "Joins withdrawn before they were written", true,
      {{"", real(f.withdrawnJoins)}});
  add("lupinsill_subscriptions_ended_total", "Subscriptions ended by their node, by why", true,
      {{"finished", real(f.ended - f.nodeLost)}, {"node-lost", real(f.nodeLost)}}, "why");
  add("lupinsill_rung_changes_total", "Changes of rung while playing", true, {{"", real(f.rungChanges)}});
  std::vector<std::pair<std::string, double>> held;
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    held.emplace_back(nameOf(static_cast<session::Rule>(i)), real(f.guardViolations[i]));
  add("lupinsill_guard_held_total", "What a guard held back, by rule; stays 0 on a sound build", true, held,
      "rule");
  add("lupinsill_open_asks", "Asks not answered yet", false, {{"", real(f.open)}});
  add("lupinsill_subscriptions", "Subscriptions that play", false, {{"", real(f.plays)}});
  add("lupinsill_asks_doubted_total", "Repeats answered for what a lost record may have said", true,
      {{"", real(f.uncertainRepeats)}});
  if (store_)
    add("lupinsill_ledger_commits_total", "Group commits of the ledger", true,
        {{"", real(store_->commits())}});
  add("lupinsill_keys", "Keys of unsafe asks held or remembered", false, {{"", real(f.keys)}});
  add("lupinsill_player_sockets", "Players' sockets", false, {{"", real(sockets())}});
  add("lupinsill_player_sockets_total", "Players' sockets, by what became of them", true,
      {{"accepted", real(desk.taken)},
       {"refused", real(desk.refused)},
       {"unruly", real(desk.abusive)},
       {"closed", real(p.closed + (calls_ ? calls_->statistics().closed : 0))},
       {"too-slow", real(p.slow)},
       {"bad-message", real(p.badMessages + (calls_ ? calls_->statistics().badWords : 0))}},
      "what");
  add("lupinsill_calls", "Asks on players' connections that are not over", false, {{"", real(desk.open)}});
  add("lupinsill_calls_total", "Calls on players' connections, by what became of them", true,
      {{"opened", real(desk.calls)},
       {"refused", real(desk.callsRefused)},
       {"deadline", real(desk.deadlines)},
       {"wrong-word", real(desk.invalidInputs)},
       {"second-answer", real(desk.secondAnswers)}},
      "what");
  add("lupinsill_node_connections", "Connections to media nodes", false, {{"", real(n.connections)}});
  add("lupinsill_node_connections_total", "Connections to media nodes, by what became of them", true,
      {{"opened", real(n.connects)},
       {"failed", real(n.connectsFailed)},
       {"lost", real(n.lost)},
       {"bad-bytes", real(n.badBytes)},
       {"stuck", real(n.stuck)}},
      "what");
  add("lupinsill_node_late_answers_total", "Answers of nodes to joins given up on", true,
      {{"", real(n.lateAnswers)}});
  add("lupinsill_list_version", "Version of the list of nodes in force", false,
      {{"", real(membership_.version())}});
  add("lupinsill_list_total", "Lists read, by what was done with them", true,
      {{"applied", real(listApplied_)},
       {"refused", real(listRefused_)},
       {"held-back", real(membership_.heldBack())}},
      "what");
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace

int run(const Start& start) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot start");
  Director director(start);
  return director.loop();
}

}  // namespace lupinsill::director
