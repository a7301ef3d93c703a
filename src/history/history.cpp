#include "history/history.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

#include "model/chance.h"

namespace lupinsill::history {
namespace {

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

constexpr std::array<std::pair<const char*, EventKind>, 23> words{{
    {"wish", EventKind::request},           {"leave", EventKind::leave},
    {"cut", EventKind::disconnect},         {"start", EventKind::startNode},
    {"restart", EventKind::restartNode},    {"recell", EventKind::changeCell},
    {"drain", EventKind::drainNode},        {"gone", EventKind::unlistNode},
    {"kill", EventKind::killNode},          {"hang", EventKind::stallNode},
    {"lose", EventKind::loseAnswers},       {"fail", EventKind::failJoins},
    {"refuse", EventKind::refuseJoins},     {"silent", EventKind::stopReports},
    {"connect", EventKind::setConnectTime}, {"link-cut", EventKind::reduceLink},
    {"repeat", EventKind::repeatList},      {"thin", EventKind::partialList},
    {"late", EventKind::delayList},         {"down", EventKind::killDirector},
    {"up", EventKind::startDirector},       {"stand", EventKind::stallDirector},
    {"disk", EventKind::setCommitTime},
}};

void byTime(std::vector<HistoryEvent>& list) {
  std::stable_sort(list.begin(), list.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) { return a.at < b.at; });
}

}  // namespace

History read(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw settings::BadSettings(file + ": cannot be read");
  History h;
  int number = 0;
  const auto bad = [&](const std::string& why) {
    throw settings::BadSettings(file + ":" + std::to_string(number) + ": " + why);
  };
  for (std::string line; std::getline(in, line);) {
    ++number;
    std::istringstream text(line.substr(0, line.find('#')));
    std::string first, word;
    if (!(text >> first)) continue;
    if (first == "settings") {
      if (!(text >> word)) bad("a settings file expected");
      h.settingsFile = (std::filesystem::path(file).parent_path() / word).lexically_normal().string();
      h.deployment = settings::readDeployment(h.settingsFile);
      continue;
    }
    if (first == "fleet") {
      double least = 0, most = 0;
      if (!(text >> h.directors >> h.nodes >> h.zones >> h.linkKb >> least >> most >> h.seed) ||
          h.directors < 1 || h.nodes < 1 || h.zones < 1 || h.linkKb <= 0 || least > most)
        bad("directors, nodes, zones, link kB, least and most ms of a set-up, seed expected");
      h.minSetUpTime = static_cast<Micros>(least * ms);
      h.maxSetUpTime = static_cast<Micros>(most * ms);
      continue;
    }
    if (h.settingsFile.empty()) bad("settings come first");
    HistoryEvent one;
    one.at = static_cast<Micros>(std::atof(first.c_str()) * ms);
    text >> word;
    const auto known =
        std::find_if(words.begin(), words.end(), [&](const auto& w) { return word == w.first; });
    if (known == words.end()) bad("unknown word '" + word + "'");
    one.kind = known->second;
    text >> one.subject;
    if (one.kind == EventKind::request) {
      double length = 0;
      if (!(text >> one.room >> one.title >> one.top >> length)) bad("room, title, top and length expected");
      if (one.room < 0 || one.room >= static_cast<int>(h.deployment.terms.roomTypes.size()))
        bad("no such room");
      one.length = static_cast<Micros>(length * ms);
    } else {
      text >> one.value;
    }
    h.events.push_back(one);
  }
  if (h.settingsFile.empty()) bad("no settings named");
  byTime(h.events);
  return h;
}

void write(std::ostream& out, const History& h) {
  out << "settings " << h.settingsFile << "\n# directors nodes zones link-kb set-up-least set-up-most seed\n"
      << "fleet " << h.directors << ' ' << h.nodes << ' ' << h.zones << ' ' << h.linkKb << ' '
      << h.minSetUpTime / ms << ' ' << h.maxSetUpTime / ms << ' ' << h.seed << '\n';
  for (const HistoryEvent& one : h.events) {
    const auto word =
        std::find_if(words.begin(), words.end(), [&](const auto& w) { return one.kind == w.second; });
    out << one.at / ms << ' ' << word->first << ' ' << one.subject;
    if (one.kind == EventKind::request)
      out << ' ' << one.room << ' ' << one.title << ' ' << one.top << ' ' << one.length / ms;
    else
      out << ' ' << one.value;
    out << '\n';
  }
}

