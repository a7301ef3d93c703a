// Plays every scenario in tests/scenarios against the decision module (src/control.h).
//
// A scenario is a text file of one command per line; # starts a comment. A command consists of words and of
// KEY=VALUE pairs, which may be omitted: the function that reads the command lists them with their defaults.
// Durations are in milliseconds.
//
//   terms                  changes the settings of the deployment
//   room NAME              adds a room type; the first one is the default of requests
//   party NAME quota=Q     adds a tenant with a quota of requests per second
//   node ID                adds an entry to the next list update
//   told KIND              sends a list update (changes, total, warm or lost) with the entries added before
//   request SUB            sends a request of the subscription SUB
//   serve SUB              sends a request and starts the join that it led to
//   underway SUB NODE      adopts a subscription that plays on the node
//   began SUB              the last join of SUB has started to play
//   note SUB KIND VALUE    SUB measures delivered, rung, link or uplink
//   ended SUB OUTCOME      the last join of SUB has ended; share, use and uplink are its load report
//   lapsed SUB             SUB is abandoned
//   wait MS                lets time pass and fires the timers that are due
//   stand                  stalls the director: events are queued
//   go                     ends the stall: the queued events are processed in one turn
//   restart                replaces the director by a new one
//   times N every MS ...   repeats the command that follows; % in its words is the number of the repetition
//   fresh                  discards the recorded actions
//   > PATTERN              expects a recorded action that matches; discards it and all earlier ones
//   >! PATTERN             expects that no recorded action matches
//   > nothing              expects that there are no recorded actions
//   count PATTERN          expects at least `least` and at most `most` matching recorded actions
//
// Actions are recorded as "join SUB NODE TIMEOUT", "rung SUB RUNG", "calloff SUB JOIN" (CancelJoin),
// "throttle SUB RETRY_AFTER", "terminate SUB" and "follow" (WatchList). A pattern is a prefix of the words of
// an action; * matches any word.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "control.h"

