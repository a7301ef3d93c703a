// Tests of a director as a process. Players and media nodes are sockets driven by each test; some tests use
// the client library as the player.
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <thread>

#include "director/admin.h"
#include "grpc/transport.h"
#include "media/rtsp.h"
#include "net/tls.h"
#include "session/session_client.h"
#include "websocket/handshake.h"
#include "websocket/transport.h"

using namespace lupinsill;

namespace {

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}
void sleepMs(int n) { std::this_thread::sleep_for(std::chrono::milliseconds(n)); }

// A player's socket on which a test writes WebSocket bytes directly, valid or not.
struct RawClient {
  int fd = -1;
  explicit RawClient(int port) {
    fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  ~RawClient() { close(fd); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  void send(const std::string& bytes) const {
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  // Returns the bytes received until `done` returns true, the peer closes, or 5 s have passed.
  template <class Done>
  std::string read(Done done) const {
    std::string received;
    for (int i = 0; i < 100 && !done(received); ++i) {
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      char buffer[4096];
      const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) break;
      received.append(buffer, static_cast<std::size_t>(n));
    }
    return received;
  }
  void openWebSocket() const {
    send(websocket::handshakeRequest("x", websocket::generateKey()));
    REQUIRE(read([](const std::string& s) { return contains(s, "hello"); }).starts_with("HTTP/1.1 101"));
  }
  static std::string frame(const std::string& text, char opcode = '\x81') {
    std::string out(1, opcode);
    if (text.size() < 126) {
      out += static_cast<char>(0x80 | text.size());
    } else {
      out += static_cast<char>(0x80 | 126);
      out += static_cast<char>(text.size() >> 8);
      out += static_cast<char>(text.size() & 255);
    }
    return out + std::string(4, '\0') + text;  // an all-zero masking key is valid
  }
  // The close code that the director sends; 0 if it closes the connection without one.
  int closeCode() const {
    const std::string received =
        read([](const std::string& s) { return s.size() >= 4 && s.find('\x88') != std::string::npos; });
    const std::size_t at = received.find('\x88');
    if (at == std::string::npos || at + 3 >= received.size()) return 0;
    return static_cast<unsigned char>(received[at + 2]) * 256 + static_cast<unsigned char>(received[at + 3]);
  }
};

// A director process on settings and a node list in a folder of its own.
struct Director {
  std::string folder;
  pid_t pid = 0;
  int players = 0, admin = 0, grpc = 0;
  rlim_t maxFileBytes = 0;  // limit on the size of files that the next run writes; 0: none

  explicit Director(const std::string& nodes = "", const std::string& limits = "<limits/>",
                    const std::string& tls = "") {
    std::string pattern = std::filesystem::temp_directory_path() / "lupinsill-director-XXXXXX";
    folder = mkdtemp(pattern.data());
    std::ifstream in(EXAMPLES "/small.xml");
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto replace = [&](const std::string& from, const std::string& to) {
      text.replace(text.find(from), from.size(), to);
    };
    replace("127.0.0.1:7400", "127.0.0.1:0");
    replace("127.0.0.1:7401", "127.0.0.1:0");
    replace("127.0.0.1:7402", "127.0.0.1:0");
    replace("<limits/>", limits);
    replace("<list ", tls + "<list ");
    if (!tls.empty()) certify("one");
    std::ofstream(folder + "/small.xml") << text;
    writeNodeList(1, nodes);
    start();
  }
  // Creates a self-signed certificate and key, and a copy of the certificate under `name`.
  void certify(const std::string& name) const {
    const std::string command =
        "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 "
        "-subj /CN=" +
        name + " -addext subjectAltName=IP:127.0.0.1 -keyout " + folder + "/key.pem -out " + folder +
        "/certificate.pem 2>/dev/null && cp " + folder + "/certificate.pem " + folder + "/" + name + ".pem";
    REQUIRE(std::system(command.c_str()) == 0);
  }
  void writeNodeList(int version, const std::string& nodes) const {
    std::ofstream(folder + "/next") << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"" << version << "\">"
                                    << nodes << "</nodes>";
    std::filesystem::rename(folder + "/next", folder + "/small-nodes.xml");
  }
  void start() {
    std::filesystem::remove(folder + "/ports");
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (maxFileBytes != 0) {
        // Simulates a full disk: with the signal ignored, writes past the limit fail with EFBIG.
        signal(SIGXFSZ, SIG_IGN);
        const rlimit limit{maxFileBytes, maxFileBytes};
        setrlimit(RLIMIT_FSIZE, &limit);
      }
      const std::string config = folder + "/small.xml", ports = folder + "/ports", log = folder + "/log";
      if (freopen(log.c_str(), "a", stderr) == nullptr) _exit(1);
      execl(PROGRAM, PROGRAM, "director", "--config", config.c_str(), "--ports", ports.c_str(), nullptr);
      _exit(127);
    }
    for (int i = 0; i < 400 && admin == 0; ++i) {
      sleepMs(25);
      std::ifstream in(folder + "/ports");
      std::string name;
      in >> name >> players >> name >> admin >> name >> grpc;
    }
    REQUIRE(admin != 0);
  }
  int end(int signal) {
    kill(pid, signal);
    return waitForExit();
  }
  // Waits until the process ends. Returns its exit code, or the negative number of the signal that ended it.
  int waitForExit() {
    int status = 0;
    waitpid(pid, &status, 0);
    pid = players = admin = grpc = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Makes the next run listen on the ports of this one, as in production.
  void keepPorts() const {
    std::ifstream in(folder + "/small.xml");
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    for (const auto& [name, port] : {std::pair{"players", players}, {"grpc", grpc}}) {
      const std::string from = std::string(name) + "=\"127.0.0.1:0";
      text.replace(text.find(from), from.size(), std::string(name) + "=\"127.0.0.1:" + std::to_string(port));
    }
    std::ofstream(folder + "/small.xml") << text;
  }
  ~Director() {
    if (pid != 0) end(SIGKILL);
    std::filesystem::remove_all(folder);
  }
  std::string adminPage(const std::string& path, const char* method = "GET") const {
    return director::sendAdminRequest({"127.0.0.1", admin}, method, path).body;
  }
  std::string log() const {
    std::ifstream in(folder + "/log");
    return std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  }
};

std::string playRequest(const std::string& id, const std::string& room = "recipe-clip") {
  return R"({"type":"ask","id":")" + id + R"(","key":"front-1:k","viewer":"v","title":"t","room":")" + room +
         R"("})";
}

