// The director process: runs the listeners, the connections to media nodes and the real clock in one event
// loop around the session front. All decisions are made by the front; this module only passes events in and
// carries out the commands that come back.
//
// Errors at start are settings::SettingsError, net::ListenError or std::runtime_error, each with one line of
// text. A director that has started ends only on a signal or at the end of a drain.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "session/decider.h"
#include "session/front.h"
#include "settings/deployment.h"

namespace lupinsill::director {

// Points in the handling of a request at which the lab can inject a fault.
enum class FaultPoint { requestRead, requestDecided, joinSent, joinStarted, answerDecided };

// What is done at a fault point. `dropConnection` breaks the connection (over gRPC, the call) of the request;
// `reject` throttles the request and applies at `requestRead` only.
enum class FaultAction { none, dropConnection, reject };

// Fault injection and replacement of parts for the lab and for measurements. All empty in production.
struct FaultHooks {
  // Replaces the default decision module.
  std::function<std::unique_ptr<session::Decider>(const ControlSettings& settings, std::uint64_t seed)>
      makeDecider;
  // May alter the commands of a turn before they are carried out.
  std::function<void(Micros now, std::vector<session::Command>& commands)> alterCommands;
  // Called at each fault point with the title of the request; may kill the process.
  std::function<FaultAction(FaultPoint point, const std::string& title)> onFaultPoint;
  bool guardsEnabled = true;
  bool ledgerEnabled = true;  // false: requests are not recorded in the ledger's store
};

struct Options {
  std::string settingsFile;
  std::string portsFile;   // file to write the listening ports to; empty: none
  std::uint64_t seed = 0;  // of the decision module; 0: random
  FaultHooks hooks;
};

// Runs until SIGTERM, SIGINT or the end of a drain. Returns the exit code.
int run(const Options& options);

}  // namespace lupinsill::director
