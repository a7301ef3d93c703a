#include "control_settings/control_settings.h"

#include <algorithm>
#include <utility>

namespace lupinsill::control_settings {

ControlSettings parseControlSettings(const Json& options, Names& names) {
  if (!options.is_object()) bad("options", "not an object");
  ControlSettings terms;
  const Json& domain = objectIn(options, "domain");
  const Json& limits = objectIn(options, "limits");
  const Json& rules = objectIn(options, "rules");
  for (const Json& value : listIn(domain, "ladderKb"))
    terms.ladderKb.push_back(parseNumber(value, "ladderKb"));
  for (const Json& value : listIn(domain, "levelWorth"))
    terms.rungBenefit.push_back(parseNumber(value, "levelWorth"));
  if (terms.ladderKb.empty()) terms.ladderKb.push_back(1);
  terms.rungBenefit.resize(terms.ladderKb.size(), terms.rungBenefit.empty() ? 1 : terms.rungBenefit.back());
  for (const Json& value : listIn(domain, "placesByKind"))
    terms.slotsByKind.push_back(static_cast<int>(parseInteger(value, "placesByKind", 0, 1'000'000'000)));
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
    room.effect = parseEnum<Effect>(
        effect, "effect",
        {{"repeatable", Effect::repeatable}, {"by_key", Effect::byKey}, {"once", Effect::once}});
    room.group = parseEnum<Group>(group, "dedupScope",
                                  {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    readMicros(item, "windowNs", room.window);
    readMicros(item, "aimNs", room.joinObjective);
    read(item, "points", room.benefit);
    const std::size_t place = terms.roomTypes.size();
    room.top = topRung;
    if (const Json* v = itemIn(listIn(domain, "rateFactor"), place))
      room.rateFactor = parseNumber(*v, "rateFactor");
    if (const Json* v = itemIn(listIn(domain, "floorByClass"), place))
      room.floor = static_cast<int>(parseInteger(*v, "floorByClass", 0, topRung));
    if (const Json* v = itemIn(listIn(domain, "classTop"), place))
      room.top = static_cast<int>(std::min<std::int64_t>(topRung, parseInteger(*v, "classTop", 0)));
    if (const Json* v = itemIn(listIn(domain, "seats"), place))
      room.seats = static_cast<int>(parseInteger(*v, "seats", 0, 1'000'000'000));
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
    names.kinds.push_back(parseText(item, "machineTypes"));
  if (found(rules, "lookBackNs") != nullptr) {
    RetryBudget budget;
    read(rules, "extraFloor", budget.minRetries);
    read(rules, "furtherRatio", budget.share);
    readMicros(rules, "lookBackNs", budget.window);
    terms.retryBudget = budget;
  }
  read(options, "myZone", terms.zone);
  read(options, "balancers", terms.directors);
  terms.directors = std::max(1, terms.directors);
  read(options, "ordinal", terms.ordinal);
  read(domain, "cells", terms.cells);
  read(domain, "cabinets", terms.racks);
  read(limits, "maxAttempts", terms.maxJoins);
  read(domain, "weightKb", terms.weightKb);
  read(domain, "allLinksKb", terms.totalLinkKb);
  read(domain, "rackKb", terms.rackUplinkKb);
  read(domain, "refusesFrom", terms.refusalThreshold);
  read(rules, "startCapacity", terms.startCapacity);
  read(rules, "overloadFactor", terms.overloadFactor);
  read(domain, "switchS", terms.switchSeconds);
  readMicros(rules, "coldNs", terms.coldTime);
  readMicros(rules, "fallNs", terms.fallTime);
  readMicros(domain, "seenAfterNs", terms.seenAfter);
  readMicros(domain, "reportsEveryNs", terms.reportInterval);
  readMicros(limits, "maxRetryAfterNs", terms.maxRetryAfter);
  read(limits, "retryAfter", terms.retryAfter);
  read(limits, "cancelling", terms.cancelling);
  if (const Json stats = options.value("stats", Json::object());
      stats.is_object() && stats.contains("fields"))
    for (const Json& field : stats["fields"]) terms.uplinksReported |= field == "x1";
  std::string discovery = "pushed";
  read(options, "discovery", discovery);
  terms.listOnRequest = parseEnum<bool>(discovery, "discovery", {{"pushed", false}, {"on_request", true}});
  return terms;
}

}  // namespace lupinsill::control_settings
