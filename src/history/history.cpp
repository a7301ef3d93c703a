// Reading, writing and generating histories.
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

// Purpose of the random source (model/chance.h).
constexpr std::uint64_t generatorPurpose = 77;

constexpr Micros ms = 1'000;
constexpr Micros second = 1'000'000;

constexpr std::array<std::pair<const char*, EventKind>, 23> eventNames{{
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

void sortByTime(std::vector<HistoryEvent>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) { return a.at < b.at; });
}

}  // namespace

History read(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw settings::SettingsError(file + ": cannot be read");
  History history;
  int lineNumber = 0;
  const auto fail = [&](const std::string& reason) {
    throw settings::SettingsError(file + ":" + std::to_string(lineNumber) + ": " + reason);
  };
  for (std::string line; std::getline(in, line);) {
    ++lineNumber;
    std::istringstream fields(line.substr(0, line.find('#')));
    std::string keyword, value;
    if (!(fields >> keyword)) continue;
    if (keyword == "settings") {
      if (!(fields >> value)) fail("a settings file expected");
      history.settingsFile = (std::filesystem::path(file).parent_path() / value).lexically_normal().string();
      history.deployment = settings::readDeployment(history.settingsFile);
      continue;
    }
    if (keyword == "fleet") {
      double minSetUpMs = 0, maxSetUpMs = 0;
      if (!(fields >> history.directors >> history.nodes >> history.zones >> history.linkKb >> minSetUpMs >>
            maxSetUpMs >> history.seed) ||
          history.directors < 1 || history.nodes < 1 || history.zones < 1 || history.linkKb <= 0 ||
          minSetUpMs > maxSetUpMs)
        fail("directors, nodes, zones, link kB, least and most ms of a set-up, seed expected");
      history.minSetUpTime = static_cast<Micros>(minSetUpMs * ms);
      history.maxSetUpTime = static_cast<Micros>(maxSetUpMs * ms);
      continue;
    }
    if (history.settingsFile.empty()) fail("settings come first");
    HistoryEvent event;
    event.at = static_cast<Micros>(std::atof(keyword.c_str()) * ms);
    fields >> value;
    const auto entry = std::find_if(eventNames.begin(), eventNames.end(),
                                    [&](const auto& name) { return value == name.first; });
    if (entry == eventNames.end()) fail("unknown word '" + value + "'");
    event.kind = entry->second;
    fields >> event.subject;
    if (event.kind == EventKind::request) {
      double length = 0;
      if (!(fields >> event.room >> event.title >> event.top >> length))
        fail("room, title, top and length expected");
      if (event.room < 0 ||
          event.room >= static_cast<int>(history.deployment.controlSettings.roomTypes.size()))
        fail("no such room");
      event.length = static_cast<Micros>(length * ms);
    } else {
      fields >> event.value;
    }
    history.events.push_back(event);
  }
  if (history.settingsFile.empty()) fail("no settings named");
  sortByTime(history.events);
  return history;
}

void write(std::ostream& out, const History& history) {
  out << "settings " << history.settingsFile
      << "\n# directors nodes zones link-kb set-up-least set-up-most seed\n"
      << "fleet " << history.directors << ' ' << history.nodes << ' ' << history.zones << ' '
      << history.linkKb << ' ' << history.minSetUpTime / ms << ' ' << history.maxSetUpTime / ms << ' '
      << history.seed << '\n';
  for (const HistoryEvent& event : history.events) {
    const auto entry = std::find_if(eventNames.begin(), eventNames.end(),
                                    [&](const auto& name) { return event.kind == name.second; });
    out << event.at / ms << ' ' << entry->first << ' ' << event.subject;
    if (event.kind == EventKind::request)
      out << ' ' << event.room << ' ' << event.title << ' ' << event.top << ' ' << event.length / ms;
    else
      out << ' ' << event.value;
    out << '\n';
  }
}

