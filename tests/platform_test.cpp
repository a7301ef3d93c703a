// Tests `lupinsill run` as a process on loopback: its behaviour towards viewers, media nodes and the name
// server.
#include "platform_harness.h"

using namespace lupinsill;
using namespace lupinsill::tests;

TEST_CASE("An offer is relayed to a node unchanged, and its answer and release to the viewer") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  viewer.send(makeMessage(Op::test, "0000000000000001"));
  CHECK(viewer.expect(Op::tested, "0000000000000001").reasonCode == 1);
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  CHECK(*received.offer.description == *makeOffer(call).description);
  CHECK(*received.offer.find("class") == "clip");
  CHECK(*received.offer.find("key") == "title-1");
  CHECK(std::stoi(*received.offer.find("left")) <= 1900);
  received.connection.send(makeMessage(Op::ringing, call));
  received.connection.send(makeAccept(call));
  received.connection.send(makeAccept(call));  // a duplicate is ignored
  CHECK(*viewer.expect(Op::accept, call).description == "answer of a node\r\n");
  received.connection.send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
}

TEST_CASE("When every node is full, the viewer is throttled at once with a retry time") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call, "paid"));
  ReceivedOffer first = awaitOffer(harness, call);
  first.connection.send(makeMessage(Op::end, call, 34));
  ReceivedOffer second = awaitOffer(harness, call);
  CHECK(second.node != first.node);
  second.connection.send(makeMessage(Op::end, call, 34));
  const Message end = viewer.expect(Op::end, call);
  CHECK(end.reasonCode == 34);
  REQUIRE(end.find("wait") != nullptr);
  CHECK(std::stoi(*end.find("wait")) > 0);
}

TEST_CASE("An unsafe request that may have run is neither joined again nor throttled") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call, "paid", 900));
  ReceivedOffer received = awaitOffer(harness, call);
  SECTION("an error") { received.connection.send(makeMessage(Op::end, call, 47)); }
  SECTION("a reset") { received.connection.reset(); }
  SECTION("an answer that cannot be parsed") { received.connection.sendBytes("{\"op\":\"acc\x01\n"); }
  SECTION("an answer without a description") { received.connection.send(makeMessage(Op::accept, call)); }
  SECTION("an answer over the maximum length") { received.connection.sendBytes(std::string(20'000, 'x')); }
  SECTION("no answer") {}
  const Message end = viewer.expect(Op::end, call);
  CHECK(end.reasonCode != 34);
  CHECK(end.reasonCode != 42);
  CHECK(end.reasonCode != 102);
  for (const StubNode& node : harness.nodes)
    if (auto again = node.tryAccept(300))
      while (const auto message = again->receive(200)) CHECK(message->op == Op::end);
}

TEST_CASE("A safe request is joined elsewhere after a reset, and the first node is sent a release") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer first = awaitOffer(harness, call);
  first.connection.reset();
  bool released = false, answered = false;
  const auto until = Clock::now() + std::chrono::seconds(3);
  std::vector<std::pair<std::size_t, TestConnection>> connections;
  while (Clock::now() < until && !(released && answered)) {
    for (std::size_t i = 0; i < harness.nodes.size(); ++i)
      if (auto connection = harness.nodes[i].tryAccept(10))
        connections.emplace_back(i, std::move(*connection));
    for (auto& [node, connection] : connections)
      if (const auto message = connection.receive(10)) {
        if (message->op == Op::end && node == first.node) released = true;
        if (message->op == Op::offer) {
          CHECK(node != first.node);
          connection.send(makeAccept(call));
          answered = true;
        }
      }
  }
  CHECK(released);
  CHECK(answered);
  viewer.expect(Op::accept, call);
}

TEST_CASE("A viewer that gives up cancels its join, and one that leaves ends its subscription") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  const std::string first = harness.newCallId();
  viewer.send(makeOffer(first));
  ReceivedOffer received = awaitOffer(harness, first);
  viewer.send(makeMessage(Op::end, first, 16));
  CHECK(received.connection.expect(Op::end, first).reasonCode == 16);

  const std::string second = harness.newCallId();
  viewer.send(makeOffer(second));
  ReceivedOffer next = awaitOffer(harness, second);
  next.connection.send(makeAccept(second));
  viewer.expect(Op::accept, second);
  TestConnection other = harness.viewer();  // an established subscription belongs to no connection
  other.send(makeMessage(Op::end, second, 16));
  other.expect(Op::ended, second);
  next.connection.expect(Op::end, second);
}

