#include "codec.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

namespace lupinsill::drill {
namespace {

[[noreturn]] void bad(const std::string& what, const std::string& why) { throw BadInput(what + ": " + why); }

std::int64_t wholeIn(const Json& value, const std::string& what,
                     std::int64_t least = std::numeric_limits<std::int64_t>::min(),
                     std::int64_t most = std::numeric_limits<std::int64_t>::max()) {
  std::int64_t whole = 0;
  if (value.is_number_unsigned()) {
    const auto big = value.get<std::uint64_t>();
    if (big > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) bad(what, "out of range");
    whole = static_cast<std::int64_t>(big);
  } else if (value.is_number_integer()) {
    whole = value.get<std::int64_t>();
  } else if (value.is_number_float()) {
    const double real = value.get<double>();
    if (!(std::abs(real) < 9e15) || real != std::floor(real)) bad(what, "not a whole number");
    whole = static_cast<std::int64_t>(real);
  } else {
    bad(what, "not a number");
  }
  if (whole < least || whole > most) bad(what, "out of range");
  return whole;
}

double realIn(const Json& value, const std::string& what) {
  if (!value.is_number()) bad(what, "not a number");
  const double real = value.get<double>();
  if (!std::isfinite(real)) bad(what, "out of range");
  return real;
}

std::string textIn(const Json& value, const std::string& what) {
  if (!value.is_string()) bad(what, "not text");
  return value.get<std::string>();
}

Micros microsIn(const Json& nanos, const std::string& what) { return wholeIn(nanos, what) / 1000; }

// A key that is absent or null keeps what stands there already.
const Json* found(const Json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}
void read(const Json& object, const char* key, double& into) {
  if (const Json* value = found(object, key)) into = realIn(*value, key);
}
void read(const Json& object, const char* key, int& into) {
  if (const Json* value = found(object, key))
    into = static_cast<int>(wholeIn(*value, key, -1'000'000'000, 1'000'000'000));
}
void readMicros(const Json& object, const char* key, Micros& into) {
  if (const Json* value = found(object, key)) into = microsIn(*value, key);
}
void read(const Json& object, const char* key, bool& into) {
  if (const Json* value = found(object, key)) {
    if (!value->is_boolean()) bad(key, "not true or false");
    into = value->get<bool>();
  }
}
void read(const Json& object, const char* key, std::string& into) {
  if (const Json* value = found(object, key)) into = textIn(*value, key);
}
const Json& listIn(const Json& object, const char* key) {
  static const Json none = Json::array();
  const Json* value = found(object, key);
  if (value == nullptr) return none;
  if (!value->is_array()) bad(key, "not an array");
  return *value;
}
const Json& objectIn(const Json& object, const char* key) {
  static const Json none = Json::object();
  const Json* value = found(object, key);
  if (value == nullptr) return none;
  if (!value->is_object()) bad(key, "not an object");
  return *value;
}
const Json* itemIn(const Json& list, std::size_t index) {
  return index < list.size() && !list[index].is_null() ? &list[index] : nullptr;
}

template <class E>
E wordIn(const std::string& word, const std::string& what,
         std::initializer_list<std::pair<const char*, E>> known) {
  for (const auto& [name, value] : known)
    if (word == name) return value;
  bad(what, "unknown word '" + word + "'");
}

int placeOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

SubId subIn(const Json& value) {
  const std::string text = textIn(value, "rid");
  if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != std::string::npos)
    bad("rid", "not 16 hex digits");
  return std::stoull(text, nullptr, 16);
}

std::string ridOf(SubId sub) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(sub));
  return text;
}

NodeId nodeIn(const Json& value) { return static_cast<NodeId>(wholeIn(value, "node", 0, 0xffffffffLL)); }

int smallIn(const Json& value, const char* what, int instead) {
  return value.is_null() ? instead : static_cast<int>(wholeIn(value, what, -1'000'000, 1'000'000));
}

