#include "platform/viewers.h"

#include <algorithm>
#include <utility>

#include "session/release_routing.h"

namespace lupinsill::platform {

using jsonl::Message;
using jsonl::Op;
namespace reason_code = jsonl::reason_code;

namespace {

constexpr Micros releaseLifetime = 8'000'000;      // set by the protocol: a later release has no effect
constexpr Micros maxTickGap = 100'000;             // a longer gap between ticks is a stall and counts as this
constexpr std::size_t maxQueuedReleases = 10'000;  // while no connection can take them

}  // namespace

struct Viewers::ViewerConnection final : MessageStream::Handler {
  ViewerConnection(Viewers& viewers, std::uint64_t number, net::BufferEvent bufferEvent)
      : owner(viewers),
        id(number),
        lastActivity(net::unixNow()),
        stream(*this, std::move(bufferEvent), true, "viewer-" + std::to_string(number)) {}
  void onConnected(MessageStream&) override {}
  void onMessage(MessageStream&, Message& message) override { owner.handleMessage(*this, message); }
  void onClosed(MessageStream&, MessageStream::CloseReason reason) override {
    if (reason == MessageStream::CloseReason::invalidMessage) ++owner.statistics_.invalidMessages;
    owner.handleClosed(*this);
  }
  session::ClientEvidence evidence() const { return {verified, !established.empty(), acknowledgedRelease}; }
  Viewers& owner;
  std::uint64_t id;
  Micros lastActivity;               // when it was accepted, later when it was last used
  bool verified = false;             // has sent a valid request or health check
  bool acknowledgedRelease = false;  // at least one that was sent here
  std::map<session::CallId, CallEntry*> pending, established;  // in order of arrival
  std::map<std::string, Release> unacknowledged;               // releases sent here, by call ID
  MessageStream stream;
};

struct Viewers::CallEntry {
  Call call;
  ViewerConnection* viewer = nullptr;  // on which the offer came; null once that has closed
};

Viewers::Viewers(event_base* base, Handler& handler, const std::string& host, int port,
                 const control_settings::Names& names, const ControlSettings& settings, Limits limits)
    : base_(base),
      handler_(handler),
      names_(names),
      settings_(settings),
      limits_(limits),
      retryAfterSchedule_(settings),
      adoptionTimeLeft_(limits.adoptionWindow) {
  listener_ = net::listenOn(base, host, port, onAccept, this);
}
Viewers::~Viewers() = default;

int Viewers::port() const { return net::portOf(listener_.get()); }

// ---- connections ----

void Viewers::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Viewers*>(self)->acceptConnection(fd);
}

// Protects against hundreds of silent connections. At the limit, a connection without pending calls is
// closed: first unverified ones, then verified ones, each oldest first, and last those with established
// subscriptions, which outlive their connection. If every connection has pending calls, the new one is
// refused. The connections to media nodes have their own limit.
void Viewers::acceptConnection(evutil_socket_t fd) {
  ++statistics_.accepted;
  if (connections_.size() >= limits_.maxConnections) {
    ViewerConnection* evicted = nullptr;
    const auto evictionRank = [](const ViewerConnection& viewer) {
      return viewer.established.empty() ? (viewer.verified ? 1 : 0) : 2;
    };
    for (auto& [id, viewer] : connections_)
      if (viewer->pending.empty() && (evicted == nullptr || evictionRank(*viewer) < evictionRank(*evicted)))
        evicted = viewer.get();
    ++statistics_.connectionsRefused;
    if (evicted == nullptr) {
      evutil_closesocket(fd);
      return;
    }
    closeConnection(*evicted);
  }
  net::noDelay(static_cast<int>(fd));
  net::BufferEvent bufferEvent = net::acceptPlain(base_, fd);
  if (!bufferEvent) return;
  const std::uint64_t id = ++lastConnectionId_;
  connections_.emplace(id, std::make_unique<ViewerConnection>(*this, id, std::move(bufferEvent)));
}

// Queued releases are sent only on verified connections: a silent peer may not be a viewer at all.
void Viewers::markVerified(ViewerConnection& viewer) {
  viewer.lastActivity = net::unixNow();
  if (std::exchange(viewer.verified, true)) return;
  for (const Release& release : std::exchange(queuedReleases_, {})) sendRelease(release, &viewer);
}

