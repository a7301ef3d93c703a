#include "lab/day.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <filesystem>

#include "schemas.h"

namespace lupinsill::lab {
namespace {

// In the order of FaultKind.
constexpr std::array faultKindNames{"answers-lost", "hang",          "fast-errors",   "slow",
                                    "link-cut",     "uplink-cut",    "drain",         "kill",
                                    "wave",         "list-stale",    "reports-late",  "crowd",
                                    "burst",        "director-kill", "director-roll", "director-stop",
                                    "closers",      "repeats",       "mute",          "garbage"};

// Zipf exponent of title popularity.
constexpr double titlePopularityExponent = 0.9;
// Share of viewers whose highest rung is `reducedTopSteps` below that of the room type.
constexpr double reducedTopShare = 0.25;
constexpr int reducedTopSteps = 2;

Micros parseDuration(const settings::Element& e, const char* name) {
  return settings::parseDuration(e.text(name));
}
double parseNumber(const settings::Element& e, const char* name) {
  return std::strtod(e.text(name).c_str(), nullptr);
}
int parseInteger(const settings::Element& e, const char* name) { return std::atoi(e.text(name).c_str()); }

}  // namespace

const char* nameOf(FaultKind kind) { return faultKindNames[static_cast<std::size_t>(kind)]; }

Day readDay(const std::string& file) {
  const settings::Element root = settings::readXml(file, settings::daySchema);
  Day day;
  day.file = file;
  day.settingsFile =
      (std::filesystem::path(file).parent_path() / root.text("settings")).lexically_normal().string();
  day.deployment = settings::readDeployment(day.settingsFile);
  day.length = parseDuration(root, "length");
  day.answerSlack = parseDuration(root, "answer-slack");
  const settings::Element& fleet = *root.child("fleet");
  day.directors = parseInteger(fleet, "directors");
  day.nodes = parseInteger(fleet, "nodes");
  day.zones = parseInteger(fleet, "zones");
  day.linkKb = parseNumber(fleet, "link-kb");
  day.spread = parseNumber(fleet, "spread");
  day.minSetUpTime = parseDuration(fleet, "set-up-least");
  day.maxSetUpTime = parseDuration(fleet, "set-up-most");
  day.listDelay = parseDuration(fleet, "list-late");
  if (day.nodes != day.deployment.controlSettings.cells)
    settings::throwSettingsError(
        file, fleet,
        "nodes: expected the cells of the settings, " + std::to_string(day.deployment.controlSettings.cells));
  const settings::Element& players = *root.child("players");
  day.requests = parseInteger(players, "asks");
  day.titles = parseInteger(players, "titles");
  day.holders = parseInteger(players, "holders");
  day.retryShare = parseNumber(players, "come-again");
  day.minRetryPause = parseDuration(players, "pause-least");
  day.maxRetryPause = parseDuration(players, "pause-most");
  for (const settings::Element& room : players.children) {
    const auto& known = day.deployment.roomTypes;
    const auto it = std::find(known.begin(), known.end(), room.text("name"));
    if (it == known.end())
      settings::throwSettingsError(file, room, "name: expected a room type of the settings");
    day.rooms.push_back({static_cast<int>(it - known.begin()), parseNumber(room, "share"),
                         parseDuration(room, "least"), parseDuration(room, "most")});
  }
  for (const settings::Element& e : root.children) {
    if (e.name != "trouble") continue;
    const auto it = std::find(faultKindNames.begin(), faultKindNames.end(), e.text("kind"));
    day.faults.push_back({static_cast<FaultKind>(it - faultKindNames.begin()), parseDuration(e, "at"),
                          parseDuration(e, "for"), parseNumber(e, "share"), parseNumber(e, "much")});
  }
  return day;
}

std::vector<Arrival> drawArrivals(const Day& day, std::uint64_t seed) {
  RandomSource chance(seed, 1);
  std::vector<double> cumulativeWeights;
  double totalWeight = 0;
  for (int t = 0; t < day.titles; ++t)
    cumulativeWeights.push_back(totalWeight += 1.0 / std::pow(t + 1, titlePopularityExponent));
  std::vector<Arrival> arrivals;
  const auto draw = [&](Micros at) {
    Arrival a;
    a.at = at;
    double pick = chance.uniform();
    const RoomShare* room = &day.rooms.back();
    for (const RoomShare& r : day.rooms) {
      if (pick < r.share) {
        room = &r;
        break;
      }
      pick -= r.share;
    }
    a.roomType = room->roomType;
    a.length = chance.duration(room->minLength, room->maxLength);
    const double position = chance.uniform() * totalWeight;
    a.title =
        static_cast<int>(std::lower_bound(cumulativeWeights.begin(), cumulativeWeights.end(), position) -
                         cumulativeWeights.begin());
    const int top = day.deployment.controlSettings.roomTypes[static_cast<std::size_t>(a.roomType)].top;
    a.top = chance.withProbability(reducedTopShare) ? std::max(0, top - reducedTopSteps) : top;
    a.zone = static_cast<int>(chance.below(static_cast<std::size_t>(day.zones)));
    return a;
  };
  for (int i = 0; i < day.requests; ++i)
    arrivals.push_back(draw(static_cast<Micros>(chance.uniform() * static_cast<double>(day.length))));
  for (const ScheduledFault& fault : day.faults) {
    if (fault.kind != FaultKind::burst && fault.kind != FaultKind::crowd) continue;
    const double usualCount = static_cast<double>(day.requests) * static_cast<double>(fault.duration) /
                              static_cast<double>(day.length);
    const auto extra = static_cast<int>(usualCount * fault.magnitude);
    const int popularTitle = static_cast<int>(chance.below(static_cast<std::size_t>(day.titles)));
    for (int i = 0; i < extra; ++i) {
      arrivals.push_back(
          draw(fault.at + static_cast<Micros>(chance.uniform() * static_cast<double>(fault.duration))));
      if (fault.kind == FaultKind::crowd) arrivals.back().title = popularTitle;
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  int viewer = 0;
  for (Arrival& a : arrivals) {
    a.viewer = ++viewer;
    for (const ScheduledFault& fault : day.faults) {
      if (a.at < fault.at || a.at >= fault.at + fault.duration) continue;
      const bool nonRepeatable =
          day.deployment.controlSettings.roomTypes[static_cast<std::size_t>(a.roomType)].effect !=
          Effect::repeatable;
      const ClientBehaviour behaviour =
          fault.kind == FaultKind::closers && nonRepeatable ? ClientBehaviour::disconnects
          : fault.kind == FaultKind::repeats                ? ClientBehaviour::duplicatesRequest
          : fault.kind == FaultKind::mute                   ? ClientBehaviour::neverReads
          : fault.kind == FaultKind::garbage                ? ClientBehaviour::sendsGarbage
                                                            : ClientBehaviour::normal;
      if (behaviour != ClientBehaviour::normal && a.behaviour == ClientBehaviour::normal &&
          chance.withProbability(fault.share))
        a.behaviour = behaviour;
    }
  }
  return arrivals;
}

}  // namespace lupinsill::lab