TEST_CASE(
    "No subscription plays on after its viewer's connection broke before the answer, and requests over the "
    "flow "
    "limit get spread retry times") {
  TestHarness harness(1);
  std::optional<TestConnection> viewer(harness.viewer());
  const std::string call = harness.newCallId();
  viewer->send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  viewer->reset();
  received.connection.send(makeAccept(call));
  received.connection.expect(Op::end, call);

  TestConnection flood = harness.viewer();
  for (int i = 0; i < 60; ++i) flood.send(makeOffer(harness.newCallId()));
  std::set<std::string> waits;
  for (int i = 0; i < 60 && waits.size() < 3; ++i)
    if (const auto end = flood.receive(2'000); end && end->op == Op::end && end->find("wait") != nullptr)
      waits.insert(*end->find("wait"));
  CHECK(waits.size() >= 3);  // the retry times are spread
}

TEST_CASE("The end of a subscription reaches its viewer on another connection") {
  TestHarness harness;
  const std::string call = harness.newCallId();
  std::optional<TestConnection> viewer(harness.viewer());
  viewer->send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer->expect(Op::accept, call);
  viewer.reset();
  TestConnection other = harness.viewer();
  other.send(makeMessage(Op::test, "0000000000000001"));
  other.expect(Op::tested, "0000000000000001");
  received.connection.send(makeMessage(Op::end, call, 41));
  CHECK(other.expect(Op::end, call).reasonCode == 41);
}

TEST_CASE("When a node process dies, its viewers are told that their subscriptions ended") {
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
  harness.nodes[0].stopListening();
  received.connection.reset();
  CHECK(viewer.expect(Op::end, call).reasonCode == 41);
}

TEST_CASE("After a connection is lost, a new one is opened on which the node can report an end") {
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
  received.connection.reset();
  TestConnection again = harness.nodes[0].accept();
  again.send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);
}

// Guards against a release that is never heard: the node sent it on a connection whose answers no longer
// arrive, and while another connection to the node is up, no next one is opened on which it is repeated.
TEST_CASE(
    "After a connection is lost beside others, a new one is opened on which the node repeats releases") {
  enum { answerNeverArrives, unreadableAnswer, reset };
  const int fault = GENERATE(+answerNeverArrives, +unreadableAnswer, +reset);
  CAPTURE(fault);
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  // The first connection is busy with a join, so the second join gets a connection of its own.
  const std::string onLost = harness.newCallId(), onOther = harness.newCallId();
  viewer.send(makeOffer(onLost));
  ReceivedOffer lost = awaitOffer(harness, onLost);
  viewer.send(makeOffer(onOther));
  ReceivedOffer other = awaitOffer(harness, onOther);
  other.connection.send(makeAccept(onOther));
  viewer.expect(Op::accept, onOther);
  lost.connection.send(makeAccept(onLost));
  viewer.expect(Op::accept, onLost);
  // The next join goes to the connection that was used last.
  const std::string unanswered = harness.newCallId();
  viewer.send(makeOffer(unanswered, "paid", 900));
  const auto offer = lost.connection.receive();
  REQUIRE(offer);
  REQUIRE(offer->call == unanswered);
  if (fault == unreadableAnswer) lost.connection.sendBytes("no message\n");
  if (fault == reset) lost.connection.reset();
  // Meanwhile the node is heard on the other connection.
  Message info = makeMessage(Op::info, onOther);
  info.fields = {{"note", "fill"}, {"value", "0.97"}};
  std::optional<TestConnection> next;
  for (int i = 0; i < 40 && !next; ++i) {
    other.connection.send(info);
    next = harness.nodes[0].tryAccept(100);
  }
  REQUIRE(next);
  next->send(makeMessage(Op::end, onLost, 16));
  std::optional<Message> release = viewer.receive();
  if (release && release->call == unanswered) release = viewer.receive();
  REQUIRE(release);
  CHECK(release->call == onLost);
  CHECK(release->op == Op::end);
}

TEST_CASE(
    "A running subscription is adopted at start without an answer, whatever its time left, and its end is "
    "reported") {
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  Message m = makeOffer(call);
  m.fields["left"] = "4294967";
  m.fields["extras"] += ";at:s-0";
  viewer.send(m);
  viewer.send(m);                                   // reported twice
  TestConnection node = harness.nodes[0].accept();  // one connection is kept for its release
  node.send(makeMessage(Op::end, call, 16));
  CHECK(viewer.expect(Op::end, call).reasonCode == 16);

  const std::string callAtLostNode = harness.newCallId();
  m.call = callAtLostNode;
  m.fields["extras"] = "home:0;copies:1;top:2;at:s-99";
  viewer.send(m);  // at a node that is not listed any more
  CHECK(viewer.expect(Op::end, callAtLostNode).reasonCode == 41);
}

TEST_CASE("A new node at a known address does not inherit the subscriptions of the old one") {
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
  auto rows = harness.nodeRows();
  rows[0].name = "s-new";
  harness.nameServer->set(2, rows);
  CHECK(viewer.expect(Op::end, call).reasonCode == 41);
  const std::string next = harness.newCallId();
  viewer.send(makeOffer(next));
  awaitOffer(harness, next).connection.send(makeAccept(next));
  viewer.expect(Op::accept, next);
}

TEST_CASE("A single empty list does not remove the nodes") {
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  viewer.send(makeMessage(Op::test, "0000000000000001"));
  viewer.expect(Op::tested, "0000000000000001");
  harness.nameServer->set(2, {});
  const int before = harness.nameServer->queryCount;
  for (int i = 0; i < 250 && harness.nameServer->queryCount < before + 2; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  harness.nameServer->set(3, harness.nodeRows());
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
}

TEST_CASE("An invalid request is rejected or its connection closed, and no node sees it") {
  TestHarness harness;
  const auto expectRejected = [&](const std::string& line) {
    INFO(line.substr(0, 200));
    TestConnection invalidClient = harness.viewer();
    invalidClient.sendBytes(line + "\n");
    const auto message = invalidClient.receive(3'000);
    if (message) CHECK(message->op == Op::end);
    if (!message) CHECK(invalidClient.isClosedWithin(100));
  };
  expectRejected("nonsense");
  expectRejected(std::string(17'000, 'x'));
  const auto offerWith = [&](const char* field, const char* value) {
    Message m = makeOffer(harness.newCallId());
    if (value == nullptr)
      m.fields.erase(field);
    else
      m.fields[field] = value;
    std::string bytes = jsonl::serialize(m);
    bytes.pop_back();
    return bytes;
  };
  expectRejected(offerWith("class", "no-such-class"));
  expectRejected(offerWith("class", nullptr));
  expectRejected(offerWith("key", nullptr));
  for (const char* left : {"-1", "x", "1e300", "nan", ""}) expectRejected(offerWith("left", left));
  for (const char* hint : {"-1", "x", "1e300"}) expectRejected(offerWith("hint", hint));
  for (const char* extras : {"home:-1;copies:2;top:2", "home:0;copies:0;top:2", "home:0;copies:99;top:2",
                             "home:x;copies:2;top:2", "home:0;copies:2", "home", ""})
    expectRejected(offerWith("extras", extras));
  Message withoutDescription = makeOffer(harness.newCallId());
  withoutDescription.description.reset();
  std::string line = jsonl::serialize(withoutDescription);
  line.pop_back();
  expectRejected(line);
  TestConnection silent = harness.viewer();
  CHECK(silent.isClosedWithin(3'000));
  for (const StubNode& node : harness.nodes) CHECK(!node.tryAccept(50));
}

TEST_CASE("A call ID in use by another viewer does not affect that viewer's request") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  TestConnection impostor = harness.viewer();
  Message forged = makeOffer(call);
  forged.description = "another";
  impostor.send(forged);
  CHECK(impostor.expect(Op::end, call).reasonCode != 34);
  TestConnection canceller = harness.viewer();
  canceller.send(makeMessage(Op::end, call, 16));
  canceller.expect(Op::end, call);
  received.connection.send(makeAccept(call));
  viewer.expect(Op::accept, call);
}

// Guards against a request that runs twice because its ID comes again after its viewer has left.
TEST_CASE("A call ID that comes again after its viewer has left is rejected and no node sees it again") {
  enum { closedBeforeAnswer, endedBeforeAnswer, endedAfterAnswer, releasedByNode };
  const int leaving = GENERATE(+closedBeforeAnswer, +endedBeforeAnswer, +endedAfterAnswer, +releasedByNode);
  CAPTURE(leaving);
  TestHarness harness(1);
  TestConnection viewer = harness.viewer();
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call, "paid", 900));
  ReceivedOffer received = awaitOffer(harness, call);
  if (leaving == endedAfterAnswer || leaving == releasedByNode) {
    received.connection.send(makeAccept(call));
    viewer.expect(Op::accept, call);
  }
  if (leaving == releasedByNode) {
    received.connection.send(makeMessage(Op::end, call, 16));
    received.connection.expect(Op::ended, call);
    viewer.expect(Op::end, call);
  } else {
    if (leaving == closedBeforeAnswer) viewer.close();
    if (leaving != closedBeforeAnswer) viewer.send(makeMessage(Op::end, call, 16));
    received.connection.expect(Op::end, call);
  }
  TestConnection next = harness.viewer();
  next.send(makeOffer(call, "paid", 900));
  CHECK(next.expect(Op::end, call).reasonCode == 100);
  CHECK(!harness.nodes[0].tryAccept(300));
  const auto message = received.connection.receive(300);
  CHECK((!message || message->op != Op::offer));
}

TEST_CASE("Viewers are served while hundreds of connections stay silent") {
  TestHarness harness(2, 256);
  TestConnection viewer = harness.viewer();
  viewer.send(makeMessage(Op::test, "0000000000000001"));
  viewer.expect(Op::tested, "0000000000000001");
  std::vector<TestConnection> idleClients;
  for (int i = 0; i < 400; ++i) idleClients.push_back(harness.viewer());
  TestConnection late = harness.viewer();
  const std::string call = harness.newCallId();
  late.send(makeOffer(call));
  ReceivedOffer received = awaitOffer(harness, call);
  received.connection.send(makeAccept(call));
  late.expect(Op::accept, call);
  viewer.send(makeMessage(Op::test, "0000000000000002"));
  viewer.expect(Op::tested, "0000000000000002");
  CHECK(idleClients.front().isClosedWithin(3'000));
}

TEST_CASE("SIGHUP switches to another name server, and an invalid file changes nothing") {
  TestHarness harness(1);
  std::ofstream(harness.file) << "{";
  kill(harness.process, SIGHUP);
  TestConnection viewer = harness.viewer();
  viewer.send(makeMessage(Op::test, "0000000000000001"));
  viewer.expect(Op::tested, "0000000000000001");

  StubNameServer second({});
  auto rows = harness.nodeRows();
  rows[0].draining = true;
  second.set(2, rows);
  std::unique_ptr<StubNameServer> first = std::move(harness.nameServer);
  harness.nameServer.reset(&second);
  harness.writeConfiguration();
  harness.nameServer.release();
  harness.nameServer = std::move(first);
  kill(harness.process, SIGHUP);
  for (int i = 0; i < 250 && second.queryCount < 2; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(second.queryCount >= 2);
  // The new list marks the only node as draining, so it gets no new offers.
  const std::string call = harness.newCallId();
  viewer.send(makeOffer(call));
  CHECK(viewer.expect(Op::end, call).reasonCode == 34);
}

TEST_CASE("After SIGTERM, pending and new requests are answered before the process exits with 0") {
  TestHarness harness;
  TestConnection viewer = harness.viewer();
  const std::string open = harness.newCallId();
  viewer.send(makeOffer(open));
  ReceivedOffer received = awaitOffer(harness, open);
  kill(harness.process, SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  TestConnection fresh = harness.viewer();
  const std::string late = harness.newCallId();
  fresh.send(makeOffer(late));
  ReceivedOffer next = awaitOffer(harness, late);
  received.connection.send(makeAccept(open));
  next.connection.send(makeAccept(late));
  viewer.expect(Op::accept, open);
  fresh.expect(Op::accept, late);
  CHECK(harness.exitCodeWithin(6'000) == 0);
}

TEST_CASE("An invalid configuration fails the start with one line that names the field") {
  const auto startError = [](const std::string& configuration) {
    const std::string file =
        std::filesystem::temp_directory_path() / ("lupinsill-bad-" + std::to_string(getpid()) + ".json");
    std::ofstream(file) << configuration;
    FILE* out = popen((std::string(PROGRAM) + " run --config " + file + " 2>&1").c_str(), "r");
    char buffer[1024];
    std::string text;
    while (const std::size_t n = fread(buffer, 1, sizeof buffer, out)) text.append(buffer, n);
    CHECK(pclose(out) != 0);
    std::filesystem::remove(file);
    return text;
  };
  CHECK(startError("{").find("LB_CONFIG") != std::string::npos);
  CHECK(startError("{}").find("name: missing") != std::string::npos);
  CHECK(startError(R"({"name":"a","listen":"nowhere"})").find("listen: expected host:port") !=
        std::string::npos);
  CHECK(startError(R"({"name":"a","listen":"127.0.0.1:0","resolver":"127.0.0.1:1","seed":"xyz"})")
            .find("seed") != std::string::npos);
}