// Pending calls are abandoned with their connection; established subscriptions continue without it.
void Viewers::handleClosed(ViewerConnection& viewer) {
  for (const auto& [callId, entry] : std::exchange(viewer.pending, {})) {
    handler_.onLeave(entry->call);
    entry->viewer = nullptr;
    removeCall(*entry);
  }
  for (const auto& [callId, entry] : std::exchange(viewer.established, {})) entry->viewer = nullptr;
  const auto it = connections_.find(viewer.id);
  if (it == connections_.end()) return;
  closedConnections_.push_back(std::move(it->second));
  connections_.erase(it);
  // An unacknowledged release may have been lost with the connection, so it is retransmitted on another.
  for (const auto& [call, release] : std::exchange(viewer.unacknowledged, {}))
    ++statistics_.retransmits, sendRelease(release, nullptr);
}

void Viewers::closeConnection(ViewerConnection& viewer) {
  viewer.stream.close();
  handleClosed(viewer);
}

void Viewers::tick(Micros now) {
  closedConnections_.clear();
  if (healthCheckPassed_) adoptionTimeLeft_ -= std::min(now - lastTick_, maxTickGap);
  lastTick_ = now;
  const auto expired = [&](const Release& release) { return now - release.endedAt > releaseLifetime; };
  std::erase_if(queuedReleases_, expired);
  for (auto& [id, viewer] : connections_)
    std::erase_if(viewer->unacknowledged, [&](const auto& entry) { return expired(entry.second); });
  std::vector<ViewerConnection*> timedOut;
  for (auto& [id, viewer] : connections_)
    if (viewer->pending.empty() && viewer->established.empty() &&
        now - viewer->lastActivity > (viewer->verified ? limits_.idleTimeout : limits_.silentTimeout))
      timedOut.push_back(viewer.get());
  for (ViewerConnection* viewer : timedOut) closeConnection(*viewer);
}

// ---- messages from viewers ----

void Viewers::handleMessage(ViewerConnection& viewer, Message& message) {
  switch (message.op) {
    case Op::offer:
      return handleOffer(viewer, message);
    case Op::test: {
      markVerified(viewer);
      Message reply;
      reply.op = Op::tested;
      reply.call = message.call;
      reply.reasonCode = handler_.isReady() ? reason_code::testPassed : 0;
      healthCheckPassed_ = healthCheckPassed_ || reply.reasonCode == reason_code::testPassed;
      viewer.stream.send(reply);
      return;
    }
    case Op::end: {
      const auto it = calls_.find(message.call);
      if (it == calls_.end()) return;  // already over: its release crossed this message
      CallEntry& entry = *it->second;
      // A pending call belongs to its connection; no other connection may cancel it.
      if (!entry.call.answered && entry.viewer != &viewer) return rejectInvalid(viewer, message.call);
      const bool wasEstablished = entry.call.answered;
      handler_.onLeave(entry.call);
      removeCall(entry);
      if (!wasEstablished) return;
      Message reply;
      reply.op = Op::ended;
      reply.call = message.call;
      viewer.stream.send(reply);
      return;
    }
    case Op::ended:
      if (viewer.unacknowledged.erase(message.call) != 0) viewer.acknowledgedRelease = true;
      return;
    default:
      return;
  }
}

// Rejects a request that no media node could serve. The connection is closed unless it carries other calls,
// so that a client cannot flood invalid requests or repeat one as soon as it is rejected.
void Viewers::rejectInvalid(ViewerConnection& viewer, const std::string& call) {
  ++statistics_.invalidRequests;
  Message reply;
  reply.op = Op::end;
  reply.call = call;
  reply.reasonCode = reason_code::invalidRequest;
  viewer.stream.send(reply);
  if (viewer.pending.empty() && viewer.established.empty()) closeConnection(viewer);
}

// Tells once more that a subscription has ended. Its release is retransmitted until it is acknowledged, so
// this message is not.
void Viewers::repeatRelease(ViewerConnection& viewer, const std::string& call) {
  Message release;
  release.op = Op::end;
  release.call = call;
  release.reasonCode = reason_code::failed;
  viewer.stream.send(release);
}

