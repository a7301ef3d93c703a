// How lists of nodes change the membership: versions out of order, restarts of the source, removals held
// back, drains reported by the nodes, and the stability of node ids.
#include <algorithm>
#include <catch2/catch.hpp>

#include "fleet/membership.h"
#include "fleet/node_id_registry.h"

using namespace lupinsill;
using namespace lupinsill::fleet;

namespace {

constexpr Micros second = 1'000'000;

NodeList listOf(std::uint64_t version, std::vector<NodeId> nodes) {
  NodeList list;
  list.version = version;
  for (const NodeId node : nodes) {
    NodeEndpoint endpoint;
    endpoint.node = node;
    endpoint.host = "127.0.0.1";
    endpoint.port = static_cast<int>(9000 + node);
    endpoint.cell = static_cast<int>(node) - 1;
    list.endpoints.push_back(endpoint);
  }
  return list;
}

// Eight cells, removals held back where more than half of the ready nodes are missing, for 400 us (half of
// the grace).
Membership newMembership() { return Membership(8, 0.5, 800); }

NodeState stateIn(const ListUpdate& update, NodeId node) {
  const auto it = std::find_if(update.entries.begin(), update.entries.end(),
                               [&](const ListEntry& entry) { return entry.node == node; });
  REQUIRE(it != update.entries.end());
  return it->state;
}

}  // namespace

TEST_CASE("Lists that are older than the applied one, or the same, change nothing") {
  Membership membership = newMembership();
  ListUpdate update;
  CHECK(membership.apply(0, listOf(3, {1, 2, 3, 4}), update) == UpdateResult::applied);
  CHECK(update.kind == ListKind::snapshot);
  CHECK(membership.apply(0, listOf(2, {1}), update) == UpdateResult::older);
  CHECK(membership.apply(0, listOf(3, {1}), update) == UpdateResult::same);
  CHECK(membership.endpoints().size() == 4);
  CHECK(membership.apply(0, listOf(4, {1, 2, 3}), update) == UpdateResult::applied);
  CHECK(update.kind == ListKind::changes);
  CHECK(update.entries.size() == 1);
  CHECK(stateIn(update, 4) == NodeState::gone);
}

TEST_CASE("A restored list is a cached snapshot, and the next list is a snapshot even at the same version") {
  Membership membership = newMembership();
  CHECK(membership.restore(listOf(7, {1, 2})).kind == ListKind::cachedSnapshot);
  ListUpdate update;
  CHECK(membership.apply(0, listOf(7, {1, 2, 3}), update) == UpdateResult::applied);
  CHECK(update.kind == ListKind::snapshot);
  CHECK(update.entries.size() == 3);
  CHECK(membership.apply(0, listOf(6, {1}), update) == UpdateResult::older);
}

