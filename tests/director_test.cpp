// A director as a process, spoken to over plain sockets by a client and a node that are written by hand here.
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

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
void sleepMs(int n) { std::this_thread::sleep_for(std::chrono::milliseconds(n)); }

struct Socket {
  int fd = -1;
  explicit Socket(int port) {
    fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  ~Socket() { close(fd); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  void send(const std::string& bytes) const {
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  // What comes until `enough` says so, the peer closes, or five seconds pass.
  template <class Enough>
  std::string read(Enough enough) const {
    std::string got;
    for (int i = 0; i < 100 && !enough(got); ++i) {
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, 50) <= 0) continue;
      char buffer[4096];
      const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
      if (n <= 0) break;
      got.append(buffer, static_cast<std::size_t>(n));
    }
    return got;
  }
  void open() const {
    send(websocket::openingRequest("x", websocket::freshKey()));
    REQUIRE(read([](const std::string& s) { return has(s, "hello"); }).starts_with("HTTP/1.1 101"));
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
    return out + std::string(4, '\0') + text;  // a mask of zeros is a mask
  }
  // The close code that the director answers with; 0 where it closes without one.
  int closeCode() const {
    const std::string got =
        read([](const std::string& s) { return s.size() >= 4 && s.find('\x88') != std::string::npos; });
    const std::size_t at = got.find('\x88');
    if (at == std::string::npos || at + 3 >= got.size()) return 0;
    return static_cast<unsigned char>(got[at + 2]) * 256 + static_cast<unsigned char>(got[at + 3]);
  }
};

struct Director {
  std::string folder;
  pid_t pid = 0;
  int players = 0, admin = 0, grpc = 0;
  rlim_t fileMost = 0;  // bytes that the next run may write to a file; 0: no bound

  explicit Director(const std::string& nodes = "", const std::string& limits = "<limits/>",
                    const std::string& tls = "") {
    std::string made = std::filesystem::temp_directory_path() / "lupinsill-director-XXXXXX";
    folder = mkdtemp(made.data());
    std::ifstream in(EXAMPLES "/small.xml");
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto put = [&](const std::string& from, const std::string& to) {
      text.replace(text.find(from), from.size(), to);
    };
    put("127.0.0.1:7400", "127.0.0.1:0");
    put("127.0.0.1:7401", "127.0.0.1:0");
    put("127.0.0.1:7402", "127.0.0.1:0");
    put("<limits/>", limits);
    put("<list ", tls + "<list ");
    if (!tls.empty()) certify("one");
    std::ofstream(folder + "/small.xml") << text;
    list(1, nodes);
    start();
  }
  // A certificate that stands for itself, and is its own authority.
  void certify(const std::string& name) const {
    const std::string command =
        "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 "
        "-subj /CN=" +
        name + " -addext subjectAltName=IP:127.0.0.1 -keyout " + folder + "/key.pem -out " + folder +
        "/certificate.pem 2>/dev/null && cp " + folder + "/certificate.pem " + folder + "/" + name + ".pem";
    REQUIRE(std::system(command.c_str()) == 0);
  }
  void list(int version, const std::string& nodes) const {
    std::ofstream(folder + "/next") << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"" << version << "\">"
                                    << nodes << "</nodes>";
    std::filesystem::rename(folder + "/next", folder + "/small-nodes.xml");
  }
  void start() {
    std::filesystem::remove(folder + "/ports");
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (fileMost != 0) {
        // A disk that is full: writes past it fail with EFBIG, the signal being ignored.
        signal(SIGXFSZ, SIG_IGN);
        const rlimit most{fileMost, fileMost};
        setrlimit(RLIMIT_FSIZE, &most);
      }
      const std::string config = folder + "/small.xml", ports = folder + "/ports", log = folder + "/log";
      if (freopen(log.c_str(), "a", stderr) == nullptr) _exit(1);
      execl(PROGRAM, PROGRAM, "director", "--config", config.c_str(), "--ports", ports.c_str(), nullptr);
      _exit(127);
    }
    for (int i = 0; i < 400 && admin == 0; ++i) {
      sleepMs(25);
      std::ifstream in(folder + "/ports");
      std::string word;
      in >> word >> players >> word >> admin >> word >> grpc;
    }
    REQUIRE(admin != 0);
  }
  int end(int signal) {
    kill(pid, signal);
    return ended();
  }
  // Waits until it ends by itself.
  int ended() {
    int status = 0;
    waitpid(pid, &status, 0);
    pid = players = admin = grpc = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // The next run listens where this one did, as in service.
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
  std::string page(const std::string& path, const char* method = "GET") const {
    return director::askAdmin({"127.0.0.1", admin}, method, path).body;
  }
  std::string log() const {
    std::ifstream in(folder + "/log");
    return std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  }
};

std::string askText(const std::string& id, const std::string& room = "recipe-clip") {
  return R"({"type":"ask","id":")" + id + R"(","key":"front-1:k","viewer":"v","title":"t","room":")" + room +
         R"("})";
}