// A media node that accepts one connection and is driven by the test.
struct Node {
  int listener, fd = -1, port;
  media::MessageParser reader;
  Node() {
    listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    listen(listener, 8);
    socklen_t size = sizeof at;
    getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  ~Node() {
    if (fd >= 0) close(fd);
    close(listener);
  }
  // The node's element in the node list.
  std::string entry() const {
    return "<node id=\"1\" address=\"127.0.0.1:" + std::to_string(port) +
           "\" kind=\"two-core\" zone=\"north\" cell=\"0\"/>";
  }
  // The next message that the director sends; empty after 5 s.
  media::Message next() {
    for (int i = 0; i < 100; ++i) {
      if (const auto message = reader.next()) return *message;
      pollfd p{fd < 0 ? listener : fd, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      if (fd < 0) {
        fd = accept(listener, nullptr, nullptr);
        continue;
      }
      char buffer[4096];
      const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) break;
      reader.feed({buffer, static_cast<std::size_t>(n)});
    }
    return {};
  }
  void answer(const media::Message& to, int status, const std::string& session = "") const {
    media::Message reply;
    reply.status = status;
    reply.headers = {{"CSeq", std::string(to.header("CSeq"))}};
    if (!session.empty()) reply.headers.emplace_back("Session", session);
    send(reply);
  }
  void send(const media::Message& message) const {
    const std::string bytes = message.serialize();
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
};

}  // namespace

TEST_CASE("Invalid frames, JSON and messages get their close codes, and other connections are unaffected") {
  Director d;
  RawClient bystander(d.players);
  bystander.openWebSocket();
  const auto closed = [&](const std::string& bytes) {
    RawClient s(d.players);
    s.openWebSocket();
    s.send(bytes);
    return s.closeCode();
  };
  CHECK(closed(RawClient::frame("{\"type\":")) == 1007);
  CHECK(closed(RawClient::frame("{\"type\":\"dance\"}")) == 1008);
  CHECK(closed(RawClient::frame("x", '\x82')) == 1003);
  CHECK(closed(RawClient::frame("\xff\xfe")) == 1007);
  CHECK(closed(RawClient::frame(std::string(5000, ' '))) == 1009);
  CHECK(closed("\x81\x05hello") == 1002);
  bystander.send(RawClient::frame(playRequest("a")));
  CHECK(contains(bystander.read([](const std::string& s) { return contains(s, "throttled"); }), "throttled"));
  RawClient http(d.players);
  http.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(contains(http.read([](const std::string& s) { return contains(s, "\r\n\r\n"); }), "400"));
  CHECK(d.end(SIGTERM) == 0);
}

// Guards against memory that grows by far more than the messages of clients that send them slowly.
TEST_CASE("A WebSocket message in too many fragments closes its connection and one in a few is read") {
  Director d;
  constexpr char continuation = '\x00', finalContinuation = '\x80', firstText = '\x01';
  RawClient usual(d.players);
  usual.openWebSocket();
  const std::string request = playRequest("a");
  usual.send(RawClient::frame(request.substr(0, 10), firstText));
  for (std::size_t at = 10; at < request.size(); at += 10) {
    usual.send(RawClient::frame("", '\x89'));  // pings may come between the fragments
    usual.send(RawClient::frame(request.substr(at, 10), continuation));
  }
  usual.send(RawClient::frame("", finalContinuation));
  CHECK(contains(usual.read([](const std::string& s) { return contains(s, "throttled"); }), "throttled"));
  RawClient abusive(d.players);
  abusive.openWebSocket();
  std::string bytes = RawClient::frame("{", firstText);
  for (int i = 0; i < 200; ++i) bytes += RawClient::frame(" ", continuation);
  abusive.send(bytes);
  CHECK(abusive.closeCode() == 1008);
}

// Guards against memory that is taken by many messages of one client that never end.
TEST_CASE("Unfinished gRPC messages of one connection are limited and the others go on") {
  Director d;
  const auto frame = [](char type, char flags, char stream, const std::string& payload) {
    const auto size = static_cast<unsigned>(payload.size());
    const std::string length{static_cast<char>(size >> 16), static_cast<char>(size >> 8 & 255),
                             static_cast<char>(size & 255)};
    return length + type + flags + std::string(3, '\0') + stream + payload;
  };
  const auto field = [](const std::string& name, const std::string& value) {
    return std::string(1, '\0') + static_cast<char>(name.size()) + name + static_cast<char>(value.size()) +
           value;
  };
  constexpr char data = 0, headers = 1, settings = 4, endHeaders = 4;
  RawClient client(d.grpc);
  client.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settings, 0, 0, ""));
  const std::string head = field(":method", "POST") + field(":scheme", "http") + field(":authority", "x") +
                           field(":path", "/lupinsill.session.v1.Sessions/Play") +
                           field("content-type", "application/grpc") + field("te", "trailers");
  // A message of 4,000 bytes of which the last ten are missing.
  const std::string unfinished = std::string("\0\0\0\x0f\xa0", 5) + std::string(3'990, 'x');
  for (char stream = 1; stream <= 15; stream = static_cast<char>(stream + 2)) {
    client.send(frame(headers, endHeaders, stream, head));
    client.send(frame(data, 0, stream, unfinished));
  }
  // The streams that the director has answered.
  const auto endedStreams = [](const std::string& bytes) {
    std::set<int> ended;
    for (std::size_t at = 0; at + 9 <= bytes.size();) {
      const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(bytes[at + i]); };
      if (byte(3) == headers) ended.insert(byte(8));
      at += 9 + static_cast<std::size_t>(byte(0) << 16 | byte(1) << 8 | byte(2));
    }
    return ended;
  };
  const std::string answers =
      client.read([&](const std::string& bytes) { return endedStreams(bytes).size() >= 4; });
  CHECK(endedStreams(answers) == std::set<int>{9, 11, 13, 15});
}

