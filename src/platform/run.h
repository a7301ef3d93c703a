// A director on the operators' platform: one process, one loop, configured by LB_CONFIG. The decisions are
// those of the module behind session::Front; viewers and media nodes speak JSON lines, the list of nodes
// comes from a name server over UDP. No ledger, store, ticket or admin listener: nothing outlives a start
// here and every set-up has an id of its own.
#pragma once

#include <string>

namespace lupinsill::platform {

// Runs until SIGTERM has been followed; throws control_settings::InvalidInput or net::ListenError where it
// can't start. `logLevel`: error, warn, info or debug; debug shows every message.
int run(const std::string& configurationFile, const std::string& logLevel);

}  // namespace lupinsill::platform
