// The stand-ins of the second review: viewers, media nodes and the name server of the operators' protocol
// around one director, which runs as a process of its own. All of them are served by one loop on loopback
// sockets and the real clock. Everything that is sent or received goes to the record.
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

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Millis = std::int64_t;

// The case could not be played; says nothing about the rule.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline Millis steadyNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Millis unixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline sockaddr_in loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}
inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline void nonBlocking(int fd) { fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK); }

struct MediaNode;

// One TCP connection, of a viewer to the director or of the director to a media node.
struct Wire {
  int fd = -1, number = 0;
  std::string name, input;
  MediaNode* node = nullptr;  // null: a viewer's
  bool usual = true;          // a viewer's: a usual client, which acknowledges releases
  // A media node's: its machine has vanished or has forgotten the connection. Nothing is read or written any
  // more; with `resetOnData`, bytes that arrive are answered with a reset, as for an unknown connection.
  bool forgotten = false, resetOnData = false;
  bool mute = false;  // a media node's: stays open, but what the node sends never arrives
  bool open() const { return fd >= 0; }
};

// A request of a viewer and what became of it.
struct Call {
  std::string id, room, title, wire;
  Millis askedAt = 0, answeredAt = 0, leftAt = 0, releasedAt = 0;
  std::string answer;  // "served", "throttled" or "failed"
  int why = 0;
  std::string releasedOn;  // the connection on which the release came
  int releases = 0;
};

// A session that stands at a media node.
struct Standing {
  std::string room, title;
  Wire* wire = nullptr;
  Millis since = 0;
};

struct MediaNode {
  std::string name, zone;
  int cell = 0, port = 0, listener = -1;
  bool listed = true, draining = false;
  Millis startedUnix = 0;
  Millis setUpTime = 20;
  std::map<std::string, Standing> sessions;   // by call
  std::vector<std::string> releasesToRepeat;  // to be sent on the next connection opened as well
  std::vector<Wire*> wires;                   // oldest first
  std::vector<int> fillers;                   // connections that keep the queue of a vanished machine full
  int offers = 0;
  std::string linkUse = "0.30";  // as reported
  std::string delivered;         // share that is told once a second, while it is below 0.98
  std::string noAnswerTo;  // the answer to this call never arrives, nor what follows it on its connection
};

// Writes the name server's answers.
class DnsWriter {
 public:
  static std::string answer(const unsigned char* query, std::uint32_t serial,
                            const std::vector<const MediaNode*>& nodes) {
    DnsWriter w;
    w.put16(static_cast<unsigned>(query[0] << 8 | query[1]));
    w.put16(0x8400);
    w.put16(1);
    w.put16(static_cast<unsigned>(nodes.size()));
    w.put16(1);
    w.put16(static_cast<unsigned>(2 * nodes.size()));
    const std::string service = "_api._tcp.svc.local";
    w.name(service);
    w.put16(33);
    w.put16(1);
    for (const MediaNode* node : nodes)
      w.record(service, 33, [&] {
        w.put16(node->draining ? 1 : 0);
        w.put16(10);
        w.put16(static_cast<unsigned>(node->port));
        w.name(node->name + "." + node->zone + ".hosts");
      });
    w.record("svc.local", 6, [&] {
      w.name("ns.svc.local");
      w.name("admin.svc.local");
      w.put32(serial);
      for (int i = 0; i < 4; ++i) w.put32(1);
    });
    for (const MediaNode* node : nodes) {
      const std::string host = node->name + "." + node->zone + ".hosts";
      w.record(host, 1, [&] { w.put32(INADDR_LOOPBACK); });
      w.record(host, 16, [&] {
        for (const std::string& text : {std::string("kind=two-core"), "cell=" + std::to_string(node->cell),
                                        "started=" + std::to_string(node->startedUnix)})
          w.bytes_ += static_cast<char>(text.size()) + text;
      });
    }
    return w.bytes_;
  }

 private:
  void put16(unsigned value) {
    bytes_ += static_cast<char>(value >> 8 & 0xff);
    bytes_ += static_cast<char>(value & 0xff);
  }
  void put32(std::uint32_t value) {
    put16(value >> 16);
    put16(value & 0xffff);
  }
  void name(const std::string& text) {
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t dot = std::min(text.find('.', at), text.size());
      bytes_ += static_cast<char>(dot - at) + text.substr(at, dot - at);
      at = dot + 1;
    }
    bytes_ += '\0';
  }
  template <class Data>
  void record(const std::string& owner, unsigned type, Data data) {
    name(owner);
    put16(type);
    put16(1);
    put32(1);
    const std::size_t at = bytes_.size();
    put16(0);
    data();
    const std::size_t size = bytes_.size() - at - 2;
    bytes_[at] = static_cast<char>(size >> 8);
    bytes_[at + 1] = static_cast<char>(size & 0xff);
  }
  std::string bytes_;
};

