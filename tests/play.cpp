// Plays every scenario in tests/scenarios against the module. The notation stands in docs/scenarios.md.
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

struct Line {
  Words words;
  std::map<std::string, std::string> values;
  bool has(const std::string& key) const { return values.count(key) != 0; }
  double number(const std::string& key, double instead = 0) const {
    return has(key) ? std::stod(values.at(key)) : instead;
  }
  int whole(const std::string& key, int instead = 0) const { return static_cast<int>(number(key, instead)); }
  Micros ms(const std::string& key, double instead = 0) const {
    return static_cast<Micros>(number(key, instead) * 1000);
  }
  std::string text(const std::string& key, const std::string& instead = "") const {
    return has(key) ? values.at(key) : instead;
  }
};

Line split(const std::string& text) {
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

std::vector<double> numbers(const std::string& text) {
  std::vector<double> all;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) all.push_back(std::stod(part));
  return all;
}

template <class E>
E pick(const std::string& word, std::map<std::string, E> known) {
  INFO("word " << word);
  REQUIRE(known.count(word) == 1);
  return known[word];
}

class Scenario {
 public:
  explicit Scenario(const std::filesystem::path& file) : file_(file) {
    terms_.ladderKb = {100, 200, 400, 800};
    terms_.rungBenefit = {0.25, 0.45, 0.7, 1};
    terms_.slotsByKind = {40};
    terms_.zone = "a";
    terms_.cells = 100;
    terms_.racks = 100;
    terms_.maxJoins = 3;
    terms_.weightKb = 10000;
    terms_.rackUplinkKb = 1000000;
    terms_.startCapacity = 0.5;
    terms_.overloadFactor = 2;
    terms_.seenAfter = 500'000;
    terms_.reportInterval = 3'000'000;
    terms_.maxRetryAfter = 1'000'000;
    terms_.retryAfter = terms_.cancelling = true;
  }

  void play() {
    std::ifstream in(file_);
    int number = 0;
    for (std::string text; std::getline(in, text);) {
      ++number;
      const Line line = split(text);
      if (line.words.empty() && line.values.empty()) continue;
      INFO(file_.filename().string() << ":" << number << ": " << text << "\nactions since: " << shown());
      step(line);
    }
  }

 private:
  void step(const Line& line) {
    const std::string& verb = line.words.at(0);
    if (verb == "terms") return readTerms(line);
    if (verb == "room") return readRoom(line);
    if (verb == "party") return void(terms_.quotaPerSecond.push_back(line.number("quota")));
    if (verb == "node") return readNode(line);
    if (verb == ">") return expect(line, true);
    if (verb == ">!") return expect(line, false);
    if (verb == "count") return count(line);
    if (verb == "restart") return void(control_.reset());
    if (verb == "stand") return void(standing_ = true);
    if (verb == "go") return standing_ = false, act();
    if (verb == "fresh") return void(since_.clear());
    if (verb == "wait") return wait(static_cast<Micros>(std::stod(line.words.at(1)) * 1000));
    if (verb == "times") return times(line);
    event(line);
  }

  void readTerms(const Line& l) {
    terms_.directors = l.whole("directors", terms_.directors);
    terms_.ordinal = l.whole("ordinal", terms_.ordinal);
    terms_.maxJoins = l.whole("joins", terms_.maxJoins);
    terms_.cells = l.whole("cells", terms_.cells);
    terms_.racks = l.whole("racks", terms_.racks);
    terms_.rackUplinkKb = l.number("rackKb", terms_.rackUplinkKb);
    terms_.weightKb = l.number("weightKb", terms_.weightKb);
    terms_.refusalThreshold = l.number("refusesFrom", terms_.refusalThreshold);
    terms_.overloadFactor = l.number("overload", terms_.overloadFactor);
    terms_.switchSeconds = l.number("switch", terms_.switchSeconds);
    terms_.coldTime = l.ms("cold", static_cast<double>(terms_.coldTime) / 1000);
    terms_.fallTime = l.ms("fall", static_cast<double>(terms_.fallTime) / 1000);
    terms_.seenAfter = l.ms("seen", static_cast<double>(terms_.seenAfter) / 1000);
    terms_.reportInterval = l.ms("reports", static_cast<double>(terms_.reportInterval) / 1000);
    terms_.retryAfter = l.whole("retryAfter", terms_.retryAfter) != 0;
    terms_.uplinksReported = l.whole("uplinks", terms_.uplinksReported) != 0;
    terms_.listOnRequest = l.whole("onRequest", terms_.listOnRequest) != 0;
    if (l.has("ladder")) terms_.ladderKb = numbers(l.text("ladder"));
    if (l.has("benefit")) terms_.rungBenefit = numbers(l.text("benefit"));
    if (l.has("places")) terms_.slotsByKind = {l.whole("places")};
    if (l.has("further"))
      terms_.retryBudget = RetryBudget{l.whole("few"), l.number("further"), l.ms("window")};
  }

