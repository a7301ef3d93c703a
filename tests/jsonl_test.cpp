// The platform's messages: what is read, what is refused, and that what is refused costs its line alone.
#include <catch2/catch.hpp>
#include <random>

#include "jsonl/message.h"

using namespace lupinsill::jsonl;

TEST_CASE("A set-up is read whole, and written anew it says the same") {
  Reader reader;
  reader.feed(R"({"op":"offer","call":"9b1f03aa5c7e2d41","with":{"class":"paid","left":"1500","n":3},)");
  CHECK(!reader.next());
  reader.feed(
      "\"desc\":\"9d\\r\\nc=IN\\r\\n\"}\n{\"op\":\"end\",\"call\":\"9b1f03aa5c7e2d41\",\"with\":{},\"why\":"
      "34}\n");
  const auto offer = reader.next();
  REQUIRE(offer);
  CHECK(offer->op == Op::offer);
  CHECK(*offer->find("left") == "1500");
  CHECK(*offer->find("n") == "3");
  CHECK(*offer->desc == "9d\r\nc=IN\r\n");
  const auto end = reader.next();
  REQUIRE(end);
  CHECK((end->op == Op::end && end->why == 34));
  CHECK(!reader.next());
  const std::string bytes = bytesOf(*offer);
  const Message again = parse(std::string_view(bytes).substr(0, bytes.size() - 1));
  CHECK(bytesOf(again) == bytes);
  CHECK(*again.desc == *offer->desc);
}

TEST_CASE("What is no message is refused") {
  for (const char* line :
       {"", "{", "[]", "nonsense", "{}", R"({"op":"end"})", R"({"op":1,"call":"9b1f03aa5c7e2d41"})",
        R"({"op":"end","call":"9b1f"})", R"({"op":"end","call":"9b1f03aa5c7e2dzz"})",
        R"({"op":"end","call":"9b1f03aa5c7e2d41","with":[1]})",
        R"({"op":"end","call":"9b1f03aa5c7e2d41","with":{"a":{}}})",
        R"({"op":"end","call":"9b1f03aa5c7e2d41","why":"x"})",
        R"({"op":"end","call":"9b1f03aa5c7e2d41","why":-5})",
        R"({"op":"end","call":"9b1f03aa5c7e2d41","why":18446744073709551615})",
        R"({"op":"end","call":"9b1f03aa5c7e2d41","desc":7})",
        "{\"op\":\"end\",\"call\":\"9b1f03aa5c7e2d41\",\"desc\":\"\xff\xfe\"}"}) {
    INFO(line);
    CHECK_THROWS_AS(parse(line), BadLine);
  }
}

TEST_CASE("A message that never ends is refused once it is longer than one may be") {
  Reader reader;
  reader.feed(std::string(longest - 1, 'x'));
  CHECK(!reader.next());
  reader.feed("x");
  CHECK_THROWS_AS(reader.next(), BadLine);
  Reader whole;
  whole.feed(std::string(longest, ' ') + "\n");
  CHECK_THROWS_AS(whole.next(), BadLine);
}

TEST_CASE("Spoilt bytes are read or refused, never anything else") {
  std::minstd_rand chance(7);
  const std::string good =
      R"({"op":"accept","call":"9b1f03aa5c7e2d41","with":{"load":"cpu:0.3;x1:0.5"},"desc":"a\r\n"})"
      "\n";
  std::size_t refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (unsigned n = chance() % 4 + 1; n > 0; --n)
      bytes[chance() % bytes.size()] = static_cast<char>(chance());
    Reader reader;
    reader.feed(bytes);
    try {
      while (reader.next()) continue;
    } catch (const BadLine&) {
      ++refused;
    }
  }
  CHECK(refused > 10'000);
}

TEST_CASE("Numbers are whole texts within their bounds") {
  CHECK(*realOf("8200.0", 0, 1e9) == 8200);
  for (const char* text : {"", "x", "1x", "nan", "inf", "1e400", "-1", "2e9", " 1"})
    CHECK(!realOf(text, 0, 1e9));
  CHECK(*wholeOf("4", 0, 9) == 4);
  CHECK(!wholeOf("4.5", 0, 9));
  CHECK(!wholeOf("10", 0, 9));
  const auto pairs = pairsOf("home:4;copies:3;at:s-1");
  CHECK((pairs.at("home") == "4" && pairs.at("at") == "s-1"));
  CHECK(pairsOf("").empty());
  CHECK_THROWS_AS(pairsOf("home"), BadLine);
  CHECK_THROWS_AS(pairsOf(":4"), BadLine);
}
