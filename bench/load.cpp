// What one director carries on one core, over real sockets on loopback: asks a second until the 99th
// percentile of ask to first join passes a limit, CPU an ask, memory an idle player; beside it, in the same
// run, a plain policy in the same director. Bounded in rate and time; ends by itself. docs/measurements.md
// has the commands.
#include <signal.h>
#include <sodium.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "media/nodes.h"
#include "media/rtsp.h"
#include "net/handles.h"
#include "websocket/channel.h"
#include "websocket/messages.h"

namespace {

using namespace lupinsill;
constexpr int nodes = 8;
constexpr std::size_t sockets = 400;

struct Program {
  pid_t pid = 0;
  int players = 0;
  std::string folder;

  Program(const std::string& program, const std::string& policy, const std::vector<int>& ports,
          bool ledger = false) {
    std::string made = std::filesystem::temp_directory_path() / "lupinsill-load-XXXXXX";
    folder = mkdtemp(made.data());
    std::ofstream(folder + "/s.xml") << R"(<lupinsill xmlns="urn:lupinsill:settings:1">
<director name="load" zone="z"/><listen players="127.0.0.1:0" admin="127.0.0.1:0"/>
<list file="nodes.xml" kept-as="kept.xml"/>)"
                                     << (ledger ? R"(<ledger file="l.mdb" megabytes="512"/>)" : "") << R"(
<fleet cells="8" racks="2" all-links-kb="100000000" rack-uplink-kb="50000000"><kind name="k" places="100000"/></fleet>
<ladder><rung kb="100" benefit="0.5"/><rung kb="200" benefit="0.8"/><rung kb="400" benefit="1"/></ladder>
<room-types><room-type name="clip" effect="repeatable" join-objective="1s" client-timeout="5s" top="2"/>
<room-type name="paid" effect="once" join-objective="1s" client-timeout="5s" top="2"/></room-types>
<reports every="4s" uplinks="true"/>
<rules grace="2s" cold-time="1ms" fall-time="1s" start-capacity="1" overload-factor="1000" joins-most="3"/>
<answers key-memory="1s"/><limits connections="20000" asks-per-socket="10000" open-asks="100000"/>
<log level="warn"/></lupinsill>)";
    std::ofstream list(folder + "/nodes.xml");
    list << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"1\">";
    for (std::size_t i = 0; i < ports.size(); ++i)
      list << "<node id=\"" << i + 1 << "\" address=\"127.0.0.1:" << ports[i]
           << "\" kind=\"k\" zone=\"z\" cell=\"" << i << "\"/>";
    list << "</nodes>";
    list.close();
    const std::string config = folder + "/s.xml", portsFile = folder + "/ports";
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (policy.empty())
        execl(program.c_str(), "lupinsill", "director", "--config", config.c_str(), "--ports",
              portsFile.c_str(), "--seed", "1", nullptr);
      else
        execl(program.c_str(), "lupinsill", "director", "--config", config.c_str(), "--ports",
              portsFile.c_str(), "--policy", policy.c_str(), nullptr);
      _exit(127);
    }
    for (int i = 0; i < 200 && players == 0; ++i) {
      usleep(25'000);
      std::ifstream in(portsFile);
      std::string word;
      in >> word >> players;
    }
    if (players == 0) throw std::runtime_error(program + ": did not come up");
  }
  ~Program() {
    kill(pid, SIGTERM);
    waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder);
  }
  double cpuSeconds() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; in >> word && i <= 15; ++i)
      if (i >= 14) ticks += std::atof(word.c_str());
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  double residentKb() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (in >> word)
      if (word == "VmRSS:") {
        in >> word;
        return std::atof(word.c_str());
      }
    return 0;
  }
};

// All players and all nodes, in this one process.
struct Peers {
  net::EventBase base{event_base_new()};
  std::vector<net::Listener> listeners;
  std::vector<int> ports;
  struct Link {
    Peers* peers;
    net::BufferEvent bufferEvent;
    media::MessageParser reader;
    int sessions = 0;
  };
  std::vector<std::unique_ptr<Link>> links;

  struct Player final : websocket::Channel::Handler {
    Peers* peers = nullptr;
    std::unique_ptr<websocket::Channel> channel;
    bool open = false;
    void onOpen(websocket::Channel&) override { open = true, ++peers->opened; }
    void onText(websocket::Channel&, std::string_view text) override { peers->answered(*this, text); }
    void onClosed(websocket::Channel&, int) override { open = false, ++peers->lost; }
  };
  std::vector<std::unique_ptr<Player>> players;
  std::size_t opened = 0, lost = 0, next = 0, answers = 0, playing = 0;
  std::map<std::string, Micros> sent;  // by id, which is the key without its director
  std::vector<Micros> joinTimes, answerTimes;
  double paidShare = 0;

