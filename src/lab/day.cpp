#include "lab/day.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <filesystem>

#include "schemas.h"

namespace lupinsill::lab {
namespace {

constexpr std::array names{"answers-lost",  "hang",    "fast-errors", "slow",          "link-cut",
                           "uplink-cut",    "drain",   "kill",        "wave",          "list-stale",
                           "reports-late",  "crowd",   "burst",       "director-kill", "director-roll",
                           "director-stop", "closers", "repeats",     "mute",          "garbage"};

Micros span(const settings::Element& e, const char* name) { return settings::parseDuration(e.text(name)); }
double real(const settings::Element& e, const char* name) {
  return std::strtod(e.text(name).c_str(), nullptr);
}
int whole(const settings::Element& e, const char* name) { return std::atoi(e.text(name).c_str()); }

}  // namespace

const char* nameOf(Kind kind) { return names[static_cast<std::size_t>(kind)]; }

Day readDay(const std::string& file) {
  const settings::Element root = settings::readXml(file, settings::daySchema);
  Day day;
  day.file = file;
  day.settingsFile =
      (std::filesystem::path(file).parent_path() / root.text("settings")).lexically_normal().string();
  day.deployment = settings::readDeployment(day.settingsFile);
  day.length = span(root, "length");
  day.answerSlack = span(root, "answer-slack");
  const settings::Element& fleet = *root.child("fleet");
  day.directors = whole(fleet, "directors");
  day.nodes = whole(fleet, "nodes");
  day.zones = whole(fleet, "zones");
  day.linkKb = real(fleet, "link-kb");
  day.spread = real(fleet, "spread");
  day.setUpLeast = span(fleet, "set-up-least");
  day.setUpMost = span(fleet, "set-up-most");
  day.listLate = span(fleet, "list-late");
  if (day.nodes != day.deployment.controlSettings.cells)
    settings::throwSettingsError(
        file, fleet,
        "nodes: expected the cells of the settings, " + std::to_string(day.deployment.controlSettings.cells));
  const settings::Element& players = *root.child("players");
  day.asks = whole(players, "asks");
  day.titles = whole(players, "titles");
  day.holders = whole(players, "holders");
  day.comeAgain = real(players, "come-again");
  day.pauseLeast = span(players, "pause-least");
  day.pauseMost = span(players, "pause-most");
  for (const settings::Element& room : players.children) {
    const auto& known = day.deployment.roomTypes;
    const auto it = std::find(known.begin(), known.end(), room.text("name"));
    if (it == known.end())
      settings::throwSettingsError(file, room, "name: expected a room type of the settings");
    day.rooms.push_back(
        {static_cast<int>(it - known.begin()), real(room, "share"), span(room, "least"), span(room, "most")});
  }
  for (const settings::Element& e : root.children) {
    if (e.name != "trouble") continue;
    const auto it = std::find(names.begin(), names.end(), e.text("kind"));
    day.troubles.push_back({static_cast<Kind>(it - names.begin()), span(e, "at"), span(e, "for"),
                            real(e, "share"), real(e, "much")});
  }
  return day;
}

std::vector<Arrival> drawArrivals(const Day& day, std::uint64_t seed) {
  RandomSource chance(seed, 1);
  std::vector<double> titleWeight;
  double all = 0;
  for (int t = 0; t < day.titles; ++t) titleWeight.push_back(all += 1.0 / std::pow(t + 1, 0.9));
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
    a.length = chance.duration(room->least, room->most);
    const double place = chance.uniform() * all;
    a.title = static_cast<int>(std::lower_bound(titleWeight.begin(), titleWeight.end(), place) -
                               titleWeight.begin());
    const int top = day.deployment.controlSettings.roomTypes[static_cast<std::size_t>(a.roomType)].top;
    a.top = chance.comes(0.25) ? std::max(0, top - 2) : top;
    a.zone = static_cast<int>(chance.below(static_cast<std::size_t>(day.zones)));
    return a;
  };
  for (int i = 0; i < day.asks; ++i)
    arrivals.push_back(draw(static_cast<Micros>(chance.uniform() * static_cast<double>(day.length))));
  for (const Trouble& t : day.troubles) {
    if (t.kind != Kind::burst && t.kind != Kind::crowd) continue;
    const double usual =
        static_cast<double>(day.asks) * static_cast<double>(t.span) / static_cast<double>(day.length);
    const auto more = static_cast<int>(usual * t.much);
    const int wanted = static_cast<int>(chance.below(static_cast<std::size_t>(day.titles)));
    for (int i = 0; i < more; ++i) {
      arrivals.push_back(draw(t.at + static_cast<Micros>(chance.uniform() * static_cast<double>(t.span))));
      if (t.kind == Kind::crowd) arrivals.back().title = wanted;
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  int viewer = 0;
  for (Arrival& a : arrivals) {
    a.viewer = ++viewer;
    for (const Trouble& t : day.troubles) {
      if (a.at < t.at || a.at >= t.at + t.span) continue;
      const bool unsafe =
          day.deployment.controlSettings.roomTypes[static_cast<std::size_t>(a.roomType)].effect !=
          Effect::repeatable;
      const Manner manner = t.kind == Kind::closers && unsafe ? Manner::closer
                            : t.kind == Kind::repeats         ? Manner::repeater
                            : t.kind == Kind::mute            ? Manner::mute
                            : t.kind == Kind::garbage         ? Manner::garbage
                                                              : Manner::plain;
      if (manner != Manner::plain && a.manner == Manner::plain && chance.withProbability(t.share))
        a.manner = manner;
    }
  }
  return arrivals;
}

}  // namespace lupinsill::lab