NodeState stateIn(const std::string& word) {
  return wordIn<NodeState>(
      word, "status",
      {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
}

LoadReport reportIn(const Json& telemetry) {
  LoadReport report;
  if (telemetry.is_null()) return report;
  if (!telemetry.is_object()) bad("telemetry", "not an object");
  const auto take = [&](const char* key, std::optional<double>& into) {
    if (const Json* value = found(telemetry, key)) into = realIn(*value, key);
  };
  take("cpu", report.linkShare);
  take("x0", report.linkUse);
  take("x1", report.uplinkUse);
  return report;
}

struct ViewingPlaces {
  std::size_t holders, show, hint, notAfter, account, top, firstCell, routeKey, kind, bits;
};

Viewing viewingOf(const Message& m, const Names& names, const ViewingPlaces& at) {
  Viewing v;
  v.sub = subIn(m.value(2));
  v.title = m.value(at.show).is_null() ? "" : textIn(m.value(at.show), "show");
  v.viewer = m.value(at.routeKey).is_null() ? "" : textIn(m.value(at.routeKey), "routeKey");
  const std::string type = m.text(at.kind, "kind");
  v.roomType = placeOf(names.roomTypes, type);
  if (v.roomType < 0) bad("kind", "unknown class '" + type + "'");
  if (m.value(at.account).is_string())
    v.party = placeOf(names.parties, m.value(at.account).get<std::string>());
  v.firstCell = smallIn(m.value(at.firstCell), "firstCell", 0);
  v.holders = smallIn(m.value(at.holders), "holders", 1'000'000);
  v.top = smallIn(m.value(at.top), "top", 1'000'000);
  v.giveUpAt = m.value(at.notAfter).is_null() ? 0 : microsIn(m.value(at.notAfter), "notAfterNs");
  const std::int64_t bits = m.value(at.bits).is_null() ? 0 : wholeIn(m.value(at.bits), "bits", 0);
  if ((bits & 1) != 0 && !m.value(at.hint).is_null()) v.length = microsIn(m.value(at.hint), "sizeHintNs");
  v.moved = (bits & 8) != 0;
  return v;
}

constexpr const char* knownEvents[] = {"OpenInstance", "Stop",        "BackendsChanged", "Demand",
                                       "Preexisting",  "Begun",       "Change",          "Response",
                                       "Lapsed",       "DeadlineHit", "ProbeResult",     "NeighbourSays"};

}  // namespace

Message::Message(const Json& array) : array_(array) {
  if (!array.is_array() || array.empty() || !array[0].is_string())
    bad("message", "not an array that starts with a name");
  name_ = array[0].get<std::string>();
}
const Json& Message::value(std::size_t place) const {
  static const Json nothing;
  return place < array_.size() ? array_[place] : nothing;
}
std::int64_t Message::whole(std::size_t place, const char* what) const { return wholeIn(value(place), what); }
std::string Message::text(std::size_t place, const char* what) const { return textIn(value(place), what); }

Micros clockOf(const Json& nanos) { return wholeIn(nanos, "wallNs", 0) / 1000; }

bool isKnownEvent(const std::string& name) {
  return std::find(std::begin(knownEvents), std::end(knownEvents), name) != std::end(knownEvents);
}

ListKind listKindOf(const std::string& word) {
  return wordIn<ListKind>(word, "kind",
                          {{"incr", ListKind::changes},
                           {"total", ListKind::total},
                           {"warm_copy", ListKind::warmCopy},
                           {"lost", ListKind::lost}});
}

Terms termsOf(const Json& options, Names& names) {
  if (!options.is_object()) bad("options", "not an object");
  Terms terms;
  const Json& domain = objectIn(options, "domain");
  const Json& limits = objectIn(options, "limits");
  const Json& rules = objectIn(options, "rules");
  for (const Json& value : listIn(domain, "ladderKb")) terms.ladderKb.push_back(realIn(value, "ladderKb"));
  for (const Json& value : listIn(domain, "levelWorth"))
    terms.rungBenefit.push_back(realIn(value, "levelWorth"));
  if (terms.ladderKb.empty()) terms.ladderKb.push_back(1);
  terms.rungBenefit.resize(terms.ladderKb.size(), terms.rungBenefit.empty() ? 1 : terms.rungBenefit.back());
  for (const Json& value : listIn(domain, "placesByKind"))
    terms.placesByKind.push_back(static_cast<int>(wholeIn(value, "placesByKind", 0, 1'000'000'000)));
  const int topRung = static_cast<int>(terms.ladderKb.size()) - 1;
  for (const Json& item : listIn(options, "classes")) {
    if (!item.is_object()) bad("classes", "not an object");
    RoomType room;
    std::string name;
    read(item, "name", name);
    std::string effect = "repeatable";
    std::string group = "all";
    read(item, "effect", effect);
    read(item, "dedupScope", group);
    room.effect = wordIn<Effect>(
        effect, "effect",
        {{"repeatable", Effect::repeatable}, {"by_key", Effect::byKey}, {"once", Effect::once}});
    room.group = wordIn<Group>(group, "dedupScope",
                               {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    readMicros(item, "windowNs", room.window);
    readMicros(item, "aimNs", room.joinObjective);
    read(item, "points", room.benefit);
    const std::size_t place = terms.roomTypes.size();
    room.top = topRung;
    if (const Json* v = itemIn(listIn(domain, "rateFactor"), place))
      room.rateFactor = realIn(*v, "rateFactor");
    if (const Json* v = itemIn(listIn(domain, "floorByClass"), place))
      room.floor = static_cast<int>(wholeIn(*v, "floorByClass", 0, topRung));
    if (const Json* v = itemIn(listIn(domain, "classTop"), place))
      room.top = static_cast<int>(std::min<std::int64_t>(topRung, wholeIn(*v, "classTop", 0)));
    if (const Json* v = itemIn(listIn(domain, "seats"), place))
      room.seats = static_cast<int>(wholeIn(*v, "seats", 0, 1'000'000'000));
    names.roomTypes.push_back(name);
    terms.roomTypes.push_back(std::move(room));
  }
  for (const Json& item : listIn(options, "parties")) {
    if (!item.is_object()) bad("parties", "not an object");
    std::string name;
    double quota = 0;
    read(item, "name", name);
    read(item, "quotaPerS", quota);
    names.parties.push_back(name);
    terms.quotaPerSecond.push_back(quota);
  }
  for (const Json& item : listIn(options, "machineTypes"))
    names.kinds.push_back(textIn(item, "machineTypes"));
  if (found(rules, "lookBackNs") != nullptr) {
    FurtherJoins budget;
    read(rules, "extraFloor", budget.few);
    read(rules, "furtherRatio", budget.share);
    readMicros(rules, "lookBackNs", budget.window);
    terms.furtherJoins = budget;
  }
  read(options, "myZone", terms.zone);
  read(options, "balancers", terms.directors);
  terms.directors = std::max(1, terms.directors);
  read(options, "ordinal", terms.ordinal);
  read(domain, "cells", terms.cells);
  read(domain, "cabinets", terms.racks);
  read(limits, "maxAttempts", terms.maxJoins);
  read(domain, "weightKb", terms.weightKb);
  read(domain, "allLinksKb", terms.allLinksKb);
  read(domain, "rackKb", terms.rackKb);
  read(domain, "refusesFrom", terms.refusesFrom);
  read(rules, "startCapacity", terms.startCapacity);
  read(rules, "overloadFactor", terms.overloadFactor);
  read(domain, "switchS", terms.switchSeconds);
  readMicros(rules, "coldNs", terms.coldTime);
  readMicros(rules, "fallNs", terms.fallTime);
  readMicros(domain, "seenAfterNs", terms.seenAfter);
  readMicros(domain, "reportsEveryNs", terms.reportsEvery);
  readMicros(limits, "maxRetryAfterNs", terms.maxRetryAfter);
  read(limits, "retryAfter", terms.retryAfter);
  read(limits, "cancelling", terms.cancelling);
  if (const Json stats = options.value("stats", Json::object());
      stats.is_object() && stats.contains("fields"))
    for (const Json& field : stats["fields"]) terms.uplinksReported |= field == "x1";
  std::string discovery = "pushed";
  read(options, "discovery", discovery);
  terms.listOnRequest = wordIn<bool>(discovery, "discovery", {{"pushed", false}, {"on_request", true}});
  return terms;
}

std::vector<ListEntry> entriesOf(const Json& rows, const Names& names) {
  if (!rows.is_array()) bad("membersList", "not an array");
  std::vector<ListEntry> entries;
  for (const Json& row : rows) {
    if (!row.is_array() || row.size() < 3) bad("membersList", "an entry is not an array of values");
    const auto at = [&](std::size_t place) { return itemIn(row, place); };
    ListEntry entry;
    entry.state = stateIn(textIn(row[0], "status"));
    if (const Json* v = at(1)) entry.kind = std::max(0, placeOf(names.kinds, textIn(*v, "model")));
    entry.node = nodeIn(row[2]);
    if (const Json* v = at(3)) entry.weight = realIn(*v, "size");
    if (const Json* v = at(4)) entry.cell = static_cast<int>(wholeIn(*v, "slotNo", 0, 1'000'000'000));
    if (const Json* v = at(5)) entry.readyAt = microsIn(*v, "readyAtNs");
    if (const Json* v = at(6)) entry.zone = textIn(*v, "locality");
    entries.push_back(std::move(entry));
  }
  return entries;
}

void checkRows(const Json& rows) { entriesOf(rows, Names{}); }

std::vector<Event> eventOf(const Message& m, const Names& names) {
  const std::string& name = m.name();
  if (name == "Demand") {
    Viewing viewing = viewingOf(m, names, {3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
    if (m.value(6).is_null()) bad("notAfterNs", "missing");
    return {Requested{std::move(viewing)}};
  }
  if (name == "Preexisting")
    return {UnderWay{viewingOf(m, names, {11, 13, 4, 9, 3, 7, 10, 12, 8, 5}), nodeIn(m.value(6))}};
  if (name == "Begun") return {Began{subIn(m.value(2)), smallIn(m.value(3), "attempt", 0)}};
  if (name == "Change") {
    const std::int64_t kind = wholeIn(m.value(5), "kind");
    if (kind < 1 || kind > 4) bad("kind", "unknown note " + std::to_string(kind));
    constexpr Reading readings[] = {Reading::delivered, Reading::rung, Reading::link, Reading::uplink};
    return {Noted{subIn(m.value(2)), nodeIn(m.value(4)), readings[kind - 1], realIn(m.value(6), "x")}};
  }
  if (name == "Response") {
    if (!m.value(7).is_boolean()) bad("settled", "not true or false");
    const Outcome outcome = wordIn<Outcome>(m.text(4, "rc"), "rc",
                                            {{"ok", Outcome::ok},
                                             {"error", Outcome::error},
                                             {"full", Outcome::full},
                                             {"timeout", Outcome::timeout},
                                             {"connect_failed", Outcome::connectFailed},
                                             {"reset", Outcome::reset},
                                             {"cancelled", Outcome::cancelled},
                                             {"moot", Outcome::moot}});
    return {JoinEnded{subIn(m.value(2)), nodeIn(m.value(3)), smallIn(m.value(5), "attempt", 0), outcome,
                      m.value(7).get<bool>(), reportIn(m.value(8))}};
  }
  if (name == "Lapsed") return {Lapsed{subIn(m.value(2))}};
  if (name == "DeadlineHit") return {AlarmRang{m.whole(2, "keyBack")}};
  return {};
}

Json wireOf(std::int64_t who, const Action& action) {
  struct Writer {
    std::int64_t who;
    Json operator()(const SetRung& a) const { return {"ChooseRate", who, ridOf(a.sub), a.rung}; }
    Json operator()(const Join& a) const { return {"HandOff", who, ridOf(a.sub), a.node, a.patience * 1000}; }
    Json operator()(const CallOff& a) const { return {"CallOff", who, ridOf(a.sub), a.join}; }
    Json operator()(const Throttle& a) const { return {"PushBack", who, ridOf(a.sub), a.retryAfter * 1000}; }
    Json operator()(const Terminate& a) const { return {"RespondError", who, ridOf(a.sub)}; }
    Json operator()(const SetAlarm& a) const { return {"SetAlarm", who, a.key, a.span * 1000}; }
    Json operator()(const FollowList&) const { return {"Subscribe", who, true}; }
  };
  return std::visit(Writer{who}, action);
}

}  // namespace lupinsill::drill