  Peers() {
    for (int i = 0; i < nodes; ++i) {
      listeners.push_back(net::listenOn(base.get(), "127.0.0.1", 0, accept, this));
      ports.push_back(net::portOf(listeners.back().get()));
    }
  }
  ~Peers() {
    players.clear();
    links.clear();
  }
  static void accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
    auto& peers = *static_cast<Peers*>(me);
    net::noDelay(fd);
    auto link = std::make_unique<Link>();
    link->peers = &peers;
    link->bufferEvent.reset(bufferevent_socket_new(peers.base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(link->bufferEvent.get(), read, nullptr, nullptr, link.get());
    bufferevent_enable(link->bufferEvent.get(), EV_READ | EV_WRITE);
    peers.links.push_back(std::move(link));
  }
  static void read(bufferevent* bufferEvent, void* me) {
    Link& link = *static_cast<Link*>(me);
    evbuffer* input = bufferevent_get_input(bufferEvent);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    link.reader.feed(bytes);
    std::string out;
    while (const auto message = link.reader.next()) {
      if (message->method == "SETUP") {
        ++link.sessions;
        const std::string key = media::percentDecode(message->header("Lupinsill-Ask"));
        const auto it = link.peers->sent.find(key.substr(key.find(':') + 1));
        if (it != link.peers->sent.end()) link.peers->joinTimes.push_back(net::monotonicNow() - it->second);
      }
      media::Message reply;
      reply.status = 200;
      reply.headers = {{"CSeq", std::string(message->header("CSeq"))}};
      if (message->method == "SETUP" || message->method == "PLAY")
        reply.headers.emplace_back("Session", std::to_string(link.sessions));
      reply.headers.emplace_back("Endpoint-Load-Metrics",
                                 "TEXT application_utilization=0.3000, named_metrics.uplink=0.3000");
      out += reply.serialize();
    }
    evbuffer_add(bufferevent_get_output(bufferEvent), out.data(), out.size());
  }
  void open(const Program& program, std::size_t count) {
    opened = lost = 0;
    websocket::ChannelLimits limits;
    limits.unsentBytes = 1 << 22;
    for (std::size_t i = 0; i < count; ++i) {
      auto player = std::make_unique<Player>();
      player->peers = this;
      player->channel = std::make_unique<websocket::Channel>(
          net::connectTo(base.get(), "127.0.0.1", program.players), *player, limits, false, "x");
      players.push_back(std::move(player));
      if (i % 100 == 99) spin(20'000);
    }
    for (int i = 0; i < 200 && opened + lost < count; ++i) spin(50'000);
    if (opened < count) throw std::runtime_error("only " + std::to_string(opened) + " sockets opened");
  }
  void spin(Micros span) {
    const Micros until = net::monotonicNow() + span;
    do {
      const timeval wait{0, 1000};
      event_base_loopexit(base.get(), &wait);
      event_base_loop(base.get(), EVLOOP_ONCE);
    } while (net::monotonicNow() < until);
  }
  void ask() {
    Player& player = *players[next++ % players.size()];
    websocket::PlayMessage ask;
    ask.id = ask.key = "a" + std::to_string(next);
    ask.viewer = "v" + std::to_string(next % 50'000);
    ask.title = "t" + std::to_string(next % 500);
    ask.room = "clip";
    if (static_cast<double>(next % 100) < paidShare * 100) ask.room = "paid", ask.key = "load:" + ask.key;
    sent[ask.id] = net::monotonicNow();
    player.channel->sendText(websocket::toJson(ask));
  }
  void answered(Player& player, std::string_view text) {
    const websocket::AnswerMessage answer = websocket::parseAnswer(text);
    if (answer.kind == websocket::AnswerKind::rung || answer.kind == websocket::AnswerKind::ended) return;
    const auto it = sent.find(answer.id);
    if (it == sent.end()) return;
    answerTimes.push_back(net::monotonicNow() - it->second);
    sent.erase(it);
    ++answers;
    if (answer.kind != websocket::AnswerKind::playing) return;
    ++playing;
    player.channel->sendText(websocket::toJson(websocket::LeaveMessage{answer.id}));
  }
};

Micros part(std::vector<Micros> values, double share) {
  if (values.empty()) return 0;
  const auto at =
      std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

struct Step {
  double rate = 0, cpuMicros = 0, playing = 0, cores = 0;
  Micros join50 = 0, join99 = 0, answer99 = 0;
};

Step step(Peers& peers, const Program& program, double rate, double seconds) {
  peers.spin(300'000);
  peers.sent.clear(), peers.joinTimes.clear(), peers.answerTimes.clear();
  peers.answers = peers.playing = 0;
  const double cpu = program.cpuSeconds();
  const Micros start = net::monotonicNow();
  double asked = 0;
  // Open loop: asks are due by the clock, however late the answers are.
  while (true) {
    const double elapsed = static_cast<double>(net::monotonicNow() - start) / 1e6;
    if (elapsed >= seconds) break;
    for (; asked < elapsed * rate; ++asked) peers.ask();
    peers.spin(500);
  }
  peers.spin(500'000);
  const double used = program.cpuSeconds() - cpu;
  const double n = std::max<double>(1, static_cast<double>(peers.answers));
  return {asked / seconds,
          used / n * 1e6,
          static_cast<double>(peers.playing) / std::max(1.0, asked),
          used / seconds,
          part(peers.joinTimes, 0.5),
          part(peers.joinTimes, 0.99),
          part(peers.answerTimes, 0.99)};
}

void row(const char* who, const Step& s) {
  std::printf("%-14s %8.0f %9.1f%% %8.0f %8.2f %9.2f %9.2f %10.2f\n", who, s.rate, 100 * s.playing,
              s.cpuMicros, s.cores, static_cast<double>(s.join50) / 1000,
              static_cast<double>(s.join99) / 1000, static_cast<double>(s.answer99) / 1000);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Load on one director over loopback"};
  std::string program = "build/lupinsill";
  double seconds = 3, limitMs = 5, most = 16'000, paidShare = 0;
  std::size_t idle = 10'000;
  app.add_option("--program", program)->capture_default_str();
  app.add_option("--seconds", seconds, "Of each step")->capture_default_str();
  app.add_option("--limit-ms", limitMs, "Of the 99th percentile of ask to first join")->capture_default_str();
  app.add_option("--most", most, "Asks a second at most")->capture_default_str();
  app.add_option("--paid-share", paidShare, "Of asks; over 0, compares without and with a ledger instead")
      ->capture_default_str();
  app.add_option("--idle", idle, "Idle players to open")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  if (sodium_init() < 0) return 3;
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  try {
    std::printf("%-14s %8s %10s %8s %8s %9s %9s %10s\n", "policy", "asks/s", "playing", "us CPU", "cores",
                "join p50", "join p99", "answer p99");
    std::map<std::string, double> carried, cpu;
    // The two in turn at each rate, so that a slow moment of the machine meets both.
    Peers peersA, peersB;
    const bool ledger = paidShare > 0;
    const char *nameA = ledger ? "no-ledger" : "module", *nameB = ledger ? "ledger" : "first-open";
    peersA.paidShare = peersB.paidShare = paidShare;
    const Program module(program, "", peersA.ports);
    const Program plain(program, ledger ? "" : "first-open", peersB.ports, ledger);
    peersA.open(module, sockets), peersB.open(plain, sockets);
    bool goA = true, goB = true;
    for (double rate = 500; rate <= most && (goA || goB); rate *= 1.5) {
      const auto one = [&](const char* who, Peers& peers, const Program& p, bool& go) {
        if (!go) return;
        const Step s = step(peers, p, rate, seconds);
        row(who, s);
        go = static_cast<double>(s.join99) / 1000 <= limitMs;
        if (go) carried[who] = s.rate, cpu[who] = s.cpuMicros;
      };
      one(nameA, peersA, module, goA);
      one(nameB, peersB, plain, goB);
    }
    std::printf("carried under %.0f ms: %s %.0f/s, %s %.0f/s\n", limitMs, nameA, carried[nameA], nameB,
                carried[nameB]);
    const Step a = step(peersA, module, 1000, seconds), b = step(peersB, plain, 1000, seconds);
    std::printf("CPU an ask at 1000/s: %s %.0f us, %s %.0f us, ratio %.2f\n", nameA, a.cpuMicros, nameB,
                b.cpuMicros, a.cpuMicros / b.cpuMicros);
    if (idle > 0) {
      Peers peers;
      const Program third(program, "", peers.ports);
      peers.spin(500'000);
      const double before = third.residentKb();
      peers.open(third, idle);
      const double after = third.residentKb();
      std::printf("idle players: %zu open, %.1f kB each (%.0f MB in all)\n", idle,
                  (after - before) / static_cast<double>(idle), after / 1000);
    }
  } catch (const std::exception& bad) {
    std::fprintf(stderr, "load: %s\n", bad.what());
    return 3;
  }
  return 0;
}
