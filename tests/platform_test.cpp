// `lupinsill run` as a process on loopback: what it owes viewers, media nodes and its name server.
#include "platform_rig.h"

using namespace lupinsill;
using namespace lupinsill::tests;

TEST_CASE("A set-up reaches a node unchanged, its answer the viewer, and its release too") {
  Rig rig;
  Talk viewer = rig.viewer();
  viewer.say(word(Op::test, "0000000000000001"));
  CHECK(viewer.need(Op::tested, "0000000000000001").why == 1);
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  CHECK(*at.offer.desc == *offer(call).desc);
  CHECK(*at.offer.find("class") == "clip");
  CHECK(*at.offer.find("key") == "title-1");
  CHECK(std::stoi(*at.offer.find("left")) <= 1900);
  at.talk.say(word(Op::ringing, call));
  at.talk.say(accepted(call));
  at.talk.say(accepted(call));  // a second copy is passed over
  CHECK(*viewer.need(Op::accept, call).desc == "answer of a node\r\n");
  at.talk.say(word(Op::end, call, 16));
  CHECK(viewer.need(Op::end, call).why == 16);
}

TEST_CASE("Full everywhere is a refusal with a time to come back, at once") {
  Rig rig;
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call, "paid"));
  Arrived first = arrive(rig, call);
  first.talk.say(word(Op::end, call, 34));
  Arrived second = arrive(rig, call);
  CHECK(second.node != first.node);
  second.talk.say(word(Op::end, call, 34));
  const Message end = viewer.need(Op::end, call);
  CHECK(end.why == 34);
  REQUIRE(end.find("wait") != nullptr);
  CHECK(std::stoi(*end.find("wait")) > 0);
}

