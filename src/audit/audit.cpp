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

void broke(Row& row, const std::string& words) {
  ++row.broken;
  if (row.first.size() < shownMost) row.first.push_back(words);
}

int placeOf(const std::string& director) { return std::atoi(director.c_str() + 1); }  // "d3-..." is place 3

bool unsafe(const Statistics& f, int roomType) {
  return f.terms.roomTypes[static_cast<std::size_t>(roomType)].effect != Effect::repeatable;
}

Row oneAnswer(const Record& record, const Statistics& f) {
  Row row{"1 one answer", 0, 0, "", {}};
  Micros nearest = 3'600'000'000;
  for (const AskSeen& ask : record.asks) {
    // Whether a mute player was answered cannot be seen; what it did hear counts as anybody's.
    if (ask.mute && ask.answers.empty()) continue;
    Micros deadline = ask.at + ask.timeout;
    // One that was stopped answers when it goes on.
    for (const DirectorStood& stood : record.stood)
      if (stood.director == ask.director && stood.run == ask.run && stood.from <= deadline &&
          stood.to >= ask.at)
        deadline += stood.to - std::max(stood.from, ask.at);
    // A player that goes at its very time-out has not left: it was left.
    bool excused = ask.closedAt >= 0 && ask.closedAt < deadline && !ask.lostSocket;
    // What a killed director held is no longer its duty.
    for (const DirectorDown& down : record.downs)
      if (down.director == ask.director && down.run == ask.run && down.at <= deadline + f.answerSlack)
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
    if (left < -f.answerSlack) broke(row, who + ": answered " + ms(-left) + " after the client timeout");
  }
  row.nearest = row.tested == 0 ? "-" : ms(nearest) + " before the client timeout";
  return row;
}

