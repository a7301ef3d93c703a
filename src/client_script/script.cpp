#include "client_script/script.h"

#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

namespace lupinsill::client_script {
namespace {

using Json = nlohmann::json;

Json parsed(const std::string& line) {
  Json json = Json::parse(line, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    throw std::runtime_error("script: not a JSON object: " + line);
  return json;
}

}  // namespace

const std::vector<FaultPlan>& faultPlans() {
  static const std::vector<FaultPlan> all{
      {"ok", "nothing fails", false, false, 1},
      {"lose", "the first answer is decided, and the call cut instead of carrying it", false, false, 1},
      {"unheard", "the call is cut before its first ask is taken", false, false, 1},
      {"twice", "the first two answers are lost", false, false, 1},
      {"err", "the node answers 500: the set-up may have run", true, false, 1},
      {"drop", "the node sets up and tells nobody", true, false, 1},
      {"cut", "the node sets up and its connection breaks", true, false, 1},
      {"lose-err", "the node answers 500, and the first answer is lost", true, false, 1},
      {"kill-ask-read", "the director dies with the ask read", true, true, 1},
      {"kill-ask-decided", "the director dies before the intent is written", true, true, 1},
      {"kill-join-leaves", "the director dies with the intent on disk and the join not sent", true, true, 0},
      {"kill-at-node", "the director dies when the join has reached its node", true, true, 1},
      {"kill-join-began", "the director dies with the node's answer read", true, true, 1},
      {"kill-answer-decided", "the director dies before the answer leaves", true, true, 1},
      {"wipe-at-node", "the director dies at the node's set-up, and its ledger is gone", true, true, 1},
  };
  return all;
}

const FaultPlan* findFaultPlan(const std::string& title) {
  const std::string name = title.substr(0, title.find('.'));
  for (const FaultPlan& plan : faultPlans())
    if (name == plan.name) return &plan;
  return nullptr;
}

std::vector<Sequence> generate(int sequences, std::uint64_t seed) {
  std::minstd_rand chance(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1));
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(chance() / 7 % n); };
  std::vector<const FaultPlan*> calm, faulty, deadly;
  for (const FaultPlan& plan : faultPlans())
    (plan.killsDirector ? deadly : plan.paidOnly ? faulty : calm).push_back(&plan);
  std::vector<Sequence> out;
  for (int number = 1; number <= sequences; ++number) {
    Sequence sequence;
    sequence.number = number;
    sequence.seed = 1 + chance() % 1'000'000;
    // A director that dies costs seconds: one sequence in forty, each plan in turn.
    const bool kills = number % 40 == 0;
    const std::size_t wishes = kills ? 1 : 1 + below(3);
    for (std::size_t i = 0; i < wishes; ++i) {
      // Nodes that fail are gated, rightly, and a fleet of them throttles: they stay few among the asks.
      const auto& from = below(8) == 0 ? faulty : calm;
      const FaultPlan& plan =
          kills ? *deadly[static_cast<std::size_t>(number / 40) % deadly.size()] : *from[below(from.size())];
      ScriptedRequest wish;
      wish.title = std::string(plan.name) + "." + std::to_string(number) + "." + std::to_string(i);
      wish.paid = plan.paidOnly || below(2) == 0;
      wish.room = wish.paid ? "paid-class" : "recipe-clip";
      wish.timeout = 20'000'000;
      sequence.requests.push_back(std::move(wish));
    }
    out.push_back(std::move(sequence));
  }
  return out;
}

std::string toLine(const Sequence& sequence) {
  Json wishes = Json::array();
  for (const ScriptedRequest& wish : sequence.requests)
    wishes.push_back({{"title", wish.title},
                      {"room", wish.room},
                      {"paid", wish.paid},
                      {"timeoutMs", wish.timeout / 1000}});
  return Json{{"sequence", sequence.number}, {"seed", sequence.seed}, {"wishes", wishes}}.dump();
}

Sequence parseSequence(const std::string& line) {
  const Json json = parsed(line);
  Sequence out;
  try {
    out.number = json.at("sequence").get<int>();
    out.seed = json.at("seed").get<std::uint64_t>();
    for (const Json& wish : json.at("wishes"))
      out.requests.push_back({wish.at("title").get<std::string>(), wish.at("room").get<std::string>(),
                              wish.at("paid").get<bool>(), wish.at("timeoutMs").get<Micros>() * 1000});
  } catch (const Json::exception& bad) {
    throw std::runtime_error("script: " + std::string(bad.what()) + ": " + line);
  }
  return out;
}

std::string toLine(const SequenceResult& played) {
  return Json{{"sequence", played.sequence}, {"results", played.results}}.dump();
}

SequenceResult parseResult(const std::string& line) {
  const Json json = parsed(line);
  try {
    return {json.at("sequence").get<int>(), json.at("results").get<std::vector<std::string>>()};
  } catch (const Json::exception& bad) {
    throw std::runtime_error("played: " + std::string(bad.what()) + ": " + line);
  }
}

std::vector<Finding> compare(const std::vector<Sequence>& script, const std::vector<LibraryRun>& libraries) {
  std::vector<Finding> found;
  for (const Sequence& sequence : script)
    for (std::size_t i = 0; i < sequence.requests.size(); ++i) {
      const ScriptedRequest& wish = sequence.requests[i];
      const FaultPlan* plan = findFaultPlan(wish.title);
      std::string first;
      int firstSetUps = 0;
      for (const LibraryRun& library : libraries) {
        const auto say = [&](const std::string& what) {
          found.push_back({wish.title + " (" + library.name + ")", what});
        };
        const auto played = library.played.find(sequence.number);
        if (played == library.played.end() || i >= played->second.results.size()) {
          say("no result");
          continue;
        }
        const std::string& result = played->second.results[i];
        const auto counted = library.setUps.find(wish.title + "." + library.name);
        const int setUps = counted == library.setUps.end() ? 0 : counted->second;
        if (result == "playing" && setUps == 0) say("plays, and was never set up");
        if (wish.paid && plan != nullptr && setUps > plan->maxSetUps)
          say("set up " + std::to_string(setUps) + " times, at most " + std::to_string(plan->maxSetUps));
        // How often a safe wish is set up is the director's to weigh; a paid one leaves nothing to chance.
        if (&library == &libraries.front()) {
          first = result;
          firstSetUps = setUps;
        } else if (result != first || (wish.paid && setUps != firstSetUps)) {
          say(result + " with " + std::to_string(setUps) + " set-ups, and " + first + " with " +
              std::to_string(firstSetUps) + " through " + libraries.front().name);
        }
      }
    }
  return found;
}

}  // namespace lupinsill::client_script
