// A day of the laboratory as read from its file, and the script drawn from it: who asks when for what, and
// which nodes, racks and directors each trouble hits. The same day and seed draw the same script.
// Times are whole microseconds from the start of the day. Errors: settings::BadSettings.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/chance.h"
#include "settings/deployment.h"
#include "settings/xml.h"

namespace lupinsill::lab {

using model::Chance;

enum class FaultKind {
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

struct ScheduledFault {
  FaultKind kind = FaultKind::hang;
  Micros at = 0;
  Micros duration = 0;
  double share = 0;
  double magnitude = 0;
};

struct RoomShare {
  int roomType = 0;
  double share = 0;
  Micros minLength = 0, maxLength = 0;
};

struct Day {
  std::string file;
  std::string settingsFile;
  settings::Deployment deployment;  // of the settings it names
  Micros length = 0;
  Micros answerSlack = 0;
  int directors = 0, nodes = 0, zones = 0;
  double linkKb = 0, spread = 0;
  Micros minSetUpTime = 0, maxSetUpTime = 0, listDelay = 0;
  int requests = 0, titles = 0, holders = 0;
  double retryShare = 0;
  Micros minRetryPause = 0, maxRetryPause = 0;
  std::vector<RoomShare> rooms;
  std::vector<ScheduledFault> faults;
};

Day readDay(const std::string& file);
const char* nameOf(FaultKind kind);  // as the schema words it

enum class ClientBehaviour { normal, disconnects, duplicatesRequest, neverReads, sendsGarbage };

struct Arrival {
  Micros at = 0;
  int viewer = 0;
  int roomType = 0;
  int title = 0;
  int top = 0;
  int zone = 0;
  Micros length = 0;
  ClientBehaviour behaviour = ClientBehaviour::normal;
};
std::vector<Arrival> drawArrivals(const Day& day, std::uint64_t seed);

}  // namespace lupinsill::lab
