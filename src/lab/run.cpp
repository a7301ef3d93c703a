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
constexpr Micros stepSpan = 50 * millisecond;
constexpr Micros upTime = 20 * second;       // for directors to come up
constexpr Micros settleTime = 12 * second;   // after the last ask
constexpr Micros drainSpan = 3 * second;     // between `draining` and `gone`
constexpr Micros replaceAfter = 1 * second;  // a killed node's successor starts
constexpr Micros downTime = 1500 * millisecond;

std::string utc(Micros wall) {
  const std::time_t seconds = static_cast<std::time_t>(wall / second);
  std::tm tm{};
  gmtime_r(&seconds, &tm);
  char text[40], part[8];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
  std::snprintf(part, sizeof part, ".%03dZ", static_cast<int>(wall / 1000 % 1000));
  return std::string(text) + part;
}

// One day: the fleet, its list, the directors, the players, and the script of what goes wrong.
class Laboratory {
 public:
  Laboratory(const RunOptions& options, std::string folder)
      : options_(options),
        day_(readDay(options.dayFile)),
        base_(event_base_new()),
        world_(day_.deployment.terms, {day_.linkKb, day_.spread, day_.titles}, options.seed),
        chance_(options.seed, 4),
        folder_(std::move(folder)),
        processes_(day_, folder_, arguments(options)) {
    stage_.base = base_.get();
    stage_.day = &day_;
    stage_.world = &world_;
    stage_.record = &record_;
  }

  RunResult play();

 private:
  struct Act {
    Micros at;
    std::function<void()> what;
  };
  struct Listed {
    StandIn* node;
    NodeState state;
  };
  static std::vector<std::string> arguments(const RunOptions& options);
  void later(Micros at, std::function<void()> what) { acts_.push_back({at, std::move(what)}); }
  StandIn& boot(int cell, bool cold);
  void retire(StandIn& node);
  void list(NodeId node, NodeState state);
  void publish();
  void script(const Trouble& trouble);
  std::vector<std::size_t> someNodes(double share);
  void replace(int cell);
  void drainAndReplace(int cell, Micros at, bool replaced);
  void loop(const std::function<bool()>& until);
  RunResult verdict(bool clean);

  void happened(history::What what, int who, double much = 0) {
    if (begun_) history_.happenings.push_back({stage_.now(), what, who, much, 0, 0, 0, 0});
  }
  void keepHistory();

  RunOptions options_;
  Day day_;
  history::History history_;
  bool begun_ = false;
  net::EventBase base_;
  audit::Record record_;
  model::World world_;
  Stage stage_;
  Chance chance_;
  std::string folder_;
  Processes processes_;
  std::vector<std::unique_ptr<StandIn>> nodes_;
  std::vector<StandIn*> byCell_;
  std::map<NodeId, Listed> listed_;
  std::unique_ptr<Crowd> crowd_;
  std::vector<Act> acts_;
  NodeId nextNode_ = 0;
  std::uint64_t listVersion_ = 0;
  Micros publishAt_ = 0;
  Micros staleUntil_ = 0;
  Micros steppedAt_ = 0;
  Micros lookedAt_ = 0;
};

std::vector<std::string> Laboratory::arguments(const RunOptions& options) {
  std::vector<std::string> words;
  if (!options.plant.empty()) words.insert(words.end(), {"--plant", options.plant});
  if (!options.policy.empty()) words.insert(words.end(), {"--policy", options.policy});
  words.insert(words.end(), {"--seed", std::to_string(options.seed)});
  return words;
}

StandIn& Laboratory::boot(int cell, bool cold) {
  const NodeId id = ++nextNode_;
  nodes_.push_back(std::make_unique<StandIn>(stage_, id, cell, "zone" + std::to_string(cell % day_.zones),
                                             cold, options_.seed));
  byCell_[static_cast<std::size_t>(cell)] = nodes_.back().get();
  if (cold) happened(history::What::start, static_cast<int>(id), cell);
  return *nodes_.back();
}

