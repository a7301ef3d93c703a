// Simulation of directors, nodes and players for the replay of a history. All of them share one scheduler and
// one virtual clock; events of the same time run in the order in which they were scheduled.
#include "history/play.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <utility>

#include "admission/request_translator.h"
#include "core/core.h"
#include "fleet/membership.h"
#include "lab/plant.h"
#include "model/world.h"

namespace lupinsill::history {
namespace {

using session::CallId;
using session::JoinId;

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;
constexpr Micros startTime = 1'000 * second;  // not 0, like a clock that has been running
constexpr Micros networkLatency = 2 * ms;     // one way, between any two processes
constexpr Micros handshakeTime = 3 * ms;      // of a player's connection
constexpr Micros connectTimeout = second;     // default of the connections to nodes
constexpr Micros endMargin = 20 * second;     // simulated after the last event of the history
constexpr int appCount = 5;  // client apps, each with a client core; viewers are spread over them
constexpr Micros stepInterval = 50 * ms;     // of the links and the confirmation of removals
constexpr int stepsPerReport = 20;           // nodes report measurements once a second
constexpr Micros unlimited = 3600 * second;  // longer than any history
constexpr double fullyDelivered = 0.98;      // share of the rates; nodes report less than that
constexpr double linkSpread = 0.15;          // of the capacities of links, as a share of the mean
constexpr int titleCount = 64;
constexpr double coldTolerance = 2;  // set-ups over the limit that a cold node survives; the audit allows 1
constexpr std::uint64_t replayPurpose = 78;  // of the random source; the generator has another

// One replay: all simulated processes, their scheduler and the record of what was observed.
class Replay {
 public:
  Replay(const History& history, const std::string& faultName);
  ReplayResult play();