TEST_CASE("An unsafe set-up that may have run is neither joined again nor refused") {
  Rig rig;
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call, "paid", 900));
  Arrived at = arrive(rig, call);
  SECTION("an error") { at.talk.say(word(Op::end, call, 47)); }
  SECTION("a reset") { at.talk.reset(); }
  SECTION("an answer that can't be read") { at.talk.bytes("{\"op\":\"acc\x01\n"); }
  SECTION("an answer without a description") { at.talk.say(word(Op::accept, call)); }
  SECTION("an answer that never ends") { at.talk.bytes(std::string(20'000, 'x')); }
  SECTION("no answer") {}
  const Message end = viewer.need(Op::end, call);
  CHECK(end.why != 34);
  CHECK(end.why != 42);
  CHECK(end.why != 102);
  for (const Listening& node : rig.nodes)
    if (auto again = node.tryAccept(300))
      while (const auto message = again->hear(200)) CHECK(message->op == Op::end);
}

TEST_CASE("A safe set-up goes on after a reset, and what may stand at the first node is released") {
  Rig rig;
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived first = arrive(rig, call);
  first.talk.reset();
  bool released = false, answered = false;
  const auto until = Clock::now() + std::chrono::seconds(3);
  std::vector<std::pair<std::size_t, Talk>> talks;
  while (Clock::now() < until && !(released && answered)) {
    for (std::size_t i = 0; i < rig.nodes.size(); ++i)
      if (auto talk = rig.nodes[i].tryAccept(10)) talks.emplace_back(i, std::move(*talk));
    for (auto& [node, talk] : talks)
      if (const auto message = talk.hear(10)) {
        if (message->op == Op::end && node == first.node) released = true;
        if (message->op == Op::offer) {
          CHECK(node != first.node);
          talk.say(accepted(call));
          answered = true;
        }
      }
  }
  CHECK(released);
  CHECK(answered);
  viewer.need(Op::accept, call);
}

TEST_CASE("A viewer that gives up takes its join back, and one that leaves ends what stands") {
  Rig rig;
  Talk viewer = rig.viewer();
  const std::string first = rig.freshCall();
  viewer.say(offer(first));
  Arrived at = arrive(rig, first);
  viewer.say(word(Op::end, first, 16));
  CHECK(at.talk.need(Op::end, first).why == 16);

  const std::string second = rig.freshCall();
  viewer.say(offer(second));
  Arrived next = arrive(rig, second);
  next.talk.say(accepted(second));
  viewer.need(Op::accept, second);
  Talk other = rig.viewer();  // what stands belongs to no connection
  other.say(word(Op::end, second, 16));
  other.need(Op::ended, second);
  next.talk.need(Op::end, second);
}

TEST_CASE(
    "Nothing plays for a viewer whose connection broke before the answer; floods are told when to return") {
  Rig rig(1);
  std::optional<Talk> viewer(rig.viewer());
  const std::string call = rig.freshCall();
  viewer->say(offer(call));
  Arrived at = arrive(rig, call);
  viewer->reset();
  at.talk.say(accepted(call));
  at.talk.need(Op::end, call);

  Talk flood = rig.viewer();
  for (int i = 0; i < 60; ++i) flood.say(offer(rig.freshCall()));
  std::set<std::string> waits;
  for (int i = 0; i < 60 && waits.size() < 3; ++i)
    if (const auto end = flood.hear(2'000); end && end->op == Op::end && end->find("wait") != nullptr)
      waits.insert(*end->find("wait"));
  CHECK(waits.size() >= 3);  // not all at one time
}

TEST_CASE("The end of what stands finds the viewer though its connection has gone") {
  Rig rig;
  const std::string call = rig.freshCall();
  std::optional<Talk> viewer(rig.viewer());
  viewer->say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer->need(Op::accept, call);
  viewer.reset();
  Talk other = rig.viewer();
  other.say(word(Op::test, "0000000000000001"));
  other.need(Op::tested, "0000000000000001");
  at.talk.say(word(Op::end, call, 41));
  CHECK(other.need(Op::end, call).why == 41);
}

TEST_CASE("What stands at a process that died is told over to its viewer") {
  Rig rig(1);
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
  rig.nodes[0].shut();
  at.talk.reset();
  CHECK(viewer.need(Op::end, call).why == 41);
}

TEST_CASE("A node that lost a connection hears of a new one, and can tell on it what has ended") {
  Rig rig(1);
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
  at.talk.reset();
  Talk again = rig.nodes[0].take();
  again.say(word(Op::end, call, 16));
  CHECK(viewer.need(Op::end, call).why == 16);
}

TEST_CASE("What plays at a start is adopted without an answer, at any time left, and its end is told") {
  Rig rig(1);
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  Message m = offer(call);
  m.with["left"] = "4294967";
  m.with["extras"] += ";at:s-0";
  viewer.say(m);
  viewer.say(m);                    // named twice
  Talk node = rig.nodes[0].take();  // a connection is kept for its release
  node.say(word(Op::end, call, 16));
  CHECK(viewer.need(Op::end, call).why == 16);

  const std::string lost = rig.freshCall();
  m.call = lost;
  m.with["extras"] = "home:0;copies:1;top:2;at:s-99";
  viewer.say(m);  // at a node that nobody knows any more
  CHECK(viewer.need(Op::end, lost).why == 41);
}

TEST_CASE("A new node at an old address is another node: what stood there is over") {
  Rig rig(1);
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
  auto rows = rig.rows();
  rows[0].name = "s-new";
  rig.names->set(2, rows);
  CHECK(viewer.need(Op::end, call).why == 41);
  const std::string next = rig.freshCall();
  viewer.say(offer(next));
  arrive(rig, next).talk.say(accepted(next));
  viewer.need(Op::accept, next);
}

TEST_CASE("A list that lost all its entries changes nothing while the next one has them again") {
  Rig rig(1);
  Talk viewer = rig.viewer();
  viewer.say(word(Op::test, "0000000000000001"));
  viewer.need(Op::tested, "0000000000000001");
  rig.names->set(2, {});
  const int before = rig.names->asked;
  for (int i = 0; i < 250 && rig.names->asked < before + 2; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  rig.names->set(3, rig.rows());
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
}

TEST_CASE("What no node could use gets an answer or a close, and never a node") {
  Rig rig;
  const auto refused = [&](const std::string& line) {
    INFO(line.substr(0, 200));
    Talk bad = rig.viewer();
    bad.bytes(line + "\n");
    const auto message = bad.hear(3'000);
    if (message) CHECK(message->op == Op::end);
    if (!message) CHECK(bad.closes(100));
  };
  refused("nonsense");
  refused(std::string(17'000, 'x'));
  const auto changed = [&](const char* field, const char* value) {
    Message m = offer(rig.freshCall());
    if (value == nullptr)
      m.with.erase(field);
    else
      m.with[field] = value;
    std::string bytes = jsonl::bytesOf(m);
    bytes.pop_back();
    return bytes;
  };
  refused(changed("class", "no-such-class"));
  refused(changed("class", nullptr));
  refused(changed("key", nullptr));
  for (const char* left : {"-1", "x", "1e300", "nan", ""}) refused(changed("left", left));
  for (const char* hint : {"-1", "x", "1e300"}) refused(changed("hint", hint));
  for (const char* extras : {"home:-1;copies:2;top:2", "home:0;copies:0;top:2", "home:0;copies:99;top:2",
                             "home:x;copies:2;top:2", "home:0;copies:2", "home", ""})
    refused(changed("extras", extras));
  Message bare = offer(rig.freshCall());
  bare.desc.reset();
  std::string line = jsonl::bytesOf(bare);
  line.pop_back();
  refused(line);
  Talk silent = rig.viewer();
  CHECK(silent.closes(3'000));
  for (const Listening& node : rig.nodes) CHECK(!node.tryAccept(50));
}

TEST_CASE("The id of another's request can't touch it") {
  Rig rig;
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  Talk bad = rig.viewer();
  Message same = offer(call);
  same.desc = "another";
  bad.say(same);
  CHECK(bad.need(Op::end, call).why != 34);
  Talk worse = rig.viewer();
  worse.say(word(Op::end, call, 16));
  worse.need(Op::end, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
}

TEST_CASE("Usual viewers are served while hundreds of connections say nothing") {
  Rig rig(2, 256);
  Talk viewer = rig.viewer();
  viewer.say(word(Op::test, "0000000000000001"));
  viewer.need(Op::tested, "0000000000000001");
  std::vector<Talk> crowd;
  for (int i = 0; i < 400; ++i) crowd.push_back(rig.viewer());
  Talk late = rig.viewer();
  const std::string call = rig.freshCall();
  late.say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  late.need(Op::accept, call);
  viewer.say(word(Op::test, "0000000000000002"));
  viewer.need(Op::tested, "0000000000000002");
  CHECK(crowd.front().closes(3'000));
}

TEST_CASE("SIGHUP moves to another name server; a file that can't be read changes nothing") {
  Rig rig(1);
  std::ofstream(rig.file) << "{";
  kill(rig.process, SIGHUP);
  Talk viewer = rig.viewer();
  viewer.say(word(Op::test, "0000000000000001"));
  viewer.need(Op::tested, "0000000000000001");

  NameServer second({});
  auto rows = rig.rows();
  rows[0].draining = true;
  second.set(2, rows);
  std::unique_ptr<NameServer> first = std::move(rig.names);
  rig.names.reset(&second);
  rig.write();
  rig.names.release();
  rig.names = std::move(first);
  kill(rig.process, SIGHUP);
  for (int i = 0; i < 250 && second.asked < 2; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(second.asked >= 2);
  // The only node drains by the new list: nothing new goes there.
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  CHECK(viewer.need(Op::end, call).why == 34);
}

TEST_CASE("SIGTERM: what is open and what still comes is answered, then it ends with 0") {
  Rig rig;
  Talk viewer = rig.viewer();
  const std::string open = rig.freshCall();
  viewer.say(offer(open));
  Arrived at = arrive(rig, open);
  kill(rig.process, SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Talk fresh = rig.viewer();
  const std::string late = rig.freshCall();
  fresh.say(offer(late));
  Arrived next = arrive(rig, late);
  at.talk.say(accepted(open));
  next.talk.say(accepted(late));
  viewer.need(Op::accept, open);
  fresh.need(Op::accept, late);
  CHECK(rig.ends(6'000) == 0);
}

TEST_CASE("A start that can't be is one line that names the field, and another exit code than 0") {
  const auto complaint = [](const std::string& configuration) {
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
  CHECK(complaint("{").find("LB_CONFIG") != std::string::npos);
  CHECK(complaint("{}").find("name: missing") != std::string::npos);
  CHECK(complaint(R"({"name":"a","listen":"nowhere"})").find("listen: expected host:port") !=
        std::string::npos);
  CHECK(complaint(R"({"name":"a","listen":"127.0.0.1:0","resolver":"127.0.0.1:1","seed":"xyz"})")
            .find("seed") != std::string::npos);
}
