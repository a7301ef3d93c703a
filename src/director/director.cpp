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

#include "director/admin.h"
#include "director/log.h"
#include "fleet/membership.h"
#include "grpc/calls.h"
#include "intake/desk.h"
#include "intake/reception.h"
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

class Director final : public player::Ear, public media::Nodes::Ear {
 public:
  explicit Director(const Start& start);
  int loop();

 private:
  struct AskedAt {
    Micros at;
    int roomType;
  };

  bool asked(session::Line line, const player::AskMessage& ask, std::string& why) override;
  void left(session::Line line) override { front_.leave(line), asked_.erase(line); }
  void closed(session::Line line) override { front_.closed(line), asked_.erase(line); }
  bool leaves(session::JoinKey join) override { return front_.leaves(net::monotonicNow(), join); }
  void began(session::JoinKey join) override;
  void ended(session::JoinKey join, Outcome outcome, const LoadReport& report, bool finished) override {
    front_.ended(join, outcome, report, finished);
  }
  void noted(session::JoinKey join, Reading reading, double value) override {
    front_.noted(join, reading, value);
  }
  void drains(NodeId node) override;

  void turn();
  void carry(const session::Order& order);
  void say(session::Line line, const player::AnswerMessage& message);
  void follow();
  std::size_t sockets() const;
  enum class Kind { playing, throttled, terminated };
  static constexpr std::size_t kinds = 3;
  void answered(session::Line line, Kind kind);
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
  net::Base base_;
  std::unique_ptr<net::Tls> webTls_, grpcTls_, nodesTls_;  // where the settings name files
  fleet::Membership membership_;
  session::Front front_;
  media::Nodes nodes_;
  intake::Reception reception_;
  intake::Desk desk_;
  std::unique_ptr<websocket::Players> players_;
  std::unique_ptr<grpc::Calls> calls_;  // where the settings name a place for it
  std::vector<intake::Door*> doors_;    // of both, as they are
  std::vector<intake::Due> dues_;
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
  std::map<session::Line, AskedAt> asked_;
  // For the lab's hooks alone: what a step is about, and calls to cut once the loop is out of their
  // callbacks.
  std::map<session::Line, std::string> titles_;
  std::map<session::JoinKey, std::string> joinTitles_;
  std::vector<std::string> turnTitles_;
  std::vector<session::Line> cuts_;
  bool cutAt(Step step, session::Line line);
  prometheus::Registry registry_;
  std::vector<prometheus::Histogram*> answerTimes_;  // by room type and kind of answer
  std::vector<session::Order> orders_;
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

session::Bounds boundsOf(const settings::Deployment& deployment, const Hooks& hooks) {
  session::Bounds bounds = deployment.bounds;
  bounds.guarded = hooks.guarded;
  bounds.keysStored = bounds.keysStored && hooks.recorded;
  return bounds;
}

std::unique_ptr<session::Decider> deciderOf(const Start& start, const Terms& terms) {
  const std::uint64_t seed = drawnSeed(start.seed);
  if (start.hooks.decider) return start.hooks.decider(terms, seed);
  return std::make_unique<session::ByControl>(terms, seed);
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

intake::Bounds deskBounds(const settings::Deployment& deployment) {
  intake::Bounds bounds;
  bounds.peers = static_cast<std::size_t>(deployment.sockets.connections);
  bounds.callsPerPeer = static_cast<std::size_t>(deployment.sockets.asksPerSocket);
  bounds.askWait = deployment.sockets.handshake;
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
    front_.told(membership_.startFrom(settings::readNodes(deployment_.keptAs, deployment_, offset)));
    log(Level::info, "list-kept",
        {{"version", std::to_string(membership_.version())},
         {"nodes", std::to_string(membership_.boxes().size())}});
  } catch (const settings::BadSettings& bad) {
    log(Level::info, "list-not-kept", {{"why", bad.what()}});
    front_.told({ListKind::warmCopy, {}});
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
  for (const intake::Door* door : doors_) all += door->sockets();
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
    for (const session::Line line : std::exchange(cuts_, {}))
      for (intake::Door* door : doors_) door->cut(line);
    if (last - housedAt_ >= housekeeping) house();
    if (stopping_ && stopAt_ == 0) {
      for (intake::Door* door : doors_) door->closeAll();
      stopAt_ = last + flushTime;
    }
    if (stopAt_ != 0 && (last >= stopAt_ || sockets() == 0)) break;
    if (drainingOut_ && !stopping_) {
      const session::Figures figures = front_.figures();
      if (figures.open == 0 && figures.plays == 0) {
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
  for (intake::Door* door : doors_) door->tick(now);
  nodes_.tick(now);
  if (now - lookedAt_ >= deployment_.lookEvery) look(false);
  if (ListTold told = membership_.confirm(now); !told.entries.empty()) {
    log(Level::warn, "list-confirmed", {{"gone", std::to_string(told.entries.size())}});
    front_.told(std::move(told));
  }
}

void Director::turn() {
  const Micros now = net::monotonicNow();
  if (now < front_.due()) return;
  orders_.clear();
  front_.turn(now, orders_);
  if (start_.hooks.tamper) start_.hooks.tamper(now, orders_);
  if (start_.hooks.at)
    for (const std::string& title : std::exchange(turnTitles_, {})) start_.hooks.at(Step::askDecided, title);
  for (const session::Order& order : orders_) carry(order);
  if (store_) store_->write(front_.takeWrites());
}

// ---- asks and answers ----

bool Director::asked(session::Line line, const player::AskMessage& ask, std::string& why) {
  const Micros now = net::monotonicNow();
  auto read = reception_.read(line, ask, desk_.timeLeft(now, line), membership_, why);
  if (!read) return false;
  if (start_.hooks.at) {
    titles_[line] = read->title;
    if (cutAt(Step::askRead, line)) return true;
    if (start_.hooks.at(Step::askRead, read->title) == Fate::refuse) {
      carry(session::Throttled{line, 100'000, session::WhyThrottled::busy});
      return true;
    }
    turnTitles_.push_back(read->title);
  }
  asked_[line] = {now, read->roomType};
  front_.ask(std::move(*read));
  return true;
}

void Director::answered(session::Line line, Kind kind) {
  const auto it = asked_.find(line);
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

bool Director::cutAt(Step step, session::Line line) {
  const auto it = titles_.find(line);
  if (it == titles_.end() || start_.hooks.at(step, it->second) != Fate::cut) return false;
  cuts_.push_back(line);
  return true;
}

void Director::began(session::JoinKey join) {
  if (const auto it = joinTitles_.find(join); it != joinTitles_.end())
    start_.hooks.at(Step::joinBegan, it->second);
  front_.began(join);
}

void Director::say(session::Line line, const player::AnswerMessage& message) {
  using player::Said;
  const intake::Tell tell = message.said == Said::playing      ? intake::Tell::playing
                            : message.said == Said::throttled  ? intake::Tell::throttled
                            : message.said == Said::terminated ? intake::Tell::terminated
                            : message.said == Said::rung       ? intake::Tell::rung
                            : message.said == Said::ended      ? intake::Tell::ended
                                                               : intake::Tell::error;
  const bool answer =
      tell == intake::Tell::playing || tell == intake::Tell::throttled || tell == intake::Tell::terminated;
  if (start_.hooks.at && answer && cutAt(Step::answerDecided, line)) return;
  const intake::Send send = desk_.tell(line, tell);
  if (send == intake::Send::no) return;
  for (intake::Door* door : doors_)
    if (door->carry(line, message, send == intake::Send::andEnd)) return;
}

// What the desk has due: the notices of a drain, and calls past their own deadline.
void Director::follow() {
  dues_.clear();
  desk_.tick(net::monotonicNow(), dues_);
  for (const intake::Due& due : dues_)
    for (intake::Door* door : doors_) door->carry(due);
}

void Director::carry(const session::Order& order) {
  using player::AnswerMessage;
  using player::Said;
  if (const auto* playing = std::get_if<session::Playing>(&order)) {
    const fleet::Box* box = membership_.find(playing->node);
    AnswerMessage message;
    message.said = Said::playing;
    message.subscription = runName_ + "-" + std::to_string(playing->sub);
    message.node = box == nullptr ? "" : box->host + ":" + std::to_string(box->port);
    message.rung = playing->rung;
    message.ticket =
        ticket::sign(ticketKeys_.front(), {message.subscription, message.node, playing->rung,
                                           (net::wallNow() + deployment_.ticketValid) / 1'000'000});
    answered(playing->line, Kind::playing);
    say(playing->line, message);
  } else if (const auto* throttled = std::get_if<session::Throttled>(&order)) {
    AnswerMessage message;
    message.said = Said::throttled;
    message.reason = nameOf(throttled->why);
    message.retryAfter = throttled->retryAfter;
    answered(throttled->line, Kind::throttled);
    say(throttled->line, message);
  } else if (const auto* terminated = std::get_if<session::Terminated>(&order)) {
    AnswerMessage message;
    message.said = Said::terminated;
    message.reason = nameOf(terminated->why);
    answered(terminated->line, Kind::terminated);
    say(terminated->line, message);
  } else if (const auto* rung = std::get_if<session::RungNow>(&order)) {
    AnswerMessage message;
    message.said = Said::rung;
    message.rung = rung->rung;
    say(rung->line, message);
  } else if (const auto* end = std::get_if<session::Ended>(&order)) {
    AnswerMessage message;
    message.said = Said::ended;
    message.reason = nameOf(end->why);
    message.retryAfter = end->retryAfter;
    say(end->line, message);
  } else if (const auto* setUp = std::get_if<session::SetUp>(&order)) {
    const fleet::Box* box = membership_.find(setUp->node);
    if (box == nullptr) return front_.ended(setUp->join, Outcome::connectFailed, {}, false);
    if (start_.hooks.at) {
      joinTitles_[setUp->join] = setUp->title;
      start_.hooks.at(Step::joinLeaves, setUp->title);
    }
    nodes_.setUp(*setUp, *box, deployment_.roomTypes[static_cast<std::size_t>(setUp->roomType)]);
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

void Director::drains(NodeId node) {
  ListTold told = membership_.drains(node);
  if (told.entries.empty()) return;
  log(Level::info, "node-drains", {{"node", std::to_string(node)}, {"by", "itself"}});
  front_.told(std::move(told));
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
    const fleet::Word word = settings::readNodes(deployment_.listFile, deployment_, offset);
    ListTold told;
    const fleet::Taken taken = membership_.apply(lookedAt_, word, told);
    const bool applied = taken == fleet::Taken::applied || taken == fleet::Taken::tooMuchGone;
    log(applied ? Level::info : Level::warn, "list",
        {{"version", std::to_string(word.version)},
         {"taken", nameOf(taken)},
         {"changes", std::to_string(told.entries.size())}});
    listComplaint_.clear();
    if (!applied) return;
    ++listApplied_;
    if (!told.entries.empty() || told.kind == ListKind::total) front_.told(std::move(told));
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
    desk_.setBounds(deskBounds(deployment_));
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
  const session::Figures f = front_.figures();
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
                                {"nodes", membership_.boxes().size()},
                                {"refused", listRefused_}}}};
  if (!listComplaint_.empty()) json["list"]["complaint"] = listComplaint_;
  nlohmann::ordered_json held = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    if (f.held[i] != 0) held[nameOf(static_cast<session::Rule>(i))] = f.held[i];
  json["guardsHeld"] = held;
  return json.dump(2) + "\n";
}

std::string Director::nodesShown() {
  std::map<NodeId, session::Front::Shown> shown;
  for (const auto& row : front_.shown()) shown.emplace(row.node, row);
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& [id, box] : membership_.boxes()) {
    const auto it = shown.find(id);
    rows.push_back({{"node", id},
                    {"address", box.host + ":" + std::to_string(box.port)},
                    {"state", box.state == NodeState::ready      ? "ready"
                              : box.state == NodeState::draining ? "draining"
                                                                 : "gone"},
                    {"zone", box.zone},
                    {"cell", box.cell},
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
  const session::Figures f = front_.figures();
  const websocket::PlayersFigures& p = players_->figures();
  const intake::Figures desk = desk_.figures();
  const media::NodesFigures n = nodes_.figures();
  add("lupinsill_asks_total", "Asks taken from players", true, {{"", real(f.asks)}});
  add("lupinsill_answers_total", "Answers given, by kind", true,
      {{"playing", real(f.playing)}, {"throttled", real(f.throttled)}, {"terminated", real(f.terminated)}},
      "answer");
  add("lupinsill_asks_repeated_total", "Asks answered from an earlier one of the same key", true,
      {{"", real(f.repeated)}});
  add("lupinsill_asks_late_total", "Asks too old when they were read", true, {{"", real(f.late)}});
  add("lupinsill_standstills_total", "Gaps between turns over the stated length", true,
      {{"", real(f.standstills)}});
  add("lupinsill_joins_total", "Joins sent, by whether the subscription had one before", true,
      {{"first", real(f.joins - f.furtherJoins)}, {"further", real(f.furtherJoins)}}, "join");
  add("lupinsill_joins_handed_back_total", "Joins withdrawn before they were written", true,
      {{"", real(f.handedBack)}});
  add("lupinsill_subscriptions_ended_total", "Subscriptions ended by their node, by why", true,
      {{"finished", real(f.ended - f.nodeLost)}, {"node-lost", real(f.nodeLost)}}, "why");
  add("lupinsill_rung_changes_total", "Changes of rung while playing", true, {{"", real(f.rungChanges)}});
  std::vector<std::pair<std::string, double>> held;
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    held.emplace_back(nameOf(static_cast<session::Rule>(i)), real(f.held[i]));
  add("lupinsill_guard_held_total", "What a guard held back, by rule; stays 0 on a sound build", true, held,
      "rule");
  add("lupinsill_open_asks", "Asks not answered yet", false, {{"", real(f.open)}});
  add("lupinsill_subscriptions", "Subscriptions that play", false, {{"", real(f.plays)}});
  add("lupinsill_asks_doubted_total", "Repeats answered for what a lost record may have said", true,
      {{"", real(f.doubted)}});
  if (store_)
    add("lupinsill_ledger_commits_total", "Group commits of the ledger", true,
        {{"", real(store_->commits())}});
  add("lupinsill_keys", "Keys of unsafe asks held or remembered", false, {{"", real(f.keys)}});
  add("lupinsill_player_sockets", "Players' sockets", false, {{"", real(sockets())}});
  add("lupinsill_player_sockets_total", "Players' sockets, by what became of them", true,
      {{"accepted", real(desk.taken)},
       {"refused", real(desk.refused)},
       {"unruly", real(desk.unruly)},
       {"closed", real(p.closed + (calls_ ? calls_->figures().closed : 0))},
       {"too-slow", real(p.slow)},
       {"bad-message", real(p.badMessages + (calls_ ? calls_->figures().badWords : 0))}},
      "what");
  add("lupinsill_calls", "Asks on players' connections that are not over", false, {{"", real(desk.open)}});
  add("lupinsill_calls_total", "Calls on players' connections, by what became of them", true,
      {{"opened", real(desk.calls)},
       {"refused", real(desk.callsRefused)},
       {"deadline", real(desk.deadlines)},
       {"wrong-word", real(desk.wrongWords)},
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
