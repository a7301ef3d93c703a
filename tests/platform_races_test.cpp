// Tests `lupinsill run` for races around the end of requests, subscriptions, connections and the process
// itself. The adverse order of events is forced: the process is paused while both events happen, or a stub
// peer delays its part.
#include <algorithm>

#include "platform_harness.h"

using namespace lupinsill;
using namespace lupinsill::tests;
using Json = nlohmann::json;

namespace {

// Pauses the director during its lifetime, so that it finds all events of that time at once.
struct PausedProcess {
  pid_t process;
  explicit PausedProcess(const TestHarness& harness) : process(harness.process) {
    kill(process, SIGSTOP);
    int status = 0;
    waitpid(process, &status, WUNTRACED);
  }
  ~PausedProcess() { kill(process, SIGCONT); }
};
// Establishes a subscription and returns the node's connection that carries it.
TestConnection establishSubscription(TestHarness& harness, TestConnection& viewer, const std::string& call) {
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
  return std::move(received.connection);
}
void useLongConnectTimeout(Json& configuration) {
  configuration["settings"]["limits"]["connectTimeoutNs"] = 8e9;
}

// Fills the accept backlog of a node: no new connection is established before open(), and then one is.
struct BacklogFullNode {
  StubNode& node;
  std::vector<TestConnection> fillers;
  explicit BacklogFullNode(StubNode& listening) : node(listening) {
    listen(node.fd, 0);
    fillers.push_back(TestConnection::to(node.port()));
  }
  void open() {
    listen(node.fd, 64);
    fillers.push_back(node.accept());
  }
};
// Whether the node receives such a message within the time, on one of the given connections or on one that it
// accepts meanwhile.
bool receives(StubNode& node, std::vector<TestConnection> connections,
              const std::function<bool(const Message&)>& matches, int milliseconds) {
  const auto until = Clock::now() + std::chrono::milliseconds(milliseconds);
  while (Clock::now() < until) {
    if (auto connection = node.tryAccept(20)) connections.push_back(std::move(*connection));
    for (TestConnection& connection : connections)
      if (const auto message = connection.receive(5); message && matches(*message)) return true;
  }
  return false;
}
// Whether the node receives an offer within the time, on a new connection.
bool receivesOffer(StubNode& node, int milliseconds) {
  return receives(
      node, {}, [](const Message& message) { return message.op == Op::offer; }, milliseconds);
}

}  // namespace

