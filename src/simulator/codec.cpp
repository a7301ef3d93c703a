#include "codec.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

namespace lupinsill::simulator {
namespace {

using namespace control_settings;

SubscriptionId subIn(const Json& value) {
  const std::string text = parseText(value, "rid");
  if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != std::string::npos)
    failInvalid("rid", "not 16 hex digits");
  return std::stoull(text, nullptr, 16);
}

std::string ridOf(SubscriptionId sub) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(sub));
  return text;
}

NodeId nodeIn(const Json& value) { return static_cast<NodeId>(parseInteger(value, "node", 0, 0xffffffffLL)); }

int smallIn(const Json& value, const char* what, int instead) {
  return value.is_null() ? instead : static_cast<int>(parseInteger(value, what, -1'000'000, 1'000'000));
}

NodeState stateIn(const std::string& word) {
  return parseEnum<NodeState>(
      word, "status",
      {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
}

LoadReport reportIn(const Json& telemetry) {
  LoadReport report;
  if (telemetry.is_null()) return report;
  if (!telemetry.is_object()) failInvalid("telemetry", "not an object");
  for (const auto& [name, into] : control_settings::loadReportFields)
    if (const Json* value = findMember(telemetry, name)) report.*into = parseNumber(*value, name);
  return report;
}

struct ViewingPlaces {
  std::size_t holders, show, hint, notAfter, account, top, firstCell, routeKey, kind, bits;
};

SubscriptionInfo viewingOf(const Message& m, const Names& names, const ViewingPlaces& at) {
  SubscriptionInfo v;
  v.sub = subIn(m.value(2));
  v.title = m.value(at.show).is_null() ? "" : parseText(m.value(at.show), "show");
  v.viewer = m.value(at.routeKey).is_null() ? "" : parseText(m.value(at.routeKey), "routeKey");
  const std::string type = m.text(at.kind, "kind");
  v.roomType = indexOf(names.roomTypes, type);
  if (v.roomType < 0) failInvalid("kind", "unknown class '" + type + "'");
  if (m.value(at.account).is_string())
    v.party = indexOf(names.parties, m.value(at.account).get<std::string>());
  v.firstCell = smallIn(m.value(at.firstCell), "firstCell", 0);
  v.holders = smallIn(m.value(at.holders), "holders", 1'000'000);
  v.top = smallIn(m.value(at.top), "top", 1'000'000);
  v.deadline = m.value(at.notAfter).is_null() ? 0 : parseNanoseconds(m.value(at.notAfter), "notAfterNs");
  const std::int64_t bits = m.value(at.bits).is_null() ? 0 : parseInteger(m.value(at.bits), "bits", 0);
  if ((bits & 1) != 0 && !m.value(at.hint).is_null())
    v.length = parseNanoseconds(m.value(at.hint), "sizeHintNs");
  v.moved = (bits & 8) != 0;
  return v;
}

constexpr const char* knownEvents[] = {"OpenInstance", "Stop",        "BackendsChanged", "Demand",
                                       "Preexisting",  "Begun",       "Change",          "Response",
                                       "Lapsed",       "DeadlineHit", "ProbeResult",     "NeighbourSays"};

}  // namespace

Message::Message(const Json& array) : array_(array) {
  if (!array.is_array() || array.empty() || !array[0].is_string())
    failInvalid("message", "not an array that starts with a name");
  name_ = array[0].get<std::string>();
}
const Json& Message::value(std::size_t place) const {
  static const Json nothing;
  return place < array_.size() ? array_[place] : nothing;
}
std::int64_t Message::whole(std::size_t place, const char* what) const {
  return parseInteger(value(place), what);
}
std::string Message::text(std::size_t place, const char* what) const { return parseText(value(place), what); }

Micros clockOf(const Json& nanos) { return parseInteger(nanos, "wallNs", 0) / 1000; }

bool isKnownEvent(const std::string& name) {
  return std::find(std::begin(knownEvents), std::end(knownEvents), name) != std::end(knownEvents);
}

ListKind listKindOf(const std::string& word) {
  return parseEnum<ListKind>(word, "kind",
                             {{"incr", ListKind::changes},
                              {"total", ListKind::snapshot},
                              {"warm_copy", ListKind::cachedSnapshot},
                              {"lost", ListKind::lost}});
}

std::vector<ListEntry> entriesOf(const Json& rows, const Names& names) {
  if (!rows.is_array()) failInvalid("membersList", "not an array");
  std::vector<ListEntry> entries;
  for (const Json& row : rows) {
    if (!row.is_array() || row.size() < 3) failInvalid("membersList", "an entry is not an array of values");
    const auto at = [&](std::size_t place) { return itemIn(row, place); };
    ListEntry entry;
    entry.state = stateIn(parseText(row[0], "status"));
    if (const Json* v = at(1)) entry.kind = indexOf(names.kinds, parseText(*v, "model"));
    entry.node = nodeIn(row[2]);
    if (const Json* v = at(3)) entry.weight = parseNumber(*v, "size");
    if (const Json* v = at(4)) entry.cell = static_cast<int>(parseInteger(*v, "slotNo", 0, 1'000'000'000));
    if (const Json* v = at(5)) entry.readyAt = parseNanoseconds(*v, "readyAtNs");
    if (const Json* v = at(6)) entry.zone = parseText(*v, "locality");
    entries.push_back(std::move(entry));
  }
  return entries;
}

void checkRows(const Json& rows) { entriesOf(rows, Names{}); }

std::vector<Event> eventOf(const Message& m, const Names& names) {
  const std::string& name = m.name();
  if (name == "Demand") {
    SubscriptionInfo viewing = viewingOf(m, names, {3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
    if (m.value(6).is_null()) failInvalid("notAfterNs", "missing");
    return {SubscriptionRequested{std::move(viewing)}};
  }
  if (name == "Preexisting")
    return {SubscriptionAdopted{viewingOf(m, names, {11, 13, 4, 9, 3, 7, 10, 12, 8, 5}), nodeIn(m.value(6))}};
  if (name == "Begun") return {JoinStarted{subIn(m.value(2)), smallIn(m.value(3), "attempt", 0)}};
  if (name == "Change") {
    const std::int64_t kind = parseInteger(m.value(5), "kind");
    if (kind < 1 || kind > 4) failInvalid("kind", "unknown note " + std::to_string(kind));
    constexpr MeasurementKind readings[] = {MeasurementKind::delivered, MeasurementKind::rung,
                                            MeasurementKind::link, MeasurementKind::uplink};
    return {MeasurementReported{subIn(m.value(2)), nodeIn(m.value(4)), readings[kind - 1],
                                parseNumber(m.value(6), "x")}};
  }
  if (name == "Response") {
    if (!m.value(7).is_boolean()) failInvalid("settled", "not true or false");
    const Outcome outcome = parseEnum<Outcome>(m.text(4, "rc"), "rc",
                                               {{"ok", Outcome::ok},
                                                {"error", Outcome::error},
                                                {"full", Outcome::full},
                                                {"timeout", Outcome::timeout},
                                                {"connect_failed", Outcome::connectFailed},
                                                {"reset", Outcome::reset},
                                                {"cancelled", Outcome::cancelled},
                                                {"moot", Outcome::notSent}});
    return {JoinEnded{subIn(m.value(2)), nodeIn(m.value(3)), smallIn(m.value(5), "attempt", 0), outcome,
                      m.value(7).get<bool>(), reportIn(m.value(8))}};
  }
  if (name == "Lapsed") return {SubscriptionAbandoned{subIn(m.value(2))}};
  if (name == "DeadlineHit") return {TimerFired{m.whole(2, "keyBack")}};
  return {};
}

Json wireOf(std::int64_t who, const Action& action) {
  struct Writer {
    std::int64_t who;
    Json operator()(const SetRung& a) const { return {"ChooseRate", who, ridOf(a.sub), a.rung}; }
    Json operator()(const Join& a) const { return {"HandOff", who, ridOf(a.sub), a.node, a.timeout * 1000}; }
    Json operator()(const CancelJoin& a) const { return {"CallOff", who, ridOf(a.sub), a.join}; }
    Json operator()(const Throttle& a) const { return {"PushBack", who, ridOf(a.sub), a.retryAfter * 1000}; }
    Json operator()(const Terminate& a) const { return {"RespondError", who, ridOf(a.sub)}; }
    Json operator()(const SetTimer& a) const { return {"SetAlarm", who, a.key, a.span * 1000}; }
    Json operator()(const WatchList&) const { return {"Subscribe", who, true}; }
  };
  return std::visit(Writer{who}, action);
}

}  // namespace lupinsill::simulator
