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
constexpr Micros ledgerDoubtPeriod = 4'000'000;  // in which a director with a new ledger doubts keys
constexpr Micros scriptTimeout = 900'000'000;    // for all sequences of one library
constexpr Micros startUpTimeout = 10'000'000;    // for the directors to listen
constexpr Micros stormTimeout = 30'000'000;
constexpr int stormRequestIntervalMicros = 10'000;
constexpr Micros stormClientTimeout = 5'000'000;  // of each request
constexpr int unlimitedRetries = 1'000'000;       // a retry budget that is never used up
constexpr std::uint64_t stormSeed = 7;
constexpr int sequenceRetries = 20;
constexpr int naiveAttempts = 3;
constexpr int unlimitedAttempts = 1'000;

// Exit codes of a child whose set-up failed before the program was executed, and whose program could not be
// executed.
constexpr int setUpFailedExit = 9;
constexpr int execFailedExit = 127;

// Counts the requests that pass through another transport. This is independent of what a library reports.
class CountingTransport final : public client::Transport {
 public:
  CountingTransport(std::unique_ptr<client::Transport> inner, std::uint64_t& requests)
      : inner_(std::move(inner)), requests_(requests) {}
  std::unique_ptr<client::Link> open(const std::string& address, Micros timeLeft,
                                     client::LinkHandler& handler) override {
    auto link = inner_->open(address, timeLeft, handler);
    if (!link) return nullptr;
    return std::make_unique<CountingLink>(std::move(link), requests_);
  }
  void tick(Micros now) override { inner_->tick(now); }

 private:
  struct CountingLink final : client::Link {
    CountingLink(std::unique_ptr<client::Link> link, std::uint64_t& requests)
        : inner(std::move(link)), requestCount(requests) {}
    void sendPlay(const session_api::PlayMessage& message) override {
      ++requestCount, inner->sendPlay(message);
    }
    void leave() override { inner->leave(); }
    bool flushed() const override { return inner->flushed(); }
    std::unique_ptr<client::Link> inner;
    std::uint64_t& requestCount;
  };
  std::unique_ptr<client::Transport> inner_;
  std::uint64_t& requests_;
};

// Two directors and the counting nodes. Restarts directors that die.
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
    runUntil([this] { return up(); }, startUpTimeout);
    if (!up()) throw std::runtime_error("a director did not come up; see its log with --keep");
    processes_->fixPorts();
    for (const DirectorProcess& process : processes_->directors())
      ports_.push_back({process.playersPort, process.grpcPort});
  }

  bool up() const {
    return std::all_of(processes_->directors().begin(), processes_->directors().end(),
                       [](const DirectorProcess& p) { return p.playersPort != 0; });
  }
  // Runs the event loop until the condition holds or the timeout has passed, and restarts directors that
  // died.
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
  // A director can't tell whether a key that may be older than its new ledger was used before, and doubts it.
  // Waits until new keys are certainly younger than the ledgers.
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
  client::RetryPolicy policy;
  policy.zone = "here";
  return policy;
}
// Sequences test repeated requests and need retries; the retry storms test the budget.
client::RetryPolicy sequenceRetryPolicy() {
  client::RetryPolicy policy = localRetryPolicy();
  policy.minRetries = sequenceRetries;
  return policy;
}

// Plays one sequence through the C++ library: its requests one after the other, with a client of its own.
struct SequencePlayer {
  SequencePlayer(Fleet& fleet, const client_script::Sequence& script, const std::string& library,
                 std::uint64_t& requestCount)
      : sequence(script),
        name(library),
        client(fleet.base(),
               std::make_unique<CountingTransport>(
                   library == "grpc" ? client::makeGrpc(fleet.base()) : client::makeWebSocket(fleet.base()),
                   requestCount),
               fleet.directors(library == "grpc"), sequenceRetryPolicy(), script.seed) {
    played.sequence = script.number;
    next();
  }
  void next() {
    if (played.results.size() == sequence.requests.size()) return;
    const client_script::ScriptedRequest& wish = sequence.requests[played.results.size()];
    client::SubscriptionRequest request;
    request.viewer = name + "-" + std::to_string(sequence.number);
    request.title = wish.title + "." + name;
    request.room = wish.room;
    request.unsafe = wish.paid;
    request.timeout = wish.timeout;
    client.subscribe(request, [this](client::RequestId id, const client::SubscriptionResult& answer) {
      if (answer.result == client::Result::playing) client.leave(id);
      played.results.emplace_back(nameOf(answer.result));
      next();
    });
  }
  bool done() const { return played.results.size() == sequence.requests.size(); }
  const client_script::Sequence& sequence;
  std::string name;
  client_script::SequenceResult played;
  client::SessionClient client;
};