 private:
  // ---- scheduler ----
  struct ScheduledEvent {
    Micros at;
    std::uint64_t order;  // of scheduling, for events of the same time
    std::function<void()> callback;
    bool operator<(const ScheduledEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  void schedule(Micros delay, std::function<void()> callback) {
    scheduled_.push({now_ + delay, ++lastOrder_, std::move(callback)});
  }

  // ---- directors ----
  // A join that a director has started and that has not ended.
  struct PendingJoin {
    session::SetUp command;
    bool written = false;
    bool connecting = false;
    Micros nodeStartedAt = 0;  // start time of the node process that it was written to
  };
  // A simulated director process; a restart uses the same object for the next run.
  struct Director {
    int index = 0;
    int run = 0;  // number of the process: a restart begins another run
    bool up = false, stalled = false;
    std::string zone;
    director::FaultHooks hooks;
    std::unique_ptr<fleet::Membership> membership;
    std::unique_ptr<session::Front> front;
    std::unique_ptr<admission::RequestTranslator> translator;
    std::deque<std::function<void()>> inbox;  // deliveries that wait while it is stalled
    std::map<JoinId, PendingJoin> joins;
    std::map<NodeId, Micros> connected;                         // nodes, with the start time of the process
    std::map<CallId, std::pair<int, client::AttemptId>> calls;  // app and its attempt
    std::map<CallId, std::size_t> recordIndexes;
    CallId lastCallId = 0;
    Micros nextTurnAt = 0;
    Micros listDelay = 0, commitTime = 2 * ms;
    bool committing = false;
    std::vector<ledger::Write> unsavedWrites;
    std::map<ledger::Digest, ledger::Record> stored;  // the ledger on its disk
    fleet::NodeList cachedList;                       // the copy on its disk, which survives a restart
    bool hasCachedList = false;
    std::string name() const { return "d" + std::to_string(index) + "-" + std::to_string(run); }
  };
  void startDirector(Director& director);
  void killDirector(Director& director);
  // Runs the callback at the director after the network latency; drops it when that run has ended by then.
  void deliver(Director& director, std::function<void()> callback);
  void scheduleTurn(Director& director);
  void processTurn(Director& director);
  void commit(Director& director);
  void execute(Director& director, const session::Command& command);
  void startJoin(Director& director, const session::SetUp& command);
  void writeSetUp(Director& director, JoinId id);
  void endJoin(Director& director, JoinId id, Outcome outcome, bool settled);
  // Publishes a new version of the node list, without the given nodes, to all directors.
  void publishList(std::set<NodeId> without = {});
  void sendList(Director& director, const fleet::NodeList& list, Micros delay);
  void applyList(Director& director, const fleet::NodeList& list);

  // ---- nodes ----
  // A join that has reached its node.
  struct Session {
    int director = 0, run = 0;
    JoinId join = 0;
    std::size_t observation = 0;  // index in the record
    int viewer = 0, room = 0, rung = 0, title = 0;
    bool ran = false, ended = false;
    model::StreamId stream = 0;
  };
  // A simulated media node.
  struct Node {
    NodeId id = 0;
    int cell = 0;
    NodeState listedState = NodeState::ready;
    bool alive = true, cold = false, draining = false, published = true;
    Micros startedAt = 0;  // identifies the process: messages to an earlier one are lost
    bool stalled = false, losesAnswers = false, refusesJoins = false, reportsStopped = false;
    double failShare = 0;  // of joins, answered with an error
    Micros connectTime = 3 * ms;
    std::deque<std::function<void()>> heldCallbacks;  // work that waits while the node is stalled
    std::vector<std::shared_ptr<Session>> sessions;
    std::deque<Micros> coldSetUps;  // times of set-ups within the fall time
    Micros reportedAt = 0;
  };
  // Starts a new node process; a cold one needs the cold time to reach its full capacity.
  void startNode(int cell, bool cold);
  void receiveSetUp(Node& node, Director& director, const session::SetUp& command);
  void handleSetUp(Node& node, const std::shared_ptr<Session>& session);
  // The set-up is complete: the stream runs until the viewer has watched long enough.
  void startSession(Node& node, const std::shared_ptr<Session>& session);
  void endSession(Node& node, Session& session);
  void killNode(Node& node);
  void sendToDirector(Session& session, std::function<void(Director&)> callback);
  void reportMeasurements(Node& node);
  int slotsPerNode() const {
    return controlSettings_.slotsByKind.empty() ? 1 : controlSettings_.slotsByKind[0];
  }

  // ---- players ----
  // A request of the history, with its state in the client core of its app.
  struct ViewerRequest {
    HistoryEvent event;
    int app = 0;
    bool ended = false;
    client::AttemptId playingAttempt = 0;
  };
  // A connection of a player to a director for one attempt of its request.
  struct Attempt {
    int viewer = 0;
    int director = 0, run = 0;
    CallId callId = 0;
    long observation = -1;  // index in the record; -1: request not sent
    bool open = true;
  };
  // Carries out what the client core of an app asked for, and schedules its next timer.
  void executeActions(int app);
  void startAttempt(int app, const client::StartAttempt& start);
  // The director is ready on this connection: the player sends its request.
  void receiveHello(int app, client::AttemptId id);
  void receiveAnswer(int app, client::AttemptId id, client::Answer answer, Micros retryAfter, bool drains);
  // `lost`: the connection broke, it was not closed by the player.
  void closeAttempt(int app, client::AttemptId id, bool lost);
  void tickApp(int app);

  void applyEvent(const HistoryEvent& event);
  Node* findNode(int id) {
    const auto it = nodes_.find(static_cast<NodeId>(id));
    return it == nodes_.end() ? nullptr : it->second.get();
  }

  const History& history_;
  std::string faultName_;
  const ControlSettings& controlSettings_;
  Micros now_ = startTime;
  std::uint64_t lastOrder_ = 0;
  std::priority_queue<ScheduledEvent> scheduled_;
  model::RandomSource random_;
  model::LinkModel links_;
  std::vector<Director> directors_;
  std::map<NodeId, std::unique_ptr<Node>> nodes_;
  NodeId lastNodeId_ = 0;
  std::uint64_t listVersion_ = 0;
  fleet::NodeList publishedList_, previousList_;
  std::vector<std::unique_ptr<client::Core>> apps_;
  std::vector<std::vector<client::Action>> actions_;
  std::map<int, ViewerRequest> requests_;
  std::vector<std::map<client::AttemptId, Attempt>> attempts_;
  ReplayResult result_;
};

Replay::Replay(const History& history, const std::string& faultName)
    : history_(history),
      faultName_(faultName),
      controlSettings_(history.deployment.controlSettings),
      random_(history.seed, replayPurpose),
      links_(controlSettings_, {history.linkKb, linkSpread, titleCount}, history.seed) {
  directors_.resize(static_cast<std::size_t>(history_.directors));
  std::vector<client::DirectorEndpoint> endpoints;
  for (int index = 0; index < history_.directors; ++index) {
    directors_[static_cast<std::size_t>(index)].index = index;
    directors_[static_cast<std::size_t>(index)].zone = "zone" + std::to_string(index % history_.zones);
    endpoints.push_back({"d" + std::to_string(index), "zone" + std::to_string(index % history_.zones)});
  }
  actions_.resize(appCount);
  attempts_.resize(appCount);
  for (int app = 0; app < appCount; ++app) {
    client::RetryPolicy policy;
    policy.zone = "zone" + std::to_string(app % history_.zones);
    // Half of the apps never time out an attempt, so that a missing answer shows in the record.
    if (app % 2 == 0) policy.attemptTimeout = unlimited;
    apps_.push_back(
        std::make_unique<client::Core>(endpoints, policy, history_.seed * 10 + static_cast<unsigned>(app)));
  }
}

// ---- directors ----

void Replay::startDirector(Director& director) {
  ++director.run;
  director.up = true;
  director.stalled = false;
  director.nextTurnAt = 0;
  director.committing = false;
  director.unsavedWrites.clear();
  if (!faultName_.empty()) director.hooks = lab::hooksForFault(faultName_);
  ControlSettings settings = controlSettings_;
  settings.zone = director.zone;
  settings.directors = history_.directors;
  settings.ordinal = director.index;
  session::Limits limits = history_.deployment.sessionLimits;
  limits.guardsEnabled = director.hooks.guardsEnabled;
  limits.keysStored = director.hooks.ledgerEnabled;
  const std::uint64_t seed =
      history_.seed * 1000 + static_cast<std::uint64_t>(director.index * 50 + director.run);
  std::unique_ptr<session::Decider> decider = director.hooks.makeDecider
                                                  ? director.hooks.makeDecider(settings, seed)
                                                  : std::make_unique<session::ControlDecider>(settings, seed);
  director.membership =
      std::make_unique<fleet::Membership>(settings.cells, history_.deployment.minRetainedShare, limits.grace);
  director.front = std::make_unique<session::Front>(settings, limits, std::move(decider));
  director.translator = std::make_unique<admission::RequestTranslator>(
      admission::RequestTranslator::Names{"d" + std::to_string(director.index), history_.deployment.roomTypes,
                                          history_.deployment.tenants, history_.deployment.clientTimeouts},
      settings.roomTypes);
  if (director.hooks.ledgerEnabled) {
    std::vector<ledger::Record> records;
    for (const auto& [key, record] : director.stored) records.push_back(record);
    director.front->recover(now_, records, true);
  }
  director.front->listUpdated(director.hasCachedList ? director.membership->restore(director.cachedList)
                                                     : ListUpdate{ListKind::cachedSnapshot, {}});
  sendList(director, publishedList_, 0);
  processTurn(director);
}

void Replay::killDirector(Director& director) {
  if (!director.up) return;
  result_.record.directorKills.push_back({director.index, director.run, now_ - startTime});
  result_.heldByGuards += [&] {
    std::size_t held = 0;
    for (const auto count : director.front->statistics().guardViolations) held += count;
    return held;
  }();
  director.up = false;
  director.inbox.clear();
  director.joins.clear();
  director.connected.clear();
  director.front.reset();
  for (auto& [id, node] : nodes_)
    for (const auto& session : node->sessions)
      if (session->director == director.index && session->run == director.run) endSession(*node, *session);
  const auto calls = std::exchange(director.calls, {});
  for (const auto& [callId, call] : calls) {
    const auto [app, id] = call;
    schedule(networkLatency, [this, app = app, id = id] {
      closeAttempt(app, id, true);
      apps_[static_cast<std::size_t>(app)]->failed(now_, id, actions_[static_cast<std::size_t>(app)]);
      executeActions(app);
    });
  }
}

void Replay::deliver(Director& director, std::function<void()> callback) {
  schedule(networkLatency, [this, &director, run = director.run, callback = std::move(callback)] {
    if (!director.up || director.run != run) return;
    if (director.stalled) return director.inbox.push_back(callback);
    callback();
    scheduleTurn(director);
  });
}

// Schedules the next turn for the time at which the front is due: now after input, later for its timers.
void Replay::scheduleTurn(Director& director) {
  if (!director.up || director.stalled) return;
  const Micros at = std::max(now_, director.front->due());
  if (director.nextTurnAt != 0 && director.nextTurnAt <= at && director.nextTurnAt >= now_) return;
  director.nextTurnAt = at;
  schedule(at - now_, [this, &director, run = director.run, at] {
    if (director.up && director.run == run && !director.stalled && director.nextTurnAt == at)
      processTurn(director);
  });
}

void Replay::processTurn(Director& director) {
  director.nextTurnAt = 0;
  if (ListUpdate update = director.membership->confirmRemovals(now_); !update.entries.empty())
    director.front->listUpdated(std::move(update));
  std::vector<session::Command> commands;
  director.front->processTurn(now_, commands);
  if (director.hooks.alterCommands) director.hooks.alterCommands(now_, commands);
  for (const session::Command& command : commands) execute(director, command);
  if (const auto writes = director.front->takeWrites(); director.hooks.ledgerEnabled) {
    director.unsavedWrites.insert(director.unsavedWrites.end(), writes.begin(), writes.end());
    commit(director);
  }
  scheduleTurn(director);
}

// Commits run one at a time; writes that arrive meanwhile go into the next one.
void Replay::commit(Director& director) {
  if (director.committing || director.unsavedWrites.empty()) return;
  director.committing = true;
  schedule(director.commitTime,
           [this, &director, run = director.run, writes = std::exchange(director.unsavedWrites, {})] {
             if (!director.up || director.run != run) return;  // killed before the commit
             director.committing = false;
             for (const ledger::Write& write : writes) {
               if (write.record.state == ledger::RecordState::refused)
                 director.stored.erase(write.record.key);
               else
                 director.stored[write.record.key] = write.record;
             }
             commit(director);
             const ledger::Seq seq = writes.back().seq;
             const auto reportDurable = [&director, seq] { director.front->durable(seq); };
             if (director.stalled) return director.inbox.push_back(reportDurable);
             reportDurable();
             scheduleTurn(director);
           });
}

void Replay::execute(Director& director, const session::Command& command) {
  const auto sendAnswer = [&](CallId callId, audit::RequestObservation::Answer::Kind kind,
                              client::Answer answer, Micros retryAfter, bool drains) {
    const auto it = director.calls.find(callId);
    if (it == director.calls.end()) return;
    const auto [app, id] = it->second;
    if (kind != audit::RequestObservation::Answer::Kind::playing) director.calls.erase(it);
    schedule(networkLatency, [this, app = app, id = id, kind, answer, retryAfter, drains] {
      const auto attempt = attempts_[static_cast<std::size_t>(app)].find(id);
      if (attempt == attempts_[static_cast<std::size_t>(app)].end()) return;
      // An answer that arrives after the player has closed is not observed.
      if (attempt->second.open && attempt->second.observation >= 0)
        result_.record.requests[static_cast<std::size_t>(attempt->second.observation)].answers.push_back(
            {now_ - startTime, kind});
      if (attempt->second.open) receiveAnswer(app, id, answer, retryAfter, drains);
    });
  };
  using Kind = audit::RequestObservation::Answer::Kind;
  if (const auto* playing = std::get_if<session::Playing>(&command)) {
    sendAnswer(playing->callId, Kind::playing, client::Answer::playing, 0, false);
  } else if (const auto* throttled = std::get_if<session::Throttled>(&command)) {
    sendAnswer(throttled->callId, Kind::throttled, client::Answer::throttled, throttled->retryAfter,
               throttled->reason == session::ThrottleReason::draining);
  } else if (const auto* terminated = std::get_if<session::Terminated>(&command)) {
    sendAnswer(terminated->callId, Kind::terminated, client::Answer::terminated, 0, false);
  } else if (const auto* ended = std::get_if<session::Ended>(&command)) {
    director.calls.erase(ended->callId);
  } else if (const auto* setUp = std::get_if<session::SetUp>(&command)) {
    startJoin(director, *setUp);
  } else if (const auto* change = std::get_if<session::ChangeRung>(&command)) {
    const auto it = director.joins.find(change->join);
    if (it == director.joins.end()) return;
    it->second.command.rung = change->rung;
    if (!it->second.written) return;
    schedule(networkLatency, [this, nodeId = it->second.command.node, joinId = change->join,
                              index = director.index, run = director.run, rung = change->rung] {
      for (const auto& session : nodes_.at(nodeId)->sessions)
        if (session->join == joinId && session->director == index && session->run == run) {
          session->rung = rung;
          result_.record.rungs.push_back({now_ - startTime, session->room, rung});
          if (session->stream != 0) links_.setRung(session->stream, rung);
        }
    });
  } else if (const auto* tearDown = std::get_if<session::TearDown>(&command)) {
    const auto it = director.joins.find(tearDown->join);
    if (it == director.joins.end()) return;
    if (it->second.written)
      schedule(networkLatency, [this, nodeId = it->second.command.node, joinId = tearDown->join,
                                index = director.index, run = director.run] {
        Node& node = *nodes_.at(nodeId);
        for (const auto& session : node.sessions)
          if (session->join == joinId && session->director == index && session->run == run)
            endSession(node, *session);
      });
    director.joins.erase(it);
  } else if (const auto* withdraw = std::get_if<session::Withdraw>(&command)) {
    const auto it = director.joins.find(withdraw->join);
    if (it != director.joins.end() && !it->second.written)
      endJoin(director, withdraw->join, Outcome::notSent, false);
  }
}

void Replay::endJoin(Director& director, JoinId joinId, Outcome outcome, bool settled) {
  if (director.joins.erase(joinId) == 0) return;
  director.front->joinEnded(joinId, outcome, {}, settled);
}

void Replay::startJoin(Director& director, const session::SetUp& command) {
  director.joins[command.join].command = command;
  Node* node = findNode(static_cast<int>(command.node));
  if (node == nullptr) return endJoin(director, command.join, Outcome::connectFailed, false);
  if (director.connected.contains(command.node)) return writeSetUp(director, command.join);
  director.joins[command.join].connecting = true;
  const bool reached = node->alive && node->connectTime <= connectTimeout;
  schedule(reached ? node->connectTime : std::min(node->connectTime, connectTimeout),
           [this, &director, run = director.run, nodeId = command.node, joinId = command.join, reached] {
             if (!director.up || director.run != run) return;
             const auto onConnected = [this, &director, nodeId, joinId, reached] {
               if (!director.joins.contains(joinId)) return;
               if (!reached || !nodes_.at(nodeId)->alive)
                 return endJoin(director, joinId, Outcome::connectFailed, false);
               // All joins that wait for this connection are written at once, as on a real socket.
               director.connected[nodeId] = nodes_.at(nodeId)->startedAt;
               std::vector<JoinId> waiting;
               for (const auto& [waitingId, join] : director.joins)
                 if (join.command.node == nodeId && join.connecting) waiting.push_back(waitingId);
               for (const JoinId waitingId : waiting) writeSetUp(director, waitingId);
             };
             if (director.stalled) return director.inbox.push_back(onConnected);
             onConnected();
             scheduleTurn(director);
           });
}

void Replay::writeSetUp(Director& director, JoinId joinId) {
  PendingJoin& join = director.joins.at(joinId);
  join.connecting = false;
  if (!director.front->mayWrite(now_, joinId)) return endJoin(director, joinId, Outcome::notSent, false);
  join.written = true;
  join.nodeStartedAt = director.connected.at(join.command.node);
  schedule(networkLatency,
           [this, &director, run = director.run, command = join.command, nodeStartedAt = join.nodeStartedAt] {
             Node& node = *nodes_.at(command.node);
             if (node.alive && node.startedAt == nodeStartedAt && director.run == run && director.up)
               receiveSetUp(node, director, command);
           });
}

// ---- node list ----

void Replay::publishList(std::set<NodeId> without) {
  previousList_ = publishedList_;
  publishedList_ = {};
  publishedList_.version = ++listVersion_;
  for (const auto& [id, node] : nodes_) {
    if (!node->published || without.contains(id)) continue;
    fleet::NodeEndpoint endpoint;
    endpoint.node = id;
    endpoint.state = node->listedState;
    endpoint.cell = node->cell;
    endpoint.zone = "zone" + std::to_string(node->cell % history_.zones);
    endpoint.readyAt = node->cold ? node->startedAt : 0;
    publishedList_.endpoints.push_back(endpoint);
  }
  for (Director& director : directors_) sendList(director, publishedList_, director.listDelay);
}

void Replay::sendList(Director& director, const fleet::NodeList& list, Micros delay) {
  schedule(delay, [this, &director, run = director.run, list] {
    if (director.up && director.run == run)
      deliver(director, [this, &director, list] { applyList(director, list); });
  });
}

// Records the listed states as soon as this director can read them, then applies the list.
void Replay::applyList(Director& director, const fleet::NodeList& list) {
  if (list.version >= director.membership->version() || director.membership->version() == 0) {
    std::set<NodeId> named;
    for (const fleet::NodeEndpoint& endpoint : list.endpoints) {
      named.insert(endpoint.node);
      result_.record.listedStates.push_back(
          {endpoint.node, now_ - startTime, endpoint.state, director.index});
    }
    for (const auto& [id, node] : nodes_)
      if (!named.contains(id))
        result_.record.listedStates.push_back({id, now_ - startTime, NodeState::gone, director.index});
  }
  ListUpdate update;
  const fleet::UpdateResult result = director.membership->apply(now_, list, update);
  if (result != fleet::UpdateResult::applied && result != fleet::UpdateResult::tooMuchGone) return;
  director.cachedList = list;
  director.hasCachedList = true;
  if (!update.entries.empty() || update.kind == ListKind::snapshot)
    director.front->listUpdated(std::move(update));
}

// ---- nodes ----

void Replay::startNode(int cell, bool cold) {
  auto node = std::make_unique<Node>();
  node->id = ++lastNodeId_;
  node->cell = cell;
  node->cold = cold;
  node->startedAt = now_;
  links_.addNode(node->id, cell, now_, cold);
  result_.record.starts.push_back({node->id, now_ - startTime, slotsPerNode(), cold});
  nodes_.emplace(node->id, std::move(node));
}

void Replay::receiveSetUp(Node& node, Director& director, const session::SetUp& command) {
  auto session = std::make_shared<Session>();
  session->director = director.index;
  session->run = director.run;
  session->join = command.join;
  session->viewer = std::atoi(command.viewer.c_str() + 1);
  session->room = command.roomType;
  session->rung = command.rung;
  session->title = std::atoi(command.title.c_str() + 1);
  session->observation = result_.record.setUps.size();
  audit::SetUpObservation observed;
  observed.at = now_ - startTime;
  observed.node = node.id;
  observed.director = director.name();
  observed.subscription = director.name() + "-" + std::to_string(command.sub);
  observed.viewer = command.viewer;
  observed.idempotencyKey = command.idempotencyKey;
  observed.title = command.title;
  observed.roomType = command.roomType;
  observed.rung = command.rung;
  result_.record.setUps.push_back(observed);
  result_.record.rungs.push_back({now_ - startTime, command.roomType, command.rung});
  node.sessions.push_back(session);
  if (node.cold && now_ - node.startedAt < controlSettings_.coldTime && controlSettings_.fallTime > 0) {
    std::erase_if(node.coldSetUps, [&](Micros time) { return time <= now_ - controlSettings_.fallTime; });
    node.coldSetUps.push_back(now_);
    const double allowed = slotsPerNode() * links_.warmth(node.id, now_) *
                           static_cast<double>(controlSettings_.fallTime) /
                           static_cast<double>(controlSettings_.coldTime) * controlSettings_.overloadFactor;
    if (static_cast<double>(node.coldSetUps.size()) > allowed + coldTolerance) {
      result_.record.overloadedNodes.push_back("node " + std::to_string(node.id));
      return killNode(node);
    }
  }
  if (node.stalled)
    node.heldCallbacks.push_back([this, &node, session] { handleSetUp(node, session); });
  else
    handleSetUp(node, session);
}

void Replay::sendToDirector(Session& session, std::function<void(Director&)> callback) {
  Director& director = directors_[static_cast<std::size_t>(session.director)];
  if (director.run == session.run)
    deliver(director, [&director, callback = std::move(callback)] { callback(director); });
}

void Replay::handleSetUp(Node& node, const std::shared_ptr<Session>& session) {
  if (!node.alive) return;
  audit::SetUpObservation& observed = result_.record.setUps[session->observation];
  const JoinId joinId = session->join;
  if (session->ended) {
    // The node was stalled and reads the set-up before the teardown that follows it, so the set-up runs
    // briefly.
    observed.ranAt = now_ - startTime;
    return;
  }
  const auto slots = static_cast<std::size_t>(slotsPerNode());
  const bool full = node.draining || node.refusesJoins || links_.streams(node.id) >= slots;
  if (full || random_.withProbability(node.failShare)) {
    if (full) observed.refusedAt = now_ - startTime;
    if (!node.losesAnswers)
      sendToDirector(*session, [this, joinId, full](Director& director) {
        endJoin(director, joinId, full ? Outcome::full : Outcome::error, false);
      });
    return endSession(node, *session);
  }
  schedule(random_.duration(history_.minSetUpTime, history_.maxSetUpTime), [this, &node, session] {
    if (node.stalled)
      node.heldCallbacks.push_back([this, &node, session] { startSession(node, session); });
    else
      startSession(node, session);
  });
}

void Replay::startSession(Node& node, const std::shared_ptr<Session>& session) {
  if (!node.alive || session->ended) return;
  session->ran = true;
  result_.record.setUps[session->observation].ranAt = now_ - startTime;
  session->stream =
      links_.startStream(node.id, session->viewer, session->room, session->rung, session->title, true);
  const JoinId joinId = session->join;
  if (!node.losesAnswers) {
    const double link = links_.load(node.id, 0).link;
    sendToDirector(*session, [joinId, link, silent = node.reportsStopped](Director& director) {
      if (!director.joins.contains(joinId)) return;
      director.front->joinStarted(joinId);
      if (!silent) director.front->measured(joinId, MeasurementKind::link, link);
    });
  }
  const Micros length = requests_.at(session->viewer).event.length;
  schedule(length, [this, &node, session, joinId] {
    if (session->ended || !node.alive) return;
    endSession(node, *session);
    sendToDirector(*session,
                   [this, joinId](Director& director) { endJoin(director, joinId, Outcome::ok, true); });
  });
}

void Replay::endSession(Node&, Session& session) {
  if (session.ended) return;
  session.ended = true;
  result_.record.setUps[session.observation].endedAt = now_ - startTime;
  if (session.stream != 0) links_.stopStream(session.stream);
}

void Replay::killNode(Node& node) {
  if (!node.alive) return;
  node.alive = false;
  for (const auto& session : node.sessions) endSession(node, *session);
  node.sessions.clear();
  node.heldCallbacks.clear();
  links_.removeNode(node.id);
  for (Director& director : directors_)
    if (director.up)
      deliver(director, [this, &director, nodeId = node.id, nodeStartedAt = node.startedAt] {
        if (const auto it = director.connected.find(nodeId);
            it != director.connected.end() && it->second == nodeStartedAt)
          director.connected.erase(it);
        std::vector<JoinId> lost;
        for (const auto& [joinId, join] : director.joins)
          if (join.command.node == nodeId && join.written && join.nodeStartedAt == nodeStartedAt)
            lost.push_back(joinId);
        for (const JoinId joinId : lost) endJoin(director, joinId, Outcome::reset, false);
      });
}

// Sends measurements on one join of each director: the delivered share while it is short, and the use of the
// link and the uplink once per report interval.
void Replay::reportMeasurements(Node& node) {
  std::erase_if(node.sessions, [](const auto& session) { return session->ended; });
  if (!node.alive || node.reportsStopped || node.stalled || node.losesAnswers) return;
  const model::NodeLoad load = links_.load(node.id, controlSettings_.seenAfter);
  const bool loadDue =
      controlSettings_.reportInterval > 0 && now_ - node.reportedAt >= controlSettings_.reportInterval;
  if (loadDue) node.reportedAt = now_;
  std::set<int> reportedDirectors;
  for (const auto& session : node.sessions) {
    if (!session->ran || !reportedDirectors.insert(session->director).second) continue;
    sendToDirector(*session, [joinId = session->join, load, loadDue,
                              uplinks = controlSettings_.uplinksReported](Director& director) {
      if (load.delivered < fullyDelivered)
        director.front->measured(joinId, MeasurementKind::delivered, load.delivered);
      if (loadDue) director.front->measured(joinId, MeasurementKind::link, load.link);
      if (loadDue && uplinks) director.front->measured(joinId, MeasurementKind::uplink, load.uplink);
    });
  }
}

// ---- players ----

void Replay::executeActions(int app) {
  auto& actions = actions_[static_cast<std::size_t>(app)];
  while (!actions.empty()) {
    const std::vector<client::Action> current = std::exchange(actions, {});
    for (const client::Action& action : current) {
      if (const auto* start = std::get_if<client::StartAttempt>(&action)) startAttempt(app, *start);
      if (const auto* abandon = std::get_if<client::AbandonAttempt>(&action))
        closeAttempt(app, abandon->attempt, false);
      if (const auto* report = std::get_if<client::ReportResult>(&action)) {
        ++*std::map<client::Result, std::size_t*>{{client::Result::playing, &result_.playing},
                                                  {client::Result::throttled, &result_.throttled},
                                                  {client::Result::terminated, &result_.terminated},
                                                  {client::Result::unknown, &result_.unknown},
                                                  {client::Result::unreachable, &result_.unreachable},
                                                  {client::Result::cancelled, &result_.unreachable}}
               .at(report->result);
        if (report->result == client::Result::throttled) result_.retryAfter.push_back(report->retryAfter);
        requests_.at(static_cast<int>(report->request)).ended = report->result != client::Result::playing;
      }
    }
  }
  const Micros due = apps_[static_cast<std::size_t>(app)]->due();
  if (due < now_ + unlimited) schedule(std::max<Micros>(0, due - now_), [this, app] { tickApp(app); });
}

void Replay::tickApp(int app) {
  auto& core = *apps_[static_cast<std::size_t>(app)];
  if (core.due() > now_) return;
  core.tick(now_, actions_[static_cast<std::size_t>(app)]);
  executeActions(app);
}

void Replay::startAttempt(int app, const client::StartAttempt& start) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(app)][start.attempt];
  attempt.viewer = static_cast<int>(start.request);
  attempt.director = static_cast<int>(start.director);
  schedule(handshakeTime, [this, app, id = start.attempt] {
    Attempt& current = attempts_[static_cast<std::size_t>(app)].at(id);
    Director& director = directors_[static_cast<std::size_t>(current.director)];
    if (!current.open) return;
    if (!director.up) {
      current.open = false;
      apps_[static_cast<std::size_t>(app)]->failed(now_, id, actions_[static_cast<std::size_t>(app)]);
      return executeActions(app);
    }
    current.run = director.run;
    // The kernel accepts a connection to a stalled director; the director greets the player after it resumes.
    current.callId = ++director.lastCallId;
    director.calls[current.callId] = {app, id};
    deliver(director, [this, app, id] { receiveHello(app, id); });
  });
}

void Replay::receiveHello(int app, client::AttemptId id) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(app)].at(id);
  Director& director = directors_[static_cast<std::size_t>(attempt.director)];
  schedule(networkLatency, [this, app, id, &director] {
    Attempt& current = attempts_[static_cast<std::size_t>(app)].at(id);
    if (!current.open || !director.up || director.run != current.run) return;
    const client::SendParameters sending =
        apps_[static_cast<std::size_t>(app)]->beginSend(now_, id, "d" + std::to_string(current.director));
    if (sending.key.empty()) return;
    const HistoryEvent& event = requests_.at(current.viewer).event;
    session_api::PlayMessage message;
    message.key = sending.key;
    message.previousDirector = sending.previousDirector;
    message.sinceFirstSent = sending.sinceFirstSent;
    message.timeout = sending.timeLeft;
    message.viewer = "v" + std::to_string(current.viewer);
    message.title = "t" + std::to_string(event.title);
    message.room = history_.deployment.roomTypes[static_cast<std::size_t>(event.room)];
    message.top = event.top;
    if (!history_.deployment.tenants.empty()) message.tenant = history_.deployment.tenants[0];
    current.observation = static_cast<long>(result_.record.requests.size());
    audit::RequestObservation observed;
    observed.at = now_ - startTime;
    observed.director = current.director;
    observed.run = current.run;
    observed.viewer = message.viewer;
    observed.idempotencyKey = message.key;
    observed.title = message.title;
    observed.roomType = event.room;
    observed.timeout =
        std::min(sending.timeLeft, history_.deployment.clientTimeouts[static_cast<std::size_t>(event.room)]);
    result_.record.requests.push_back(observed);
    deliver(director, [&director, message, callId = current.callId] {
      std::string error;
      auto request =
          director.translator->translate(callId, message, std::nullopt, *director.membership, error);
      if (request) director.front->submit(std::move(*request));
    });
  });
}

