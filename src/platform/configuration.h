// What a director is told at its start on the operators' platform: LB_CONFIG's JSON, read whole and checked,
// with complaints that name the field.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"
#include "roster/dns.h"
#include "terms/terms.h"

namespace lupinsill::platform {

struct Place {
  std::string host;
  int port = 0;
  bool operator==(const Place&) const = default;
};

struct Configuration {
  std::string name;
  Place listen, resolver;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;
  std::uint64_t listNumber = 0;
  std::vector<roster::Row> known;
  Terms terms;
  terms::Names names;
  Micros grace = 0;
  Micros connectTime = 0;
  Micros longestTimeout = 0;
};

Place placeOf(const std::string& text, const char* field);
Configuration configurationOf(const std::string& json);
Configuration readConfiguration(const std::string& file);

}  // namespace lupinsill::platform
