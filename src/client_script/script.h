// Scripted sequences for client libraries: one file format that every library plays
// (docs/protocol/script.md), how sequences are drawn, and how what came of them is compared. No I/O, no
// clock; same seed, same script. A title names the fault that its asks meet: "PLAN.SEQUENCE.WISH.LIBRARY".
// Errors: std::runtime_error naming the line that cannot be read.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control.h"

namespace lupinsill::client_script {

struct ScriptedRequest {
  std::string title;  // without the library's part
  std::string room;
  bool paid = false;
  Micros timeout = 0;
};
struct Sequence {
  int number = 0;
  std::uint64_t seed = 0;  // of the client's own chance
  std::vector<ScriptedRequest> requests;
};

// What a plan does, for those who carry it out.
struct FaultPlan {
  const char* name;
  const char* description;
  bool paidOnly;
  bool killsDirector;  // a director dies of it
  int maxSetUps;       // of a paid wish, over everything
};
const std::vector<FaultPlan>& faultPlans();
const FaultPlan* findFaultPlan(const std::string& title);  // null: none of ours

std::vector<Sequence> generate(int sequences, std::uint64_t seed);

std::string toLine(const Sequence& sequence);  // one line of JSON
Sequence parseSequence(const std::string& line);
// What a library made of a sequence: a result a wish.
struct SequenceResult {
  int sequence = 0;
  std::vector<std::string> results;
};
std::string toLine(const SequenceResult& played);
SequenceResult parseResult(const std::string& line);

struct LibraryRun {
  std::string name;
  std::map<int, SequenceResult> played;
  std::map<std::string, int> setUps;  // by whole title, as counted at the nodes
  std::uint64_t requestsSent = 0;     // sent; 0 where that was not counted
};
struct Finding {
  std::string title, description;
};
// Holds libraries against each other and each against the rules: a result each, the same results and (of paid
// wishes) set-ups in all, never more set-ups than a plan allows, never a yes without one.
std::vector<Finding> compare(const std::vector<Sequence>& script, const std::vector<LibraryRun>& libraries);

}  // namespace lupinsill::client_script