TEST_CASE("A connection over the limit is refused at once with a retry time") {
  Director d("", "<limits connections=\"2\"/>");
  RawClient a(d.players), b(d.players);
  a.openWebSocket();
  b.openWebSocket();
  RawClient c(d.players);
  const std::string received = c.read([](const std::string& s) { return contains(s, "\r\n\r\n"); });
  CHECK(contains(received, "503"));
  CHECK(contains(received, "Retry-After"));
}

TEST_CASE("A join is sent as pipelined SETUP and PLAY, and its end reaches the player") {
  Node node;
  Director d(node.entry());
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a")));
  const media::Message setUp = node.next(), play = node.next();
  CHECK(setUp.method == "SETUP");
  CHECK(play.method == "PLAY");
  CHECK(setUp.header("Pipelined-Requests") == play.header("Pipelined-Requests"));
  CHECK(setUp.header("Lupinsill-Ask") == "front-1%3Ak");
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "ticket"); }), "playing"));
  CHECK(contains(d.adminPage("/status"), "\"subscriptions\": 1"));
  CHECK(contains(d.adminPage("/metrics"), "lupinsill_answers_total{answer=\"playing\"} 1"));
  media::Message endOfStream;
  endOfStream.method = "PLAY_NOTIFY";
  endOfStream.uri = "*";
  endOfStream.headers = {{"CSeq", "1"}, {"Session", "s1"}, {"Notify-Reason", "end-of-stream"}};
  node.send(endOfStream);
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "ended"); }), "finished"));
  CHECK(node.next().status == 200);
}