void Viewers::handleOffer(ViewerConnection& viewer, const Message& message) {
  session::PlayRequest request;
  std::string node;
  if (!parseOffer(message, request, node)) return rejectInvalid(viewer, message.call);
  const bool adoption = !node.empty();
  const auto existing = calls_.find(message.call);
  if (existing != calls_.end()) {
    if (adoption && existing->second->call.answered)
      return handleRepeatedAdoption(viewer, *existing->second, message);
    // The call ID is in use. On the same connection, a rejection would be taken for the answer to the first
    // request, so none is sent.
    if (existing->second->viewer == &viewer) return closeConnection(viewer);
    return rejectInvalid(viewer, message.call);
  }
  if (recentIds_.contains(net::unixNow(), message.call)) {
    // The subscription ended in this process, and its report has crossed the release.
    if (adoption && acceptsAdoptions()) return repeatRelease(viewer, message.call);
    // A request that may have run already must not run again, whoever sends its ID.
    return rejectInvalid(viewer, message.call);
  }
  // A forged adoption would occupy a seat and a slot at its node for good: no node knows the subscription, so
  // none reports its end. Adoptions are therefore accepted only for a limited time after the start.
  if (adoption && !acceptsAdoptions()) return rejectInvalid(viewer, message.call);
  if (!adoption && viewer.pending.size() >= limits_.maxPendingPerConnection) {
    ++statistics_.flowLimited;
    Message reply;
    reply.op = Op::end;
    reply.call = message.call;
    reply.reasonCode = reason_code::noCapacity;
    if (const Micros retryAfter = retryAfterSchedule_.next(); retryAfter > 0)
      reply.fields["wait"] = std::to_string(retryAfter / 1000);
    viewer.stream.send(reply);
    return;
  }
  markVerified(viewer);
  auto newEntry = std::make_unique<CallEntry>();
  CallEntry& entry = *newEntry;
  entry.viewer = &viewer;
  entry.call = {message.call, ++lastCallId_, *message.find("class"), request.title, *message.description,
                adoption,     adoption};
  request.callId = entry.call.callId;
  (adoption ? viewer.established : viewer.pending).emplace(entry.call.callId, &entry);
  callsByCallId_[entry.call.callId] = &entry;
  calls_.emplace(message.call, std::move(newEntry));
  if (adoption)
    handler_.onAdopted(entry.call, std::move(request), node);
  else
    handler_.onRequest(entry.call, std::move(request));
}

// An established subscription is reported again. If title, room type or description differ, the message is
// not from its viewer. A rejection could be taken for the end of the real subscription, so none is sent; the
// connection is closed unless it carries other calls.
void Viewers::handleRepeatedAdoption(ViewerConnection& viewer, const CallEntry& existing,
                                     const Message& message) {
  const bool same = *message.find("class") == existing.call.room &&
                    *message.find("key") == existing.call.title &&
                    *message.description == existing.call.description;
  if (same) return markVerified(viewer);
  ++statistics_.invalidRequests;
  if (viewer.pending.empty() && viewer.established.empty()) closeConnection(viewer);
}

// Translates an offer; returns false if a field is missing or out of range. `node` is set for an adoption:
// the name of the node at which the subscription plays.
bool Viewers::parseOffer(const Message& message, session::PlayRequest& request, std::string& node) const {
  const std::string* room = message.find("class");
  const std::string* title = message.find("key");
  const std::string* timeLeft = message.find("left");
  const std::string* extras = message.find("extras");
  if (room == nullptr || title == nullptr || title->empty() || extras == nullptr || !message.description ||
      message.description->empty())
    return false;
  request.roomType = control_settings::indexOf(names_.roomTypes, *room);
  if (request.roomType < 0) return false;
  if (const std::string* tenant = message.find("tenant"))
    request.party = control_settings::indexOf(names_.parties, *tenant);
  request.title = *title;
  std::map<std::string, std::string> extraFields;
  try {
    extraFields = jsonl::parsePairs(*extras);
  } catch (const jsonl::ParseError&) {
    return false;
  }
  const auto integerField = [&](const char* key, long long min, long long max) {
    const auto it = extraFields.find(key);
    return it == extraFields.end() ? std::nullopt : jsonl::parseInteger(it->second, min, max);
  };
  const auto firstCell = integerField("home", 0, std::max(0, settings_.cells - 1));
  const auto holders = integerField("copies", 1, std::max(1, settings_.cells));
  const auto top = integerField("top", 0, 1000);
  if (!firstCell || !holders || !top) return false;
  request.firstCell = static_cast<int>(*firstCell);
  request.holders = static_cast<int>(*holders);
  request.top = static_cast<int>(*top);
  if (const auto it = extraFields.find("viewer"); it != extraFields.end()) request.viewer = it->second;
  if (const auto it = extraFields.find("at"); it != extraFields.end()) node = it->second;
  if (timeLeft != nullptr) {
    // An adoption awaits no answer, so the value of its `left` field does not matter.
    const auto milliseconds = jsonl::parseNumber(*timeLeft, 0, node.empty() ? 3.6e6 : 1e15);
    if (!milliseconds) return false;
    request.timeout = node.empty() ? static_cast<Micros>(*milliseconds * 1000) : 0;
  } else if (node.empty()) {
    return false;
  }
  if (const std::string* hint = message.find("hint")) {
    const auto milliseconds = jsonl::parseNumber(*hint, 0, 1e9);
    if (!milliseconds) return false;
    request.length = static_cast<Micros>(*milliseconds * 1000);
  }
  return true;
}