bool killsDirector(const client_script::Sequence& sequence) {
  return std::any_of(sequence.requests.begin(), sequence.requests.end(),
                     [](const client_script::ScriptedRequest& wish) {
                       const client_script::FaultPlan* plan = client_script::findFaultPlan(wish.title);
                       return plan != nullptr && plan->killsDirector;
                     });
}

// Plays the sequences through a C++ library: first those that kill no director, several at a time, then the
// others one by one, each after the directors are up again.
void playInProcess(Fleet& fleet, const std::vector<client_script::Sequence>& sequences,
                   client_script::LibraryRun& library) {
  for (const bool killsOnly : {false, true}) {
    std::deque<const client_script::Sequence*> waiting;
    for (const client_script::Sequence& sequence : sequences)
      if (killsDirector(sequence) == killsOnly) waiting.push_back(&sequence);
    std::vector<std::unique_ptr<SequencePlayer>> players;
    bool wiped = false;
    fleet.runUntil(
        [&] {
          std::erase_if(players, [&](const std::unique_ptr<SequencePlayer>& one) {
            if (!one->done()) return false;
            library.played[one->sequence.number] = one->played;
            return true;
          });
          if (killsOnly && players.empty() && !waiting.empty()) {
            const Micros from = net::monotonicNow(), span = wiped ? ledgerDoubtPeriod : restartPause;
            fleet.runUntil([&] { return fleet.up() && net::monotonicNow() - from >= span; }, startUpTimeout);
            wiped = waiting.front()->requests.front().title.starts_with("wipe");
          }
          while (players.size() < (killsOnly ? 1 : maxConcurrentSequences) && !waiting.empty()) {
            players.push_back(std::make_unique<SequencePlayer>(fleet, *waiting.front(), library.name,
                                                               library.requestsSent));
            waiting.pop_front();
          }
          return players.empty();
        },
        scriptTimeout);
  }
}

// Plays the sequences through the TypeScript library, in a subprocess.
void playTypeScript(Fleet& fleet, const std::vector<client_script::Sequence>& sequences,
                    const std::string& player, const std::string& folder,
                    client_script::LibraryRun& library) {
  std::string addresses;
  for (const client::DirectorEndpoint& at : fleet.directors(false))
    addresses += (addresses.empty() ? "" : ",") + at.address;
  for (const bool killsOnly : {false, true}) {
    const std::string scriptFile = folder + "/script", playedFile = folder + "/played";
    {
      std::ofstream script(scriptFile);
      for (const client_script::Sequence& sequence : sequences)
        if (killsDirector(sequence) == killsOnly) script << client_script::toLine(sequence) << "\n";
    }
    const std::string concurrency = std::to_string(killsOnly ? 1 : maxConcurrentSequences),
                      wait = std::to_string(killsOnly ? restartPause / 1000 : 0);
    const pid_t lab = getpid();
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("fork failed");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != lab) _exit(setUpFailedExit);
      const int fd = open(playedFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      if (fd >= 0) dup2(fd, 1);
      execlp("node", "node", player.c_str(), scriptFile.c_str(), addresses.c_str(), library.name.c_str(),
             concurrency.c_str(), wait.c_str(), nullptr);
      _exit(execFailedExit);
    }
    int status = 0;
    bool exited = false;
    fleet.runUntil([&] { return exited = exited || waitpid(pid, &status, WNOHANG) == pid; }, scriptTimeout);
    if (!exited) kill(pid, SIGKILL), waitpid(pid, &status, 0);
    if (!exited || status != 0)
      throw std::runtime_error("node " + player + " did not play the script to its end");
    std::ifstream in(playedFile);
    for (std::string line; std::getline(in, line);) {
      client_script::SequenceResult played = client_script::parseResult(line);
      library.played[played.sequence] = std::move(played);
    }
  }
}