// Guards against a Playing answer without a node: the address was looked up in the list when the answer was
// sent.
TEST_CASE("A join whose node leaves the list before its answer is answered with the node's address") {
  Node node;
  const std::string other = R"(<node id="2" address="127.0.0.1:1" kind="two-core" zone="north" cell="0"/>)";
  Director d(node.entry() + other);
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  const media::Message setUp = node.next(), play = node.next();
  d.writeNodeList(2, other);
  for (int i = 0; i < 100 && !contains(d.log(), "version=2"); ++i) sleepMs(50);
  REQUIRE(contains(d.log(), "version=2"));
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  const std::string answer = player.read([](const std::string& s) { return contains(s, "ticket"); });
  CHECK(contains(answer, "playing"));
  CHECK(contains(answer, "127.0.0.1:" + std::to_string(node.port)));
}

TEST_CASE("Invalid bytes from a node end its connection, and a paid join on it counts as possibly run") {
  Node node;
  Director d(node.entry());
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  node.next();
  ::send(node.fd, "HTTP/1.1 200 OK\r\n\r\n", 19, MSG_NOSIGNAL);
  const std::string received = player.read([](const std::string& s) { return contains(s, "reason"); });
  CHECK(contains(received, "terminated"));
  CHECK(contains(received, "may-have-run"));
}

TEST_CASE("A paid key of another director causes no join, and one without a director is rejected") {
  Node node;
  Director d(node.entry());
  RawClient player(d.players);
  player.openWebSocket();
  std::string text = playRequest("a", "paid-class");
  text.replace(text.find("front-1:"), 8, "front-2:");
  player.send(RawClient::frame(text));
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "reason"); }), "elsewhere"));
  text.replace(text.find("front-2:"), 8, "");
  player.send(RawClient::frame(text));
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "reason"); }), "error"));
  pollfd p{node.listener, POLLIN, 0};
  CHECK(poll(&p, 1, 200) == 0);
}

TEST_CASE("A paid join refused by its only node is throttled, and REDIRECT marks a node as draining") {
  Node node;
  Director d(node.entry());
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  const media::Message setUp = node.next();
  node.next();
  node.answer(setUp, 453);
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "reason"); }), "throttled"));
  media::Message redirect;
  redirect.method = "REDIRECT";
  redirect.uri = "*";
  redirect.headers = {{"CSeq", "1"}};
  node.send(redirect);
  CHECK(node.next().status == 200);
  CHECK(contains(d.adminPage("/nodes"), "draining"));
}

TEST_CASE("A reload rejects changes that need a restart and invalid files, and keeps the old settings") {
  Director d;
  std::ifstream in(d.folder + "/small.xml");
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  text.replace(text.find("grace=\"2s\""), 10, "grace=\"3s\"");
  std::ofstream(d.folder + "/small.xml") << text;
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !contains(d.log(), "reload-refused"); ++i) sleepMs(20);
  CHECK(contains(d.log(), "reload-refused needs a restart=rules"));
  std::ofstream(d.folder + "/small.xml") << "<lupinsill";
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !contains(d.log(), "why="); ++i) sleepMs(20);
  CHECK(contains(d.adminPage("/status"), "\"draining\": false"));
}

