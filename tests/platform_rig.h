// `lupinsill run` as a process on loopback, for tests: viewers, media nodes and a name server written by
// hand.
#pragma once

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
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>

#include "discovery_test.h"
#include "jsonl/message.h"

namespace lupinsill::tests {

using jsonl::Message;
using jsonl::Op;

using Clock = std::chrono::steady_clock;

inline int portOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
inline sockaddr_in loopback(int port) {
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
  Talk& operator=(Talk&& other) noexcept {
    drop();
    fd = std::exchange(other.fd, -1);
    reader = std::move(other.reader);
    return *this;
  }
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
  explicit Listening(int port = 0, int backlog = 64) : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(listen(fd, backlog) == 0);
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
  std::vector<NodeRow> rows;
  std::atomic<int> asked{0};
  std::atomic<bool> stop{false};
  std::atomic<bool> mute{false};
  std::thread thread;
  explicit NameServer(std::vector<NodeRow> list)
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
  void set(std::uint32_t number, std::vector<NodeRow> list) {
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
      if (mute) continue;
      const std::lock_guard lock(mutex);
      const auto number = static_cast<std::uint16_t>(buffer[0] << 8 | buffer[1]);
      const std::string answer = DnsWriter::answer(number, serial, rows);
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

  std::function<void(nlohmann::json&)> change;  // of the configuration, before it is written

  explicit Rig(std::size_t count = 2, int descriptors = 1024,
               std::function<void(nlohmann::json&)> changed = nullptr)
      : sockets(descriptors), change(std::move(changed)) {
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
  std::vector<NodeRow> rows() const {
    std::vector<NodeRow> list;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      NodeRow row;
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
    for (const NodeRow& row : rows())
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
    Json all = {{"name", "n0"},
                {"listen", "127.0.0.1:0"},
                {"seed", "8c1f30d27a5be964"},
                {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", sockets}}},
                {"resolver", "127.0.0.1:" + std::to_string(portOf(names->fd))},
                {"known",
                 {{"n", 1},
                  {"events",
                   {{{"n", 1}, {"members", {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}}}}}}}},
                {"settings", settings}};
    if (change) change(all);
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
      // Another build may be put to the same tests: that of before a mend has to fail them.
      const char* other = std::getenv("LUPINSILL_OTHER");
      execl(other != nullptr ? other : PROGRAM, "lupinsill", "run", "--config", file.c_str(),
            static_cast<char*>(nullptr));
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

inline Message offer(const std::string& call, const std::string& room = "clip", int left = 1900) {
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
inline Message word(Op op, const std::string& call, int why = 0) {
  Message m;
  m.op = op;
  m.call = call;
  m.why = why;
  return m;
}
inline Message accepted(const std::string& call) {
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
inline Arrived arrive(Rig& rig, const std::string& call) {
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

}  // namespace lupinsill::tests
