#include "lab/run.h"

#include <sodium.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "history/history.h"
#include "lab/processes.h"
#include "lab/stand_in.h"

namespace lupinsill::lab {
namespace {

constexpr Micros millisecond = 1'000;
constexpr Micros second = 1'000'000;
constexpr Micros worldStepInterval = 50 * millisecond;
constexpr Micros portsReadInterval = 20 * millisecond;
constexpr Micros startUpTimeout = 20 * second;   // for all directors to listen
constexpr Micros settleTimeout = 12 * second;    // for open requests and faults after the end of the day
constexpr Micros drainPeriod = 3 * second;       // from `draining` to `gone` in the node list
constexpr Micros replacementDelay = 1 * second;  // from a node's death to the start of its replacement
constexpr Micros directorDowntime = 1500 * millisecond;  // from a director's death to its restart
// A client that disconnects on purpose does so by then; histories state this time.
constexpr Micros historyDisconnectDelay = 60 * millisecond;
// Tolerances of the audit, added to the times that directors need to act.
constexpr Micros orderSlack = 250 * millisecond;
constexpr Micros listReadSlack = 400 * millisecond;

// A wall-clock time as UTC text of XML Schema, with milliseconds.
std::string utc(Micros wall) {
  const std::time_t seconds = static_cast<std::time_t>(wall / second);
  std::tm tm{};
  gmtime_r(&seconds, &tm);
  char text[40], part[8];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
  std::snprintf(part, sizeof part, ".%03dZ", static_cast<int>(wall / 1000 % 1000));
  return std::string(text) + part;
}

// The test environment of one day: the nodes, their published list, the directors, the players and the
// injected faults.
class DayRunner {
 public:
  DayRunner(const RunOptions& options, std::string folder)
      : options_(options),
        day_(readDay(options.dayFile)),
        base_(event_base_new()),
        world_(day_.deployment.controlSettings, {day_.linkKb, day_.spread, day_.titles}, options.seed),
        chance_(options.seed, 4),
        folder_(std::move(folder)),
        processes_(day_, folder_, directorArguments(options)) {
    context_.base = base_.get();
    context_.day = &day_;
    context_.world = &world_;
    context_.record = &record_;
  }

  RunResult run();

 private:
  // Work that the event loop does when its time has come.
  struct ScheduledAction {
    Micros at;
    std::function<void()> action;
  };
  struct ListedNode {
    StandIn* node;
    NodeState state;
  };
  static std::vector<std::string> directorArguments(const RunOptions& options);
  void schedule(Micros at, std::function<void()> action) {
    scheduledActions_.push_back({at, std::move(action)});
  }
  StandIn& startNode(int cell, bool cold);
  void killNode(StandIn& node);
  void setListedState(NodeId node, NodeState state);
  void publishList();
  // Schedules the start and the end of a fault that concerns nodes, links, the list or directors.
  void scheduleFault(const ScheduledFault& fault);
  // Cells drawn at random: this share of all, at least one.
  std::vector<std::size_t> pickCells(double share);
  void startReplacement(int cell);
  void drainAndReplace(int cell, Micros at, bool startsReplacement);
  void runUntil(const std::function<bool()>& condition);
  RunResult makeResult(bool cleanExit);

  void recordEvent(history::EventKind what, int who, double magnitude = 0) {
    if (dayStarted_) history_.events.push_back({context_.now(), what, who, magnitude, 0, 0, 0, 0});
  }
  void writeHistory();

