// Load test of one director on one core, over real sockets on loopback. Measures the rate of requests up to
// which the 99th percentile of the time from request to first join stays under a limit, the CPU time of a
// request, and the memory of an idle player. A director with a baseline policy is measured alongside. The
// rate and the time are bounded; the program ends by itself. docs/measurements.md has the commands.
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
constexpr int nodeCount = 8;
constexpr int startUpPolls = 200;
constexpr useconds_t startUpPollInterval = 25'000;  // microseconds
constexpr int openPolls = 200;
constexpr Micros openPollInterval = 50'000;
constexpr std::size_t openBatch = 100;  // sockets opened before the event loop runs
constexpr Micros openBatchPause = 20'000;
constexpr Micros stepPause = 300'000;       // before each step
constexpr Micros sendInterval = 500;        // requests that are due are sent this often
constexpr Micros answerWait = 500'000;      // for the last answers of a step
constexpr Micros idleSettleTime = 500'000;  // before the memory of idle players is measured
constexpr double firstRate = 500;           // requests a second
constexpr double rateGrowth = 1.5;          // from step to step
constexpr double cpuRate = 1'000;           // at which CPU times are compared
constexpr std::size_t playerSockets = 400;

// A director running as a subprocess with a temporary folder of its own.
struct DirectorProcess {
  pid_t pid = 0;
  int playersPort = 0;
  std::string folder;

  DirectorProcess(const std::string& program, const std::string& policy, const std::vector<int>& ports,
                  bool ledger = false) {
    std::string folderTemplate = std::filesystem::temp_directory_path() / "lupinsill-load-XXXXXX";
    folder = mkdtemp(folderTemplate.data());
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
    for (int i = 0; i < startUpPolls && playersPort == 0; ++i) {
      usleep(startUpPollInterval);
      std::ifstream in(portsFile);
      std::string label;
      in >> label >> playersPort;
    }
    if (playersPort == 0) throw std::runtime_error(program + ": did not come up");
  }
  ~DirectorProcess() {
    kill(pid, SIGTERM);
    waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder);
  }
  // CPU time so far, user and system.
  double cpuSeconds() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; in >> word && i <= 15; ++i)
      if (i >= 14) ticks += std::atof(word.c_str());
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  // Resident memory.
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

// All players and all stub media nodes, in this process on one event loop.
struct LoadGenerator {
  net::EventBase base{event_base_new()};
  std::vector<net::Listener> listeners;
  std::vector<int> ports;
  struct NodeConnection {
    LoadGenerator* generator;
    net::BufferEvent bufferEvent;
    media::MessageParser reader;
    int sessions = 0;
  };
  std::vector<std::unique_ptr<NodeConnection>> nodeConnections;

  struct Player final : websocket::Channel::Handler {
    LoadGenerator* generator = nullptr;
    std::unique_ptr<websocket::Channel> channel;
    bool open = false;
    void onOpen(websocket::Channel&) override { open = true, ++generator->opened; }
    void onText(websocket::Channel&, std::string_view text) override { generator->onAnswer(*this, text); }
    void onClosed(websocket::Channel&, int) override { open = false, ++generator->lost; }
  };
  std::vector<std::unique_ptr<Player>> players;
  std::size_t opened = 0, lost = 0, next = 0, answers = 0, playing = 0;
  std::map<std::string, Micros> sentAt;  // by request id, the idempotency key without its director prefix
  std::vector<Micros> joinTimes, answerTimes;
  double paidShare = 0;

