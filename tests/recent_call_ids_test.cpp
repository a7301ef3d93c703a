// Tests RecentCallIds: for how long and how many IDs it remembers.
#include <catch2/catch.hpp>
#include <cstdio>

#include "session/recent_call_ids.h"

using lupinsill::session::RecentCallIds;

namespace {

std::string idOf(std::size_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016zx", number);
  return text;
}

}  // namespace

TEST_CASE("A recorded call ID is remembered for the retention time, in either case of its digits") {
  RecentCallIds ids;
  CHECK(!ids.contains(0, "00000000000000ab"));
  ids.record(5, "00000000000000ab");
  CHECK(ids.contains(5, "00000000000000AB"));
  CHECK(!ids.contains(5, "00000000000000ac"));
  CHECK(ids.contains(5 + RecentCallIds::retention, "00000000000000ab"));
  CHECK(!ids.contains(6 + RecentCallIds::retention, "00000000000000ab"));
  CHECK(ids.size() == 0);
}

// Guards against memory that grows under a flood of ever new IDs.
TEST_CASE("No more call IDs are remembered than the capacity and the oldest is dropped first") {
  RecentCallIds ids;
  for (std::size_t i = 0; i < RecentCallIds::capacity; ++i) ids.record(1, idOf(i));
  ids.record(1, idOf(7));  // known already
  CHECK(ids.contains(1, idOf(0)));
  ids.record(1, idOf(RecentCallIds::capacity));
  CHECK(ids.size() == RecentCallIds::capacity);
  CHECK(!ids.contains(1, idOf(0)));
  CHECK(ids.contains(1, idOf(1)));
  CHECK(ids.contains(1, idOf(RecentCallIds::capacity)));
}