  RunOptions options_;
  Day day_;
  history::History history_;
  bool dayStarted_ = false;
  net::EventBase base_;
  audit::Record record_;
  model::LinkModel world_;
  LabContext context_;
  RandomSource chance_;
  std::string folder_;
  Processes processes_;
  std::vector<std::unique_ptr<StandIn>> nodes_;
  std::vector<StandIn*> byCell_;  // the current node of each cell
  std::map<NodeId, ListedNode> listed_;
  std::unique_ptr<PlayerPool> playerPool_;
  std::vector<ScheduledAction> scheduledActions_;
  NodeId nextNode_ = 0;
  std::uint64_t listVersion_ = 0;
  Micros publishListAt_ = 0;  // 0: nothing to publish
  Micros listStaleUntil_ = 0;
  Micros worldSteppedAt_ = 0;
  Micros portsReadAt_ = 0;
};

std::vector<std::string> DayRunner::directorArguments(const RunOptions& options) {
  std::vector<std::string> arguments;
  if (!options.plant.empty()) arguments.insert(arguments.end(), {"--plant", options.plant});
  if (!options.policy.empty()) arguments.insert(arguments.end(), {"--policy", options.policy});
  arguments.insert(arguments.end(), {"--seed", std::to_string(options.seed)});
  return arguments;
}

StandIn& DayRunner::startNode(int cell, bool cold) {
  const NodeId id = ++nextNode_;
  nodes_.push_back(std::make_unique<StandIn>(context_, id, cell, "zone" + std::to_string(cell % day_.zones),
                                             cold, options_.seed));
  byCell_[static_cast<std::size_t>(cell)] = nodes_.back().get();
  if (cold) recordEvent(history::EventKind::startNode, static_cast<int>(id), cell);
  return *nodes_.back();
}

void DayRunner::killNode(StandIn& node) {
  if (node.dead()) return;
  recordEvent(history::EventKind::killNode, static_cast<int>(node.node));
  node.kill();
}

void DayRunner::setListedState(NodeId node, NodeState state) {
  if (state != NodeState::ready)
    recordEvent(state == NodeState::gone ? history::EventKind::unlistNode : history::EventKind::drainNode,
                static_cast<int>(node));
  if (state == NodeState::gone)
    listed_.erase(node);
  else
    listed_[node] = {
        std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& n) { return n->node == node; })->get(),
        state};
  publishListAt_ = publishListAt_ == 0 ? context_.now() + day_.listDelay : publishListAt_;
}

// Writes the list to a temporary file and renames it, so that a director never reads a partial list.
void DayRunner::publishList() {
  const Micros now = context_.now();
  if (publishListAt_ == 0 || now < publishListAt_ || now < listStaleUntil_) return;
  publishListAt_ = 0;
  std::string text =
      "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"" + std::to_string(++listVersion_) + "\">\n";
  for (const auto& [id, entry] : listed_) {
    const StandIn& node = *entry.node;
    text += " <node id=\"" + std::to_string(id) + "\" address=\"127.0.0.1:" + std::to_string(node.port()) +
            "\" kind=\"" + day_.deployment.kinds[0] + "\" zone=\"" + node.zone + "\" cell=\"" +
            std::to_string(node.cell) + "\" state=\"" +
            (entry.state == NodeState::ready ? "ready" : "draining") + "\"";
    if (node.coldStart) text += " started=\"" + utc(node.startedWall) + "\"";
    text += "/>\n";
  }
  if (day_.holders > 0)
    for (int t = 0; t < day_.titles; ++t)
      text += " <title name=\"t" + std::to_string(t) + "\" first-cell=\"" +
              std::to_string(t * 7 % day_.deployment.controlSettings.cells) + "\" holders=\"" +
              std::to_string(day_.holders) + "\"/>\n";
  text += "</nodes>\n";
  const std::string next = folder_ + "/nodes.next";
  std::ofstream(next) << text;
  std::filesystem::rename(next, processes_.listFile());
  for (const auto& start : record_.starts) {
    const auto it = listed_.find(start.node);
    const NodeState state = it == listed_.end() ? NodeState::gone : it->second.state;
    record_.listedStates.push_back({start.node, now, state});
  }
}

std::vector<std::size_t> DayRunner::pickCells(double share) {
  const auto all = static_cast<std::size_t>(day_.nodes);
  return chance_.sample(
      all, std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(all) + 0.5)));
}

void DayRunner::startReplacement(int cell) {
  StandIn& next = startNode(cell, true);
  setListedState(next.node, NodeState::ready);
}