void Laboratory::retire(StandIn& node) {
  if (node.dead()) return;
  happened(history::What::kill, static_cast<int>(node.node));
  node.kill();
}

void Laboratory::list(NodeId node, NodeState state) {
  if (state != NodeState::ready)
    happened(state == NodeState::gone ? history::What::gone : history::What::drain, static_cast<int>(node));
  if (state == NodeState::gone)
    listed_.erase(node);
  else
    listed_[node] = {
        std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& n) { return n->node == node; })->get(),
        state};
  publishAt_ = publishAt_ == 0 ? stage_.now() + day_.listLate : publishAt_;
}

// The whole list under another name, then renamed: a director never reads half of one.
void Laboratory::publish() {
  const Micros now = stage_.now();
  if (publishAt_ == 0 || now < publishAt_ || now < staleUntil_) return;
  publishAt_ = 0;
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
              std::to_string(t * 7 % day_.deployment.terms.cells) + "\" holders=\"" +
              std::to_string(day_.holders) + "\"/>\n";
  text += "</nodes>\n";
  const std::string next = folder_ + "/nodes.next";
  std::ofstream(next) << text;
  std::filesystem::rename(next, processes_.listFile());
  for (const auto& start : record_.starts) {
    const auto it = listed_.find(start.node);
    const NodeState state = it == listed_.end() ? NodeState::gone : it->second.state;
    record_.words.push_back({start.node, now, state});
  }
}

std::vector<std::size_t> Laboratory::someNodes(double share) {
  const auto all = static_cast<std::size_t>(day_.nodes);
  return chance_.some(
      all, std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(all) + 0.5)));
}

void Laboratory::replace(int cell) {
  StandIn& next = boot(cell, true);
  list(next.node, NodeState::ready);
}

void Laboratory::drainAndReplace(int cell, Micros at, bool replaced) {
  later(at, [this, cell] {
    StandIn& node = *byCell_[static_cast<std::size_t>(cell)];
    node.drain();
    if (!node.dead()) list(node.node, NodeState::draining);
  });
  later(at + drainSpan, [this, cell, replaced] {
    StandIn& node = *byCell_[static_cast<std::size_t>(cell)];
    list(node.node, NodeState::gone);
    retire(node);
    if (replaced) replace(cell);
  });
}

