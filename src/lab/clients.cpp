#include "lab/clients.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>

#include "grpc/transport.h"
#include "lab/counting.h"
#include "lab/processes.h"
#include "session/session_client.h"
#include "websocket/transport.h"

namespace lupinsill::lab {
namespace {

constexpr int nodeCount = 200;
constexpr int maxConcurrentSequences = 16;
constexpr Micros restartPause = 400'000;         // after a sequence in which a director died
constexpr Micros ledgerDoubtPeriod = 4'000'000;  // after a ledger was new
constexpr Micros scriptTimeout = 900'000'000;

// Passes everything on and counts the asks: what a library does, not what it says of itself.
class CountingTransport final : public client::Transport {
 public:
  CountingTransport(std::unique_ptr<client::Transport> inner, std::uint64_t& asks)
      : inner_(std::move(inner)), asks_(asks) {}
  std::unique_ptr<client::Link> open(const std::string& address, Micros timeLeft,
                                     client::LinkHandler& handler) override {
    auto link = inner_->open(address, timeLeft, handler);
    if (!link) return nullptr;
    return std::make_unique<CountingLink>(std::move(link), asks_);
  }
  void tick(Micros now) override { inner_->tick(now); }

 private:
  struct CountingLink final : client::Link {
    CountingLink(std::unique_ptr<client::Link> link, std::uint64_t& asks)
        : inner(std::move(link)), count(asks) {}
    void ask(const session_api::PlayMessage& message) override { ++count, inner->ask(message); }
    void leave() override { inner->leave(); }
    bool flushed() const override { return inner->flushed(); }
    std::unique_ptr<client::Link> inner;
    std::uint64_t& count;
  };
  std::unique_ptr<client::Transport> inner_;
  std::uint64_t& asks_;
};

class Fleet {
 public:
  Fleet(const ClientsOptions& options, std::string folder)
      : base_(event_base_new()),
        nodes_(base_.get(), nodeCount, [this](const std::string& d, bool wipe) { killDirector(d, wipe); }) {
    day_.settingsFile = options.settingsFile;
    day_.directors = 2;
    day_.zones = 1;
    const char* hooks = options.plant == "ledger-forgets" ? "titles-unrecorded" : "titles";
    processes_ = std::make_unique<Processes>(day_, std::move(folder),
                                             std::vector<std::string>{"--plant", hooks}, true);
    std::ofstream(processes_->listFile()) << nodes_.list(1);
    for (int directorIndex = 0; directorIndex < day_.directors; ++directorIndex)
      processes_->start(directorIndex);
    runUntil([this] { return up(); }, 10'000'000);
    if (!up()) throw std::runtime_error("a director did not come up; see its log with --keep");
    processes_->fixPorts();
    for (const DirectorProcess& process : processes_->directors())
      ports_.push_back({process.playersPort, process.grpcPort});
  }

