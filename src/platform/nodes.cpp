#include "platform/nodes.h"

#include <algorithm>
#include <utility>

namespace lupinsill::platform {

using jsonl::Message;
using jsonl::Op;
namespace cause = jsonl::cause;

namespace {

constexpr std::size_t unsaidMost = 10'000;  // releases that wait for a connection to one node

}  // namespace

struct Nodes::Wire final : Link::Handler {
  Wire(Nodes& nodes, Node& at, net::BufferEvent bufferEvent, std::string name)
      : owner(nodes),
        node(at),
        since(net::unixNow()),
        link(*this, std::move(bufferEvent), false, std::move(name)) {}
  void onUp(Link&) override { owner.up(*this); }
  void onMessage(Link&, Message& message) override { owner.heard(*this, message); }
  void onDown(Link&, Link::End how) override { owner.down(*this, how); }
  Nodes& owner;
  Node& node;
  Micros since;                // of connecting, then of the last use
  bool spent = false;          // takes no new set-up: an answer on it stayed out
  std::vector<Join*> waiting;  // for it to come up
  std::vector<Join*> open;     // written, not answered
  std::vector<Join*> standing;
  Link link;
};

struct Nodes::Node {
  Node(const fleet::NodeEndpoint& listed, Micros now) : endpoint(listed), pulse(now) {}
  fleet::NodeEndpoint endpoint;
  fleet::LivenessCheck pulse;
  bool gone = false;
  std::vector<std::unique_ptr<Wire>> wires;  // the newest last
  std::map<std::string, Join*> joins;        // by their calls' ids
  std::vector<Message> unsaid;               // for the next connection that comes up
};

struct Nodes::Join {
  session::SetUp order;
  Call call;
  Node* node = nullptr;
  Wire* wire = nullptr;
  bool written = false;
  bool began = false;
  Micros beganAt = 0;
};

Nodes::Nodes(event_base* base, Handler& handler, Limits bounds)
    : base_(base), handler_(handler), bounds_(bounds) {}
Nodes::~Nodes() = default;

Nodes::Join* Nodes::find(session::JoinId key) {
  const auto it = joins_.find(key);
  return it == joins_.end() ? nullptr : it->second.get();
}

Nodes::Node& Nodes::nodeOf(const fleet::NodeEndpoint& endpoint) {
  auto& slot = nodes_[endpoint.node];
  if (!slot) slot = std::make_unique<Node>(endpoint, net::unixNow());
  slot->endpoint = endpoint;
  return *slot;
}

// ---- connections ----

// Closes the connection used longest ago that carries nothing; of a node with subscriptions one stays, on
// which it can tell their ends.
bool Nodes::makeRoom(const Node& wanting) {
  Wire* oldest = nullptr;
  for (auto& [id, node] : nodes_) {
    if (node.get() == &wanting) continue;
    const std::size_t keep = node->joins.empty() ? 0 : 1;
    if (node->wires.size() <= keep) continue;
    for (const auto& wire : node->wires)
      if (wire->waiting.empty() && wire->open.empty() && (oldest == nullptr || wire->since < oldest->since))
        oldest = wire.get();
  }
  if (oldest == nullptr) return false;
  retire(*oldest);
  return true;
}

Nodes::Wire* Nodes::open(Node& node) {
  if (wires_ >= bounds_.connections && !makeRoom(node)) return nullptr;
  ++statistics_.connects;
  net::BufferEvent bufferEvent = net::connectTo(base_, node.endpoint.host, node.endpoint.port);
  if (!bufferEvent) return nullptr;
  ++wires_;
  node.wires.push_back(std::make_unique<Wire>(
      *this, node, std::move(bufferEvent),
      "node-" + std::to_string(node.endpoint.node) + "/" + std::to_string(statistics_.connects)));
  return node.wires.back().get();
}

// An idle connection, the one used last; else a new one; else, out of descriptors, the one with the least.
Nodes::Wire* Nodes::pick(Node& node) {
  Wire* idle = nullptr;
  Wire* least = nullptr;
  const auto load = [](const Wire& w) { return w.open.size() + w.waiting.size(); };
  for (const auto& wire : node.wires) {
    if (wire->spent || wire->link.isDead()) continue;
    if (wire->link.isUp() && load(*wire) == 0 && (idle == nullptr || wire->since > idle->since))
      idle = wire.get();
    if (least == nullptr || load(*wire) < load(*least)) least = wire.get();
  }
  if (idle != nullptr) return idle;
  if (Wire* fresh = open(node)) return fresh;
  return least;
}

void Nodes::up(Wire& wire) {
  wire.since = net::unixNow();
  wire.node.pulse.heard(net::unixNow());
  for (const Message& message : std::exchange(wire.node.unsaid, {})) wire.link.say(message);
  cameUp_ = true;
}

// Guards against a join that leaves for a viewer whose going was read in the same pass of the loop, after
// the connection came up: what waited is written once the turn has heard of all that came.
void Nodes::writeWaiting() {
  if (!std::exchange(cameUp_, false)) return;
  std::vector<Wire*> ready;
  for (auto& [id, node] : nodes_)
    for (const auto& wire : node->wires)
      if (wire->link.isUp() && !wire->waiting.empty()) ready.push_back(wire.get());
  // A wire that goes meanwhile is kept until the next tick; what waited for it has gone elsewhere by then.
  for (Wire* wire : ready)
    while (!wire->waiting.empty() && wire->link.isUp()) {
      Join& join = *wire->waiting.front();
      wire->waiting.erase(wire->waiting.begin());
      join.wire = nullptr;
      if (wire->link.sound()) {
        write(join, *wire);
      } else {
        unfit(*wire);
        place(join);
      }
    }
}

// Takes it out of its node, at once; it is freed once nothing runs in it.
void Nodes::retire(Wire& wire) {
  wire.link.close();
  for (Join* join : std::exchange(wire.standing, {})) join->wire = nullptr;
  auto& wires = wire.node.wires;
  const auto it =
      std::find_if(wires.begin(), wires.end(), [&](const auto& one) { return one.get() == &wire; });
  if (it == wires.end()) return;
  dead_.push_back(std::move(*it));
  wires.erase(it);
  --wires_;
}

void Nodes::down(Wire& wire, Link::End how) {
  if (how == Link::End::unreadable) ++statistics_.unreadable;
  if (how == Link::End::refused || how == Link::End::neverUp) return failed(wire, how == Link::End::refused);
  ++statistics_.lost;
  Node& node = wire.node;
  const auto waiting = std::exchange(wire.waiting, {});
  const auto open = std::exchange(wire.open, {});
  retire(wire);
  for (Join* join : open) {
    const session::JoinId key = join->order.join;
    // It may have run: if so it stands there with nobody behind it.
    const std::string call = join->call.id;
    finish(*join);
    release(node, call);
    handler_.joinEnded(key, Outcome::reset, {}, false);
  }
  for (Join* join : waiting) place(*join);
}

// A connection that never came up: nothing of what waited for it has left.
void Nodes::failed(Wire& wire, bool refused) {
  ++statistics_.failed;
  Node& node = wire.node;
  const auto waiting = std::exchange(wire.waiting, {});
  retire(wire);
  node.pulse.failed(refused);
  for (Join* join : waiting) {
    const session::JoinId key = join->order.join;
    finish(*join);
    handler_.joinEnded(key, Outcome::connectFailed, {}, false);
  }
}

// On the connection given, else on any, else on the next that comes up; one is opened.
void Nodes::say(Node& node, const Message& message, Wire* first) {
  if (first != nullptr && first->link.say(message)) return;
  for (auto it = node.wires.rbegin(); it != node.wires.rend(); ++it)
    if ((*it)->link.isUp() && (*it)->link.say(message)) return;
  if (node.unsaid.size() < unsaidMost) node.unsaid.push_back(message);
  if (std::none_of(node.wires.begin(), node.wires.end(),
                   [](const auto& wire) { return !wire->link.isUp() && !wire->link.isDead(); }))
    open(node);
}

void Nodes::release(Node& node, const std::string& call) {
  ++statistics_.orphans;
  Message message;
  message.op = Op::end;
  message.call = call;
  message.why = cause::over;
  say(node, message);
}

// ---- orders ----

void Nodes::setUp(const session::SetUp& order, const fleet::NodeEndpoint& endpoint, const Call& call) {
  Node& node = nodeOf(endpoint);
  auto made = std::make_unique<Join>();
  Join& join = *made;
  join.order = order;
  join.call = call;
  join.node = &node;
  joins_[order.join] = std::move(made);
  place(join);
}

void Nodes::place(Join& join) {
  Node& node = *join.node;
  // A kept connection found dead before a byte was written costs nothing but the look for another.
  while (true) {
    Wire* wire = pick(node);
    if (wire == nullptr) {
      const session::JoinId key = join.order.join;
      finish(join);
      return handler_.joinEnded(key, Outcome::connectFailed, {}, false);
    }
    if (!wire->link.isUp()) {
      wire->waiting.push_back(&join);
      join.wire = wire;
      return;
    }
    if (wire->link.sound()) return write(join, *wire);
    unfit(*wire);
  }
}

// A connection found dead before a byte was written: out of use at once. What is open on it hears of that
// from the loop, in its order with the answers that came before.
void Nodes::unfit(Wire& wire) {
  ++statistics_.retaken;
  wire.spent = true;
  if (wire.open.empty() && wire.waiting.empty()) retire(wire);
}

void Nodes::write(Join& join, Wire& wire) {
  const session::JoinId key = join.order.join;
  Node& node = *join.node;
  if (!handler_.mayWrite(key)) {
    finish(join);
    return handler_.joinEnded(key, Outcome::notSent, {}, false);
  }
  // An earlier join of this call here may still have its end unsaid: that must not meet the new one.
  std::erase_if(node.unsaid, [&](const Message& message) { return message.call == join.call.id; });
  Message message;
  message.op = Op::offer;
  message.call = join.call.id;
  message.with["class"] = join.call.room;
  message.with["key"] = join.call.title;
  message.with["left"] = std::to_string(std::max<Micros>(1, (join.order.until - net::unixNow()) / 1000));
  message.with["rung"] = std::to_string(join.order.rung);
  message.desc = join.call.desc;
  if (!wire.link.say(message)) {
    finish(join);
    handler_.joinEnded(key, Outcome::connectFailed, {}, false);
    // What else is on it ends with it, as by any other break.
    wire.link.close();
    return down(wire, Link::End::broken);
  }
  join.written = true;
  join.wire = &wire;
  wire.since = net::unixNow();
  wire.open.push_back(&join);
  node.joins[join.call.id] = &join;
}

void Nodes::adopt(session::JoinId key, const fleet::NodeEndpoint& endpoint, const Call& call) {
  Node& node = nodeOf(endpoint);
  auto made = std::make_unique<Join>();
  Join& join = *made;
  join.order.join = key;
  join.call = call;
  join.node = &node;
  join.written = join.began = true;
  node.joins[call.id] = &join;
  joins_[key] = std::move(made);
}

void Nodes::change(const session::ChangeRung& order) {
  Join* join = find(order.join);
  if (join == nullptr) return;
  join->order.rung = order.rung;
  if (!join->written) return;
  Message message;
  message.op = Op::set;
  message.call = join->call.id;
  message.with["rung"] = std::to_string(order.rung);
  say(*join->node, message, join->wire);
}

void Nodes::tearDown(session::JoinId key) {
  Join* join = find(key);
  if (join == nullptr) return;
  Node& node = *join->node;
  Wire* wire = join->wire;
  const bool written = join->written, began = join->began;
  const std::string call = join->call.id;
  finish(*join);
  if (!written) return;
  Message message;
  message.op = Op::end;
  message.call = call;
  message.why = cause::over;
  say(node, message, wire);
  // Its answer stayed out: if that was spoilt, nothing that follows on this connection can be read.
  if (!began && wire != nullptr) {
    wire->spent = true;
    if (wire->open.empty()) retire(*wire);
  }
}

void Nodes::withdraw(session::JoinId key) {
  Join* join = find(key);
  if (join == nullptr || join->written) return;
  finish(*join);
  handler_.joinEnded(key, Outcome::notSent, {}, false);
}

void Nodes::finish(Join& join) {
  if (join.wire != nullptr) {
    std::erase(join.wire->waiting, &join);
    std::erase(join.wire->open, &join);
    std::erase(join.wire->standing, &join);
  }
  auto& known = join.node->joins;
  if (const auto it = known.find(join.call.id); it != known.end() && it->second == &join) known.erase(it);
  joins_.erase(join.order.join);
}

// ---- what comes back ----

LoadReport reportOf(const std::string& text) {
  LoadReport report;
  try {
    const auto pairs = jsonl::pairsOf(text);
    for (const auto& [name, into] : control_settings::loadReportFields)
      if (const auto it = pairs.find(name); it != pairs.end())
        if (const auto real = jsonl::realOf(it->second, 0, 1e6)) report.*into = *real;
  } catch (const jsonl::BadLine&) {
    return {};
  }
  return report;
}

void Nodes::heard(Wire& wire, Message& message) {
  Node& node = wire.node;
  node.pulse.heard(net::unixNow());
  wire.since = net::unixNow();
  const auto it = node.joins.find(message.call);
  // Extra copies, and what belongs to nobody, are passed over.
  if (it == node.joins.end()) {
    ++statistics_.passedOver;
    return;
  }
  Join& join = *it->second;
  const session::JoinId key = join.order.join;
  if (message.op == Op::accept) {
    if (join.began || join.wire != &wire) return void(++statistics_.passedOver);
    if (!message.desc || message.desc->empty()) return wire.link.close(), down(wire, Link::End::unreadable);
    join.began = true;
    join.beganAt = net::unixNow();
    std::erase(wire.open, &join);
    wire.standing.push_back(&join);
    handler_.joinStarted(key, *message.desc);
    if (wire.spent && wire.open.empty()) retire(wire);
    return;
  }
  if (message.op == Op::end) {
    if (!join.began && join.wire != &wire) return void(++statistics_.passedOver);
    const std::string* load = message.find("load");
    const LoadReport report = load == nullptr ? LoadReport{} : reportOf(*load);
    const bool began = join.began;
    finish(join);
    if (began) {
      Message reply;
      reply.op = Op::ended;
      reply.call = message.call;
      wire.link.say(reply);
      const bool finished = message.why == cause::over;
      handler_.joinEnded(key,
                         finished                          ? Outcome::ok
                         : message.why == cause::cancelled ? Outcome::cancelled
                                                           : Outcome::reset,
                         report, finished);
    } else {
      const int why = message.why;
      handler_.joinEnded(key,
                         why == cause::full      ? Outcome::full
                         : why == cause::error   ? Outcome::error
                         : why == cause::notSent ? Outcome::notSent
                                                 : Outcome::reset,
                         report, false);
      if (wire.spent && wire.open.empty()) retire(wire);
    }
    return;
  }
  if (message.op == Op::info && join.began) {
    const std::string* value = message.find("value");
    const std::string* note = message.find("note");
    if (value == nullptr || note == nullptr) return;
    const auto real = jsonl::realOf(*value, 0, 1e6);
    if (!real) return;
    if (*note == "fill") handler_.measured(key, MeasurementKind::delivered, *real);
    if (*note == "grade") handler_.measured(key, MeasurementKind::rung, *real);
    if (*note == "local") handler_.measured(key, MeasurementKind::link, *real);
    if (*note == "upstream") handler_.measured(key, MeasurementKind::uplink, *real);
  }
}

// ---- nodes that go ----

// Ends what began there before a moment, towards the viewers.
void Nodes::endStanding(Node& node, Micros before) {
  std::vector<Join*> over;
  for (const auto& [call, join] : node.joins)
    if (join->began && join->beganAt < before) over.push_back(join);
  for (Join* join : over) {
    const session::JoinId key = join->order.join;
    finish(*join);
    handler_.joinEnded(key, Outcome::reset, {}, false);
  }
}

void Nodes::listed(const fleet::Membership& membership, Micros now) {
  std::map<std::pair<std::string, int>, NodeId> places;
  for (const auto& [id, endpoint] : membership.endpoints()) places[{endpoint.host, endpoint.port}] = id;
  for (auto& [id, node] : nodes_) {
    const fleet::NodeEndpoint* endpoint = membership.find(id);
    node->gone = endpoint == nullptr;
    const auto place = places.find({node->endpoint.host, node->endpoint.port});
    // Another has its place: whatever stood there is over, and nothing of it can be told any more.
    if (endpoint == nullptr && place != places.end()) {
      endStanding(*node, now + 1);
      node->unsaid.clear();
    }
    if (endpoint == nullptr) continue;
    if (endpoint->readyAt > node->endpoint.readyAt) endStanding(*node, endpoint->readyAt);
    node->endpoint = *endpoint;
  }
}

void Nodes::tick(Micros now) {
  dead_.clear();
  std::vector<Wire*> late;
  for (auto& [id, node] : nodes_)
    for (const auto& wire : node->wires)
      if (!wire->link.isUp() && now - wire->since > bounds_.connect) late.push_back(wire.get());
  for (Wire* wire : late) failed(*wire, false);
  for (auto& [id, node] : nodes_) {
    if (node->joins.empty() && node->unsaid.empty()) continue;
    bool linked = false, trying = false;
    for (const auto& wire : node->wires) (wire->link.isUp() ? linked : trying) = true;
    switch (node->pulse.look(now, linked, trying)) {
      case fleet::LivenessCheck::Verdict::alive:
        break;
      case fleet::LivenessCheck::Verdict::probe:
        open(*node);
        break;
      case fleet::LivenessCheck::Verdict::dead:
        ++statistics_.vanished;
        endStanding(*node, now + 1);
        node->unsaid.clear();
        break;
    }
  }
  std::vector<Wire*> idle;
  for (auto& [id, node] : nodes_)
    if (node->gone && node->joins.empty())
      for (const auto& wire : node->wires) idle.push_back(wire.get());
  for (Wire* wire : idle) retire(*wire);
  std::erase_if(nodes_, [](const auto& entry) {
    return entry.second->gone && entry.second->joins.empty() && entry.second->wires.empty();
  });
}

bool Nodes::settled() const {
  for (const auto& [id, node] : nodes_)
    for (const auto& wire : node->wires) {
      const bool comesUp = !wire->link.isUp() && !wire->link.isDead();
      if (wire->link.unsent() || (comesUp && !node->unsaid.empty())) return false;
    }
  return true;
}

Nodes::Statistics Nodes::statistics() const {
  Statistics statistics = statistics_;
  statistics.connections = wires_;
  statistics.joins = joins_.size();
  statistics.nodes = nodes_.size();
  return statistics;
}

}  // namespace lupinsill::platform
