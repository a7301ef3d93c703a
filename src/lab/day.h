// A day of the laboratory as read from its file, and the script drawn from it: who asks when for what, and
// which nodes, racks and directors each trouble hits. The same day and seed draw the same script.
// Times are whole microseconds from the start of the day. Errors: settings::SettingsError.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/chance.h"
#include "settings/deployment.h"
#include "settings/xml.h"

namespace lupinsill::lab {

using model::RandomSource;

enum class Kind {
  answersLost,
  hang,
  fastErrors,
  slow,
  linkCut,
  uplinkCut,
  drain,
  kill,
  wave,
  listStale,
  reportsLate,
  crowd,
  burst,
  directorKill,
  directorRoll,
  directorStop,
  closers,
  repeats,
  mute,
  garbage
};

struct Trouble {
  Kind kind = Kind::hang;
  Micros at = 0;
  Micros span = 0;
  double share = 0;
  double much = 0;
};

struct RoomShare {
  int roomType = 0;
  double share = 0;
  Micros least = 0, most = 0;
};

struct Day {
  std::string file;
  std::string settingsFile;
  settings::Deployment deployment;  // of the settings it names
  Micros length = 0;
  Micros answerSlack = 0;
  int directors = 0, nodes = 0, zones = 0;
  double linkKb = 0, spread = 0;
  Micros setUpLeast = 0, setUpMost = 0, listLate = 0;
  int asks = 0, titles = 0, holders = 0;
  double comeAgain = 0;
  Micros pauseLeast = 0, pauseMost = 0;
  std::vector<RoomShare> rooms;
  std::vector<Trouble> troubles;
};

Day readDay(const std::string& file);
const char* nameOf(Kind kind);  // as the schema words it

enum class Manner { plain, closer, repeater, mute, garbage };

struct Arrival {
  Micros at = 0;
  int viewer = 0;
  int roomType = 0;
  int title = 0;
  int top = 0;
  int zone = 0;
  Micros length = 0;
  Manner manner = Manner::plain;
};
std::vector<Arrival> drawArrivals(const Day& day, std::uint64_t seed);

}  // namespace lupinsill::lab
