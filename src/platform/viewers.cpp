#include "platform/viewers.h"

#include <algorithm>
#include <utility>

namespace lupinsill::platform {

using jsonl::Message;
using jsonl::Op;
namespace cause = jsonl::cause;

namespace {

constexpr Micros toldWithin = 8'000'000;    // the protocol's: a release is of no use to anybody later
constexpr Micros stoodStill = 100'000;      // between two ticks, at most, it was this process's own time
constexpr std::size_t unsaidMost = 10'000;  // releases that wait for a connection

}  // namespace

struct Viewers::Peer final : Link::Handler {
  Peer(Viewers& viewers, std::uint64_t number, net::BufferEvent bufferEvent)
      : owner(viewers),
        id(number),
        since(net::unixNow()),
        link(*this, std::move(bufferEvent), true, "viewer-" + std::to_string(number)) {}
  void onUp(Link&) override {}
  void onMessage(Link&, Message& message) override { owner.heard(*this, message); }
  void onDown(Link&, Link::End how) override {
    if (how == Link::End::unreadable) ++owner.statistics_.unreadable;
    owner.down(*this);
  }
  Viewers& owner;
  std::uint64_t id;
  Micros since;                                     // of accepting, then of the last use
  bool proven = false;                              // has brought something of use
  std::map<session::CallId, Held*> open, standing;  // in the order they came
  std::map<std::string, Release> unheard;           // said here, and not acknowledged yet
  Link link;
};

struct Viewers::Held {
  Call call;
  Peer* peer = nullptr;  // of its set-up, while that is there
};

Viewers::Viewers(event_base* base, Handler& handler, const std::string& host, int port,
                 const control_settings::Names& names, const ControlSettings& terms, Limits bounds)
    : base_(base),
      handler_(handler),
      names_(names),
      terms_(terms),
      bounds_(bounds),
      retryAfterSchedule_(terms),
      adoptsFor_(bounds.adopting) {
  listener_ = net::listenOn(base, host, port, onAccept, this);
}
Viewers::~Viewers() = default;

int Viewers::port() const { return net::portOf(listener_.get()); }

// ---- connections ----

void Viewers::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
  static_cast<Viewers*>(me)->accepted(fd);
}

// Guards against connections by the hundred that say nothing: when short, those go first that carry nothing,
// the unproven before the rest, the oldest first, and last those on which something stands, since that
// belongs to no connection. Media nodes' sockets are never at stake.
void Viewers::accepted(evutil_socket_t fd) {
  ++statistics_.accepted;
  if (peers_.size() >= bounds_.connections) {
    Peer* out = nullptr;
    const auto worth = [](const Peer& peer) { return peer.standing.empty() ? (peer.proven ? 1 : 0) : 2; };
    for (auto& [id, peer] : peers_)
      if (peer->open.empty() && (out == nullptr || worth(*peer) < worth(*out))) out = peer.get();
    ++statistics_.turnedAway;
    if (out == nullptr) {
      evutil_closesocket(fd);
      return;
    }
    drop(*out);
  }
  net::noDelay(static_cast<int>(fd));
  net::BufferEvent bufferEvent = net::acceptPlain(base_, fd);
  if (!bufferEvent) return;
  const std::uint64_t id = ++lastPeer_;
  peers_.emplace(id, std::make_unique<Peer>(*this, id, std::move(bufferEvent)));
}

// Only a connection that has brought something of use hears of ends: who says nothing may be nobody's viewer.
void Viewers::proved(Peer& peer) {
  peer.since = net::unixNow();
  if (std::exchange(peer.proven, true)) return;
  for (const Release& release : std::exchange(unsaid_, {})) say(release, &peer);
}

// What is open on a connection that its viewer closed has been given up; what stands goes on without it.
void Viewers::down(Peer& peer) {
  for (const auto& [callId, held] : std::exchange(peer.open, {})) {
    handler_.onLeave(held->call);
    held->peer = nullptr;
    forget(*held);
  }
  for (const auto& [callId, held] : std::exchange(peer.standing, {})) held->peer = nullptr;
  const auto it = peers_.find(peer.id);
  if (it == peers_.end()) return;
  dead_.push_back(std::move(it->second));
  peers_.erase(it);
  // Guards against a release that met the break of its connection: whoever heard it has acknowledged it.
  for (const auto& [call, release] : std::exchange(peer.unheard, {}))
    ++statistics_.saidAgain, say(release, nullptr);
}

void Viewers::drop(Peer& peer) {
  peer.link.close();
  down(peer);
}

void Viewers::tick(Micros now) {
  dead_.clear();
  if (passed_) adoptsFor_ -= std::min(now - tickedAt_, stoodStill);
  tickedAt_ = now;
  const auto useless = [&](const Release& release) { return now - release.since > toldWithin; };
  std::erase_if(unsaid_, useless);
  for (auto& [id, peer] : peers_)
    std::erase_if(peer->unheard, [&](const auto& entry) { return useless(entry.second); });
  std::vector<Peer*> over;
  for (auto& [id, peer] : peers_)
    if (peer->open.empty() && peer->standing.empty() &&
        now - peer->since > (peer->proven ? bounds_.idle : bounds_.silent))
      over.push_back(peer.get());
  for (Peer* peer : over) drop(*peer);
}

