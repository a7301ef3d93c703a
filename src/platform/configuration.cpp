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

const Json& requiredMember(const Json& object, const char* key) {
  const Json* value = findMember(object, key);
  if (value == nullptr) failInvalid(key, "missing");
  return *value;
}

// Replays the list events: a snapshot holds the whole list, each later event changes single entries.
std::vector<discovery::NodeRecord> parseKnownNodes(const Json& known) {
  std::map<std::string, discovery::NodeRecord> nodesByName;
  for (const Json& event : listIn(known, "events")) {
    const Json& members = objectIn(event, "members");
    bool snapshot = false;
    control_settings::read(members, "snapshot", snapshot);
    if (snapshot) nodesByName.clear();
    for (const Json& entry : listIn(members, "endpoints")) {
      discovery::NodeRecord node;
      node.name = parseText(requiredMember(entry, "name"), "name");
      const std::string status = parseText(requiredMember(entry, "status"), "status");
      if (status == "removed") {
        nodesByName.erase(node.name);
        continue;
      }
      if (status != "up" && status != "draining") failInvalid("status", "unknown word '" + status + "'");
      node.draining = status == "draining";
      const HostPort hostPort =
          parseHostPort(parseText(requiredMember(entry, "address"), "address"), "address");
      node.host = hostPort.host;
      node.port = hostPort.port;
      control_settings::read(entry, "zone", node.zone);
      control_settings::read(entry, "type", node.kind);
      control_settings::read(entry, "group", node.cell);
      control_settings::read(entry, "weight", node.weight);
      if (const Json* since = findMember(entry, "since_ms"))
        node.startedMs = parseInteger(*since, "since_ms", 0);
      nodesByName[node.name] = node;
    }
  }
  std::vector<discovery::NodeRecord> nodes;
  for (auto& [name, node] : nodesByName) nodes.push_back(std::move(node));
  return nodes;
}

}  // namespace

HostPort parseHostPort(const std::string& text, const char* field) {
  const std::size_t colon = text.rfind(':');
  HostPort hostPort;
  if (colon == std::string::npos || colon == 0) failInvalid(field, "expected host:port");
  hostPort.host = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, hostPort.port);
  if (error != std::errc() || parsedEnd != end || hostPort.port < 0 || hostPort.port > 65535)
    failInvalid(field, "expected host:port");
  return hostPort;
}

Configuration parseConfiguration(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) failInvalid("LB_CONFIG", "not a JSON object");
  Configuration configuration;
  configuration.name = parseText(requiredMember(json, "name"), "name");
  configuration.listen = parseHostPort(parseText(requiredMember(json, "listen"), "listen"), "listen");
  configuration.resolver = parseHostPort(parseText(requiredMember(json, "resolver"), "resolver"), "resolver");
  if (in_addr address{}; inet_pton(AF_INET, configuration.resolver.host.c_str(), &address) != 1)
    failInvalid("resolver", "not an IPv4 address");
  const std::string seed = parseText(requiredMember(json, "seed"), "seed");
  const auto [parsedEnd, error] =
      std::from_chars(seed.data(), seed.data() + seed.size(), configuration.seed, 16);
  if (error != std::errc() || parsedEnd != seed.data() + seed.size()) failInvalid("seed", "not hex digits");
  configuration.maxSockets = static_cast<std::size_t>(
      parseInteger(requiredMember(requiredMember(json, "limits"), "sockets"), "sockets", 64, 1'000'000));
  const Json& known = requiredMember(json, "known");
  configuration.listVersion = static_cast<std::uint64_t>(parseInteger(requiredMember(known, "n"), "n", 0));
  configuration.knownNodes = parseKnownNodes(known);
  const Json& settingsJson = requiredMember(json, "settings");
  configuration.settings = parseControlSettings(settingsJson, configuration.names);
  if (configuration.settings.roomTypes.empty()) failInvalid("classes", "missing");
  const Json& rules = objectIn(settingsJson, "rules");
  const Json& limits = objectIn(settingsJson, "limits");
  configuration.drainGrace = 2'000'000;
  readMicros(rules, "stopSendingWithinNs", configuration.drainGrace);
  configuration.connectTimeout = 250'000;
  readMicros(limits, "connectTimeoutNs", configuration.connectTimeout);
  for (const Json& item : listIn(settingsJson, "classes")) {
    Micros deadline = 0;
    readMicros(item, "deadlineNs", deadline);
    configuration.longestClientTimeout = std::max(configuration.longestClientTimeout, deadline);
  }
  return configuration;
}

Configuration readConfiguration(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) failInvalid("LB_CONFIG", file + " can't be read");
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return parseConfiguration(bytes.str());
}

}  // namespace lupinsill::platform