TEST_CASE("After a kill the director starts from its saved node list although the list file is missing") {
  Node node;
  Director d(node.entry());
  for (int i = 0; i < 100 && !std::filesystem::exists(d.folder + "/small-nodes.kept.xml"); ++i) sleepMs(20);
  CHECK(d.end(SIGKILL) == -SIGKILL);
  std::filesystem::remove(d.folder + "/small-nodes.xml");
  d.start();
  CHECK(contains(d.adminPage("/nodes"), std::to_string(node.port)));
  // A truncated list is rejected, is reported in the status and changes nothing.
  std::ofstream(d.folder + "/small-nodes.xml")
      << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"9\"><node id=";
  for (int i = 0; i < 100 && !contains(d.adminPage("/status"), "complaint"); ++i) sleepMs(20);
  CHECK(contains(d.adminPage("/status"), "complaint"));
  CHECK(contains(d.adminPage("/nodes"), std::to_string(node.port)));
}

TEST_CASE("A drain throttles new requests, lets subscriptions play on, and then ends the process") {
  Node node;
  Director d(node.entry());
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a")));
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  player.read([](const std::string& s) { return contains(s, "playing"); });
  d.adminPage("/drain", "POST");
  player.send(RawClient::frame(playRequest("b")));
  const std::string refusal = player.read([](const std::string& s) { return contains(s, "throttled"); });
  CHECK(contains(refusal, "draining"));
  CHECK(contains(refusal, "retryAfterMs"));
  player.send(RawClient::frame("{\"type\":\"leave\",\"id\":\"a\"}"));
  CHECK(node.next().method == "TEARDOWN");
  CHECK(d.waitForExit() == 0);
}