History generate(const std::string& settingsFile, std::uint64_t seed) {
  model::RandomSource chance(seed, 77);
  History h;
  h.settingsFile = settingsFile;
  h.deployment = settings::readDeployment(settingsFile);
  h.seed = seed;
  const ControlSettings& terms = h.deployment.terms;
  h.directors = 1 + static_cast<int>(chance.below(4));
  const bool blackout = seed % 8 == 0;
  if (blackout) h.directors = 12;
  h.nodes = std::max(1, terms.cells);
  h.zones = 1 + static_cast<int>(chance.below(2));
  h.linkKb = terms.weightKb * chance.between(0.3, 1.2);
  if (chance.withProbability(0.2)) h.minSetUpTime = 100 * ms, h.maxSetUpTime = 700 * ms;
  const Micros length = 20 * second;
  const auto at = [&] { return chance.duration(0, length); };
  const auto node = [&] { return 1 + static_cast<int>(chance.below(static_cast<std::size_t>(h.nodes))); };
  const auto director = [&] { return static_cast<int>(chance.below(static_cast<std::size_t>(h.directors))); };
  const auto add = [&](Micros when, EventKind what, int who, double much = 0) {
    h.events.push_back({when, what, who, much, 0, 0, 0, 0});
  };
  // On for a while: a trouble and its end.
  const auto spell = [&](EventKind what, int who, double on, double off) {
    const Micros from = at();
    add(from, what, who, on);
    add(from + chance.duration(300 * ms, 6 * second), what, who, off);
  };
  const int wishes = 60 + static_cast<int>(chance.below(240));
  const Micros crowdAt = at();
  const bool crowd = chance.withProbability(0.4);
  for (int viewer = 1; viewer <= wishes; ++viewer) {
    HistoryEvent one;
    one.subject = viewer;
    one.at = crowd && viewer % 3 == 0 ? crowdAt + chance.duration(0, second) : at();
    one.room = static_cast<int>(chance.below(terms.roomTypes.size()));
    one.title = crowd && viewer % 3 == 0 ? 1 : static_cast<int>(chance.below(6));
    one.top = terms.roomTypes[static_cast<std::size_t>(one.room)].top;
    one.length = chance.duration(500 * ms, 9 * second);
    h.events.push_back(one);
    if (chance.withProbability(0.05)) add(one.at + chance.duration(0, 2 * second), EventKind::leave, viewer);
    if (chance.withProbability(0.08))
      add(one.at + chance.duration(0, 1500 * ms), EventKind::disconnect, viewer);
  }
  int fresh = h.nodes;
  const auto replace = [&](int old, Micros when, bool drained) {
    if (drained) add(when, EventKind::drainNode, old);
    const Micros end = when + (drained ? chance.duration(500 * ms, 3 * second) : 0);
    add(end, EventKind::killNode, old);
    add(end + chance.duration(0, 500 * ms), EventKind::unlistNode, old);
    add(end + chance.duration(0, second), EventKind::startNode, ++fresh, (old - 1) % h.nodes);
  };
  for (std::size_t n = 1 + chance.below(6); n > 0; --n) {
    switch (chance.below(16)) {
      case 0:
      case 1:
        replace(node(), at(), true);
        break;
      case 2:
        replace(node(), at(), false);
        break;
      case 3:
        spell(EventKind::stallNode, node(), 1, 0);
        break;
      case 4:
        spell(EventKind::loseAnswers, node(), 1, 0);
        break;
      case 5:
        spell(EventKind::failJoins, node(), chance.between(0.2, 1), 0);
        break;
      case 6:
        spell(EventKind::refuseJoins, node(), 1, 0);
        break;
      case 7:
        spell(EventKind::setConnectTime, node(), chance.between(50, 1500), 3);
        break;
      case 8:
        spell(EventKind::reduceLink, node(), chance.between(2, 4), 1);
        break;
      case 9:
        spell(EventKind::stopReports, node(), 1, 0);
        break;
      case 10:
        add(at(), EventKind::repeatList, 0);
        break;
      case 11:
        add(at(), EventKind::partialList, 0);
        break;
      case 12:
        spell(EventKind::delayList, director(), chance.between(100, 3000), 0);
        break;
      case 13:
        spell(EventKind::setCommitTime, director(), chance.between(20, 2500), 2);
        break;
      case 14:
        spell(EventKind::stallDirector, director(), 1, 0);
        break;
      case 15: {
        const int who = director();
        const Micros when = at();
        add(when, EventKind::killDirector, who);
        add(when + chance.duration(100 * ms, 2 * second), EventKind::startDirector, who);
        break;
      }
    }
  }
  // Now and then a whole zone's nodes start anew at once, as after a power cut.
  if (chance.withProbability(0.25)) {
    const Micros when = at();
    for (int n = 1; n <= h.nodes; n += 1 + static_cast<int>(chance.below(3))) replace(n, when, false);
  }
  if (chance.withProbability(0.3)) add(at(), EventKind::restartNode, node());
  if (chance.withProbability(0.2))
    add(at(), EventKind::changeCell, node(),
        static_cast<double>(chance.below(static_cast<std::size_t>(h.nodes))));
  // Every eighth is of many directors that all lose their power with all the nodes, in the middle of a crowd.
  if (blackout) {
    const Micros when = chance.duration(3 * second, 16 * second);
    for (int n = 1; n <= h.nodes; ++n) add(when + chance.duration(0, 200 * ms), EventKind::restartNode, n);
    for (int d = 0; d < h.directors; ++d) {
      add(when, EventKind::killDirector, d);
      add(when + chance.duration(100 * ms, 500 * ms), EventKind::startDirector, d);
    }
    for (int viewer = wishes + 1; viewer <= wishes + 400; ++viewer)
      h.events.push_back({when + chance.duration(0, 3 * second), EventKind::request, viewer, 0,
                          viewer % 3 == 0 ? 0 : -1, viewer % 6, 1, 2 * second});
    for (HistoryEvent& one : h.events)
      if (one.kind == EventKind::request && one.room < 0)
        one.room = static_cast<int>(chance.below(terms.roomTypes.size()));
  }
  byTime(h.events);
  return h;
}

}  // namespace lupinsill::history
