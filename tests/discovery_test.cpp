// The name server's answers: what is read, and what is no whole answer.
#include "discovery_test.h"

#include <catch2/catch.hpp>
#include <random>

#include "discovery/dns.h"

using namespace lupinsill;
using tests::DnsWriter;

namespace {
const std::string service = "_api._tcp.svc.local";
const std::vector<tests::NodeRow> two = {
    {"s-00c41f7a", "east", "std", "10.1.0.9", 5070, 2, false, 0},
    {"s-0000aaaa", "west", "big", "10.1.0.10", 5071, 3, true, 1'700'000'000'000}};
}  // namespace

TEST_CASE("A whole list is read, its names compressed") {
  const auto answer = discovery::read(DnsWriter::answer(77, 41, two), service);
  REQUIRE(answer);
  CHECK((answer->number == 77 && answer->serial == 41));
  REQUIRE(answer->rows.size() == 2);
  const discovery::Row& first = answer->rows[0];
  CHECK((first.name == "s-00c41f7a" && first.zone == "east" && first.kind == "std"));
  CHECK((first.host == "10.1.0.9" && first.port == 5070 && first.cell == 2 && first.weight == 4));
  CHECK((!first.draining && first.startedMs == 0));
  CHECK((answer->rows[1].draining && answer->rows[1].startedMs == 1'700'000'000'000));
}

TEST_CASE("Failures, other questions and cut answers are none") {
  const std::string good = DnsWriter::answer(77, 41, two);
  CHECK(!discovery::read(DnsWriter::answer(77, 41, two, 2), service));
  CHECK(!discovery::read(DnsWriter::answer(77, 41, two, 0, "_other._tcp.svc.local"), service));
  CHECK(!discovery::read(discovery::question(77, service), service));
  for (std::size_t size = 0; size < good.size(); ++size)
    CHECK(!discovery::read(good.substr(0, size), service));
  std::string truncated = good;
  truncated[2] = static_cast<char>(truncated[2] | 2);
  CHECK(!discovery::read(truncated, service));
}

TEST_CASE("Noise is read or refused, never anything else") {
  std::minstd_rand chance(3);
  const std::string good = DnsWriter::answer(77, 41, two);
  std::size_t refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (unsigned n = chance() % 6 + 1; n > 0; --n)
      bytes[chance() % bytes.size()] = static_cast<char>(chance());
    if (!discovery::read(bytes, service)) ++refused;
  }
  CHECK(refused > 1'000);
}
