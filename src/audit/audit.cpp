// The six rules of the audit, one function each.
#include "audit/audit.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

namespace lupinsill::audit {
namespace {

constexpr std::size_t maxListedViolations = 4;
constexpr Micros beyondRecord = 3'600'000'000;  // longer than any record

std::string formatMs(Micros time) { return std::to_string(time / 1000) + " ms"; }

void addViolation(RuleResult& result, const std::string& description) {
  ++result.violations;
  if (result.firstViolations.size() < maxListedViolations) result.firstViolations.push_back(description);
}

// The index in a director name: "d3-..." is director 3.
int directorIndex(const std::string& director) { return std::atoi(director.c_str() + 1); }

// Whether a repeated join in this room type has an effect of its own, such as a second payment.
bool isUnsafe(const CheckSettings& settings, int roomType) {
  return settings.controlSettings.roomTypes[static_cast<std::size_t>(roomType)].effect != Effect::repeatable;
}

// Rule 1: each request gets exactly one answer, by its client timeout.
RuleResult checkSingleAnswer(const Record& record, const CheckSettings& settings) {
  RuleResult result{"1 one answer", 0, 0, "", {}};
  Micros closest = beyondRecord;
  for (const RequestObservation& request : record.requests) {
    // A player that never reads its socket cannot show a missing answer; the answers it did receive count.
    if (request.neverReads && request.answers.empty()) continue;
    Micros deadline = request.at + request.timeout;
    // A director process that was stopped answers after it is resumed.
    for (const DirectorStall& stall : record.directorStalls)
      if (stall.director == request.director && stall.run == request.run && stall.from <= deadline &&
          stall.to >= request.at)
        deadline += stall.to - std::max(stall.from, request.at);
    // A player that closes at its timeout did not withdraw the request: it gave up on the director.
    bool excused = request.closedAt >= 0 && request.closedAt < deadline && !request.connectionLost;
    // A killed director owes no answer.
    for (const DirectorKill& kill : record.directorKills)
      if (kill.director == request.director && kill.run == request.run &&
          kill.at <= deadline + settings.answerTolerance)
        excused = true;
    const std::string label = "ask " + request.idempotencyKey + " at " + formatMs(request.at);
    if (request.answers.size() > 1)
      addViolation(result, label + ": " + std::to_string(request.answers.size()) + " answers");
    if (request.answers.empty()) {
      if (excused) continue;
      ++result.tested;
      addViolation(result, label + ": no answer");
      continue;
    }
    ++result.tested;
    const Micros timeLeft = deadline - request.answers.front().at;
    closest = std::min(closest, timeLeft);
    if (timeLeft < -settings.answerTolerance)
      addViolation(result, label + ": answered " + formatMs(-timeLeft) + " after the client timeout");
  }
  result.closestCase = result.tested == 0 ? "-" : formatMs(closest) + " before the client timeout";
  return result;
}

// Rule 2: a subscription has one join at a time, and a request that must not be repeated (shown as "paid
// ask") is set up once, sent again only after a refusal, and not throttled when it may have run.
RuleResult checkNoDuplicateSetUp(const Record& record, const CheckSettings& settings) {
  RuleResult result{"2 no set-up twice", 0, 0, "", {}};
  std::map<std::string, std::vector<const SetUpObservation*>> bySubscription, byRequest;
  for (const SetUpObservation& setUp : record.setUps) {
    bySubscription[setUp.subscription].push_back(&setUp);
    // Without an idempotency key only joins of one subscription are known to belong to one request.
    if (isUnsafe(settings, setUp.roomType))
      byRequest[setUp.idempotencyKey.empty() ? "/" + setUp.subscription
                                             : setUp.viewer + "/" + setUp.idempotencyKey]
          .push_back(&setUp);
  }
  Micros overlap = 0;
  for (auto& [subscription, setUps] : bySubscription)
    for (std::size_t i = 0; i + 1 < setUps.size(); ++i) {
      ++result.tested;
      // The earlier join is pending until it is refused, torn down or lost.
      const SetUpObservation& earlier = *setUps[i];
      const SetUpObservation& later = *setUps[i + 1];
      const Micros until = earlier.endedAt < 0 ? later.at + beyondRecord : earlier.endedAt;
      overlap = std::max(overlap, until - later.at);
      if (until - later.at > settings.orderTolerance)
        addViolation(result, "subscription " + subscription + ": two joins out at " + formatMs(later.at) +
                                 ", at node " + std::to_string(earlier.node) + " since " +
                                 formatMs(earlier.at) + " and at node " + std::to_string(later.node));
    }
  for (auto& [request, setUps] : byRequest) {
    std::size_t ran = 0;
    for (std::size_t i = 0; i < setUps.size(); ++i) {
      if (setUps[i]->ranAt >= 0) ++ran;
      if (i == 0) continue;
      ++result.tested;
      if (setUps[i - 1]->refusedAt < 0)
        addViolation(result, "paid ask " + request + ": sent again at " + formatMs(setUps[i]->at) +
                                 " though the earlier join may have run");
    }
    if (ran > 1) addViolation(result, "paid ask " + request + ": set up " + std::to_string(ran) + " times");
  }
  for (const RequestObservation& request : record.requests) {
    if (!isUnsafe(settings, request.roomType)) continue;
    const auto it = byRequest.find(request.viewer + "/" + request.idempotencyKey);
    for (const RequestObservation::Answer& answer : request.answers) {
      if (answer.kind != RequestObservation::Answer::Kind::throttled || it == byRequest.end()) continue;
      ++result.tested;
      for (const SetUpObservation* setUp : it->second)
        if (setUp->at < answer.at && setUp->refusedAt < 0)
          addViolation(result, "paid ask " + request.idempotencyKey + ": throttled at " +
                                   formatMs(answer.at) + " though a join may have run");
    }
  }
  result.closestCase = "overlap of two joins " + formatMs(std::max<Micros>(0, overlap));
  return result;
}

// Rule 3: a node gets no join once it has been listed as draining or gone for longer than the grace period.
RuleResult checkDrains(const Record& record, const CheckSettings& settings) {
  RuleResult result{"3 drains kept", 0, 0, "", {}};
  // Listed states of each node in order of time: a later `ready` cancels an earlier drain.
  std::map<NodeId, std::vector<const ListedState*>> statesByNode;
  for (const ListedState& listed : record.listedStates) statesByNode[listed.node].push_back(&listed);
  for (auto& [node, states] : statesByNode)
    std::stable_sort(states.begin(), states.end(), [](const ListedState* earlier, const ListedState* later) {
      return earlier->at < later->at;
    });
  Micros latest = -beyondRecord;
  std::set<std::pair<NodeId, Micros>> testedDrains;  // drains of nodes that had joins before
  for (const SetUpObservation& setUp : record.setUps) {
    const int director = directorIndex(setUp.director);
    Micros drainedAt = -1, nextDrainAt = -1;
    for (const ListedState* listed : statesByNode[setUp.node]) {
      if (listed->director >= 0 && listed->director != director) continue;
      if (listed->at > setUp.at) {
        if (listed->state != NodeState::ready && nextDrainAt < 0 && drainedAt < 0) nextDrainAt = listed->at;
        continue;
      }
      if (listed->state == NodeState::ready)
        drainedAt = -1;
      else if (drainedAt < 0)
        drainedAt = listed->at;
    }
    if (nextDrainAt >= 0)
      testedDrains.emplace(setUp.node, nextDrainAt), latest = std::max(latest, setUp.at - nextDrainAt);
    if (drainedAt < 0) continue;
    latest = std::max(latest, setUp.at - drainedAt);
    if (setUp.at > drainedAt + settings.maxListDelay + settings.grace)
      addViolation(result, "node " + std::to_string(setUp.node) + ": a join " +
                               formatMs(setUp.at - drainedAt) + " after the word");
  }
  result.tested = testedDrains.size();
  result.closestCase = result.tested == 0 ? "-" : "last join " + formatMs(latest) + " after the word";
  return result;
}

// Rule 4: within any fall time, a cold node gets no more set-ups than its warm-up allows.
RuleResult checkColdPace(const Record& record, const CheckSettings& settings) {
  RuleResult result{"4 cold pace", 0, 0, "", {}};
  double closest = 0;
  for (const NodeStart& start : record.starts) {
    if (!start.coldStart) continue;
    std::vector<Micros> setUpTimes;
    for (const SetUpObservation& setUp : record.setUps)
      if (setUp.node == start.node && setUp.at >= start.at &&
          setUp.at < start.at + settings.controlSettings.coldTime)
        setUpTimes.push_back(setUp.at);
    if (setUpTimes.empty()) continue;
    ++result.tested;
    std::size_t firstIndex = 0;
    for (std::size_t lastIndex = 0; lastIndex < setUpTimes.size(); ++lastIndex) {
      while (setUpTimes[lastIndex] - setUpTimes[firstIndex] >= settings.controlSettings.fallTime)
        ++firstIndex;
      const double age = static_cast<double>(setUpTimes[firstIndex] - start.at) /
                         static_cast<double>(settings.controlSettings.coldTime);
      const double warmth = settings.controlSettings.startCapacity +
                            (1 - settings.controlSettings.startCapacity) * std::clamp(age, 0.0, 1.0);
      const double allowed = start.places * warmth * static_cast<double>(settings.controlSettings.fallTime) /
                             static_cast<double>(settings.controlSettings.coldTime) *
                             settings.controlSettings.overloadFactor;
      const auto count = static_cast<double>(lastIndex - firstIndex + 1);
      closest = std::max(closest, count / allowed);
      // One more is accepted, since a window may open just before a set-up and close just after one.
      if (count > allowed + 1) {
        addViolation(result, "node " + std::to_string(start.node) + ": " +
                                 std::to_string(lastIndex - firstIndex + 1) +
                                 " set-ups within the fall time at " + formatMs(setUpTimes[lastIndex]));
        break;
      }
    }
  }
  char text[64];
  std::snprintf(text, sizeof text, "%.0f%% of what one bears", closest * 100);
  result.closestCase = result.tested == 0 ? "-" : text;
  return result;
}

// Rule 5: no rung is below the floor of its room type, and no director holds more joins of a title than the
// room type has seats.
RuleResult checkFloorsAndSeats(const Record& record, const CheckSettings& settings) {
  RuleResult result{"5 floors and seats", 0, 0, "", {}};
  for (const RungObservation& observed : record.rungs) {
    const RoomType& room = settings.controlSettings.roomTypes[static_cast<std::size_t>(observed.roomType)];
    if (room.floor > 0) ++result.tested;
    if (observed.rung < room.floor)
      addViolation(result,
                   "rung " + std::to_string(observed.rung) + " under the floor at " + formatMs(observed.at));
  }
  std::map<std::tuple<std::string, int, std::string>, std::vector<std::pair<Micros, int>>> changesByGroup;
  for (const SetUpObservation& setUp : record.setUps) {
    if (settings.controlSettings.roomTypes[static_cast<std::size_t>(setUp.roomType)].seats <= 0) continue;
    auto& changes = changesByGroup[{setUp.director, setUp.roomType, setUp.title}];
    changes.emplace_back(setUp.at, 1);
    // An end counts earlier by the tolerance, since the two sockets may have been read in either order.
    if (setUp.endedAt >= 0)
      changes.emplace_back(std::max(setUp.at, setUp.endedAt - settings.orderTolerance), -1);
  }
  int mostHeld = 0, mostHeldLimit = 0;
  for (auto& [key, changes] : changesByGroup) {
    std::stable_sort(changes.begin(), changes.end());
    const int limit = settings.controlSettings.roomTypes[static_cast<std::size_t>(std::get<1>(key))].seats;
    int held = 0;
    bool reported = false;
    for (const auto& [time, change] : changes) {
      held += change;
      if (held >= limit && change > 0) ++result.tested;
      if (held > mostHeld) mostHeld = held, mostHeldLimit = limit;
      if (held > limit && !reported) {
        reported = true;
        addViolation(result, std::get<2>(key) + " at " + std::get<0>(key) + ": " + std::to_string(held) +
                                 " held of " + std::to_string(limit) + " seats at " + formatMs(time));
      }
    }
  }
  result.closestCase =
      mostHeld == 0 ? "-" : std::to_string(mostHeld) + " held of " + std::to_string(mostHeldLimit) + " seats";
  return result;
}

// Rule 6: a director's further joins of a subscription stay within the retry budget.
RuleResult checkRetryBudget(const Record& record, const CheckSettings& settings) {
  RuleResult result{"6 further joins", 0, 0, "", {}};
  if (!settings.controlSettings.retryBudget) {
    result.closestCase = "no budget stated";
    return result;
  }
  const RetryBudget& budget = *settings.controlSettings.retryBudget;
  std::map<std::string, std::vector<Micros>> retries;
  std::map<int, std::vector<Micros>> requests;
  std::set<std::string> subscriptionsSeen;
  for (const SetUpObservation& setUp : record.setUps)
    if (!subscriptionsSeen.insert(setUp.subscription).second) retries[setUp.director].push_back(setUp.at);
  for (const RequestObservation& request : record.requests) requests[request.director].push_back(request.at);
  double closest = 0;
  for (const auto& [director, times] : retries) {
    result.tested += times.size();
    const std::vector<Micros>& directorRequests = requests[directorIndex(director)];
    for (const Micros time : times) {
      const auto countInWindow = [&](const std::vector<Micros>& all) {
        return static_cast<double>(std::count_if(all.begin(), all.end(), [&](Micros other) {
          return other <= time && other > time - budget.window;
        }));
      };
      const double allowed = budget.minRetries + budget.share * countInWindow(directorRequests);
      closest = std::max(closest, countInWindow(times) / std::max(1.0, allowed));
      if (countInWindow(times) > allowed + 1)
        addViolation(result, director + ": " + std::to_string(static_cast<int>(countInWindow(times))) +
                                 " further joins at " + formatMs(time));
    }
  }
  char text[64];
  std::snprintf(text, sizeof text, "%.0f%% of the budget", closest * 100);
  result.closestCase = result.tested == 0 ? "-" : text;
  return result;
}

}  // namespace

std::vector<RuleResult> check(const Record& record, const CheckSettings& settings) {
  return {checkSingleAnswer(record, settings),   checkNoDuplicateSetUp(record, settings),
          checkDrains(record, settings),         checkColdPace(record, settings),
          checkFloorsAndSeats(record, settings), checkRetryBudget(record, settings)};
}

}  // namespace lupinsill::audit