namespace {

void runLoop(event_base* base, int ms, const std::function<bool()>& done) {
  for (int i = 0; i < ms / 10 && !done(); ++i) {
    const timeval wait{0, 10'000};
    event_base_loopexit(base, &wait);
    event_base_dispatch(base);
  }
}

// A player that uses the client library.
struct ClientPlayer {
  net::EventBase base{event_base_new()};
  client::SessionClient client;
  client::SubscriptionResult result;
  int results = 0, ends = 0;
  std::string end;
  client::RequestId requestId = 0;
  explicit ClientPlayer(std::vector<int> ports, bool grpc = false)
      : client(base.get(), grpc ? client::makeGrpc(base.get()) : client::makeWebSocket(base.get()), at(ports),
               retryPolicy(), 3) {}
  static std::vector<client::DirectorEndpoint> at(const std::vector<int>& ports) {
    std::vector<client::DirectorEndpoint> list;
    for (const int port : ports) list.push_back({"127.0.0.1:" + std::to_string(port), "here"});
    return list;
  }
  static client::RetryPolicy retryPolicy() {
    client::RetryPolicy policy;
    policy.zone = "here";
    return policy;
  }
  void request(const std::string& room, client::Micros timeout = 20'000'000) {
    client::SubscriptionRequest clientRequest{"v", "t", room, room == "paid-class"};
    clientRequest.timeout = timeout;
    requestId = client.subscribe(
        clientRequest,
        [this](client::RequestId, const client::SubscriptionResult& answer) { result = answer, ++results; },
        [this](client::RequestId, const std::string& why, client::Micros) { end = why, ++ends; });
  }
  void until(const std::function<bool()>& done) { runLoop(base.get(), 15'000, done); }
};

}  // namespace

TEST_CASE(
    "Client library: a paid request is not set up again after its director is killed before the answer") {
  Node node;
  Director d(node.entry());
  d.keepPorts();
  const bool grpc = GENERATE(false, true);

  ClientPlayer player({grpc ? d.grpc : d.players}, grpc);
  player.request("paid-class");
  // The join has reached its node, but the director is killed before it can answer.
  std::thread loop([&] { player.until([&] { return player.results > 0; }); });
  const media::Message setUp = node.next();
  CHECK(setUp.method == "SETUP");
  node.next();
  CHECK(d.end(SIGKILL) == -SIGKILL);
  close(node.fd);
  node.fd = -1;
  node.reader = media::MessageParser();
  d.start();
  loop.join();
  REQUIRE(player.results == 1);
  CHECK(player.result.result == client::Result::terminated);
  CHECK(player.result.reason == "may-have-run");
  // No second SETUP arrives.
  pollfd p{node.listener, POLLIN, 0};
  CHECK(poll(&p, 1, 300) == 0);
}

TEST_CASE("Client library: a request plays and is left, past a director that is not running") {
  Node node;
  Director d(node.entry());
  int deadPort = 0;
  {
    const Node stopped;
    deadPort = stopped.port;
  }
  const bool grpc = GENERATE(false, true);
  ClientPlayer player({deadPort, grpc ? d.grpc : d.players}, grpc);
  player.request("recipe-clip");
  std::thread loop([&] { player.until([&] { return player.results > 0; }); });
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  loop.join();
  REQUIRE(player.results == 1);
  CHECK(player.result.result == client::Result::playing);
  CHECK_FALSE(player.result.ticket.empty());
  player.client.leave(player.requestId);
  runLoop(player.base.get(), 200, [] { return false; });
  CHECK(node.next().method == "TEARDOWN");
}

TEST_CASE("Client library: with no director reachable, a request fails before its timeout") {
  int deadPort = 0;
  {
    const Node stopped;
    deadPort = stopped.port;
  }
  ClientPlayer player({deadPort}, GENERATE(false, true));
  player.request("paid-class", 5'000'000);
  player.until([&] { return player.results > 0; });
  REQUIRE(player.results == 1);
  CHECK(player.result.result == client::Result::unreachable);
}

TEST_CASE("Repeats of a paid request over the other protocol are answered from the first join") {
  Node node;
  Director d(node.entry());
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  const media::Message setUp = node.next(), play = node.next();
  // The repeats are sent while the first join is in flight; then the socket of the first request is closed.
  const net::EventBase base(event_base_new());
  struct Handler final : client::LinkHandler {
    std::unique_ptr<client::Link> link;
    std::vector<session_api::AnswerMessage> answers;
    void onHello(const std::string&) override {
      session_api::PlayMessage message;
      message.key = "front-1:k", message.viewer = "v", message.title = "t", message.room = "paid-class";
      link->sendPlay(message);
    }
    void onAnswer(const session_api::AnswerMessage& answer) override { answers.push_back(answer); }
    void onLost(bool) override {}
  };
  // Twenty simultaneous repeats on one connection.
  const auto transport = client::makeGrpc(base.get());
  std::vector<Handler> handlers(20);
  for (Handler& handler : handlers)
    handler.link = transport->open("127.0.0.1:" + std::to_string(d.grpc), 3'000'000, handler);
  runLoop(base.get(), 300, [] { return false; });
  shutdown(player.fd, SHUT_RDWR);
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  const auto allAnswered = [&] {
    return std::all_of(handlers.begin(), handlers.end(),
                       [](const Handler& handler) { return !handler.answers.empty(); });
  };
  runLoop(base.get(), 5000, allAnswered);
  REQUIRE(allAnswered());
  for (const Handler& handler : handlers) {
    CHECK(handler.answers.size() == 1);
    CHECK(handler.answers[0].kind == session_api::AnswerKind::playing);
    CHECK(handler.answers[0].subscription == handlers[0].answers[0].subscription);
  }
  CHECK(contains(d.adminPage("/metrics"), "lupinsill_joins_total{join=\"first\"} 1"));
  // The subscription goes on for the others when one of them leaves.
  handlers[0].link->leave();
  runLoop(base.get(), 200, [] { return false; });
  CHECK(contains(d.adminPage("/status"), "\"subscriptions\": 1"));
  handlers.clear();
}

TEST_CASE("A drain over gRPC ends no call, and each connection gets GOAWAY in two steps") {
  Node node;
  Director d(node.entry());
  // A connection without a call: it sends the HTTP/2 preface and an empty SETTINGS frame.
  RawClient idle(d.grpc);
  idle.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\4\0\0\0\0\0", 9));
  ClientPlayer player({d.grpc}, true);
  player.request("recipe-clip");
  std::thread loop([&] { player.until([&] { return player.results > 0; }); });
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  loop.join();
  REQUIRE(player.results == 1);
  d.adminPage("/drain", "POST");
  runLoop(player.base.get(), 1500, [] { return false; });
  CHECK(player.ends == 0);
  CHECK(contains(d.adminPage("/status"), "\"subscriptions\": 1"));
  const std::string bytes = idle.read([](const std::string&) { return false; });
  std::vector<unsigned> goaways;  // the last stream ID of each GOAWAY frame
  for (std::size_t at = 0; at + 9 <= bytes.size();) {
    const auto byte = [&](std::size_t i) {
      return static_cast<unsigned>(static_cast<unsigned char>(bytes[at + i]));
    };
    const std::size_t size = byte(0) << 16 | byte(1) << 8 | byte(2);
    if (byte(3) == 7) goaways.push_back(byte(9) << 24 | byte(10) << 16 | byte(11) << 8 | byte(12));
    at += 9 + size;
  }
  REQUIRE(goaways.size() >= 2);
  CHECK(goaways[0] == 0x7fffffff);  // shutdown notice: streams already on their way are still accepted
  CHECK(goaways[1] == 0);           // no stream was accepted
  player.client.leave(player.requestId);
  runLoop(player.base.get(), 300, [] { return false; });
  CHECK(node.next().method == "TEARDOWN");
  CHECK(d.waitForExit() == 0);
}

namespace {

// The result of a request to a director without nodes, from a player that trusts `authority`: throttled if
// the TLS handshake succeeds.
client::Result overTls(const Director& d, bool grpc, const std::string& authority) {
  const net::Tls tls(net::Tls::Side::client, {"", "", d.folder + "/" + authority + ".pem"},
                     grpc ? "h2" : "http/1.1");
  const net::Connect connect = [&](event_base* base, const std::string& host, int port) {
    return tls.connect(base, host, port);
  };
  const net::EventBase base(event_base_new());
  client::SessionClient client(
      base.get(), grpc ? client::makeGrpc(base.get(), connect) : client::makeWebSocket(base.get(), connect),
      ClientPlayer::at({grpc ? d.grpc : d.players}), ClientPlayer::retryPolicy(), 5);
  std::optional<client::Result> result;
  client::SubscriptionRequest clientRequest{"v", "t", "recipe-clip"};
  clientRequest.timeout = 2'000'000;
  client.subscribe(clientRequest, [&](client::RequestId, const client::SubscriptionResult& answer) {
    result = answer.result;
  });
  runLoop(base.get(), 6000, [&] { return result.has_value(); });
  REQUIRE(result.has_value());
  return *result;
}

}  // namespace

TEST_CASE("Players connect over TLS on both protocols, and a reload replaces the certificate") {
  Director d("", "<limits/>", "<tls certificate=\"certificate.pem\" key=\"key.pem\"/>");
  CHECK(overTls(d, false, "one") == client::Result::throttled);
  CHECK(overTls(d, true, "one") == client::Result::throttled);
  // A client without TLS gets no WebSocket connection and does not block others.
  RawClient plain(d.players);
  plain.send("GET / HTTP/1.1\r\n\r\n");
  CHECK_FALSE(contains(plain.read([](const std::string& s) { return contains(s, "HTTP"); }), "101"));
  d.certify("two");
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !contains(d.log(), "reloaded"); ++i) sleepMs(20);
  CHECK(overTls(d, false, "two") == client::Result::throttled);
  CHECK(overTls(d, true, "two") == client::Result::throttled);
  CHECK(overTls(d, false, "one") == client::Result::unreachable);
  // A certificate that does not match the key is rejected, and the previous certificates stay in use.
  std::filesystem::copy_file(d.folder + "/one.pem", d.folder + "/certificate.pem",
                             std::filesystem::copy_options::overwrite_existing);
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !contains(d.log(), "key values mismatch"); ++i) sleepMs(20);
  CHECK(contains(d.log(), "key.pem: key cannot be used"));
  CHECK(overTls(d, true, "two") == client::Result::throttled);
}

TEST_CASE("No join is sent to a media node that does not complete the TLS handshake") {
  Node node;  // without TLS
  Director d(node.entry(), "<limits/>", "<tls nodes-authority=\"certificate.pem\"/>");
  RawClient player(d.players);
  player.openWebSocket();
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  // The node answers the handshake with plain RTSP. The join was never sent, so the paid request is
  // throttled.
  for (int i = 0; i < 100 && node.fd < 0; ++i) {
    pollfd p{node.listener, POLLIN, 0};
    if (poll(&p, 1, 50) > 0) node.fd = accept(node.listener, nullptr, nullptr);
  }
  char hello[16];
  REQUIRE(recv(node.fd, hello, sizeof hello, 0) > 0);
  CHECK(hello[0] == 0x16);  // the record type of a TLS handshake
  ::send(node.fd, "RTSP/2.0 200 OK\r\n\r\n", 19, MSG_NOSIGNAL);
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "reason"); }), "throttled"));
}

