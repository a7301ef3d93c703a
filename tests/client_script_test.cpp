// Tests of the comparison of client libraries, which must find each kind of difference and violation and
// nothing else, and of scripts.
#include <catch2/catch.hpp>

#include "client_script/script.h"

using namespace lupinsill::client_script;

namespace {

LibraryRun libraryRun(const std::string& name, const std::string& result, int setUps) {
  LibraryRun library;
  library.name = name;
  library.played[1] = {1, {result}};
  if (setUps > 0) library.setUps["lose.1.0." + name] = setUps;
  return library;
}
std::vector<Sequence> scriptOfOne(bool paid) { return {{1, 7, {{"lose.1.0", "room", paid, 1'000'000}}}}; }

}  // namespace

TEST_CASE("Libraries with the same results pass, and each kind of difference or violation is found") {
  CHECK(compare(scriptOfOne(true), {libraryRun("a", "playing", 1), libraryRun("b", "playing", 1)}).empty());
  // A paid request set up twice, and a request that plays without a set-up.
  CHECK(compare(scriptOfOne(true), {libraryRun("a", "playing", 2)}).size() == 1);
  CHECK(compare(scriptOfOne(true), {libraryRun("a", "playing", 0)}).size() == 1);
  CHECK(compare(scriptOfOne(true), {libraryRun("a", "playing", 1), libraryRun("b", "unknown", 1)}).size() ==
        1);
  CHECK(compare(scriptOfOne(true), {libraryRun("a", "unknown", 0), libraryRun("b", "unknown", 1)}).size() ==
        1);
  LibraryRun withoutResult;
  withoutResult.name = "c";
  CHECK(compare(scriptOfOne(true), {libraryRun("a", "playing", 1), withoutResult}).size() == 1);
  // Numbers of set-ups may differ for safe requests.
  CHECK(compare(scriptOfOne(false), {libraryRun("a", "playing", 1), libraryRun("b", "playing", 3)}).empty());
}

TEST_CASE("The same seed gives the same script, every fault plan occurs, and lines survive a round trip") {
  const auto script = generate(700, 5), sameSeed = generate(700, 5), otherSeed = generate(700, 6);
  REQUIRE(script.size() == 700);
  std::map<std::string, int> requestsByPlan;
  bool differs = false;
  for (std::size_t i = 0; i < script.size(); ++i) {
    CHECK(toLine(script[i]) == toLine(sameSeed[i]));
    CHECK(toLine(parseSequence(toLine(script[i]))) == toLine(script[i]));
    differs = differs || toLine(script[i]) != toLine(otherSeed[i]);
    for (const ScriptedRequest& request : script[i].requests) {
      REQUIRE(findFaultPlan(request.title) != nullptr);
      if (findFaultPlan(request.title)->paidOnly) CHECK(request.paid);
      ++requestsByPlan[findFaultPlan(request.title)->name];
    }
  }
  CHECK(differs);
  CHECK(requestsByPlan.size() == faultPlans().size());
  CHECK_THROWS_AS(parseSequence("{}"), std::runtime_error);
  CHECK_THROWS_AS(parseSequence("nonsense"), std::runtime_error);
}
