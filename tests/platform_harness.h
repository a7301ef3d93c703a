// A test harness that runs `lupinsill run` as a process on loopback, with test connections as viewers, stub
// media nodes and a stub name server.
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
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline sockaddr_in loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

// The test's end of a connection with JSON lines. Expected messages must arrive within five seconds.
struct TestConnection {
  int fd = -1;
  jsonl::Reader reader;
  explicit TestConnection(int socket) : fd(socket) {}
  TestConnection(TestConnection&& other) noexcept
      : fd(std::exchange(other.fd, -1)), reader(std::move(other.reader)) {}
  TestConnection& operator=(TestConnection&& other) noexcept {
    close();
    fd = std::exchange(other.fd, -1);
    reader = std::move(other.reader);
    return *this;
  }
  ~TestConnection() { close(); }
  static TestConnection to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return TestConnection(fd);
  }
  void close() {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
  // Closes with a TCP reset.
  void reset() {
    const linger resetOnClose{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    close();
  }
  void sendBytes(const std::string& text) const {
    REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  void send(const Message& message) const { sendBytes(jsonl::serialize(message)); }
  // Returns the next message, or nothing on timeout or close.
  std::optional<Message> receive(int milliseconds = 5'000) {
    const auto until = Clock::now() + std::chrono::milliseconds(milliseconds);
    while (true) {
      if (auto message = reader.next()) return message;
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
      pollfd p{fd, POLLIN, 0};
      if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) return std::nullopt;
      char buffer[4096];
      const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) return std::nullopt;
      reader.feed({buffer, static_cast<std::size_t>(n)});
    }
  }
  // Receives a message and checks its operation and call ID.
  Message expect(Op op, const std::string& call) {
    const auto message = receive();
    REQUIRE(message);
    CHECK(message->op == op);
    CHECK(message->call == call);
    return *message;
  }
  // Whether the director closes the connection within the time; messages before that are discarded.
  bool isClosedWithin(int milliseconds = 6'000) {
    const auto until = Clock::now() + std::chrono::milliseconds(milliseconds);
    while (Clock::now() < until) {
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      char buffer[4096];
      if (recv(fd, buffer, sizeof buffer, 0) <= 0) return true;
    }
    return false;
  }
};

// A media node of which the test accepts the connections.
struct StubNode {
  int fd;
  explicit StubNode(int port = 0, int backlog = 64) : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(fd, backlog) == 0);
  }
  StubNode(StubNode&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  StubNode& operator=(StubNode&&) = delete;
  ~StubNode() { stopListening(); }
  void stopListening() {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
  int port() const { return portOf(fd); }
  std::optional<TestConnection> tryAccept(int milliseconds) const {
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, milliseconds) <= 0) return std::nullopt;
    return TestConnection(::accept(fd, nullptr, nullptr));
  }
  TestConnection accept() const {
    auto connection = tryAccept(5'000);
    REQUIRE(connection);
    return std::move(*connection);
  }
};

// Answers every query after `delayMilliseconds` with the list of the moment at which the answer is sent, in a
// thread of its own; ignores queries while `silent`.
struct StubNameServer {
  struct DelayedAnswer {
    Clock::time_point due;
    std::uint16_t queryId;
    sockaddr_in to;
  };
  int fd;
  std::mutex mutex;
  std::uint32_t serial = 1;
  std::vector<NodeRow> rows;
  std::vector<DelayedAnswer> delayedAnswers;  // used by the thread alone
  std::atomic<int> queryCount{0};
  std::atomic<bool> stop{false};
  std::atomic<bool> silent{false};
  std::atomic<int> delayMilliseconds{0};
  std::thread thread;
  explicit StubNameServer(std::vector<NodeRow> list)
      : fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)), rows(std::move(list)) {
    const sockaddr_in address = loopback(0);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    thread = std::thread([this] { loop(); });
  }
  ~StubNameServer() {
    stop = true;
    thread.join();
    ::close(fd);
  }
  // Replaces the list.
  void set(std::uint32_t newSerial, std::vector<NodeRow> list) {
    const std::lock_guard lock(mutex);
    serial = newSerial;
    rows = std::move(list);
  }
  void loop() {
    while (!stop) {
      sendDueAnswers();
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, delayedAnswers.empty() ? 20 : 2) <= 0) continue;
      unsigned char buffer[512];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      if (recvfrom(fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size) < 12) continue;
      ++queryCount;
      if (silent) continue;
      const auto queryId = static_cast<std::uint16_t>(buffer[0] << 8 | buffer[1]);
      delayedAnswers.push_back({Clock::now() + std::chrono::milliseconds(delayMilliseconds), queryId, from});
    }
  }
  void sendDueAnswers() {
    const std::lock_guard lock(mutex);
    std::erase_if(delayedAnswers, [this](const DelayedAnswer& delayed) {
      if (delayed.due > Clock::now()) return false;
      const std::string answer = DnsWriter::answer(delayed.queryId, serial, rows);
      sendto(fd, answer.data(), answer.size(), 0, reinterpret_cast<const sockaddr*>(&delayed.to),
             sizeof delayed.to);
      return true;
    });
  }
};

// Starts the process with its configuration file and ends it. `socketLimit`: descriptors that the process may
// use.
struct TestHarness {
  std::vector<StubNode> nodes;
  std::unique_ptr<StubNameServer> nameServer;
  std::string file;
  pid_t process = -1;
  int port = 0;
  int log = -1;
  int status = -1;
  int maxSockets = 1024;
  int lastCallId = 0;

  std::function<void(nlohmann::json&)> editConfiguration;  // applied before the configuration is written

