// Random sequences of events through the client core, one JSON object a line with the acts that came of each:
// what the same core in another language has to do, act for act (client/typescript/tests/core.test.ts).
//   lupinsill_core_traces SEQUENCES SEED
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

#include "core/core.h"

using namespace lupinsill::client;
using Json = nlohmann::json;

namespace {

Json jsonOf(const std::vector<Action>& acts) {
  Json out = Json::array();
  for (const Action& act : acts)
    if (const auto* t = std::get_if<StartAttempt>(&act))
      out.push_back({{"act", "try"},
                     {"request", t->request},
                     {"attempt", t->attempt},
                     {"director", t->director},
                     {"key", t->key},
                     {"timeLeft", t->timeLeft}});
    else if (const auto* a = std::get_if<AbandonAttempt>(&act))
      out.push_back({{"act", "abandon"}, {"attempt", a->attempt}});
    else if (const auto* g = std::get_if<ReportResult>(&act))
      out.push_back({{"act", "give"},
                     {"request", g->request},
                     {"result", nameOf(g->result)},
                     {"director", g->director},
                     {"retryAfter", g->retryAfter}});
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  const int sequences = argc > 1 ? std::atoi(argv[1]) : 100;
  const unsigned from = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 1;
  for (unsigned seed = from; seed < from + static_cast<unsigned>(sequences); ++seed) {
    std::minstd_rand chance(seed);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(chance() / 7 % n); };
    RetryPolicy manners;
    manners.zone = "north";
    Core core({{"a:1", "north"}, {"b:1", "north"}, {"c:1", "south"}}, manners, seed);
    Json events = Json::array();
    Micros now = 0;
    RequestId wishes = 0;
    AttemptId tries = 0;
    for (int step = 0; step < 150; ++step) {
      now += below(400'000);
      std::vector<Action> acts;
      Json event{{"now", now}};
      const AttemptId attempt =
          tries == 0 ? 0 : tries - below(static_cast<unsigned>(std::min<AttemptId>(tries, 6)));
      switch (below(7)) {
        case 0: {
          const Request wish{++wishes, "k" + std::to_string(wishes), below(2) == 0,
                             1'000 * (100 + below(12'000))};
          event.update({{"event", "submit"},
                        {"id", wish.id},
                        {"key", wish.key},
                        {"unsafe", wish.unsafe},
                        {"timeout", wish.timeout}});
          core.submit(now, wish, acts);
          break;
        }
        case 1: {
          const std::string director(1, static_cast<char>('a' + below(3)));
          const SendParameters sending = core.beginSend(now, attempt, director);
          event.update({{"event", "beginSend"}, {"attempt", attempt}, {"director", director}});
          if (!sending.key.empty()) {
            event["sending"] = {
                {"key", sending.key}, {"again", sending.previousDirector}, {"timeLeft", sending.timeLeft}};
            if (sending.sinceFirstSent) event["sending"]["againAge"] = *sending.sinceFirstSent;
          }
          break;
        }
        case 2: {
          const bool unread = below(3) == 0;
          event.update({{"event", "failed"}, {"attempt", attempt}, {"unread", unread}});
          core.failed(now, attempt, acts, unread);
          break;
        }
        case 3: {
          const auto answer = static_cast<Answer>(below(10) == 0 ? 3 : below(3));
          const Micros after = below(2) == 0 ? 0 : below(3'000'000);
          const bool drains = below(6) == 0;
          const char* names[] = {"playing", "throttled", "terminated", "wrong"};
          event.update({{"event", "answered"},
                        {"attempt", attempt},
                        {"answer", names[static_cast<int>(answer)]},
                        {"retryAfter", after},
                        {"drains", drains}});
          core.answered(now, attempt, answer, after, drains, acts);
          break;
        }
        case 4:
          if (below(10) == 0) {
            const RequestId wish = 1 + below(static_cast<unsigned>(wishes) + 1);
            event.update({{"event", "cancel"}, {"id", wish}});
            core.cancel(now, wish, acts);
            break;
          }
          [[fallthrough]];
        default:
          event["event"] = "tick";
          core.tick(now, acts);
      }
      for (const Action& act : acts)
        if (const auto* t = std::get_if<StartAttempt>(&act)) tries = std::max(tries, t->attempt);
      event["acts"] = jsonOf(acts);
      event["due"] = std::min<Micros>(core.due(), 9007199254740991);
      events.push_back(std::move(event));
    }
    std::printf("%s\n", Json{{"seed", seed}, {"events", events}}.dump().c_str());
  }
}
