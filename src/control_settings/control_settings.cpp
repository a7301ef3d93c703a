#include "control_settings/control_settings.h"

#include <algorithm>
#include <utility>

namespace lupinsill::control_settings {

ControlSettings parseControlSettings(const Json& json, Names& names) {
  if (!json.is_object()) failInvalid("options", "not an object");
  ControlSettings settings;
  const Json& domain = objectIn(json, "domain");
  const Json& limits = objectIn(json, "limits");
  const Json& rules = objectIn(json, "rules");
  for (const Json& value : listIn(domain, "ladderKb"))
    settings.ladderKb.push_back(parseNumber(value, "ladderKb"));
  for (const Json& value : listIn(domain, "levelWorth"))
    settings.rungBenefit.push_back(parseNumber(value, "levelWorth"));
  if (settings.ladderKb.empty()) settings.ladderKb.push_back(1);
  settings.rungBenefit.resize(settings.ladderKb.size(),
                              settings.rungBenefit.empty() ? 1 : settings.rungBenefit.back());
  for (const Json& value : listIn(domain, "placesByKind"))
    settings.slotsByKind.push_back(static_cast<int>(parseInteger(value, "placesByKind", 0, 1'000'000'000)));
  const int topRung = static_cast<int>(settings.ladderKb.size()) - 1;
  for (const Json& item : listIn(json, "classes")) {
    if (!item.is_object()) failInvalid("classes", "not an object");
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
    const std::size_t index = settings.roomTypes.size();
    room.top = topRung;
    if (const Json* v = itemIn(listIn(domain, "rateFactor"), index))
      room.rateFactor = parseNumber(*v, "rateFactor");
    if (const Json* v = itemIn(listIn(domain, "floorByClass"), index))
      room.floor = static_cast<int>(parseInteger(*v, "floorByClass", 0, topRung));
    if (const Json* v = itemIn(listIn(domain, "classTop"), index))
      room.top = static_cast<int>(std::min<std::int64_t>(topRung, parseInteger(*v, "classTop", 0)));
    if (const Json* v = itemIn(listIn(domain, "seats"), index))
      room.seats = static_cast<int>(parseInteger(*v, "seats", 0, 1'000'000'000));
    names.roomTypes.push_back(name);
    settings.roomTypes.push_back(std::move(room));
  }
  for (const Json& item : listIn(json, "parties")) {
    if (!item.is_object()) failInvalid("parties", "not an object");
    std::string name;
    double quota = 0;
    read(item, "name", name);
    read(item, "quotaPerS", quota);
    names.parties.push_back(name);
    settings.quotaPerSecond.push_back(quota);
  }
  for (const Json& item : listIn(json, "machineTypes"))
    names.kinds.push_back(parseText(item, "machineTypes"));
  if (findMember(rules, "lookBackNs") != nullptr) {
    RetryBudget budget;
    read(rules, "extraFloor", budget.minRetries);
    read(rules, "furtherRatio", budget.share);
    readMicros(rules, "lookBackNs", budget.window);
    settings.retryBudget = budget;
  }
  read(json, "myZone", settings.zone);
  read(json, "balancers", settings.directors);
  settings.directors = std::max(1, settings.directors);
  read(json, "ordinal", settings.ordinal);
  read(domain, "cells", settings.cells);
  read(domain, "cabinets", settings.racks);
  read(limits, "maxAttempts", settings.maxJoins);
  read(domain, "weightKb", settings.weightKb);
  read(domain, "allLinksKb", settings.totalLinkKb);
  read(domain, "rackKb", settings.rackUplinkKb);
  read(domain, "refusesFrom", settings.refusalThreshold);
  read(rules, "startCapacity", settings.startCapacity);
  read(rules, "overloadFactor", settings.overloadFactor);
  read(domain, "switchS", settings.switchSeconds);
  readMicros(rules, "coldNs", settings.coldTime);
  readMicros(rules, "fallNs", settings.fallTime);
  readMicros(domain, "seenAfterNs", settings.seenAfter);
  readMicros(domain, "reportsEveryNs", settings.reportInterval);
  readMicros(limits, "maxRetryAfterNs", settings.maxRetryAfter);
  read(limits, "retryAfter", settings.retryAfter);
  read(limits, "cancelling", settings.cancelling);
  if (const Json stats = json.value("stats", Json::object()); stats.is_object() && stats.contains("fields"))
    for (const Json& field : stats["fields"]) settings.uplinksReported |= field == "x1";
  std::string discovery = "pushed";
  read(json, "discovery", discovery);
  settings.listOnRequest = parseEnum<bool>(discovery, "discovery", {{"pushed", false}, {"on_request", true}});
  return settings;
}

}  // namespace lupinsill::control_settings