  LoadGenerator() {
    for (int i = 0; i < nodeCount; ++i) {
      listeners.push_back(net::listenOn(base.get(), "127.0.0.1", 0, accept, this));
      ports.push_back(net::portOf(listeners.back().get()));
    }
  }
  ~LoadGenerator() {
    players.clear();
    nodeConnections.clear();
  }
  static void accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* me) {
    auto& generator = *static_cast<LoadGenerator*>(me);
    net::noDelay(fd);
    auto connection = std::make_unique<NodeConnection>();
    connection->generator = &generator;
    connection->bufferEvent.reset(bufferevent_socket_new(generator.base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(connection->bufferEvent.get(), read, nullptr, nullptr, connection.get());
    bufferevent_enable(connection->bufferEvent.get(), EV_READ | EV_WRITE);
    generator.nodeConnections.push_back(std::move(connection));
  }
  static void read(bufferevent* bufferEvent, void* me) {
    NodeConnection& connection = *static_cast<NodeConnection*>(me);
    evbuffer* input = bufferevent_get_input(bufferEvent);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    connection.reader.feed(bytes);
    std::string out;
    while (const auto message = connection.reader.next()) {
      if (message->method == "SETUP") {
        ++connection.sessions;
        const std::string key = media::percentDecode(message->header("Lupinsill-Ask"));
        const auto it = connection.generator->sentAt.find(key.substr(key.find(':') + 1));
        if (it != connection.generator->sentAt.end())
          connection.generator->joinTimes.push_back(net::monotonicNow() - it->second);
      }
      media::Message reply;
      reply.status = 200;
      reply.headers = {{"CSeq", std::string(message->header("CSeq"))}};
      if (message->method == "SETUP" || message->method == "PLAY")
        reply.headers.emplace_back("Session", std::to_string(connection.sessions));
      reply.headers.emplace_back("Endpoint-Load-Metrics",
                                 "TEXT application_utilization=0.3000, named_metrics.uplink=0.3000");
      out += reply.serialize();
    }
    evbuffer_add(bufferevent_get_output(bufferEvent), out.data(), out.size());
  }
  // Connects this many players and waits until all are open.
  void open(const DirectorProcess& program, std::size_t count) {
    opened = lost = 0;
    websocket::ChannelLimits limits;
    limits.unsentBytes = 1 << 22;
    for (std::size_t i = 0; i < count; ++i) {
      auto player = std::make_unique<Player>();
      player->generator = this;
      player->channel = std::make_unique<websocket::Channel>(
          net::connectTo(base.get(), "127.0.0.1", program.playersPort), *player, limits, false, "x");
      players.push_back(std::move(player));
      if (i % openBatch == openBatch - 1) runFor(openBatchPause);
    }
    for (int i = 0; i < openPolls && opened + lost < count; ++i) runFor(openPollInterval);
    if (opened < count) throw std::runtime_error("only " + std::to_string(opened) + " sockets opened");
  }
  // Runs the event loop for this time.
  void runFor(Micros duration) {
    const Micros until = net::monotonicNow() + duration;
    do {
      const timeval wait{0, 1000};
      event_base_loopexit(base.get(), &wait);
      event_base_loop(base.get(), EVLOOP_ONCE);
    } while (net::monotonicNow() < until);
  }
  // Sends the next request, from the players in turn.
  void sendRequest() {
    Player& player = *players[next++ % players.size()];
    websocket::PlayMessage request;
    request.id = request.key = "a" + std::to_string(next);
    request.viewer = "v" + std::to_string(next % 50'000);
    request.title = "t" + std::to_string(next % 500);
    request.room = "clip";
    if (static_cast<double>(next % 100) < paidShare * 100)
      request.room = "paid", request.key = "load:" + request.key;
    sentAt[request.id] = net::monotonicNow();
    player.channel->sendText(websocket::toJson(request));
  }
  void onAnswer(Player& player, std::string_view text) {
    const websocket::AnswerMessage answer = websocket::parseAnswer(text);
    if (answer.kind == websocket::AnswerKind::rung || answer.kind == websocket::AnswerKind::ended) return;
    const auto it = sentAt.find(answer.id);
    if (it == sentAt.end()) return;
    answerTimes.push_back(net::monotonicNow() - it->second);
    sentAt.erase(it);
    ++answers;
    if (answer.kind != websocket::AnswerKind::playing) return;
    ++playing;
    player.channel->sendText(websocket::toJson(websocket::LeaveMessage{answer.id}));
  }
};

// The value below which this share of the values lies.
Micros percentile(std::vector<Micros> values, double share) {
  if (values.empty()) return 0;
  const auto at =
      std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

// The outcome of one step at a constant rate.
struct Measurement {
  double rate = 0;       // requests a second
  double cpuMicros = 0;  // CPU time of the director per answered request
  double playing = 0;    // share of requests that were served
  double cores = 0;      // CPU time of the director per second
  Micros joinP50 = 0, joinP99 = 0, answerP99 = 0;
};

// Sends requests at a constant rate for some seconds.
Measurement measure(LoadGenerator& generator, const DirectorProcess& program, double rate, double seconds) {
  generator.runFor(stepPause);
  generator.sentAt.clear(), generator.joinTimes.clear(), generator.answerTimes.clear();
  generator.answers = generator.playing = 0;
  const double cpuBefore = program.cpuSeconds();
  const Micros start = net::monotonicNow();
  double sent = 0;
  // Open-loop load: requests are sent by the clock, however late the answers are.
  while (true) {
    const double elapsed = static_cast<double>(net::monotonicNow() - start) / 1e6;
    if (elapsed >= seconds) break;
    for (; sent < elapsed * rate; ++sent) generator.sendRequest();
    generator.runFor(sendInterval);
  }
  generator.runFor(answerWait);
  const double cpuUsed = program.cpuSeconds() - cpuBefore;
  const double answered = std::max<double>(1, static_cast<double>(generator.answers));
  return {sent / seconds,
          cpuUsed / answered * 1e6,
          static_cast<double>(generator.playing) / std::max(1.0, sent),
          cpuUsed / seconds,
          percentile(generator.joinTimes, 0.5),
          percentile(generator.joinTimes, 0.99),
          percentile(generator.answerTimes, 0.99)};
}

void printRow(const char* name, const Measurement& s) {
  std::printf("%-14s %8.0f %9.1f%% %8.0f %8.2f %9.2f %9.2f %10.2f\n", name, s.rate, 100 * s.playing,
              s.cpuMicros, s.cores, static_cast<double>(s.joinP50) / 1000,
              static_cast<double>(s.joinP99) / 1000, static_cast<double>(s.answerP99) / 1000);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Load on one director over loopback"};
  std::string program = "build/lupinsill";
  double seconds = 3, limitMs = 5, maxRate = 16'000, paidShare = 0;
  std::size_t idle = 10'000;
  app.add_option("--program", program)->capture_default_str();
  app.add_option("--seconds", seconds, "Length of each step, seconds")->capture_default_str();
  app.add_option("--limit-ms", limitMs, "Limit of the 99th percentile of request to first join, ms")
      ->capture_default_str();
  app.add_option("--most", maxRate, "Highest rate, requests a second")->capture_default_str();
  app.add_option("--paid-share", paidShare,
                 "Share of paid requests; over 0, compares without and with a ledger instead")
      ->capture_default_str();
  app.add_option("--idle", idle, "Number of idle players to open")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  if (sodium_init() < 0) return 3;
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  try {
    std::printf("%-14s %8s %10s %8s %8s %9s %9s %10s\n", "policy", "asks/s", "playing", "us CPU", "cores",
                "join p50", "join p99", "answer p99");
    std::map<std::string, double> highestRate, cpu;
    // The two directors take turns at each rate, so that a slow moment of the machine affects both.
    LoadGenerator generatorA, generatorB;
    const bool ledger = paidShare > 0;
    const char *nameA = ledger ? "no-ledger" : "module", *nameB = ledger ? "ledger" : "first-open";
    generatorA.paidShare = generatorB.paidShare = paidShare;
    const DirectorProcess module(program, "", generatorA.ports);
    const DirectorProcess baseline(program, ledger ? "" : "first-open", generatorB.ports, ledger);
    generatorA.open(module, playerSockets), generatorB.open(baseline, playerSockets);
    bool activeA = true, activeB = true;
    for (double rate = firstRate; rate <= maxRate && (activeA || activeB); rate *= rateGrowth) {
      const auto runRate = [&](const char* name, LoadGenerator& generator, const DirectorProcess& p,
                               bool& active) {
        if (!active) return;
        const Measurement s = measure(generator, p, rate, seconds);
        printRow(name, s);
        active = static_cast<double>(s.joinP99) / 1000 <= limitMs;
        if (active) highestRate[name] = s.rate, cpu[name] = s.cpuMicros;
      };
      runRate(nameA, generatorA, module, activeA);
      runRate(nameB, generatorB, baseline, activeB);
    }
    std::printf("highest rate under %.0f ms: %s %.0f/s, %s %.0f/s\n", limitMs, nameA, highestRate[nameA],
                nameB, highestRate[nameB]);
    const Measurement a = measure(generatorA, module, cpuRate, seconds),
                      b = measure(generatorB, baseline, cpuRate, seconds);
    std::printf("CPU per request at 1000/s: %s %.0f us, %s %.0f us, ratio %.2f\n", nameA, a.cpuMicros, nameB,
                b.cpuMicros, a.cpuMicros / b.cpuMicros);
    if (idle > 0) {
      LoadGenerator generator;
      const DirectorProcess director(program, "", generator.ports);
      generator.runFor(idleSettleTime);
      const double before = director.residentKb();
      generator.open(director, idle);
      const double after = director.residentKb();
      std::printf("idle players: %zu open, %.1f kB each (%.0f MB in all)\n", idle,
                  (after - before) / static_cast<double>(idle), after / 1000);
    }
  } catch (const std::exception& bad) {
    std::fprintf(stderr, "load: %s\n", bad.what());
    return 3;
  }
  return 0;
}