void Replay::receiveAnswer(int app, client::AttemptId id, client::Answer answer, Micros retryAfter,
                           bool drains) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(app)].at(id);
  if (answer == client::Answer::playing)
    requests_.at(attempt.viewer).playingAttempt = id;
  else
    attempt.open = false;
  apps_[static_cast<std::size_t>(app)]->answered(now_, id, answer, retryAfter, drains,
                                                 actions_[static_cast<std::size_t>(app)]);
  executeActions(app);
}

void Replay::closeAttempt(int app, client::AttemptId id, bool lost) {
  const auto it = attempts_[static_cast<std::size_t>(app)].find(id);
  if (it == attempts_[static_cast<std::size_t>(app)].end() || !it->second.open) return;
  Attempt& attempt = it->second;
  attempt.open = false;
  if (attempt.observation >= 0) {
    audit::RequestObservation& observed =
        result_.record.requests[static_cast<std::size_t>(attempt.observation)];
    if (observed.answers.empty()) observed.closedAt = now_ - startTime, observed.connectionLost = lost;
  }
  Director& director = directors_[static_cast<std::size_t>(attempt.director)];
  if (!director.up || director.run != attempt.run || attempt.callId == 0) return;
  director.calls.erase(attempt.callId);
  deliver(director, [&director, callId = attempt.callId] { director.front->closed(callId); });
}

