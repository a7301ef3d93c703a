// What `lupinsill run` owes at the instant at which something ends, each in the bad order, forced: the
// process is stopped while both things happen, or the other side holds back. docs/design/endings.md has the
// walk.
#include "platform_rig.h"

using namespace lupinsill;
using namespace lupinsill::tests;
using Json = nlohmann::json;

namespace {

void settle(Talk& talk) {  // all that was written before this has been read by the director
  talk.say(word(Op::test, "00000000000000ff"));
  talk.need(Op::tested, "00000000000000ff");
}
// The name server is asked so many times more.
void asks(const NameServer& names, int times) {
  const int until = names.asked + times;
  for (int i = 0; i < 1'000 && names.asked < until; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  REQUIRE(names.asked >= until);
}
Talk proven(const Rig& rig) {
  Talk talk = rig.viewer();
  settle(talk);
  return talk;
}
// While it is stopped things happen that it then finds all at once.
struct Stopped {
  pid_t process;
  explicit Stopped(const Rig& rig) : process(rig.process) {
    kill(process, SIGSTOP);
    int status = 0;
    waitpid(process, &status, WUNTRACED);
  }
  ~Stopped() { kill(process, SIGCONT); }
};
// A subscription that stands, and its node's connection.
Talk stands(Rig& rig, Talk& viewer, const std::string& call) {
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
  return std::move(at.talk);
}
void slowConnect(Json& all) { all["settings"]["limits"]["connectTimeoutNs"] = 8e9; }

// A node whose queue of connections is full: no new one comes up before `open`, and then it does.
struct Shy {
  Listening& node;
  std::vector<Talk> fillers;
  explicit Shy(Listening& listening) : node(listening) {
    listen(node.fd, 0);
    fillers.push_back(Talk::to(node.port()));
  }
  void open() {
    listen(node.fd, 64);
    fillers.push_back(node.take());
  }
};
// Of all that comes to a node within the time, whether a set-up is among it.
bool offered(Listening& node, int ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(ms);
  std::vector<Talk> talks;
  while (Clock::now() < until) {
    if (auto talk = node.tryAccept(20)) talks.push_back(std::move(*talk));
    for (Talk& talk : talks)
      if (const auto message = talk.hear(5); message && message->op == Op::offer) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("A join that waits for its connection does not leave once its viewer has gone") {
  const bool cancelling = GENERATE(true, false), atOnce = GENERATE(true, false);
  enum { says, closes, closesHalf };
  const int how = GENERATE(+says, +closes, +closesHalf);
  CAPTURE(cancelling, atOnce, how);
  Rig rig(1, 1024, [&](Json& all) {
    slowConnect(all);
    all["settings"]["limits"]["cancelling"] = cancelling;
  });
  Talk other = proven(rig);
  Shy node(rig.nodes[0]);
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  settle(other);
  {
    // At once: that the viewer went and that the connection came up are found in one pass of the loop.
    std::optional<Stopped> stopped;
    if (atOnce) stopped.emplace(rig);
    if (how == says) viewer.say(word(Op::end, call, 16));
    if (how == closes) viewer.drop();
    if (how == closesHalf) shutdown(viewer.fd, SHUT_WR);
    if (!atOnce) settle(other);
    node.open();
    if (atOnce)
      std::this_thread::sleep_for(std::chrono::milliseconds(1'200));  // the machine tries again after 1 s
  }
  CHECK(!offered(rig.nodes[0], 2'000));
  settle(other);
}

TEST_CASE("A viewer that goes while its join is out or stands: its node hears of it, and no other one does") {
  const bool cancelling = GENERATE(true, false), closes = GENERATE(true, false);
  CAPTURE(cancelling, closes);
  Rig rig(2, 1024, [&](Json& all) { all["settings"]["limits"]["cancelling"] = cancelling; });
  Talk other = proven(rig);
  Talk viewer = rig.viewer();
  const std::string call = rig.freshCall();
  viewer.say(offer(call));
  Arrived at = arrive(rig, call);
  const auto goes = [&] {
    if (closes)
      viewer.drop();
    else
      viewer.say(word(Op::end, call, 16));
    settle(other);
  };
  SECTION("out, and then it begins") {
    goes();
    if (!cancelling) at.talk.say(accepted(call));
    CHECK(at.talk.need(Op::end, call).why == 16);
  }
  SECTION("out, and then it is refused") {
    goes();
    at.talk.say(word(Op::end, call, 34));
  }
  SECTION("it stands") {
    at.talk.say(accepted(call));
    viewer.need(Op::accept, call);
    goes();
    // What stands belongs to no connection: only a word ends it.
    if (closes) CHECK(!at.talk.hear(100));
    if (!closes) CHECK(at.talk.need(Op::end, call).why == 16);
  }
  CHECK(!offered(rig.nodes[1 - at.node], 300));
}

TEST_CASE("A connection that came up and was closed again before the write costs a paid set-up nothing") {
  Rig rig(1, 1024, slowConnect);
  Talk viewer = proven(rig);
  Shy node(rig.nodes[0]);
  const std::string call = rig.freshCall();
  Message paid = offer(call, "paid", 15'000);
  viewer.say(paid);
  settle(viewer);
  {
    const Stopped stopped(rig);
    node.open();
    rig.nodes[0].take().drop();  // the director's, once the machine has tried again
  }
  Arrived at = arrive(rig, call);
  at.talk.say(accepted(call));
  viewer.need(Op::accept, call);
}

TEST_CASE("What stands at nodes outlives a list that lost them, once it is whole again") {
  Rig rig(3);
  Talk viewer = proven(rig);
  const std::string call = rig.freshCall();
  Talk node = stands(rig, viewer, call);
  auto rows = rig.rows();
  rig.names->set(2, {});
  asks(*rig.names, 2);
  rig.names->set(3, rows);
  asks(*rig.names, 3);
  // It goes on, and its viewer is not told otherwise, not even when the doubt would be over: half the grace.
  CHECK(!viewer.hear(2'500));
  CHECK(!node.hear(100));
  node.say(word(Op::end, call, 16));
  CHECK(viewer.need(Op::end, call).why == 16);
}

TEST_CASE("A release that meets its viewer's close is said on another connection") {
  Rig rig(1);
  Talk other = proven(rig);
  Talk viewer = proven(rig);
  const std::string call = rig.freshCall();
  Talk node = stands(rig, viewer, call);
  Talk latest = proven(rig);
  SECTION("both found in one pass, the end first") {
    const Stopped stopped(rig);
    node.say(word(Op::end, call, 16));
    viewer.drop();
  }
  SECTION("said, but its connection broke before it was heard") {
    node.say(word(Op::end, call, 16));
    pollfd p{viewer.fd, POLLIN, 0};
    REQUIRE(poll(&p, 1, 5'000) == 1);
    viewer.reset();
  }
  CHECK(latest.need(Op::end, call).why == 16);
  latest.say(word(Op::ended, call));
  latest.drop();
  CHECK(!other.hear(300));  // heard and acknowledged: not said again
}

TEST_CASE("A release with no connection left is not for one that says nothing, and comes once") {
  Rig rig(1);
  Talk viewer = proven(rig);
  const std::string call = rig.freshCall();
  Talk node = stands(rig, viewer, call);
  viewer.drop();
  node.say(word(Op::end, call, 16));
  node.need(Op::ended, call);
  Talk silent = rig.viewer();
  Talk back = rig.viewer();
  back.say(word(Op::test, "0000000000000001"));
  bool told = false, passed = false;
  for (int i = 0; i < 2; ++i) {
    const auto message = back.hear();
    REQUIRE(message);
    told = told || (message->op == Op::end && message->call == call);
    passed = passed || message->op == Op::tested;
  }
  CHECK(told);
  CHECK(passed);
  CHECK(!silent.hear(200));
}

TEST_CASE("An imitation of what plays is turned away, and what plays goes on") {
  Rig rig(1);
  Talk viewer = proven(rig);
  const std::string call = rig.freshCall();
  Message plays = offer(call);
  plays.with["extras"] += ";at:s-0";
  viewer.say(plays);
  Talk node = rig.nodes[0].take();  // a connection is kept for its release
  Talk other = rig.viewer();
  Message same = plays;
  same.desc = "another";
  other.say(same);
  CHECK(other.closes(1'000));
  std::this_thread::sleep_for(std::chrono::milliseconds(2'200));  // the time in which a start's are named
  Talk late = rig.viewer();
  Message fresh = plays;
  fresh.call = rig.freshCall();
  late.say(fresh);
  const auto end = late.hear(1'000);
  REQUIRE(end);
  CHECK(end->op == Op::end);
  CHECK(end->call == fresh.call);
  viewer.say(plays);  // named again by its own viewer: nothing comes of it
  node.say(word(Op::end, call, 16));
  CHECK(viewer.need(Op::end, call).why == 16);
}

TEST_CASE("What plays at a start is taken on though the process stood still as it was named") {
  Rig rig(1);
  Talk viewer = proven(rig);
  const std::string call = rig.freshCall();
  {
    const Stopped stopped(rig);
    Message plays = offer(call);
    plays.with["extras"] += ";at:s-0";
    viewer.say(plays);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
  }
  Talk node = rig.nodes[0].take();
  node.say(word(Op::end, call, 16));
  CHECK(viewer.need(Op::end, call).why == 16);
}

TEST_CASE("SIGTERM at each state of a request: all of it is answered, and nothing owed is left behind") {
  Rig rig(2, 1024, slowConnect);
  Talk viewer = proven(rig);
  const std::string call = rig.freshCall();
  const auto later = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
  SECTION("half of it has come; the rest comes when all else is done") {
    const std::string bytes = jsonl::bytesOf(offer(call));
    viewer.bytes(bytes.substr(0, 40));
    Talk other = proven(rig);
    kill(rig.process, SIGTERM);
    later(1'500);
    viewer.bytes(bytes.substr(40));
    arrive(rig, call).talk.say(accepted(call));
    viewer.need(Op::accept, call);
  }
  SECTION("read in the same pass as the signal, on a connection that is new") {
    Talk fresh(-1);
    {
      const Stopped stopped(rig);
      kill(rig.process, SIGTERM);
      fresh = rig.viewer();
      fresh.say(offer(call));
      later(1'500);
    }
    arrive(rig, call).talk.say(accepted(call));
    fresh.need(Op::accept, call);
  }
  SECTION("its join waits for a connection") {
    Shy first(rig.nodes[0]), second(rig.nodes[1]);
    viewer.say(offer(call));
    Talk other = proven(rig);
    kill(rig.process, SIGTERM);
    const auto end = viewer.hear(3'000);
    REQUIRE(end);
    CHECK(end->op == Op::end);
    CHECK(end->why == 34);  // none of its joins ever left
    CHECK(end->find("wait") != nullptr);
  }
  SECTION("its join is out, and the node says nothing") {
    const std::string room = GENERATE("clip", "paid");
    viewer.say(offer(call, room, room == "paid" ? 900 : 1'900));
    Arrived at = arrive(rig, call);
    kill(rig.process, SIGTERM);
    const auto end = viewer.hear(2'200);
    REQUIRE(end);
    CHECK(end->op == Op::end);
    CHECK((end->why == 34) == (room == "clip"));
  }
  SECTION("it stands, and ends when no connection of its viewer is left") {
    Talk node = stands(rig, viewer, call);
    viewer.drop();
    viewer = proven(rig);
    viewer.drop();
    kill(rig.process, SIGTERM);
    node.say(word(Op::end, call, 16));
    node.need(Op::ended, call);
    later(1'500);
    Talk back = rig.viewer();
    back.say(word(Op::test, "0000000000000001"));
    bool told = false;
    for (int i = 0; i < 2; ++i)
      if (const auto message = back.hear()) told = told || message->op == Op::end;
    CHECK(told);
  }
  CHECK(rig.ends(4'000) == 0);
}

TEST_CASE("A deadline longer than the time until SIGKILL does not keep an answer back") {
  Rig rig(1, 1024, [](Json& all) { all["settings"]["classes"][1]["deadlineNs"] = 20e9; });
  Talk viewer = proven(rig);
  const std::string before = rig.freshCall(), after = rig.freshCall();
  viewer.say(offer(before, "paid", 19'000));
  Arrived at = arrive(rig, before);
  kill(rig.process, SIGTERM);
  Talk fresh = rig.viewer();
  fresh.say(offer(after, "paid", 19'000));
  CHECK(viewer.hear(3'700));
  CHECK(fresh.hear(500));
  CHECK(rig.ends(1'000) == 0);
}

TEST_CASE("A name server silent for good: what is there serves on, and what it says in the end is heard") {
  Rig rig(2);
  rig.names->mute = true;
  Talk viewer = proven(rig);
  const std::string first = rig.freshCall();
  viewer.say(offer(first));
  Arrived at = arrive(rig, first);
  at.talk.say(accepted(first));
  viewer.need(Op::accept, first);
  // The process there dies unheard, and nothing takes its place.
  at.talk.reset();
  rig.nodes[at.node].shut();
  CHECK(viewer.need(Op::end, first).why == 41);
  std::optional<Message> answer;
  for (int i = 0; i < 5 && !answer; ++i) {
    const std::string call = rig.freshCall();
    viewer.say(offer(call));
    if (auto talk = rig.nodes[1 - at.node].tryAccept(500))
      if (const auto message = talk->hear(1'000); message && message->op == Op::offer)
        talk->say(accepted(message->call)), answer = viewer.hear();
    if (!answer) viewer.hear(2'500);
  }
  REQUIRE(answer);
  CHECK(answer->op == Op::accept);
  asks(*rig.names, 2);  // it goes on asking
  auto rows = rig.rows();
  rows[1 - at.node].draining = true;
  rig.names->set(9, rows);
  rig.names->mute = false;
  asks(*rig.names, 3);
  const std::string last = rig.freshCall();
  viewer.say(offer(last));
  CHECK(viewer.need(Op::end, last).why == 34);
}

TEST_CASE(
    "SIGHUP with idle clients on every descriptor and no name server: the file's list and the new one "
    "count") {
  Rig rig(2, 256);
  Talk viewer = proven(rig);
  rig.names->mute = true;
  std::vector<Talk> crowd;
  for (int i = 0; i < 400; ++i) crowd.push_back(rig.viewer());
  SECTION("a list in the file that is newer than what is known") {
    rig.change = [](Json& all) {
      all["known"]["n"] = 7;
      for (Json& entry : all["known"]["events"][0]["members"]["endpoints"]) entry["status"] = "draining";
    };
    rig.write();
    kill(rig.process, SIGHUP);
    settle(viewer);
    const std::string call = rig.freshCall();
    viewer.say(offer(call));
    CHECK(viewer.need(Op::end, call).why == 34);
    for (Listening& node : rig.nodes) CHECK(!offered(node, 100));
  }
  SECTION("a resolver that is no address: the old one is asked on") {
    rig.change = [](Json& all) { all["resolver"] = "nowhere:53"; };
    rig.write();
    kill(rig.process, SIGHUP);
    asks(*rig.names, 3);
  }
  SECTION("another name server, which has lost count: serving goes on") {
    NameServer second(rig.rows());
    second.set(1, rig.rows());
    rig.change = [&](Json& all) { all["resolver"] = "127.0.0.1:" + std::to_string(portOf(second.fd)); };
    rig.write();
    kill(rig.process, SIGHUP);
    asks(second, 3);
    const std::string call = rig.freshCall();
    viewer.say(offer(call));
    arrive(rig, call).talk.say(accepted(call));
    viewer.need(Op::accept, call);
  }
}

TEST_CASE("A start without a list refuses at once with a time to come back, and serves once it has one") {
  Rig rig(1, 1024, [](Json& all) { all["known"] = {{"n", 0}, {"events", Json::array()}}; });
  // The list of the start may be in already: what matters is that each ask has its answer.
  rig.names->mute = true;
  rig.names->set(3, {});
  Talk viewer = rig.viewer();
  for (int i = 0; i < 3; ++i) {
    const std::string call = rig.freshCall();
    viewer.say(offer(call));
    const auto end = viewer.hear(1'000);
    if (!end) continue;
    CHECK(end->op == Op::end);
    CHECK(end->why == 34);
    CHECK(end->find("wait") != nullptr);
  }
  rig.names->set(4, rig.rows());
  rig.names->mute = false;
  std::optional<Message> passed;
  for (int i = 0; i < 100 && !(passed && passed->why == 1); ++i) {
    viewer.say(word(Op::test, "0000000000000001"));
    passed = viewer.hear();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(passed);
  CHECK(passed->why == 1);
}

// Two customers: other classes, deadlines, effects and tenants, in one program.
TEST_CASE(
    "A request split at any byte is its own: class, tenant, limit and title, whatever comes beside it") {
  const bool second = GENERATE(false, true);
  Rig rig(1, 1024, [&](Json& all) {
    if (!second) return;
    Json& settings = all["settings"];
    settings["classes"][0]["name"] = "lesson";
    settings["classes"][0]["effect"] = "once";
    settings["classes"][1]["name"] = "exam";
    settings["classes"][1]["effect"] = "by_key";
    settings["limits"]["cancelling"] = false;
    settings["parties"] = {{{"name", "north"}, {"quotaPerS", 500.0}},
                           {{"name", "south"}, {"quotaPerS", 500.0}}};
  });
  const std::string rooms[] = {second ? "lesson" : "clip", second ? "exam" : "paid"};
  Talk viewer = proven(rig), neighbour = proven(rig);
  std::optional<Talk> node;
  const std::size_t size = jsonl::bytesOf(offer(rig.freshCall(), rooms[0])).size();
  for (std::size_t cut = 1; cut < size; cut += 3) {
    const std::string call = rig.freshCall();
    Message mine = offer(call, rooms[cut % 2], 800 + static_cast<int>(cut));
    mine.with["key"] = "title-" + std::to_string(cut);
    if (second) mine.with["tenant"] = cut % 3 == 0 ? "north" : "south";
    const std::string bytes = jsonl::bytesOf(mine);
    viewer.bytes(bytes.substr(0, cut));
    settle(neighbour);  // the first part has been read alone, and another's message in between
    viewer.bytes(bytes.substr(cut));
    std::optional<Message> got;
    if (!node) {
      Arrived at = arrive(rig, call);
      node.emplace(std::move(at.talk));
      got = at.offer;
    } else {
      got = node->hear();
    }
    REQUIRE(got);
    REQUIRE(got->call == call);
    CHECK(*got->find("class") == rooms[cut % 2]);
    CHECK(*got->find("key") == *mine.find("key"));
    CHECK(*got->desc == *mine.desc);
    CHECK(std::stoi(*got->find("left")) <= std::stoi(*mine.find("left")));
    node->say(accepted(call));
    viewer.need(Op::accept, call);
    viewer.say(word(Op::end, call, 16));
    viewer.need(Op::ended, call);
    node->need(Op::end, call);
  }
}