// ---- what comes in ----

void Viewers::heard(Peer& peer, Message& message) {
  switch (message.op) {
    case Op::offer:
      return offered(peer, message);
    case Op::test: {
      proved(peer);
      Message reply;
      reply.op = Op::tested;
      reply.call = message.call;
      reply.why = handler_.ready() ? cause::passed : 0;
      passed_ = passed_ || reply.why == cause::passed;
      peer.link.say(reply);
      return;
    }
    case Op::end: {
      const auto it = calls_.find(message.call);
      if (it == calls_.end()) return;  // over already, its release crossed this one
      Held& held = *it->second;
      // What was not answered belongs to its connection: no other may take it back.
      if (!held.call.answered && held.peer != &peer) return useless(peer, message.call);
      const bool stood = held.call.answered;
      handler_.onLeave(held.call);
      forget(held);
      if (!stood) return;
      Message reply;
      reply.op = Op::ended;
      reply.call = message.call;
      peer.link.say(reply);
      return;
    }
    case Op::ended:
      peer.unheard.erase(message.call);
      return;
    default:
      return;
  }
}

// Guards against what no media node could use, floods of it, and the same thing again as soon as it is
// turned away: one answer, and the connection goes unless it carries something.
void Viewers::useless(Peer& peer, const std::string& call) {
  ++statistics_.useless;
  Message reply;
  reply.op = Op::end;
  reply.call = call;
  reply.why = cause::invalid;
  peer.link.say(reply);
  if (peer.open.empty() && peer.standing.empty()) drop(peer);
}

void Viewers::offered(Peer& peer, const Message& message) {
  session::PlayRequest ask;
  std::string node;
  if (!read(message, ask, node)) return useless(peer, message.call);
  const bool adopting = !node.empty();
  const auto known = calls_.find(message.call);
  if (known != calls_.end()) {
    if (adopting && known->second->call.answered) return named(peer, *known->second, message);
    // The id of another's request. On the same connection an answer would pass for that to the first.
    if (known->second->peer == &peer) return drop(peer);
    return useless(peer, message.call);
  }
  // Guards against imitations of what plays: each would take a seat and a place at its node for good, since
  // nobody ever ends what no node knows.
  if (adopting && adoptsFor_ <= 0) return useless(peer, message.call);
  if (!adopting && peer.open.size() >= bounds_.openPerConnection) {
    ++statistics_.floods;
    Message reply;
    reply.op = Op::end;
    reply.call = message.call;
    reply.why = cause::full;
    if (const Micros retryAfter = retryAfterSchedule_.next(); retryAfter > 0)
      reply.with["wait"] = std::to_string(retryAfter / 1000);
    peer.link.say(reply);
    return;
  }
  proved(peer);
  auto made = std::make_unique<Held>();
  Held& held = *made;
  held.peer = &peer;
  held.call = {message.call, ++lastLine_, *message.find("class"), ask.title, *message.desc, adopting};
  ask.callId = held.call.callId;
  (adopting ? peer.standing : peer.open).emplace(held.call.callId, &held);
  lines_[held.call.callId] = &held;
  calls_.emplace(message.call, std::move(made));
  if (adopting)
    handler_.onAdopted(held.call, std::move(ask), node);
  else
    handler_.onRequest(held.call, std::move(ask));
}

// What stands is named once more. Another description or title under its id is not its viewer's, and gets no
// word, which could pass for the end of the first; its connection goes, unless it carries something.
void Viewers::named(Peer& peer, const Held& known, const Message& message) {
  const bool same = *message.find("class") == known.call.room && *message.find("key") == known.call.title &&
                    *message.desc == known.call.desc;
  if (same) return proved(peer);
  ++statistics_.useless;
  if (peer.open.empty() && peer.standing.empty()) drop(peer);
}

