// The media nodes' side of the platform's protocol: carries out the front's orders on connections to nodes
// and tells it how joins end. It decides nothing on placing.
//
// One spoilt line loses a connection with every set-up on it, so each open set-up has one of its own while
// the descriptors last; what stands shares. A join counts as written once its bytes are handed to the
// machine. What stands at a node with nobody behind it is released there.
// docs/design/platform.md has the reasons. Owned by the director; not to be moved.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/liveness_check.h"
#include "fleet/membership.h"
#include "net/handles.h"
#include "platform/link.h"
#include "platform/viewers.h"
#include "session/front.h"

namespace lupinsill::platform {

class Nodes {
 public:
  struct Handler {
    virtual ~Handler() = default;
    // Asked as a join is about to be written; false: it is not, and has ended as moot.
    virtual bool mayWrite(session::JoinId join) = 0;
    virtual void joinStarted(session::JoinId join, const std::string& desc) = 0;
    virtual void joinEnded(session::JoinId join, Outcome outcome, const LoadReport& report,
                           bool finished) = 0;
    virtual void measured(session::JoinId join, MeasurementKind reading, double value) = 0;
  };
  struct Limits {
    std::size_t connections = 0;
    Micros connect = 0;
  };
  struct Statistics {
    std::uint64_t connects = 0, failed = 0, lost = 0, unreadable = 0, passedOver = 0, orphans = 0,
                  vanished = 0, retaken = 0;
    std::size_t connections = 0, joins = 0, nodes = 0;
  };

  Nodes(event_base* base, Handler& handler, Limits bounds);
  ~Nodes();

  void setUp(const session::SetUp& order, const fleet::NodeEndpoint& endpoint, const Call& call);
  void adopt(session::JoinId join, const fleet::NodeEndpoint& endpoint, const Call& call);
  void change(const session::ChangeRung& order);
  void tearDown(session::JoinId join);
  void withdraw(session::JoinId join);
  // After each change of the list: nodes that went, started anew, or whose place another has taken.
  void listed(const fleet::Membership& membership, Micros now);
  // After each turn: joins whose connection has come up.
  void writeWaiting();
  void tick(Micros now);
  // Whether all that can be said to nodes has been handed to the machine; what waits for a node that takes no
  // connection can't.
  bool settled() const;
  Statistics statistics() const;

 private:
  struct Node;
  struct Wire;
  struct Join;
  Node& nodeOf(const fleet::NodeEndpoint& endpoint);
  Wire* open(Node& node);
  Wire* pick(Node& node);
  bool makeRoom(const Node& wanting);
  void place(Join& join);
  void write(Join& join, Wire& wire);
  void unfit(Wire& wire);
  void say(Node& node, const jsonl::Message& message, Wire* first = nullptr);
  void up(Wire& wire);
  void heard(Wire& wire, jsonl::Message& message);
  void down(Wire& wire, Link::End how);
  void failed(Wire& wire, bool refused);
  void retire(Wire& wire);
  void release(Node& node, const std::string& call);
  void finish(Join& join);
  void endStanding(Node& node, Micros before);
  Join* find(session::JoinId key);

  event_base* base_;
  Handler& handler_;
  Limits bounds_;
  std::map<NodeId, std::unique_ptr<Node>> nodes_;
  std::map<session::JoinId, std::unique_ptr<Join>> joins_;
  std::size_t wires_ = 0;
  bool cameUp_ = false;
  std::vector<std::unique_ptr<Wire>> dead_;
  Statistics statistics_;
};

LoadReport reportOf(const std::string& text);

}  // namespace lupinsill::platform