  explicit TestHarness(std::size_t nodeCount = 2, int socketLimit = 1024,
                       std::function<void(nlohmann::json&)> edit = nullptr)
      : maxSockets(socketLimit), editConfiguration(std::move(edit)) {
    for (std::size_t i = 0; i < nodeCount; ++i) nodes.emplace_back();
    nameServer = std::make_unique<StubNameServer>(nodeRows());
    file = (std::filesystem::temp_directory_path() / ("lupinsill-run-" + std::to_string(getpid()) + ".json"));
    writeConfiguration();
    start();
  }
  ~TestHarness() {
    if (process > 0) kill(process, SIGKILL), waitpid(process, nullptr, 0);
    if (log >= 0) ::close(log);
    std::filesystem::remove(file);
  }
  std::vector<NodeRow> nodeRows() const {
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
  void writeConfiguration() const {
    using Json = nlohmann::json;
    Json endpoints = Json::array();
    for (const NodeRow& row : nodeRows())
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
    Json configuration = {
        {"name", "n0"},
        {"listen", "127.0.0.1:0"},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", maxSockets}}},
        {"resolver", "127.0.0.1:" + std::to_string(portOf(nameServer->fd))},
        {"known",
         {{"n", 1},
          {"events",
           {{{"n", 1}, {"members", {{"index", 1}, {"snapshot", true}, {"endpoints", endpoints}}}}}}}},
        {"settings", settings}};
    if (editConfiguration) editConfiguration(configuration);
    std::ofstream(file) << configuration.dump();
  }
  // Ends the process with the signal, and starts it again after `whileDown`. It then listens on another port.
  void restart(int signal, const std::function<void()>& whileDown = nullptr) {
    kill(process, signal);
    REQUIRE(exitCodeWithin(4'000));
    if (whileDown) whileDown();
    ::close(log);
    start();
  }
  void start() {
    int pipeEnds[2];
    REQUIRE(pipe(pipeEnds) == 0);
    process = fork();
    if (process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(pipeEnds[1], 2);
      ::close(pipeEnds[0]);
      ::close(pipeEnds[1]);
      // Runs the tests against another build, to check that they fail without a fix.
      const char* otherProgram = std::getenv("LUPINSILL_OTHER");
      execl(otherProgram != nullptr ? otherProgram : PROGRAM, "lupinsill", "run", "--config", file.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    ::close(pipeEnds[1]);
    log = pipeEnds[0];
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
  TestConnection viewer() const { return TestConnection::to(port); }
  std::string newCallId() {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", ++lastCallId);
    return text;
  }
  // Returns the wait status if the process exits by itself within the time; 0 means exit code 0.
  std::optional<int> exitCodeWithin(int milliseconds) {
    for (int waited = 0; waited < milliseconds; waited += 20) {
      int code = 0;
      if (waitpid(process, &code, WNOHANG) == process) return process = -1, code;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return std::nullopt;
  }
};

inline Message makeOffer(const std::string& call, const std::string& room = "clip", int left = 1900) {
  Message m;
  m.op = Op::offer;
  m.call = call;
  m.fields = {{"class", room},
              {"left", std::to_string(left)},
              {"key", "title-1"},
              {"hint", "8200.0"},
              {"extras", "home:0;copies:2;top:2;viewer:00000000b4d65521"}};
  m.description = "9d41\r\nc=IN IP4 10.4.7.9\r\n";
  return m;
}
// The reason codes used in the tests: 1 health check passed, 16 finished, 34 no capacity, 41 failed,
// 47 node error, 102 not sent.
inline Message makeMessage(Op op, const std::string& call, int reasonCode = 0) {
  Message m;
  m.op = op;
  m.call = call;
  m.reasonCode = reasonCode;
  return m;
}
inline Message makeAccept(const std::string& call) {
  Message m = makeMessage(Op::accept, call);
  m.description = "answer of a node\r\n";
  return m;
}

// Reports a subscription that plays at the node since before the process started.
inline Message makeAdoption(const std::string& call, std::size_t node, const std::string& room = "clip") {
  Message m = makeOffer(call, room);
  m.fields["extras"] += ";at:s-" + std::to_string(node);
  return m;
}

// Returns once the director has processed everything that was sent on the connection before.
inline void awaitProcessed(TestConnection& connection) {
  connection.send(makeMessage(Op::test, "00000000000000ff"));
  connection.expect(Op::tested, "00000000000000ff");
}
// Returns once the name server has received this many more queries.
inline void awaitQueries(const StubNameServer& nameServer, int times) {
  const int until = nameServer.queryCount + times;
  for (int i = 0; i < 1'000 && nameServer.queryCount < until; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  REQUIRE(nameServer.queryCount >= until);
}
// Returns a connection on which the director has received a valid message.
inline TestConnection verifiedViewer(const TestHarness& harness) {
  TestConnection connection = harness.viewer();
  awaitProcessed(connection);
  return connection;
}

// An offer that a node has received, with its connection.
struct ReceivedOffer {
  std::size_t node = 0;
  TestConnection connection;
  Message offer;
};
// Waits for the offer of a call at any node; other connections may be opened meanwhile.
inline ReceivedOffer awaitOffer(TestHarness& harness, const std::string& call) {
  const auto until = Clock::now() + std::chrono::seconds(5);
  std::vector<std::pair<std::size_t, TestConnection>> connections;
  while (Clock::now() < until) {
    for (std::size_t i = 0; i < harness.nodes.size(); ++i)
      if (harness.nodes[i].fd >= 0)
        if (auto connection = harness.nodes[i].tryAccept(5))
          connections.emplace_back(i, std::move(*connection));
    for (auto& [node, connection] : connections)
      if (const auto m = connection.receive(5); m && m->op == Op::offer && m->call == call)
        return {node, std::move(connection), *m};
  }
  FAIL("no set-up arrived");
  throw 0;
}

}  // namespace lupinsill::tests
