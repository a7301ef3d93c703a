// What one director is told at start, decoded once from its settings file, and the list of media nodes
// decoded from its own. Whole microseconds, kB a second; names become indices here. Errors: SettingsError,
// whose text is one line naming file, line, element and what was expected. Source: deploy/lupinsill.xsd and
// deploy/nodes.xsd, which are built into the program.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "control.h"
#include "fleet/membership.h"
#include "net/tls.h"
#include "session/front.h"

namespace lupinsill::settings {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Endpoint {
  std::string host;
  int port = 0;
};

struct SocketLimits {
  int connections = 0;
  int requestsPerSocket = 0;
  std::size_t messageBytes = 0;
  std::size_t unsentBytes = 0;
  Micros handshake = 0;
  Micros pingEvery = 0;
  Micros idleClose = 0;
};

struct NodeLimits {
  Micros connect = 0;
  Micros idleClose = 0;
  std::size_t unsentBytes = 0;
};

struct Deployment {
  std::string name;
  Endpoint players;
  std::optional<Endpoint> grpc;
  Endpoint admin;
  net::TlsFiles playersTls;  // of both players' listeners; empty: plain
  net::TlsFiles nodesTls;    // shown to media nodes; the authority is theirs; empty: plain
  std::string listFile;
  std::string listCacheFile;
  Micros listPollInterval = 0;
  double minRetainedShare = 0;
  std::string ticketKeyFile;
  Micros ticketValid = 0;
  std::string ledgerFile;  // empty: none
  std::size_t ledgerMegabytes = 0;
  std::vector<std::string> roomTypes;  // names, by the index that ControlSettings uses; so the next two
  std::vector<Micros> clientTimeouts;
  std::vector<std::string> kinds;
  std::vector<std::string> tenants;
  ControlSettings controlSettings;
  session::Limits sessionLimits;
  SocketLimits sockets;
  NodeLimits nodes;
  std::string logLevel;
  std::string logForm;
};

Deployment readDeployment(const std::string& file);
// The same file with all defaults written out.
std::string formatWithDefaults(const std::string& file);
// What of `next` differs from `now` in a way that a running director cannot take over; empty: nothing.
std::vector<std::string> changesNeedingRestart(const Deployment& now, const Deployment& next);

// `wallToClock`: added to UTC microseconds to get the caller's clock.
fleet::NodeList readNodes(const std::string& file, const Deployment& deployment, Micros wallToClock);

Micros parseDuration(const std::string& text);  // as the schema admits it: digits and a unit

}  // namespace lupinsill::settings