void Laboratory::script(const Trouble& t) {
  const Micros end = t.at + t.span;
  const auto on = [&](const std::vector<std::size_t>& cells, auto begin, auto finish) {
    const auto tell = [this, kind = t.kind](const StandIn& n, double much) {
      const auto id = static_cast<int>(n.node);
      if (kind == Kind::hang) happened(history::What::hang, id, much > 0);
      if (kind == Kind::answersLost) happened(history::What::lose, id, much > 0);
      if (kind == Kind::fastErrors) happened(history::What::fail, id, much);
      if (kind == Kind::linkCut) happened(history::What::linkCut, id, much);
    };
    for (const std::size_t cell : cells) {
      later(t.at, [this, cell, begin, tell, much = std::max(t.much, 1e-3)] {
        if (byCell_[cell]->dead()) return;
        tell(*byCell_[cell], much);
        begin(*byCell_[cell]);
      });
      later(end, [this, cell, finish, tell] {
        if (byCell_[cell]->dead()) return;
        tell(*byCell_[cell], 0);
        finish(*byCell_[cell]);
      });
    }
  };
  switch (t.kind) {
    case Kind::answersLost:
      return on(
          someNodes(t.share), [](StandIn& n) { n.faults.loseAnswers = true; },
          [](StandIn& n) { n.faults.loseAnswers = false; });
    case Kind::hang:
      return on(
          someNodes(t.share), [this](StandIn& n) { n.faults.hang = true, world_.stall(n.node, true); },
          [this](StandIn& n) { n.faults.hang = false, world_.stall(n.node, false); });
    case Kind::fastErrors:
      return on(
          someNodes(t.share), [much = t.much](StandIn& n) { n.faults.fail = much; },
          [](StandIn& n) { n.faults.fail = 0; });
    case Kind::slow:
      return on(
          someNodes(t.share), [much = t.much](StandIn& n) { n.faults.slow = much; },
          [](StandIn& n) { n.faults.slow = 0; });
    case Kind::linkCut:
      return on(
          someNodes(t.share),
          [this, much = t.much](StandIn& n) { world_.cutLink(n.node, std::max(1.0, much)); },
          [this](StandIn& n) { world_.cutLink(n.node, 1); });
    case Kind::uplinkCut: {
      const auto racks = static_cast<std::size_t>(std::max(1, day_.deployment.terms.racks));
      const auto n =
          std::max<std::size_t>(1, static_cast<std::size_t>(t.share * static_cast<double>(racks) + 0.5));
      for (const std::size_t rack : chance_.some(racks, n)) {
        later(t.at,
              [this, rack, much = t.much] { world_.cutUplink(static_cast<int>(rack), std::max(1.0, much)); });
        later(end, [this, rack] { world_.cutUplink(static_cast<int>(rack), 1); });
      }
      return;
    }
    case Kind::drain:
      for (const std::size_t cell : someNodes(t.share))
        drainAndReplace(static_cast<int>(cell), t.at + chance_.span(0, t.span), true);
      return;
    case Kind::wave: {
      const std::vector<std::size_t> cells = someNodes(t.share);
      for (std::size_t i = 0; i < cells.size(); ++i)
        drainAndReplace(static_cast<int>(cells[i]),
                        t.at + static_cast<Micros>(i) * t.span / static_cast<Micros>(cells.size()), true);
      return;
    }
    case Kind::kill:
      for (const std::size_t cell : someNodes(t.share)) {
        later(t.at, [this, cell] {
          StandIn& node = *byCell_[cell];
          retire(node);
          list(node.node, NodeState::gone);
        });
        later(t.at + replaceAfter, [this, cell] { replace(static_cast<int>(cell)); });
      }
      return;
    case Kind::listStale:
      later(t.at, [this, end, span = t.span] {
        for (int d = 0; d < day_.directors; ++d)
          happened(history::What::late, d, static_cast<double>(span) / millisecond);
        staleUntil_ = end;
      });
      later(end, [this] {
        for (int d = 0; d < day_.directors; ++d) happened(history::What::late, d, 0);
      });
      return;
    case Kind::reportsLate:
      later(t.at, [this, much = t.much] { stage_.laterBy = static_cast<Micros>(much * second); });
      later(end, [this] { stage_.laterBy = 0; });
      return;
    case Kind::directorKill:
    case Kind::directorRoll: {
      const auto all = static_cast<std::size_t>(day_.directors);
      const auto n =
          std::max<std::size_t>(1, static_cast<std::size_t>(t.share * static_cast<double>(all) + 0.5));
      const std::vector<std::size_t> hit = chance_.some(all, n);
      for (std::size_t i = 0; i < hit.size(); ++i) {
        const int place = static_cast<int>(hit[i]);
        const Micros at = t.kind == Kind::directorKill
                              ? t.at
                              : t.at + static_cast<Micros>(i) * t.span / static_cast<Micros>(hit.size());
        later(at, [this, place] {
          happened(history::What::down, place);
          processes_.kill(place, stage_.now(), record_);
        });
        later(at + downTime, [this, place] {
          happened(history::What::up, place);
          processes_.start(place);
        });
      }
      return;
    }
    case Kind::directorStop: {
      const auto all = static_cast<std::size_t>(day_.directors);
      const auto n =
          std::max<std::size_t>(1, static_cast<std::size_t>(t.share * static_cast<double>(all) + 0.5));
      for (const std::size_t place : chance_.some(all, n)) {
        later(t.at, [this, place] {
          happened(history::What::stand, static_cast<int>(place), 1);
          processes_.stop(static_cast<int>(place), stage_.now());
        });
        later(end, [this, place] {
          happened(history::What::stand, static_cast<int>(place), 0);
          processes_.go(static_cast<int>(place), stage_.now(), record_);
        });
      }
      return;
    }
    case Kind::crowd:
    case Kind::burst:
    case Kind::closers:
    case Kind::repeats:
    case Kind::mute:
    case Kind::garbage:
      return;  // these are the players'
  }
}

