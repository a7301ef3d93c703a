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
constexpr Micros zero = 1'000 * second;  // a clock that has run for a while
constexpr Micros wire = 2 * ms;          // one way, between any two
constexpr Micros handshake = 3 * ms;     // of a player's connection
constexpr Micros connectMost = second;   // the media edge's default
constexpr Micros settleTime = 20 * second;
constexpr int appsCount = 5;
constexpr Micros housekeeping = 50 * ms;

class Theatre {
 public:
  Theatre(const History& history, const std::string& plant);
  Played play();

 private:
  // ---- time ----
  struct Later {
    Micros at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Later& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  void after(Micros span, std::function<void()> what) {
    later_.push({now_ + span, ++order_, std::move(what)});
  }

  // ---- directors ----
  struct JoinAt {
    session::SetUp order;
    bool written = false;
    bool connecting = false;
    Micros process = 0;  // that it was written to, by its start
  };
  struct Director {
    int place = 0;
    int run = 0;
    bool up = false, stands = false;
    std::string zone;
    director::Hooks hooks;
    std::unique_ptr<fleet::Membership> list;
    std::unique_ptr<session::Front> front;
    std::unique_ptr<admission::RequestTranslator> reception;
    std::deque<std::function<void()>> inbox;  // what waits in its sockets while it stands
    std::map<JoinId, JoinAt> joins;
    std::map<NodeId, Micros> connected;                         // to the process that started then
    std::map<CallId, std::pair<int, client::AttemptId>> lines;  // app and try
    std::map<CallId, std::size_t> asked;                        // place in the record
    CallId nextLine = 0;
    Micros turnAt = 0;
    Micros listLate = 0, disk = 2 * ms;
    bool committing = false;
    std::vector<ledger::Write> unsaved;
    std::map<ledger::Digest, ledger::Record> stored;
    fleet::NodeList kept;  // the list's copy beside it
    bool hasKept = false;
    std::string name() const { return "d" + std::to_string(place) + "-" + std::to_string(run); }
  };
  void boot(Director& d);
  void die(Director& d);
  void reach(Director& d, std::function<void()> what);  // arrives at this run, or nowhere
  void arm(Director& d);
  void turn(Director& d);
  void commit(Director& d);
  void carry(Director& d, const session::Command& order);
  void setUp(Director& d, const session::SetUp& order);
  void write(Director& d, JoinId key);
  void ended(Director& d, JoinId key, Outcome outcome, bool finished);
  void publish(std::set<NodeId> without = {});
  void hand(Director& d, const fleet::NodeList& word, Micros late);
  void tell(Director& d, const fleet::NodeList& word);

  // ---- nodes ----
  struct Session {
    int director = 0, run = 0;
    JoinId join = 0;
    std::size_t seen = 0;
    int viewer = 0, room = 0, rung = 0, title = 0;
    bool ran = false, over = false;
    model::Stream stream = 0;
  };
  struct Node {
    NodeId id = 0;
    int cell = 0;
    NodeState listed = NodeState::ready;
    bool alive = true, cold = false, draining = false, inList = true;
    Micros startedAt = 0;  // what was sent to an earlier process is lost with its connection
    bool hang = false, lose = false, refuse = false, silent = false;
    double fail = 0;
    Micros connect = 3 * ms;
    std::deque<std::function<void()>> held;
    std::vector<std::shared_ptr<Session>> sessions;
    std::deque<Micros> coldSeen;
    Micros notedAt = 0;
  };
  void begin(int cell, bool cold);
  void arrive(Node& n, Director& d, const session::SetUp& order);
  void process(Node& n, const std::shared_ptr<Session>& s);
  void runIt(Node& n, const std::shared_ptr<Session>& s);
  void over(Node& n, Session& s);
  void killNode(Node& n);
  void answer(Session& s, std::function<void(Director&)> what);
  void notes(Node& n);
  int places() const { return terms_.slotsByKind.empty() ? 1 : terms_.slotsByKind[0]; }

  // ---- players ----
  struct Wish {
    Happening asked;
    int app = 0;
    bool ended = false;
    client::AttemptId playing = 0;
  };
  struct Attempt {
    int viewer = 0;
    int director = 0, run = 0;
    CallId callId = 0;
    long asked = -1;  // place in the record
    bool open = true;
  };
  void acts(int app);
  void attempt(int app, const client::StartAttempt& go);
  void hello(int app, client::AttemptId id);
  void heard(int app, client::AttemptId id, client::Answer answer, Micros retryAfter, bool drains);
  void closeTry(int app, client::AttemptId id, bool lost);
  void tickApp(int app);

  void happen(const Happening& one);
  Node* node(int id) {
    const auto it = nodes_.find(static_cast<NodeId>(id));
    return it == nodes_.end() ? nullptr : it->second.get();
  }

