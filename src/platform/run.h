// The director process on the operators' platform (`lupinsill run`): a single-threaded event loop, configured
// by LB_CONFIG. session::Front makes the decisions; viewers and media nodes exchange JSON lines with it, and
// the list of nodes comes from a DNS server over UDP. There is no ledger, store, ticket or admin listener: no
// state survives a restart, and every request has an ID of its own.
#pragma once

#include <string>

namespace lupinsill::platform {

// Runs until the graceful shutdown after SIGTERM or SIGINT is complete and returns the exit code. Throws
// control_settings::InvalidInput or net::ListenError if it cannot start. `logLevel` is error, warn, info or
// debug; debug also logs every message.
int run(const std::string& configurationFile, const std::string& logLevel);

}  // namespace lupinsill::platform
