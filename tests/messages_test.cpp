// The WebSocket handshake, the messages over WebSocket, and tickets.
#include <catch2/catch.hpp>

#include <sodium.h>

#include "ticket/ticket.h"
#include "websocket/handshake.h"
#include "websocket/messages.h"

using namespace lupinsill;
using namespace lupinsill::websocket;

namespace {
// Returns the close code for a message from a player; 0: the message is valid.
int closeCodeOf(const std::string& text) {
  try {
    parsePlayerMessage(text);
  } catch (const BadMessage& error) {
    return error.code;
  }
  return 0;
}
}  // namespace

TEST_CASE("The handshake follows the example in RFC 6455, and wrong requests get the status that says why") {
  CHECK(acceptKeyFor("dGhlIHNhbXBsZSBub25jZQ==") == "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=");
  const std::string validRequest = handshakeRequest("host", "dGhlIHNhbXBsZSBub25jZQ==");
  const HandshakeReply opening = answerHandshake(validRequest);
  CHECK(opening.accepted);
  CHECK(isValidHandshakeReply(opening.response, "dGhlIHNhbXBsZSBub25jZQ=="));
  CHECK_FALSE(isValidHandshakeReply(opening.response, "AAAAIHNhbXBsZSBub25jZQ=="));
  std::string oldVersion = validRequest;
  oldVersion.replace(oldVersion.find("Version: 13"), 11, "Version: 8 ");
  CHECK(answerHandshake(oldVersion).response.starts_with("HTTP/1.1 426"));
  CHECK(answerHandshake("POST / HTTP/1.1\r\n\r\n").response.starts_with("HTTP/1.1 405"));
  CHECK(answerHandshake("GET / HTTP/1.1\r\n\r\n").response.starts_with("HTTP/1.1 400"));
}

TEST_CASE("Messages are the same after encoding and decoding") {
  PlayMessage message{"a1", "key", "viewer", "title", "paid-class", "", 4, 3'000'000, 60'000'000, "front-2"};
  const auto decoded = std::get<PlayMessage>(parsePlayerMessage(toJson(message)));
  CHECK(decoded.key == "key");
  CHECK(decoded.top == 4);
  CHECK(decoded.previousDirector == "front-2");
  CHECK(*decoded.timeout == 3'000'000);
  CHECK(*decoded.length == 60'000'000);
  AnswerMessage answer;
  answer.kind = AnswerKind::throttled;
  answer.id = "a1";
  answer.reason = "no-room";
  answer.retryAfter = 500'001;
  const AnswerMessage decodedAnswer = parseAnswer(toJson(answer));
  CHECK(decodedAnswer.kind == AnswerKind::throttled);
  CHECK(decodedAnswer.retryAfter == 501'000);  // rounded up to whole milliseconds
}

TEST_CASE("Invalid JSON and invalid messages have different close codes") {
  CHECK(closeCodeOf("{\"type\":\"ask\"") == 1007);
  CHECK(closeCodeOf("[]") == 1008);
  CHECK(closeCodeOf("{\"type\":\"unknown\"}") == 1008);
  CHECK(closeCodeOf("{\"type\":\"leave\"}") == 1008);
  CHECK(closeCodeOf(R"({"type":"ask","id":"1","key":"k","viewer":"v","title":"t","room":"r","top":-1})") ==
        1008);
  CHECK(closeCodeOf(
            R"({"type":"ask","id":"1","key":"k","viewer":"v","title":"t","room":"r","timeoutMs":1e99})") ==
        1008);
  CHECK(
      closeCodeOf(
          R"({"type":"ask","id":"1","key":"k","viewer":"v","title":"t","room":"r","top":18446744073709551615})") ==
      1008);
  CHECK(closeCodeOf(R"({"type":"ask","id":"1","key":"","viewer":"v","title":"t","room":"r"})") == 1008);
  CHECK(closeCodeOf("{\"type\":\"leave\",\"id\":\"a\\u0007\"}") == 1008);
  CHECK(closeCodeOf(std::string("{\"type\":\"leave\",\"id\":\"") + std::string(200, 'x') + "\"}") == 1008);
}

TEST_CASE(
    "Tickets that are valid, forged, signed with another key, for another node, expired or malformed are "
    "told apart") {
  REQUIRE(sodium_init() >= 0);
  const ticket::Key key = ticket::generateKey(), otherKey = ticket::generateKey();
  const std::string signedTicket = ticket::sign(key, {"d1-17", "127.0.0.1:9000", 3, 1000});
  ticket::Claims claims;
  CHECK(ticket::verify({key}, signedTicket, 1000, claims) == ticket::Verdict::valid);
  CHECK(claims.subscription == "d1-17");
  CHECK(claims.rung == 3);
  CHECK(ticket::verify({key}, signedTicket, 1001, claims) == ticket::Verdict::expired);
  CHECK(ticket::verify({otherKey}, signedTicket, 1000, claims) == ticket::Verdict::forged);
  CHECK(ticket::verify({key}, signedTicket, 1000, claims, "elsewhere:1") == ticket::Verdict::wrongNode);
  CHECK(ticket::verify({key}, signedTicket, 9999, claims, "elsewhere:1") == ticket::Verdict::wrongNode);
  // During a key rotation tickets of both the old and the new key are valid.
  CHECK(ticket::verify({otherKey, key}, signedTicket, 1000, claims) == ticket::Verdict::valid);
  CHECK(ticket::verify({otherKey, key}, ticket::sign(otherKey, {"d1-18", "", 0, 1000}), 1000, claims) ==
        ticket::Verdict::valid);
  for (std::size_t i = 0; i < signedTicket.size(); ++i) {
    std::string tampered = signedTicket;
    tampered[i] = tampered[i] == 'A' ? 'B' : 'A';
    CHECK(ticket::verify({key}, tampered, 1000, claims) != ticket::Verdict::valid);
  }
  CHECK(ticket::verify({key}, "", 1000, claims) == ticket::Verdict::malformed);
  CHECK(ticket::verify({key}, ".", 1000, claims) == ticket::Verdict::malformed);
}
