// A day: one test scenario of the lab, read from an XML file (deploy/day.xsd). It states the fleet, the
// workload and the faults to inject. drawArrivals() generates the workload's requests; the same day and seed
// give the same requests. Times are whole microseconds from the start of the day.
// Errors: settings::SettingsError.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/chance.h"
#include "settings/deployment.h"
#include "settings/xml.h"

namespace lupinsill::lab {

using model::RandomSource;

// Faults of nodes, links, lists and directors, surges of requests, and misbehaving clients. The values are in
// the order of the names in day.cpp.
enum class FaultKind {
  answersLost,   // nodes set up and play streams, but send no answers
  hang,          // nodes read requests and do nothing
  fastErrors,    // nodes fail a share of set-ups at once
  slow,          // nodes take much longer for a share of set-ups
  linkCut,       // links of nodes have less capacity
  uplinkCut,     // uplinks of racks have less capacity
  drain,         // nodes drain, each at a random time, and are replaced
  kill,          // nodes die without notice and are replaced
  wave,          // nodes drain one after the other and are replaced
  listStale,     // the node list is not published
  reportsLate,   // nodes report load that is older than usual
  crowd,         // additional requests, all for one title
  burst,         // additional requests for any title
  directorKill,  // directors are killed at once and restarted
  directorRoll,  // directors are killed one after the other and restarted
  directorStop,  // directors are suspended (SIGSTOP) for the duration
  closers,       // clients disconnect after a request (ClientBehaviour::disconnects)
  repeats,       // clients send a request twice (ClientBehaviour::duplicatesRequest)
  mute,          // clients stop reading (ClientBehaviour::neverReads)
  garbage        // clients send malformed bytes (ClientBehaviour::sendsGarbage)
};

// One fault of a day: when it starts, how long it lasts, and how much it affects.
struct ScheduledFault {
  FaultKind kind = FaultKind::hang;
  Micros at = 0;
  Micros duration = 0;
  double share = 0;  // of the nodes, racks, directors or clients that it affects
  // By kind: share of set-ups (fastErrors, slow), divisor of the capacity (linkCut, uplinkCut), seconds
  // (reportsLate), additional requests as a multiple of the usual ones (crowd, burst).
  double magnitude = 0;
};

// The share of requests for one room type, and the range of their viewing lengths.
struct RoomShare {
  int roomType = 0;
  double share = 0;
  Micros minLength = 0, maxLength = 0;
};

// The content of a day file.
struct Day {
  std::string file;
  std::string settingsFile;
  settings::Deployment deployment;  // read from settingsFile
  Micros length = 0;
  Micros answerSlack = 0;  // tolerance of the audit for answers after the client timeout
  int directors = 0, nodes = 0, zones = 0;
  double linkKb = 0;  // mean capacity of a warm node's link, kB a second
  double spread = 0;  // variation of link capacities about their mean
  Micros minSetUpTime = 0, maxSetUpTime = 0;
  Micros listDelay = 0;  // from a change of the fleet to the publication of the node list
  int requests = 0, titles = 0;
  int holders = 0;        // cells that hold each title; 0: the list states no holders
  double retryShare = 0;  // probability that a viewer requests again after a failure
  Micros minRetryPause = 0, maxRetryPause = 0;
  std::vector<RoomShare> rooms;
  std::vector<ScheduledFault> faults;
};

// Reads and validates a day file and the settings file that it names.
Day readDay(const std::string& file);
// The name of a kind in day files.
const char* nameOf(FaultKind kind);

// How a client behaves: `disconnects` closes the socket right after its first request and repeats the request
// later; `duplicatesRequest` sends a non-repeatable request twice; `neverReads` stops reading after its
// request; `sendsGarbage` sends malformed bytes in place of a request.
enum class ClientBehaviour { normal, disconnects, duplicatesRequest, neverReads, sendsGarbage };

// The arrival of one viewer: the time of the first request, and what it requests.
struct Arrival {
  Micros at = 0;
  int viewer = 0;
  int roomType = 0;
  int title = 0;
  int top = 0;  // highest rung that the client can play
  int zone = 0;
  Micros length = 0;
  ClientBehaviour behaviour = ClientBehaviour::normal;
};

// Draws all arrivals of a day, sorted by time, viewers numbered from 1.
std::vector<Arrival> drawArrivals(const Day& day, std::uint64_t seed);

}  // namespace lupinsill::lab
