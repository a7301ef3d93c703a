// Reads the XML settings of a director (schema deploy/lupinsill.xsd) and the list of media nodes (schema
// deploy/nodes.xsd). Both schemas are built into the program. Durations are in microseconds, rates in kB/s.
// Names of room types, node kinds and tenants are replaced by their index in the settings file.
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

// Invalid settings. The text is one line that names file, line, element and what was expected.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An address to listen on or to connect to.
struct Endpoint {
  std::string host;
  int port = 0;
};

// Limits on players' connections.
struct SocketLimits {
  int connections = 0;           // over all listeners
  int requestsPerSocket = 0;     // open at once on one connection
  std::size_t messageBytes = 0;  // size of a message from a player
  std::size_t unsentBytes = 0;   // in the output buffer of a connection
  Micros handshake = 0;          // time allowed for the handshake
  Micros pingEvery = 0;          // silence before a ping is sent
  Micros idleClose = 0;          // silence before a connection is closed
};

// Limits on connections to media nodes.
struct NodeLimits {
  Micros connect = 0;           // connect timeout
  Micros idleClose = 0;         // time without joins or traffic before a connection is closed
  std::size_t unsentBytes = 0;  // output buffered for a node; no joins are sent to it above that
};

// The settings of one director.
struct Deployment {
  std::string name;              // of the director
  Endpoint players;              // WebSocket
  std::optional<Endpoint> grpc;  // no gRPC listener if empty
  Endpoint admin;
  net::TlsFiles playersTls;     // for the WebSocket and gRPC listeners; no TLS if empty
  net::TlsFiles nodesTls;       // client certificate and the nodes' certificate authority; no TLS if empty
  std::string listFile;         // the list of media nodes
  std::string listCacheFile;    // copy of the last applied list, used at the next start
  Micros listPollInterval = 0;  // between checks whether the list file has changed
  // A list that omits more than the rest of the ready nodes removes them only after confirmation.
  double minRetainedShare = 0;
  std::string ticketKeyFile;  // if empty, a key is generated at each start
  Micros ticketValid = 0;     // lifetime of tickets
  std::string ledgerFile;     // if empty, records are kept in memory only
  std::size_t ledgerMegabytes = 0;
  // Names and client timeouts by the index that ControlSettings uses for the room type, node kind or tenant.
  std::vector<std::string> roomTypes;
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

// Reads and checks a settings file. Paths in it are resolved against its folder. Throws SettingsError.
Deployment readDeployment(const std::string& file);
// The checked settings file as XML, with all defaults written out. Throws SettingsError.
std::string formatWithDefaults(const std::string& file);
// The elements in which `next` differs from `current` and that a running director cannot change; empty if a
// reload can apply `next`.
std::vector<std::string> changesNeedingRestart(const Deployment& current, const Deployment& next);

// Reads the list of media nodes and checks it against the deployment. `wallToClock` is added to UTC
// microseconds to get times on the caller's clock. Throws SettingsError.
fleet::NodeList readNodes(const std::string& file, const Deployment& deployment, Micros wallToClock);

// Parses digits followed by us, ms, s, m or h, the form that the schemas require. Throws SettingsError.
Micros parseDuration(const std::string& text);

}  // namespace lupinsill::settings