// A node that accepts one connection and is driven by the test.
struct Node {
  int listener, fd = -1, port;
  media::Reader reader;
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
  std::string entry() const {
    return "<node id=\"1\" address=\"127.0.0.1:" + std::to_string(port) +
           "\" kind=\"two-core\" zone=\"north\" cell=\"0\"/>";
  }
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
    const std::string bytes = message.bytes();
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
};

}  // namespace

TEST_CASE("Bad frames, bad JSON and bad messages get the close codes of the page, others are untouched") {
  Director d;
  Socket bystander(d.players);
  bystander.open();
  const auto closed = [&](const std::string& bytes) {
    Socket s(d.players);
    s.open();
    s.send(bytes);
    return s.closeCode();
  };
  CHECK(closed(Socket::frame("{\"type\":")) == 1007);
  CHECK(closed(Socket::frame("{\"type\":\"dance\"}")) == 1008);
  CHECK(closed(Socket::frame("x", '\x82')) == 1003);
  CHECK(closed(Socket::frame("\xff\xfe")) == 1007);
  CHECK(closed(Socket::frame(std::string(5000, ' '))) == 1009);
  CHECK(closed("\x81\x05hello") == 1002);
  bystander.send(Socket::frame(askText("a")));
  CHECK(has(bystander.read([](const std::string& s) { return has(s, "throttled"); }), "throttled"));
  Socket http(d.players);
  http.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(has(http.read([](const std::string& s) { return has(s, "\r\n\r\n"); }), "400"));
  CHECK(d.end(SIGTERM) == 0);
}

TEST_CASE("One connection over the limit is told so at once") {
  Director d("", "<limits connections=\"2\"/>");
  Socket a(d.players), b(d.players);
  a.open();
  b.open();
  Socket c(d.players);
  const std::string got = c.read([](const std::string& s) { return has(s, "\r\n\r\n"); });
  CHECK(has(got, "503"));
  CHECK(has(got, "Retry-After"));
}

TEST_CASE("A join goes out as SETUP and PLAY in one heap and its end comes back to the player") {
  Node node;
  Director d(node.entry());
  Socket player(d.players);
  player.open();
  player.send(Socket::frame(askText("a")));
  const media::Message setUp = node.next(), play = node.next();
  CHECK(setUp.method == "SETUP");
  CHECK(play.method == "PLAY");
  CHECK(setUp.header("Pipelined-Requests") == play.header("Pipelined-Requests"));
  CHECK(setUp.header("Lupinsill-Ask") == "front-1%3Ak");
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  CHECK(has(player.read([](const std::string& s) { return has(s, "ticket"); }), "playing"));
  CHECK(has(d.page("/status"), "\"subscriptions\": 1"));
  CHECK(has(d.page("/metrics"), "lupinsill_answers_total{answer=\"playing\"} 1"));
  media::Message over;
  over.method = "PLAY_NOTIFY";
  over.uri = "*";
  over.headers = {{"CSeq", "1"}, {"Session", "s1"}, {"Notify-Reason", "end-of-stream"}};
  node.send(over);
  CHECK(has(player.read([](const std::string& s) { return has(s, "ended"); }), "finished"));
  CHECK(node.next().status == 200);
}

TEST_CASE("Garbage from a node ends its connection; what was written there may have run") {
  Node node;
  Director d(node.entry());
  Socket player(d.players);
  player.open();
  player.send(Socket::frame(askText("a", "paid-class")));
  node.next();
  ::send(node.fd, "HTTP/1.1 200 OK\r\n\r\n", 19, MSG_NOSIGNAL);
  const std::string got = player.read([](const std::string& s) { return has(s, "reason"); });
  CHECK(has(got, "terminated"));
  CHECK(has(got, "may-have-run"));
}

