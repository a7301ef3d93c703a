// Generation, JSON format and comparison of scripts.
#include "client_script/script.h"

#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

namespace lupinsill::client_script {
namespace {

using Json = nlohmann::json;

constexpr int sequencesPerKill = 40;
constexpr Micros requestTimeout = 20'000'000;

Json parseObject(const std::string& line) {
  Json json = Json::parse(line, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    throw std::runtime_error("script: not a JSON object: " + line);
  return json;
}

}  // namespace

const std::vector<FaultPlan>& faultPlans() {
  static const std::vector<FaultPlan> all{
      {"ok", "nothing fails", false, false, 1},
      {"lose", "the connection is closed when the first answer has been decided, before it is sent", false,
       false, 1},
      {"unheard", "the connection is closed before the first request is read", false, false, 1},
      {"twice", "the first two answers are lost", false, false, 1},
      {"err", "the node answers 500, and the set-up may have run", true, false, 1},
      {"drop", "the node sets up and does not answer", true, false, 1},
      {"cut", "the node sets up and its connection breaks", true, false, 1},
      {"lose-err", "the node answers 500, and the first answer is lost", true, false, 1},
      {"kill-ask-read", "the director is killed when it has read the request", true, true, 1},
      {"kill-ask-decided", "the director is killed before the intent is written", true, true, 1},
      {"kill-join-leaves", "the director is killed with the intent on disk and the join not sent", true, true,
       0},
      {"kill-at-node", "the director is killed when the join has reached its node", true, true, 1},
      {"kill-join-began", "the director is killed when it has read the node's answer", true, true, 1},
      {"kill-answer-decided", "the director is killed before the answer is sent", true, true, 1},
      {"wipe-at-node", "the director is killed when the join has reached its node, and its ledger is deleted",
       true, true, 1},
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
  std::minstd_rand engine(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1));
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(engine() / 7 % n); };
  std::vector<const FaultPlan*> harmless, faulty, killing;
  for (const FaultPlan& plan : faultPlans())
    (plan.killsDirector ? killing : plan.paidOnly ? faulty : harmless).push_back(&plan);
  std::vector<Sequence> script;
  for (int number = 1; number <= sequences; ++number) {
    Sequence sequence;
    sequence.number = number;
    sequence.seed = 1 + engine() % 1'000'000;
    // Restarting a killed director takes seconds, so few sequences kill one, with each plan in
    // turn.
    const bool killsDirector = number % sequencesPerKill == 0;
    const std::size_t requestCount = killsDirector ? 1 : 1 + below(3);
    for (std::size_t i = 0; i < requestCount; ++i) {
      // Directors gate failing nodes, and throttle when most nodes fail, so faulty plans stay a small share.
      const auto& candidates = below(8) == 0 ? faulty : harmless;
      const FaultPlan& plan =
          killsDirector ? *killing[static_cast<std::size_t>(number / sequencesPerKill) % killing.size()]
                        : *candidates[below(candidates.size())];
      ScriptedRequest request;
      request.title = std::string(plan.name) + "." + std::to_string(number) + "." + std::to_string(i);
      request.paid = plan.paidOnly || below(2) == 0;
      request.room = request.paid ? "paid-class" : "recipe-clip";
      request.timeout = requestTimeout;
      sequence.requests.push_back(std::move(request));
    }
    script.push_back(std::move(sequence));
  }
  return script;
}

std::string toLine(const Sequence& sequence) {
  Json requests = Json::array();
  for (const ScriptedRequest& request : sequence.requests)
    requests.push_back({{"title", request.title},
                        {"room", request.room},
                        {"paid", request.paid},
                        {"timeoutMs", request.timeout / 1000}});
  return Json{{"sequence", sequence.number}, {"seed", sequence.seed}, {"wishes", requests}}.dump();
}

Sequence parseSequence(const std::string& line) {
  const Json json = parseObject(line);
  Sequence sequence;
  try {
    sequence.number = json.at("sequence").get<int>();
    sequence.seed = json.at("seed").get<std::uint64_t>();
    for (const Json& request : json.at("wishes"))
      sequence.requests.push_back({request.at("title").get<std::string>(),
                                   request.at("room").get<std::string>(), request.at("paid").get<bool>(),
                                   request.at("timeoutMs").get<Micros>() * 1000});
  } catch (const Json::exception& error) {
    throw std::runtime_error("script: " + std::string(error.what()) + ": " + line);
  }
  return sequence;
}

std::string toLine(const SequenceResult& result) {
  return Json{{"sequence", result.sequence}, {"results", result.results}}.dump();
}

SequenceResult parseResult(const std::string& line) {
  const Json json = parseObject(line);
  try {
    return {json.at("sequence").get<int>(), json.at("results").get<std::vector<std::string>>()};
  } catch (const Json::exception& error) {
    throw std::runtime_error("played: " + std::string(error.what()) + ": " + line);
  }
}

std::vector<Finding> compare(const std::vector<Sequence>& script, const std::vector<LibraryRun>& libraries) {
  std::vector<Finding> findings;
  for (const Sequence& sequence : script)
    for (std::size_t i = 0; i < sequence.requests.size(); ++i) {
      const ScriptedRequest& request = sequence.requests[i];
      const FaultPlan* plan = findFaultPlan(request.title);
      std::string firstResult;
      int firstSetUps = 0;
      for (const LibraryRun& library : libraries) {
        const auto report = [&](const std::string& description) {
          findings.push_back({request.title + " (" + library.name + ")", description});
        };
        const auto sequenceResult = library.played.find(sequence.number);
        if (sequenceResult == library.played.end() || i >= sequenceResult->second.results.size()) {
          report("no result");
          continue;
        }
        const std::string& result = sequenceResult->second.results[i];
        const auto setUpEntry = library.setUps.find(request.title + "." + library.name);
        const int setUps = setUpEntry == library.setUps.end() ? 0 : setUpEntry->second;
        if (result == "playing" && setUps == 0) report("plays, and was never set up");
        if (request.paid && plan != nullptr && setUps > plan->maxSetUps)
          report("set up " + std::to_string(setUps) + " times, at most " + std::to_string(plan->maxSetUps));
        // The director may retry safe requests as it sees fit, so only paid ones must have the same set-ups.
        if (&library == &libraries.front()) {
          firstResult = result;
          firstSetUps = setUps;
        } else if (result != firstResult || (request.paid && setUps != firstSetUps)) {
          report(result + " with " + std::to_string(setUps) + " set-ups, and " + firstResult + " with " +
                 std::to_string(firstSetUps) + " through " + libraries.front().name);
        }
      }
    }
  return findings;
}

}  // namespace lupinsill::client_script