// ---- events of the history ----

void Replay::applyEvent(const HistoryEvent& event) {
  const bool enabled = event.value > 0;
  Node* node = findNode(event.subject);
  Director* director = event.subject >= 0 && event.subject < history_.directors
                           ? &directors_[static_cast<std::size_t>(event.subject)]
                           : nullptr;
  switch (event.kind) {
    case EventKind::request: {
      ViewerRequest& request = requests_[event.subject];
      request.event = event;
      request.app = event.subject % appCount;
      ++result_.requests;
      const auto room = static_cast<std::size_t>(event.room);
      apps_[static_cast<std::size_t>(request.app)]->submit(
          now_,
          {static_cast<client::RequestId>(event.subject), "k" + std::to_string(event.subject),
           controlSettings_.roomTypes[room].effect != Effect::repeatable,
           history_.deployment.clientTimeouts[room]},
          actions_[static_cast<std::size_t>(request.app)]);
      return executeActions(request.app);
    }
    case EventKind::leave:
    case EventKind::disconnect: {
      const auto it = requests_.find(event.subject);
      if (it == requests_.end()) return;
      const int app = it->second.app;
      for (auto& [id, attempt] : attempts_[static_cast<std::size_t>(app)]) {
        if (attempt.viewer != event.subject || !attempt.open) continue;
        const client::AttemptId attemptId = id;
        if (event.kind == EventKind::leave && it->second.playingAttempt == 0)
          apps_[static_cast<std::size_t>(app)]->cancel(now_, static_cast<client::RequestId>(event.subject),
                                                       actions_[static_cast<std::size_t>(app)]);
        closeAttempt(app, attemptId, false);
        if (event.kind == EventKind::disconnect)
          apps_[static_cast<std::size_t>(app)]->failed(now_, attemptId,
                                                       actions_[static_cast<std::size_t>(app)]);
        return executeActions(app);
      }
      return;
    }
    case EventKind::startNode:
      startNode(static_cast<int>(event.value), true);
      return publishList();
    case EventKind::restartNode:
      if (node == nullptr || !node->alive) return;
      killNode(*node);
      node->alive = node->cold = true;
      node->draining = node->stalled = false;
      node->listedState = NodeState::ready;
      node->startedAt = now_;
      node->coldSetUps.clear();
      links_.addNode(node->id, node->cell, now_, true);
      result_.record.starts.push_back({node->id, now_ - startTime, slotsPerNode(), true});
      return publishList();
    case EventKind::changeCell:
      if (node == nullptr) return;
      node->cell = static_cast<int>(event.value);
      return publishList();
    case EventKind::drainNode:
      if (node == nullptr) return;
      node->draining = true;
      node->listedState = NodeState::draining;
      return publishList();
    case EventKind::unlistNode:
      if (node == nullptr) return;
      node->published = false;
      return publishList();
    case EventKind::killNode:
      if (node != nullptr) killNode(*node);
      return;
    case EventKind::stallNode:
      if (node == nullptr || !node->alive) return;
      node->stalled = enabled;
      links_.stall(node->id, enabled);
      if (!enabled)
        for (const auto& callback : std::exchange(node->heldCallbacks, {})) callback();
      return;
    case EventKind::loseAnswers:
      if (node != nullptr) node->losesAnswers = enabled;
      return;
    case EventKind::failJoins:
      if (node != nullptr) node->failShare = event.value;
      return;
    case EventKind::refuseJoins:
      if (node != nullptr) node->refusesJoins = enabled;
      return;
    case EventKind::stopReports:
      if (node != nullptr) node->reportsStopped = enabled;
      return;
    case EventKind::setConnectTime:
      if (node != nullptr) node->connectTime = static_cast<Micros>(event.value * ms);
      return;
    case EventKind::reduceLink:
      if (node != nullptr && node->alive) links_.cutLink(node->id, std::max(1.0, event.value));
      return;
    case EventKind::repeatList:
      for (Director& other : directors_)
        sendList(other, publishedList_, 0), sendList(other, previousList_, 0);
      return;
    case EventKind::partialList: {
      std::set<NodeId> without;
      for (const auto& [id, other] : nodes_)
        if (id % 3 != 0) without.insert(id);
      publishList(without);
      return schedule(100 * ms, [this] { publishList(); });
    }
    case EventKind::delayList:
      if (director != nullptr) director->listDelay = static_cast<Micros>(event.value * ms);
      return;
    case EventKind::killDirector:
      if (director != nullptr) killDirector(*director);
      return;
    case EventKind::startDirector:
      if (director != nullptr && !director->up) startDirector(*director);
      return;
    case EventKind::stallDirector:
      if (director == nullptr || !director->up || director->stalled == enabled) return;
      director->stalled = enabled;
      if (enabled) {
        result_.record.directorStalls.push_back(
            {director->index, director->run, now_ - startTime, now_ - startTime + unlimited});
        return;
      }
      result_.record.directorStalls.back().to = now_ - startTime;
      for (auto& other : result_.record.directorStalls)
        if (other.director == director->index && other.run == director->run && other.to > now_ - startTime)
          other.to = now_ - startTime;
      while (!director->inbox.empty()) {
        const auto callback = std::move(director->inbox.front());
        director->inbox.pop_front();
        callback();
      }
      return processTurn(*director);
    case EventKind::setCommitTime:
      if (director != nullptr) director->commitTime = static_cast<Micros>(event.value * ms);
      return;
  }
}