// Submits requests at a constant rate to one client while the directors fail them as the plan says.
RetryStorm runRetryStorm(Fleet& fleet, const std::string& clientName, const std::string& plan, double share,
                         const client::RetryPolicy& policy, bool hasBudget, int requests) {
  RetryStorm storm;
  storm.client = clientName;
  storm.plan = plan;
  storm.share = share;
  storm.requests = requests;
  const client::RetryPolicy defaultPolicy = localRetryPolicy();
  if (hasBudget)
    storm.maxRequestsSent = static_cast<std::uint64_t>(requests + defaultPolicy.minRetries +
                                                       defaultPolicy.budgetShare * requests);
  client::SessionClient sessionClient(
      fleet.base(),
      std::make_unique<CountingTransport>(client::makeWebSocket(fleet.base()), storm.requestsSent),
      fleet.directors(false), policy, stormSeed);
  int submitted = 0, completed = 0;
  const Micros start = net::monotonicNow();
  fleet.runUntil(
      [&] {
        while (submitted < requests &&
               net::monotonicNow() - start >= submitted * stormRequestIntervalMicros) {
          client::SubscriptionRequest request;
          request.viewer = clientName + std::to_string(submitted);
          request.title = plan + "." + std::to_string(submitted++) + "." + clientName;
          request.room = "recipe-clip";
          request.timeout = stormClientTimeout;
          sessionClient.subscribe(request,
                                  [&](client::RequestId id, const client::SubscriptionResult& answer) {
                                    ++completed;
                                    if (answer.result != client::Result::playing) return;
                                    ++storm.playing;
                                    sessionClient.leave(id);
                                  });
        }
        return completed == requests;
      },
      stormTimeout);
  return storm;
}

}  // namespace

ClientsResult runClients(const ClientsOptions& options) {
  ClientsResult result;
  if (options.scriptFile.empty()) {
    result.sequences = client_script::generate(options.sequences, options.seed);
  } else {
    std::ifstream in(options.scriptFile);
    if (!in) throw std::runtime_error(options.scriptFile + ": cannot be read");
    for (std::string line; std::getline(in, line);)
      if (!line.empty()) result.sequences.push_back(client_script::parseSequence(line));
  }
  std::string folder = options.keepFolder;
  if (folder.empty()) {
    folder = std::filesystem::temp_directory_path() / "lupinsill-clients-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error(folder + ": cannot be made");
  }
  // Marker files and ledgers of an earlier run would change this one.
  for (const char* old : {"/d0", "/d1"}) std::filesystem::remove_all(folder + old);
  std::filesystem::create_directories(folder);
  folder = std::filesystem::absolute(folder).string();
  std::signal(SIGPIPE, SIG_IGN);
  {
    Fleet fleet(options, folder);
    for (const char* name : {"websocket", "grpc", "typescript"}) {
      client_script::LibraryRun library;
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
    naive.minRetries = unlimitedRetries;
    naive.maxAttempts = naiveAttempts;
    naive.minBackoff = 1;
    naive.maxBackoff = 1;
    naive.minEjection = naive.maxEjection = 1;
    client::RetryPolicy ours = localRetryPolicy();
    if (options.plant == "budget-ignored")
      ours.minRetries = unlimitedRetries, ours.maxAttempts = unlimitedAttempts;
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
          {"retry storm of " + one.client, std::to_string(one.requestsSent) + " requests sent, at most " +
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
  out << "plan                  library    requests  set-ups  results\n";
  for (const client_script::FaultPlan& plan : client_script::faultPlans())
    for (const client_script::LibraryRun& library : result.libraries)
      for (const bool paid : {false, true}) {
        Row row;
        for (const client_script::Sequence& sequence : result.sequences)
          for (std::size_t i = 0; i < sequence.requests.size(); ++i) {
            const client_script::ScriptedRequest& wish = sequence.requests[i];
            if (client_script::findFaultPlan(wish.title) != &plan || wish.paid != paid) continue;
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
                  "directors %s %3.0f%%: %-12s %d requests, %llu sent (%.2f each), %d play\n",
                  one.plan == "refuse" ? "throttle" : "fail", one.share * 100, one.client.c_str(),
                  one.requests, static_cast<unsigned long long>(one.requestsSent),
                  static_cast<double>(one.requestsSent) / one.requests, one.playing);
    out << line;
  }
  for (const client_script::Finding& finding : result.findings)
    out << finding.title << ": " << finding.description << "\n";
  return out.str();
}

}  // namespace lupinsill::lab