  const History& h_;
  std::string plant_;
  const ControlSettings& terms_;
  Micros now_ = zero;
  std::uint64_t order_ = 0;
  std::priority_queue<Later> later_;
  model::Chance chance_;
  model::World world_;
  std::vector<Director> directors_;
  std::map<NodeId, std::unique_ptr<Node>> nodes_;
  NodeId nextNode_ = 0;
  std::uint64_t version_ = 0;
  fleet::NodeList word_, before_;
  std::vector<std::unique_ptr<client::Core>> apps_;
  std::vector<std::vector<client::Action>> acts_;
  std::map<int, Wish> wishes_;
  std::vector<std::map<client::AttemptId, Attempt>> tries_;
  Played out_;
};

Theatre::Theatre(const History& history, const std::string& plant)
    : h_(history),
      plant_(plant),
      terms_(history.deployment.terms),
      chance_(history.seed, 78),
      world_(terms_, {history.linkKb, 0.15, 64}, history.seed) {
  directors_.resize(static_cast<std::size_t>(h_.directors));
  std::vector<client::DirectorEndpoint> at;
  for (int place = 0; place < h_.directors; ++place) {
    directors_[static_cast<std::size_t>(place)].place = place;
    directors_[static_cast<std::size_t>(place)].zone = "zone" + std::to_string(place % h_.zones);
    at.push_back({"d" + std::to_string(place), "zone" + std::to_string(place % h_.zones)});
  }
  acts_.resize(appsCount);
  tries_.resize(appsCount);
  for (int app = 0; app < appsCount; ++app) {
    client::RetryPolicy manners;
    manners.zone = "zone" + std::to_string(app % h_.zones);
    // Every other app waits for its director to the end: what never comes is seen then.
    if (app % 2 == 0) manners.attemptTimeout = 3600 * second;
    apps_.push_back(std::make_unique<client::Core>(at, manners, h_.seed * 10 + static_cast<unsigned>(app)));
  }
}

// ---- directors ----

void Theatre::boot(Director& d) {
  ++d.run;
  d.up = true;
  d.stands = false;
  d.turnAt = 0;
  d.committing = false;
  d.unsaved.clear();
  if (!plant_.empty()) d.hooks = lab::hooksForFault(plant_);
  ControlSettings terms = terms_;
  terms.zone = d.zone;
  terms.directors = h_.directors;
  terms.ordinal = d.place;
  session::Limits bounds = h_.deployment.bounds;
  bounds.guardsEnabled = d.hooks.guardsEnabled;
  bounds.keysStored = d.hooks.recorded;
  const std::uint64_t seed = h_.seed * 1000 + static_cast<std::uint64_t>(d.place * 50 + d.run);
  std::unique_ptr<session::Decider> decider =
      d.hooks.decider ? d.hooks.decider(terms, seed) : std::make_unique<session::ControlDecider>(terms, seed);
  d.list = std::make_unique<fleet::Membership>(terms.cells, h_.deployment.leastKept, bounds.grace);
  d.front = std::make_unique<session::Front>(terms, bounds, std::move(decider));
  d.reception = std::make_unique<admission::RequestTranslator>(
      admission::RequestTranslator::Names{"d" + std::to_string(d.place), h_.deployment.roomTypes,
                                          h_.deployment.tenants, h_.deployment.clientTimeouts},
      terms.roomTypes);
  if (d.hooks.recorded) {
    std::vector<ledger::Record> records;
    for (const auto& [key, record] : d.stored) records.push_back(record);
    d.front->recover(now_, records, true);
  }
  d.front->listUpdated(d.hasKept ? d.list->restore(d.kept) : ListUpdate{ListKind::cachedSnapshot, {}});
  hand(d, word_, 0);
  turn(d);
}

void Theatre::die(Director& d) {
  if (!d.up) return;
  out_.record.downs.push_back({d.place, d.run, now_ - zero});
  out_.held += [&] {
    std::size_t held = 0;
    for (const auto n : d.front->statistics().guardViolations) held += n;
    return held;
  }();
  d.up = false;
  d.inbox.clear();
  d.joins.clear();
  d.connected.clear();
  d.front.reset();
  for (auto& [id, n] : nodes_)
    for (const auto& s : n->sessions)
      if (s->director == d.place && s->run == d.run) over(*n, *s);
  const auto lines = std::exchange(d.lines, {});
  for (const auto& [callId, at] : lines) {
    const auto [app, id] = at;
    after(wire, [this, app = app, id = id] {
      closeTry(app, id, true);
      apps_[static_cast<std::size_t>(app)]->failed(now_, id, acts_[static_cast<std::size_t>(app)]);
      acts(app);
    });
  }
}

void Theatre::reach(Director& d, std::function<void()> what) {
  after(wire, [this, &d, run = d.run, what = std::move(what)] {
    if (!d.up || d.run != run) return;
    if (d.stands) return d.inbox.push_back(what);
    what();
    arm(d);
  });
}

// A turn when one is due: at once where something came in, later for time-outs.
void Theatre::arm(Director& d) {
  if (!d.up || d.stands) return;
  const Micros at = std::max(now_, d.front->due());
  if (d.turnAt != 0 && d.turnAt <= at && d.turnAt >= now_) return;
  d.turnAt = at;
  after(at - now_, [this, &d, run = d.run, at] {
    if (d.up && d.run == run && !d.stands && d.turnAt == at) turn(d);
  });
}

void Theatre::turn(Director& d) {
  d.turnAt = 0;
  if (ListUpdate told = d.list->confirmRemovals(now_); !told.entries.empty())
    d.front->listUpdated(std::move(told));
  std::vector<session::Command> orders;
  d.front->processTurn(now_, orders);
  if (d.hooks.tamper) d.hooks.tamper(now_, orders);
  for (const session::Command& order : orders) carry(d, order);
  if (const auto writes = d.front->takeWrites(); d.hooks.recorded) {
    d.unsaved.insert(d.unsaved.end(), writes.begin(), writes.end());
    commit(d);
  }
  arm(d);
}

// One commit at a time; what comes meanwhile goes with the next.
void Theatre::commit(Director& d) {
  if (d.committing || d.unsaved.empty()) return;
  d.committing = true;
  after(d.disk, [this, &d, run = d.run, writes = std::exchange(d.unsaved, {})] {
    if (!d.up || d.run != run) return;  // killed before the commit
    d.committing = false;
    for (const ledger::Write& one : writes) {
      if (one.record.state == ledger::RecordState::refused)
        d.stored.erase(one.record.key);
      else
        d.stored[one.record.key] = one.record;
    }
    commit(d);
    const ledger::Seq seq = writes.back().seq;
    const auto tell = [&d, seq] { d.front->durable(seq); };
    if (d.stands) return d.inbox.push_back(tell);
    tell();
    arm(d);
  });
}

void Theatre::carry(Director& d, const session::Command& order) {
  const auto say = [&](CallId callId, audit::AskSeen::Answer::Kind kind, client::Answer answer,
                       Micros retryAfter, bool drains) {
    const auto it = d.lines.find(callId);
    if (it == d.lines.end()) return;
    const auto [app, id] = it->second;
    if (kind != audit::AskSeen::Answer::Kind::playing) d.lines.erase(it);
    after(wire, [this, app = app, id = id, kind, answer, retryAfter, drains] {
      const auto at = tries_[static_cast<std::size_t>(app)].find(id);
      if (at == tries_[static_cast<std::size_t>(app)].end()) return;
      // What comes after the player closed is heard by nobody.
      if (at->second.open && at->second.asked >= 0)
        out_.record.asks[static_cast<std::size_t>(at->second.asked)].answers.push_back({now_ - zero, kind});
      if (at->second.open) heard(app, id, answer, retryAfter, drains);
    });
  };
  using Kind = audit::AskSeen::Answer::Kind;
  if (const auto* p = std::get_if<session::Playing>(&order)) {
    say(p->callId, Kind::playing, client::Answer::playing, 0, false);
  } else if (const auto* t = std::get_if<session::Throttled>(&order)) {
    say(t->callId, Kind::throttled, client::Answer::throttled, t->retryAfter,
        t->reason == session::ThrottleReason::draining);
  } else if (const auto* e = std::get_if<session::Terminated>(&order)) {
    say(e->callId, Kind::terminated, client::Answer::terminated, 0, false);
  } else if (const auto* end = std::get_if<session::Ended>(&order)) {
    d.lines.erase(end->callId);
  } else if (const auto* up = std::get_if<session::SetUp>(&order)) {
    setUp(d, *up);
  } else if (const auto* change = std::get_if<session::ChangeRung>(&order)) {
    const auto it = d.joins.find(change->join);
    if (it == d.joins.end()) return;
    it->second.order.rung = change->rung;
    if (!it->second.written) return;
    after(wire, [this, to = it->second.order.node, key = change->join, place = d.place, run = d.run,
                 rung = change->rung] {
      for (const auto& s : nodes_.at(to)->sessions)
        if (s->join == key && s->director == place && s->run == run) {
          s->rung = rung;
          out_.record.rungs.push_back({now_ - zero, s->room, rung});
          if (s->stream != 0) world_.setRung(s->stream, rung);
        }
    });
  } else if (const auto* down = std::get_if<session::TearDown>(&order)) {
    const auto it = d.joins.find(down->join);
    if (it == d.joins.end()) return;
    if (it->second.written)
      after(wire, [this, to = it->second.order.node, key = down->join, place = d.place, run = d.run] {
        Node& n = *nodes_.at(to);
        for (const auto& s : n.sessions)
          if (s->join == key && s->director == place && s->run == run) over(n, *s);
      });
    d.joins.erase(it);
  } else if (const auto* back = std::get_if<session::Withdraw>(&order)) {
    const auto it = d.joins.find(back->join);
    if (it != d.joins.end() && !it->second.written) ended(d, back->join, Outcome::notSent, false);
  }
}

void Theatre::ended(Director& d, JoinId key, Outcome outcome, bool finished) {
  if (d.joins.erase(key) == 0) return;
  d.front->joinEnded(key, outcome, {}, finished);
}

void Theatre::setUp(Director& d, const session::SetUp& order) {
  d.joins[order.join].order = order;
  Node* n = node(static_cast<int>(order.node));
  if (n == nullptr) return ended(d, order.join, Outcome::connectFailed, false);
  if (d.connected.contains(order.node)) return write(d, order.join);
  d.joins[order.join].connecting = true;
  const bool reached = n->alive && n->connect <= connectMost;
  after(reached ? n->connect : std::min(n->connect, connectMost),
        [this, &d, run = d.run, to = order.node, key = order.join, reached] {
          if (!d.up || d.run != run) return;
          const auto done = [this, &d, to, key, reached] {
            if (!d.joins.contains(key)) return;
            if (!reached || !nodes_.at(to)->alive) return ended(d, key, Outcome::connectFailed, false);
            // All that wait for this connection leave in one heap, as they do on a socket.
            d.connected[to] = nodes_.at(to)->startedAt;
            std::vector<JoinId> waiting;
            for (const auto& [one, join] : d.joins)
              if (join.order.node == to && join.connecting) waiting.push_back(one);
            for (const JoinId one : waiting) write(d, one);
          };
          if (d.stands) return d.inbox.push_back(done);
          done();
          arm(d);
        });
}

void Theatre::write(Director& d, JoinId key) {
  JoinAt& join = d.joins.at(key);
  join.connecting = false;
  if (!d.front->mayWrite(now_, key)) return ended(d, key, Outcome::notSent, false);
  join.written = true;
  join.process = d.connected.at(join.order.node);
  after(wire, [this, &d, run = d.run, order = join.order, process = join.process] {
    Node& n = *nodes_.at(order.node);
    if (n.alive && n.startedAt == process && d.run == run && d.up) arrive(n, d, order);
  });
}

// ---- the list ----

void Theatre::publish(std::set<NodeId> without) {
  before_ = word_;
  word_ = {};
  word_.version = ++version_;
  for (const auto& [id, n] : nodes_) {
    if (!n->inList || without.contains(id)) continue;
    fleet::NodeEndpoint endpoint;
    endpoint.node = id;
    endpoint.state = n->listed;
    endpoint.cell = n->cell;
    endpoint.zone = "zone" + std::to_string(n->cell % h_.zones);
    endpoint.readyAt = n->cold ? n->startedAt : 0;
    word_.endpoints.push_back(endpoint);
  }
  for (Director& d : directors_) hand(d, word_, d.listLate);
}

void Theatre::hand(Director& d, const fleet::NodeList& word, Micros late) {
  after(late, [this, &d, run = d.run, word] {
    if (d.up && d.run == run) reach(d, [this, &d, word] { tell(d, word); });
  });
}

// What the list said, and when this director could first read it, goes into the record.
void Theatre::tell(Director& d, const fleet::NodeList& word) {
  if (word.version >= d.list->version() || d.list->version() == 0) {
    std::set<NodeId> named;
    for (const fleet::NodeEndpoint& endpoint : word.endpoints) {
      named.insert(endpoint.node);
      out_.record.words.push_back({endpoint.node, now_ - zero, endpoint.state, d.place});
    }
    for (const auto& [id, n] : nodes_)
      if (!named.contains(id)) out_.record.words.push_back({id, now_ - zero, NodeState::gone, d.place});
  }
  ListUpdate told;
  const fleet::UpdateResult taken = d.list->apply(now_, word, told);
  if (taken != fleet::UpdateResult::applied && taken != fleet::UpdateResult::tooMuchGone) return;
  d.kept = word;
  d.hasKept = true;
  if (!told.entries.empty() || told.kind == ListKind::snapshot) d.front->listUpdated(std::move(told));
}

// ---- nodes ----

void Theatre::begin(int cell, bool cold) {
  auto made = std::make_unique<Node>();
  made->id = ++nextNode_;
  made->cell = cell;
  made->cold = cold;
  made->startedAt = now_;
  world_.addNode(made->id, cell, now_, cold);
  out_.record.starts.push_back({made->id, now_ - zero, places(), cold});
  nodes_.emplace(made->id, std::move(made));
}

void Theatre::arrive(Node& n, Director& d, const session::SetUp& order) {
  auto s = std::make_shared<Session>();
  s->director = d.place;
  s->run = d.run;
  s->join = order.join;
  s->viewer = std::atoi(order.viewer.c_str() + 1);
  s->room = order.roomType;
  s->rung = order.rung;
  s->title = std::atoi(order.title.c_str() + 1);
  s->seen = out_.record.setUps.size();
  audit::SetUpSeen seen;
  seen.at = now_ - zero;
  seen.node = n.id;
  seen.director = d.name();
  seen.subscription = d.name() + "-" + std::to_string(order.sub);
  seen.viewer = order.viewer;
  seen.idempotencyKey = order.idempotencyKey;
  seen.title = order.title;
  seen.roomType = order.roomType;
  seen.rung = order.rung;
  out_.record.setUps.push_back(seen);
  out_.record.rungs.push_back({now_ - zero, order.roomType, order.rung});
  n.sessions.push_back(s);
  if (n.cold && now_ - n.startedAt < terms_.coldTime && terms_.fallTime > 0) {
    std::erase_if(n.coldSeen, [&](Micros at) { return at <= now_ - terms_.fallTime; });
    n.coldSeen.push_back(now_);
    const double bears = places() * world_.warmth(n.id, now_) * static_cast<double>(terms_.fallTime) /
                         static_cast<double>(terms_.coldTime) * terms_.overloadFactor;
    if (static_cast<double>(n.coldSeen.size()) > bears + 2) {
      out_.record.nodesFallen.push_back("node " + std::to_string(n.id));
      return killNode(n);
    }
  }
  if (n.hang)
    n.held.push_back([this, &n, s] { process(n, s); });
  else
    process(n, s);
}

void Theatre::answer(Session& s, std::function<void(Director&)> what) {
  Director& d = directors_[static_cast<std::size_t>(s.director)];
  if (d.run == s.run) reach(d, [&d, what = std::move(what)] { what(d); });
}

void Theatre::process(Node& n, const std::shared_ptr<Session>& s) {
  if (!n.alive) return;
  audit::SetUpSeen& seen = out_.record.setUps[s->seen];
  const JoinId key = s->join;
  if (s->over) {
    // It read the set-up after it stood still, before the teardown behind it: it ran, for a moment.
    seen.ranAt = now_ - zero;
    return;
  }
  const auto most = static_cast<std::size_t>(places());
  const bool full = n.draining || n.refuse || world_.streams(n.id) >= most;
  if (full || chance_.comes(n.fail)) {
    if (full) seen.refusedAt = now_ - zero;
    if (!n.lose)
      answer(*s,
             [this, key, full](Director& d) { ended(d, key, full ? Outcome::full : Outcome::error, false); });
    return over(n, *s);
  }
  after(chance_.span(h_.setUpLeast, h_.setUpMost), [this, &n, s] {
    if (n.hang)
      n.held.push_back([this, &n, s] { runIt(n, s); });
    else
      runIt(n, s);
  });
}

void Theatre::runIt(Node& n, const std::shared_ptr<Session>& s) {
  if (!n.alive || s->over) return;
  s->ran = true;
  out_.record.setUps[s->seen].ranAt = now_ - zero;
  s->stream = world_.play(n.id, s->viewer, s->room, s->rung, s->title, true);
  const JoinId key = s->join;
  if (!n.lose) {
    const double link = world_.load(n.id, 0).link;
    answer(*s, [key, link, silent = n.silent](Director& d) {
      if (!d.joins.contains(key)) return;
      d.front->joinStarted(key);
      if (!silent) d.front->measured(key, MeasurementKind::link, link);
    });
  }
  const Micros length = wishes_.at(s->viewer).asked.length;
  after(length, [this, &n, s, key] {
    if (s->over || !n.alive) return;
    over(n, *s);
    answer(*s, [this, key](Director& d) { ended(d, key, Outcome::ok, true); });
  });
}

void Theatre::over(Node&, Session& s) {
  if (s.over) return;
  s.over = true;
  out_.record.setUps[s.seen].endedAt = now_ - zero;
  if (s.stream != 0) world_.stop(s.stream);
}

void Theatre::killNode(Node& n) {
  if (!n.alive) return;
  n.alive = false;
  for (const auto& s : n.sessions) over(n, *s);
  n.sessions.clear();
  n.held.clear();
  world_.removeNode(n.id);
  for (Director& d : directors_)
    if (d.up)
      reach(d, [this, &d, to = n.id, process = n.startedAt] {
        if (const auto it = d.connected.find(to); it != d.connected.end() && it->second == process)
          d.connected.erase(it);
        std::vector<JoinId> lost;
        for (const auto& [key, join] : d.joins)
          if (join.order.node == to && join.written && join.process == process) lost.push_back(key);
        for (const JoinId key : lost) ended(d, key, Outcome::reset, false);
      });
}

// Once a second what is delivered, while that is short; the link's use once a round, on one join of each
// director.
void Theatre::notes(Node& n) {
  std::erase_if(n.sessions, [](const auto& s) { return s->over; });
  if (!n.alive || n.silent || n.hang || n.lose) return;
  const model::NodeLoad load = world_.load(n.id, terms_.seenAfter);
  const bool round = terms_.reportInterval > 0 && now_ - n.notedAt >= terms_.reportInterval;
  if (round) n.notedAt = now_;
  std::set<int> told;
  for (const auto& s : n.sessions) {
    if (!s->ran || !told.insert(s->director).second) continue;
    answer(*s, [key = s->join, load, round, uplinks = terms_.uplinksReported](Director& d) {
      if (load.delivered < 0.98) d.front->measured(key, MeasurementKind::delivered, load.delivered);
      if (round) d.front->measured(key, MeasurementKind::link, load.link);
      if (round && uplinks) d.front->measured(key, MeasurementKind::uplink, load.uplink);
    });
  }
}

// ---- players ----

void Theatre::acts(int app) {
  auto& list = acts_[static_cast<std::size_t>(app)];
  while (!list.empty()) {
    const std::vector<client::Action> now = std::exchange(list, {});
    for (const client::Action& act : now) {
      if (const auto* go = std::get_if<client::StartAttempt>(&act)) attempt(app, *go);
      if (const auto* no = std::get_if<client::AbandonAttempt>(&act)) closeTry(app, no->attempt, false);
      if (const auto* give = std::get_if<client::ReportResult>(&act)) {
        ++*std::map<client::Result, std::size_t*>{
            {client::Result::playing, &out_.playing},         {client::Result::throttled, &out_.throttled},
            {client::Result::terminated, &out_.terminated},   {client::Result::unknown, &out_.unknown},
            {client::Result::unreachable, &out_.unreachable}, {client::Result::cancelled, &out_.unreachable}}
               .at(give->result);
        if (give->result == client::Result::throttled) out_.comeBack.push_back(give->retryAfter);
        wishes_.at(static_cast<int>(give->request)).ended = give->result != client::Result::playing;
      }
    }
  }
  const Micros due = apps_[static_cast<std::size_t>(app)]->due();
  if (due < now_ + 3600 * second) after(std::max<Micros>(0, due - now_), [this, app] { tickApp(app); });
}

void Theatre::tickApp(int app) {
  auto& core = *apps_[static_cast<std::size_t>(app)];
  if (core.due() > now_) return;
  core.tick(now_, acts_[static_cast<std::size_t>(app)]);
  acts(app);
}

void Theatre::attempt(int app, const client::StartAttempt& go) {
  Attempt& one = tries_[static_cast<std::size_t>(app)][go.attempt];
  one.viewer = static_cast<int>(go.request);
  one.director = static_cast<int>(go.director);
  after(handshake, [this, app, id = go.attempt] {
    Attempt& at = tries_[static_cast<std::size_t>(app)].at(id);
    Director& d = directors_[static_cast<std::size_t>(at.director)];
    if (!at.open) return;
    if (!d.up) {
      at.open = false;
      apps_[static_cast<std::size_t>(app)]->failed(now_, id, acts_[static_cast<std::size_t>(app)]);
      return acts(app);
    }
    at.run = d.run;
    // The kernel takes the connection of a director that stands still; its hello comes when it goes on.
    at.callId = ++d.nextLine;
    d.lines[at.callId] = {app, id};
    reach(d, [this, app, id] { hello(app, id); });
  });
}

void Theatre::hello(int app, client::AttemptId id) {
  Attempt& at = tries_[static_cast<std::size_t>(app)].at(id);
  Director& d = directors_[static_cast<std::size_t>(at.director)];
  after(wire, [this, app, id, &d] {
    Attempt& one = tries_[static_cast<std::size_t>(app)].at(id);
    if (!one.open || !d.up || d.run != one.run) return;
    const client::SendParameters sending =
        apps_[static_cast<std::size_t>(app)]->beginSend(now_, id, "d" + std::to_string(one.director));
    if (sending.key.empty()) return;
    const Happening& wish = wishes_.at(one.viewer).asked;
    session_api::PlayMessage ask;
    ask.key = sending.key;
    ask.previousDirector = sending.previousDirector;
    ask.sinceFirstSent = sending.sinceFirstSent;
    ask.timeout = sending.timeLeft;
    ask.viewer = "v" + std::to_string(one.viewer);
    ask.title = "t" + std::to_string(wish.title);
    ask.room = h_.deployment.roomTypes[static_cast<std::size_t>(wish.room)];
    ask.top = wish.top;
    if (!h_.deployment.tenants.empty()) ask.tenant = h_.deployment.tenants[0];
    one.asked = static_cast<long>(out_.record.asks.size());
    audit::AskSeen seen;
    seen.at = now_ - zero;
    seen.director = one.director;
    seen.run = one.run;
    seen.viewer = ask.viewer;
    seen.idempotencyKey = ask.key;
    seen.title = ask.title;
    seen.roomType = wish.room;
    seen.timeout =
        std::min(sending.timeLeft, h_.deployment.clientTimeouts[static_cast<std::size_t>(wish.room)]);
    out_.record.asks.push_back(seen);
    reach(d, [&d, ask, callId = one.callId] {
      std::string why;
      auto read = d.reception->translate(callId, ask, std::nullopt, *d.list, why);
      if (read) d.front->submit(std::move(*read));
    });
  });
}

void Theatre::heard(int app, client::AttemptId id, client::Answer answer, Micros retryAfter, bool drains) {
  Attempt& at = tries_[static_cast<std::size_t>(app)].at(id);
  if (answer == client::Answer::playing)
    wishes_.at(at.viewer).playing = id;
  else
    at.open = false;
  apps_[static_cast<std::size_t>(app)]->answered(now_, id, answer, retryAfter, drains,
                                                 acts_[static_cast<std::size_t>(app)]);
  acts(app);
}

void Theatre::closeTry(int app, client::AttemptId id, bool lost) {
  const auto it = tries_[static_cast<std::size_t>(app)].find(id);
  if (it == tries_[static_cast<std::size_t>(app)].end() || !it->second.open) return;
  Attempt& at = it->second;
  at.open = false;
  if (at.asked >= 0) {
    audit::AskSeen& seen = out_.record.asks[static_cast<std::size_t>(at.asked)];
    if (seen.answers.empty()) seen.closedAt = now_ - zero, seen.lostSocket = lost;
  }
  Director& d = directors_[static_cast<std::size_t>(at.director)];
  if (!d.up || d.run != at.run || at.callId == 0) return;
  d.lines.erase(at.callId);
  reach(d, [&d, callId = at.callId] { d.front->closed(callId); });
}

// ---- what happens ----

void Theatre::happen(const Happening& one) {
  const bool on = one.much > 0;
  Node* n = node(one.who);
  Director* d =
      one.who >= 0 && one.who < h_.directors ? &directors_[static_cast<std::size_t>(one.who)] : nullptr;
  switch (one.what) {
    case What::wish: {
      Wish& wish = wishes_[one.who];
      wish.asked = one;
      wish.app = one.who % appsCount;
      ++out_.wishes;
      const auto room = static_cast<std::size_t>(one.room);
      apps_[static_cast<std::size_t>(wish.app)]->submit(
          now_,
          {static_cast<client::RequestId>(one.who), "k" + std::to_string(one.who),
           terms_.roomTypes[room].effect != Effect::repeatable, h_.deployment.clientTimeouts[room]},
          acts_[static_cast<std::size_t>(wish.app)]);
      return acts(wish.app);
    }
    case What::leave:
    case What::cut: {
      const auto it = wishes_.find(one.who);
      if (it == wishes_.end()) return;
      const int app = it->second.app;
      for (auto& [id, at] : tries_[static_cast<std::size_t>(app)]) {
        if (at.viewer != one.who || !at.open) continue;
        const client::AttemptId attempt = id;
        if (one.what == What::leave && it->second.playing == 0)
          apps_[static_cast<std::size_t>(app)]->cancel(now_, static_cast<client::RequestId>(one.who),
                                                       acts_[static_cast<std::size_t>(app)]);
        closeTry(app, attempt, false);
        if (one.what == What::cut)
          apps_[static_cast<std::size_t>(app)]->failed(now_, attempt, acts_[static_cast<std::size_t>(app)]);
        return acts(app);
      }
      return;
    }
    case What::start:
      begin(static_cast<int>(one.much), true);
      return publish();
    case What::restart:
      if (n == nullptr || !n->alive) return;
      killNode(*n);
      n->alive = n->cold = true;
      n->draining = n->hang = false;
      n->listed = NodeState::ready;
      n->startedAt = now_;
      n->coldSeen.clear();
      world_.addNode(n->id, n->cell, now_, true);
      out_.record.starts.push_back({n->id, now_ - zero, places(), true});
      return publish();
    case What::recell:
      if (n == nullptr) return;
      n->cell = static_cast<int>(one.much);
      return publish();
    case What::drain:
      if (n == nullptr) return;
      n->draining = true;
      n->listed = NodeState::draining;
      return publish();
    case What::gone:
      if (n == nullptr) return;
      n->inList = false;
      return publish();
    case What::kill:
      if (n != nullptr) killNode(*n);
      return;
    case What::hang:
      if (n == nullptr || !n->alive) return;
      n->hang = on;
      world_.stall(n->id, on);
      if (!on)
        for (const auto& held : std::exchange(n->held, {})) held();
      return;
    case What::lose:
      if (n != nullptr) n->lose = on;
      return;
    case What::fail:
      if (n != nullptr) n->fail = one.much;
      return;
    case What::refuse:
      if (n != nullptr) n->refuse = on;
      return;
    case What::silent:
      if (n != nullptr) n->silent = on;
      return;
    case What::connect:
      if (n != nullptr) n->connect = static_cast<Micros>(one.much * ms);
      return;
    case What::linkCut:
      if (n != nullptr && n->alive) world_.cutLink(n->id, std::max(1.0, one.much));
      return;
    case What::repeat:
      for (Director& each : directors_) hand(each, word_, 0), hand(each, before_, 0);
      return;
    case What::thin: {
      std::set<NodeId> without;
      for (const auto& [id, each] : nodes_)
        if (id % 3 != 0) without.insert(id);
      publish(without);
      return after(100 * ms, [this] { publish(); });
    }
    case What::late:
      if (d != nullptr) d->listLate = static_cast<Micros>(one.much * ms);
      return;
    case What::down:
      if (d != nullptr) die(*d);
      return;
    case What::up:
      if (d != nullptr && !d->up) boot(*d);
      return;
    case What::stand:
      if (d == nullptr || !d->up || d->stands == on) return;
      d->stands = on;
      if (on) {
        out_.record.stood.push_back({d->place, d->run, now_ - zero, now_ - zero + 3600 * second});
        return;
      }
      out_.record.stood.back().to = now_ - zero;
      for (auto& each : out_.record.stood)
        if (each.director == d->place && each.run == d->run && each.to > now_ - zero) each.to = now_ - zero;
      while (!d->inbox.empty()) {
        const auto what = std::move(d->inbox.front());
        d->inbox.pop_front();
        what();
      }
      return turn(*d);
    case What::disk:
      if (d != nullptr) d->disk = static_cast<Micros>(one.much * ms);
      return;
  }
}

Played Theatre::play() {
  for (int cell = 0; cell < h_.nodes; ++cell) begin(cell, false);
  publish();
  for (Director& d : directors_) d.kept = word_, d.hasKept = true, boot(d);
  Micros last = 0;
  for (const Happening& one : h_.happenings) {
    last = std::max(last, one.at);
    after(one.at, [this, &one] { happen(one); });
  }
  const Micros end = zero + last + settleTime;
  std::function<void()> house = [&] {
    world_.step(now_);
    if ((now_ / housekeeping) % 20 == 0)
      for (auto& [id, n] : nodes_) notes(*n);
    for (Director& d : directors_)
      if (d.up && !d.stands)
        if (ListUpdate told = d.list->confirmRemovals(now_); !told.entries.empty())
          d.front->listUpdated(std::move(told)), arm(d);
    if (now_ < end) after(housekeeping, house);
  };
  house();
  while (!later_.empty() && later_.top().at <= end) {
    const Later next = later_.top();
    later_.pop();
    now_ = next.at;
    next.what();
  }
  for (Director& d : directors_)
    if (d.up)
      for (const auto n : d.front->statistics().guardViolations) out_.held += n;
  audit::Statistics statistics;
  statistics.terms = terms_;
  statistics.clientTimeouts = h_.deployment.clientTimeouts;
  statistics.grace = h_.deployment.bounds.grace;
  out_.rows = audit::check(out_.record, statistics);
  return std::move(out_);
}

}  // namespace

std::size_t Played::broken() const {
  std::size_t all = 0;
  for (const audit::Row& row : rows) all += row.broken;
  return all;
}

Played play(const History& history, const std::string& plant) { return Theatre(history, plant).play(); }

std::string shown(const Played& p) {
  std::string out;
  char callId[300];
  for (const audit::Row& row : p.rows) {
    std::snprintf(callId, sizeof callId, "%-22s %8zu tested %6zu broken   %s\n", row.rule.c_str(), row.tested,
                  row.broken, row.tested == 0 ? "not put to the test" : row.nearest.c_str());
    out += callId;
    for (const std::string& words : row.first) out += "    " + words + "\n";
  }
  std::snprintf(callId, sizeof callId,
                "%zu wishes: %zu play, %zu throttled, %zu terminated, %zu unknown, %zu not reached; %zu "
                "asks, %zu joins, "
                "%zu held back by guards, %zu nodes fallen\n",
                p.wishes, p.playing, p.throttled, p.terminated, p.unknown, p.unreachable,
                p.record.asks.size(), p.record.setUps.size(), p.held, p.record.nodesFallen.size());
  return out + callId;
}

}  // namespace lupinsill::history
