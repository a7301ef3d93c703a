#include "platform/configuration.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <map>
#include <sstream>

namespace lupinsill::platform {

using namespace control_settings;

namespace {

const Json& at(const Json& object, const char* key) {
  const Json* value = findMember(object, key);
  if (value == nullptr) failInvalid(key, "missing");
  return *value;
}

// Numbered events from the first, which holds the whole list, to the last.
std::vector<discovery::Row> rowsOf(const Json& known) {
  std::map<std::string, discovery::Row> rows;
  for (const Json& event : listIn(known, "events")) {
    const Json& members = objectIn(event, "members");
    bool snapshot = false;
    control_settings::read(members, "snapshot", snapshot);
    if (snapshot) rows.clear();
    for (const Json& entry : listIn(members, "endpoints")) {
      discovery::Row row;
      row.name = parseText(at(entry, "name"), "name");
      const std::string status = parseText(at(entry, "status"), "status");
      if (status == "removed") {
        rows.erase(row.name);
        continue;
      }
      if (status != "up" && status != "draining") failInvalid("status", "unknown word '" + status + "'");
      row.draining = status == "draining";
      const HostPort place = placeOf(parseText(at(entry, "address"), "address"), "address");
      row.host = place.host;
      row.port = place.port;
      control_settings::read(entry, "zone", row.zone);
      control_settings::read(entry, "type", row.kind);
      control_settings::read(entry, "group", row.cell);
      control_settings::read(entry, "weight", row.weight);
      if (const Json* since = findMember(entry, "since_ms"))
        row.startedMs = parseInteger(*since, "since_ms", 0);
      rows[row.name] = row;
    }
  }
  std::vector<discovery::Row> list;
  for (auto& [name, row] : rows) list.push_back(std::move(row));
  return list;
}

}  // namespace

HostPort placeOf(const std::string& text, const char* field) {
  const std::size_t colon = text.rfind(':');
  HostPort place;
  if (colon == std::string::npos || colon == 0) failInvalid(field, "expected host:port");
  place.host = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data() + colon + 1, end, place.port);
  if (error != std::errc() || last != end || place.port < 0 || place.port > 65535)
    failInvalid(field, "expected host:port");
  return place;
}

Configuration configurationOf(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) failInvalid("LB_CONFIG", "not a JSON object");
  Configuration c;
  c.name = parseText(at(json, "name"), "name");
  c.listen = placeOf(parseText(at(json, "listen"), "listen"), "listen");
  c.resolver = placeOf(parseText(at(json, "resolver"), "resolver"), "resolver");
  if (in_addr address{}; inet_pton(AF_INET, c.resolver.host.c_str(), &address) != 1)
    failInvalid("resolver", "not an IPv4 address");
  const std::string seed = parseText(at(json, "seed"), "seed");
  const auto [last, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc() || last != seed.data() + seed.size()) failInvalid("seed", "not hex digits");
  c.sockets =
      static_cast<std::size_t>(parseInteger(at(at(json, "limits"), "sockets"), "sockets", 64, 1'000'000));
  const Json& known = at(json, "known");
  c.listNumber = static_cast<std::uint64_t>(parseInteger(at(known, "n"), "n", 0));
  c.known = rowsOf(known);
  const Json& settings = at(json, "settings");
  c.terms = parseControlSettings(settings, c.names);
  if (c.terms.roomTypes.empty()) failInvalid("classes", "missing");
  const Json& rules = objectIn(settings, "rules");
  const Json& limits = objectIn(settings, "limits");
  c.grace = 2'000'000;
  readMicros(rules, "stopSendingWithinNs", c.grace);
  c.connectTime = 250'000;
  readMicros(limits, "connectTimeoutNs", c.connectTime);
  for (const Json& item : listIn(settings, "classes")) {
    Micros deadline = 0;
    readMicros(item, "deadlineNs", deadline);
    c.longestTimeout = std::max(c.longestTimeout, deadline);
  }
  return c;
}

Configuration readConfiguration(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) failInvalid("LB_CONFIG", file + " can't be read");
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return configurationOf(bytes.str());
}

}  // namespace lupinsill::platform
