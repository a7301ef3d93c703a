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
constexpr int atOnce = 16;
constexpr Micros pause = 400'000;      // after a sequence in which a director died
constexpr Micros settled = 4'000'000;  // after a ledger was new
constexpr Micros longest = 900'000'000;

// Passes everything on and counts the asks: what a library does, not what it says of itself.
class Counted final : public client::Transport {
 public:
  Counted(std::unique_ptr<client::Transport> inner, std::uint64_t& asks)
      : inner_(std::move(inner)), asks_(asks) {}
  std::unique_ptr<client::Link> open(const std::string& address, Micros timeLeft,
                                     client::LinkHandler& handler) override {
    auto link = inner_->open(address, timeLeft, handler);
    if (!link) return nullptr;
    return std::make_unique<One>(std::move(link), asks_);
  }
  void tick(Micros now) override { inner_->tick(now); }

 private:
  struct One final : client::Link {
    One(std::unique_ptr<client::Link> link, std::uint64_t& asks) : inner(std::move(link)), count(asks) {}
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
        nodes_(base_.get(), nodeCount, [this](const std::string& d, bool wipe) { killAt(d, wipe); }) {
    day_.settingsFile = options.settingsFile;
    day_.directors = 2;
    day_.zones = 1;
    const char* hooks = options.plant == "ledger-forgets" ? "titles-unrecorded" : "titles";
    processes_ = std::make_unique<Processes>(day_, std::move(folder),
                                             std::vector<std::string>{"--plant", hooks}, true);
    std::ofstream(processes_->listFile()) << nodes_.list(1);
    for (int place = 0; place < day_.directors; ++place) processes_->start(place);
    until([this] { return up(); }, 10'000'000);
    if (!up()) throw std::runtime_error("a director did not come up; see its log with --keep");
    processes_->keepPorts();
    for (const Place& place : processes_->places()) ports_.push_back({place.players, place.grpc});
  }