void DayRunner::drainAndReplace(int cell, Micros at, bool startsReplacement) {
  schedule(at, [this, cell] {
    StandIn& node = *byCell_[static_cast<std::size_t>(cell)];
    node.drain();
    if (!node.dead()) setListedState(node.node, NodeState::draining);
  });
  schedule(at + drainPeriod, [this, cell, startsReplacement] {
    StandIn& node = *byCell_[static_cast<std::size_t>(cell)];
    setListedState(node.node, NodeState::gone);
    killNode(node);
    if (startsReplacement) startReplacement(cell);
  });
}

void DayRunner::scheduleFault(const ScheduledFault& fault) {
  const Micros end = fault.at + fault.duration;
  const auto applyToCells = [&](const std::vector<std::size_t>& cells, auto inject, auto clear) {
    const auto recordFault = [this, kind = fault.kind](const StandIn& n, double magnitude) {
      const auto id = static_cast<int>(n.node);
      if (kind == FaultKind::hang) recordEvent(history::EventKind::stallNode, id, magnitude > 0);
      if (kind == FaultKind::answersLost) recordEvent(history::EventKind::loseAnswers, id, magnitude > 0);
      if (kind == FaultKind::fastErrors) recordEvent(history::EventKind::failJoins, id, magnitude);
      if (kind == FaultKind::linkCut) recordEvent(history::EventKind::reduceLink, id, magnitude);
    };
    for (const std::size_t cell : cells) {
      schedule(fault.at, [this, cell, inject, recordFault, magnitude = std::max(fault.magnitude, 1e-3)] {
        if (byCell_[cell]->dead()) return;
        recordFault(*byCell_[cell], magnitude);
        inject(*byCell_[cell]);
      });
      schedule(end, [this, cell, clear, recordFault] {
        if (byCell_[cell]->dead()) return;
        recordFault(*byCell_[cell], 0);
        clear(*byCell_[cell]);
      });
    }
  };
  switch (fault.kind) {
    case FaultKind::answersLost:
      return applyToCells(
          pickCells(fault.share), [](StandIn& n) { n.faults.loseAnswers = true; },
          [](StandIn& n) { n.faults.loseAnswers = false; });
    case FaultKind::hang:
      return applyToCells(
          pickCells(fault.share), [this](StandIn& n) { n.faults.hang = true, world_.stall(n.node, true); },
          [this](StandIn& n) { n.faults.hang = false, world_.stall(n.node, false); });
    case FaultKind::fastErrors:
      return applyToCells(
          pickCells(fault.share),
          [magnitude = fault.magnitude](StandIn& n) { n.faults.failShare = magnitude; },
          [](StandIn& n) { n.faults.failShare = 0; });
    case FaultKind::slow:
      return applyToCells(
          pickCells(fault.share),
          [magnitude = fault.magnitude](StandIn& n) { n.faults.slowShare = magnitude; },
          [](StandIn& n) { n.faults.slowShare = 0; });
    case FaultKind::linkCut:
      return applyToCells(
          pickCells(fault.share),
          [this, magnitude = fault.magnitude](StandIn& n) {
            world_.cutLink(n.node, std::max(1.0, magnitude));
          },
          [this](StandIn& n) { world_.cutLink(n.node, 1); });
    case FaultKind::uplinkCut: {
      const auto racks = static_cast<std::size_t>(std::max(1, day_.deployment.controlSettings.racks));
      const auto n =
          std::max<std::size_t>(1, static_cast<std::size_t>(fault.share * static_cast<double>(racks) + 0.5));
      for (const std::size_t rack : chance_.sample(racks, n)) {
        schedule(fault.at, [this, rack, magnitude = fault.magnitude] {
          world_.cutUplink(static_cast<int>(rack), std::max(1.0, magnitude));
        });
        schedule(end, [this, rack] { world_.cutUplink(static_cast<int>(rack), 1); });
      }
      return;
    }
    case FaultKind::drain:
      for (const std::size_t cell : pickCells(fault.share))
        drainAndReplace(static_cast<int>(cell), fault.at + chance_.duration(0, fault.duration), true);
      return;
    case FaultKind::wave: {
      const std::vector<std::size_t> cells = pickCells(fault.share);
      for (std::size_t i = 0; i < cells.size(); ++i)
        drainAndReplace(
            static_cast<int>(cells[i]),
            fault.at + static_cast<Micros>(i) * fault.duration / static_cast<Micros>(cells.size()), true);
      return;
    }
    case FaultKind::kill:
      for (const std::size_t cell : pickCells(fault.share)) {
        schedule(fault.at, [this, cell] {
          StandIn& node = *byCell_[cell];
          killNode(node);
          setListedState(node.node, NodeState::gone);
        });
        schedule(fault.at + replacementDelay, [this, cell] { startReplacement(static_cast<int>(cell)); });
      }
      return;
    case FaultKind::listStale:
      schedule(fault.at, [this, end, duration = fault.duration] {
        for (int d = 0; d < day_.directors; ++d)
          recordEvent(history::EventKind::delayList, d, static_cast<double>(duration) / millisecond);
        listStaleUntil_ = end;
      });
      schedule(end, [this] {
        for (int d = 0; d < day_.directors; ++d) recordEvent(history::EventKind::delayList, d, 0);
      });
      return;
    case FaultKind::reportsLate:
      schedule(fault.at, [this, magnitude = fault.magnitude] {
        context_.extraReportDelay = static_cast<Micros>(magnitude * second);
      });
      schedule(end, [this] { context_.extraReportDelay = 0; });
      return;
    case FaultKind::directorKill:
    case FaultKind::directorRoll: {
      const auto all = static_cast<std::size_t>(day_.directors);
      const auto n =
          std::max<std::size_t>(1, static_cast<std::size_t>(fault.share * static_cast<double>(all) + 0.5));
      const std::vector<std::size_t> hit = chance_.sample(all, n);
      for (std::size_t i = 0; i < hit.size(); ++i) {
        const int directorIndex = static_cast<int>(hit[i]);
        const Micros at =
            fault.kind == FaultKind::directorKill
                ? fault.at
                : fault.at + static_cast<Micros>(i) * fault.duration / static_cast<Micros>(hit.size());
        schedule(at, [this, directorIndex] {
          recordEvent(history::EventKind::killDirector, directorIndex);
          processes_.kill(directorIndex, context_.now(), record_);
        });
        schedule(at + directorDowntime, [this, directorIndex] {
          recordEvent(history::EventKind::startDirector, directorIndex);
          processes_.start(directorIndex);
        });
      }
      return;
    }
    case FaultKind::directorStop: {
      const auto all = static_cast<std::size_t>(day_.directors);
      const auto n =
          std::max<std::size_t>(1, static_cast<std::size_t>(fault.share * static_cast<double>(all) + 0.5));
      for (const std::size_t directorIndex : chance_.sample(all, n)) {
        schedule(fault.at, [this, directorIndex] {
          recordEvent(history::EventKind::stallDirector, static_cast<int>(directorIndex), 1);
          processes_.pause(static_cast<int>(directorIndex), context_.now());
        });
        schedule(end, [this, directorIndex] {
          recordEvent(history::EventKind::stallDirector, static_cast<int>(directorIndex), 0);
          processes_.resume(static_cast<int>(directorIndex), context_.now(), record_);
        });
      }
      return;
    }
    case FaultKind::crowd:
    case FaultKind::burst:
    case FaultKind::closers:
    case FaultKind::repeats:
    case FaultKind::mute:
    case FaultKind::garbage:
      return;  // drawArrivals() applies these to the workload
  }
}

