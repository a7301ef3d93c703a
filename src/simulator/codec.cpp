// JSON parsing and serialization of the simulator messages.
#include "codec.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

namespace lupinsill::simulator {
namespace {

using namespace control_settings;

// Bits of the flags field of a subscription.
constexpr std::int64_t sizeHintValid = 1;
constexpr std::int64_t subscriptionMoved = 8;

SubscriptionId parseSubscriptionId(const Json& value) {
  const std::string text = parseText(value, "rid");
  if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != std::string::npos)
    failInvalid("rid", "not 16 hex digits");
  return std::stoull(text, nullptr, 16);
}

std::string formatSubscriptionId(SubscriptionId id) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  return text;
}

NodeId parseNodeId(const Json& value) {
  return static_cast<NodeId>(parseInteger(value, "node", 0, 0xffffffffLL));
}

int parseSmallInteger(const Json& value, const char* fieldName, int fallback) {
  return value.is_null() ? fallback : static_cast<int>(parseInteger(value, fieldName, -1'000'000, 1'000'000));
}

NodeState parseNodeState(const std::string& text) {
  return parseEnum<NodeState>(
      text, "status",
      {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
}

LoadReport parseLoadReport(const Json& telemetry) {
  LoadReport report;
  if (telemetry.is_null()) return report;
  if (!telemetry.is_object()) failInvalid("telemetry", "not an object");
  for (const auto& [name, member] : control_settings::loadReportFields)
    if (const Json* value = findMember(telemetry, name)) report.*member = parseNumber(*value, name);
  return report;
}

// Positions of the fields of a subscription, which differ between the events that carry one.
struct SubscriptionFields {
  std::size_t holders, show, hint, notAfter, account, top, firstCell, routeKey, kind, flags;
};

SubscriptionInfo parseSubscription(const Message& m, const Names& names, const SubscriptionFields& fields) {
  SubscriptionInfo info;
  info.sub = parseSubscriptionId(m.value(2));
  info.title = m.value(fields.show).is_null() ? "" : parseText(m.value(fields.show), "show");
  info.viewer = m.value(fields.routeKey).is_null() ? "" : parseText(m.value(fields.routeKey), "routeKey");
  const std::string type = m.text(fields.kind, "kind");
  info.roomType = indexOf(names.roomTypes, type);
  if (info.roomType < 0) failInvalid("kind", "unknown class '" + type + "'");
  if (m.value(fields.account).is_string())
    info.party = indexOf(names.parties, m.value(fields.account).get<std::string>());
  info.firstCell = parseSmallInteger(m.value(fields.firstCell), "firstCell", 0);
  info.holders = parseSmallInteger(m.value(fields.holders), "holders", 1'000'000);
  info.top = parseSmallInteger(m.value(fields.top), "top", 1'000'000);
  info.deadline =
      m.value(fields.notAfter).is_null() ? 0 : parseNanoseconds(m.value(fields.notAfter), "notAfterNs");
  const std::int64_t flags =
      m.value(fields.flags).is_null() ? 0 : parseInteger(m.value(fields.flags), "bits", 0);
  if ((flags & sizeHintValid) != 0 && !m.value(fields.hint).is_null())
    info.length = parseNanoseconds(m.value(fields.hint), "sizeHintNs");
  info.moved = (flags & subscriptionMoved) != 0;
  return info;
}

// Events without a parser in parseEvents are accepted and ignored.
constexpr const char* knownEvents[] = {"OpenInstance", "Stop",        "BackendsChanged", "Demand",
                                       "Preexisting",  "Begun",       "Change",          "Response",
                                       "Lapsed",       "DeadlineHit", "ProbeResult",     "NeighbourSays"};

}  // namespace

Message::Message(const Json& array) : array_(array) {
  if (!array.is_array() || array.empty() || !array[0].is_string())
    failInvalid("message", "not an array that starts with a name");
  name_ = array[0].get<std::string>();
}
const Json& Message::value(std::size_t index) const {
  static const Json null;
  return index < array_.size() ? array_[index] : null;
}
std::int64_t Message::integer(std::size_t index, const char* fieldName) const {
  return parseInteger(value(index), fieldName);
}
std::string Message::text(std::size_t index, const char* fieldName) const {
  return parseText(value(index), fieldName);
}

Micros parseWallClock(const Json& nanos) { return parseInteger(nanos, "wallNs", 0) / 1000; }

bool isKnownEvent(const std::string& name) {
  return std::find(std::begin(knownEvents), std::end(knownEvents), name) != std::end(knownEvents);
}

ListKind parseListKind(const std::string& text) {
  return parseEnum<ListKind>(text, "kind",
                             {{"incr", ListKind::changes},
                              {"total", ListKind::snapshot},
                              {"warm_copy", ListKind::cachedSnapshot},
                              {"lost", ListKind::lost}});
}

std::vector<ListEntry> parseListEntries(const Json& rows, const Names& names) {
  if (!rows.is_array()) failInvalid("membersList", "not an array");
  std::vector<ListEntry> entries;
  for (const Json& row : rows) {
    if (!row.is_array() || row.size() < 3) failInvalid("membersList", "an entry is not an array of values");
    const auto column = [&](std::size_t index) { return itemIn(row, index); };
    ListEntry entry;
    entry.state = parseNodeState(parseText(row[0], "status"));
    if (const Json* v = column(1)) entry.kind = indexOf(names.kinds, parseText(*v, "model"));
    entry.node = parseNodeId(row[2]);
    if (const Json* v = column(3)) entry.weight = parseNumber(*v, "size");
    if (const Json* v = column(4))
      entry.cell = static_cast<int>(parseInteger(*v, "slotNo", 0, 1'000'000'000));
    if (const Json* v = column(5)) entry.readyAt = parseNanoseconds(*v, "readyAtNs");
    if (const Json* v = column(6)) entry.zone = parseText(*v, "locality");
    entries.push_back(std::move(entry));
  }
  return entries;
}

void validateListEntries(const Json& rows) { parseListEntries(rows, Names{}); }

std::vector<Event> parseEvents(const Message& m, const Names& names) {
  const std::string& name = m.name();
  if (name == "Demand") {
    SubscriptionInfo subscription = parseSubscription(m, names, {3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
    if (m.value(6).is_null()) failInvalid("notAfterNs", "missing");
    return {SubscriptionRequested{std::move(subscription)}};
  }
  if (name == "Preexisting")
    return {SubscriptionAdopted{parseSubscription(m, names, {11, 13, 4, 9, 3, 7, 10, 12, 8, 5}),
                                parseNodeId(m.value(6))}};
  if (name == "Begun")
    return {JoinStarted{parseSubscriptionId(m.value(2)), parseSmallInteger(m.value(3), "attempt", 0)}};
  if (name == "Change") {
    const std::int64_t kind = parseInteger(m.value(5), "kind");
    if (kind < 1 || kind > 4) failInvalid("kind", "unknown note " + std::to_string(kind));
    constexpr MeasurementKind measurementKinds[] = {MeasurementKind::delivered, MeasurementKind::rung,
                                                    MeasurementKind::link, MeasurementKind::uplink};
    return {MeasurementReported{parseSubscriptionId(m.value(2)), parseNodeId(m.value(4)),
                                measurementKinds[kind - 1], parseNumber(m.value(6), "x")}};
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
    return {JoinEnded{parseSubscriptionId(m.value(2)), parseNodeId(m.value(3)),
                      parseSmallInteger(m.value(5), "attempt", 0), outcome, m.value(7).get<bool>(),
                      parseLoadReport(m.value(8))}};
  }
  if (name == "Lapsed") return {SubscriptionAbandoned{parseSubscriptionId(m.value(2))}};
  if (name == "DeadlineHit") return {TimerFired{m.integer(2, "keyBack")}};
  return {};
}

Json serializeAction(std::int64_t instanceId, const Action& action) {
  struct Writer {
    std::int64_t instanceId;
    Json operator()(const SetRung& a) const {
      return {"ChooseRate", instanceId, formatSubscriptionId(a.sub), a.rung};
    }
    Json operator()(const Join& a) const {
      return {"HandOff", instanceId, formatSubscriptionId(a.sub), a.node, a.timeout * 1000};
    }
    Json operator()(const CancelJoin& a) const {
      return {"CallOff", instanceId, formatSubscriptionId(a.sub), a.join};
    }
    Json operator()(const Throttle& a) const {
      return {"PushBack", instanceId, formatSubscriptionId(a.sub), a.retryAfter * 1000};
    }
    Json operator()(const Terminate& a) const {
      return {"RespondError", instanceId, formatSubscriptionId(a.sub)};
    }
    Json operator()(const SetTimer& a) const { return {"SetAlarm", instanceId, a.key, a.span * 1000}; }
    Json operator()(const WatchList&) const { return {"Subscribe", instanceId, true}; }
  };
  return std::visit(Writer{instanceId}, action);
}

}  // namespace lupinsill::simulator