ReplayResult Replay::play() {
  for (int cell = 0; cell < history_.nodes; ++cell) startNode(cell, false);
  publishList();
  for (Director& director : directors_)
    director.cachedList = publishedList_, director.hasCachedList = true, startDirector(director);
  Micros last = 0;
  for (const HistoryEvent& event : history_.events) {
    last = std::max(last, event.at);
    schedule(event.at, [this, &event] { applyEvent(event); });
  }
  const Micros end = startTime + last + endMargin;
  std::function<void()> step = [&] {
    links_.step(now_);
    if ((now_ / stepInterval) % stepsPerReport == 0)
      for (auto& [id, node] : nodes_) reportMeasurements(*node);
    for (Director& director : directors_)
      if (director.up && !director.stalled)
        if (ListUpdate update = director.membership->confirmRemovals(now_); !update.entries.empty())
          director.front->listUpdated(std::move(update)), scheduleTurn(director);
    if (now_ < end) schedule(stepInterval, step);
  };
  step();
  while (!scheduled_.empty() && scheduled_.top().at <= end) {
    const ScheduledEvent event = scheduled_.top();
    scheduled_.pop();
    now_ = event.at;
    event.callback();
  }
  for (Director& director : directors_)
    if (director.up)
      for (const auto count : director.front->statistics().guardViolations) result_.heldByGuards += count;
  audit::CheckSettings checkSettings;
  checkSettings.controlSettings = controlSettings_;
  checkSettings.clientTimeouts = history_.deployment.clientTimeouts;
  checkSettings.grace = history_.deployment.sessionLimits.grace;
  result_.ruleResults = audit::check(result_.record, checkSettings);
  return std::move(result_);
}

}  // namespace