void DayRunner::runUntil(const std::function<bool()>& condition) {
  while (!condition()) {
    const timeval wait{0, 2000};
    event_base_loopexit(base_.get(), &wait);
    event_base_loop(base_.get(), EVLOOP_ONCE);
    const Micros now = context_.now();
    // The earliest first. An action may add others, so search again after each.
    while (true) {
      const auto due =
          std::min_element(scheduledActions_.begin(), scheduledActions_.end(),
                           [](const ScheduledAction& a, const ScheduledAction& b) { return a.at < b.at; });
      if (due == scheduledActions_.end() || due->at > now) break;
      const auto action = std::move(due->action);
      scheduledActions_.erase(due);
      action();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) nodes_[i]->tick();
    if (now - worldSteppedAt_ >= worldStepInterval) worldSteppedAt_ = now, world_.step(now);
    if (now - portsReadAt_ >= portsReadInterval) portsReadAt_ = now, processes_.readPorts();
    publishList();
    if (playerPool_) playerPool_->tick();
  }
}

RunResult DayRunner::run() {
  context_.dayStart = net::monotonicNow();
  context_.remainingLength = [this](const std::string& viewer) {
    return playerPool_ ? playerPool_->remainingLength(viewer) : second;
  };
  context_.metJoinObjective = [this](const std::string& viewer, int roomType) {
    return playerPool_ && playerPool_->metJoinObjective(viewer, roomType);
  };
  byCell_.resize(static_cast<std::size_t>(day_.nodes));
  for (int cell = 0; cell < day_.nodes; ++cell) setListedState(startNode(cell, false).node, NodeState::ready);
  publishListAt_ = 1;
  publishList();
  for (int directorIndex = 0; directorIndex < day_.directors; ++directorIndex)
    processes_.start(directorIndex);
  runUntil([this] {
    if (context_.now() > startUpTimeout)
      throw std::runtime_error("directors did not come up; see their logs with --keep");
    return std::all_of(processes_.directors().begin(), processes_.directors().end(),
                       [](const DirectorProcess& p) { return p.playersPort != 0; });
  });

  // The day starts now. Times recorded so far are node starts and list publications: make them relative.
  const Micros startUpTime = context_.now();
  context_.dayStart += startUpTime;
  for (auto& start : record_.starts) start.at -= startUpTime;
  for (auto& word : record_.listedStates) word.at -= startUpTime;
  worldSteppedAt_ = portsReadAt_ = 0;
  dayStarted_ = true;
  for (const ScheduledFault& fault : day_.faults) scheduleFault(fault);
  playerPool_ =
      std::make_unique<PlayerPool>(context_, processes_, drawArrivals(day_, options_.seed), options_.seed);
  runUntil([this] { return context_.now() >= day_.length; });
  world_.stopEarningBenefit();
  const Micros dayEndedAt = context_.now();
  runUntil([&] {
    return (playerPool_->done() && scheduledActions_.empty()) || context_.now() > dayEndedAt + settleTimeout;
  });
  const bool cleanExit = processes_.terminateAll();
  if (!options_.historyFile.empty()) writeHistory();
  return makeResult(cleanExit);
}