namespace {

using namespace lupinsill;
using Words = std::vector<std::string>;

constexpr std::size_t noNodeWord = 99;  // position beyond the words of any command

// A parsed command.
struct Line {
  Words words;
  std::map<std::string, std::string> values;
  bool has(const std::string& key) const { return values.count(key) != 0; }
  double number(const std::string& key, double fallback = 0) const {
    return has(key) ? std::stod(values.at(key)) : fallback;
  }
  int integer(const std::string& key, int fallback = 0) const {
    return static_cast<int>(number(key, fallback));
  }
  // A duration stated in milliseconds.
  Micros micros(const std::string& key, double fallback = 0) const {
    return static_cast<Micros>(number(key, fallback) * 1000);
  }
  std::string text(const std::string& key, const std::string& fallback = "") const {
    return has(key) ? values.at(key) : fallback;
  }
};

Line parseLine(const std::string& text) {
  Line line;
  std::istringstream in(text.substr(0, text.find('#')));
  for (std::string word; in >> word;) {
    const auto equals = word.find('=');
    if (equals == std::string::npos || equals == 0)
      line.words.push_back(word);
    else
      line.values[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return line;
}

std::vector<double> parseNumbers(const std::string& text) {
  std::vector<double> all;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) all.push_back(std::stod(part));
  return all;
}

template <class E>
E parseEnum(const std::string& word, std::map<std::string, E> known) {
  INFO("word " << word);
  REQUIRE(known.count(word) == 1);
  return known[word];
}

// Plays one scenario file. The settings below are the defaults of the terms command.
class Scenario {
 public:
  explicit Scenario(const std::filesystem::path& file) : file_(file) {
    settings_.ladderKb = {100, 200, 400, 800};
    settings_.rungBenefit = {0.25, 0.45, 0.7, 1};
    settings_.slotsByKind = {40};
    settings_.zone = "a";
    settings_.cells = 100;
    settings_.racks = 100;
    settings_.maxJoins = 3;
    settings_.weightKb = 10000;
    settings_.rackUplinkKb = 1000000;
    settings_.startCapacity = 0.5;
    settings_.overloadFactor = 2;
    settings_.seenAfter = 500'000;
    settings_.reportInterval = 3'000'000;
    settings_.maxRetryAfter = 1'000'000;
    settings_.retryAfter = settings_.cancelling = true;
  }

  void play() {
    std::ifstream in(file_);
    int number = 0;
    for (std::string text; std::getline(in, text);) {
      ++number;
      const Line line = parseLine(text);
      if (line.words.empty() && line.values.empty()) continue;
      INFO(file_.filename().string() << ":" << number << ": " << text
                                     << "\nactions since: " << describeActions());
      step(line);
    }
  }

 private:
  void step(const Line& line) {
    const std::string& verb = line.words.at(0);
    if (verb == "terms") return readSettings(line);
    if (verb == "room") return readRoomType(line);
    if (verb == "party") return void(settings_.quotaPerSecond.push_back(line.number("quota")));
    if (verb == "node") return readNode(line);
    if (verb == ">") return expect(line, true);
    if (verb == ">!") return expect(line, false);
    if (verb == "count") return count(line);
    if (verb == "restart") return void(control_.reset());
    if (verb == "stand") return void(stalled_ = true);
    if (verb == "go") return stalled_ = false, processEvents();
    if (verb == "fresh") return void(recordedActions_.clear());
    if (verb == "wait") return wait(static_cast<Micros>(std::stod(line.words.at(1)) * 1000));
    if (verb == "times") return times(line);
    sendEvent(line);
  }

  void readSettings(const Line& line) {
    settings_.directors = line.integer("directors", settings_.directors);
    settings_.ordinal = line.integer("ordinal", settings_.ordinal);
    settings_.maxJoins = line.integer("joins", settings_.maxJoins);
    settings_.cells = line.integer("cells", settings_.cells);
    settings_.racks = line.integer("racks", settings_.racks);
    settings_.rackUplinkKb = line.number("rackKb", settings_.rackUplinkKb);
    settings_.weightKb = line.number("weightKb", settings_.weightKb);
    settings_.refusalThreshold = line.number("refusesFrom", settings_.refusalThreshold);
    settings_.overloadFactor = line.number("overload", settings_.overloadFactor);
    settings_.switchSeconds = line.number("switch", settings_.switchSeconds);
    settings_.coldTime = line.micros("cold", static_cast<double>(settings_.coldTime) / 1000);
    settings_.fallTime = line.micros("fall", static_cast<double>(settings_.fallTime) / 1000);
    settings_.seenAfter = line.micros("seen", static_cast<double>(settings_.seenAfter) / 1000);
    settings_.reportInterval = line.micros("reports", static_cast<double>(settings_.reportInterval) / 1000);
    settings_.retryAfter = line.integer("retryAfter", settings_.retryAfter) != 0;
    settings_.uplinksReported = line.integer("uplinks", settings_.uplinksReported) != 0;
    settings_.listOnRequest = line.integer("onRequest", settings_.listOnRequest) != 0;
    if (line.has("ladder")) settings_.ladderKb = parseNumbers(line.text("ladder"));
    if (line.has("benefit")) settings_.rungBenefit = parseNumbers(line.text("benefit"));
    if (line.has("places")) settings_.slotsByKind = {line.integer("places")};
    if (line.has("further"))
      settings_.retryBudget = RetryBudget{line.integer("few"), line.number("further"), line.micros("window")};
  }

  void readRoomType(const Line& line) {
    RoomType room;
    roomTypeNames_.push_back(line.words.at(1));
    room.effect = parseEnum<Effect>(
        line.text("effect", "repeatable"),
        {{"repeatable", Effect::repeatable}, {"byKey", Effect::byKey}, {"once", Effect::once}});
    room.group = parseEnum<Group>(line.text("group", "all"),
                                  {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    room.window = line.micros("window", 5000);
    room.joinObjective = line.micros("objective", 1000);
    room.benefit = line.number("benefit", 1);
    room.rateFactor = line.number("factor", 1);
    room.floor = line.integer("floor", 0);
    room.top = line.integer("top", 3);
    room.seats = line.integer("seats", 0);
    settings_.roomTypes.push_back(room);
  }

  void readNode(const Line& line) {
    ListEntry entry;
    entry.node = static_cast<NodeId>(std::stoul(line.words.at(1)));
    entry.state = parseEnum<NodeState>(
        line.text("state", "ready"),
        {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
    entry.cell = line.integer("cell", static_cast<int>(entry.node));
    entry.weight = line.number("weight", 1);
    entry.zone = line.text("zone", "a");
    entry.readyAt = line.micros("ready", 0);
    pendingEntries_.push_back(entry);
  }

  SubscriptionId subscriptionId(const std::string& name) {
    const auto [it, fresh] = subscriptionIds_.try_emplace(name, subscriptionIds_.size() + 1);
    if (fresh) subscriptionNames_[it->second] = name;
    return it->second;
  }

  SubscriptionInfo subscriptionInfo(const Line& line) {
    SubscriptionInfo info;
    info.sub = subscriptionId(line.words.at(1));
    const auto it =
        std::find(roomTypeNames_.begin(), roomTypeNames_.end(), line.text("room", roomTypeNames_.at(0)));
    REQUIRE(it != roomTypeNames_.end());
    info.roomType = static_cast<int>(it - roomTypeNames_.begin());
    if (line.has("roomIndex")) info.roomType = line.integer("roomIndex");
    info.title = line.text("title", "t");
    info.viewer = line.text("viewer", "v-" + line.words.at(1));
    info.firstCell = line.integer("cell", 0);
    info.holders = line.integer("holders", settings_.cells);
    info.top = line.integer("top", 3);
    info.deadline = now_ + line.micros("timeout", 4000);
    info.party = line.integer("party", -1);
    info.moved = line.integer("moved", 0) != 0;
    if (line.has("length")) info.length = line.micros("length");
    return info;
  }

  void sendEvent(const Line& line) {
    const std::string& verb = line.words.at(0);
    if (verb == "told") {
      const auto kind = parseEnum<ListKind>(line.words.at(1), {{"changes", ListKind::changes},
                                                               {"total", ListKind::snapshot},
                                                               {"warm", ListKind::cachedSnapshot},
                                                               {"lost", ListKind::lost}});
      return send(ListUpdate{kind, std::exchange(pendingEntries_, {})});
    }
    if (verb == "request") return send(SubscriptionRequested{subscriptionInfo(line)});
    if (verb == "serve") {
      send(SubscriptionRequested{subscriptionInfo(line)});
      if (placements_.count(subscriptionId(line.words.at(1))) != 0)
        send(
            JoinStarted{subscriptionId(line.words.at(1)), joinCounts_[subscriptionId(line.words.at(1))] - 1});
      return;
    }
    if (verb == "underway") {
      joinCounts_[subscriptionId(line.words.at(1))] = 1;
      placements_[subscriptionId(line.words.at(1))].second = true;
      return send(SubscriptionAdopted{subscriptionInfo(line), nodeFor(line, 2)});
    }
    if (verb == "began") {
      placements_[subscriptionId(line.words.at(1))].second = true;
      return send(
          JoinStarted{subscriptionId(line.words.at(1)), joinCounts_[subscriptionId(line.words.at(1))] - 1});
    }
    if (verb == "note") {
      const auto kind =
          parseEnum<MeasurementKind>(line.words.at(2), {{"delivered", MeasurementKind::delivered},
                                                        {"rung", MeasurementKind::rung},
                                                        {"link", MeasurementKind::link},
                                                        {"uplink", MeasurementKind::uplink}});
      return send(MeasurementReported{subscriptionId(line.words.at(1)), nodeFor(line, noNodeWord), kind,
                                      std::stod(line.words.at(3))});
    }
    if (verb == "ended") {
      const auto outcome = parseEnum<Outcome>(line.words.at(2), {{"ok", Outcome::ok},
                                                                 {"error", Outcome::error},
                                                                 {"full", Outcome::full},
                                                                 {"timeout", Outcome::timeout},
                                                                 {"connectFailed", Outcome::connectFailed},
                                                                 {"reset", Outcome::reset},
                                                                 {"cancelled", Outcome::cancelled},
                                                                 {"moot", Outcome::notSent}});
      LoadReport report;
      if (line.has("share")) report.linkShare = line.number("share");
      if (line.has("use")) report.linkUse = line.number("use");
      if (line.has("uplink")) report.uplinkUse = line.number("uplink");
      const bool playing = placements_[subscriptionId(line.words.at(1))].second;
      return send(JoinEnded{subscriptionId(line.words.at(1)), nodeFor(line, noNodeWord),
                            line.integer("join", joinCounts_[subscriptionId(line.words.at(1))] - 1), outcome,
                            line.integer("settled", playing || outcome == Outcome::ok) != 0, report});
    }
    if (verb == "lapsed") return send(SubscriptionAbandoned{subscriptionId(line.words.at(1))});
    FAIL("unknown verb " << verb);
  }

  NodeId nodeFor(const Line& line, std::size_t position) {
    auto& at = placements_[subscriptionId(line.words.at(1))];
    if (line.words.size() > position) at.first = static_cast<NodeId>(std::stoul(line.words[position]));
    if (line.has("node")) return static_cast<NodeId>(line.integer("node"));
    return at.first;
  }

  void send(const Event& event) {
    if (!control_) control_.emplace(settings_, 7);
    queuedEvents_.push_back(event);
    if (!stalled_) processEvents();
  }

  void processEvents() {
    std::vector<Action> out;
    control_->handle(now_, std::exchange(queuedEvents_, {}), out);
    for (const Action& action : out) record(action);
  }

  void record(const Action& action) {
    std::ostringstream text;
    if (const auto* a = std::get_if<SetRung>(&action))
      text << "rung " << subscriptionNames_[a->sub] << ' ' << a->rung;
    if (const auto* a = std::get_if<Join>(&action)) {
      placements_[a->sub] = {a->node, false};
      ++joinCounts_[a->sub];
      text << "join " << subscriptionNames_[a->sub] << ' ' << a->node << ' ' << a->timeout / 1000;
    }
    if (const auto* a = std::get_if<CancelJoin>(&action))
      text << "calloff " << subscriptionNames_[a->sub] << ' ' << a->join;
    if (const auto* a = std::get_if<Throttle>(&action))
      text << "throttle " << subscriptionNames_[a->sub] << ' ' << a->retryAfter / 1000;
    if (const auto* a = std::get_if<Terminate>(&action)) text << "terminate " << subscriptionNames_[a->sub];
    if (std::holds_alternative<WatchList>(action)) text << "follow";
    if (const auto* a = std::get_if<SetTimer>(&action)) {
      timers_.emplace(now_ + a->span, a->key);
      return;
    }
    recordedActions_.push_back(text.str());
  }

  void wait(Micros span) {
    const Micros until = now_ + span;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, key] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = at;
      if (control_) send(TimerFired{key});
    }
    now_ = until;
  }

  // "times N every MS COMMAND": executes the command N times, % replaced by the number of the repetition.
  void times(const Line& line) {
    const int repetitions = std::stoi(line.words.at(1));
    for (int repetition = 1; repetition <= repetitions; ++repetition) {
      Line command{{line.words.begin() + 4, line.words.end()}, line.values};
      const auto fill = [&](std::string& word) {
        if (const auto at = word.find('%'); at != std::string::npos)
          word.replace(at, 1, std::to_string(repetition));
      };
      for (auto& word : command.words) fill(word);
      for (auto& [key, word] : command.values) fill(word);
      step(command);
      wait(static_cast<Micros>(std::stod(line.words.at(3)) * 1000));
    }
  }

  static bool matches(const std::string& action, const Line& pattern, std::size_t from) {
    const Words words = parseLine(action).words;
    for (std::size_t i = from; i < pattern.words.size(); ++i)
      if (i - from >= words.size() || (pattern.words[i] != "*" && pattern.words[i] != words[i - from]))
        return false;
    return true;
  }

  // "> PATTERN" (wanted), ">! PATTERN" (not wanted) and "> nothing".
  void expect(const Line& line, bool wanted) {
    if (line.words.at(1) == "nothing") {
      CHECK(recordedActions_.empty());
      return;
    }
    const auto it = std::find_if(recordedActions_.begin(), recordedActions_.end(),
                                 [&](const auto& a) { return matches(a, line, 1); });
    CHECK((it != recordedActions_.end()) == wanted);
    if (wanted && it != recordedActions_.end()) recordedActions_.erase(recordedActions_.begin(), it + 1);
  }

  void count(const Line& line) {
    const auto matching = std::count_if(recordedActions_.begin(), recordedActions_.end(),
                                        [&](const auto& a) { return matches(a, line, 1); });
    INFO("counted " << matching);
    CHECK(matching >= line.integer("least", 0));
    CHECK(matching <= line.integer("most", 1'000'000));
  }

  std::string describeActions() const {
    std::string all;
    for (const auto& action : recordedActions_) all += "\n  " + action;
    return all;
  }

  std::filesystem::path file_;
  ControlSettings settings_;
  std::optional<Control> control_;
  Micros now_ = 1'000'000'000;
  std::vector<ListEntry> pendingEntries_;
  std::map<std::string, SubscriptionId> subscriptionIds_;
  std::map<SubscriptionId, std::string> subscriptionNames_;
  std::map<SubscriptionId, std::pair<NodeId, bool>> placements_;  // its node, and whether it plays there
  std::map<SubscriptionId, int> joinCounts_;
  std::vector<std::string> roomTypeNames_;
  std::vector<Event> queuedEvents_;  // of the current turn, or of a stall
  bool stalled_ = false;
  std::multimap<Micros, std::int64_t> timers_;
  std::vector<std::string> recordedActions_;
};

}  // namespace

TEST_CASE("scenarios") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  REQUIRE_FALSE(files.empty());
  for (const auto& file : files) {
    DYNAMIC_SECTION(file.stem().string()) { Scenario(file).play(); }
  }
}