  bool up() const {
    return std::all_of(processes_->places().begin(), processes_->places().end(),
                       [](const Place& p) { return p.players != 0; });
  }
  // Turns the loop until it is so, and starts what died.
  template <class Enough>
  void until(Enough enough, Micros most) {
    const Micros start = net::monotonicNow();
    while (!enough() && net::monotonicNow() - start < most) {
      const timeval wait{0, 5'000};
      event_base_loopexit(base_.get(), &wait);
      event_base_dispatch(base_.get());
      for (const int place : processes_->ended()) {
        if (wipes_.erase(place) != 0) {
          const std::string folder = processes_->places()[static_cast<std::size_t>(place)].folder;
          for (const auto& entry : std::filesystem::directory_iterator(folder))
            if (entry.path().filename().string().find("ledger") != std::string::npos)
              std::filesystem::remove(entry.path());
        }
        processes_->start(place);
      }
      processes_->look();
    }
  }
  // Keys that may be older than a ledger are doubted; young ones are, for a client timeout after it was new.
  void settle() {
    const Micros born = net::monotonicNow();
    until([&] { return net::monotonicNow() - born > settled; }, 2 * settled);
  }
  std::vector<client::DirectorEndpoint> directors(bool grpc) const {
    std::vector<client::DirectorEndpoint> out;
    for (const auto& [players, second] : ports_)
      out.push_back({"127.0.0.1:" + std::to_string(grpc ? second : players), "here"});
    return out;
  }
  event_base* base() const { return base_.get(); }
  const CountingNodes& nodes() const { return nodes_; }
  void end() { processes_->end(); }

 private:
  void killAt(const std::string& director, bool wipe) {
    const int place = director == "d1" ? 1 : 0;
    if (wipe) wipes_.insert(place);
    processes_->kill(place);
  }

  net::EventBase base_;
  CountingNodes nodes_;
  Day day_;
  std::unique_ptr<Processes> processes_;
  std::vector<std::pair<int, int>> ports_;
  std::set<int> wipes_;
};

client::RetryPolicy manners() {
  client::RetryPolicy out;
  out.building = "here";
  return out;
}
// Sequences are about repeats; what the budget does is seen in the storms.
client::RetryPolicy patient() {
  client::RetryPolicy out = manners();
  out.minRetries = 20;
  return out;
}

// One sequence through the C++ library: its wishes one after the other, a client of its own.
struct Playing {
  Playing(Fleet& fleet, const client_script::Sequence& what, const std::string& library, std::uint64_t& asks)
      : sequence(what),
        name(library),
        client(fleet.base(),
               std::make_unique<Counted>(
                   library == "grpc" ? client::makeGrpc(fleet.base()) : client::makeWebSocket(fleet.base()),
                   asks),
               fleet.directors(library == "grpc"), patient(), what.seed) {
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

bool kills(const client_script::Sequence& sequence) {
  return std::any_of(sequence.wishes.begin(), sequence.wishes.end(), [](const client_script::WishLine& wish) {
    const client_script::Plan* plan = client_script::planOf(wish.title);
    return plan != nullptr && plan->kills;
  });
}

void playHere(Fleet& fleet, const std::vector<client_script::Sequence>& all,
              client_script::Library& library) {
  for (const bool deadly : {false, true}) {
    std::deque<const client_script::Sequence*> waiting;
    for (const client_script::Sequence& sequence : all)
      if (kills(sequence) == deadly) waiting.push_back(&sequence);
    std::vector<std::unique_ptr<Playing>> out;
    bool wiped = false;
    fleet.until(
        [&] {
          std::erase_if(out, [&](const std::unique_ptr<Playing>& one) {
            if (!one->done()) return false;
            library.played[one->sequence.number] = one->played;
            return true;
          });
          if (deadly && out.empty() && !waiting.empty()) {
            const Micros from = net::monotonicNow(), span = wiped ? settled : pause;
            fleet.until([&] { return fleet.up() && net::monotonicNow() - from >= span; }, 10'000'000);
            wiped = waiting.front()->wishes.front().title.starts_with("wipe");
          }
          while (out.size() < (deadly ? 1 : atOnce) && !waiting.empty()) {
            out.push_back(std::make_unique<Playing>(fleet, *waiting.front(), library.name, library.asks));
            waiting.pop_front();
          }
          return out.empty();
        },
        longest);
  }
}

// The library of the website, as a process of its own.
void playThere(Fleet& fleet, const std::vector<client_script::Sequence>& all, const std::string& player,
               const std::string& folder, client_script::Library& library) {
  std::string addresses;
  for (const client::DirectorEndpoint& at : fleet.directors(false))
    addresses += (addresses.empty() ? "" : ",") + at.address;
  for (const bool deadly : {false, true}) {
    const std::string scriptFile = folder + "/script", playedFile = folder + "/played";
    {
      std::ofstream out(scriptFile);
      for (const client_script::Sequence& sequence : all)
        if (kills(sequence) == deadly) out << client_script::lineOf(sequence) << "\n";
    }
    const std::string many = std::to_string(deadly ? 1 : atOnce),
                      wait = std::to_string(deadly ? pause / 1000 : 0);
    const pid_t lab = getpid();
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("fork failed");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != lab) _exit(9);
      const int fd = open(playedFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      if (fd >= 0) dup2(fd, 1);
      execlp("node", "node", player.c_str(), scriptFile.c_str(), addresses.c_str(), library.name.c_str(),
             many.c_str(), wait.c_str(), nullptr);
      _exit(127);
    }
    int status = 0;
    bool over = false;
    fleet.until([&] { return over = over || waitpid(pid, &status, WNOHANG) == pid; }, longest);
    if (!over) kill(pid, SIGKILL), waitpid(pid, &status, 0);
    if (!over || status != 0)
      throw std::runtime_error("node " + player + " did not play the script to its end");
    std::ifstream in(playedFile);
    for (std::string line; std::getline(in, line);) {
      client_script::Played played = client_script::readPlayed(line);
      library.played[played.sequence] = std::move(played);
    }
  }
}

Storm storm(Fleet& fleet, const std::string& who, const std::string& plan, double share,
            const client::RetryPolicy& how, bool budgeted, int wishes) {
  Storm out;
  out.who = who;
  out.plan = plan;
  out.share = share;
  out.wishes = wishes;
  const client::RetryPolicy usual = manners();
  if (budgeted)
    out.askMost = static_cast<std::uint64_t>(wishes + usual.minRetries + usual.budgetShare * wishes);
  client::SessionClient crowd(fleet.base(),
                              std::make_unique<Counted>(client::makeWebSocket(fleet.base()), out.asks),
                              fleet.directors(false), how, 7);
  int asked = 0, over = 0;
  const Micros start = net::monotonicNow();
  fleet.until(
      [&] {
        while (asked < wishes && net::monotonicNow() - start >= asked * 10'000) {
          client::Want want;
          want.viewer = who + std::to_string(asked);
          want.title = plan + "." + std::to_string(asked++) + "." + who;
          want.room = "recipe-clip";
          want.timeout = 5'000'000;
          crowd.ask(want, [&](client::RequestId id, const client::Heard& heard) {
            ++over;
            if (heard.result != client::Result::playing) return;
            ++out.playing;
            crowd.leave(id);
          });
        }
        return over == wishes;
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
      fleet.settle();
      if (library.name == "typescript") {
        if (options.player.empty()) continue;
        playThere(fleet, result.sequences, options.player, folder, library);
      } else {
        playHere(fleet, result.sequences, library);
      }
      library.setUps = fleet.nodes().setUps();
      result.libraries.push_back(std::move(library));
    }
    result.findings = client_script::compare(result.sequences, result.libraries);
    client::RetryPolicy naive = manners();
    naive.minRetries = 1'000'000;
    naive.maxAttempts = 3;
    naive.minBackoff = 1;
    naive.maxBackoff = 1;
    naive.minEjection = naive.maxEjection = 1;
    client::RetryPolicy ours = manners();
    if (options.plant == "budget-ignored") ours.minRetries = 1'000'000, ours.maxAttempts = 1'000;
    for (const auto& [plan, share] : {std::pair{"half", 0.5}, {"all", 1.0}, {"refuse", 1.0}}) {
      if (options.crowd == 0) break;
      result.storms.push_back(storm(fleet, "ours", plan, share, ours, true, options.crowd));
      result.storms.push_back(storm(fleet, "three-tries", plan, share, naive, false, options.crowd));
    }
    fleet.end();
  }
  for (const Storm& one : result.storms)
    if (one.askMost != 0 && one.asks > one.askMost)
      result.findings.push_back({"storm of " + one.who, std::to_string(one.asks) + " asks, at most " +
                                                            std::to_string(one.askMost) +
                                                            " within the budget"});
  if (options.keepFolder.empty()) std::filesystem::remove_all(folder);
  return result;
}

std::string formatReport(const ClientsResult& result) {
  std::ostringstream out;
  struct Row {
    int wishes = 0, setUps = 0;
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
            ++row.wishes;
            const auto counted = library.setUps.find(wish.title + "." + library.name);
            if (counted != library.setUps.end()) row.setUps += counted->second;
            const auto played = library.played.find(sequence.number);
            const bool has = played != library.played.end() && i < played->second.results.size();
            ++row.results[has ? played->second.results[i] : "none"];
          }
        if (row.wishes == 0) continue;
        char line[128];
        std::snprintf(line, sizeof line, "%-20s%s %-12s %6d  %7d ", plan.name, paid ? "$" : " ",
                      library.name.c_str(), row.wishes, row.setUps);
        out << line;
        for (const auto& [name, count] : row.results) out << " " << name << " " << count;
        out << "\n";
      }
  out << "($: a room type that must not be set up twice)\n";
  for (const Storm& one : result.storms) {
    char line[160];
    std::snprintf(
        line, sizeof line, "directors %s %3.0f%%: %-12s %d wishes, %llu asks (%.2f each), %d play\n",
        one.plan == "refuse" ? "throttle" : "fail", one.share * 100, one.who.c_str(), one.wishes,
        static_cast<unsigned long long>(one.asks), static_cast<double>(one.asks) / one.wishes, one.playing);
    out << line;
  }
  for (const client_script::Finding& finding : result.findings)
    out << finding.title << ": " << finding.what << "\n";
  return out.str();
}

}  // namespace lupinsill::lab