// Writes the inputs of the run as a history: the requests as drawn and the faults as they happened. What the
// directors decided is not part of it.
void DayRunner::writeHistory() {
  history_.settingsFile =
      std::filesystem::relative(day_.settingsFile,
                                std::filesystem::absolute(options_.historyFile).parent_path())
          .string();
  history_.seed = options_.seed;
  history_.directors = day_.directors;
  history_.nodes = day_.nodes;
  history_.zones = day_.zones;
  history_.linkKb = day_.linkKb;
  history_.minSetUpTime = day_.minSetUpTime;
  history_.maxSetUpTime = day_.maxSetUpTime;
  for (const Arrival& a : drawArrivals(day_, options_.seed)) {
    history_.events.push_back(
        {a.at, history::EventKind::request, a.viewer, 0, a.roomType, a.title, a.top, a.length});
    if (a.behaviour == ClientBehaviour::disconnects)
      history_.events.push_back(
          {a.at + historyDisconnectDelay, history::EventKind::disconnect, a.viewer, 0, 0, 0, 0, 0});
  }
  std::stable_sort(
      history_.events.begin(), history_.events.end(),
      [](const history::HistoryEvent& a, const history::HistoryEvent& b) { return a.at < b.at; });
  std::ofstream out(options_.historyFile);
  history::write(out, history_);
  if (!out.flush()) throw std::runtime_error(options_.historyFile + ": cannot be written");
}