// ---- answers ----

Call* Viewers::find(session::CallId callId) {
  const auto it = callsByCallId_.find(callId);
  return it == callsByCallId_.end() ? nullptr : &it->second->call;
}

void Viewers::removeCall(CallEntry& entry) {
  if (entry.viewer != nullptr) {
    entry.viewer->pending.erase(entry.call.callId);
    entry.viewer->established.erase(entry.call.callId);
    entry.viewer->lastActivity = net::unixNow();
  }
  if (entry.call.mayHaveRun) recentIds_.record(net::unixNow(), entry.call.id);
  callsByCallId_.erase(entry.call.callId);
  calls_.erase(std::string(entry.call.id));
}

// Sends on the connection of the call, or else on the newest of the most suitable ones. If there is none,
// queues the release for the next connection that is verified.
void Viewers::sendRelease(const Release& release, ViewerConnection* preferred) {
  if (net::unixNow() - release.endedAt > releaseLifetime) return;
  if (preferred != nullptr && sendReleaseOn(*preferred, release)) return;
  for (const session::ReleaseSuitability wanted : session::releaseRoutingOrder)
    for (auto it = connections_.rbegin(); it != connections_.rend(); ++it)
      if (session::suitabilityForRelease(it->second->evidence()) == wanted &&
          sendReleaseOn(*it->second, release))
        return;
  if (queuedReleases_.size() >= maxQueuedReleases) queuedReleases_.pop_front();
  queuedReleases_.push_back(release);
}

// Returns false if the connection cannot be used. The release is kept until the viewer acknowledges it.
bool Viewers::sendReleaseOn(ViewerConnection& viewer, const Release& release) {
  if (!viewer.stream.isUsable() || !viewer.stream.send(release.message)) return false;
  viewer.unacknowledged[release.message.call] = release;
  return true;
}

void Viewers::playing(session::CallId callId, const std::string& description) {
  const auto it = callsByCallId_.find(callId);
  if (it == callsByCallId_.end()) return;
  CallEntry& entry = *it->second;
  Message message;
  message.op = Op::accept;
  message.call = entry.call.id;
  message.description = description;
  entry.call.answered = true;
  if (entry.viewer == nullptr) return;
  entry.viewer->pending.erase(callId);
  entry.viewer->established.emplace(callId, &entry);
  if (entry.viewer->stream.send(message)) return;
  // The viewer's connection broke before the answer was sent; without this the subscription would play on
  // without a viewer.
  handler_.onLeave(entry.call);
  removeCall(entry);
}

void Viewers::throttled(session::CallId callId, Micros retryAfter) {
  Message message;
  message.reasonCode = reason_code::noCapacity;
  if (retryAfter > 0) message.fields["wait"] = std::to_string(retryAfter / 1000);
  rejectCall(callId, std::move(message));
}

void Viewers::terminated(session::CallId callId) {
  Message message;
  message.reasonCode = reason_code::failed;
  rejectCall(callId, std::move(message));
}

// Answers a request with `end` and removes the call.
void Viewers::rejectCall(session::CallId callId, Message message) {
  const auto it = callsByCallId_.find(callId);
  if (it == callsByCallId_.end()) return;
  message.op = Op::end;
  message.call = it->second->call.id;
  if (it->second->viewer != nullptr) it->second->viewer->stream.send(message);
  removeCall(*it->second);
}

void Viewers::ended(session::CallId callId, bool finished) {
  const auto it = callsByCallId_.find(callId);
  if (it == callsByCallId_.end()) return;
  Message message;
  message.op = Op::end;
  message.call = it->second->call.id;
  message.reasonCode = finished ? reason_code::finished : reason_code::failed;
  ViewerConnection* const viewer = it->second->viewer;
  removeCall(*it->second);
  sendRelease({std::move(message), net::unixNow()}, viewer);
}

bool Viewers::allSent() const {
  return queuedReleases_.empty() &&
         std::none_of(connections_.begin(), connections_.end(), [](const auto& entry) {
           const ViewerConnection& viewer = *entry.second;
           return viewer.stream.hasUnsentBytes() || (viewer.verified && viewer.stream.hasPartialMessage());
         });
}

Viewers::Statistics Viewers::statistics() const {
  Statistics statistics = statistics_;
  statistics.connections = connections_.size();
  statistics.calls = calls_.size();
  return statistics;
}

}  // namespace lupinsill::platform
