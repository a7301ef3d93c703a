#include <algorithm>
#include <catch2/catch.hpp>

#include "fleet/membership.h"
#include "fleet/node_id_registry.h"

using namespace lupinsill;
using namespace lupinsill::fleet;

namespace {

NodeList word(std::uint64_t version, std::vector<NodeId> nodes) {
  NodeList w;
  w.version = version;
  for (const NodeId n : nodes) {
    NodeEndpoint endpoint;
    endpoint.node = n;
    endpoint.host = "127.0.0.1";
    endpoint.port = static_cast<int>(9000 + n);
    endpoint.cell = static_cast<int>(n) - 1;
    w.endpoints.push_back(endpoint);
  }
  return w;
}

NodeState stateIn(const ListUpdate& told, NodeId node) {
  const auto it = std::find_if(told.entries.begin(), told.entries.end(),
                               [&](const ListEntry& e) { return e.node == node; });
  REQUIRE(it != told.entries.end());
  return it->state;
}

}  // namespace

TEST_CASE("Words out of order and words said twice change nothing") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  CHECK(m.apply(0, word(3, {1, 2, 3, 4}), told) == UpdateResult::applied);
  CHECK(told.kind == ListKind::snapshot);
  CHECK(m.apply(0, word(2, {1}), told) == UpdateResult::older);
  CHECK(m.apply(0, word(3, {1}), told) == UpdateResult::same);
  CHECK(m.endpoints().size() == 4);
  CHECK(m.apply(0, word(4, {1, 2, 3}), told) == UpdateResult::applied);
  CHECK(told.kind == ListKind::changes);
  CHECK(told.entries.size() == 1);
  CHECK(stateIn(told, 4) == NodeState::gone);
}

TEST_CASE(
    "The list of before a restart is a warm copy, and the next word is whole though its number is old") {
  Membership m(8, 0.5, 800);
  CHECK(m.restore(word(7, {1, 2})).kind == ListKind::cachedSnapshot);
  ListUpdate told;
  CHECK(m.apply(0, word(7, {1, 2, 3}), told) == UpdateResult::applied);
  CHECK(told.kind == ListKind::snapshot);
  CHECK(told.entries.size() == 3);
  CHECK(m.apply(0, word(6, {1}), told) == UpdateResult::older);
}

TEST_CASE("A list that lost most of its entries is held back until it is confirmed") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  m.apply(0, word(1, {1, 2, 3, 4}), told);
  SECTION("and may prove to have been a slip") {
    CHECK(m.apply(0, word(2, {1}), told) == UpdateResult::tooMuchGone);
    CHECK(told.entries.empty());
    CHECK(m.find(3) != nullptr);
    CHECK(m.apply(0, word(3, {1, 2, 3, 4}), told) == UpdateResult::applied);
    CHECK(m.confirmRemovals(10'000).entries.empty());
    CHECK(m.find(3) != nullptr);
  }
  SECTION("or to be meant") {
    m.apply(0, word(2, {1}), told);
    // Said again meanwhile: the doubt ends no later for it, within the grace in any case.
    CHECK(m.apply(300, word(3, {1}), told) == UpdateResult::tooMuchGone);
    CHECK(m.confirmRemovals(399).entries.empty());
    CHECK(m.confirmRemovals(400).entries.size() == 3);
    CHECK(m.find(3) == nullptr);
  }
  SECTION("while what it says aloud holds at once") {
    NodeList w = word(2, {1, 2, 3, 4});
    for (NodeEndpoint& endpoint : w.endpoints) endpoint.state = NodeState::draining;
    CHECK(m.apply(0, w, told) == UpdateResult::applied);
    CHECK(told.entries.size() == 4);
  }
}

TEST_CASE("A node's own word that it drains outlives lists that know nothing of it") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  m.apply(0, word(1, {1, 2}), told);
  CHECK(stateIn(m.markDraining(1), 1) == NodeState::draining);
  CHECK(m.markDraining(1).entries.empty());
  m.apply(0, word(2, {1, 2, 3}), told);
  CHECK(m.find(1)->state == NodeState::draining);
  NodeList again = word(3, {1, 2, 3});
  again.endpoints[0].readyAt = 50;
  m.apply(0, again, told);
  CHECK(stateIn(told, 1) == NodeState::ready);
}