// The numbers of a set-up within what they can mean; the rest is refused whole.
bool Viewers::read(const Message& message, session::PlayRequest& ask, std::string& node) const {
  const std::string* room = message.find("class");
  const std::string* title = message.find("key");
  const std::string* left = message.find("left");
  const std::string* extras = message.find("extras");
  if (room == nullptr || title == nullptr || title->empty() || extras == nullptr || !message.desc ||
      message.desc->empty())
    return false;
  ask.roomType = control_settings::indexOf(names_.roomTypes, *room);
  if (ask.roomType < 0) return false;
  if (const std::string* tenant = message.find("tenant"))
    ask.party = control_settings::indexOf(names_.parties, *tenant);
  ask.title = *title;
  std::map<std::string, std::string> facts;
  try {
    facts = jsonl::pairsOf(*extras);
  } catch (const jsonl::BadLine&) {
    return false;
  }
  const auto whole = [&](const char* key, long long least, long long most) {
    const auto it = facts.find(key);
    return it == facts.end() ? std::nullopt : jsonl::wholeOf(it->second, least, most);
  };
  const auto home = whole("home", 0, std::max(0, terms_.cells - 1));
  const auto copies = whole("copies", 1, std::max(1, terms_.cells));
  const auto top = whole("top", 0, 1000);
  if (!home || !copies || !top) return false;
  ask.firstCell = static_cast<int>(*home);
  ask.holders = static_cast<int>(*copies);
  ask.top = static_cast<int>(*top);
  if (const auto it = facts.find("viewer"); it != facts.end()) ask.viewer = it->second;
  if (const auto it = facts.find("at"); it != facts.end()) node = it->second;
  if (left != nullptr) {
    // What plays already waits for nothing: its figure stands for no limit.
    const auto milliseconds = jsonl::realOf(*left, 0, node.empty() ? 3.6e6 : 1e15);
    if (!milliseconds) return false;
    ask.timeout = node.empty() ? static_cast<Micros>(*milliseconds * 1000) : 0;
  } else if (node.empty()) {
    return false;
  }
  if (const std::string* hint = message.find("hint")) {
    const auto milliseconds = jsonl::realOf(*hint, 0, 1e9);
    if (!milliseconds) return false;
    ask.length = static_cast<Micros>(*milliseconds * 1000);
  }
  return true;
}

// ---- answers ----

Call* Viewers::find(session::CallId callId) {
  const auto it = lines_.find(callId);
  return it == lines_.end() ? nullptr : &it->second->call;
}

void Viewers::forget(Held& held) {
  if (held.peer != nullptr) {
    held.peer->open.erase(held.call.callId);
    held.peer->standing.erase(held.call.callId);
    held.peer->since = net::unixNow();
  }
  lines_.erase(held.call.callId);
  calls_.erase(std::string(held.call.id));
}

// On the connection of its set-up, else on the newest that is of use, else on the next that comes.
void Viewers::say(const Release& release, Peer* first) {
  if (net::unixNow() - release.since > toldWithin) return;
  if (first != nullptr && tell(*first, release)) return;
  for (auto it = peers_.rbegin(); it != peers_.rend(); ++it)
    if (it->second->proven && tell(*it->second, release)) return;
  if (unsaid_.size() >= unsaidMost) unsaid_.pop_front();
  unsaid_.push_back(release);
}

bool Viewers::tell(Peer& peer, const Release& release) {
  if (!peer.link.sound() || !peer.link.say(release.message)) return false;
  peer.unheard[release.message.call] = release;
  return true;
}

void Viewers::playing(session::CallId callId, const std::string& desc) {
  const auto it = lines_.find(callId);
  if (it == lines_.end()) return;
  Held& held = *it->second;
  Message message;
  message.op = Op::accept;
  message.call = held.call.id;
  message.desc = desc;
  held.call.answered = true;
  if (held.peer == nullptr) return;
  held.peer->open.erase(callId);
  held.peer->standing.emplace(callId, &held);
  if (held.peer->link.say(message)) return;
  // Guards against a subscription that plays for nobody: its viewer's connection broke under the answer.
  handler_.onLeave(held.call);
  forget(held);
}

void Viewers::throttled(session::CallId callId, Micros retryAfter) {
  Message message;
  message.why = cause::full;
  if (retryAfter > 0) message.with["wait"] = std::to_string(retryAfter / 1000);
  turnAway(callId, std::move(message));
}

void Viewers::terminated(session::CallId callId) {
  Message message;
  message.why = cause::broken;
  turnAway(callId, std::move(message));
}

void Viewers::turnAway(session::CallId callId, Message message) {
  const auto it = lines_.find(callId);
  if (it == lines_.end()) return;
  message.op = Op::end;
  message.call = it->second->call.id;
  if (it->second->peer != nullptr) it->second->peer->link.say(message);
  forget(*it->second);
}

void Viewers::ended(session::CallId callId, bool finished) {
  const auto it = lines_.find(callId);
  if (it == lines_.end()) return;
  Message message;
  message.op = Op::end;
  message.call = it->second->call.id;
  message.why = finished ? cause::over : cause::broken;
  Peer* const peer = it->second->peer;
  forget(*it->second);
  say({std::move(message), net::unixNow()}, peer);
}

bool Viewers::settled() const {
  return unsaid_.empty() && std::none_of(peers_.begin(), peers_.end(), [](const auto& entry) {
           const Peer& peer = *entry.second;
           return peer.link.unsent() || (peer.proven && peer.link.midMessage());
         });
}

Viewers::Statistics Viewers::statistics() const {
  Statistics statistics = statistics_;
  statistics.connections = peers_.size();
  statistics.calls = calls_.size();
  return statistics;
}

}  // namespace lupinsill::platform
