// Tests the parsing of DNS answers: complete ones are read, all others are rejected.
#include "discovery_test.h"

#include <catch2/catch.hpp>
#include <random>

#include "discovery/dns.h"

using namespace lupinsill;
using tests::DnsWriter;

namespace {
const std::string service = "_api._tcp.svc.local";
const std::vector<tests::NodeRow> twoNodes = {
    {"s-00c41f7a", "east", "std", "10.1.0.9", 5070, 2, false, 0},
    {"s-0000aaaa", "west", "big", "10.1.0.10", 5071, 3, true, 1'700'000'000'000}};
}  // namespace

TEST_CASE("A complete list with compressed names is read") {
  const auto answer = discovery::parseAnswer(DnsWriter::answer(77, 41, twoNodes), service);
  REQUIRE(answer);
  CHECK((answer->queryId == 77 && answer->serial == 41));
  REQUIRE(answer->nodes.size() == 2);
  const discovery::NodeRecord& first = answer->nodes[0];
  CHECK((first.name == "s-00c41f7a" && first.zone == "east" && first.kind == "std"));
  CHECK((first.host == "10.1.0.9" && first.port == 5070 && first.cell == 2 && first.weight == 4));
  CHECK((!first.draining && first.startedMs == 0));
  CHECK((answer->nodes[1].draining && answer->nodes[1].startedMs == 1'700'000'000'000));
}

TEST_CASE("Failures, answers to other queries and truncated answers are rejected") {
  const std::string valid = DnsWriter::answer(77, 41, twoNodes);
  CHECK(!discovery::parseAnswer(DnsWriter::answer(77, 41, twoNodes, 2), service));
  CHECK(!discovery::parseAnswer(DnsWriter::answer(77, 41, twoNodes, 0, "_other._tcp.svc.local"), service));
  CHECK(!discovery::parseAnswer(discovery::buildQuery(77, service), service));
  for (std::size_t size = 0; size < valid.size(); ++size)
    CHECK(!discovery::parseAnswer(valid.substr(0, size), service));
  std::string truncated = valid;
  truncated[2] = static_cast<char>(truncated[2] | 2);
  CHECK(!discovery::parseAnswer(truncated, service));
}

TEST_CASE("Corrupted answers are parsed or rejected, without a crash") {
  std::minstd_rand random(3);
  const std::string valid = DnsWriter::answer(77, 41, twoNodes);
  std::size_t refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid;
    for (unsigned n = random() % 6 + 1; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (!discovery::parseAnswer(bytes, service)) ++refused;
  }
  CHECK(refused > 1'000);
}