void Laboratory::loop(const std::function<bool()>& until) {
  while (!until()) {
    const timeval wait{0, 2000};
    event_base_loopexit(base_.get(), &wait);
    event_base_loop(base_.get(), EVLOOP_ONCE);
    const Micros now = stage_.now();
    // By their time, not by their place: an act may add others.
    while (true) {
      const auto due = std::min_element(acts_.begin(), acts_.end(),
                                        [](const Act& a, const Act& b) { return a.at < b.at; });
      if (due == acts_.end() || due->at > now) break;
      const auto what = std::move(due->what);
      acts_.erase(due);
      what();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) nodes_[i]->tick();
    if (now - steppedAt_ >= stepSpan) steppedAt_ = now, world_.step(now);
    if (now - lookedAt_ >= 20 * millisecond) lookedAt_ = now, processes_.look();
    publish();
    if (crowd_) crowd_->tick();
  }
}

RunResult Laboratory::play() {
  stage_.zero = net::monotonicNow();
  stage_.lengthLeft = [this](const std::string& viewer) {
    return crowd_ ? crowd_->lengthLeft(viewer) : second;
  };
  stage_.inTime = [this](const std::string& viewer, int roomType) {
    return crowd_ && crowd_->inTime(viewer, roomType);
  };
  byCell_.resize(static_cast<std::size_t>(day_.nodes));
  for (int cell = 0; cell < day_.nodes; ++cell) list(boot(cell, false).node, NodeState::ready);
  publishAt_ = 1;
  publish();
  for (int place = 0; place < day_.directors; ++place) processes_.start(place);
  loop([this] {
    if (stage_.now() > upTime)
      throw std::runtime_error("directors did not come up; see their logs with --keep");
    return std::all_of(processes_.places().begin(), processes_.places().end(),
                       [](const Place& p) { return p.players != 0; });
  });

  // The day begins here; what the nodes recorded so far are their starts.
  const Micros early = stage_.now();
  stage_.zero += early;
  for (auto& start : record_.starts) start.at -= early;
  for (auto& word : record_.words) word.at -= early;
  steppedAt_ = lookedAt_ = 0;
  begun_ = true;
  for (const Trouble& trouble : day_.troubles) script(trouble);
  crowd_ = std::make_unique<Crowd>(stage_, processes_, drawArrivals(day_, options_.seed), options_.seed);
  loop([this] { return stage_.now() >= day_.length; });
  world_.stopEarning();
  const Micros ends = stage_.now();
  loop([&] { return (crowd_->done() && acts_.empty()) || stage_.now() > ends + settleTime; });
  const bool clean = processes_.end();
  if (!options_.historyFile.empty()) keepHistory();
  return verdict(clean);
}

// What the world did, without what the directors made of it: wishes as drawn, troubles as they hit.
void Laboratory::keepHistory() {
  history_.settingsFile =
      std::filesystem::relative(day_.settingsFile,
                                std::filesystem::absolute(options_.historyFile).parent_path())
          .string();
  history_.seed = options_.seed;
  history_.directors = day_.directors;
  history_.nodes = day_.nodes;
  history_.zones = day_.zones;
  history_.linkKb = day_.linkKb;
  history_.setUpLeast = day_.setUpLeast;
  history_.setUpMost = day_.setUpMost;
  for (const Arrival& a : drawArrivals(day_, options_.seed)) {
    history_.happenings.push_back(
        {a.at, history::What::wish, a.viewer, 0, a.roomType, a.title, a.top, a.length});
    if (a.manner == Manner::closer)
      history_.happenings.push_back({a.at + 60 * millisecond, history::What::cut, a.viewer, 0, 0, 0, 0, 0});
  }
  std::stable_sort(history_.happenings.begin(), history_.happenings.end(),
                   [](const history::Happening& a, const history::Happening& b) { return a.at < b.at; });
  std::ofstream out(options_.historyFile);
  history::write(out, history_);
  if (!out.flush()) throw std::runtime_error(options_.historyFile + ": cannot be written");
}