TEST_CASE("With a full disk, paid requests are throttled without a join and repeatable ones go on") {
  Node node;
  Director d(node.entry());
  // The first commit marks the new ledger as possibly lost. A file without that commit is so small that a
  // paid request still fits under the size limit.
  const std::string firstCommit = "lupinsill_ledger_commits_total 1";
  for (int i = 0; i < 100 && !contains(d.adminPage("/metrics"), firstCommit); ++i) sleepMs(20);
  REQUIRE(contains(d.adminPage("/metrics"), firstCommit));
  CHECK(d.end(SIGKILL) == -SIGKILL);
  d.maxFileBytes = 12'288;
  d.start();
  RawClient player(d.players);
  player.openWebSocket();
  const auto start = std::chrono::steady_clock::now();
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  const std::string refusal = player.read([](const std::string& s) { return contains(s, "reason"); });
  CHECK(contains(refusal, "throttled"));
  CHECK(contains(refusal, "busy"));
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  for (int i = 0; i < 100 && !contains(d.log(), "ledger-failed"); ++i) sleepMs(20);
  CHECK(contains(d.log(), "ledger-failed"));
  // The capacity for new joins of a node is ramped up, so a repeatable request may first be throttled.
  pollfd connectionPending{node.listener, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&connectionPending, 1, 300) == 0; ++i)
    player.send(RawClient::frame(playRequest("b" + std::to_string(i))));
  const media::Message setUp = node.next(), play = node.next();
  CHECK(contains(setUp.uri, "recipe-clip"));  // no paid join was sent before it
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "ticket"); }), "playing"));
}