  void readRoom(const Line& l) {
    RoomType room;
    rooms_.push_back(l.words.at(1));
    room.effect =
        pick<Effect>(l.text("effect", "repeatable"),
                     {{"repeatable", Effect::repeatable}, {"byKey", Effect::byKey}, {"once", Effect::once}});
    room.group = pick<Group>(l.text("group", "all"),
                             {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    room.window = l.ms("window", 5000);
    room.joinObjective = l.ms("objective", 1000);
    room.benefit = l.number("benefit", 1);
    room.rateFactor = l.number("factor", 1);
    room.floor = l.whole("floor", 0);
    room.top = l.whole("top", 3);
    room.seats = l.whole("seats", 0);
    terms_.roomTypes.push_back(room);
  }

  void readNode(const Line& l) {
    ListEntry entry;
    entry.node = static_cast<NodeId>(std::stoul(l.words.at(1)));
    entry.state = pick<NodeState>(
        l.text("state", "ready"),
        {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
    entry.cell = l.whole("cell", static_cast<int>(entry.node));
    entry.weight = l.number("weight", 1);
    entry.zone = l.text("zone", "a");
    entry.readyAt = l.ms("ready", 0);
    told_.push_back(entry);
  }

  SubscriptionId sub(const std::string& name) {
    const auto [it, fresh] = subs_.try_emplace(name, subs_.size() + 1);
    if (fresh) names_[it->second] = name;
    return it->second;
  }

  SubscriptionInfo viewing(const Line& l) {
    SubscriptionInfo v;
    v.sub = sub(l.words.at(1));
    const auto it = std::find(rooms_.begin(), rooms_.end(), l.text("room", rooms_.at(0)));
    REQUIRE(it != rooms_.end());
    v.roomType = static_cast<int>(it - rooms_.begin());
    if (l.has("roomIndex")) v.roomType = l.whole("roomIndex");
    v.title = l.text("title", "t");
    v.viewer = l.text("viewer", "v-" + l.words.at(1));
    v.firstCell = l.whole("cell", 0);
    v.holders = l.whole("holders", terms_.cells);
    v.top = l.whole("top", 3);
    v.deadline = now_ + l.ms("timeout", 4000);
    v.party = l.whole("party", -1);
    v.moved = l.whole("moved", 0) != 0;
    if (l.has("length")) v.length = l.ms("length");
    return v;
  }

  void event(const Line& l) {
    const std::string& verb = l.words.at(0);
    if (verb == "told") {
      const auto kind = pick<ListKind>(l.words.at(1), {{"changes", ListKind::changes},
                                                       {"total", ListKind::snapshot},
                                                       {"warm", ListKind::cachedSnapshot},
                                                       {"lost", ListKind::lost}});
      return send(ListUpdate{kind, std::exchange(told_, {})});
    }
    if (verb == "request") return send(SubscriptionRequested{viewing(l)});
    if (verb == "serve") {  // a request, and at once the start of what it led to
      send(SubscriptionRequested{viewing(l)});
      if (at_.count(sub(l.words.at(1))) != 0)
        send(JoinStarted{sub(l.words.at(1)), joins_[sub(l.words.at(1))] - 1});
      return;
    }
    if (verb == "underway") {
      joins_[sub(l.words.at(1))] = 1;
      at_[sub(l.words.at(1))].second = true;
      return send(SubscriptionAdopted{viewing(l), nodeOf(l, 2)});
    }
    if (verb == "began") {
      at_[sub(l.words.at(1))].second = true;
      return send(JoinStarted{sub(l.words.at(1)), joins_[sub(l.words.at(1))] - 1});
    }
    if (verb == "note") {
      const auto reading = pick<MeasurementKind>(l.words.at(2), {{"delivered", MeasurementKind::delivered},
                                                                 {"rung", MeasurementKind::rung},
                                                                 {"link", MeasurementKind::link},
                                                                 {"uplink", MeasurementKind::uplink}});
      return send(MeasurementReported{sub(l.words.at(1)), nodeOf(l, 99), reading, std::stod(l.words.at(3))});
    }
    if (verb == "ended") {
      const auto outcome = pick<Outcome>(l.words.at(2), {{"ok", Outcome::ok},
                                                         {"error", Outcome::error},
                                                         {"full", Outcome::full},
                                                         {"timeout", Outcome::timeout},
                                                         {"connectFailed", Outcome::connectFailed},
                                                         {"reset", Outcome::reset},
                                                         {"cancelled", Outcome::cancelled},
                                                         {"moot", Outcome::notSent}});
      LoadReport report;
      if (l.has("share")) report.linkShare = l.number("share");
      if (l.has("use")) report.linkUse = l.number("use");
      if (l.has("uplink")) report.uplinkUse = l.number("uplink");
      const bool playing = at_[sub(l.words.at(1))].second;
      return send(JoinEnded{sub(l.words.at(1)), nodeOf(l, 99),
                            l.whole("join", joins_[sub(l.words.at(1))] - 1), outcome,
                            l.whole("settled", playing || outcome == Outcome::ok) != 0, report});
    }
    if (verb == "lapsed") return send(SubscriptionAbandoned{sub(l.words.at(1))});
    FAIL("unknown verb " << verb);
  }

  NodeId nodeOf(const Line& l, std::size_t place) {
    auto& at = at_[sub(l.words.at(1))];
    if (l.words.size() > place) at.first = static_cast<NodeId>(std::stoul(l.words[place]));
    if (l.has("node")) return static_cast<NodeId>(l.whole("node"));
    return at.first;
  }

  void send(const Event& e) {
    if (!control_) control_.emplace(terms_, 7);
    turn_.push_back(e);
    if (!standing_) act();
  }

  void act() {
    std::vector<Action> out;
    control_->handle(now_, std::exchange(turn_, {}), out);
    for (const Action& action : out) record(action);
  }

  void record(const Action& action) {
    std::ostringstream text;
    if (const auto* a = std::get_if<SetRung>(&action)) text << "rung " << names_[a->sub] << ' ' << a->rung;
    if (const auto* a = std::get_if<Join>(&action)) {
      at_[a->sub] = {a->node, false};
      ++joins_[a->sub];
      text << "join " << names_[a->sub] << ' ' << a->node << ' ' << a->timeout / 1000;
    }
    if (const auto* a = std::get_if<CancelJoin>(&action))
      text << "calloff " << names_[a->sub] << ' ' << a->join;
    if (const auto* a = std::get_if<Throttle>(&action))
      text << "throttle " << names_[a->sub] << ' ' << a->retryAfter / 1000;
    if (const auto* a = std::get_if<Terminate>(&action)) text << "terminate " << names_[a->sub];
    if (std::holds_alternative<WatchList>(action)) text << "follow";
    if (const auto* a = std::get_if<SetTimer>(&action)) {
      alarms_.emplace(now_ + a->span, a->key);
      return;
    }
    since_.push_back(text.str());
  }

  void wait(Micros span) {
    const Micros until = now_ + span;
    while (!alarms_.empty() && alarms_.begin()->first <= until) {
      const auto [at, key] = *alarms_.begin();
      alarms_.erase(alarms_.begin());
      now_ = at;
      if (control_) send(TimerFired{key});
    }
    now_ = until;
  }

  // times N every MS VERB ... : the line N times, with % as the number of the turn.
  void times(const Line& l) {
    const int turns = std::stoi(l.words.at(1));
    for (int turn = 1; turn <= turns; ++turn) {
      Line one{{l.words.begin() + 4, l.words.end()}, l.values};
      const auto fill = [&](std::string& word) {
        if (const auto at = word.find('%'); at != std::string::npos)
          word.replace(at, 1, std::to_string(turn));
      };
      for (auto& word : one.words) fill(word);
      for (auto& [key, word] : one.values) fill(word);
      step(one);
      wait(static_cast<Micros>(std::stod(l.words.at(3)) * 1000));
    }
  }

  static bool matches(const std::string& action, const Line& pattern, std::size_t from) {
    const Words words = split(action).words;
    for (std::size_t i = from; i < pattern.words.size(); ++i)
      if (i - from >= words.size() || (pattern.words[i] != "*" && pattern.words[i] != words[i - from]))
        return false;
    return true;
  }

  // "> PATTERN": an action since the last event that matched; "> nothing": none; ">! PATTERN": none such.
  void expect(const Line& l, bool wanted) {
    if (l.words.at(1) == "nothing") {
      CHECK(since_.empty());
      return;
    }
    const auto it =
        std::find_if(since_.begin(), since_.end(), [&](const auto& a) { return matches(a, l, 1); });
    CHECK((it != since_.end()) == wanted);
    if (wanted && it != since_.end()) since_.erase(since_.begin(), it + 1);
  }

  // "count PATTERN least=A most=B": over all since the last "fresh".
  void count(const Line& l) {
    const auto hits =
        std::count_if(since_.begin(), since_.end(), [&](const auto& a) { return matches(a, l, 1); });
    INFO("counted " << hits);
    CHECK(hits >= l.whole("least", 0));
    CHECK(hits <= l.whole("most", 1'000'000));
  }

  std::string shown() const {
    std::string all;
    for (const auto& action : since_) all += "\n  " + action;
    return all;
  }

  std::filesystem::path file_;
  ControlSettings terms_;
  std::optional<Control> control_;
  Micros now_ = 1'000'000'000;
  std::vector<ListEntry> told_;
  std::map<std::string, SubscriptionId> subs_;
  std::map<SubscriptionId, std::string> names_;
  std::map<SubscriptionId, std::pair<NodeId, bool>> at_;
  std::map<SubscriptionId, int> joins_;
  std::vector<std::string> rooms_;
  std::vector<Event> turn_;  // what waits for the director's turn while it stands still
  bool standing_ = false;
  std::multimap<Micros, std::int64_t> alarms_;
  std::vector<std::string> since_;
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
