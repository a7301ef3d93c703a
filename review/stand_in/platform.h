// The platform around `run` for the cases of this review: viewers, media nodes, a name server and links
// between director and media node, all in one process and one poll loop on loopback addresses. The director
// is a process of its own, started with the `run` line of deploy/balancer.toml.
//
// Everything behaves as the operators' protocol page says; a case adds its disruption and its check.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "discovery_test.h"
#include "jsonl/message.h"

namespace review {

using Json = nlohmann::json;
using lupinsill::jsonl::Message;
using lupinsill::jsonl::Op;

// A case that cannot run.
[[noreturn]] inline void giveUp(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

inline std::string opName(Op op) {
  static const char* const names[] = {"offer",  "ringing", "accept",   "end", "ended", "test",
                                      "tested", "info",    "redirect", "set", "other"};
  return names[static_cast<int>(op)];
}

inline void setNonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}
inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline int listenAnywhere() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  setNonBlocking(fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(0);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 128) != 0)
    giveUp("no free port");
  return fd;
}
inline int connectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  setNonBlocking(fd);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// The poll loop, its timers and the record. Times are milliseconds since the start.
class World {
 public:
  explicit World(const std::string& recordFile) : record_(std::fopen(recordFile.c_str(), "w")) {
    if (record_ == nullptr) giveUp("record.txt cannot be written");
    signal(SIGPIPE, SIG_IGN);
  }
  double now() const {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start_).count();
  }
  // Writes one line of the record.
  void record(const std::string& text) {
    std::fprintf(record_, "%9.1f ms  %s\n", now(), text.c_str());
    std::fflush(record_);
  }
  void after(double ms, std::function<void()> action) { timers_.emplace(now() + ms, std::move(action)); }
  void watch(int fd, std::function<void()> readable) { watched_[fd] = std::move(readable); }
  void forget(int fd) { watched_.erase(fd); }
  // Runs the loop for so long, or until the condition holds.
  bool runFor(double ms, const std::function<bool()>& done = nullptr) {
    const double until = now() + ms;
    while (now() < until) {
      if (done && done()) return true;
      std::vector<pollfd> fds;
      for (const auto& [fd, action] : watched_) fds.push_back({fd, POLLIN, 0});
      double wait = std::min(until - now(), 20.0);
      if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
      poll(fds.data(), fds.size(), std::max(0, static_cast<int>(wait)));
      for (const pollfd& p : fds)
        if (p.revents != 0)
          if (const auto it = watched_.find(p.fd); it != watched_.end()) {
            const auto action = it->second;  // it may forget itself
            action();
          }
      while (!timers_.empty() && timers_.begin()->first <= now()) {
        const auto action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
      }
    }
    return done && done();
  }

 private:
  std::FILE* record_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::function<void()>> watched_;
};

// One end of a connection that carries messages.
class Line {
 public:
  Line(World& world, int fd, std::function<void(Line&, Message&)> heard, std::function<void(Line&)> down)
      : world_(world), fd_(fd), heard_(std::move(heard)), down_(std::move(down)) {
    world_.watch(fd_, [this] { read(); });
  }
  Line(const Line&) = delete;
  ~Line() { shut(); }
  bool isOpen() const { return fd_ >= 0; }
  void send(const Message& message) {
    const std::string bytes = lupinsill::jsonl::serialize(message);
    if (fd_ >= 0 && ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) world_.record("a send failed");
  }
  void shut() {
    if (fd_ < 0) return;
    world_.forget(fd_);
    close(fd_);
    fd_ = -1;
  }

 private:
  void read() {
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) {
      shut();
      if (down_) down_(*this);
      return;
    }
    reader_.feed({bytes, static_cast<std::size_t>(size)});
    while (fd_ >= 0) {
      auto message = reader_.next();
      if (!message) return;
      heard_(*this, *message);
    }
  }
  World& world_;
  int fd_;
  lupinsill::jsonl::Reader reader_;
  std::function<void(Line&, Message&)> heard_;
  std::function<void(Line&)> down_;
};