TEST_CASE("Removals by a list that lost most of its entries are held back until they are confirmed") {
  Membership membership = newMembership();
  ListUpdate update;
  membership.apply(0, listOf(1, {1, 2, 3, 4}), update);
  SECTION("and cancelled where a later list has the nodes again") {
    CHECK(membership.apply(0, listOf(2, {1}), update) == UpdateResult::tooMuchGone);
    CHECK(update.entries.empty());
    CHECK(membership.find(3) != nullptr);
    CHECK(membership.apply(0, listOf(3, {1, 2, 3, 4}), update) == UpdateResult::applied);
    CHECK(membership.confirmRemovals(10'000).entries.empty());
    CHECK(membership.find(3) != nullptr);
  }
  SECTION("and applied after the hold-down otherwise") {
    membership.apply(0, listOf(2, {1}), update);
    // A repeat with a newer version does not extend the hold-down.
    CHECK(membership.apply(300, listOf(3, {1}), update) == UpdateResult::tooMuchGone);
    CHECK(membership.confirmRemovals(399).entries.empty());
    CHECK(membership.confirmRemovals(400).entries.size() == 3);
    CHECK(membership.find(3) == nullptr);
  }
  SECTION("while a state that a list names applies at once") {
    NodeList list = listOf(2, {1, 2, 3, 4});
    for (NodeEndpoint& endpoint : list.endpoints) endpoint.state = NodeState::draining;
    CHECK(membership.apply(0, list, update) == UpdateResult::applied);
    CHECK(update.entries.size() == 4);
  }
}

TEST_CASE("A drain reported by a node overrides lists until they show a restart of the node") {
  Membership membership = newMembership();
  ListUpdate update;
  membership.apply(0, listOf(1, {1, 2}), update);
  CHECK(stateIn(membership.markDraining(1), 1) == NodeState::draining);
  CHECK(membership.markDraining(1).entries.empty());
  membership.apply(0, listOf(2, {1, 2, 3}), update);
  CHECK(membership.find(1)->state == NodeState::draining);
  NodeList restarted = listOf(3, {1, 2, 3});
  restarted.endpoints[0].readyAt = 50;
  membership.apply(0, restarted, update);
  CHECK(stateIn(update, 1) == NodeState::ready);
}

TEST_CASE("Titles that a list does not name are in every cell unless the list says in none") {
  Membership membership = newMembership();
  ListUpdate update;
  NodeList list = listOf(1, {1});
  list.titles["a"] = {3, 2};
  membership.apply(0, list, update);
  CHECK(membership.placementOf("a").firstCell == 3);
  CHECK(membership.placementOf("b").holders == 8);
  list.version = 2;
  list.otherTitlesEverywhere = false;
  membership.apply(0, list, update);
  CHECK(membership.placementOf("b").holders == 0);
}

TEST_CASE("A list source whose versions start over is accepted after a while") {
  Membership membership = newMembership();
  ListUpdate update;
  membership.apply(0, listOf(900, {1, 2}), update);
  for (int i = 1; i < 50; ++i)
    membership.apply(i * second, listOf(static_cast<std::uint64_t>(i), {1, 2, 3}), update);
  CHECK(membership.find(3) != nullptr);
}

TEST_CASE("Delayed lists are not taken for a restart of the source") {
  Membership membership = newMembership();
  ListUpdate update;
  membership.apply(0, listOf(900, {1, 2}), update);
  Micros now = 0;
  SECTION("only older versions, but for less than 30 s") {
    for (int i = 0; i < 28; ++i) membership.apply(now += second, listOf(100, {1, 2, 3}), update);
  }
  SECTION("older versions for long, between newer ones") {
    for (int i = 0; i < 100; ++i)
      membership.apply(now += second, listOf(i % 9 == 8 ? 900 : 100, {1, 2, 3}), update);
  }
  SECTION("older versions for long, not in rising order") {
    for (int i = 0; i < 100; ++i)
      membership.apply(now += second, listOf(i % 9 == 8 ? 50 : 100, {1, 2, 3}), update);
  }
  CHECK(membership.find(3) == nullptr);
  CHECK(membership.version() == 900);
}

TEST_CASE("A node that drained before its list source restarted drains on until the node itself restarts") {
  Membership membership = newMembership();
  ListUpdate update;
  NodeList before = listOf(900, {1, 2});
  before.endpoints[0].state = before.endpoints[1].state = NodeState::draining;
  membership.apply(0, before, update);
  for (int i = 1; i < 40; ++i) {
    NodeList after = listOf(static_cast<std::uint64_t>(i), {1, 2, 3});
    after.endpoints[1].readyAt = 5;
    membership.apply(i * second, after, update);
  }
  REQUIRE(membership.find(3) != nullptr);
  CHECK(membership.find(1)->state == NodeState::draining);
  CHECK(membership.find(2)->state == NodeState::ready);
}

TEST_CASE("A name keeps its id through lists that are held back, the same or older") {
  Membership membership = newMembership();
  NodeIdRegistry registry;
  const auto apply = [&](std::uint64_t version, const std::vector<std::string>& names, Micros now) {
    NodeList list = listOf(version, {});
    for (const std::string& name : names) {
      NodeEndpoint endpoint;
      endpoint.node = registry.idOf(name);
      list.endpoints.push_back(endpoint);
    }
    ListUpdate update;
    const UpdateResult result = membership.apply(now, list, update);
    registry.retain(membership.endpoints());
    return result;
  };
  apply(5, {"a", "b", "c", "d"}, 0);
  const std::optional<NodeId> b = registry.find("b");
  REQUIRE(b);
  SECTION("held back") { CHECK(apply(6, {"a"}, 100) == UpdateResult::tooMuchGone); }
  SECTION("the same version") { CHECK(apply(5, {"a"}, 100) == UpdateResult::same); }
  SECTION("older") { CHECK(apply(4, {"a"}, 100) == UpdateResult::older); }
  CHECK(registry.find("b") == b);
  CHECK(membership.find(*b) != nullptr);
  CHECK(apply(7, {"a", "b", "c", "d"}, 200) == UpdateResult::applied);
  CHECK(registry.find("b") == b);
  // A node that was removed and returns gets a new id.
  CHECK(apply(8, {"a", "c", "d"}, 300) == UpdateResult::applied);
  CHECK(!registry.find("b"));
  CHECK(apply(9, {"a", "b", "c", "d"}, 400) == UpdateResult::applied);
  CHECK(registry.find("b") != b);
}