TEST_CASE("Titles: those not named are everywhere unless the list says nowhere") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  NodeList w = word(1, {1});
  w.titles["a"] = {3, 2};
  m.apply(0, w, told);
  CHECK(m.where("a").firstCell == 3);
  CHECK(m.where("b").holders == 8);
  w.version = 2;
  w.otherTitlesEverywhere = false;
  m.apply(0, w, told);
  CHECK(m.where("b").holders == 0);
}

TEST_CASE("A list source whose versions start over is heard in the end") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  m.apply(0, word(900, {1, 2}), told);
  for (int i = 1; i < 50; ++i) m.apply(i * 1'000'000, word(static_cast<std::uint64_t>(i), {1, 2, 3}), told);
  CHECK(m.find(3) != nullptr);
}

TEST_CASE("Late words among newer ones, and a few seconds of nothing but old ones, are no new start") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  m.apply(0, word(900, {1, 2}), told);
  Micros now = 0;
  SECTION("old ones for a while") {
    for (int i = 0; i < 28; ++i) m.apply(now += 1'000'000, word(100, {1, 2, 3}), told);
  }
  SECTION("old ones for long, but among newer ones") {
    for (int i = 0; i < 100; ++i) m.apply(now += 1'000'000, word(i % 9 == 8 ? 900 : 100, {1, 2, 3}), told);
  }
  SECTION("old ones in no order") {
    for (int i = 0; i < 100; ++i) m.apply(now += 1'000'000, word(i % 9 == 8 ? 50 : 100, {1, 2, 3}), told);
  }
  CHECK(m.find(3) == nullptr);
  CHECK(m.version() == 900);
}

TEST_CASE("What drained before its source started over drains on, until it started anew itself") {
  Membership m(8, 0.5, 800);
  ListUpdate told;
  NodeList before = word(900, {1, 2});
  before.endpoints[0].state = before.endpoints[1].state = NodeState::draining;
  m.apply(0, before, told);
  for (int i = 1; i < 40; ++i) {
    NodeList again = word(static_cast<std::uint64_t>(i), {1, 2, 3});
    again.endpoints[1].readyAt = 5;
    m.apply(i * 1'000'000, again, told);
  }
  REQUIRE(m.find(3) != nullptr);
  CHECK(m.find(1)->state == NodeState::draining);
  CHECK(m.find(2)->state == NodeState::ready);
}

TEST_CASE("A name keeps its number through words that are doubted, known already or older") {
  Membership m(8, 0.5, 800);
  NodeIdRegistry numbers;
  const auto say = [&](std::uint64_t version, const std::vector<std::string>& names, Micros now) {
    NodeList w = word(version, {});
    for (const std::string& name : names) {
      NodeEndpoint endpoint;
      endpoint.node = numbers.idOf(name);
      w.endpoints.push_back(endpoint);
    }
    ListUpdate told;
    const UpdateResult taken = m.apply(now, w, told);
    numbers.retain(m.endpoints());
    return taken;
  };
  say(5, {"a", "b", "c", "d"}, 0);
  const std::optional<NodeId> b = numbers.find("b");
  REQUIRE(b);
  SECTION("doubted") { CHECK(say(6, {"a"}, 100) == UpdateResult::tooMuchGone); }
  SECTION("known already") { CHECK(say(5, {"a"}, 100) == UpdateResult::same); }
  SECTION("older") { CHECK(say(4, {"a"}, 100) == UpdateResult::older); }
  CHECK(numbers.find("b") == b);
  CHECK(m.find(*b) != nullptr);
  CHECK(say(7, {"a", "b", "c", "d"}, 200) == UpdateResult::applied);
  CHECK(numbers.find("b") == b);
  // One that really went and comes back is another.
  CHECK(say(8, {"a", "c", "d"}, 300) == UpdateResult::applied);
  CHECK(!numbers.find("b"));
  CHECK(say(9, {"a", "b", "c", "d"}, 400) == UpdateResult::applied);
  CHECK(numbers.find("b") != b);
}