// Forwards the bytes of connections between a director and a media node. While it is cut nothing passes; what
// was sent meanwhile arrives, in order, when the cut is over, as TCP does it.
class Link {
 public:
  Link(World& world, int nodePort) : world_(world), nodePort_(nodePort), fd_(listenAnywhere()) {
    world_.watch(fd_, [this] { accept(); });
  }
  int port() const { return portOf(fd_); }
  // A cut link carries nothing, and no connection comes up over it: the kernel drops what asks for one, since
  // the queue of the listener is kept full.
  void cut(bool on) {
    cut_ = on;
    if (on) {
      world_.forget(fd_);
      listen(fd_, 0);
      for (int i = 0; i < 3; ++i) {
        fillers_.push_back(socket(AF_INET, SOCK_STREAM, 0));
        setNonBlocking(fillers_.back());
        const sockaddr_in address = loopback(port());
        connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
      }
      return;
    }
    for (const int fd : std::exchange(fillers_, {})) close(fd);
    for (int fd = 0; fd >= 0;)
      if ((fd = ::accept(fd_, nullptr, nullptr)) >= 0) close(fd);
    listen(fd_, 128);
    world_.watch(fd_, [this] { accept(); });
    for (const auto& pipe : pipes_) flush(*pipe);
  }

 private:
  struct Pipe {
    int ends[2] = {-1, -1};               // director, media node
    std::vector<std::string> waiting[2];  // for that end, as it came
  };
  void accept() {
    const int fd = ::accept(fd_, nullptr, nullptr);
    if (fd < 0) return;
    setNonBlocking(fd);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto pipe = std::make_unique<Pipe>();
    Pipe* p = pipe.get();
    p->ends[0] = fd;
    p->ends[1] = connectTo(nodePort_);
    if (p->ends[1] < 0) return void(close(fd));
    for (int from : {0, 1}) world_.watch(p->ends[from], [this, p, from] { take(*p, from); });
    pipes_.push_back(std::move(pipe));
  }
  void take(Pipe& pipe, int from) {
    char bytes[16384];
    const ssize_t size = recv(pipe.ends[from], bytes, sizeof bytes, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) {
      for (int& end : pipe.ends) {
        if (end < 0) continue;
        world_.forget(end);
        close(end);
        end = -1;
      }
      return;
    }
    pipe.waiting[1 - from].emplace_back(bytes, static_cast<std::size_t>(size));
    if (!cut_) flush(pipe);
  }
  void flush(Pipe& pipe) {
    for (int to : {0, 1})
      for (const std::string& bytes : std::exchange(pipe.waiting[to], {}))
        if (pipe.ends[to] >= 0) ::send(pipe.ends[to], bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  World& world_;
  int nodePort_;
  int fd_;
  bool cut_ = false;
  std::vector<int> fillers_;
  std::vector<std::unique_ptr<Pipe>> pipes_;
};

// A media node that accepts set-ups after its set-up time and holds sessions. A standing session belongs to
// no connection.
struct MediaNode {
  struct Session {
    std::string call, room, title, description;
    Line* line = nullptr;  // on which its set-up came
    bool stands = false;
  };
  MediaNode(World& w, int number) : world(w), name("s-" + std::to_string(100 + number)), cell(number) {
    fd = listenAnywhere();
    world.watch(fd, [this] {
      const int accepted = ::accept(fd, nullptr, nullptr);
      if (accepted < 0) return;
      setNonBlocking(accepted);
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      world.record(name + " has a new connection");
      lines.push_back(std::make_unique<Line>(
          world, accepted, [this](Line& line, Message& message) { hear(line, message); },
          [this](Line& line) { lost(line); }));
      for (const auto& [call, why] : std::exchange(owed, {})) {
        Message message;
        message.op = Op::end;
        message.call = call;
        message.reasonCode = why;
        world.record(name + " releases " + call + " with " + std::to_string(why) + " on the new connection");
        lines.back()->send(message);
      }
    });
  }
  int port() const { return portOf(fd); }
  void hear(Line& line, Message& message) {
    if (message.op == Op::offer) {
      world.record(name + " hears set-up " + message.call + " (" + message.fields["class"] + ", left " +
                   message.fields["left"] + ")");
      sessions[message.call] = {message.call, message.fields["class"], message.fields["key"], "", &line,
                                false};
      if (offered) offered(*this, message.call);
    } else if (message.op == Op::end) {
      world.record(name + " hears the end of " + message.call);
      sessions.erase(message.call);
    } else if (message.op == Op::ended) {
      world.record(name + " hears 'ended' of " + message.call);
    }
  }
  // When a connection is closed, the set-ups open on it are given up.
  void lost(Line& line) {
    world.record(name + " has lost a connection");
    std::erase_if(sessions,
                  [&](const auto& entry) { return !entry.second.stands && entry.second.line == &line; });
    for (auto& [call, session] : sessions)
      if (session.line == &line) session.line = nullptr;
  }
  Line* anyLine() {
    for (const auto& line : lines)
      if (line->isOpen()) return line.get();
    return nullptr;
  }
  void accept(const std::string& call) {
    const auto it = sessions.find(call);
    if (it == sessions.end() || it->second.line == nullptr) return;
    it->second.stands = true;
    it->second.description = "answer of " + name + " to " + call + "\r\nc=IN IP4 127.0.0.1\r\n";
    Message message;
    message.op = Op::accept;
    message.call = call;
    message.description = it->second.description;
    world.record(name + " answers " + call);
    it->second.line->send(message);
  }
  // Refuses a set-up that has not been answered.
  void refuse(const std::string& call, int why) {
    const auto it = sessions.find(call);
    if (it == sessions.end() || it->second.line == nullptr) return;
    Message message;
    message.op = Op::end;
    message.call = call;
    message.reasonCode = why;
    world.record(name + " refuses " + call + " with " + std::to_string(why));
    it->second.line->send(message);
    sessions.erase(it);
  }
  // Ends a standing session. The release goes out on the connection of its set-up, otherwise on any open one;
  // returns false where there is none.
  bool release(const std::string& call, int why) {
    const auto it = sessions.find(call);
    if (it == sessions.end() || !it->second.stands) return true;
    Line* line = it->second.line != nullptr ? it->second.line : anyLine();
    if (line == nullptr) return false;
    Message message;
    message.op = Op::end;
    message.call = call;
    message.reasonCode = why;
    world.record(name + " releases " + call + " with " + std::to_string(why));
    line->send(message);
    sessions.erase(it);
    return true;
  }
  // As release(), and as the protocol page has it also on the next connection opened; without an open
  // connection on that one alone.
  void end(const std::string& call, int why) {
    owed.emplace_back(call, why);
    release(call, why);
    sessions.erase(call);
  }
  World& world;
  std::string name;
  int cell;
  int fd = -1;
  bool draining = false;
  std::vector<std::unique_ptr<Line>> lines;
  std::map<std::string, Session> sessions;
  std::function<void(MediaNode&, const std::string& call)> offered;
  std::vector<std::pair<std::string, int>> owed;  // releases to be sent on the next connection opened
};

// Answers each query with the list of the moment at which the answer is sent.
struct NameServer {
  explicit NameServer(World& w) : world(w), fd(socket(AF_INET, SOCK_DGRAM, 0)) {
    setNonBlocking(fd);
    const sockaddr_in address = loopback(0);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) giveUp("no free port");
    world.watch(fd, [this] {
      unsigned char query[512];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      if (recvfrom(fd, query, sizeof query, 0, reinterpret_cast<sockaddr*>(&from), &size) < 12) return;
      ++queries;
      const auto id = static_cast<std::uint16_t>(query[0] << 8 | query[1]);
      world.after(delayMs, [this, id, from] {
        const std::string answer = lupinsill::tests::DnsWriter::answer(id, serial, rows);
        sendto(fd, answer.data(), answer.size(), 0, reinterpret_cast<const sockaddr*>(&from), sizeof from);
        ++answers;
        if (serial != lastSent) {
          lastSent = serial;
          lastSentAt = world.now();
          world.record("the name server sends its first answer that holds event " + std::to_string(serial));
        }
      });
    });
  }
  int port() const { return portOf(fd); }
  World& world;
  int fd;
  double delayMs = 1;
  std::uint32_t serial = 1, lastSent = 0;
  double lastSentAt = 0;
  int queries = 0, answers = 0;
  std::vector<lupinsill::tests::NodeRow> rows;
};

// A small deployment: the settings of the protocol note's example (main-kitchen), twelve media nodes, one
// director.
class Deployment {
 public:
  Deployment(World& world, int nodeCount, bool withLinks) : nameServer(world), world_(world) {
    for (int i = 0; i < nodeCount; ++i) {
      nodes.push_back(std::make_unique<MediaNode>(world, i));
      if (withLinks) links.push_back(std::make_unique<Link>(world, nodes.back()->port()));
    }
    publish();
    const char* temporary = std::getenv("TMPDIR");
    folder_ = std::string(temporary != nullptr ? temporary : "/tmp") + "/lupinsill-review-XXXXXX";
    if (mkdtemp(folder_.data()) == nullptr) giveUp("no temporary folder");
    const int probe = listenAnywhere();
    port = portOf(probe);
    close(probe);
  }
  ~Deployment() {
    kill(SIGKILL);
    std::filesystem::remove_all(folder_);
  }
  // Puts the present state of the media nodes into the name server's list.
  void publish() {
    nameServer.rows.clear();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      lupinsill::tests::NodeRow row;
      row.name = nodes[i]->name;
      row.zone = i % 2 == 0 ? "north-block" : "south-block";
      row.kind = "two-core";
      row.port = links.empty() ? nodes[i]->port() : links[i]->port();
      row.cell = nodes[i]->cell;
      row.draining = nodes[i]->draining;
      nameServer.rows.push_back(row);
    }
  }
  void startDirector() {
    writeConfiguration();
    const std::string command = runLine();
    world_.record("starting the director: " + command);
    std::fflush(nullptr);
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string log = folder_ + "/director.log";
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("LB_CONFIG", configurationFile().c_str(), 1);
      setenv("LB_NAME", "n0", 1);
      setenv("LB_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
      setenv("TMPDIR", folder_.c_str(), 1);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void kill(int signal) {
    if (process_ <= 0) return;
    ::kill(process_, signal);
    waitpid(process_, nullptr, 0);
    process_ = -1;
  }
  void sendSignal(int signal) const { ::kill(process_, signal); }
  // Whether the director still runs; records how it ended.
  bool runs() {
    int status = 0;
    if (process_ <= 0 || waitpid(process_, &status, WNOHANG) != process_) return process_ > 0;
    process_ = -1;
    world_.record("the director has ended, status " + std::to_string(status));
    return false;
  }
  // Connects as a viewer; waits for a director that starts.
  std::unique_ptr<Line> viewer(std::function<void(Line&, Message&)> heard,
                               std::function<void(Line&)> down = nullptr) {
    int fd = -1;
    world_.runFor(10'000, [&] { return (fd = connectTo(port)) >= 0 || !runs(); });
    if (fd < 0) giveUp("the director does not listen");
    return std::make_unique<Line>(world_, fd, std::move(heard), std::move(down));
  }
  // Sends tests until one is passed.
  void awaitReady() {
    bool passed = false;
    const auto line = viewer([&](Line&, Message& message) {
      if (message.op == Op::tested && message.reasonCode == 1) passed = true;
    });
    for (int tries = 0; tries < 50 && !passed; ++tries) {
      Message test;
      test.op = Op::test;
      test.call = "00000000000000aa";
      line->send(test);
      world_.runFor(100, [&] { return passed; });
    }
    if (!passed) giveUp("no test was passed");
    world_.record("the director has passed a test");
  }
  // A set-up as a viewer's front sends it.
  Message offer(const std::string& call, const std::string& room, int leftMs,
                const std::string& title = "v-lesson-1", const std::string& more = "") const {
    Message message;
    message.op = Op::offer;
    message.call = call;
    message.fields = {
        {"class", room},
        {"left", std::to_string(leftMs)},
        {"key", title},
        {"extras", "home:0;copies:" + std::to_string(nodes.size()) + ";top:4;viewer:" + call + more}};
    message.description = "offer " + call + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    return message;
  }
  static std::string callId(int number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0x51000000 + number);
    return text;
  }

  NameServer nameServer;
  std::vector<std::unique_ptr<MediaNode>> nodes;
  std::vector<std::unique_ptr<Link>> links;
  int port = 0;

 private:
  std::string configurationFile() const { return folder_ + "/config.json"; }
  static std::string runLine() {
    std::ifstream file("deploy/balancer.toml");
    for (std::string text; std::getline(file, text);)
      if (text.rfind("run = \"", 0) == 0) return text.substr(7, text.find('"', 7) - 7);
    giveUp("deploy/balancer.toml has no line `run`");
  }
  void writeConfiguration() const {
    Json endpoints = Json::array();
    for (const auto& row : nameServer.rows)
      endpoints.push_back({{"name", row.name},
                           {"address", "127.0.0.1:" + std::to_string(row.port)},
                           {"zone", row.zone},
                           {"type", row.kind},
                           {"group", row.cell},
                           {"status", row.draining ? "draining" : "up"},
                           {"weight", 4},
                           {"since_ms", 0}});
    const auto room = [](const char* name, const char* effect, double points, std::int64_t aim,
                         std::int64_t deadline) {
      return Json{{"name", name},        {"effect", effect}, {"points", points},
                  {"aimNs", aim},        {"lateShare", 0},   {"deadlineNs", deadline},
                  {"dedupScope", "all"}, {"streamed", true}, {"windowNs", 5'000'000'000}};
    };
    const auto cells = static_cast<int>(nodes.size());
    const Json domain = {{"allLinksKb", 95773.0},
                         {"cabinets", 3},
                         {"cells", cells},
                         {"classTop", {2, 5}},
                         {"floorByClass", {0, 0}},
                         {"joinAdds", 1.0},
                         {"ladderKb", {157, 247, 389, 613, 965, 1521}},
                         {"levelWorth", {0.25, 0.42, 0.58, 0.72, 0.86, 1.0}},
                         {"live", {false, false}},
                         {"placesByKind", {35}},
                         {"rackKb", 25796.0},
                         {"rateFactor", {1.0, 1.2}},
                         {"refusesFrom", 0.0},
                         {"reportsEveryNs", 4'000'000'000},
                         {"seats", {0, 7}},
                         {"seenAfterNs", 900'000'000},
                         {"shortfallCost", 7.0},
                         {"switchS", 0.6},
                         {"weightKb", 8000.0}};
    const Json settings = {{"balancers", 1},
                           {"ordinal", 0},
                           {"classes",
                            {room("recipe-clip", "repeatable", 1, 1'000'000'000, 5'000'000'000),
                             room("paid-class", "once", 3, 1'500'000'000, 3'000'000'000)}},
                           {"discovery", "pushed"},
                           {"domain", domain},
                           {"failureDomains", {"north-block", "south-block"}},
                           {"family", "streams"},
                           {"limits",
                            {{"cancelling", true},
                             {"connectTimeoutNs", 250'000'000},
                             {"idleCloseNs", 30'000'000'000},
                             {"maxAttempts", 4},
                             {"maxRetryAfterNs", 500'000'000},
                             {"maxStreams", 1'048'576},
                             {"probes", true},
                             {"retryAfter", true},
                             {"secondCopies", false}}},
                           {"machineTypes", {"two-core"}},
                           {"myZone", "north-block"},
                           {"parties", Json::array()},
                           {"rules",
                            {{"answerSlackNs", 40'000'000},
                             {"coldNs", 12'000'000'000},
                             {"fallNs", 2'000'000'000},
                             {"overloadFactor", 4.0},
                             {"startCapacity", 0.4},
                             {"stopSendingWithinNs", 2'000'000'000}}},
                           {"stats", {{"fields", {"cpu", "x1"}}, {"how", "piggyback"}}},
                           {"weights", "silent"}};
    const Json event = {
        {"n", nameServer.serial},
        {"members", {{"index", nameServer.serial}, {"snapshot", true}, {"endpoints", endpoints}}}};
    const Json configuration = {{"name", "n0"},
                                {"listen", "127.0.0.1:" + std::to_string(port)},
                                {"seed", "8c1f30d27a5be964"},
                                {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                                {"resolver", "127.0.0.1:" + std::to_string(nameServer.port())},
                                {"known", {{"n", nameServer.serial}, {"events", {event}}}},
                                {"settings", settings}};
    std::ofstream(configurationFile()) << configuration.dump(1);
  }
  World& world_;
  std::string folder_;
  pid_t process_ = -1;
};

// Whether the disruption is on: TROUBLE=0 turns it off.
inline bool troubled() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
