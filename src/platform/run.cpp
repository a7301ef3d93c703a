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
#include <map>
#include <utility>

#include "director/log.h"
#include "discovery/dns.h"
#include "fleet/list_poller.h"
#include "fleet/membership.h"
#include "fleet/node_id_registry.h"
#include "net/handles.h"
#include "platform/configuration.h"
#include "platform/nodes.h"
#include "platform/viewers.h"
#include "session/front.h"

namespace lupinsill::platform {
namespace {

using director::Level;
using director::log;

constexpr const char* service = "_api._tcp.svc.local";
constexpr Micros housekeeping = 25'000;
constexpr Micros stoodStill = 100'000;  // between two passes of the loop
constexpr int catchUpPasses = 16;
constexpr Micros lingers = 1'200'000;  // new set-ups still come so long after SIGTERM, and are answered
// SIGKILL may follow SIGTERM after the longest deadline, counted as this where it is longer, and that.
constexpr Micros longestCounted = 3'000'000;
constexpr Micros killedAfter = 700'000;
constexpr Micros lastWay = 100'000;  // the last answers leave so long before
// With nothing left to do it stays for so long: a connection closed over bytes not read yet is reset, and
// that may take the answer before it along.
constexpr Micros staysQuiet = 100'000;
constexpr Micros figuresEvery = 5'000'000;
// A list that lost nearly all its entries looks like a fleet that went: it is believed after half the grace.
constexpr double leastKept = 0.1;
constexpr std::size_t spareSockets = 24;  // of the loop, the name server, the log, and what is being closed

class Director final : public Viewers::Handler, public Nodes::Handler {
 public:
  Director(const std::string& file, const std::string& logLevel);
  int loop();

 private:
  void onRequest(Call& call, session::PlayRequest ask) override;
  void onAdopted(Call& call, session::PlayRequest ask, const std::string& node) override;
  void onLeave(const Call& call) override { front_.leave(call.callId), joinOf_.erase(call.callId); }
  bool ready() override { return !stopping_ && !membership_.endpoints().empty(); }
  bool mayWrite(session::JoinId join) override { return front_.mayWrite(net::unixNow(), join); }
  void joinStarted(session::JoinId join, const std::string& desc) override;
  void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report, bool finished) override {
    descs_.erase(join);
    front_.joinEnded(join, outcome, report, finished);
  }
  void measured(session::JoinId join, MeasurementKind reading, double value) override {
    front_.measured(join, reading, value);
  }

  void carry(const session::Command& order);
  void turn();
  fleet::NodeList wordOf(std::uint64_t version, const std::vector<discovery::Row>& rows);
  void taken(Micros now, fleet::UpdateResult taken, ListUpdate told);
  void resolve(const HostPort& resolver);
  void askForList(Micros now);
  void heardList();
  void reload();
  bool mayEnd(Micros now);
  void showFigures(Level level);
  static void onSignal(evutil_socket_t signal, short, void* me);
  static void onWake(evutil_socket_t, short, void*) {}
  static void onList(evutil_socket_t, short, void* me) { static_cast<Director*>(me)->heardList(); }

