// The configuration of a director on the operators' platform: the JSON document LB_CONFIG. It is parsed and
// checked as a whole; errors name the field.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"
#include "control_settings/control_settings.h"
#include "discovery/dns.h"

namespace lupinsill::platform {

// A network address.
struct HostPort {
  std::string host;
  int port = 0;
  bool operator==(const HostPort&) const = default;
};

// The parsed configuration.
struct Configuration {
  std::string name;
  HostPort listen, resolver;
  std::uint64_t seed = 0;         // of all random choices
  std::size_t maxSockets = 0;     // descriptors that the process may use
  std::uint64_t listVersion = 0;  // of knownNodes
  std::vector<discovery::NodeRecord> knownNodes;
  ControlSettings settings;
  control_settings::Names names;  // of room types, tenants and node kinds in `settings`
  Micros drainGrace = 0;          // joins may go to a node for this long after it starts to drain
  Micros connectTimeout = 0;
  Micros longestClientTimeout = 0;  // of all room types
};

// All of these throw control_settings::InvalidInput. `field` is named in the error.
HostPort parseHostPort(const std::string& text, const char* field);
Configuration parseConfiguration(const std::string& json);
Configuration readConfiguration(const std::string& file);

}  // namespace lupinsill::platform
