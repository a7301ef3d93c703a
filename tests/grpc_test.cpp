// gRPC's framing: what is taken, what is refused, and that a status says whether gRPC may try again.
#include <catch2/catch.hpp>
#include <random>

#include "grpc/messages.h"

using namespace lupinsill;
using namespace lupinsill::grpc;

TEST_CASE("Messages come whole whatever the pieces are, and faults are told apart") {
  std::string bytes;
  for (int i = 0; i < 40; ++i) bytes += lengthPrefixed(std::string(static_cast<std::size_t>(i * 7), 'x'));
  std::minstd_rand chance(3);
  MessageReader reader(1000);
  int whole = 0;
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t n = std::min<std::size_t>(1 + chance() % 50, bytes.size() - at);
    REQUIRE(reader.feed({bytes.data() + at, n}));
    at += n;
    while (const auto message = reader.next())
      CHECK(message->size() == static_cast<std::size_t>(7 * whole++));
  }
  CHECK(whole == 40);
  CHECK(reader.atMessageBoundary());
  MessageReader large(10), compressed(10), flag(10);
  CHECK_FALSE(large.feed(lengthPrefixed(std::string(11, 'x'))));
  CHECK(large.fault() == MessageReader::Fault::tooLarge);
  CHECK_FALSE(compressed.feed(std::string("\1\0\0\0\1x", 6)));
  CHECK(compressed.fault() == MessageReader::Fault::compressed);
  CHECK_FALSE(flag.feed(std::string("\7\0\0\0\1x", 6)));
  CHECK(flag.fault() == MessageReader::Fault::badFlag);
}

TEST_CASE("Timeouts in every unit; what is none is none") {
  CHECK(parseTimeout("2S") == 2'000'000);
  CHECK(parseTimeout("1500m") == 1'500'000);
  CHECK(parseTimeout("7u") == 7);
  CHECK(parseTimeout("7000n") == 7);
  CHECK(parseTimeout("1M") == 60'000'000);
  CHECK(parseTimeout("1H") == 3'600'000'000);
  for (const char* text : {"", "S", "1", "x5S", "5s", "123456789S", "-1S"}) CHECK_FALSE(parseTimeout(text));
  for (const Micros span : {Micros{1}, Micros{99'999'999}, Micros{100'000'000}, Micros{7'200'000'000'000}})
    CHECK(*parseTimeout(formatTimeout(span)) / 1'000'000 == span / 1'000'000);
}

TEST_CASE("A throttle may be tried again by gRPC itself when we say; nothing else may") {
  session_api::AnswerMessage answer;
  answer.kind = session_api::AnswerKind::throttled;
  answer.reason = "no-room";
  answer.retryAfter = 250'001;
  Headers headers = trailersOf(answer);
  CHECK(headerValue(headers, "grpc-status") == "8");
  CHECK(headerValue(headers, "grpc-retry-pushback-ms") == "251");
  const Trailers back = parseTrailers(headers);
  CHECK(back.fromDirector);
  CHECK(back.answer.kind == session_api::AnswerKind::throttled);
  CHECK(back.answer.reason == "no-room");
  CHECK(back.answer.retryAfter == 251'000);
  for (const char* reason : {"may-have-run", "ended", "elsewhere", "failed"}) {
    answer.kind = session_api::AnswerKind::terminated;
    answer.reason = reason;
    headers = trailersOf(answer);
    CHECK(headerValue(headers, "grpc-retry-pushback-ms") == "-1");
    CHECK(parseTrailers(headers).answer.kind == session_api::AnswerKind::terminated);
  }
}

TEST_CASE("Bad words of players are named, good ones come back as they were") {
  session_api::PlayMessage ask;
  ask.key = "front-1:k", ask.viewer = "v", ask.title = "t", ask.room = "r", ask.top = 3,
  ask.timeout = 5'000'000;
  PlayerMessage word = parsePlayerMessage(bytesOf(ask));
  REQUIRE(word.kind == PlayerMessage::Kind::ask);
  CHECK(word.ask.key == "front-1:k");
  CHECK(word.ask.timeout == 5'000'000);
  CHECK(word.ask.top == 3);
  ask.viewer = std::string(129, 'v');
  CHECK(parsePlayerMessage(bytesOf(ask)).fault == "viewer: 1 to 128 bytes expected");
  CHECK(parsePlayerMessage("\xff\xff").kind == PlayerMessage::Kind::bad);
  CHECK(parsePlayerMessage("").kind == PlayerMessage::Kind::bad);
  CHECK(parsePlayerMessage(serializeLeave()).kind == PlayerMessage::Kind::leave);
  std::minstd_rand chance(9);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = bytesOf(ask);
    for (int n = 0; n < 3; ++n) bytes[chance() % bytes.size()] = static_cast<char>(chance());
    // What is let through may be carried on: logs, headers and files take it as it is.
    const PlayerMessage bent = parsePlayerMessage(bytes);
    if (bent.kind != PlayerMessage::Kind::ask) continue;
    for (const std::string& one : {bent.ask.key, bent.ask.viewer, bent.ask.title, bent.ask.room})
      REQUIRE(session_api::fieldError(one, true) == nullptr);
  }
}
