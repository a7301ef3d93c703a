#include "audit/audit.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

namespace lupinsill::audit {
namespace {

constexpr std::size_t shownMost = 4;

std::string ms(Micros t) { return std::to_string(t / 1000) + " ms"; }

void broke(RuleResult& row, const std::string& words) {
  ++row.violations;
  if (row.firstViolations.size() < shownMost) row.firstViolations.push_back(words);
}

int placeOf(const std::string& director) { return std::atoi(director.c_str() + 1); }  // "d3-..." is place 3

bool unsafe(const CheckSettings& f, int roomType) {
  return f.controlSettings.roomTypes[static_cast<std::size_t>(roomType)].effect != Effect::repeatable;
}

RuleResult oneAnswer(const Record& record, const CheckSettings& f) {
  RuleResult row{"1 one answer", 0, 0, "", {}};
  Micros nearest = 3'600'000'000;
  for (const RequestObservation& ask : record.requests) {
    // Whether a mute player was answered cannot be seen; what it did hear counts as anybody's.
    if (ask.neverReads && ask.answers.empty()) continue;
    Micros deadline = ask.at + ask.timeout;
    // One that was stopped answers when it goes on.
    for (const DirectorStall& stood : record.directorStalls)
      if (stood.director == ask.director && stood.run == ask.run && stood.from <= deadline &&
          stood.to >= ask.at)
        deadline += stood.to - std::max(stood.from, ask.at);
    // A player that goes at its very time-out has not left: it was left.
    bool excused = ask.closedAt >= 0 && ask.closedAt < deadline && !ask.connectionLost;
    // What a killed director held is no longer its duty.
    for (const DirectorKill& down : record.directorKills)
      if (down.director == ask.director && down.run == ask.run && down.at <= deadline + f.answerTolerance)
        excused = true;
    const std::string who = "ask " + ask.idempotencyKey + " at " + ms(ask.at);
    if (ask.answers.size() > 1) broke(row, who + ": " + std::to_string(ask.answers.size()) + " answers");
    if (ask.answers.empty()) {
      if (excused) continue;
      ++row.tested;
      broke(row, who + ": no answer");
      continue;
    }
    ++row.tested;
    const Micros left = deadline - ask.answers.front().at;
    nearest = std::min(nearest, left);
    if (left < -f.answerTolerance) broke(row, who + ": answered " + ms(-left) + " after the client timeout");
  }
  row.closestCase = row.tested == 0 ? "-" : ms(nearest) + " before the client timeout";
  return row;
}

RuleResult onceOnly(const Record& record, const CheckSettings& f) {
  RuleResult row{"2 no set-up twice", 0, 0, "", {}};
  std::map<std::string, std::vector<const SetUpObservation*>> bySub, byAsk;
  for (const SetUpObservation& s : record.setUps) {
    bySub[s.subscription].push_back(&s);
    // Without a key no two joins but those of one subscription are known to be one ask's.
    if (unsafe(f, s.roomType))
      byAsk[s.idempotencyKey.empty() ? "/" + s.subscription : s.viewer + "/" + s.idempotencyKey].push_back(
          &s);
  }
  Micros overlap = 0;
  for (auto& [sub, list] : bySub)
    for (std::size_t i = 0; i + 1 < list.size(); ++i) {
      ++row.tested;
      // The earlier join is out until it was answered with a refusal, torn down or lost.
      const SetUpObservation& a = *list[i];
      const SetUpObservation& b = *list[i + 1];
      const Micros until = a.endedAt < 0 ? b.at + 3'600'000'000 : a.endedAt;
      overlap = std::max(overlap, until - b.at);
      if (until - b.at > f.orderTolerance)
        broke(row, "subscription " + sub + ": two joins out at " + ms(b.at) + ", at node " +
                       std::to_string(a.node) + " since " + ms(a.at) + " and at node " +
                       std::to_string(b.node));
    }
  for (auto& [ask, list] : byAsk) {
    std::size_t ran = 0;
    for (std::size_t i = 0; i < list.size(); ++i) {
      if (list[i]->ranAt >= 0) ++ran;
      if (i == 0) continue;
      ++row.tested;
      if (list[i - 1]->refusedAt < 0)
        broke(row, "paid ask " + ask + ": sent again at " + ms(list[i]->at) +
                       " though the earlier join may have run");
    }
    if (ran > 1) broke(row, "paid ask " + ask + ": set up " + std::to_string(ran) + " times");
  }
  for (const RequestObservation& ask : record.requests) {
    if (!unsafe(f, ask.roomType)) continue;
    const auto it = byAsk.find(ask.viewer + "/" + ask.idempotencyKey);
    for (const RequestObservation::Answer& answer : ask.answers) {
      if (answer.kind != RequestObservation::Answer::Kind::throttled || it == byAsk.end()) continue;
      ++row.tested;
      for (const SetUpObservation* s : it->second)
        if (s->at < answer.at && s->refusedAt < 0)
          broke(row, "paid ask " + ask.idempotencyKey + ": throttled at " + ms(answer.at) +
                         " though a join may have run");
    }
  }
  row.closestCase = "overlap of two joins " + ms(std::max<Micros>(0, overlap));
  return row;
}

RuleResult drains(const Record& record, const CheckSettings& f) {
  RuleResult row{"3 drains kept", 0, 0, "", {}};
  // The words that each director could read of a node, in order: a later `ready` takes an earlier drain back.
  std::map<NodeId, std::vector<const ListedState*>> words;
  for (const ListedState& w : record.listedStates) words[w.node].push_back(&w);
  for (auto& [node, list] : words)
    std::stable_sort(list.begin(), list.end(),
                     [](const ListedState* a, const ListedState* b) { return a->at < b->at; });
  Micros latest = -3'600'000'000;
  std::set<std::pair<NodeId, Micros>> used;  // a node and its drain, that had joins before it
  for (const SetUpObservation& s : record.setUps) {
    const int director = placeOf(s.director);
    Micros since = -1, next = -1;
    for (const ListedState* w : words[s.node]) {
      if (w->director >= 0 && w->director != director) continue;
      if (w->at > s.at) {
        if (w->state != NodeState::ready && next < 0 && since < 0) next = w->at;
        continue;
      }
      if (w->state == NodeState::ready)
        since = -1;
      else if (since < 0)
        since = w->at;
    }
    if (next >= 0) used.emplace(s.node, next), latest = std::max(latest, s.at - next);
    if (since < 0) continue;
    latest = std::max(latest, s.at - since);
    if (s.at > since + f.maxListDelay + f.grace)
      broke(row, "node " + std::to_string(s.node) + ": a join " + ms(s.at - since) + " after the word");
  }
  row.tested = used.size();
  row.closestCase = row.tested == 0 ? "-" : "last join " + ms(latest) + " after the word";
  return row;
}

RuleResult cold(const Record& record, const CheckSettings& f) {
  RuleResult row{"4 cold pace", 0, 0, "", {}};
  double nearest = 0;
  for (const NodeStart& start : record.starts) {
    if (!start.coldStart) continue;
    std::vector<Micros> at;
    for (const SetUpObservation& s : record.setUps)
      if (s.node == start.node && s.at >= start.at && s.at < start.at + f.controlSettings.coldTime)
        at.push_back(s.at);
    if (at.empty()) continue;
    ++row.tested;
    std::size_t first = 0;
    for (std::size_t last = 0; last < at.size(); ++last) {
      while (at[last] - at[first] >= f.controlSettings.fallTime) ++first;
      const double age =
          static_cast<double>(at[first] - start.at) / static_cast<double>(f.controlSettings.coldTime);
      const double warmth =
          f.controlSettings.startCapacity + (1 - f.controlSettings.startCapacity) * std::clamp(age, 0.0, 1.0);
      const double bears = start.places * warmth * static_cast<double>(f.controlSettings.fallTime) /
                           static_cast<double>(f.controlSettings.coldTime) * f.controlSettings.overloadFactor;
      const auto sent = static_cast<double>(last - first + 1);
      nearest = std::max(nearest, sent / bears);
      // One more for chance: a window may open just before a set-up and close just after one.
      if (sent > bears + 1) {
        broke(row, "node " + std::to_string(start.node) + ": " + std::to_string(last - first + 1) +
                       " set-ups within the fall time at " + ms(at[last]));
        break;
      }
    }
  }
  char text[64];
  std::snprintf(text, sizeof text, "%.0f%% of what one bears", nearest * 100);
  row.closestCase = row.tested == 0 ? "-" : text;
  return row;
}

RuleResult terms(const Record& record, const CheckSettings& f) {
  RuleResult row{"5 floors and seats", 0, 0, "", {}};
  for (const RungObservation& r : record.rungs) {
    const RoomType& room = f.controlSettings.roomTypes[static_cast<std::size_t>(r.roomType)];
    if (room.floor > 0) ++row.tested;
    if (r.rung < room.floor) broke(row, "rung " + std::to_string(r.rung) + " under the floor at " + ms(r.at));
  }
  std::map<std::tuple<std::string, int, std::string>, std::vector<std::pair<Micros, int>>> held;
  for (const SetUpObservation& s : record.setUps) {
    if (f.controlSettings.roomTypes[static_cast<std::size_t>(s.roomType)].seats <= 0) continue;
    auto& changes = held[{s.director, s.roomType, s.title}];
    changes.emplace_back(s.at, 1);
    // An end counts a little early: the two sockets may have been read in either order.
    if (s.endedAt >= 0) changes.emplace_back(std::max(s.at, s.endedAt - f.orderTolerance), -1);
  }
  int most = 0, seats = 0;
  for (auto& [key, changes] : held) {
    std::stable_sort(changes.begin(), changes.end());
    const int limit = f.controlSettings.roomTypes[static_cast<std::size_t>(std::get<1>(key))].seats;
    int now = 0;
    bool said = false;
    for (const auto& [at, by] : changes) {
      now += by;
      if (now >= limit && by > 0) ++row.tested;
      if (now > most) most = now, seats = limit;
      if (now > limit && !said) {
        said = true;
        broke(row, std::get<2>(key) + " at " + std::get<0>(key) + ": " + std::to_string(now) + " held of " +
                       std::to_string(limit) + " seats at " + ms(at));
      }
    }
  }
  row.closestCase = most == 0 ? "-" : std::to_string(most) + " held of " + std::to_string(seats) + " seats";
  return row;
}

RuleResult further(const Record& record, const CheckSettings& f) {
  RuleResult row{"6 further joins", 0, 0, "", {}};
  if (!f.controlSettings.retryBudget) {
    row.closestCase = "no budget stated";
    return row;
  }
  const RetryBudget& budget = *f.controlSettings.retryBudget;
  std::map<std::string, std::vector<Micros>> again;
  std::map<int, std::vector<Micros>> taken;
  std::set<std::string> seen;
  for (const SetUpObservation& s : record.setUps)
    if (!seen.insert(s.subscription).second) again[s.director].push_back(s.at);
  for (const RequestObservation& ask : record.requests) taken[ask.director].push_back(ask.at);
  double nearest = 0;
  for (const auto& [director, times] : again) {
    row.tested += times.size();
    const std::vector<Micros>& asks = taken[placeOf(director)];
    for (const Micros at : times) {
      const auto within = [&](const std::vector<Micros>& list) {
        return static_cast<double>(std::count_if(
            list.begin(), list.end(), [&](Micros t) { return t <= at && t > at - budget.window; }));
      };
      const double allowed = budget.minRetries + budget.share * within(asks);
      nearest = std::max(nearest, within(times) / std::max(1.0, allowed));
      if (within(times) > allowed + 1)
        broke(row, director + ": " + std::to_string(static_cast<int>(within(times))) + " further joins at " +
                       ms(at));
    }
  }
  char text[64];
  std::snprintf(text, sizeof text, "%.0f%% of the budget", nearest * 100);
  row.closestCase = row.tested == 0 ? "-" : text;
  return row;
}

}  // namespace

std::vector<RuleResult> check(const Record& record, const CheckSettings& statistics) {
  return {oneAnswer(record, statistics), onceOnly(record, statistics), drains(record, statistics),
          cold(record, statistics),      terms(record, statistics),    further(record, statistics)};
}

}  // namespace lupinsill::audit
