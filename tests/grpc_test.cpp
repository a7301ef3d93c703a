// Tests of the gRPC encoding: message framing, time-outs, statuses and the parsing of players' messages.
#include <catch2/catch.hpp>
#include <random>

#include "grpc/messages.h"

using namespace lupinsill;
using namespace lupinsill::grpc;

TEST_CASE("Messages split at any byte are read completely, and each kind of invalid framing is reported") {
  std::string bytes;
  for (int i = 0; i < 40; ++i) bytes += lengthPrefixed(std::string(static_cast<std::size_t>(i * 7), 'x'));
  std::minstd_rand rng(3);
  MessageReader reader(1000);
  int messageCount = 0;
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t n = std::min<std::size_t>(1 + rng() % 50, bytes.size() - at);
    REQUIRE(reader.feed({bytes.data() + at, n}));
    at += n;
    while (const auto message = reader.next())
      CHECK(message->size() == static_cast<std::size_t>(7 * messageCount++));
  }
  CHECK(messageCount == 40);
  CHECK(reader.atMessageBoundary());
  MessageReader oversized(10), compressed(10), invalidFlag(10);
  CHECK_FALSE(oversized.feed(lengthPrefixed(std::string(11, 'x'))));
  CHECK(oversized.fault() == MessageReader::Fault::tooLarge);
  CHECK_FALSE(compressed.feed(std::string("\1\0\0\0\1x", 6)));
  CHECK(compressed.fault() == MessageReader::Fault::compressed);
  CHECK_FALSE(invalidFlag.feed(std::string("\7\0\0\0\1x", 6)));
  CHECK(invalidFlag.fault() == MessageReader::Fault::badFlag);
}

// Guards against a paid request that runs twice because its client is told that a retry is safe.
TEST_CASE("A call that ends on a fault of its client allows a retry only if its request was not passed on") {
  for (const auto fault : {grpc::MessageReader::Fault::tooLarge, grpc::MessageReader::Fault::none}) {
    CHECK(grpc::headerValue(grpc::trailersOf(fault, false), "grpc-status") == "8");
    const grpc::Headers trailers = grpc::trailersOf(fault, true);
    CHECK(grpc::headerValue(trailers, "grpc-status") == "10");
    CHECK(grpc::headerValue(trailers, "grpc-retry-pushback-ms") == "-1");
  }
  CHECK(grpc::headerValue(grpc::trailersOf(grpc::MessageReader::Fault::badFlag, true), "grpc-status") ==
        "13");
}

TEST_CASE("Timeouts are parsed in every unit, and invalid ones are rejected") {
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

TEST_CASE(
    "A throttled call allows gRPC's automatic retry after the given time, and a terminated one forbids it") {
  session_api::AnswerMessage answer;
  answer.kind = session_api::AnswerKind::throttled;
  answer.reason = "no-room";
  answer.retryAfter = 250'001;
  Headers headers = trailersOf(answer);
  CHECK(headerValue(headers, "grpc-status") == "8");
  CHECK(headerValue(headers, "grpc-retry-pushback-ms") == "251");
  const Trailers received = parseTrailers(headers);
  CHECK(received.fromDirector);
  CHECK(received.answer.kind == session_api::AnswerKind::throttled);
  CHECK(received.answer.reason == "no-room");
  CHECK(received.answer.retryAfter == 251'000);
  for (const char* reason : {"may-have-run", "ended", "elsewhere", "failed"}) {
    answer.kind = session_api::AnswerKind::terminated;
    answer.reason = reason;
    headers = trailersOf(answer);
    CHECK(headerValue(headers, "grpc-retry-pushback-ms") == "-1");
    CHECK(parseTrailers(headers).answer.kind == session_api::AnswerKind::terminated);
  }
}

TEST_CASE("Valid messages of players are parsed unchanged, and invalid ones are rejected with the field") {
  session_api::PlayMessage request;
  request.key = "front-1:k", request.viewer = "v", request.title = "t", request.room = "r", request.top = 3,
  request.timeout = 5'000'000;
  PlayerMessage message = parsePlayerMessage(serialize(request));
  REQUIRE(message.kind == PlayerMessage::Kind::request);
  CHECK(message.request.key == "front-1:k");
  CHECK(message.request.timeout == 5'000'000);
  CHECK(message.request.top == 3);
  request.viewer = std::string(129, 'v');
  CHECK(parsePlayerMessage(serialize(request)).error == "viewer: 1 to 128 bytes expected");
  CHECK(parsePlayerMessage("\xff\xff").kind == PlayerMessage::Kind::invalid);
  CHECK(parsePlayerMessage("").kind == PlayerMessage::Kind::invalid);
  CHECK(parsePlayerMessage(serializeLeave()).kind == PlayerMessage::Kind::leave);
  std::minstd_rand rng(9);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = serialize(request);
    for (int n = 0; n < 3; ++n) bytes[rng() % bytes.size()] = static_cast<char>(rng());
    // Accepted fields must be safe to pass on unchanged to logs, headers and files.
    const PlayerMessage corrupted = parsePlayerMessage(bytes);
    if (corrupted.kind != PlayerMessage::Kind::request) continue;
    for (const std::string& field :
         {corrupted.request.key, corrupted.request.viewer, corrupted.request.title, corrupted.request.room})
      REQUIRE(session_api::fieldError(field, true) == nullptr);
  }
}
