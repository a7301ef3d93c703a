// Tests `lupinsill run` for subscriptions that outlive its process: the next process learns of them from
// their viewers, while nodes release what has ended on whichever connection the new process opens.
#include <algorithm>

#include "platform_harness.h"

using namespace lupinsill;
using namespace lupinsill::tests;

namespace {

// Closes the node's ends of all connections that were opened to it and not accepted yet.
void discardWaitingConnections(const TestHarness& harness) {
  for (const StubNode& node : harness.nodes)
    while (node.tryAccept(0)) continue;
}
void allowOneSeat(nlohmann::json& configuration) { configuration["settings"]["domain"]["seats"] = {0, 1}; }

// The node's side of all connections between it and the director. Messages on them are read in turn.
struct NodeSide {
  const StubNode& node;
  std::vector<TestConnection> connections;

  // Returns the connection on which such a message arrives within the time, or null.
  TestConnection* awaitMessage(Op op, const std::string& call, int milliseconds) {
    const auto until = Clock::now() + std::chrono::milliseconds(milliseconds);
    while (Clock::now() < until) {
      if (auto connection = node.tryAccept(0)) connections.push_back(std::move(*connection));
      for (TestConnection& connection : connections)
        while (const auto message = connection.receive(5))
          if (message->op == op && message->call == call) return &connection;
    }
    return nullptr;
  }
  // Establishes a subscription that the viewer requests.
  void establish(TestConnection& viewer, const std::string& call, const std::string& room) {
    viewer.send(makeOffer(call, room, 900));
    TestConnection* connection = awaitMessage(Op::offer, call, 1'000);
    REQUIRE(connection);
    connection->send(makeAccept(call));
    viewer.expect(Op::accept, call);
  }
};

// Whether a new paid request is passed on to the node. Just after its start a director may throttle a few.
bool seatIsFree(TestHarness& harness, NodeSide& side, TestConnection& viewer) {
  for (int tries = 0; tries < 8; ++tries) {
    const std::string call = harness.newCallId();
    viewer.send(makeOffer(call, "paid", 900));
    if (side.awaitMessage(Op::offer, call, 250) != nullptr) return true;
    viewer.expect(Op::end, call);
  }
  return false;
}

}  // namespace

// Guards against subscriptions that are over and held for ever: the release arrived before the viewer had
// reported the subscription to the new process, and was dropped.
TEST_CASE("A subscription that ended during a restart is released to its viewer, and its seat is free") {
  enum class OpenedBy { adoption, request };
  struct Variant {
    int signal;
    OpenedBy openedBy;
    int reasonCode;
    int millisecondsBeforeReport;  // from the node's release to the viewer's report
  };
  const Variant variant = GENERATE(values<Variant>({{SIGTERM, OpenedBy::adoption, 16, 100},
                                                    {SIGKILL, OpenedBy::adoption, 41, 1'500},
                                                    {SIGKILL, OpenedBy::request, 16, 100}}));
  CAPTURE(variant.signal, static_cast<int>(variant.openedBy), variant.millisecondsBeforeReport);
  TestHarness harness(1, 1024, allowOneSeat);
  const std::string ended = harness.newCallId(), other = harness.newCallId();
  {
    TestConnection viewer = verifiedViewer(harness);
    NodeSide side{harness.nodes[0], {}};
    side.establish(viewer, ended, "paid");
    if (variant.openedBy == OpenedBy::adoption) side.establish(viewer, other, "clip");
    harness.restart(variant.signal, [&] { discardWaitingConnections(harness); });
  }
  TestConnection viewer = verifiedViewer(harness);
  viewer.send(variant.openedBy == OpenedBy::adoption ? makeAdoption(other, 0) : makeOffer(other));
  NodeSide side{harness.nodes[0], {}};
  side.connections.push_back(harness.nodes[0].accept());
  side.connections[0].send(makeMessage(Op::end, ended, variant.reasonCode));
  if (variant.openedBy == OpenedBy::request) {
    REQUIRE(side.awaitMessage(Op::offer, other, 1'000));
    side.connections[0].send(makeAccept(other));
    viewer.expect(Op::accept, other);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(variant.millisecondsBeforeReport));
  TestConnection reporting = harness.viewer();
  reporting.send(makeAdoption(ended, 0, "paid"));
  const auto release = reporting.receive(1'000);
  REQUIRE(release);
  CHECK(release->op == Op::end);
  CHECK(release->call == ended);
  CHECK(release->reasonCode == variant.reasonCode);
  reporting.send(makeMessage(Op::ended, ended));
  CHECK(side.awaitMessage(Op::ended, ended, 1'000));
  CHECK(seatIsFree(harness, side, viewer));
  CHECK(!reporting.receive(200));  // the viewer is told once
}

// As above, for subscriptions that end once the new process has a connection to their node.
TEST_CASE(
    "Releases before the viewers' reports are told apart by call and node, also on an open connection") {
  TestHarness harness(2);
  TestConnection viewer = verifiedViewer(harness);
  const std::string playing = harness.newCallId(), first = harness.newCallId(), second = harness.newCallId(),
                    elsewhere = harness.newCallId();
  // No set-up is needed before: the new process believes what is reported at its start.
  viewer.send(makeAdoption(playing, 0));
  NodeSide side{harness.nodes[0], {}};
  side.connections.push_back(harness.nodes[0].accept());
  awaitProcessed(viewer);
  for (const std::string& call : {first, second, elsewhere})
    side.connections[0].send(makeMessage(Op::end, call, 16));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  for (const std::string& call : {first, second}) viewer.send(makeAdoption(call, 0));
  CHECK(viewer.expect(Op::end, first).reasonCode == 16);
  CHECK(viewer.expect(Op::end, second).reasonCode == 16);
  for (const std::string& call : {first, second}) viewer.send(makeMessage(Op::ended, call));
  // The other node holds this subscription, so a release by the first node does not concern it.
  viewer.send(makeAdoption(elsewhere, 1));
  CHECK(!viewer.receive(300));
  TestConnection otherNode = harness.nodes[1].accept();
  otherNode.send(makeMessage(Op::end, elsewhere, 41));
  CHECK(viewer.expect(Op::end, elsewhere).reasonCode == 41);
  viewer.send(makeMessage(Op::ended, elsewhere));
  side.connections[0].send(makeMessage(Op::end, playing, 16));
  CHECK(viewer.expect(Op::end, playing).reasonCode == 16);
}

// Guards against subscriptions that are over and held for ever: a report that crossed the release was taken
// for that of another subscription.
TEST_CASE("A subscription that has ended is not adopted again when it is reported once more") {
  TestHarness harness(1, 1024, allowOneSeat);
  TestConnection viewer = verifiedViewer(harness), other = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeAdoption(call, 0, "paid"));
  NodeSide side{harness.nodes[0], {}};
  side.connections.push_back(harness.nodes[0].accept());
  side.connections[0].send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
  other.send(makeAdoption(call, 0, "paid"));
  const auto release = other.receive(1'000);
  REQUIRE(release);
  CHECK(release->op == Op::end);
  CHECK(release->call == call);
  CHECK(seatIsFree(harness, side, viewer));
}

// Guards against subscriptions that are over and held for ever: their node had started anew, so no release
// could follow, and the list had said so before the viewer's report.
TEST_CASE("A subscription is over if its node has started anew since the process started") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness), other = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  const bool listFirst = GENERATE(true, false);
  CAPTURE(listFirst);
  if (!listFirst) viewer.send(makeAdoption(call, 0));
  auto rows = harness.nodeRows();
  rows[0].started = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  harness.nameServer->set(2, rows);
  awaitQueries(*harness.nameServer, 2);
  awaitProcessed(other);
  if (listFirst) viewer.send(makeAdoption(call, 0));
  CHECK(viewer.expect(Op::end, call).reasonCode == 41);
}

// Guards against releases that are never heard: the connection on which one was sent was lost before the
// subscription was reported, and no other was opened for the node to repeat it.
TEST_CASE(
    "After a connection is lost before a report, a new one is opened on which the node repeats releases") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  const std::string onLost = harness.newCallId(), onOther = harness.newCallId(), call = harness.newCallId();
  viewer.send(makeOffer(onLost, "paid", 900));
  ReceivedOffer lost = awaitOffer(harness, onLost);
  viewer.send(makeOffer(onOther));
  ReceivedOffer other = awaitOffer(harness, onOther);
  lost.connection.reset();
  CHECK(viewer.expect(Op::end, onLost).reasonCode == 41);
  other.connection.send(makeAccept(onOther));
  viewer.expect(Op::accept, onOther);
  viewer.send(makeAdoption(call, 0));
  // Meanwhile the node is heard on the other connection.
  Message info = makeMessage(Op::info, onOther);
  info.fields = {{"note", "fill"}, {"value", "0.97"}};
  std::optional<TestConnection> next;
  for (int i = 0; i < 30 && !next; ++i) {
    other.connection.send(info);
    next = harness.nodes[0].tryAccept(100);
  }
  REQUIRE(next);
  next->send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
}