  std::string file_;
  Configuration told_;
  net::EventBase base_;
  fleet::Membership membership_;
  fleet::ListPoller listPoller_;
  session::Front front_;
  Nodes nodes_;
  std::unique_ptr<Viewers> viewers_;
  net::Event wake_, listEvent_;
  std::vector<net::Event> signals_;
  struct Descriptor {
    int fd = -1;
    ~Descriptor() { reset(-1); }
    void reset(int next) {
      if (fd >= 0) close(fd);
      fd = next;
    }
  } list_;
  fleet::NodeIdRegistry numbering_;
  std::map<session::JoinId, std::string> descs_;  // of joins that began, until their viewers are told
  std::map<session::CallId, session::JoinId> joinOf_;
  std::vector<session::Command> orders_;
  Micros housedAt_ = 0;
  Micros shownAt_ = 0;
  Micros stopAt_ = 0;      // it ends from here on, once nothing is owed
  Micros goneAt_ = 0;      // and here in any case
  Micros quietSince_ = 0;  // while it stops: nothing has been owed
  bool stopping_ = false;
};

session::Limits boundsOf(const Configuration& told) {
  session::Limits bounds;
  bounds.grace = told.grace;
  bounds.answerMargin = 10'000;  // the way of an answer to its viewer
  bounds.stallThreshold = 300'000;
  bounds.maxOpen = 4'000;
  bounds.maxKeys = 1'000;  // no set-up here has a key of its own: none is ever remembered
  bounds.maxSubscriptions = 50'000;
  bounds.minTimeLeft = 0;
  return bounds;
}

// Viewers hold at most a third of the descriptors, others may try to hold more; the rest is for nodes.
std::size_t forViewers(std::size_t sockets) { return (sockets - spareSockets) * 9 / 20; }

Director::Director(const std::string& file, const std::string& logLevel)
    : file_(file),
      told_(readConfiguration(file)),
      base_(event_base_new()),
      membership_(told_.terms.cells, leastKept, told_.grace),
      listPoller_(told_.seed),
      front_(told_.terms, boundsOf(told_),
             std::make_unique<session::ControlDecider>(told_.terms, told_.seed)),
      nodes_(base_.get(), *this,
             {told_.sockets - spareSockets - forViewers(told_.sockets), told_.connectTime}) {
  director::setUpLog(logLevel, "text", told_.name);
  traceMessages(logLevel == "debug");
  front_.listUpdated(membership_.restore(wordOf(told_.listNumber, told_.known)));
  resolve(told_.resolver);
  viewers_ = std::make_unique<Viewers>(base_.get(), *this, told_.listen.host, told_.listen.port, told_.names,
                                       told_.terms, Viewers::Limits{forViewers(told_.sockets)});
  wake_.reset(event_new(base_.get(), -1, 0, onWake, nullptr));
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.emplace_back(evsignal_new(base_.get(), signal, onSignal, this));
    event_add(signals_.back().get(), nullptr);
  }
  std::signal(SIGPIPE, SIG_IGN);
  log(Level::info, "listening",
      {{"port", std::to_string(viewers_->port())},
       {"nodes", std::to_string(membership_.endpoints().size())}});
}

// ---- the list ----

fleet::NodeList Director::wordOf(std::uint64_t version, const std::vector<discovery::Row>& rows) {
  fleet::NodeList word;
  word.version = version;
  for (const discovery::Row& row : rows) {
    fleet::NodeEndpoint endpoint;
    endpoint.node = numbering_.idOf(row.name);
    endpoint.host = row.host;
    endpoint.port = row.port;
    endpoint.state = row.draining ? NodeState::draining : NodeState::ready;
    endpoint.kind = control_settings::placeOf(told_.names.kinds, row.kind);
    endpoint.cell = row.cell;
    endpoint.weight = row.weight;
    endpoint.zone = row.zone;
    endpoint.readyAt = row.startedMs * 1000;
    word.endpoints.push_back(std::move(endpoint));
  }
  return word;
}

void Director::taken(Micros now, fleet::UpdateResult taken, ListUpdate told) {
  numbering_.retain(membership_.endpoints());
  if (taken != fleet::UpdateResult::applied && taken != fleet::UpdateResult::tooMuchGone) return;
  log(Level::debug, "list",
      {{"version", std::to_string(membership_.version())},
       {"changes", std::to_string(told.entries.size())},
       {"taken", nameOf(taken)}});
  nodes_.listed(membership_, now);
  if (!told.entries.empty() || told.kind == ListKind::snapshot) front_.listUpdated(std::move(told));
}

