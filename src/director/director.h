// A running director: sockets and the real clock on one side, the session core on the other, one event loop
// between. It carries events in and orders out and decides nothing.
// Errors at start: settings::SettingsError, net::ListenError or std::runtime_error, each one line of text; a
// director that has started ends only when told to.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "session/decider.h"
#include "session/front.h"
#include "settings/deployment.h"

namespace lupinsill::director {

// The steps between an ask and its answer, at which the lab may kill a director, cut a call or (an
// ask that was read) refuse it.
enum class Step { askRead, askDecided, joinLeaves, joinBegan, answerDecided };
enum class Fate { go, cut, refuse };

// Where a measurement or the lab's planted faults reach in; empty in service.
struct Hooks {
  std::function<std::unique_ptr<session::Decider>(const ControlSettings& terms, std::uint64_t seed)> decider;
  std::function<void(Micros now, std::vector<session::Command>& orders)> tamper;
  std::function<Fate(Step step, const std::string& title)> at;
  bool guardsEnabled = true;
  bool recorded = true;  // whether the ledger's store is used
};

struct Start {
  std::string settingsFile;
  std::string portsFile;   // where to write the ports taken; empty: nowhere
  std::uint64_t seed = 0;  // 0: drawn
  Hooks hooks;
};

// Runs until stopped by SIGTERM or SIGINT, or until a drain has ended. Returns the exit code.
int run(const Start& start);

}  // namespace lupinsill::director
