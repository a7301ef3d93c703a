// The judge of client libraries: each kind of difference and breach is found, and nothing else is.
#include <catch2/catch.hpp>

#include "client_script/script.h"

using namespace lupinsill::client_script;

namespace {

Library played(const std::string& name, const std::string& result, int setUps) {
  Library library;
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
  Library silent;
  silent.name = "c";
  CHECK(compare(one(true), {played("a", "playing", 1), silent}).size() == 1);
  // How often a safe wish is set up is the director's to weigh.
  CHECK(compare(one(false), {played("a", "playing", 1), played("b", "playing", 3)}).empty());
}

TEST_CASE(
    "The same seed draws the same script, every plan of its kind comes, and lines come back as they went") {
  const auto script = draw(700, 5), again = draw(700, 5), other = draw(700, 6);
  REQUIRE(script.size() == 700);
  std::map<std::string, int> seen;
  bool differs = false;
  for (std::size_t i = 0; i < script.size(); ++i) {
    CHECK(lineOf(script[i]) == lineOf(again[i]));
    CHECK(lineOf(readLine(lineOf(script[i]))) == lineOf(script[i]));
    differs = differs || lineOf(script[i]) != lineOf(other[i]);
    for (const WishLine& wish : script[i].wishes) {
      REQUIRE(planOf(wish.title) != nullptr);
      if (planOf(wish.title)->paidOnly) CHECK(wish.paid);
      ++seen[planOf(wish.title)->name];
    }
  }
  CHECK(differs);
  CHECK(seen.size() == plans().size());
  CHECK_THROWS_AS(readLine("{}"), std::runtime_error);
  CHECK_THROWS_AS(readLine("nonsense"), std::runtime_error);
}
