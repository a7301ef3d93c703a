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

double real(const Element& e, const char* name) { return std::strtod(e.text(name).c_str(), nullptr); }
int whole(const Element& e, const char* name) { return std::atoi(e.text(name).c_str()); }
Micros span(const Element& e, const char* name) { return parseDuration(e.text(name)); }
bool yes(const Element& e, const char* name) {
  const std::string text = e.text(name);
  return text == "true" || text == "1";
}

Endpoint endpointOf(const std::string& file, const Element& at, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const int port = std::atoi(text.c_str() + colon + 1);
  if (port > 65535) throwSettingsError(file, at, "port " + std::to_string(port) + ": expected 0 to 65535");
  return {text.substr(0, colon), port};
}

int placeOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::string beside(const std::string& file, const std::string& named) {
  if (named.empty()) return named;
  return (std::filesystem::path(file).parent_path() / named).lexically_normal().string();
}

void name(const std::string& file, const Element& e, std::vector<std::string>& names) {
  if (placeOf(names, e.text("name")) >= 0)
    throwSettingsError(file, e, "name '" + e.text("name") + "' is taken: expected one not used above");
  names.push_back(e.text("name"));
}

void readRoomTypes(const std::string& file, const Element& list, Deployment& d) {
  const int rungs = static_cast<int>(d.controlSettings.ladderKb.size());
  for (const Element& e : list.children) {
    name(file, e, d.roomTypes);
    RoomType room;
    const std::string effect = e.text("effect"), group = e.text("group");
    room.effect = effect == "once" ? Effect::once : effect == "by-key" ? Effect::byKey : Effect::repeatable;
    room.group = group == "zone" ? Group::zone : group == "cell" ? Group::cell : Group::all;
    room.window = span(e, "window");
    room.joinObjective = span(e, "join-objective");
    room.benefit = real(e, "benefit");
    room.rateFactor = real(e, "rate-factor");
    room.floor = whole(e, "floor");
    room.top = whole(e, "top");
    room.seats = whole(e, "seats");
    if (room.top >= rungs)
      throwSettingsError(
          file, e,
          "top " + e.text("top") + ": expected a rung of the ladder, 0 to " + std::to_string(rungs - 1));
    if (room.floor > room.top)
      throwSettingsError(file, e, "floor over top: expected a floor of at most " + e.text("top"));
    if (span(e, "client-timeout") < room.joinObjective)
      throwSettingsError(
          file, e, "client-timeout under join-objective: expected at least " + e.text("join-objective"));
    if (span(e, "client-timeout") <= d.sessionLimits.answerMargin)
      throwSettingsError(file, e, "client-timeout: expected more than the margin of <answers>");
    if (room.effect == Effect::byKey && room.window == 0)
      throwSettingsError(file, e, "window: expected one, since effect is by-key");
    if (room.rateFactor <= 0) throwSettingsError(file, e, "rate-factor: expected more than 0");
    d.clientTimeouts.push_back(span(e, "client-timeout"));
    d.controlSettings.roomTypes.push_back(room);
  }
}

void readRules(const std::string& file, const Element& e, Deployment& d) {
  ControlSettings& t = d.controlSettings;
  d.sessionLimits.grace = span(e, "grace");
  t.coldTime = span(e, "cold-time");
  t.fallTime = span(e, "fall-time");
  t.startCapacity = real(e, "start-capacity");
  t.overloadFactor = real(e, "overload-factor");
  t.maxJoins = whole(e, "joins-most");
  if (t.startCapacity <= 0 || t.overloadFactor < 1 || t.coldTime <= 0)
    throwSettingsError(file, e,
                       "expected cold-time and start-capacity over 0 and overload-factor of at least 1");
  const Element* further = e.child("further-joins");
  if (further == nullptr) return;
  t.retryBudget = RetryBudget{whole(*further, "few"), real(*further, "share"), span(*further, "window")};
  if (t.retryBudget->window <= 0) throwSettingsError(file, *further, "window: expected more than 0s");
}

}  // namespace

Micros parseDuration(const std::string& text) {
  char* unit = nullptr;
  const Micros n = std::strtoll(text.c_str(), &unit, 10);
  const std::string_view u = unit;
  if (u == "us") return n;
  if (u == "ms") return n * 1'000;
  if (u == "s") return n * 1'000'000;
  if (u == "m") return n * 60'000'000;
  if (u == "h") return n * 3'600'000'000;
  throw SettingsError("duration '" + text + "': expected digits and one of us, ms, s, m, h");
}