std::size_t ReplayResult::violations() const {
  std::size_t total = 0;
  for (const audit::RuleResult& rule : ruleResults) total += rule.violations;
  return total;
}

ReplayResult play(const History& history, const std::string& faultName) {
  return Replay(history, faultName).play();
}

std::string format(const ReplayResult& result) {
  std::string out;
  char line[300];
  for (const audit::RuleResult& rule : result.ruleResults) {
    std::snprintf(line, sizeof line, "%-22s %8zu tested %6zu broken   %s\n", rule.rule.c_str(), rule.tested,
                  rule.violations, rule.tested == 0 ? "not put to the test" : rule.closestCase.c_str());
    out += line;
    for (const std::string& violation : rule.firstViolations) out += "    " + violation + "\n";
  }
  std::snprintf(line, sizeof line,
                "%zu wishes: %zu play, %zu throttled, %zu terminated, %zu unknown, %zu not reached; %zu "
                "asks, %zu joins, "
                "%zu held back by guards, %zu nodes fallen\n",
                result.requests, result.playing, result.throttled, result.terminated, result.unknown,
                result.unreachable, result.record.requests.size(), result.record.setUps.size(),
                result.heldByGuards, result.record.overloadedNodes.size());
  return out + line;
}

}  // namespace lupinsill::history