RunResult DayRunner::makeResult(bool cleanExit) {
  RunResult result;
  audit::CheckSettings statistics;
  statistics.controlSettings = day_.deployment.controlSettings;
  statistics.clientTimeouts = day_.deployment.clientTimeouts;
  statistics.grace = day_.deployment.sessionLimits.grace;
  statistics.answerTolerance = day_.answerSlack;
  statistics.orderTolerance = orderSlack;
  statistics.maxListDelay = day_.deployment.listPollInterval + listReadSlack;
  result.rows = audit::check(record_, statistics);
  result.playerStatistics = playerPool_->statistics();
  double earned = 0;
  for (const auto& [viewer, benefit] : world_.earnedBenefit()) earned += benefit;
  result.service = result.playerStatistics.offered > 0 ? earned / result.playerStatistics.offered : 0;
  result.setUps = record_.setUps.size();
  result.overloadedNodes = record_.overloadedNodes.size();
  result.rungChangesPerMinute =
      world_.playedSeconds() > 0 ? world_.rungChanges() * 60 / world_.playedSeconds() : 0;
  result.directorCpuSeconds = processes_.cpuSeconds();
  result.cleanEnd = cleanExit;
  return result;
}

}  // namespace

std::size_t RunResult::broken() const {
  std::size_t n = 0;
  for (const audit::RuleResult& row : rows) n += row.violations;
  return n;
}
std::size_t RunResult::untested() const {
  return static_cast<std::size_t>(
      std::count_if(rows.begin(), rows.end(), [](const audit::RuleResult& r) { return r.tested == 0; }));
}

RunResult runDay(const RunOptions& options) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot start");
  std::string folder = options.keepFolder;
  if (folder.empty()) {
    const char* under = std::getenv("TMPDIR");
    folder = std::string(under == nullptr ? "/tmp" : under) + "/lupinsill-lab-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error(folder + ": cannot be made");
  } else {
    std::filesystem::create_directories(folder);
    folder = std::filesystem::absolute(folder).string();
  }
  // Removes the temporary folder at the end; an empty name keeps it.
  struct Cleaner {
    std::string folder;
    ~Cleaner() {
      std::error_code ignored;
      if (!folder.empty()) std::filesystem::remove_all(folder, ignored);
    }
  } cleaner{options.keepFolder.empty() ? folder : ""};
  DayRunner runner(options, folder);
  return runner.run();
}

std::string formatReport(const RunResult& r) {
  std::string out;
  char line[400];
  std::snprintf(line, sizeof line, "%-22s %8s %8s   %s\n", "rule", "tested", "broken",
                "nearest to its limit");
  out += line;
  for (const audit::RuleResult& row : r.rows) {
    std::snprintf(line, sizeof line, "%-22s %8zu %8zu   %s\n", row.rule.c_str(), row.tested, row.violations,
                  row.closestCase.c_str());
    out += line;
    for (const std::string& words : row.firstViolations) out += "    " + words + "\n";
  }
  const PlayerStatistics& t = r.playerStatistics;
  std::snprintf(
      line, sizeof line,
      "asks %zu: playing %zu (within the objective %zu), throttled %zu, terminated %zu, unanswered %zu\n"
      "sockets lost %zu, paid asks repeated after it %zu, players never connected %zu, garbage sent %zu "
      "and closed %zu\n"
      "set-ups at nodes %zu, nodes overloaded %zu, rung changes per subscription-minute %.2f, "
      "directors' CPU %.1f s\n",
      t.requests, t.playing, t.metJoinObjective, t.throttled, t.terminated, t.unanswered, t.socketsLost,
      t.requestsRepeated, t.neverConnected, t.garbageSent, t.garbageClosed, r.setUps, r.overloadedNodes,
      r.rungChangesPerMinute, r.directorCpuSeconds);
  out += line;
  std::snprintf(line, sizeof line, "service %.3f (benefit within the join objective over benefit asked)\n",
                r.service);
  out += line;
  if (!r.cleanEnd) out += "a director did not end cleanly when told to\n";
  return out;
}

}  // namespace lupinsill::lab