TEST_CASE("A join that waits for its connection is not written after its viewer has left") {
  const bool cancelling = GENERATE(true, false), inOnePass = GENERATE(true, false);
  enum { sendsEnd, closesConnection, halfCloses };
  const int leaving = GENERATE(+sendsEnd, +closesConnection, +halfCloses);
  CAPTURE(cancelling, inOnePass, leaving);
  TestHarness harness(1, 1024, [&](Json& configuration) {
    useLongConnectTimeout(configuration);
    configuration["settings"]["limits"]["cancelling"] = cancelling;
  });
  TestConnection other = verifiedViewer(harness);
  BacklogFullNode node(harness.nodes[0]);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  awaitProcessed(other);
  {
    // In one pass: the event loop finds the viewer's leave and the established connection in the same pass.
    std::optional<PausedProcess> paused;
    if (inOnePass) paused.emplace(harness);
    if (leaving == sendsEnd) viewer.send(makeMessage(Op::end, call, 16));
    if (leaving == closesConnection) viewer.close();
    if (leaving == halfCloses) shutdown(viewer.fd, SHUT_WR);
    if (!inOnePass) awaitProcessed(other);
    node.open();
    if (inOnePass)
      std::this_thread::sleep_for(std::chrono::milliseconds(1'200));  // TCP repeats the SYN after 1 s
  }
  CHECK(!receivesOffer(harness.nodes[0], 2'000));
  awaitProcessed(other);
}

// Guards against work that goes to the wrong node: a new node has taken the address of one that has gone, and
// does not hold what the old one held.
TEST_CASE("A join that waits for a connection is not written to a new node at the address") {
  TestHarness harness(1, 1024, useLongConnectTimeout);
  TestConnection other = verifiedViewer(harness);
  BacklogFullNode node(harness.nodes[0]);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  Message offer = makeOffer(call);
  offer.fields["extras"] = "home:0;copies:1;top:2;viewer:00000000b4d65521";
  viewer.send(offer);
  awaitProcessed(other);
  auto rows = harness.nodeRows();
  rows[0].name = "s-new";
  rows[0].cell = 1;  // does not hold the title
  harness.nameServer->set(2, rows);
  awaitQueries(*harness.nameServer, 3);
  awaitProcessed(other);
  node.open();
  CHECK(!receivesOffer(harness.nodes[0], 2'000));
  CHECK(viewer.expect(Op::end, call).reasonCode != 0);
}

TEST_CASE("When a viewer leaves during or after its join, only the node of that join is told") {
  const bool cancelling = GENERATE(true, false), closesConnection = GENERATE(true, false);
  CAPTURE(cancelling, closesConnection);
  TestHarness harness(
      2, 1024, [&](Json& configuration) { configuration["settings"]["limits"]["cancelling"] = cancelling; });
  TestConnection other = verifiedViewer(harness);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  const auto leave = [&] {
    if (closesConnection)
      viewer.close();
    else
      viewer.send(makeMessage(Op::end, call, 16));
    awaitProcessed(other);
  };
  SECTION("in flight, then accepted") {
    leave();
    if (!cancelling) received.connection.send(makeAccept(call));
    CHECK(received.connection.expect(Op::end, call).reasonCode == 16);
  }
  SECTION("in flight, then refused") {
    leave();
    received.connection.send(makeMessage(Op::end, call, 34));
  }
  SECTION("established") {
    received.connection.send(makeAccept(call));
    viewer.expect(Op::accept, call);
    leave();
    // An established subscription belongs to no connection: only an end message ends it.
    if (closesConnection) CHECK(!received.connection.receive(100));
    if (!closesConnection) CHECK(received.connection.expect(Op::end, call).reasonCode == 16);
  }
  CHECK(!receivesOffer(harness.nodes[1 - received.node], 300));
}

TEST_CASE("A connection that the node closed before the write does not fail a paid request") {
  TestHarness harness(1, 1024, useLongConnectTimeout);
  TestConnection viewer = verifiedViewer(harness);
  BacklogFullNode node(harness.nodes[0]);
  const std::string call = harness.newCallId();
  Message paid = makeOffer(call, "paid", 15'000);
  viewer.send(paid);
  awaitProcessed(viewer);
  {
    const PausedProcess paused(harness);
    node.open();
    harness.nodes[0].accept().close();  // the director's connection, once TCP has repeated the SYN
  }
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
}

TEST_CASE("Subscriptions survive an empty list that is followed by a complete one") {
  TestHarness harness(3);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  TestConnection node = establishSubscription(harness, viewer, call);
  auto rows = harness.nodeRows();
  harness.nameServer->set(2, {});
  awaitQueries(*harness.nameServer, 2);
  harness.nameServer->set(3, rows);
  awaitQueries(*harness.nameServer, 3);
  // The subscription goes on and nobody is told that it ended, even after half the grace period, when the
  // empty list would have been confirmed.
  CHECK(!viewer.receive(2'500));
  CHECK(!node.receive(100));
  node.send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
}

// Guards against a read of freed memory: the node was freed in the pass that took it off the list, before the
// join that waited for a connection to it was withdrawn.
TEST_CASE(
    "A join that waits for a connection survives the removal of its node, and its request is answered") {
  TestHarness harness(1, 1024, useLongConnectTimeout);
  TestConnection viewer = verifiedViewer(harness);
  BacklogFullNode node(harness.nodes[0]);
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call, "paid", 15'000));
  awaitProcessed(viewer);
  harness.nameServer->set(2, {});                        // takes effect after half of the grace
  CHECK(viewer.expect(Op::end, call).reasonCode == 34);  // the join was not written
  awaitProcessed(viewer);
  CHECK(!harness.exitCodeWithin(100));
}

// Guards against subscriptions that play on for nobody while their seats are given out again: a node was
// given up 4 s into a cut of up to 6 s, and nothing was released there when it was heard again.
TEST_CASE(
    "A subscription at a node that is cut off keeps its seat for 6 s, and is released if it is given up") {
  enum { withinLimit, beyondLimit, beyondLimitAndReset };
  const int cut = GENERATE(+withinLimit, +beyondLimit, +beyondLimitAndReset);
  CAPTURE(cut);
  TestHarness harness(1, 1024, [](Json& configuration) {
    configuration["settings"]["domain"]["seats"] = {0, 1};
  });
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call, "paid", 900));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
  TestConnection probe = harness.nodes[0].accept();  // it comes up just before the cut begins
  const auto cutAt = Clock::now();
  BacklogFullNode node(harness.nodes[0]);
  if (cut == withinLimit) {
    CHECK(!viewer.receive(6'000));
    node.open();
    CHECK(!viewer.receive(3'000));
    const std::string other = harness.newCallId();
    viewer.send(makeOffer(other, "paid", 900));
    CHECK(viewer.expect(Op::end, other).reasonCode == 34);  // the only seat is taken
    received.connection.send(makeMessage(Op::end, call, 16));
    CHECK(viewer.expect(Op::end, call).reasonCode == 16);
    return;
  }
  // Without a connection that is up, the release can only wait for the next one.
  if (cut == beyondLimitAndReset) probe.reset(), received.connection.reset();
  const auto over = viewer.receive(8'000);
  CHECK(Clock::now() - cutAt < std::chrono::milliseconds(8'000));
  REQUIRE(over);
  CHECK(over->op == Op::end);
  CHECK(over->reasonCode == 41);
  if (cut == beyondLimit) {
    const auto release = received.connection.receive(100);
    const auto later = release ? release : probe.receive(100);
    REQUIRE(later);
    CHECK(later->op == Op::end);
    CHECK(later->call == call);
    probe.reset();
    received.connection.reset();
  }
  node.open();
  const auto endsCall = [&](const Message& message) { return message.op == Op::end && message.call == call; };
  CHECK(receives(harness.nodes[0], std::move(node.fillers), endsCall, 5'000));
}

// Guards against descriptors that add up: each probe of a quiet node left its connection open.
TEST_CASE("The probes of a quiet node with a subscription do not add up") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  TestConnection carrier = establishSubscription(harness, viewer, harness.newCallId());
  std::vector<TestConnection> probes;
  const auto until = Clock::now() + std::chrono::seconds(7);
  while (Clock::now() < until)
    if (auto probe = harness.nodes[0].tryAccept(100)) probes.push_back(std::move(*probe));
  REQUIRE(probes.size() >= 3);
  const auto open = std::count_if(probes.begin(), probes.end(),
                                  [](TestConnection& probe) { return !probe.isClosedWithin(60); });
  CHECK(open == 1);
  CHECK(!carrier.isClosedWithin(60));
}

TEST_CASE("A release that crosses its viewer's close is retransmitted on another connection") {
  TestHarness harness(1);
  TestConnection other = verifiedViewer(harness);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  TestConnection node = establishSubscription(harness, viewer, call);
  TestConnection latest = verifiedViewer(harness);
  SECTION("both found in one pass, the end first") {
    const PausedProcess paused(harness);
    node.send(makeMessage(Op::end, call, 16));
    viewer.close();
  }
  SECTION("sent, but the connection broke before it was received") {
    node.send(makeMessage(Op::end, call, 16));
    pollfd p{viewer.fd, POLLIN, 0};
    REQUIRE(poll(&p, 1, 5'000) == 1);
    viewer.reset();
  }
  CHECK(latest.expect(Op::end, call).reasonCode == 16);
  latest.send(makeMessage(Op::ended, call));
  latest.close();
  CHECK(!other.receive(300));  // the release was acknowledged, so it is not retransmitted
}

// Guards against releases that reach no viewer: one without its connection went to the newest client, also to
// one that serves nobody.
TEST_CASE(
    "A release without its connection goes to a client that holds subscriptions or acknowledges releases") {
  TestHarness harness(1);
  const bool holdsSubscription = GENERATE(true, false);
  CAPTURE(holdsSubscription);
  TestConnection usual = verifiedViewer(harness), leaving = verifiedViewer(harness);
  const std::string ofUsual = harness.newCallId(), call = harness.newCallId();
  usual.send(makeAdoption(ofUsual, 0));
  leaving.send(makeAdoption(call, 0));
  TestConnection node = harness.nodes[0].accept();
  if (!holdsSubscription) {
    node.send(makeMessage(Op::end, ofUsual, 16));
    usual.expect(Op::end, ofUsual);
    usual.send(makeMessage(Op::ended, ofUsual));
  }
  awaitProcessed(usual);
  awaitProcessed(leaving);
  leaving.close();
  TestConnection bad = verifiedViewer(harness);
  bad.send(makeMessage(Op::ended, call));  // acknowledges what was not sent to it
  awaitProcessed(bad);
  node.send(makeMessage(Op::end, call, 16));
  CHECK(usual.expect(Op::end, call).reasonCode == 16);
  CHECK(!bad.receive(100));
}

TEST_CASE("A release without a connection waits for a verified one and is sent once") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  TestConnection node = establishSubscription(harness, viewer, call);
  viewer.close();
  node.send(makeMessage(Op::end, call, 16));
  node.expect(Op::ended, call);
  TestConnection silent = harness.viewer();
  TestConnection returning = harness.viewer();
  returning.send(makeMessage(Op::test, "0000000000000001"));
  bool released = false, passed = false;
  for (int i = 0; i < 2; ++i) {
    const auto message = returning.receive();
    REQUIRE(message);
    released = released || (message->op == Op::end && message->call == call);
    passed = passed || message->op == Op::tested;
  }
  CHECK(released);
  CHECK(passed);
  CHECK(!silent.receive(200));
}

TEST_CASE("A forged adoption is rejected, and the real subscription goes on") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  Message adoption = makeOffer(call);
  adoption.fields["extras"] += ";at:s-0";
  viewer.send(adoption);
  TestConnection node = harness.nodes[0].accept();  // one connection is kept for its release
  TestConnection other = harness.viewer();
  Message forged = adoption;
  forged.description = "another";
  other.send(forged);
  CHECK(other.isClosedWithin(1'000));
  std::this_thread::sleep_for(std::chrono::milliseconds(2'200));  // longer than the adoption window
  TestConnection late = harness.viewer();
  Message fresh = adoption;
  fresh.call = harness.newCallId();
  late.send(fresh);
  const auto end = late.receive(1'000);
  REQUIRE(end);
  CHECK(end->op == Op::end);
  CHECK(end->call == fresh.call);
  viewer.send(adoption);  // reported again by its own viewer: no effect
  node.send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
}

// Guards against an accept with an empty description: the description was dropped as soon as the join ended.
TEST_CASE("A join that ends in the pass that reads its answer is answered with the node's description") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  const int reasonCode = GENERATE(16, 41);
  CAPTURE(reasonCode);
  {
    const PausedProcess paused(harness);
    received.connection.send(makeAccept(call));
    received.connection.send(makeMessage(Op::end, call, reasonCode));
  }
  const Message accept = viewer.expect(Op::accept, call);
  REQUIRE(accept.description);
  CHECK(*accept.description == *makeAccept(call).description);
  CHECK(viewer.expect(Op::end, call).reasonCode == reasonCode);
}

TEST_CASE("A running subscription is adopted although the process stalled when it was reported") {
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  {
    const PausedProcess paused(harness);
    Message adoption = makeOffer(call);
    adoption.fields["extras"] += ";at:s-0";
    viewer.send(adoption);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
  }
  TestConnection node = harness.nodes[0].accept();
  node.send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
}

TEST_CASE("After SIGTERM a request in any state is answered, and no answer or release is lost") {
  TestHarness harness(2, 1024, useLongConnectTimeout);
  TestConnection viewer = verifiedViewer(harness);
  const std::string call = harness.newCallId();
  const auto sleepMs = [](int milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
  };
  SECTION("partially received; the rest arrives after all other work is done") {
    const std::string bytes = jsonl::serialize(makeOffer(call));
    viewer.sendBytes(bytes.substr(0, 40));
    TestConnection other = verifiedViewer(harness);
    kill(harness.process, SIGTERM);
    sleepMs(1'500);
    viewer.sendBytes(bytes.substr(40));
    awaitOffer(harness, call).connection.send(makeAccept(call));
    viewer.expect(Op::accept, call);
  }
  SECTION("read in the same pass as the signal, on a new connection") {
    TestConnection fresh(-1);
    {
      const PausedProcess paused(harness);
      kill(harness.process, SIGTERM);
      fresh = harness.viewer();
      fresh.send(makeOffer(call));
      sleepMs(1'500);
    }
    awaitOffer(harness, call).connection.send(makeAccept(call));
    fresh.expect(Op::accept, call);
  }
  SECTION("its join waits for a connection") {
    BacklogFullNode first(harness.nodes[0]), second(harness.nodes[1]);
    viewer.send(makeOffer(call));
    TestConnection other = verifiedViewer(harness);
    kill(harness.process, SIGTERM);
    const auto end = viewer.receive(3'000);
    REQUIRE(end);
    CHECK(end->op == Op::end);
    CHECK(end->reasonCode == 34);  // none of its joins was written
    CHECK(end->find("wait") != nullptr);
  }
  SECTION("its join is in flight, and the node does not answer") {
    const std::string room = GENERATE("clip", "paid");
    viewer.send(makeOffer(call, room, room == "paid" ? 900 : 1'900));
    ReceivedOffer received = awaitOffer(harness, call);
    kill(harness.process, SIGTERM);
    const auto end = viewer.receive(2'200);
    REQUIRE(end);
    CHECK(end->op == Op::end);
    CHECK((end->reasonCode == 34) == (room == "clip"));
  }
  SECTION("established, and ends when no connection of its viewer is left") {
    TestConnection node = establishSubscription(harness, viewer, call);
    viewer.close();
    viewer = verifiedViewer(harness);
    viewer.close();
    kill(harness.process, SIGTERM);
    node.send(makeMessage(Op::end, call, 16));
    node.expect(Op::ended, call);
    sleepMs(1'500);
    TestConnection returning = harness.viewer();
    returning.send(makeMessage(Op::test, "0000000000000001"));
    bool released = false;
    for (int i = 0; i < 2; ++i)
      if (const auto message = returning.receive()) released = released || message->op == Op::end;
    CHECK(released);
  }
  CHECK(harness.exitCodeWithin(4'000) == 0);
}

TEST_CASE("A client timeout beyond the time of SIGKILL does not delay an answer past it") {
  TestHarness harness(
      1, 1024, [](Json& configuration) { configuration["settings"]["classes"][1]["deadlineNs"] = 20e9; });
  TestConnection viewer = verifiedViewer(harness);
  const std::string before = harness.newCallId(), after = harness.newCallId();
  viewer.send(makeOffer(before, "paid", 19'000));
  ReceivedOffer received = awaitOffer(harness, before);
  kill(harness.process, SIGTERM);
  TestConnection fresh = harness.viewer();
  fresh.send(makeOffer(after, "paid", 19'000));
  CHECK(viewer.receive(3'700));
  CHECK(fresh.receive(500));
  CHECK(harness.exitCodeWithin(1'000) == 0);
}

// Guards against answers that come late or never while clients send at full speed: after a stall, or with
// many such clients, the director read on for as long as anything was there to be read.
TEST_CASE("After a stall a viewer is answered although other clients send without pause") {
  const int clients = GENERATE(1, 10);
  CAPTURE(clients);
  TestHarness harness(1);
  TestConnection viewer = verifiedViewer(harness);
  std::vector<TestConnection> flood;
  for (int i = 0; i < clients; ++i) flood.push_back(harness.viewer());
  std::atomic<bool> stop{false};
  std::thread sender([&] {
    std::string block;
    for (int i = 0; i < 200; ++i) block += jsonl::serialize(makeMessage(Op::test, "00000000000000ee"));
    std::vector<std::size_t> sent(flood.size(), 0);
    char answers[65536];
    const auto until = Clock::now() + std::chrono::seconds(6);
    while (!stop && Clock::now() < until)
      for (std::size_t i = 0; i < flood.size(); ++i) {
        const ssize_t n =
            ::send(flood[i].fd, block.data() + sent[i], block.size() - sent[i], MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) sent[i] = (sent[i] + static_cast<std::size_t>(n)) % block.size();
        while (recv(flood[i].fd, answers, sizeof answers, MSG_DONTWAIT) > 0) continue;
      }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  {
    PausedProcess paused(harness);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call, "clip", 1'500));
  std::optional<TestConnection> node = harness.nodes[0].tryAccept(1'500);
  stop = true;
  sender.join();
  REQUIRE(node);
  node->expect(Op::offer, call);
  node->send(makeAccept(call));
  viewer.expect(Op::accept, call);
}

TEST_CASE("A silent name server does not stop service, and its next answer is used") {
  TestHarness harness(2);
  harness.nameServer->silent = true;
  TestConnection viewer = verifiedViewer(harness);
  const std::string first = harness.newCallId();
  viewer.send(makeOffer(first));
  ReceivedOffer received = awaitOffer(harness, first);
  received.connection.send(makeAccept(first));
  viewer.expect(Op::accept, first);
  // The node process dies, the list never says so, and no other node replaces it.
  received.connection.reset();
  harness.nodes[received.node].stopListening();
  CHECK(viewer.expect(Op::end, first).reasonCode == 41);
  std::optional<Message> answer;
  for (int i = 0; i < 5 && !answer; ++i) {
    const std::string call = harness.newCallId();
    viewer.send(makeOffer(call));
    if (auto connection = harness.nodes[1 - received.node].tryAccept(500))
      if (const auto message = connection->receive(1'000); message && message->op == Op::offer)
        connection->send(makeAccept(message->call)), answer = viewer.receive();
    if (!answer) viewer.receive(2'500);
  }
  REQUIRE(answer);
  CHECK(answer->op == Op::accept);
  awaitQueries(*harness.nameServer, 2);  // the polling goes on
  auto rows = harness.nodeRows();
  rows[1 - received.node].draining = true;
  harness.nameServer->set(9, rows);
  harness.nameServer->silent = false;
  awaitQueries(*harness.nameServer, 3);
  const std::string last = harness.newCallId();
  viewer.send(makeOffer(last));
  CHECK(viewer.expect(Op::end, last).reasonCode == 34);
}

// Guards against set-ups to a draining node: no list was heard from a server that took over 0.96 s to answer.
TEST_CASE("A draining node gets no set-ups while the name server is slow to answer") {
  const int delayMilliseconds = GENERATE(1'200, 2'000);
  CAPTURE(delayMilliseconds);
  TestHarness harness(
      2, 1024, [](Json& configuration) { configuration["settings"]["rules"]["stopSendingWithinNs"] = 5e8; });
  harness.nameServer->delayMilliseconds = delayMilliseconds;
  TestConnection viewer = verifiedViewer(harness);
  std::this_thread::sleep_for(std::chrono::milliseconds(delayMilliseconds));
  auto rows = harness.nodeRows();
  for (NodeRow& row : rows) row.draining = true;
  harness.nameServer->set(2, rows);
  // The event counts as told after 1.5 s at the latest; the grace is 0.5 s and the slack of the protocol 0.05
  // s.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500 + 500 + 50));
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  CHECK(viewer.expect(Op::end, call).reasonCode == 34);
  for (StubNode& node : harness.nodes) CHECK(!receivesOffer(node, 100));
}

TEST_CASE(
    "SIGHUP works with idle clients on every descriptor and a silent name server: the new file's list and "
    "resolver take effect") {
  TestHarness harness(2, 256);
  TestConnection viewer = verifiedViewer(harness);
  harness.nameServer->silent = true;
  std::vector<TestConnection> idleClients;
  for (int i = 0; i < 400; ++i) idleClients.push_back(harness.viewer());
  SECTION("the list in the file is newer than the known one") {
    harness.editConfiguration = [](Json& configuration) {
      configuration["known"]["n"] = 7;
      for (Json& entry : configuration["known"]["events"][0]["members"]["endpoints"])
        entry["status"] = "draining";
    };
    harness.writeConfiguration();
    kill(harness.process, SIGHUP);
    awaitProcessed(viewer);
    const std::string call = harness.newCallId();
    viewer.send(makeOffer(call));
    CHECK(viewer.expect(Op::end, call).reasonCode == 34);
    for (StubNode& node : harness.nodes) CHECK(!receivesOffer(node, 100));
  }
  SECTION("an invalid resolver address: the previous one is still queried") {
    harness.editConfiguration = [](Json& configuration) { configuration["resolver"] = "nowhere:53"; };
    harness.writeConfiguration();
    kill(harness.process, SIGHUP);
    awaitQueries(*harness.nameServer, 3);
  }
  SECTION("another name server whose serial has started over: service goes on") {
    StubNameServer second(harness.nodeRows());
    second.set(1, harness.nodeRows());
    harness.editConfiguration = [&](Json& configuration) {
      configuration["resolver"] = "127.0.0.1:" + std::to_string(portOf(second.fd));
    };
    harness.writeConfiguration();
    kill(harness.process, SIGHUP);
    awaitQueries(second, 3);
    const std::string call = harness.newCallId();
    viewer.send(makeOffer(call));
    awaitOffer(harness, call).connection.send(makeAccept(call));
    viewer.expect(Op::accept, call);
  }
}

TEST_CASE("Without a node list, requests are throttled at once with a retry time until a list arrives") {
  TestHarness harness(1, 1024, [](Json& configuration) {
    configuration["known"] = {{"n", 0}, {"events", Json::array()}};
  });
  // The first list may have arrived already. In both cases each request must be answered.
  harness.nameServer->silent = true;
  harness.nameServer->set(3, {});
  TestConnection viewer = harness.viewer();
  for (int i = 0; i < 3; ++i) {
    const std::string call = harness.newCallId();
    viewer.send(makeOffer(call));
    const auto end = viewer.receive(1'000);
    if (!end) continue;
    CHECK(end->op == Op::end);
    CHECK(end->reasonCode == 34);
    CHECK(end->find("wait") != nullptr);
  }
  harness.nameServer->set(4, harness.nodeRows());
  harness.nameServer->silent = false;
  std::optional<Message> passed;
  for (int i = 0; i < 100 && !(passed && passed->reasonCode == 1); ++i) {
    viewer.send(makeMessage(Op::test, "0000000000000001"));
    passed = viewer.receive();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(passed);
  CHECK(passed->reasonCode == 1);
}

// Run with two configurations that differ in room types, effects, tenants and cancelling.
TEST_CASE(
    "A request split at any byte keeps its own class, tenant, timeout and title, unmixed with other "
    "messages") {
  const bool second = GENERATE(false, true);
  TestHarness harness(1, 1024, [&](Json& configuration) {
    if (!second) return;
    Json& settings = configuration["settings"];
    settings["classes"][0]["name"] = "lesson";
    settings["classes"][0]["effect"] = "once";
    settings["classes"][1]["name"] = "exam";
    settings["classes"][1]["effect"] = "by_key";
    settings["limits"]["cancelling"] = false;
    settings["parties"] = {{{"name", "north"}, {"quotaPerS", 500.0}},
                           {{"name", "south"}, {"quotaPerS", 500.0}}};
  });
  const std::string rooms[] = {second ? "lesson" : "clip", second ? "exam" : "paid"};
  TestConnection viewer = verifiedViewer(harness), neighbour = verifiedViewer(harness);
  std::optional<TestConnection> node;
  const std::size_t size = jsonl::serialize(makeOffer(harness.newCallId(), rooms[0])).size();
  for (std::size_t cut = 1; cut < size; cut += 3) {
    const std::string call = harness.newCallId();
    Message mine = makeOffer(call, rooms[cut % 2], 800 + static_cast<int>(cut));
    mine.fields["key"] = "title-" + std::to_string(cut);
    if (second) mine.fields["tenant"] = cut % 3 == 0 ? "north" : "south";
    const std::string bytes = jsonl::serialize(mine);
    viewer.sendBytes(bytes.substr(0, cut));
    awaitProcessed(
        neighbour);  // the first part has been read alone, followed by a message of another connection
    viewer.sendBytes(bytes.substr(cut));
    std::optional<Message> got;
    if (!node) {
      ReceivedOffer received = awaitOffer(harness, call);
      node.emplace(std::move(received.connection));
      got = received.offer;
    } else {
      got = node->receive();
    }
    REQUIRE(got);
    REQUIRE(got->call == call);
    CHECK(*got->find("class") == rooms[cut % 2]);
    CHECK(*got->find("key") == *mine.find("key"));
    CHECK(*got->description == *mine.description);
    CHECK(std::stoi(*got->find("left")) <= std::stoi(*mine.find("left")));
    node->send(makeAccept(call));
    viewer.expect(Op::accept, call);
    viewer.send(makeMessage(Op::end, call, 16));
    viewer.expect(Op::ended, call);
    node->expect(Op::end, call);
  }
}
