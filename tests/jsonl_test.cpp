// Tests the JSON lines protocol: which messages are accepted, which are rejected, and that no input has any
// other outcome.
#include <catch2/catch.hpp>
#include <random>

#include "jsonl/message.h"

using namespace lupinsill::jsonl;

TEST_CASE("An offer is parsed completely and serialized without a change") {
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
  CHECK(*offer->description == "9d\r\nc=IN\r\n");
  const auto end = reader.next();
  REQUIRE(end);
  CHECK((end->op == Op::end && end->reasonCode == 34));
  CHECK(!reader.next());
  const std::string bytes = serialize(*offer);
  const Message again = parse(std::string_view(bytes).substr(0, bytes.size() - 1));
  CHECK(serialize(again) == bytes);
  CHECK(*again.description == *offer->description);
}

TEST_CASE("Invalid messages are rejected") {
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
    CHECK_THROWS_AS(parse(line), ParseError);
  }
}

TEST_CASE("A message over the maximum length is rejected before its end") {
  Reader reader;
  reader.feed(std::string(maxMessageBytes - 1, 'x'));
  CHECK(!reader.next());
  reader.feed("x");
  CHECK_THROWS_AS(reader.next(), ParseError);
  Reader whole;
  whole.feed(std::string(maxMessageBytes, ' ') + "\n");
  CHECK_THROWS_AS(whole.next(), ParseError);
}

TEST_CASE("Corrupted bytes are parsed or rejected, without crash or other exception") {
  std::minstd_rand random(7);
  const std::string valid =
      R"({"op":"accept","call":"9b1f03aa5c7e2d41","with":{"load":"cpu:0.3;x1:0.5"},"desc":"a\r\n"})"
      "\n";
  std::size_t refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid;
    for (unsigned n = random() % 4 + 1; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    Reader reader;
    reader.feed(bytes);
    try {
      while (reader.next()) continue;
    } catch (const ParseError&) {
      ++refused;
    }
  }
  CHECK(refused > 10'000);
}

TEST_CASE("Numbers must span the whole text and lie within their bounds") {
  CHECK(*parseNumber("8200.0", 0, 1e9) == 8200);
  for (const char* text : {"", "x", "1x", "nan", "inf", "1e400", "-1", "2e9", " 1"})
    CHECK(!parseNumber(text, 0, 1e9));
  CHECK(*parseInteger("4", 0, 9) == 4);
  CHECK(!parseInteger("4.5", 0, 9));
  CHECK(!parseInteger("10", 0, 9));
  const auto pairs = parsePairs("home:4;copies:3;at:s-1");
  CHECK((pairs.at("home") == "4" && pairs.at("at") == "s-1"));
  CHECK(parsePairs("").empty());
  CHECK_THROWS_AS(parsePairs("home"), ParseError);
  CHECK_THROWS_AS(parsePairs(":4"), ParseError);
}
