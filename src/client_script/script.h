// Scripts of requests that every client library plays against directors with injected faults, and the
// comparison of their results. File format: docs/protocol/script.md. A title selects the fault that its
// requests meet: "PLAN.SEQUENCE.REQUEST.LIBRARY". No I/O and no clock; the same seed gives the same script.
// Errors: std::runtime_error with the line that cannot be parsed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control.h"

namespace lupinsill::client_script {

// One request of a script.
struct ScriptedRequest {
  std::string title;  // without the library part, which each library appends
  std::string room;
  bool paid = false;
  Micros timeout = 0;
};
// Requests that one client makes one after the other.
struct Sequence {
  int number = 0;
  std::uint64_t seed = 0;  // for the random source of the client library
  std::vector<ScriptedRequest> requests;
};

// A fault that is injected on the requests of a title.
struct FaultPlan {
  const char* name;
  const char* description;
  bool paidOnly;       // only for paid requests
  bool killsDirector;  // a director process is killed
  int maxSetUps;       // of a paid request, in all
};
const std::vector<FaultPlan>& faultPlans();
const FaultPlan* findFaultPlan(const std::string& title);  // null for an unknown plan

// A random script in which every fault plan occurs if it is long enough.
std::vector<Sequence> generate(int sequences, std::uint64_t seed);

std::string toLine(const Sequence& sequence);  // one line of JSON without a line end
Sequence parseSequence(const std::string& line);
// The results that a library got for a sequence, one per request.
struct SequenceResult {
  int sequence = 0;
  std::vector<std::string> results;
};
std::string toLine(const SequenceResult& result);
SequenceResult parseResult(const std::string& line);

// One library's run of a script.
struct LibraryRun {
  std::string name;
  std::map<int, SequenceResult> played;  // by sequence number
  std::map<std::string, int> setUps;     // by full title, as counted by the nodes
  std::uint64_t requestsSent = 0;        // 0 where they were not counted
};
// A difference or violation, with the title of the request that shows it.
struct Finding {
  std::string title, description;
};
// Compares the libraries with each other and checks each against the rules: one result per request, the same
// results and (for paid requests) numbers of set-ups in all libraries, no more set-ups than the plan allows,
// and no result "playing" without a set-up.
std::vector<Finding> compare(const std::vector<Sequence>& script, const std::vector<LibraryRun>& libraries);

}  // namespace lupinsill::client_script
