// `lupinsill run` as a process on loopback: viewers, media nodes and a name server are written by hand here.
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>

#include "jsonl/message.h"
#include "roster_test.h"

using namespace lupinsill;
using jsonl::Message;
using jsonl::Op;

namespace {

using Clock = std::chrono::steady_clock;

int portOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
sockaddr_in loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

// One end of a connection that speaks lines; what it waits for comes within five seconds or not at all.
struct Talk {
  int fd = -1;
  jsonl::Reader reader;
  explicit Talk(int socket) : fd(socket) {}
  Talk(Talk&& other) noexcept : fd(std::exchange(other.fd, -1)), reader(std::move(other.reader)) {}
  Talk& operator=(Talk&&) = delete;
  ~Talk() { drop(); }
  static Talk to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    return Talk(fd);
  }
  void drop() {
    if (fd >= 0) close(fd);
    fd = -1;
  }
  void reset() {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    drop();
  }
  void bytes(const std::string& text) const {
    REQUIRE(send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  void say(const Message& message) const { bytes(jsonl::bytesOf(message)); }
  std::optional<Message> hear(int ms = 5'000) {
    const auto until = Clock::now() + std::chrono::milliseconds(ms);
    while (true) {
      if (auto message = reader.next()) return message;
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
      pollfd p{fd, POLLIN, 0};
      if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) return std::nullopt;
      char buffer[4096];
      const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) return std::nullopt;
      reader.feed({buffer, static_cast<std::size_t>(n)});
    }
  }
  Message need(Op op, const std::string& call) {
    const auto message = hear();
    REQUIRE(message);
    CHECK(message->op == op);
    CHECK(message->call == call);
    return *message;
  }
  bool closes(int ms = 6'000) {
    const auto until = Clock::now() + std::chrono::milliseconds(ms);
    while (Clock::now() < until) {
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      char buffer[4096];
      if (recv(fd, buffer, sizeof buffer, 0) <= 0) return true;
    }
    return false;
  }
};

struct Listening {
  int fd;
  explicit Listening(int port = 0) : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(listen(fd, 64) == 0);
  }
  Listening(Listening&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  Listening& operator=(Listening&&) = delete;
  ~Listening() { shut(); }
  void shut() {
    if (fd >= 0) close(fd);
    fd = -1;
  }
  int port() const { return portOf(fd); }
  std::optional<Talk> tryAccept(int ms) const {
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, ms) <= 0) return std::nullopt;
    return Talk(accept(fd, nullptr, nullptr));
  }
  Talk take() const {
    auto talk = tryAccept(5'000);
    REQUIRE(talk);
    return std::move(*talk);
  }
};

// Answers every question with the list as it is now.
struct NameServer {
  int fd;
  std::mutex mutex;
  std::uint32_t serial = 1;
  std::vector<tests::NodeRow> rows;
  std::atomic<int> asked{0};
  std::atomic<bool> stop{false};
  std::thread thread;
  explicit NameServer(std::vector<tests::NodeRow> list)
      : fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)), rows(std::move(list)) {
    const sockaddr_in at = loopback(0);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    thread = std::thread([this] { loop(); });
  }
  ~NameServer() {
    stop = true;
    thread.join();
    close(fd);
  }
  void set(std::uint32_t number, std::vector<tests::NodeRow> list) {
    const std::lock_guard lock(mutex);
    serial = number;
    rows = std::move(list);
  }
  void loop() {
    while (!stop) {
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, 20) <= 0) continue;
      unsigned char buffer[512];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      if (recvfrom(fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size) < 12) continue;
      ++asked;
      const std::lock_guard lock(mutex);
      const auto number = static_cast<std::uint16_t>(buffer[0] << 8 | buffer[1]);
      const std::string answer = tests::DnsWriter::answer(number, serial, rows);
      sendto(fd, answer.data(), answer.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
    }
  }
};

struct Rig {
  std::vector<Listening> nodes;
  std::unique_ptr<NameServer> names;
  std::string file;
  pid_t process = -1;
  int port = 0;
  int log = -1;
  int status = -1;
  int sockets = 1024;
  int next = 0;