TEST_CASE("A paid key that names another director sets nothing up; one that names none is no ask") {
  Node node;
  Director d(node.entry());
  Socket player(d.players);
  player.open();
  std::string text = askText("a", "paid-class");
  text.replace(text.find("front-1:"), 8, "front-2:");
  player.send(Socket::frame(text));
  CHECK(has(player.read([](const std::string& s) { return has(s, "reason"); }), "elsewhere"));
  text.replace(text.find("front-2:"), 8, "");
  player.send(Socket::frame(text));
  CHECK(has(player.read([](const std::string& s) { return has(s, "reason"); }), "error"));
  pollfd p{node.listener, POLLIN, 0};
  CHECK(poll(&p, 1, 200) == 0);
}

TEST_CASE("A paid join refused by its only node is throttled; REDIRECT from a node stops joins there") {
  Node node;
  Director d(node.entry());
  Socket player(d.players);
  player.open();
  player.send(Socket::frame(askText("a", "paid-class")));
  const media::Message setUp = node.next();
  node.next();
  node.answer(setUp, 453);
  CHECK(has(player.read([](const std::string& s) { return has(s, "reason"); }), "throttled"));
  media::Message redirect;
  redirect.method = "REDIRECT";
  redirect.uri = "*";
  redirect.headers = {{"CSeq", "1"}};
  node.send(redirect);
  CHECK(node.next().status == 200);
  CHECK(has(d.page("/nodes"), "draining"));
}

TEST_CASE("Settings that cannot be taken over are refused on reload, and the old ones stay") {
  Director d;
  std::ifstream in(d.folder + "/small.xml");
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  text.replace(text.find("grace=\"2s\""), 10, "grace=\"3s\"");
  std::ofstream(d.folder + "/small.xml") << text;
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !has(d.log(), "reload-refused"); ++i) sleepMs(20);
  CHECK(has(d.log(), "reload-refused needs a restart=rules"));
  std::ofstream(d.folder + "/small.xml") << "<lupinsill";
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !has(d.log(), "why="); ++i) sleepMs(20);
  CHECK(has(d.page("/status"), "\"draining\": false"));
}

TEST_CASE("After a kill the director starts from its last list, though the list itself is gone") {
  Node node;
  Director d(node.entry());
  for (int i = 0; i < 100 && !std::filesystem::exists(d.folder + "/small-nodes.kept.xml"); ++i) sleepMs(20);
  CHECK(d.end(SIGKILL) == -SIGKILL);
  std::filesystem::remove(d.folder + "/small-nodes.xml");
  d.start();
  CHECK(has(d.page("/nodes"), std::to_string(node.port)));
  // A list cut off in the middle is refused, said so, and changes nothing.
  std::ofstream(d.folder + "/small-nodes.xml")
      << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"9\"><node id=";
  for (int i = 0; i < 100 && !has(d.page("/status"), "complaint"); ++i) sleepMs(20);
  CHECK(has(d.page("/status"), "complaint"));
  CHECK(has(d.page("/nodes"), std::to_string(node.port)));
}

TEST_CASE("A drain refuses new asks at once, lets go on what plays, and then ends the process") {
  Node node;
  Director d(node.entry());
  Socket player(d.players);
  player.open();
  player.send(Socket::frame(askText("a")));
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  player.read([](const std::string& s) { return has(s, "playing"); });
  d.page("/drain", "POST");
  player.send(Socket::frame(askText("b")));
  const std::string no = player.read([](const std::string& s) { return has(s, "throttled"); });
  CHECK(has(no, "draining"));
  CHECK(has(no, "retryAfterMs"));
  player.send(Socket::frame("{\"type\":\"leave\",\"id\":\"a\"}"));
  CHECK(node.next().method == "TEARDOWN");
  CHECK(d.ended() == 0);
}

