// The judge of client libraries: each kind of difference and breach is found, and nothing else is.
#include <catch2/catch.hpp>

#include "client_script/script.h"

using namespace lupinsill::client_script;

namespace {

LibraryRun played(const std::string& name, const std::string& result, int setUps) {
  LibraryRun library;
  library.name = name;
  library.played[1] = {1, {result}};
  if (setUps > 0) library.setUps["lose.1.0." + name] = setUps;
  return library;
}
std::vector<Sequence> one(bool paid) { return {{1, 7, {{"lose.1.0", "room", paid, 1'000'000}}}}; }

}  // namespace

TEST_CASE("Libraries that did the same pass; each kind of difference or breach is found") {
  CHECK(compare(one(true), {played("a", "playing", 1), played("b", "playing", 1)}).empty());
  CHECK(compare(one(true), {played("a", "playing", 2)}).size() == 1);  // a paid wish, twice
  CHECK(compare(one(true), {played("a", "playing", 0)}).size() == 1);  // a yes without a set-up
  CHECK(compare(one(true), {played("a", "playing", 1), played("b", "unknown", 1)}).size() == 1);
  CHECK(compare(one(true), {played("a", "unknown", 0), played("b", "unknown", 1)}).size() == 1);
  LibraryRun silent;
  silent.name = "c";
  CHECK(compare(one(true), {played("a", "playing", 1), silent}).size() == 1);
  // How often a safe wish is set up is the director's to weigh.
  CHECK(compare(one(false), {played("a", "playing", 1), played("b", "playing", 3)}).empty());
}

TEST_CASE(
    "The same seed draws the same script, every plan of its kind comes, and lines come back as they went") {
  const auto script = generate(700, 5), again = generate(700, 5), other = generate(700, 6);
  REQUIRE(script.size() == 700);
  std::map<std::string, int> seen;
  bool differs = false;
  for (std::size_t i = 0; i < script.size(); ++i) {
    CHECK(toLine(script[i]) == toLine(again[i]));
    CHECK(toLine(parseSequence(toLine(script[i]))) == toLine(script[i]));
    differs = differs || toLine(script[i]) != toLine(other[i]);
    for (const ScriptedRequest& wish : script[i].requests) {
      REQUIRE(findFaultPlan(wish.title) != nullptr);
      if (findFaultPlan(wish.title)->paidOnly) CHECK(wish.paid);
      ++seen[findFaultPlan(wish.title)->name];
    }
  }
  CHECK(differs);
  CHECK(seen.size() == faultPlans().size());
  CHECK_THROWS_AS(parseSequence("{}"), std::runtime_error);
  CHECK_THROWS_AS(parseSequence("nonsense"), std::runtime_error);
}