  explicit Rig(std::size_t count = 2, int descriptors = 1024) : sockets(descriptors) {
    for (std::size_t i = 0; i < count; ++i) nodes.emplace_back();
    names = std::make_unique<NameServer>(rows());
    file = (std::filesystem::temp_directory_path() / ("lupinsill-run-" + std::to_string(getpid()) + ".json"));
    write();
    start();
  }
  ~Rig() {
    if (process > 0) kill(process, SIGKILL), waitpid(process, nullptr, 0);
    if (log >= 0) close(log);
    std::filesystem::remove(file);
  }
  std::vector<tests::NodeRow> rows() const {
    std::vector<tests::NodeRow> list;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      tests::NodeRow row;
      row.name = "s-" + std::to_string(i);
      row.port = nodes[i].fd < 0 ? 1 : nodes[i].port();
      row.cell = static_cast<int>(i);
      list.push_back(row);
    }
    return list;
  }
  void write() const {
    using Json = nlohmann::json;
    Json endpoints = Json::array();
    for (const tests::NodeRow& row : rows())
      endpoints.push_back({{"name", row.name},
                           {"address", "127.0.0.1:" + std::to_string(row.port)},
                           {"zone", "east"},
                           {"type", "std"},
                           {"group", row.cell},
                           {"status", "up"},
                           {"weight", 1},
                           {"since_ms", 0}});
    const auto room = [](const char* name, const char* effect, double aim, double deadline) {
      return Json{{"name", name},
                  {"effect", effect},
                  {"aimNs", aim * 1e9},
                  {"points", 1.0},
                  {"deadlineNs", deadline * 1e9}};
    };
    Json domain = {{"cells", 2},
                   {"cabinets", 1},
                   {"ladderKb", {100, 200, 400}},
                   {"levelWorth", {0.3, 0.6, 1}},
                   {"placesByKind", {20}},
                   {"rateFactor", {1, 1}},
                   {"floorByClass", {0, 1}},
                   {"classTop", {2, 2}},
                   {"seats", {0, 0}},
                   {"allLinksKb", 40000},
                   {"rackKb", 40000},
                   {"weightKb", 8000},
                   {"reportsEveryNs", 1e9},
                   {"seenAfterNs", 3e8}};
    Json settings = {{"balancers", 1},
                     {"ordinal", 0},
                     {"myZone", "east"},
                     {"machineTypes", {"std"}},
                     {"classes", {room("clip", "repeatable", 1, 2), room("paid", "once", 1, 1)}},
                     {"domain", domain},
                     {"limits",
                      {{"maxAttempts", 4},
                       {"retryAfter", true},
                       {"cancelling", true},
                       {"maxRetryAfterNs", 5e8},
                       {"connectTimeoutNs", 2.5e8}}},
                     {"rules",
                      {{"coldNs", 0},
                       {"fallNs", 2e9},
                       {"overloadFactor", 4},
                       {"startCapacity", 0.5},
                       {"stopSendingWithinNs", 4e9}}},
                     {"stats", {{"fields", {"cpu", "x1"}}}}};
    const Json all = {
        {"name", "n0"},
        {"listen", "127.0.0.1:0"},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", sockets}}},
        {"resolver", "127.0.0.1:" + std::to_string(portOf(names->fd))},
        {"known",
         {{"n", 1},
          {"events",
           {{{"n", 1}, {"members", {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}}}}}}}},
        {"settings", settings}};
    std::ofstream(file) << all.dump();
  }
  void start() {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    process = fork();
    if (process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(ends[1], 2);
      close(ends[0]);
      close(ends[1]);
      execl(PROGRAM, PROGRAM, "run", "--config", file.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    close(ends[1]);
    log = ends[0];
    std::string text;
    char buffer[1024];
    while (text.find("nodes=") == std::string::npos) {
      const ssize_t n = read(log, buffer, sizeof buffer);
      REQUIRE(n > 0);
      text.append(buffer, static_cast<std::size_t>(n));
    }
    port = std::atoi(text.c_str() + text.find("port=") + 5);
    REQUIRE(port > 0);
  }
  Talk viewer() const { return Talk::to(port); }
  std::string freshCall() {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", ++next);
    return text;
  }
  // The exit code, if it ends by itself within the time.
  std::optional<int> ends(int ms) {
    for (int waited = 0; waited < ms; waited += 20) {
      int code = 0;
      if (waitpid(process, &code, WNOHANG) == process) return process = -1, code;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return std::nullopt;
  }
};

Message offer(const std::string& call, const std::string& room = "clip", int left = 1900) {
  Message m;
  m.op = Op::offer;
  m.call = call;
  m.with = {{"class", room},
            {"left", std::to_string(left)},
            {"key", "title-1"},
            {"hint", "8200.0"},
            {"extras", "home:0;copies:2;top:2;viewer:00000000b4d65521"}};
  m.desc = "9d41\r\nc=IN IP4 10.4.7.9\r\n";
  return m;
}
Message word(Op op, const std::string& call, int why = 0) {
  Message m;
  m.op = op;
  m.call = call;
  m.why = why;
  return m;
}
Message accepted(const std::string& call) {
  Message m = word(Op::accept, call);
  m.desc = "answer of a node\r\n";
  return m;
}

// The connection on which the next set-up comes, to whichever node it goes; others may come that bring
// nothing.
struct Arrived {
  std::size_t node = 0;
  Talk talk;
  Message offer;
};
Arrived arrive(Rig& rig, const std::string& call) {
  const auto until = Clock::now() + std::chrono::seconds(5);
  std::vector<std::pair<std::size_t, Talk>> talks;
  while (Clock::now() < until) {
    for (std::size_t i = 0; i < rig.nodes.size(); ++i)
      if (rig.nodes[i].fd >= 0)
        if (auto talk = rig.nodes[i].tryAccept(5)) talks.emplace_back(i, std::move(*talk));
    for (auto& [node, talk] : talks)
      if (const auto m = talk.hear(5); m && m->op == Op::offer && m->call == call)
        return {node, std::move(talk), *m};
  }
  FAIL("no set-up arrived");
  throw 0;
}

}  // namespace

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