// The director, its surroundings and the loop that serves them.
class Stage {
 public:
  std::vector<std::unique_ptr<MediaNode>> nodes;
  std::map<std::string, Call> calls;
  bool nameServerSilent = false;
  std::uint32_t serial = 1;
  Millis reportInterval = 4'000;

  std::function<void(MediaNode&, const std::string&)> onStanding;  // a session has begun to stand

  Stage() : began_(steadyNow()) {
    const char* file = std::getenv("RECORD");
    record_ = std::fopen(file != nullptr ? file : "record.txt", "w");
    if (record_ == nullptr) throw CannotRun("the record cannot be written");
    nameServer_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in any = loopback(0);
    if (bind(nameServer_, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0)
      throw CannotRun("no port for the name server");
    at(reportInterval, [this] { reportAll(); });
    at(1'000, [this] { reportDelivery(); });
  }
  ~Stage() {
    if (director_ > 0) kill(director_, SIGKILL), waitpid(director_, nullptr, 0);
    std::fclose(record_);
  }
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  Millis now() const { return steadyNow() - began_; }
  __attribute__((format(printf, 2, 3))) void note(const char* format, ...) {
    std::fprintf(record_, "%8.3f ", static_cast<double>(now()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_, format, arguments);
    va_end(arguments);
    std::fputc('\n', record_);
    std::fflush(record_);
  }
  void at(Millis delay, std::function<void()> action) { timers_.emplace(now() + delay, std::move(action)); }

  // ---- the platform ----

  MediaNode& addNode(const std::string& name, const std::string& zone = "hall") {
    nodes.push_back(std::make_unique<MediaNode>());
    MediaNode& node = *nodes.back();
    node.name = name;
    node.zone = zone;
    node.cell = static_cast<int>(nodes.size()) - 1;
    listenAt(node);
    return node;
  }
  void listenAt(MediaNode& node) {
    node.listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(node.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(node.port);
    if (bind(node.listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(node.listener, 128) != 0)
      throw CannotRun("no port for a media node");
    node.port = portOf(node.listener);
  }
  void stopListening(MediaNode& node) {
    close(node.listener);
    node.listener = -1;
  }

  // Starts the director with the command of the deploy file and waits until it passes a test.
  void start(const std::function<void(Json&)>& edit = nullptr) {
    const char* command = std::getenv("RUN_COMMAND");
    const char* folder = std::getenv("CASE_TMP");
    if (command == nullptr || folder == nullptr) throw CannotRun("RUN_COMMAND and CASE_TMP are not set");
    // Restarted directors keep their addresses.
    if (port_ == 0) {
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in any = loopback(0);
      if (bind(probe, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0)
        throw CannotRun("no port for the director");
      port_ = portOf(probe);
      close(probe);
    }
    ready_ = false;
    Json json = configuration();
    if (edit) edit(json);
    const std::string file = std::string(folder) + "/config.json";
    std::ofstream(file) << json.dump();
    const std::string listenAddress = "127.0.0.1:" + std::to_string(port_);
    director_ = fork();
    if (director_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("LB_CONFIG", file.c_str(), 1);
      setenv("LB_NAME", "n0", 1);
      setenv("LB_LISTEN", listenAddress.c_str(), 1);
      const int log = open((std::string(folder) + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
      _exit(127);
    }
    note("director started");
    const Millis until = now() + 10'000;
    while (now() < until && !ready_) {
      Wire* wire = openViewer("front");
      if (wire != nullptr) {
        write(*wire, {{"op", "test"}, {"call", newId()}, {"with", Json::object()}, {"why", 0}});
        runUntil([&] { return ready_; }, 1'000);
        drop(*wire);
      }
      run(50);
    }
    if (!ready_) throw CannotRun("the director does not pass a test");
  }
  // A planned restart begins: SIGTERM to the program. Returns once it has ended.
  void stop() {
    note("SIGTERM to the director");
    kill(director_, SIGTERM);
    if (!runUntil([&] { return !directorRuns(); }, 3'700)) throw CannotRun("the director does not end");
    note("the director has ended");
  }
  bool directorRuns() {
    if (director_ > 0 && waitpid(director_, nullptr, WNOHANG) == director_) director_ = -1;
    return director_ > 0;
  }

  // ---- viewers ----

  std::string newId() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", 0x5a00000000000000ULL + ++lastId_);
    return text;
  }
  Wire* openViewer(const std::string& name, bool usual = true) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port_);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return nullptr;
    }
    Wire& wire = addWire(fd, name + "-" + std::to_string(++lastWire_));
    wire.usual = usual;
    note("%s connects to the director", wire.name.c_str());
    return &wire;
  }
  // Sends a set-up and returns its id.
  std::string ask(Wire& wire, const std::string& room, const std::string& title, Millis left,
                  const std::function<void(Json&)>& edit = nullptr) {
    const std::string id = newId();
    char viewer[17];
    std::snprintf(viewer, sizeof viewer, "%016llx", static_cast<unsigned long long>(0xb000 + lastId_));
    Json message = {{"op", "offer"},
                    {"call", id},
                    {"with",
                     {{"class", room},
                      {"left", std::to_string(left)},
                      {"key", title},
                      {"hint", "40000.0"},
                      {"extras", "home:0;copies:" + std::to_string(nodes.size()) +
                                     ";top:2;viewer:" + std::string(viewer)}}},
                    {"desc", id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"}};
    if (edit) edit(message);
    Call& call = calls[id];
    call.id = id;
    call.room = room;
    call.title = title;
    call.wire = wire.name;
    call.askedAt = now();
    offers_[id] = message;
    write(wire, message);
    return id;
  }
  // A viewer names a session that plays at a media node already to a director that has just started.
  void nameAgain(Wire& wire, const std::string& id, const std::string& node) {
    Json message = offers_.at(id);
    message["with"]["extras"] = message["with"]["extras"].get<std::string>() + ";at:" + node;
    calls[id].wire = wire.name;
    write(wire, message);
  }
  // A viewer ends its session, or takes its request back.
  void leave(Wire& wire, const std::string& id) {
    calls[id].leftAt = now();
    write(wire, {{"op", "end"}, {"call", id}, {"with", Json::object()}, {"why", 16}});
  }
  // Asks and waits for the answer.
  Call& askAndWait(Wire& wire, const std::string& room, const std::string& title, Millis left) {
    const std::string id = ask(wire, room, title, left);
    runUntil([&] { return !calls[id].answer.empty(); }, left + 100);
    return calls[id];
  }

  // ---- media nodes ----

  // A session comes to its end at its media node.
  void finish(MediaNode& node, const std::string& id) {
    const auto it = node.sessions.find(id);
    if (it == node.sessions.end()) throw CannotRun("a session to be ended does not stand");
    Wire* wire = it->second.wire;
    node.sessions.erase(it);
    note("session %s comes to its end at %s", id.c_str(), node.name.c_str());
    node.releasesToRepeat.push_back(id);
    if (wire = openWireOf(node, wire); wire != nullptr) write(*wire, release(id));
  }
  // The machine vanishes: its sessions are over, open connections stay open and silent, and new ones never
  // come up. The queue of its listening socket is kept full for that.
  void vanish(MediaNode& node) {
    note("%s vanishes with %zu standing sessions", node.name.c_str(), node.sessions.size());
    node.sessions.clear();
    node.releasesToRepeat.clear();
    for (Wire* wire : node.wires) wire->forgotten = true;
    listen(node.listener, 0);
    const sockaddr_in address = loopback(node.port);
    for (int i = 0; i < 8; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
      node.fillers.push_back(fd);
    }
    vanished_.push_back(&node);
  }
  // It returns as a new process, which knows nothing of the old one's sessions and connections.
  void comeBack(MediaNode& node) {
    note("%s is back, as a new process", node.name.c_str());
    for (const int fd : node.fillers) close(fd);
    node.fillers.clear();
    std::erase(vanished_, &node);
    for (Wire* wire : node.wires) wire->resetOnData = true;
    node.startedUnix = unixNow();
    listen(node.listener, 128);
  }
  // The node forgets its idle connections: what arrives on them later is answered with a reset.
  void forgetConnections(MediaNode& node) {
    for (Wire* wire : node.wires) {
      if (!wire->open() || wire->forgotten) continue;
      note("%s forgets its connection %s", node.name.c_str(), wire->name.c_str());
      wire->forgotten = wire->resetOnData = true;
    }
  }
  // The connection on which a media node works on a set-up; null: none does.
  Wire* pendingOn(const std::string& id) const {
    const auto it = pending_.find(id);
    return it == pending_.end() ? nullptr : it->second;
  }
  std::size_t standing(const std::string& title) const {
    std::size_t count = 0;
    for (const auto& node : nodes)
      for (const auto& [id, session] : node->sessions) count += session.title == title;
    return count;
  }

  // ---- the loop ----

  void drop(Wire& wire, bool reset = false) {
    if (!wire.open()) return;
    if (reset) {
      const linger onClose{1, 0};
      setsockopt(wire.fd, SOL_SOCKET, SO_LINGER, &onClose, sizeof onClose);
    }
    note("%s is %s", wire.name.c_str(), reset ? "reset" : "closed");
    close(wire.fd);
    wire.fd = -1;
  }
  bool write(Wire& wire, const Json& message) {
    if (!wire.open() || wire.forgotten) return false;
    const std::string line = message.dump() + "\n";
    note("%s > %s%s", wire.name.c_str(), line.substr(0, line.size() - 1).c_str(),
         wire.mute ? " (never arrives)" : "");
    if (wire.mute) return true;
    return send(wire.fd, line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size());
  }
  void run(Millis duration) {
    runUntil([] { return false; }, duration);
  }
  // Returns whether the condition came true in time.
  bool runUntil(const std::function<bool()>& condition, Millis longest) {
    const Millis until = now() + longest;
    while (!condition()) {
      if (now() >= until) return false;
      turn(until);
    }
    return true;
  }

 private:
  static Json release(const std::string& id) {
    return {{"op", "end"}, {"call", id}, {"with", {{"load", "cpu:0.30;x1:0.20"}}}, {"why", 16}};
  }
  Wire& addWire(int fd, const std::string& name) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    nonBlocking(fd);
    wires_.push_back(std::make_unique<Wire>());
    wires_.back()->fd = fd;
    wires_.back()->name = name;
    wires_.back()->number = lastWire_;
    return *wires_.back();
  }
  // The connection of the set-up, otherwise any open one.
  Wire* openWireOf(MediaNode& node, Wire* preferred) {
    if (preferred != nullptr && preferred->open() && !preferred->forgotten) return preferred;
    for (auto it = node.wires.rbegin(); it != node.wires.rend(); ++it)
      if ((*it)->open() && !(*it)->forgotten) return *it;
    return nullptr;
  }
  void reportAll() {
    for (const auto& node : nodes)
      for (auto& [id, session] : node->sessions)
        if (Wire* wire = openWireOf(*node, session.wire); wire != nullptr) report(*node, *wire, id);
    at(reportInterval, [this] { reportAll(); });
  }
  // Once a second on one of the sessions there: the one on the newest connection.
  void reportDelivery() {
    for (const auto& node : nodes) {
      const auto newest = std::max_element(
          node->sessions.begin(), node->sessions.end(),
          [](const auto& a, const auto& b) { return a.second.wire->number < b.second.wire->number; });
      if (newest != node->sessions.end() && !node->delivered.empty())
        if (Wire* wire = openWireOf(*node, newest->second.wire); wire != nullptr)
          write(*wire, {{"op", "info"},
                        {"call", newest->first},
                        {"with", {{"note", "fill"}, {"value", node->delivered}}}});
    }
    at(1'000, [this] { reportDelivery(); });
  }
  void report(const MediaNode& node, Wire& wire, const std::string& id) {
    for (const char* kind : {"local", "upstream"})
      write(wire,
            {{"op", "info"},
             {"call", id},
             {"with", {{"note", kind}, {"value", kind == std::string("local") ? node.linkUse : "0.30"}}}});
  }
  void turn(Millis until) {
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
    std::vector<pollfd> polled{{nameServer_, POLLIN, 0}};
    std::vector<MediaNode*> listening;
    for (const auto& node : nodes) {
      const bool vanished = std::find(vanished_.begin(), vanished_.end(), node.get()) != vanished_.end();
      if (node->listener < 0 || vanished) continue;
      listening.push_back(node.get());
      polled.push_back({node->listener, POLLIN, 0});
    }
    std::vector<Wire*> read;
    for (const auto& wire : wires_)
      if (wire->open() && (!wire->forgotten || wire->resetOnData)) {
        read.push_back(wire.get());
        polled.push_back({wire->fd, POLLIN, 0});
      }
    Millis wait = until - now();
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
    if (poll(polled.data(), polled.size(), static_cast<int>(std::max<Millis>(0, wait))) <= 0) return;
    if (polled[0].revents != 0) answerQuery();
    for (std::size_t i = 0; i < listening.size(); ++i)
      if (polled[1 + i].revents != 0) acceptAt(*listening[i]);
    for (std::size_t i = 0; i < read.size(); ++i)
      if (polled[1 + listening.size() + i].revents != 0) readFrom(*read[i]);
  }
  void answerQuery() {
    unsigned char query[512];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    if (recvfrom(nameServer_, query, sizeof query, 0, reinterpret_cast<sockaddr*>(&from), &size) < 12 ||
        nameServerSilent)
      return;
    std::vector<const MediaNode*> listed;
    for (const auto& node : nodes)
      if (node->listed) listed.push_back(node.get());
    const std::string answer = DnsWriter::answer(query, serial, listed);
    if (serial != lastSerialTold_)
      note("name server answers with list %u, %zu media nodes", serial, listed.size());
    lastSerialTold_ = serial;
    sendto(nameServer_, answer.data(), answer.size(), 0, reinterpret_cast<const sockaddr*>(&from), size);
  }
  void acceptAt(MediaNode& node) {
    const int fd = accept4(node.listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    Wire& wire = addWire(fd, node.name + "/" + std::to_string(++lastWire_));
    wire.node = &node;
    node.wires.push_back(&wire);
    note("%s accepts connection %s", node.name.c_str(), wire.name.c_str());
    for (const std::string& id : std::exchange(node.releasesToRepeat, {})) write(wire, release(id));
  }
  void readFrom(Wire& wire) {
    if (wire.forgotten) return drop(wire, true);
    char bytes[16384];
    const ssize_t size = recv(wire.fd, bytes, sizeof bytes, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) {
      note("%s was closed by the director", wire.name.c_str());
      close(wire.fd);
      wire.fd = -1;
      return;
    }
    wire.input.append(bytes, static_cast<std::size_t>(size));
    for (std::size_t end; (end = wire.input.find('\n')) != std::string::npos;) {
      const std::string line = wire.input.substr(0, end);
      wire.input.erase(0, end + 1);
      note("%s < %s", wire.name.c_str(), line.c_str());
      const Json message = Json::parse(line, nullptr, false);
      if (!message.is_object()) throw CannotRun("the director sent what is no message");
      if (wire.node != nullptr)
        atNode(*wire.node, wire, message);
      else
        atViewer(wire, message);
    }
  }
  void atViewer(Wire& wire, const Json& message) {
    const std::string op = message.at("op"), id = message.at("call");
    if (op == "tested") ready_ = ready_ || message.value("why", 0) == 1;
    const auto it = calls.find(id);
    if (it == calls.end()) return;
    Call& call = it->second;
    if (op == "accept" && call.answer.empty()) call.answer = "served", call.answeredAt = now();
    if (op != "end") return;
    const int why = message.value("why", 0);
    if (call.answer.empty()) {
      call.answer = why == 34 || why == 42 || why == 102 ? "throttled" : "failed";
      call.why = why;
      call.answeredAt = now();
      return;
    }
    ++call.releases;
    call.releasedAt = now();
    call.releasedOn = wire.name;
    if (wire.usual) write(wire, {{"op", "ended"}, {"call", id}, {"with", Json::object()}});
  }
  void atNode(MediaNode& node, Wire& wire, const Json& message) {
    const std::string op = message.at("op"), id = message.at("call");
    if (op == "offer") {
      ++node.offers;
      const Json with = message.at("with");
      pending_[id] = &wire;
      at(node.setUpTime, [this, &node, &wire, id, room = with.value("class", std::string()),
                          title = with.value("key", std::string())] {
        // Given up, or its connection has closed.
        if (const auto it = pending_.find(id); it == pending_.end() || it->second != &wire) return;
        pending_.erase(id);
        if (!wire.open() || wire.forgotten) return;
        if (node.noAnswerTo == id) {
          note("the answer to %s never arrives, and %s can no longer be used", id.c_str(), wire.name.c_str());
          wire.mute = true;
        }
        node.sessions[id] = {room, title, &wire, now()};
        write(wire,
              {{"op", "accept"}, {"call", id}, {"with", Json::object()}, {"desc", "answer " + id + "\r\n"}});
        report(node, wire, id);
        if (onStanding) onStanding(node, id);
      });
    }
    if (op == "end") {
      pending_.erase(id);
      if (node.sessions.erase(id) != 0) {
        note("session %s is cut at %s by the director", id.c_str(), node.name.c_str());
        write(wire, {{"op", "ended"}, {"call", id}, {"with", Json::object()}});
      }
    }
    if (op == "test")
      write(wire, {{"op", "tested"}, {"call", id}, {"with", {{"load", "cpu:0.30;x1:0.20"}}}, {"why", 1}});
  }
  // A small deployment: two halls' worth of classes, three racks, limits and rules like those of the
  // operators' sites.
  Json configuration() const {
    Json endpoints = Json::array();
    for (const auto& node : nodes)
      if (node->listed)
        endpoints.push_back({{"name", node->name},
                             {"address", "127.0.0.1:" + std::to_string(node->port)},
                             {"zone", node->zone},
                             {"type", "two-core"},
                             {"group", node->cell},
                             {"status", node->draining ? "draining" : "up"},
                             {"weight", 1},
                             {"since_ms", node->startedUnix}});
    const auto room = [](const char* name, const char* effect, double aim, double deadline, double points) {
      return Json{
          {"name", name},     {"effect", effect}, {"aimNs", aim * 1e9},  {"deadlineNs", deadline * 1e9},
          {"points", points}, {"streamed", true}, {"dedupScope", "all"}, {"windowNs", deadline * 1e9}};
    };
    const Json settings = {
        {"balancers", 1},
        {"ordinal", 0},
        {"myZone", "hall"},
        {"discovery", "pushed"},
        {"machineTypes", {"two-core"}},
        {"classes", {room("clip", "repeatable", 1, 4, 1), room("paid", "once", 1.5, 3, 3)}},
        {"domain",
         {{"cells", nodes.size()},
          {"cabinets", 1},
          {"ladderKb", {160, 400, 900}},
          {"levelWorth", {0.3, 0.6, 1.0}},
          {"classTop", {2, 2}},
          {"floorByClass", {0, 0}},
          {"rateFactor", {1.0, 1.0}},
          {"seats", {0, 3}},
          {"placesByKind", {40}},
          {"live", {false, false}},
          {"joinAdds", 1.0},
          {"refusesFrom", 0.0},
          {"weightKb", 9000},
          {"allLinksKb", 9000 * nodes.size()},
          {"rackKb", 9000 * nodes.size()},
          {"reportsEveryNs", reportInterval * 1'000'000},
          {"seenAfterNs", 600'000'000},
          {"switchS", 0.5}}},
        {"limits",
         {{"maxAttempts", 4},
          {"retryAfter", true},
          {"cancelling", true},
          {"probes", true},
          {"secondCopies", false},
          {"idleCloseNs", 30'000'000'000},
          {"maxRetryAfterNs", 500'000'000},
          {"connectTimeoutNs", 250'000'000}}},
        {"rules",
         {{"answerSlackNs", 40'000'000},
          {"coldNs", 12'000'000'000},
          {"fallNs", 2'000'000'000},
          {"overloadFactor", 4.0},
          {"startCapacity", 0.4},
          {"stopSendingWithinNs", 2'000'000'000}}},
        {"stats", {{"fields", {"cpu", "x1"}}, {"how", "piggyback"}}}};
    return {{"name", "n0"},
            {"listen", "127.0.0.1:" + std::to_string(port_)},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"resolver", "127.0.0.1:" + std::to_string(portOf(nameServer_))},
            {"known",
             {{"n", serial},
              {"events",
               {{{"n", serial},
                 {"members", {{"index", serial}, {"snapshot", true}, {"endpoints", endpoints}}}}}}}},
            {"settings", settings}};
  }

  Millis began_;
  FILE* record_;
  int nameServer_ = -1, port_ = 0;
  pid_t director_ = -1;
  bool ready_ = false;
  unsigned long long lastId_ = 0;
  int lastWire_ = 0;
  std::uint32_t lastSerialTold_ = 0;
  std::multimap<Millis, std::function<void()>> timers_;
  std::vector<std::unique_ptr<Wire>> wires_;
  std::map<std::string, Json> offers_;    // the set-ups as they were sent
  std::map<std::string, Wire*> pending_;  // set-ups that a media node works on
  std::vector<MediaNode*> vanished_;
};

}  // namespace review
