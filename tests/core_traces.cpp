// Feeds random event sequences to the client core and prints each sequence as one line of JSON, with the
// actions that every event returned. The core in another language must return the same actions
// (client/typescript/tests/core.test.ts).
//   lupinsill_core_traces SEQUENCES FIRST-SEED
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

#include "core/core.h"

using namespace lupinsill::client;
using Json = nlohmann::json;

namespace {

constexpr int stepsPerSequence = 150;
constexpr Micros maxSafeInteger = 9007199254740991;  // Number.MAX_SAFE_INTEGER of JavaScript

Json jsonOf(const std::vector<Action>& actions) {
  Json list = Json::array();
  for (const Action& action : actions)
    if (const auto* start = std::get_if<StartAttempt>(&action))
      list.push_back({{"kind", "startAttempt"},
                      {"request", start->request},
                      {"attempt", start->attempt},
                      {"director", start->director},
                      {"key", start->key},
                      {"timeLeft", start->timeLeft}});
    else if (const auto* abandon = std::get_if<AbandonAttempt>(&action))
      list.push_back({{"kind", "abandonAttempt"}, {"attempt", abandon->attempt}});
    else if (const auto* report = std::get_if<ReportResult>(&action))
      list.push_back({{"kind", "reportResult"},
                      {"request", report->request},
                      {"result", nameOf(report->result)},
                      {"director", report->director},
                      {"retryAfter", report->retryAfter}});
  return list;
}

}  // namespace

int main(int argc, char** argv) {
  const int sequences = argc > 1 ? std::atoi(argv[1]) : 100;
  const unsigned firstSeed = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 1;
  for (unsigned seed = firstSeed; seed < firstSeed + static_cast<unsigned>(sequences); ++seed) {
    std::minstd_rand random(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(random() / 7 % n); };
    RetryPolicy policy;
    policy.zone = "north";
    Core core({{"a:1", "north"}, {"b:1", "north"}, {"c:1", "south"}}, policy, seed);
    Json events = Json::array();
    Micros now = 0;
    RequestId lastRequest = 0;
    AttemptId lastAttempt = 0;
    for (int step = 0; step < stepsPerSequence; ++step) {
      now += below(400'000);
      std::vector<Action> actions;
      Json event{{"now", now}};
      const AttemptId attempt =
          lastAttempt == 0 ? 0
                           : lastAttempt - below(static_cast<unsigned>(std::min<AttemptId>(lastAttempt, 6)));
      switch (below(7)) {
        case 0: {
          const Request request{++lastRequest, "k" + std::to_string(lastRequest), below(2) == 0,
                                1'000 * (100 + below(12'000))};
          event.update({{"event", "submit"},
                        {"id", request.id},
                        {"key", request.key},
                        {"unsafe", request.unsafe},
                        {"timeout", request.timeout}});
          core.submit(now, request, actions);
          break;
        }
        case 1: {
          const std::string director(1, static_cast<char>('a' + below(3)));
          const SendParameters parameters = core.beginSend(now, attempt, director);
          event.update({{"event", "beginSend"}, {"attempt", attempt}, {"director", director}});
          if (!parameters.key.empty()) {
            event["sendParameters"] = {{"key", parameters.key},
                                       {"previousDirector", parameters.previousDirector},
                                       {"timeLeft", parameters.timeLeft}};
            if (parameters.sinceFirstSent)
              event["sendParameters"]["sinceFirstSent"] = *parameters.sinceFirstSent;
          }
          break;
        }
        case 2: {
          const bool unread = below(3) == 0;
          event.update({{"event", "failed"}, {"attempt", attempt}, {"unread", unread}});
          core.failed(now, attempt, actions, unread);
          break;
        }
        case 3: {
          const auto answer = static_cast<Answer>(below(10) == 0 ? 3 : below(3));
          const Micros retryAfter = below(2) == 0 ? 0 : below(3'000'000);
          const bool directorDrains = below(6) == 0;
          const char* answerNames[] = {"playing", "throttled", "terminated", "wrong"};
          event.update({{"event", "answered"},
                        {"attempt", attempt},
                        {"answer", answerNames[static_cast<int>(answer)]},
                        {"retryAfter", retryAfter},
                        {"directorDrains", directorDrains}});
          core.answered(now, attempt, answer, retryAfter, directorDrains, actions);
          break;
        }
        case 4:
          if (below(10) == 0) {
            const RequestId request = 1 + below(static_cast<unsigned>(lastRequest) + 1);
            event.update({{"event", "cancel"}, {"id", request}});
            core.cancel(now, request, actions);
            break;
          }
          [[fallthrough]];
        default:
          event["event"] = "tick";
          core.tick(now, actions);
      }
      for (const Action& action : actions)
        if (const auto* start = std::get_if<StartAttempt>(&action))
          lastAttempt = std::max(lastAttempt, start->attempt);
      event["actions"] = jsonOf(actions);
      event["due"] = std::min<Micros>(core.due(), maxSafeInteger);
      events.push_back(std::move(event));
    }
    std::printf("%s\n", Json{{"seed", seed}, {"events", events}}.dump().c_str());
  }
}