  bool up() const {
    return std::all_of(processes_->directors().begin(), processes_->directors().end(),
                       [](const DirectorProcess& p) { return p.playersPort != 0; });
  }
  // Turns the loop until it is so, and starts what died.
  template <class Condition>
  void runUntil(Condition condition, Micros timeout) {
    const Micros start = net::monotonicNow();
    while (!condition() && net::monotonicNow() - start < timeout) {
      const timeval wait{0, 5'000};
      event_base_loopexit(base_.get(), &wait);
      event_base_dispatch(base_.get());
      for (const int directorIndex : processes_->reapExited()) {
        if (ledgersToWipe_.erase(directorIndex) != 0) {
          const std::string folder = processes_->directors()[static_cast<std::size_t>(directorIndex)].folder;
          for (const auto& entry : std::filesystem::directory_iterator(folder))
            if (entry.path().filename().string().find("ledger") != std::string::npos)
              std::filesystem::remove(entry.path());
        }
        processes_->start(directorIndex);
      }
      processes_->readPorts();
    }
  }
  // Keys that may be older than a ledger are doubted; young ones are, for a client timeout after it was new.
  void waitUntilLedgersTrusted() {
    const Micros start = net::monotonicNow();
    runUntil([&] { return net::monotonicNow() - start > ledgerDoubtPeriod; }, 2 * ledgerDoubtPeriod);
  }
  std::vector<client::DirectorEndpoint> directors(bool grpc) const {
    std::vector<client::DirectorEndpoint> out;
    for (const auto& [players, second] : ports_)
      out.push_back({"127.0.0.1:" + std::to_string(grpc ? second : players), "here"});
    return out;
  }
  event_base* base() const { return base_.get(); }
  const CountingNodes& nodes() const { return nodes_; }
  void end() { processes_->terminateAll(); }

 private:
  void killDirector(const std::string& director, bool wipe) {
    const int directorIndex = director == "d1" ? 1 : 0;
    if (wipe) ledgersToWipe_.insert(directorIndex);
    processes_->kill(directorIndex);
  }

  net::EventBase base_;
  CountingNodes nodes_;
  Day day_;
  std::unique_ptr<Processes> processes_;
  std::vector<std::pair<int, int>> ports_;
  std::set<int> ledgersToWipe_;
};

client::RetryPolicy localRetryPolicy() {
  client::RetryPolicy out;
  out.building = "here";
  return out;
}
// Sequences are about repeats; what the budget does is seen in the storms.
client::RetryPolicy sequenceRetryPolicy() {
  client::RetryPolicy out = localRetryPolicy();
  out.minRetries = 20;
  return out;
}

// One sequence through the C++ library: its wishes one after the other, a client of its own.
struct SequencePlayer {
  SequencePlayer(Fleet& fleet, const client_script::Sequence& what, const std::string& library,
                 std::uint64_t& asks)
      : sequence(what),
        name(library),
        client(fleet.base(),
               std::make_unique<CountingTransport>(
                   library == "grpc" ? client::makeGrpc(fleet.base()) : client::makeWebSocket(fleet.base()),
                   asks),
               fleet.directors(library == "grpc"), sequenceRetryPolicy(), what.seed) {
    played.sequence = what.number;
    next();
  }
  void next() {
    if (played.results.size() == sequence.wishes.size()) return;
    const client_script::WishLine& wish = sequence.wishes[played.results.size()];
    client::Want want;
    want.viewer = name + "-" + std::to_string(sequence.number);
    want.title = wish.title + "." + name;
    want.room = wish.room;
    want.unsafe = wish.paid;
    want.timeout = wish.timeout;
    client.ask(want, [this](client::RequestId id, const client::Heard& heard) {
      if (heard.result == client::Result::playing) client.leave(id);
      played.results.emplace_back(nameOf(heard.result));
      next();
    });
  }
  bool done() const { return played.results.size() == sequence.wishes.size(); }
  const client_script::Sequence& sequence;
  std::string name;
  client_script::Played played;
  client::SessionClient client;
};

bool killsDirector(const client_script::Sequence& sequence) {
  return std::any_of(sequence.wishes.begin(), sequence.wishes.end(), [](const client_script::WishLine& wish) {
    const client_script::Plan* plan = client_script::planOf(wish.title);
    return plan != nullptr && plan->kills;
  });
}

void playInProcess(Fleet& fleet, const std::vector<client_script::Sequence>& all,
                   client_script::Library& library) {
  for (const bool killing : {false, true}) {
    std::deque<const client_script::Sequence*> waiting;
    for (const client_script::Sequence& sequence : all)
      if (killsDirector(sequence) == killing) waiting.push_back(&sequence);
    std::vector<std::unique_ptr<SequencePlayer>> out;
    bool wiped = false;
    fleet.runUntil(
        [&] {
          std::erase_if(out, [&](const std::unique_ptr<SequencePlayer>& one) {
            if (!one->done()) return false;
            library.played[one->sequence.number] = one->played;
            return true;
          });
          if (killing && out.empty() && !waiting.empty()) {
            const Micros from = net::monotonicNow(), span = wiped ? ledgerDoubtPeriod : restartPause;
            fleet.runUntil([&] { return fleet.up() && net::monotonicNow() - from >= span; }, 10'000'000);
            wiped = waiting.front()->wishes.front().title.starts_with("wipe");
          }
          while (out.size() < (killing ? 1 : maxConcurrentSequences) && !waiting.empty()) {
            out.push_back(
                std::make_unique<SequencePlayer>(fleet, *waiting.front(), library.name, library.asks));
            waiting.pop_front();
          }
          return out.empty();
        },
        scriptTimeout);
  }
}

// The library of the website, as a process of its own.
void playTypeScript(Fleet& fleet, const std::vector<client_script::Sequence>& all, const std::string& player,
                    const std::string& folder, client_script::Library& library) {
  std::string addresses;
  for (const client::DirectorEndpoint& at : fleet.directors(false))
    addresses += (addresses.empty() ? "" : ",") + at.address;
  for (const bool killing : {false, true}) {
    const std::string scriptFile = folder + "/script", playedFile = folder + "/played";
    {
      std::ofstream out(scriptFile);
      for (const client_script::Sequence& sequence : all)
        if (killsDirector(sequence) == killing) out << client_script::lineOf(sequence) << "\n";
    }
    const std::string concurrency = std::to_string(killing ? 1 : maxConcurrentSequences),
                      wait = std::to_string(killing ? restartPause / 1000 : 0);
    const pid_t lab = getpid();
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("fork failed");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != lab) _exit(9);
      const int fd = open(playedFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      if (fd >= 0) dup2(fd, 1);
      execlp("node", "node", player.c_str(), scriptFile.c_str(), addresses.c_str(), library.name.c_str(),
             concurrency.c_str(), wait.c_str(), nullptr);
      _exit(127);
    }
    int status = 0;
    bool exited = false;
    fleet.runUntil([&] { return exited = exited || waitpid(pid, &status, WNOHANG) == pid; }, scriptTimeout);
    if (!exited) kill(pid, SIGKILL), waitpid(pid, &status, 0);
    if (!exited || status != 0)
      throw std::runtime_error("node " + player + " did not play the script to its end");
    std::ifstream in(playedFile);
    for (std::string line; std::getline(in, line);) {
      client_script::Played played = client_script::readPlayed(line);
      library.played[played.sequence] = std::move(played);
    }
  }
}

RetryStorm runRetryStorm(Fleet& fleet, const std::string& clientName, const std::string& plan, double share,
                         const client::RetryPolicy& policy, bool hasBudget, int requests) {
  RetryStorm out;
  out.client = clientName;
  out.plan = plan;
  out.share = share;
  out.requests = requests;
  const client::RetryPolicy defaultPolicy = localRetryPolicy();
  if (hasBudget)
    out.maxRequestsSent = static_cast<std::uint64_t>(requests + defaultPolicy.minRetries +
                                                     defaultPolicy.budgetShare * requests);
  client::SessionClient sessionClient(
      fleet.base(),
      std::make_unique<CountingTransport>(client::makeWebSocket(fleet.base()), out.requestsSent),
      fleet.directors(false), policy, 7);
  int submitted = 0, completed = 0;
  const Micros start = net::monotonicNow();
  fleet.runUntil(
      [&] {
        while (submitted < requests && net::monotonicNow() - start >= submitted * 10'000) {
          client::Want want;
          want.viewer = clientName + std::to_string(submitted);
          want.title = plan + "." + std::to_string(submitted++) + "." + clientName;
          want.room = "recipe-clip";
          want.timeout = 5'000'000;
          sessionClient.ask(want, [&](client::RequestId id, const client::Heard& heard) {
            ++completed;
            if (heard.result != client::Result::playing) return;
            ++out.playing;
            sessionClient.leave(id);
          });
        }
        return completed == requests;
      },
      30'000'000);
  return out;
}

}  // namespace

ClientsResult runClients(const ClientsOptions& options) {
  ClientsResult result;
  if (options.scriptFile.empty()) {
    result.sequences = client_script::draw(options.sequences, options.seed);
  } else {
    std::ifstream in(options.scriptFile);
    if (!in) throw std::runtime_error(options.scriptFile + ": cannot be read");
    for (std::string line; std::getline(in, line);)
      if (!line.empty()) result.sequences.push_back(client_script::readLine(line));
  }
  std::string folder = options.keepFolder;
  if (folder.empty()) {
    folder = std::filesystem::temp_directory_path() / "lupinsill-clients-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error(folder + ": cannot be made");
  }
  // What an earlier run left there, marks of faults done above all, would change this one.
  for (const char* old : {"/d0", "/d1"}) std::filesystem::remove_all(folder + old);
  std::filesystem::create_directories(folder);
  folder = std::filesystem::absolute(folder).string();
  std::signal(SIGPIPE, SIG_IGN);
  {
    Fleet fleet(options, folder);
    for (const char* name : {"websocket", "grpc", "typescript"}) {
      client_script::Library library;
      library.name = name;
      fleet.waitUntilLedgersTrusted();
      if (library.name == "typescript") {
        if (options.player.empty()) continue;
        playTypeScript(fleet, result.sequences, options.player, folder, library);
      } else {
        playInProcess(fleet, result.sequences, library);
      }
      library.setUps = fleet.nodes().setUps();
      result.libraries.push_back(std::move(library));
    }
    result.findings = client_script::compare(result.sequences, result.libraries);
    client::RetryPolicy naive = localRetryPolicy();
    naive.minRetries = 1'000'000;
    naive.maxAttempts = 3;
    naive.minBackoff = 1;
    naive.maxBackoff = 1;
    naive.minEjection = naive.maxEjection = 1;
    client::RetryPolicy ours = localRetryPolicy();
    if (options.plant == "budget-ignored") ours.minRetries = 1'000'000, ours.maxAttempts = 1'000;
    for (const auto& [plan, share] : {std::pair{"half", 0.5}, {"all", 1.0}, {"refuse", 1.0}}) {
      if (options.crowd == 0) break;
      result.retryStorms.push_back(runRetryStorm(fleet, "ours", plan, share, ours, true, options.crowd));
      result.retryStorms.push_back(
          runRetryStorm(fleet, "three-tries", plan, share, naive, false, options.crowd));
    }
    fleet.end();
  }
  for (const RetryStorm& one : result.retryStorms)
    if (one.maxRequestsSent != 0 && one.requestsSent > one.maxRequestsSent)
      result.findings.push_back(
          {"storm of " + one.client, std::to_string(one.requestsSent) + " asks, at most " +
                                         std::to_string(one.maxRequestsSent) + " within the budget"});
  if (options.keepFolder.empty()) std::filesystem::remove_all(folder);
  return result;
}

std::string formatReport(const ClientsResult& result) {
  std::ostringstream out;
  struct Row {
    int requests = 0, setUps = 0;
    std::map<std::string, int> results;
  };
  out << "plan                  library      wishes  set-ups  results\n";
  for (const client_script::Plan& plan : client_script::plans())
    for (const client_script::Library& library : result.libraries)
      for (const bool paid : {false, true}) {
        Row row;
        for (const client_script::Sequence& sequence : result.sequences)
          for (std::size_t i = 0; i < sequence.wishes.size(); ++i) {
            const client_script::WishLine& wish = sequence.wishes[i];
            if (client_script::planOf(wish.title) != &plan || wish.paid != paid) continue;
            ++row.requests;
            const auto counted = library.setUps.find(wish.title + "." + library.name);
            if (counted != library.setUps.end()) row.setUps += counted->second;
            const auto played = library.played.find(sequence.number);
            const bool hasResult = played != library.played.end() && i < played->second.results.size();
            ++row.results[hasResult ? played->second.results[i] : "none"];
          }
        if (row.requests == 0) continue;
        char line[128];
        std::snprintf(line, sizeof line, "%-20s%s %-12s %6d  %7d ", plan.name, paid ? "$" : " ",
                      library.name.c_str(), row.requests, row.setUps);
        out << line;
        for (const auto& [name, count] : row.results) out << " " << name << " " << count;
        out << "\n";
      }
  out << "($: a room type that must not be set up twice)\n";
  for (const RetryStorm& one : result.retryStorms) {
    char line[160];
    std::snprintf(line, sizeof line,
                  "directors %s %3.0f%%: %-12s %d wishes, %llu asks (%.2f each), %d play\n",
                  one.plan == "refuse" ? "throttle" : "fail", one.share * 100, one.client.c_str(),
                  one.requests, static_cast<unsigned long long>(one.requestsSent),
                  static_cast<double>(one.requestsSent) / one.requests, one.playing);
    out << line;
  }
  for (const client_script::Finding& finding : result.findings)
    out << finding.title << ": " << finding.what << "\n";
  return out.str();
}

}  // namespace lupinsill::lab
