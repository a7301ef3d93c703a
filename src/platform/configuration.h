// What a director is told at its start on the operators' platform: LB_CONFIG's JSON, read whole and checked,
// with complaints that name the field.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"
#include "control_settings/control_settings.h"
#include "discovery/dns.h"

namespace lupinsill::platform {

struct HostPort {
  std::string host;
  int port = 0;
  bool operator==(const HostPort&) const = default;
};

struct Configuration {
  std::string name;
  HostPort listen, resolver;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;
  std::uint64_t listNumber = 0;
  std::vector<discovery::Row> known;
  ControlSettings terms;
  control_settings::Names names;
  Micros grace = 0;
  Micros connectTime = 0;
  Micros longestTimeout = 0;
};

HostPort placeOf(const std::string& text, const char* field);
Configuration configurationOf(const std::string& json);
Configuration readConfiguration(const std::string& file);

}  // namespace lupinsill::platform