Deployment readDeployment(const std::string& file) {
  const Element root = readXml(file, directorSchema);
  Deployment d;
  ControlSettings& t = d.controlSettings;

  const Element& director = *root.child("director");
  d.name = director.text("name");
  t.ordinal = whole(director, "ordinal");
  t.directors = whole(director, "of");
  t.zone = director.text("zone");
  if (t.ordinal >= t.directors)
    throwSettingsError(
        file, director,
        "ordinal " + director.text("ordinal") + ": expected less than of, " + director.text("of"));

  const Element& listen = *root.child("listen");
  d.players = endpointOf(file, listen, listen.text("players"));
  if (const std::string grpc = listen.text("grpc"); !grpc.empty()) d.grpc = endpointOf(file, listen, grpc);
  d.admin = endpointOf(file, listen, listen.text("admin"));

  if (const Element* tls = root.child("tls")) {
    const auto named = [&](const char* attribute) { return beside(file, tls->text(attribute)); };
    d.playersTls = {named("certificate"), named("key"), named("players-authority")};
    d.nodesTls = {named("nodes-certificate"), named("nodes-key"), named("nodes-authority")};
    for (const net::TlsFiles* files : {&d.playersTls, &d.nodesTls})
      if (files->certificate.empty() != files->key.empty())
        throwSettingsError(file, *tls, "a certificate and its key belong together");
    if (d.playersTls.certificate.empty() && !d.playersTls.authority.empty())
      throwSettingsError(file, *tls, "players-authority: expected a certificate and key of our own as well");
    if (d.nodesTls.authority.empty() && !d.nodesTls.certificate.empty())
      throwSettingsError(file, *tls, "nodes-certificate: expected nodes-authority as well");
  }
  const Element& list = *root.child("list");
  d.listFile = beside(file, list.text("file"));
  d.listCacheFile = beside(file, list.text("kept-as"));
  d.listPollInterval = std::max<Micros>(10'000, span(list, "look-every"));
  d.minRetainedShare = real(list, "least-kept");
  if (const Element* tickets = root.child("tickets")) {
    d.ticketKeyFile = beside(file, tickets->text("key-file"));
    d.ticketValid = span(*tickets, "valid");
  } else {
    d.ticketValid = 60'000'000;
  }

  if (const Element* ledger = root.child("ledger")) {
    d.ledgerFile = beside(file, ledger->text("file"));
    d.ledgerMegabytes = static_cast<std::size_t>(whole(*ledger, "megabytes"));
    d.sessionLimits.keysStored = true;
  }
  const Element& fleet = *root.child("fleet");
  t.cells = whole(fleet, "cells");
  t.racks = whole(fleet, "racks");
  t.totalLinkKb = real(fleet, "all-links-kb");
  t.rackUplinkKb = real(fleet, "rack-uplink-kb");
  t.weightKb = real(fleet, "weight-kb");
  t.refusalThreshold = real(fleet, "refuses-from");
  for (const Element& kind : fleet.children) {
    name(file, kind, d.kinds);
    t.slotsByKind.push_back(whole(kind, "places"));
  }

  const Element& ladder = *root.child("ladder");
  t.switchSeconds = static_cast<double>(span(ladder, "switch-cost")) / 1e6;
  for (const Element& rung : ladder.children) {
    const double kb = real(rung, "kb");
    if (kb <= (t.ladderKb.empty() ? 0 : t.ladderKb.back()))
      throwSettingsError(file, rung,
                         "kb " + rung.text("kb") + ": expected more than the rung above it in the file");
    t.ladderKb.push_back(kb);
    t.rungBenefit.push_back(real(rung, "benefit"));
  }

  const Element& answers = *root.child("answers");
  d.sessionLimits.answerMargin = span(answers, "margin");
  t.retryAfter = yes(answers, "retry-after");
  t.maxRetryAfter = span(answers, "retry-after-most");
  t.cancelling = yes(answers, "call-off");
  d.sessionLimits.orphanTimeout = span(answers, "orphan-hold");
  d.sessionLimits.keyRetention = span(answers, "key-memory");
  d.sessionLimits.stallThreshold = std::max<Micros>(300'000, span(answers, "standstill"));

  readRoomTypes(file, *root.child("room-types"), d);
  if (const Element* tenants = root.child("tenants"))
    for (const Element& tenant : tenants->children) {
      name(file, tenant, d.tenants);
      t.quotaPerSecond.push_back(real(tenant, "quota"));
    }

  const Element& reports = *root.child("reports");
  t.reportInterval = span(reports, "every");
  t.seenAfter = span(reports, "seen-after");
  t.uplinksReported = yes(reports, "uplinks");
  readRules(file, *root.child("rules"), d);

  const Element& limits = *root.child("limits");
  d.sessionLimits.maxOpen = static_cast<std::size_t>(whole(limits, "open-asks"));
  d.sessionLimits.maxSubscriptions = static_cast<std::size_t>(whole(limits, "subscriptions"));
  d.sessionLimits.maxKeys = static_cast<std::size_t>(whole(limits, "keys"));
  d.sockets = {whole(limits, "connections"),
               whole(limits, "asks-per-socket"),
               static_cast<std::size_t>(whole(limits, "message-bytes")),
               static_cast<std::size_t>(whole(limits, "unsent-bytes")),
               span(limits, "handshake"),
               span(limits, "ping-every"),
               span(limits, "idle-close")};
  d.nodes = {span(limits, "node-connect"), span(limits, "node-idle-close"),
             static_cast<std::size_t>(whole(limits, "node-unsent-bytes"))};
  if (const Element* log = root.child("log")) {
    d.logLevel = log->text("level");
    d.logForm = log->text("form");
  } else {
    d.logLevel = "info", d.logForm = "text";
  }
  return d;
}

std::string formatWithDefaults(const std::string& file) {
  readDeployment(file);  // says what the schema alone cannot
  return writeXml(file, directorSchema);
}

// The decider and the guards read their terms once, and what plays was placed by them: a change of those is a
// restart. Socket limits, the list's place and the log are read as they are needed.
std::vector<std::string> changesNeedingRestart(const Deployment& now, const Deployment& next) {
  std::vector<std::string> out;
  const auto say = [&](bool differs, const char* what) {
    if (differs) out.emplace_back(what);
  };
  const ControlSettings &a = now.controlSettings, &b = next.controlSettings;
  const auto same = [](const net::TlsFiles& x, const net::TlsFiles& y) { return x.empty() == y.empty(); };
  say(!same(now.playersTls, next.playersTls) || !same(now.nodesTls, next.nodesTls), "tls, on or off");
  say(now.name != next.name || a.ordinal != b.ordinal || a.directors != b.directors || a.zone != b.zone,
      "director");
  say(now.players.host != next.players.host || now.players.port != next.players.port ||
          now.admin.host != next.admin.host || now.admin.port != next.admin.port,
      "listen");
  say(now.ticketKeyFile != next.ticketKeyFile, "tickets");
  say(now.ledgerFile != next.ledgerFile || now.ledgerMegabytes != next.ledgerMegabytes, "ledger");
  say(now.kinds != next.kinds || a.slotsByKind != b.slotsByKind || a.cells != b.cells || a.racks != b.racks ||
          a.totalLinkKb != b.totalLinkKb || a.rackUplinkKb != b.rackUplinkKb || a.weightKb != b.weightKb ||
          a.refusalThreshold != b.refusalThreshold,
      "fleet");
  say(a.ladderKb != b.ladderKb || a.rungBenefit != b.rungBenefit || a.switchSeconds != b.switchSeconds,
      "ladder");
  const auto differ = [](const RoomType& x, const RoomType& y) {
    return x.effect != y.effect || x.group != y.group || x.window != y.window ||
           x.joinObjective != y.joinObjective || x.benefit != y.benefit || x.rateFactor != y.rateFactor ||
           x.floor != y.floor || x.top != y.top || x.seats != y.seats;
  };
  say(now.roomTypes != next.roomTypes || now.clientTimeouts != next.clientTimeouts ||
          !std::equal(a.roomTypes.begin(), a.roomTypes.end(), b.roomTypes.begin(), b.roomTypes.end(),
                      [&](const RoomType& x, const RoomType& y) { return !differ(x, y); }),
      "room-types");
  say(now.tenants != next.tenants || a.quotaPerSecond != b.quotaPerSecond, "tenants");
  say(a.reportInterval != b.reportInterval || a.seenAfter != b.seenAfter ||
          a.uplinksReported != b.uplinksReported,
      "reports");
  const auto further = [](const ControlSettings& t) {
    return t.retryBudget ? std::tuple(t.retryBudget->minRetries, t.retryBudget->share, t.retryBudget->window)
                         : std::tuple(-1, 0.0, Micros{0});
  };
  say(now.sessionLimits.grace != next.sessionLimits.grace || a.coldTime != b.coldTime ||
          a.fallTime != b.fallTime || a.startCapacity != b.startCapacity ||
          a.overloadFactor != b.overloadFactor || a.maxJoins != b.maxJoins || further(a) != further(b),
      "rules");
  say(now.sessionLimits.answerMargin != next.sessionLimits.answerMargin || a.retryAfter != b.retryAfter ||
          a.maxRetryAfter != b.maxRetryAfter || a.cancelling != b.cancelling ||
          now.sessionLimits.orphanTimeout != next.sessionLimits.orphanTimeout ||
          now.sessionLimits.keyRetention != next.sessionLimits.keyRetention ||
          now.sessionLimits.stallThreshold != next.sessionLimits.stallThreshold,
      "answers");
  say(now.sessionLimits.maxOpen != next.sessionLimits.maxOpen ||
          now.sessionLimits.maxSubscriptions != next.sessionLimits.maxSubscriptions ||
          now.sessionLimits.maxKeys != next.sessionLimits.maxKeys,
      "limits (open-asks, subscriptions, keys)");
  return out;
}

namespace {

Micros startOf(const std::string& file, const Element& e, Micros wallToClock) {
  const std::string text = e.text("started");
  if (text.empty()) return 0;
  std::tm tm{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &tm);
  if (rest == nullptr)
    throwSettingsError(file, e, "started '" + text + "': expected a time like 2026-01-31T18:00:00Z");
  const double part = *rest == '.' ? std::strtod(rest, nullptr) : 0;
  const Micros wall = static_cast<Micros>(timegm(&tm)) * 1'000'000 + std::llround(part * 1e6);
  // 0 would mean long ago; a start before the machine's own is just that.
  return std::max<Micros>(1, wall + wallToClock);
}

}  // namespace

fleet::NodeList readNodes(const std::string& file, const Deployment& deployment, Micros wallToClock) {
  const Element root = readXml(file, nodesSchema);
  fleet::NodeList word;
  word.version = std::strtoull(root.text("version").c_str(), nullptr, 10);
  word.otherTitlesEverywhere = root.text("others") == "everywhere";
  std::set<NodeId> seen;
  for (const Element& e : root.children) {
    if (e.name == "title") {
      const fleet::TitlePlacement at{whole(e, "first-cell"),
                                     std::min(whole(e, "holders"), deployment.controlSettings.cells)};
      if (at.firstCell >= deployment.controlSettings.cells)
        throwSettingsError(file, e,
                           "first-cell: expected less than the fleet's cells, " +
                               std::to_string(deployment.controlSettings.cells));
      word.titles[e.text("name")] = at;
      continue;
    }
    fleet::NodeEndpoint endpoint;
    endpoint.node = static_cast<NodeId>(std::strtoul(e.text("id").c_str(), nullptr, 10));
    if (!seen.insert(endpoint.node).second)
      throwSettingsError(file, e, "id " + e.text("id") + ": expected one not used above");
    const Endpoint at = endpointOf(file, e, e.text("address"));
    endpoint.host = at.host, endpoint.port = at.port;
    endpoint.kind = placeOf(deployment.kinds, e.text("kind"));
    if (endpoint.kind < 0)
      throwSettingsError(file, e, "kind '" + e.text("kind") + "': expected one named in the settings");
    endpoint.zone = e.text("zone");
    endpoint.cell = whole(e, "cell");
    if (endpoint.cell >= deployment.controlSettings.cells)
      throwSettingsError(
          file, e,
          "cell: expected less than the fleet's cells, " + std::to_string(deployment.controlSettings.cells));
    endpoint.weight = real(e, "weight");
    const std::string state = e.text("state");
    endpoint.state = state == "ready"      ? NodeState::ready
                     : state == "draining" ? NodeState::draining
                                           : NodeState::gone;
    endpoint.readyAt = startOf(file, e, wallToClock);
    word.endpoints.push_back(std::move(endpoint));
  }
  return word;
}

}  // namespace lupinsill::settings
