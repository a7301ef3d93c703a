#include "settings/deployment.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <set>

#include "schemas.h"
#include "settings/xml.h"

namespace lupinsill::settings {
namespace {

constexpr int maxPort = 65535;
// Lower limits applied to the settings, in microseconds.
constexpr int minListPollIntervalUs = 10'000;
constexpr int minStallThresholdUs = 300'000;
// Used without a <tickets> element; the schema's default for its attribute `valid`.
constexpr Micros defaultTicketLifetime = 60'000'000;  // 60 s

// The schema has checked the form of all attributes that are read here.
double numberOf(const Element& element, const char* name) {
  return std::strtod(element.text(name).c_str(), nullptr);
}
int integerOf(const Element& element, const char* name) { return std::atoi(element.text(name).c_str()); }
Micros durationOf(const Element& element, const char* name) { return parseDuration(element.text(name)); }
bool booleanOf(const Element& element, const char* name) {
  const std::string text = element.text(name);
  return text == "true" || text == "1";
}

Endpoint parseEndpoint(const std::string& file, const Element& at, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const int port = std::atoi(text.c_str() + colon + 1);
  if (port > maxPort) throwSettingsError(file, at, "port " + std::to_string(port) + ": expected 0 to 65535");
  return {text.substr(0, colon), port};
}

// The index of a name, or -1.
int indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// Resolves a path that is relative to the folder of `file`. An empty path stays empty.
std::string resolvePath(const std::string& file, const std::string& path) {
  if (path.empty()) return path;
  return (std::filesystem::path(file).parent_path() / path).lexically_normal().string();
}

// Appends the element's name to `names`; throws if it is already there.
void addUniqueName(const std::string& file, const Element& element, std::vector<std::string>& names) {
  if (indexOf(names, element.text("name")) >= 0)
    throwSettingsError(file, element,
                       "name '" + element.text("name") + "' is taken: expected a name not used above");
  names.push_back(element.text("name"));
}

void readRoomTypes(const std::string& file, const Element& list, Deployment& deployment) {
  const int rungs = static_cast<int>(deployment.controlSettings.ladderKb.size());
  for (const Element& element : list.children) {
    addUniqueName(file, element, deployment.roomTypes);
    RoomType room;
    const std::string effect = element.text("effect"), group = element.text("group");
    room.effect = effect == "once" ? Effect::once : effect == "by-key" ? Effect::byKey : Effect::repeatable;
    room.group = group == "zone" ? Group::zone : group == "cell" ? Group::cell : Group::all;
    room.window = durationOf(element, "window");
    room.joinObjective = durationOf(element, "join-objective");
    room.benefit = numberOf(element, "benefit");
    room.rateFactor = numberOf(element, "rate-factor");
    room.floor = integerOf(element, "floor");
    room.top = integerOf(element, "top");
    room.seats = integerOf(element, "seats");
    if (room.top >= rungs)
      throwSettingsError(file, element,
                         "top " + element.text("top") + ": expected a rung of the ladder, 0 to " +
                             std::to_string(rungs - 1));
    if (room.floor > room.top)
      throwSettingsError(file, element,
                         "floor " + element.text("floor") + ": expected at most top, " + element.text("top"));
    if (durationOf(element, "client-timeout") < room.joinObjective)
      throwSettingsError(
          file, element,
          "client-timeout: expected at least join-objective, " + element.text("join-objective"));
    if (durationOf(element, "client-timeout") <= deployment.sessionLimits.answerMargin)
      throwSettingsError(file, element, "client-timeout: expected more than margin of <answers>");
    if (room.effect == Effect::byKey && room.window == 0)
      throwSettingsError(file, element, "window: expected more than 0s for effect by-key");
    if (room.rateFactor <= 0) throwSettingsError(file, element, "rate-factor: expected more than 0");
    deployment.clientTimeouts.push_back(durationOf(element, "client-timeout"));
    deployment.controlSettings.roomTypes.push_back(room);
  }
}

void readRules(const std::string& file, const Element& element, Deployment& deployment) {
  ControlSettings& control = deployment.controlSettings;
  deployment.sessionLimits.grace = durationOf(element, "grace");
  control.coldTime = durationOf(element, "cold-time");
  control.fallTime = durationOf(element, "fall-time");
  control.startCapacity = numberOf(element, "start-capacity");
  control.overloadFactor = numberOf(element, "overload-factor");
  control.maxJoins = integerOf(element, "joins-most");
  if (control.startCapacity <= 0 || control.overloadFactor < 1 || control.coldTime <= 0)
    throwSettingsError(file, element,
                       "expected cold-time and start-capacity over 0 and overload-factor of at least 1");
  const Element* budget = element.child("further-joins");
  if (budget == nullptr) return;
  control.retryBudget =
      RetryBudget{integerOf(*budget, "few"), numberOf(*budget, "share"), durationOf(*budget, "window")};
  if (control.retryBudget->window <= 0) throwSettingsError(file, *budget, "window: expected more than 0s");
}

}  // namespace

Micros parseDuration(const std::string& text) {
  char* unit = nullptr;
  const Micros count = std::strtoll(text.c_str(), &unit, 10);
  const std::string_view suffix = unit;
  if (suffix == "us") return count;
  if (suffix == "ms") return count * 1'000;
  if (suffix == "s") return count * 1'000'000;
  if (suffix == "m") return count * 60'000'000;
  if (suffix == "h") return count * 3'600'000'000;
  throw SettingsError("duration '" + text + "': expected digits and one of us, ms, s, m, h");
}

Deployment readDeployment(const std::string& file) {
  const Element root = readXml(file, directorSchema);
  Deployment deployment;
  ControlSettings& control = deployment.controlSettings;

  const Element& director = *root.child("director");
  deployment.name = director.text("name");
  control.ordinal = integerOf(director, "ordinal");
  control.directors = integerOf(director, "of");
  control.zone = director.text("zone");
  if (control.ordinal >= control.directors)
    throwSettingsError(
        file, director,
        "ordinal " + director.text("ordinal") + ": expected less than of, " + director.text("of"));

  const Element& listen = *root.child("listen");
  deployment.players = parseEndpoint(file, listen, listen.text("players"));
  if (const std::string grpc = listen.text("grpc"); !grpc.empty())
    deployment.grpc = parseEndpoint(file, listen, grpc);
  deployment.admin = parseEndpoint(file, listen, listen.text("admin"));

  if (const Element* tls = root.child("tls")) {
    const auto pathOf = [&](const char* attribute) { return resolvePath(file, tls->text(attribute)); };
    deployment.playersTls = {pathOf("certificate"), pathOf("key"), pathOf("players-authority")};
    deployment.nodesTls = {pathOf("nodes-certificate"), pathOf("nodes-key"), pathOf("nodes-authority")};
    for (const net::TlsFiles* files : {&deployment.playersTls, &deployment.nodesTls})
      if (files->certificate.empty() != files->key.empty())
        throwSettingsError(file, *tls, "expected a certificate and its key together, or neither");
    if (deployment.playersTls.certificate.empty() && !deployment.playersTls.authority.empty())
      throwSettingsError(file, *tls, "players-authority: expected certificate and key as well");
    if (deployment.nodesTls.authority.empty() && !deployment.nodesTls.certificate.empty())
      throwSettingsError(file, *tls, "nodes-certificate: expected nodes-authority as well");
  }
  const Element& list = *root.child("list");
  deployment.listFile = resolvePath(file, list.text("file"));
  deployment.listCacheFile = resolvePath(file, list.text("kept-as"));
  deployment.listPollInterval = std::max<Micros>(minListPollIntervalUs, durationOf(list, "look-every"));
  deployment.minRetainedShare = numberOf(list, "least-kept");
  if (const Element* tickets = root.child("tickets")) {
    deployment.ticketKeyFile = resolvePath(file, tickets->text("key-file"));
    deployment.ticketValid = durationOf(*tickets, "valid");
  } else {
    deployment.ticketValid = defaultTicketLifetime;
  }

  if (const Element* ledger = root.child("ledger")) {
    deployment.ledgerFile = resolvePath(file, ledger->text("file"));
    deployment.ledgerMegabytes = static_cast<std::size_t>(integerOf(*ledger, "megabytes"));
    deployment.sessionLimits.keysStored = true;
  }
  const Element& fleet = *root.child("fleet");
  control.cells = integerOf(fleet, "cells");
  control.racks = integerOf(fleet, "racks");
  control.totalLinkKb = numberOf(fleet, "all-links-kb");
  control.rackUplinkKb = numberOf(fleet, "rack-uplink-kb");
  control.weightKb = numberOf(fleet, "weight-kb");
  control.refusalThreshold = numberOf(fleet, "refuses-from");
  for (const Element& kind : fleet.children) {
    addUniqueName(file, kind, deployment.kinds);
    control.slotsByKind.push_back(integerOf(kind, "places"));
  }

  const Element& ladder = *root.child("ladder");
  control.switchSeconds = static_cast<double>(durationOf(ladder, "switch-cost")) / 1e6;
  for (const Element& rung : ladder.children) {
    const double kb = numberOf(rung, "kb");
    if (kb <= (control.ladderKb.empty() ? 0 : control.ladderKb.back()))
      throwSettingsError(file, rung,
                         "kb " + rung.text("kb") + ": expected more than the rung above it in the file");
    control.ladderKb.push_back(kb);
    control.rungBenefit.push_back(numberOf(rung, "benefit"));
  }

  const Element& answers = *root.child("answers");
  deployment.sessionLimits.answerMargin = durationOf(answers, "margin");
  control.retryAfter = booleanOf(answers, "retry-after");
  control.maxRetryAfter = durationOf(answers, "retry-after-most");
  control.cancelling = booleanOf(answers, "call-off");
  deployment.sessionLimits.orphanTimeout = durationOf(answers, "orphan-hold");
  deployment.sessionLimits.keyRetention = durationOf(answers, "key-memory");
  deployment.sessionLimits.stallThreshold =
      std::max<Micros>(minStallThresholdUs, durationOf(answers, "standstill"));

  readRoomTypes(file, *root.child("room-types"), deployment);
  if (const Element* tenants = root.child("tenants"))
    for (const Element& tenant : tenants->children) {
      addUniqueName(file, tenant, deployment.tenants);
      control.quotaPerSecond.push_back(numberOf(tenant, "quota"));
    }

  const Element& reports = *root.child("reports");
  control.reportInterval = durationOf(reports, "every");
  control.seenAfter = durationOf(reports, "seen-after");
  control.uplinksReported = booleanOf(reports, "uplinks");
  readRules(file, *root.child("rules"), deployment);

  const Element& limits = *root.child("limits");
  deployment.sessionLimits.maxOpen = static_cast<std::size_t>(integerOf(limits, "open-asks"));
  deployment.sessionLimits.maxSubscriptions = static_cast<std::size_t>(integerOf(limits, "subscriptions"));
  deployment.sessionLimits.maxKeys = static_cast<std::size_t>(integerOf(limits, "keys"));
  deployment.sockets = {integerOf(limits, "connections"),
                        integerOf(limits, "asks-per-socket"),
                        static_cast<std::size_t>(integerOf(limits, "message-bytes")),
                        static_cast<std::size_t>(integerOf(limits, "unsent-bytes")),
                        durationOf(limits, "handshake"),
                        durationOf(limits, "ping-every"),
                        durationOf(limits, "idle-close")};
  deployment.nodes = {durationOf(limits, "node-connect"), durationOf(limits, "node-idle-close"),
                      static_cast<std::size_t>(integerOf(limits, "node-unsent-bytes"))};
  if (const Element* log = root.child("log")) {
    deployment.logLevel = log->text("level");
    deployment.logForm = log->text("form");
  } else {
    deployment.logLevel = "info", deployment.logForm = "text";
  }
  return deployment;
}

std::string formatWithDefaults(const std::string& file) {
  readDeployment(file);  // throws on errors that the schema cannot express
  return formatXml(file, directorSchema);
}

// The control and the guards read their settings only at the start, and current subscriptions were placed by
// them, so changing those needs a restart. Socket limits, list files and log settings are read whenever they
// are used.
std::vector<std::string> changesNeedingRestart(const Deployment& current, const Deployment& next) {
  std::vector<std::string> out;
  const auto addIf = [&](bool changed, const char* element) {
    if (changed) out.emplace_back(element);
  };
  const ControlSettings &a = current.controlSettings, &b = next.controlSettings;
  const auto sameTlsUse = [](const net::TlsFiles& x, const net::TlsFiles& y) {
    return x.empty() == y.empty();
  };
  addIf(!sameTlsUse(current.playersTls, next.playersTls) || !sameTlsUse(current.nodesTls, next.nodesTls),
        "tls (enabled or disabled)");
  addIf(current.name != next.name || a.ordinal != b.ordinal || a.directors != b.directors || a.zone != b.zone,
        "director");
  addIf(current.players.host != next.players.host || current.players.port != next.players.port ||
            current.admin.host != next.admin.host || current.admin.port != next.admin.port,
        "listen");
  addIf(current.ticketKeyFile != next.ticketKeyFile, "tickets");
  addIf(current.ledgerFile != next.ledgerFile || current.ledgerMegabytes != next.ledgerMegabytes, "ledger");
  addIf(current.kinds != next.kinds || a.slotsByKind != b.slotsByKind || a.cells != b.cells ||
            a.racks != b.racks || a.totalLinkKb != b.totalLinkKb || a.rackUplinkKb != b.rackUplinkKb ||
            a.weightKb != b.weightKb || a.refusalThreshold != b.refusalThreshold,
        "fleet");
  addIf(a.ladderKb != b.ladderKb || a.rungBenefit != b.rungBenefit || a.switchSeconds != b.switchSeconds,
        "ladder");
  const auto differ = [](const RoomType& x, const RoomType& y) {
    return x.effect != y.effect || x.group != y.group || x.window != y.window ||
           x.joinObjective != y.joinObjective || x.benefit != y.benefit || x.rateFactor != y.rateFactor ||
           x.floor != y.floor || x.top != y.top || x.seats != y.seats;
  };
  addIf(current.roomTypes != next.roomTypes || current.clientTimeouts != next.clientTimeouts ||
            !std::equal(a.roomTypes.begin(), a.roomTypes.end(), b.roomTypes.begin(), b.roomTypes.end(),
                        [&](const RoomType& x, const RoomType& y) { return !differ(x, y); }),
        "room-types");
  addIf(current.tenants != next.tenants || a.quotaPerSecond != b.quotaPerSecond, "tenants");
  addIf(a.reportInterval != b.reportInterval || a.seenAfter != b.seenAfter ||
            a.uplinksReported != b.uplinksReported,
        "reports");
  const auto retryBudgetOf = [](const ControlSettings& settings) {
    return settings.retryBudget ? std::tuple(settings.retryBudget->minRetries, settings.retryBudget->share,
                                             settings.retryBudget->window)
                                : std::tuple(-1, 0.0, Micros{0});
  };
  addIf(current.sessionLimits.grace != next.sessionLimits.grace || a.coldTime != b.coldTime ||
            a.fallTime != b.fallTime || a.startCapacity != b.startCapacity ||
            a.overloadFactor != b.overloadFactor || a.maxJoins != b.maxJoins ||
            retryBudgetOf(a) != retryBudgetOf(b),
        "rules");
  addIf(current.sessionLimits.answerMargin != next.sessionLimits.answerMargin ||
            a.retryAfter != b.retryAfter || a.maxRetryAfter != b.maxRetryAfter ||
            a.cancelling != b.cancelling ||
            current.sessionLimits.orphanTimeout != next.sessionLimits.orphanTimeout ||
            current.sessionLimits.keyRetention != next.sessionLimits.keyRetention ||
            current.sessionLimits.stallThreshold != next.sessionLimits.stallThreshold,
        "answers");
  addIf(current.sessionLimits.maxOpen != next.sessionLimits.maxOpen ||
            current.sessionLimits.maxSubscriptions != next.sessionLimits.maxSubscriptions ||
            current.sessionLimits.maxKeys != next.sessionLimits.maxKeys,
        "limits (open-asks, subscriptions, keys)");
  return out;
}

namespace {

// The start time of a node's process on the monotonic clock; 0 if it is not stated.
Micros parseStartTime(const std::string& file, const Element& element, Micros wallToClock) {
  const std::string text = element.text("started");
  if (text.empty()) return 0;
  std::tm tm{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &tm);
  if (rest == nullptr)
    throwSettingsError(file, element, "started '" + text + "': expected a time like 2026-01-31T18:00:00Z");
  const double fraction = *rest == '.' ? std::strtod(rest, nullptr) : 0;
  const Micros wall = static_cast<Micros>(timegm(&tm)) * 1'000'000 + std::llround(fraction * 1e6);
  // A start before the origin of the monotonic clock is not positive; 0 is reserved for "not stated".
  return std::max<Micros>(1, wall + wallToClock);
}

}  // namespace

fleet::NodeList readNodes(const std::string& file, const Deployment& deployment, Micros wallToClock) {
  const Element root = readXml(file, nodesSchema);
  fleet::NodeList nodeList;
  nodeList.version = std::strtoull(root.text("version").c_str(), nullptr, 10);
  nodeList.otherTitlesEverywhere = root.text("others") == "everywhere";
  std::set<NodeId> seen;
  for (const Element& element : root.children) {
    if (element.name == "title") {
      const fleet::TitlePlacement placement{
          integerOf(element, "first-cell"),
          std::min(integerOf(element, "holders"), deployment.controlSettings.cells)};
      if (placement.firstCell >= deployment.controlSettings.cells)
        throwSettingsError(file, element,
                           "first-cell: expected less than the fleet's cells, " +
                               std::to_string(deployment.controlSettings.cells));
      nodeList.titles[element.text("name")] = placement;
      continue;
    }
    fleet::NodeEndpoint endpoint;
    endpoint.node = static_cast<NodeId>(std::strtoul(element.text("id").c_str(), nullptr, 10));
    if (!seen.insert(endpoint.node).second)
      throwSettingsError(file, element, "id " + element.text("id") + ": expected an id not used above");
    const Endpoint address = parseEndpoint(file, element, element.text("address"));
    endpoint.host = address.host, endpoint.port = address.port;
    endpoint.kind = indexOf(deployment.kinds, element.text("kind"));
    if (endpoint.kind < 0)
      throwSettingsError(file, element,
                         "kind '" + element.text("kind") + "': expected a kind named in the settings");
    endpoint.zone = element.text("zone");
    endpoint.cell = integerOf(element, "cell");
    if (endpoint.cell >= deployment.controlSettings.cells)
      throwSettingsError(
          file, element,
          "cell: expected less than the fleet's cells, " + std::to_string(deployment.controlSettings.cells));
    endpoint.weight = numberOf(element, "weight");
    const std::string state = element.text("state");
    endpoint.state = state == "ready"      ? NodeState::ready
                     : state == "draining" ? NodeState::draining
                                           : NodeState::gone;
    endpoint.readyAt = parseStartTime(file, element, wallToClock);
    nodeList.endpoints.push_back(std::move(endpoint));
  }
  return nodeList;
}

}  // namespace lupinsill::settings