TEST_CASE(
    "A paid key repeated within its retention is not set up again, also after a restart, but is later") {
  Node node;
  Director d(node.entry());
  CHECK(d.end(SIGKILL) == -SIGKILL);
  std::ifstream in(d.folder + "/small.xml");
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  text.replace(text.find("<answers/>"), 10, "<answers key-memory=\"2s\"/>");
  std::ofstream(d.folder + "/small.xml") << text;
  d.start();
  RawClient player(d.players);
  player.openWebSocket();
  const auto answerTo = [&](const std::string& id) {
    player.send(RawClient::frame(playRequest(id, "paid-class")));
    return player.read([](const std::string& s) { return contains(s, "reason") || contains(s, "ticket"); });
  };
  player.send(RawClient::frame(playRequest("a", "paid-class")));
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  CHECK(contains(player.read([](const std::string& s) { return contains(s, "ticket"); }), "playing"));
  player.send(RawClient::frame("{\"type\":\"leave\",\"id\":\"a\"}"));
  CHECK(node.next().method == "TEARDOWN");
  CHECK(contains(answerTo("b"), "\"ended\""));
  // After a restart, the key is remembered for the rest of its retention.
  CHECK(d.end(SIGKILL) == -SIGKILL);
  close(node.fd);
  node.fd = -1;
  node.reader = media::MessageParser();
  d.start();
  RawClient secondPlayer(d.players);
  secondPlayer.openWebSocket();
  secondPlayer.send(RawClient::frame(playRequest("c", "paid-class")));
  CHECK(
      contains(secondPlayer.read([](const std::string& s) { return contains(s, "reason"); }), "terminated"));
  sleepMs(2500);
  pollfd connectionPending{node.listener, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&connectionPending, 1, 300) == 0; ++i)
    secondPlayer.send(RawClient::frame(playRequest("d" + std::to_string(i), "paid-class")));
  CHECK(node.next().method == "SETUP");
}
