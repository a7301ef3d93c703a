// Tests of RTSP message parsing and serialization, stream URIs and ORCA load reports.
#include <catch2/catch.hpp>

#include "media/nodes.h"
#include "media/rtsp.h"

using namespace lupinsill;
using namespace lupinsill::media;

TEST_CASE("Messages are parsed unchanged wherever the bytes are split between reads") {
  Message sent;
  sent.method = "SETUP";
  sent.uri = formatStreamUri("127.0.0.1:9000", "a/b c?", "paid-class", 3);
  sent.headers = {{"CSeq", "7"}, {"Transport", "RTP/AVP;unicast"}};
  sent.body = "rung: 3\r\n";
  const std::string bytes = sent.serialize() + sent.serialize();
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    MessageParser parser;
    parser.feed(std::string_view(bytes).substr(0, split));
    std::size_t received = 0;
    const auto parseAll = [&] {
      while (const auto message = parser.next()) {
        ++received;
        CHECK(message->uri == sent.uri);
        CHECK(message->cseq() == 7);
        CHECK(message->header("transport") == "RTP/AVP;unicast");
        CHECK(message->body == sent.body);
      }
    };
    parseAll();
    parser.feed(std::string_view(bytes).substr(split));
    parseAll();
    CHECK(received == 2);
  }
  CHECK(percentDecode("front-1%3Ak") == "front-1:k");
  StreamUri streamUri;
  REQUIRE(parseStreamUri(sent.uri, streamUri));
  CHECK(streamUri.title == "a/b c?");
  CHECK(streamUri.roomType == "paid-class");
  CHECK(streamUri.rung == 3);
}

TEST_CASE("Malformed messages and oversized heads are rejected") {
  const auto parse = [](const std::string& bytes) {
    MessageParser parser;
    parser.feed(bytes);
    parser.next();
  };
  CHECK_THROWS_AS(parse("HTTP/1.1 200 OK\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(parse("RTSP/2.0 abc\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(parse("PLAY * RTSP/1.0\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(parse("PLAY * RTSP/2.0\r\nno colon\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(parse("PLAY * RTSP/2.0\r\nContent-Length: -1\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(parse("PLAY * RTSP/2.0\r\nContent-Length: 999999\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(parse(std::string(9000, 'x')), RtspParseError);
}

TEST_CASE("Only statuses 453 and 503 prove that a SETUP did not run") {
  CHECK(outcomeForStatus(200) == Outcome::ok);
  CHECK(outcomeForStatus(453) == Outcome::full);
  CHECK(outcomeForStatus(503) == Outcome::full);
  for (const int status : {400, 404, 454, 455, 500, 501}) CHECK(outcomeForStatus(status) == Outcome::error);
}

TEST_CASE("Load reports: known metrics are parsed, invalid values and unknown metrics are ignored") {
  LoadReport report;
  report.linkUse = 1.25;
  report.uplinkUse = 0.5;
  const OrcaReport parsed = parseOrca(formatOrca(report, 0.9));
  CHECK(*parsed.report.linkUse == Approx(1.25));
  CHECK(*parsed.report.uplinkUse == Approx(0.5));
  CHECK(*parsed.delivered == Approx(0.9));
  CHECK_FALSE(parsed.report.linkShare);
  const OrcaReport invalid =
      parseOrca("TEXT application_utilization=nan, named_metrics.uplink=-1, cpu_utilization=0.3, x");
  CHECK_FALSE(invalid.report.linkUse);
  CHECK_FALSE(invalid.report.uplinkUse);
  CHECK_FALSE(parseOrca("BIN CAE=").report.linkUse);
}