RunResult Laboratory::verdict(bool clean) {
  RunResult result;
  audit::Statistics statistics;
  statistics.terms = day_.deployment.terms;
  statistics.clientTimeouts = day_.deployment.clientTimeouts;
  statistics.grace = day_.deployment.bounds.grace;
  statistics.answerSlack = day_.answerSlack;
  statistics.orderSlack = 250 * millisecond;
  statistics.listLook = day_.deployment.lookEvery + 400 * millisecond;
  result.rows = audit::check(record_, statistics);
  result.tallies = crowd_->tallies();
  double earned = 0;
  for (const auto& [viewer, benefit] : world_.earned()) earned += benefit;
  result.service = result.tallies.offered > 0 ? earned / result.tallies.offered : 0;
  result.setUps = record_.setUps.size();
  result.fallen = record_.nodesFallen.size();
  result.stepsPerMinute = world_.playedSeconds() > 0 ? world_.steps() * 60 / world_.playedSeconds() : 0;
  result.directorCpuSeconds = processes_.cpuSeconds();
  result.cleanEnd = clean;
  return result;
}

}  // namespace

std::size_t RunResult::broken() const {
  std::size_t n = 0;
  for (const audit::Row& row : rows) n += row.broken;
  return n;
}
std::size_t RunResult::untested() const {
  return static_cast<std::size_t>(
      std::count_if(rows.begin(), rows.end(), [](const audit::Row& r) { return r.tested == 0; }));
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
  struct Cleaner {
    std::string folder;
    ~Cleaner() {
      std::error_code ignored;
      if (!folder.empty()) std::filesystem::remove_all(folder, ignored);
    }
  } cleaner{options.keepFolder.empty() ? folder : ""};
  Laboratory laboratory(options, folder);
  return laboratory.play();
}

std::string formatReport(const RunResult& r) {
  std::string out;
  char line[400];
  std::snprintf(line, sizeof line, "%-22s %8s %8s   %s\n", "rule", "tested", "broken",
                "nearest to its limit");
  out += line;
  for (const audit::Row& row : r.rows) {
    std::snprintf(line, sizeof line, "%-22s %8zu %8zu   %s\n", row.rule.c_str(), row.tested, row.broken,
                  row.nearest.c_str());
    out += line;
    for (const std::string& words : row.first) out += "    " + words + "\n";
  }
  const Tallies& t = r.tallies;
  std::snprintf(
      line, sizeof line,
      "asks %zu: playing %zu (within the objective %zu), throttled %zu, terminated %zu, unanswered %zu\n"
      "sockets lost %zu, paid asks repeated after it %zu, players that reached nobody %zu, garbage sent %zu "
      "and closed %zu\n"
      "set-ups at nodes %zu, nodes fallen over %zu, steps of rung %.2f a subscription-minute, "
      "directors' CPU %.1f s\n",
      t.asks, t.playing, t.inTime, t.throttled, t.terminated, t.unanswered, t.socketsLost, t.askedAgain,
      t.neverReached, t.garbageSent, t.garbageClosed, r.setUps, r.fallen, r.stepsPerMinute,
      r.directorCpuSeconds);
  out += line;
  std::snprintf(line, sizeof line, "service %.3f (benefit within the join objective over benefit asked)\n",
                r.service);
  out += line;
  if (!r.cleanEnd) out += "a director did not end cleanly when told to\n";
  return out;
}

}  // namespace lupinsill::lab