Row onceOnly(const Record& record, const Statistics& f) {
  Row row{"2 no set-up twice", 0, 0, "", {}};
  std::map<std::string, std::vector<const SetUpSeen*>> bySub, byAsk;
  for (const SetUpSeen& s : record.setUps) {
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
      const SetUpSeen& a = *list[i];
      const SetUpSeen& b = *list[i + 1];
      const Micros until = a.endedAt < 0 ? b.at + 3'600'000'000 : a.endedAt;
      overlap = std::max(overlap, until - b.at);
      if (until - b.at > f.orderSlack)
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
  for (const AskSeen& ask : record.asks) {
    if (!unsafe(f, ask.roomType)) continue;
    const auto it = byAsk.find(ask.viewer + "/" + ask.idempotencyKey);
    for (const AskSeen::Answer& answer : ask.answers) {
      if (answer.kind != AskSeen::Answer::Kind::throttled || it == byAsk.end()) continue;
      ++row.tested;
      for (const SetUpSeen* s : it->second)
        if (s->at < answer.at && s->refusedAt < 0)
          broke(row, "paid ask " + ask.idempotencyKey + ": throttled at " + ms(answer.at) +
                         " though a join may have run");
    }
  }
  row.nearest = "overlap of two joins " + ms(std::max<Micros>(0, overlap));
  return row;
}

Row drains(const Record& record, const Statistics& f) {
  Row row{"3 drains kept", 0, 0, "", {}};
  // The words that each director could read of a node, in order: a later `ready` takes an earlier drain back.
  std::map<NodeId, std::vector<const NodeWord*>> words;
  for (const NodeWord& w : record.words) words[w.node].push_back(&w);
  for (auto& [node, list] : words)
    std::stable_sort(list.begin(), list.end(),
                     [](const NodeWord* a, const NodeWord* b) { return a->at < b->at; });
  Micros latest = -3'600'000'000;
  std::set<std::pair<NodeId, Micros>> used;  // a node and its drain, that had joins before it
  for (const SetUpSeen& s : record.setUps) {
    const int director = placeOf(s.director);
    Micros since = -1, next = -1;
    for (const NodeWord* w : words[s.node]) {
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
    if (s.at > since + f.listLook + f.grace)
      broke(row, "node " + std::to_string(s.node) + ": a join " + ms(s.at - since) + " after the word");
  }
  row.tested = used.size();
  row.nearest = row.tested == 0 ? "-" : "last join " + ms(latest) + " after the word";
  return row;
}

Row cold(const Record& record, const Statistics& f) {
  Row row{"4 cold pace", 0, 0, "", {}};
  double nearest = 0;
  for (const NodeStart& start : record.starts) {
    if (!start.coldAtAll) continue;
    std::vector<Micros> at;
    for (const SetUpSeen& s : record.setUps)
      if (s.node == start.node && s.at >= start.at && s.at < start.at + f.terms.coldTime) at.push_back(s.at);
    if (at.empty()) continue;
    ++row.tested;
    std::size_t first = 0;
    for (std::size_t last = 0; last < at.size(); ++last) {
      while (at[last] - at[first] >= f.terms.fallTime) ++first;
      const double age = static_cast<double>(at[first] - start.at) / static_cast<double>(f.terms.coldTime);
      const double warmth = f.terms.startCapacity + (1 - f.terms.startCapacity) * std::clamp(age, 0.0, 1.0);
      const double bears = start.places * warmth * static_cast<double>(f.terms.fallTime) /
                           static_cast<double>(f.terms.coldTime) * f.terms.overloadFactor;
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
  row.nearest = row.tested == 0 ? "-" : text;
  return row;
}

Row terms(const Record& record, const Statistics& f) {
  Row row{"5 floors and seats", 0, 0, "", {}};
  for (const RungSeen& r : record.rungs) {
    const RoomType& room = f.terms.roomTypes[static_cast<std::size_t>(r.roomType)];
    if (room.floor > 0) ++row.tested;
    if (r.rung < room.floor) broke(row, "rung " + std::to_string(r.rung) + " under the floor at " + ms(r.at));
  }
  std::map<std::tuple<std::string, int, std::string>, std::vector<std::pair<Micros, int>>> held;
  for (const SetUpSeen& s : record.setUps) {
    if (f.terms.roomTypes[static_cast<std::size_t>(s.roomType)].seats <= 0) continue;
    auto& changes = held[{s.director, s.roomType, s.title}];
    changes.emplace_back(s.at, 1);
    // An end counts a little early: the two sockets may have been read in either order.
    if (s.endedAt >= 0) changes.emplace_back(std::max(s.at, s.endedAt - f.orderSlack), -1);
  }
  int most = 0, seats = 0;
  for (auto& [key, changes] : held) {
    std::stable_sort(changes.begin(), changes.end());
    const int limit = f.terms.roomTypes[static_cast<std::size_t>(std::get<1>(key))].seats;
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
  row.nearest = most == 0 ? "-" : std::to_string(most) + " held of " + std::to_string(seats) + " seats";
  return row;
}

Row further(const Record& record, const Statistics& f) {
  Row row{"6 further joins", 0, 0, "", {}};
  if (!f.terms.retryBudget) {
    row.nearest = "no budget stated";
    return row;
  }
  const RetryBudget& budget = *f.terms.retryBudget;
  std::map<std::string, std::vector<Micros>> again;
  std::map<int, std::vector<Micros>> taken;
  std::set<std::string> seen;
  for (const SetUpSeen& s : record.setUps)
    if (!seen.insert(s.subscription).second) again[s.director].push_back(s.at);
  for (const AskSeen& ask : record.asks) taken[ask.director].push_back(ask.at);
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
  row.nearest = row.tested == 0 ? "-" : text;
  return row;
}

}  // namespace

std::vector<Row> check(const Record& record, const Statistics& statistics) {
  return {oneAnswer(record, statistics), onceOnly(record, statistics), drains(record, statistics),
          cold(record, statistics),      terms(record, statistics),    further(record, statistics)};
}

}  // namespace lupinsill::audit
