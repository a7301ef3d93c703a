// Tests EarlyReleases: what is recorded, for how many calls, and what is returned.
#include <catch2/catch.hpp>
#include <string>

#include "session/early_releases.h"

using lupinsill::Outcome;
using lupinsill::session::EarlyReleases;

TEST_CASE("An early release is returned once, for its own call only") {
  EarlyReleases releases;
  CHECK(releases.record("000000000000000a", Outcome::ok));
  CHECK(releases.record("000000000000000b", Outcome::reset));
  CHECK(!releases.take("000000000000000c"));
  CHECK(releases.take("000000000000000a") == Outcome::ok);
  CHECK(!releases.take("000000000000000a"));
  CHECK(releases.take("000000000000000b") == Outcome::reset);
}

TEST_CASE("The first of several early releases of a call counts") {
  EarlyReleases releases;
  CHECK(releases.record("000000000000000a", Outcome::ok));
  CHECK(!releases.record("000000000000000a", Outcome::reset));
  CHECK(releases.size() == 1);
  CHECK(releases.take("000000000000000a") == Outcome::ok);
}

// Guards against a node that makes the process grow, or that pushes out its earlier releases.
TEST_CASE("Early releases beyond the capacity are not recorded, and the earlier ones stay") {
  EarlyReleases releases;
  const auto call = [](std::size_t number) { return "call-" + std::to_string(number); };
  for (std::size_t i = 0; i < EarlyReleases::capacity; ++i) CHECK(releases.record(call(i), Outcome::ok));
  CHECK(!releases.record(call(EarlyReleases::capacity), Outcome::ok));
  CHECK(releases.size() == EarlyReleases::capacity);
  CHECK(!releases.take(call(EarlyReleases::capacity)));
  CHECK(releases.take(call(0)) == Outcome::ok);
  CHECK(releases.record(call(EarlyReleases::capacity), Outcome::ok));
  releases.clear();
  CHECK(releases.size() == 0);
  CHECK(!releases.take(call(1)));
}