// The old socket goes only once the new one stands: without one no list would ever come again.
void Director::resolve(const HostPort& resolver) {
  Descriptor next;
  next.reset(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(resolver.port));
  // Connected, so that only that address is heard.
  if (next.fd < 0 || inet_pton(AF_INET, resolver.host.c_str(), &address.sin_addr) != 1 ||
      connect(next.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    return log(Level::error, "resolver-unusable", {{"address", resolver.host}});
  listEvent_.reset();
  list_.reset(std::exchange(next.fd, -1));
  listPoller_.serverMoved(net::unixNow());
  listEvent_.reset(event_new(base_.get(), list_.fd, EV_READ | EV_PERSIST, onList, this));
  event_add(listEvent_.get(), nullptr);
}

void Director::askForList(Micros now) {
  if (now < listPoller_.due()) return;
  const std::string question = discovery::question(listPoller_.nextQuery(now), service);
  // One that does not leave is asked again like one that is lost.
  if (send(list_.fd, question.data(), question.size(), MSG_DONTWAIT) < 0) return;
}

void Director::heardList() {
  std::array<char, 16 * 1024> bytes;
  while (true) {
    const ssize_t size = recv(list_.fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0) return;
    const auto answer = discovery::read({bytes.data(), static_cast<std::size_t>(size)}, service);
    if (!answer || !listPoller_.expects(answer->number)) continue;
    const Micros now = net::unixNow();
    ListUpdate told;
    const fleet::UpdateResult outcome = membership_.apply(now, wordOf(answer->serial, answer->rows), told);
    if (outcome != fleet::UpdateResult::older) listPoller_.answered(now);
    taken(now, outcome, std::move(told));
  }
}

// ---- set-ups and answers ----

void Director::onRequest(Call&, session::PlayRequest ask) { front_.submit(std::move(ask)); }

void Director::onAdopted(Call& call, session::PlayRequest ask, const std::string& node) {
  const std::optional<NodeId> number = numbering_.find(node);
  const fleet::NodeEndpoint* endpoint = number ? membership_.find(*number) : nullptr;
  if (endpoint == nullptr) return viewers_->ended(call.callId, false);  // it went with its node
  const session::JoinId join = front_.adopt(std::move(ask), endpoint->node);
  nodes_.adopt(join, *endpoint, call);
}

void Director::joinStarted(session::JoinId join, const std::string& desc) {
  descs_[join] = desc;
  front_.joinStarted(join);
}

void Director::carry(const session::Command& order) {
  if (const auto* playing = std::get_if<session::Playing>(&order)) {
    const auto join = joinOf_.find(playing->callId);
    if (join != joinOf_.end()) viewers_->playing(playing->callId, descs_[join->second]);
    if (join != joinOf_.end()) descs_.erase(join->second);
  } else if (const auto* throttled = std::get_if<session::Throttled>(&order)) {
    viewers_->throttled(throttled->callId, throttled->retryAfter);
    joinOf_.erase(throttled->callId);
  } else if (const auto* terminated = std::get_if<session::Terminated>(&order)) {
    viewers_->terminated(terminated->callId);
    joinOf_.erase(terminated->callId);
  } else if (const auto* end = std::get_if<session::Ended>(&order)) {
    viewers_->ended(end->callId, end->reason == session::EndReason::finished);
    joinOf_.erase(end->callId);
  } else if (const auto* setUp = std::get_if<session::SetUp>(&order)) {
    const fleet::NodeEndpoint* endpoint = membership_.find(setUp->node);
    const Call* call = viewers_->find(setUp->callId);
    if (call == nullptr) return front_.joinEnded(setUp->join, Outcome::notSent, {}, false);
    if (endpoint == nullptr) return front_.joinEnded(setUp->join, Outcome::connectFailed, {}, false);
    joinOf_[setUp->callId] = setUp->join;
    nodes_.setUp(*setUp, *endpoint, *call);
  } else if (const auto* change = std::get_if<session::ChangeRung>(&order)) {
    nodes_.change(*change);
  } else if (const auto* down = std::get_if<session::TearDown>(&order)) {
    descs_.erase(down->join);
    nodes_.tearDown(down->join);
  } else if (const auto* withdraw = std::get_if<session::Withdraw>(&order)) {
    nodes_.withdraw(withdraw->join);
  } else if (std::holds_alternative<session::StartListWatch>(order)) {
    listPoller_.serverMoved(net::unixNow());
  }
}

void Director::turn() {
  const Micros now = net::unixNow();
  if (now < front_.due()) return;
  orders_.clear();
  front_.processTurn(now, orders_);
  for (const session::Command& order : orders_) carry(order);
}

// ---- the process ----

void Director::onSignal(evutil_socket_t signal, short, void* me) {
  auto& director = *static_cast<Director*>(me);
  if (signal == SIGHUP) return director.reload();
  if (director.stopping_) return;
  director.stopping_ = true;
  const Micros now = net::unixNow();
  director.stopAt_ = now + lingers;
  const Micros longest = director.told_.longestTimeout;
  director.goneAt_ = now + (longest > 0 ? std::min(longest, longestCounted) : longestCounted) + killedAfter;
  director.front_.setAnswerDeadline(director.goneAt_ - lastWay);
  log(Level::info, "stopping");
}

void Director::reload() {
  try {
    Configuration next = readConfiguration(file_);
    resolve(next.resolver);
    // The file's list was the newest when it was written: with a name server that is not up yet, all there
    // is.
    if (next.listNumber > membership_.version()) {
      const Micros now = net::unixNow();
      ListUpdate told;
      const fleet::UpdateResult outcome = membership_.apply(now, wordOf(next.listNumber, next.known), told);
      taken(now, outcome, std::move(told));
    }
    log(Level::info, "reloaded",
        {{"resolver", next.resolver.host + ":" + std::to_string(next.resolver.port)}});
  } catch (const control_settings::InvalidInput& bad) {
    log(Level::error, "reload-refused", {{"why", bad.what()}});
  }
}

void Director::showFigures(Level level) {
  const session::Statistics f = front_.statistics();
  const Viewers::Statistics v = viewers_->statistics();
  const Nodes::Statistics n = nodes_.statistics();
  std::string held;
  for (std::size_t i = 0; i < session::ruleCount; ++i)
    if (f.guardViolations[i] != 0)
      held += std::string(held.empty() ? "" : ",") + nameOf(static_cast<session::Rule>(i)) + ":" +
              std::to_string(f.guardViolations[i]);
  const auto text = [](std::uint64_t value) { return std::to_string(value); };
  log(level, "figures",
      {{"asks", text(f.asks)},
       {"playing", text(f.playing)},
       {"throttled", text(f.throttled)},
       {"terminated", text(f.terminated)},
       {"joins", text(f.joins)},
       {"lost", text(f.nodeLost)},
       {"open", text(f.open)},
       {"plays", text(f.plays)},
       {"held", held},
       {"late", text(f.stalls)},
       {"peers", text(v.connections)},
       {"calls", text(v.calls)},
       {"useless", text(v.useless)},
       {"unreadable", text(v.unreadable)},
       {"turned-away", text(v.turnedAway)},
       {"floods", text(v.floods)},
       {"said-again", text(v.saidAgain)},
       {"wires", text(n.connections)},
       {"connects", text(n.connects)},
       {"failed", text(n.failed)},
       {"broken", text(n.lost)},
       {"spoilt", text(n.unreadable)},
       {"passed-over", text(n.passedOver)},
       {"orphans", text(n.orphans)},
       {"vanished", text(n.vanished)},
       {"node-joins", text(n.joins)},
       {"version", text(membership_.version())}});
}

// Nothing may be owed as it ends: no answer, no byte of one, no end that a viewer or a node has not been
// told.
bool Director::mayEnd(Micros now) {
  const bool quiet = front_.statistics().open == 0 && viewers_->settled() && nodes_.settled();
  if (!quiet) quietSince_ = 0;
  if (quiet && quietSince_ == 0) quietSince_ = now;
  return now >= goneAt_ || (quiet && now >= stopAt_ && now - quietSince_ >= staysQuiet);
}

int Director::loop() {
  Micros last = net::unixNow();
  while (true) {
    const Micros due = std::min({front_.due(), housedAt_ + housekeeping, listPoller_.due()});
    const Micros wait = std::max<Micros>(0, due - net::unixNow());
    const timeval span{static_cast<time_t>(wait / 1'000'000), static_cast<suseconds_t>(wait % 1'000'000)};
    event_add(wake_.get(), &span);
    event_base_loop(base_.get(), EVLOOP_ONCE);
    // Guards against deciding on a part of what came while the process stood still: answers that lie in the
    // sockets must be read before time-outs are drawn from their absence.
    if (net::unixNow() - last > stoodStill)
      for (int pass = 0; pass < catchUpPasses; ++pass) event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    last = net::unixNow();
    turn();
    nodes_.writeWaiting();
    askForList(last);
    if (last - housedAt_ >= housekeeping) {
      housedAt_ = last;
      if (ListUpdate gone = membership_.confirmRemovals(last); !gone.entries.empty()) {
        log(Level::warn, "list-confirmed", {{"gone", std::to_string(gone.entries.size())}});
        taken(last, fleet::UpdateResult::applied, std::move(gone));
      }
      nodes_.tick(last);
      viewers_->tick(last);
    }
    if (last - shownAt_ >= figuresEvery) shownAt_ = last, showFigures(Level::info);
    if (stopping_ && mayEnd(last)) break;
  }
  showFigures(Level::info);
  log(Level::info, "stopped");
  return 0;
}

}  // namespace

int run(const std::string& configurationFile, const std::string& logLevel) {
  return Director(configurationFile, logLevel).loop();
}

}  // namespace lupinsill::platform