namespace {

void spin(event_base* base, int ms, const std::function<bool()>& enough) {
  for (int i = 0; i < ms / 10 && !enough(); ++i) {
    const timeval wait{0, 10'000};
    event_base_loopexit(base, &wait);
    event_base_dispatch(base);
  }
}

struct Asked {
  net::EventBase base{event_base_new()};
  client::SessionClient client;
  client::SubscriptionResult heard;
  int results = 0, ends = 0;
  std::string end;
  client::RequestId wish = 0;
  explicit Asked(std::vector<int> ports, bool grpc = false)
      : client(base.get(), grpc ? client::makeGrpc(base.get()) : client::makeWebSocket(base.get()), at(ports),
               manners(), 3) {}
  static std::vector<client::DirectorEndpoint> at(const std::vector<int>& ports) {
    std::vector<client::DirectorEndpoint> list;
    for (const int port : ports) list.push_back({"127.0.0.1:" + std::to_string(port), "here"});
    return list;
  }
  static client::RetryPolicy manners() {
    client::RetryPolicy m;
    m.zone = "here";
    return m;
  }
  void ask(const std::string& room, client::Micros timeout = 20'000'000) {
    client::SubscriptionRequest want{"v", "t", room, room == "paid-class"};
    want.timeout = timeout;
    wish = client.subscribe(
        want, [this](client::RequestId, const client::SubscriptionResult& h) { heard = h, ++results; },
        [this](client::RequestId, const std::string& why, client::Micros) { end = why, ++ends; });
  }
  void until(const std::function<bool()>& enough) { spin(base.get(), 15'000, enough); }
};

}  // namespace

TEST_CASE("Client library: a paid ask whose director is killed before it answers is never set up again") {
  Node node;
  Director d(node.entry());
  d.keepPorts();
  const bool grpc = GENERATE(false, true);

  Asked player({grpc ? d.grpc : d.players}, grpc);
  player.ask("paid-class");
  // The join has reached its node; the answer never comes, and the director dies.
  std::thread loop([&] { player.until([&] { return player.results > 0; }); });
  const media::Message setUp = node.next();
  CHECK(setUp.method == "SETUP");
  node.next();
  CHECK(d.end(SIGKILL) == -SIGKILL);
  close(node.fd);
  node.fd = -1;
  node.reader = media::Reader();
  d.start();
  loop.join();
  REQUIRE(player.results == 1);
  CHECK(player.heard.result == client::Result::terminated);
  CHECK(player.heard.reason == "may-have-run");
  // No second SETUP has come.
  pollfd p{node.listener, POLLIN, 0};
  CHECK(poll(&p, 1, 300) == 0);
}

TEST_CASE("Client library: plays, ends, and goes past a director that is not there") {
  Node node;
  Director d(node.entry());
  int dead = 0;
  {
    const Node gone;
    dead = gone.port;
  }
  const bool grpc = GENERATE(false, true);
  Asked player({dead, grpc ? d.grpc : d.players}, grpc);
  player.ask("recipe-clip");
  std::thread loop([&] { player.until([&] { return player.results > 0; }); });
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  loop.join();
  REQUIRE(player.results == 1);
  CHECK(player.heard.result == client::Result::playing);
  CHECK_FALSE(player.heard.ticket.empty());
  player.client.leave(player.wish);
  spin(player.base.get(), 200, [] { return false; });
  CHECK(node.next().method == "TEARDOWN");
}

TEST_CASE("Client library: nobody there is told well before the timeout") {
  int dead = 0;
  {
    const Node gone;
    dead = gone.port;
  }
  Asked player({dead}, GENERATE(false, true));
  player.ask("paid-class", 5'000'000);
  player.until([&] { return player.results > 0; });
  REQUIRE(player.results == 1);
  CHECK(player.heard.result == client::Result::unreachable);
}

TEST_CASE("The same paid ask over the other protocol is answered from the first join") {
  Node node;
  Director d(node.entry());
  Socket player(d.players);
  player.open();
  player.send(Socket::frame(askText("a", "paid-class")));
  const media::Message setUp = node.next(), play = node.next();
  // While the first join is out, and its socket cut.
  const net::EventBase base(event_base_new());
  struct Handler final : client::LinkHandler {
    std::unique_ptr<client::Link> link;
    std::vector<session_api::AnswerMessage> answers;
    void onHello(const std::string&) override {
      session_api::PlayMessage ask;
      ask.key = "front-1:k", ask.viewer = "v", ask.title = "t", ask.room = "paid-class";
      link->sendPlay(ask);
    }
    void onAnswer(const session_api::AnswerMessage& answer) override { answers.push_back(answer); }
    void onLost(bool) override {}
  };
  // Twenty repeats at once, on one connection.
  const auto transport = client::makeGrpc(base.get());
  std::vector<Handler> ears(20);
  for (Handler& handler : ears)
    handler.link = transport->open("127.0.0.1:" + std::to_string(d.grpc), 3'000'000, handler);
  spin(base.get(), 300, [] { return false; });
  shutdown(player.fd, SHUT_RDWR);
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  const auto all = [&] {
    return std::all_of(ears.begin(), ears.end(), [](const Handler& e) { return !e.answers.empty(); });
  };
  spin(base.get(), 5000, all);
  REQUIRE(all());
  for (const Handler& handler : ears) {
    CHECK(handler.answers.size() == 1);
    CHECK(handler.answers[0].kind == session_api::AnswerKind::playing);
    CHECK(handler.answers[0].subscription == ears[0].answers[0].subscription);
  }
  CHECK(has(d.page("/metrics"), "lupinsill_joins_total{join=\"first\"} 1"));
  // One that leaves ends it for none of the others.
  ears[0].link->leave();
  spin(base.get(), 200, [] { return false; });
  CHECK(has(d.page("/status"), "\"subscriptions\": 1"));
  ears.clear();
}

TEST_CASE("A drain over gRPC ends no call: what plays goes on, and each connection is told twice") {
  Node node;
  Director d(node.entry());
  // A connection that has no call: HTTP/2's preface and an empty SETTINGS, frames read by hand.
  Socket idle(d.grpc);
  idle.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\4\0\0\0\0\0", 9));
  Asked player({d.grpc}, true);
  player.ask("recipe-clip");
  std::thread loop([&] { player.until([&] { return player.results > 0; }); });
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  loop.join();
  REQUIRE(player.results == 1);
  d.page("/drain", "POST");
  spin(player.base.get(), 1500, [] { return false; });
  CHECK(player.ends == 0);
  CHECK(has(d.page("/status"), "\"subscriptions\": 1"));
  const std::string heard = idle.read([](const std::string&) { return false; });
  std::vector<unsigned> goaways;  // the last stream that each one names
  for (std::size_t at = 0; at + 9 <= heard.size();) {
    const auto byte = [&](std::size_t i) {
      return static_cast<unsigned>(static_cast<unsigned char>(heard[at + i]));
    };
    const std::size_t size = byte(0) << 16 | byte(1) << 8 | byte(2);
    if (byte(3) == 7) goaways.push_back(byte(9) << 24 | byte(10) << 16 | byte(11) << 8 | byte(12));
    at += 9 + size;
  }
  REQUIRE(goaways.size() >= 2);
  CHECK(goaways[0] == 0x7fffffff);  // open no more, those on their way are taken
  CHECK(goaways[1] == 0);           // none was
  player.client.leave(player.wish);
  spin(player.base.get(), 300, [] { return false; });
  CHECK(node.next().method == "TEARDOWN");
  CHECK(d.ended() == 0);
}

namespace {

// What a player of this authority hears of a director that has no node: "throttled" where TLS stands.
client::Result overTls(const Director& d, bool grpc, const std::string& authority) {
  const net::Tls tls(net::Tls::Side::client, {"", "", d.folder + "/" + authority + ".pem"},
                     grpc ? "h2" : "http/1.1");
  const net::Connect connect = [&](event_base* base, const std::string& host, int port) {
    return tls.connect(base, host, port);
  };
  const net::EventBase base(event_base_new());
  client::SessionClient client(
      base.get(), grpc ? client::makeGrpc(base.get(), connect) : client::makeWebSocket(base.get(), connect),
      Asked::at({grpc ? d.grpc : d.players}), Asked::manners(), 5);
  std::optional<client::Result> result;
  client::SubscriptionRequest want{"v", "t", "recipe-clip"};
  want.timeout = 2'000'000;
  client.subscribe(
      want, [&](client::RequestId, const client::SubscriptionResult& heard) { result = heard.result; });
  spin(base.get(), 6000, [&] { return result.has_value(); });
  REQUIRE(result.has_value());
  return *result;
}

}  // namespace

TEST_CASE("Players over TLS on both protocols; a renewed certificate is taken over without a restart") {
  Director d("", "<limits/>", "<tls certificate=\"certificate.pem\" key=\"key.pem\"/>");
  CHECK(overTls(d, false, "one") == client::Result::throttled);
  CHECK(overTls(d, true, "one") == client::Result::throttled);
  // One that speaks plainly is no player here, and holds up nobody.
  Socket plain(d.players);
  plain.send("GET / HTTP/1.1\r\n\r\n");
  CHECK_FALSE(has(plain.read([](const std::string& s) { return has(s, "HTTP"); }), "101"));
  d.certify("two");
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !has(d.log(), "reloaded"); ++i) sleepMs(20);
  CHECK(overTls(d, false, "two") == client::Result::throttled);
  CHECK(overTls(d, true, "two") == client::Result::throttled);
  CHECK(overTls(d, false, "one") == client::Result::unreachable);
  // A key that does not fit is refused whole, and the certificates of before stay.
  std::filesystem::copy_file(d.folder + "/one.pem", d.folder + "/certificate.pem",
                             std::filesystem::copy_options::overwrite_existing);
  kill(d.pid, SIGHUP);
  for (int i = 0; i < 100 && !has(d.log(), "key values mismatch"); ++i) sleepMs(20);
  CHECK(has(d.log(), "key.pem: key cannot be used"));
  CHECK(overTls(d, true, "two") == client::Result::throttled);
}

TEST_CASE("A media node has to show a certificate of its authority before a join is written there") {
  Node node;  // speaks plainly
  Director d(node.entry(), "<limits/>", "<tls nodes-authority=\"certificate.pem\"/>");
  Socket player(d.players);
  player.open();
  player.send(Socket::frame(askText("a", "paid-class")));
  // The node answers the handshake with something else; provably nothing ran.
  for (int i = 0; i < 100 && node.fd < 0; ++i) {
    pollfd p{node.listener, POLLIN, 0};
    if (poll(&p, 1, 50) > 0) node.fd = accept(node.listener, nullptr, nullptr);
  }
  char hello[16];
  REQUIRE(recv(node.fd, hello, sizeof hello, 0) > 0);
  CHECK(hello[0] == 0x16);  // a TLS handshake, and no SETUP
  ::send(node.fd, "RTSP/2.0 200 OK\r\n\r\n", 19, MSG_NOSIGNAL);
  CHECK(has(player.read([](const std::string& s) { return has(s, "reason"); }), "throttled"));
}

TEST_CASE("A disk that is full: paid asks are refused at once and no join leaves; safe ones go on") {
  Node node;
  Director d(node.entry());
  CHECK(d.end(SIGKILL) == -SIGKILL);
  d.fileMost = 12'288;
  d.start();
  Socket player(d.players);
  player.open();
  const auto start = std::chrono::steady_clock::now();
  player.send(Socket::frame(askText("a", "paid-class")));
  const std::string no = player.read([](const std::string& s) { return has(s, "reason"); });
  CHECK(has(no, "throttled"));
  CHECK(has(no, "busy"));
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  for (int i = 0; i < 100 && !has(d.log(), "ledger-failed"); ++i) sleepMs(20);
  CHECK(has(d.log(), "ledger-failed"));
  // The node's room for newcomers is ramped: a safe ask may have to come again.
  pollfd comes{node.listener, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&comes, 1, 300) == 0; ++i)
    player.send(Socket::frame(askText("b" + std::to_string(i))));
  const media::Message setUp = node.next(), play = node.next();
  CHECK(has(setUp.uri, "recipe-clip"));  // and nothing paid before it
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  CHECK(has(player.read([](const std::string& s) { return has(s, "ticket"); }), "playing"));
}

TEST_CASE("A paid key replayed within its memory is known for one; after it, it is a key like any other") {
  Node node;
  Director d(node.entry());
  CHECK(d.end(SIGKILL) == -SIGKILL);
  std::ifstream in(d.folder + "/small.xml");
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  text.replace(text.find("<answers/>"), 10, "<answers key-memory=\"2s\"/>");
  std::ofstream(d.folder + "/small.xml") << text;
  d.start();
  Socket player(d.players);
  player.open();
  const auto said = [&](const std::string& id) {
    player.send(Socket::frame(askText(id, "paid-class")));
    return player.read([](const std::string& s) { return has(s, "reason") || has(s, "ticket"); });
  };
  player.send(Socket::frame(askText("a", "paid-class")));
  const media::Message setUp = node.next(), play = node.next();
  node.answer(setUp, 200, "s1");
  node.answer(play, 200, "s1");
  CHECK(has(player.read([](const std::string& s) { return has(s, "ticket"); }), "playing"));
  player.send(Socket::frame("{\"type\":\"leave\",\"id\":\"a\"}"));
  CHECK(node.next().method == "TEARDOWN");
  CHECK(has(said("b"), "\"ended\""));
  // Also after a restart, for what is left of its time.
  CHECK(d.end(SIGKILL) == -SIGKILL);
  close(node.fd);
  node.fd = -1;
  node.reader = media::Reader();
  d.start();
  Socket again(d.players);
  again.open();
  again.send(Socket::frame(askText("c", "paid-class")));
  CHECK(has(again.read([](const std::string& s) { return has(s, "reason"); }), "terminated"));
  sleepMs(2500);
  pollfd comes{node.listener, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&comes, 1, 300) == 0; ++i)
    again.send(Socket::frame(askText("d" + std::to_string(i), "paid-class")));
  CHECK(node.next().method == "SETUP");
}