History generate(const std::string& settingsFile, std::uint64_t seed) {
  model::RandomSource random(seed, generatorPurpose);
  History history;
  history.settingsFile = settingsFile;
  history.deployment = settings::readDeployment(settingsFile);
  history.seed = seed;
  const ControlSettings& controlSettings = history.deployment.controlSettings;
  history.directors = 1 + static_cast<int>(random.below(4));
  const bool powerCut = seed % 8 == 0;
  if (powerCut) history.directors = 12;
  history.nodes = std::max(1, controlSettings.cells);
  history.zones = 1 + static_cast<int>(random.below(2));
  history.linkKb = controlSettings.weightKb * random.between(0.3, 1.2);
  if (random.withProbability(0.2)) history.minSetUpTime = 100 * ms, history.maxSetUpTime = 700 * ms;
  const Micros duration = 20 * second;
  const auto randomTime = [&] { return random.duration(0, duration); };
  const auto randomNode = [&] {
    return 1 + static_cast<int>(random.below(static_cast<std::size_t>(history.nodes)));
  };
  const auto randomDirector = [&] {
    return static_cast<int>(random.below(static_cast<std::size_t>(history.directors)));
  };
  const auto addEvent = [&](Micros time, EventKind kind, int subject, double value = 0) {
    history.events.push_back({time, kind, subject, value, 0, 0, 0, 0});
  };
  // A fault and its end some time later.
  const auto addTemporaryFault = [&](EventKind kind, int subject, double faultValue, double normalValue) {
    const Micros from = randomTime();
    addEvent(from, kind, subject, faultValue);
    addEvent(from + random.duration(300 * ms, 6 * second), kind, subject, normalValue);
  };
  const int requestCount = 60 + static_cast<int>(random.below(240));
  const Micros crowdStart = randomTime();
  const bool crowd = random.withProbability(0.4);
  for (int viewer = 1; viewer <= requestCount; ++viewer) {
    HistoryEvent event;
    event.subject = viewer;
    event.at = crowd && viewer % 3 == 0 ? crowdStart + random.duration(0, second) : randomTime();
    event.room = static_cast<int>(random.below(controlSettings.roomTypes.size()));
    event.title = crowd && viewer % 3 == 0 ? 1 : static_cast<int>(random.below(6));
    event.top = controlSettings.roomTypes[static_cast<std::size_t>(event.room)].top;
    event.length = random.duration(500 * ms, 9 * second);
    history.events.push_back(event);
    if (random.withProbability(0.05))
      addEvent(event.at + random.duration(0, 2 * second), EventKind::leave, viewer);
    if (random.withProbability(0.08))
      addEvent(event.at + random.duration(0, 1500 * ms), EventKind::disconnect, viewer);
  }
  int lastNode = history.nodes;
  const auto replaceNode = [&](int node, Micros time, bool drainFirst) {
    if (drainFirst) addEvent(time, EventKind::drainNode, node);
    const Micros end = time + (drainFirst ? random.duration(500 * ms, 3 * second) : 0);
    addEvent(end, EventKind::killNode, node);
    addEvent(end + random.duration(0, 500 * ms), EventKind::unlistNode, node);
    addEvent(end + random.duration(0, second), EventKind::startNode, ++lastNode, (node - 1) % history.nodes);
  };
  for (std::size_t remaining = 1 + random.below(6); remaining > 0; --remaining) {
    switch (random.below(16)) {
      case 0:
      case 1:
        replaceNode(randomNode(), randomTime(), true);
        break;
      case 2:
        replaceNode(randomNode(), randomTime(), false);
        break;
      case 3:
        addTemporaryFault(EventKind::stallNode, randomNode(), 1, 0);
        break;
      case 4:
        addTemporaryFault(EventKind::loseAnswers, randomNode(), 1, 0);
        break;
      case 5:
        addTemporaryFault(EventKind::failJoins, randomNode(), random.between(0.2, 1), 0);
        break;
      case 6:
        addTemporaryFault(EventKind::refuseJoins, randomNode(), 1, 0);
        break;
      case 7:
        addTemporaryFault(EventKind::setConnectTime, randomNode(), random.between(50, 1500), 3);
        break;
      case 8:
        addTemporaryFault(EventKind::reduceLink, randomNode(), random.between(2, 4), 1);
        break;
      case 9:
        addTemporaryFault(EventKind::stopReports, randomNode(), 1, 0);
        break;
      case 10:
        addEvent(randomTime(), EventKind::repeatList, 0);
        break;
      case 11:
        addEvent(randomTime(), EventKind::partialList, 0);
        break;
      case 12:
        addTemporaryFault(EventKind::delayList, randomDirector(), random.between(100, 3000), 0);
        break;
      case 13:
        addTemporaryFault(EventKind::setCommitTime, randomDirector(), random.between(20, 2500), 2);
        break;
      case 14:
        addTemporaryFault(EventKind::stallDirector, randomDirector(), 1, 0);
        break;
      case 15: {
        const int subject = randomDirector();
        const Micros time = randomTime();
        addEvent(time, EventKind::killDirector, subject);
        addEvent(time + random.duration(100 * ms, 2 * second), EventKind::startDirector, subject);
        break;
      }
    }
  }
  // In a quarter of the histories many nodes are replaced at once, as after a power cut in a zone.
  if (random.withProbability(0.25)) {
    const Micros time = randomTime();
    for (int node = 1; node <= history.nodes; node += 1 + static_cast<int>(random.below(3)))
      replaceNode(node, time, false);
  }
  if (random.withProbability(0.3)) addEvent(randomTime(), EventKind::restartNode, randomNode());
  if (random.withProbability(0.2))
    addEvent(randomTime(), EventKind::changeCell, randomNode(),
             static_cast<double>(random.below(static_cast<std::size_t>(history.nodes))));
  // In every eighth history, with many directors, all directors and nodes lose power during a crowd of
  // requests.
  if (powerCut) {
    const Micros time = random.duration(3 * second, 16 * second);
    for (int node = 1; node <= history.nodes; ++node)
      addEvent(time + random.duration(0, 200 * ms), EventKind::restartNode, node);
    for (int director = 0; director < history.directors; ++director) {
      addEvent(time, EventKind::killDirector, director);
      addEvent(time + random.duration(100 * ms, 500 * ms), EventKind::startDirector, director);
    }
    for (int viewer = requestCount + 1; viewer <= requestCount + 400; ++viewer)
      history.events.push_back({time + random.duration(0, 3 * second), EventKind::request, viewer, 0,
                                viewer % 3 == 0 ? 0 : -1, viewer % 6, 1, 2 * second});
    for (HistoryEvent& event : history.events)
      if (event.kind == EventKind::request && event.room < 0)
        event.room = static_cast<int>(random.below(controlSettings.roomTypes.size()));
  }
  sortByTime(history.events);
  return history;
}

}  // namespace lupinsill::history
