#include <catch2/catch.hpp>

#include "media/nodes.h"
#include "media/rtsp.h"

using namespace lupinsill;
using namespace lupinsill::media;

TEST_CASE("A message comes back as it was, however the bytes are cut") {
  Message out;
  out.method = "SETUP";
  out.uri = formatStreamUri("127.0.0.1:9000", "a/b c?", "paid-class", 3);
  out.headers = {{"CSeq", "7"}, {"Transport", "RTP/AVP;unicast"}};
  out.body = "rung: 3\r\n";
  const std::string bytes = out.serialize() + out.serialize();
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    MessageParser reader;
    reader.feed(std::string_view(bytes).substr(0, cut));
    std::size_t got = 0;
    const auto drain = [&] {
      while (const auto message = reader.next()) {
        ++got;
        CHECK(message->uri == out.uri);
        CHECK(message->cseq() == 7);
        CHECK(message->header("transport") == "RTP/AVP;unicast");
        CHECK(message->body == out.body);
      }
    };
    drain();
    reader.feed(std::string_view(bytes).substr(cut));
    drain();
    CHECK(got == 2);
  }
  CHECK(percentDecode("front-1%3Ak") == "front-1:k");
  StreamUri named;
  REQUIRE(parseStreamUri(out.uri, named));
  CHECK(named.title == "a/b c?");
  CHECK(named.roomType == "paid-class");
  CHECK(named.rung == 3);
}

TEST_CASE("Bytes that can never become a message are refused, and an endless head is not kept") {
  const auto reads = [](const std::string& bytes) {
    MessageParser reader;
    reader.feed(bytes);
    reader.next();
  };
  CHECK_THROWS_AS(reads("HTTP/1.1 200 OK\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(reads("RTSP/2.0 abc\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(reads("PLAY * RTSP/1.0\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(reads("PLAY * RTSP/2.0\r\nno colon\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(reads("PLAY * RTSP/2.0\r\nContent-Length: -1\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(reads("PLAY * RTSP/2.0\r\nContent-Length: 999999\r\n\r\n"), RtspParseError);
  CHECK_THROWS_AS(reads(std::string(9000, 'x')), RtspParseError);
}

TEST_CASE("Only a refusal for want of room or service proves that a set-up never ran") {
  CHECK(outcomeForStatus(200) == Outcome::ok);
  CHECK(outcomeForStatus(453) == Outcome::full);
  CHECK(outcomeForStatus(503) == Outcome::full);
  for (const int status : {400, 404, 454, 455, 500, 501}) CHECK(outcomeForStatus(status) == Outcome::error);
}

TEST_CASE("Load reports: what is known is read, what is odd is left out") {
  LoadReport report;
  report.linkUse = 1.25;
  report.uplinkUse = 0.5;
  const OrcaReport back = parseOrca(formatOrca(report, 0.9));
  CHECK(*back.report.linkUse == Approx(1.25));
  CHECK(*back.report.uplinkUse == Approx(0.5));
  CHECK(*back.delivered == Approx(0.9));
  CHECK_FALSE(back.report.linkShare);
  const OrcaReport odd =
      parseOrca("TEXT application_utilization=nan, named_metrics.uplink=-1, cpu_utilization=0.3, x");
  CHECK_FALSE(odd.report.linkUse);
  CHECK_FALSE(odd.report.uplinkUse);
  CHECK_FALSE(parseOrca("BIN CAE=").report.linkUse);
}
