#include <catch2/catch.hpp>

#include <sodium.h>

#include "ticket/ticket.h"
#include "websocket/handshake.h"
#include "websocket/messages.h"

using namespace lupinsill;
using namespace lupinsill::websocket;

namespace {
int codeOf(const std::string& text) {
  try {
    readPlayerMessage(text);
  } catch (const BadMessage& bad) {
    return bad.code;
  }
  return 0;
}
}  // namespace

TEST_CASE("The handshake is the one RFC 6455 works through, and others are told why not") {
  CHECK(acceptOf("dGhlIHNhbXBsZSBub25jZQ==") == "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=");
  const std::string good = openingRequest("host", "dGhlIHNhbXBsZSBub25jZQ==");
  const Opening opening = answerOpening(good);
  CHECK(opening.good);
  CHECK(acceptsOpening(opening.reply, "dGhlIHNhbXBsZSBub25jZQ=="));
  CHECK_FALSE(acceptsOpening(opening.reply, "AAAAIHNhbXBsZSBub25jZQ=="));
  std::string old = good;
  old.replace(old.find("Version: 13"), 11, "Version: 8 ");
  CHECK(answerOpening(old).reply.starts_with("HTTP/1.1 426"));
  CHECK(answerOpening("POST / HTTP/1.1\r\n\r\n").reply.starts_with("HTTP/1.1 405"));
  CHECK(answerOpening("GET / HTTP/1.1\r\n\r\n").reply.starts_with("HTTP/1.1 400"));
}

TEST_CASE("Messages come back as they were") {
  PlayMessage ask{"a1", "key", "viewer", "title", "paid-class", "", 4, 3'000'000, 60'000'000, "front-2"};
  const auto back = std::get<PlayMessage>(readPlayerMessage(textOf(ask)));
  CHECK(back.key == "key");
  CHECK(back.top == 4);
  CHECK(back.previousDirector == "front-2");
  CHECK(*back.timeout == 3'000'000);
  CHECK(*back.length == 60'000'000);
  AnswerMessage answer;
  answer.kind = AnswerKind::throttled;
  answer.id = "a1";
  answer.reason = "no-room";
  answer.retryAfter = 500'001;
  const AnswerMessage heard = readAnswer(textOf(answer));
  CHECK(heard.kind == AnswerKind::throttled);
  CHECK(heard.retryAfter == 501'000);
}

TEST_CASE("What is no JSON and what is no message have their own close codes") {
  CHECK(codeOf("{\"type\":\"ask\"") == 1007);
  CHECK(codeOf("[]") == 1008);
  CHECK(codeOf("{\"type\":\"sing\"}") == 1008);
  CHECK(codeOf("{\"type\":\"leave\"}") == 1008);
  CHECK(codeOf(R"({"type":"ask","id":"1","key":"k","viewer":"v","title":"t","room":"r","top":-1})") == 1008);
  CHECK(codeOf(R"({"type":"ask","id":"1","key":"k","viewer":"v","title":"t","room":"r","timeoutMs":1e99})") ==
        1008);
  CHECK(
      codeOf(
          R"({"type":"ask","id":"1","key":"k","viewer":"v","title":"t","room":"r","top":18446744073709551615})") ==
      1008);
  CHECK(codeOf(R"({"type":"ask","id":"1","key":"","viewer":"v","title":"t","room":"r"})") == 1008);
  CHECK(codeOf("{\"type\":\"leave\",\"id\":\"a\\u0007\"}") == 1008);
  CHECK(codeOf(std::string("{\"type\":\"leave\",\"id\":\"") + std::string(200, 'x') + "\"}") == 1008);
}

TEST_CASE("Tickets: good, forged, of another key, expired, and no tickets at all") {
  REQUIRE(sodium_init() >= 0);
  const ticket::Key key = ticket::generateKey(), other = ticket::generateKey();
  const std::string one = ticket::sign(key, {"d1-17", "127.0.0.1:9000", 3, 1000});
  ticket::Claims claims;
  CHECK(ticket::verify({key}, one, 1000, claims) == ticket::Verdict::valid);
  CHECK(claims.subscription == "d1-17");
  CHECK(claims.rung == 3);
  CHECK(ticket::verify({key}, one, 1001, claims) == ticket::Verdict::expired);
  CHECK(ticket::verify({other}, one, 1000, claims) == ticket::Verdict::forged);
  CHECK(ticket::verify({key}, one, 1000, claims, "elsewhere:1") == ticket::Verdict::wrongNode);
  CHECK(ticket::verify({key}, one, 9999, claims, "elsewhere:1") == ticket::Verdict::wrongNode);
  // While a key is rotated the old one's tickets still hold, and the new one's do too.
  CHECK(ticket::verify({other, key}, one, 1000, claims) == ticket::Verdict::valid);
  CHECK(ticket::verify({other, key}, ticket::sign(other, {"d1-18", "", 0, 1000}), 1000, claims) ==
        ticket::Verdict::valid);
  for (std::size_t i = 0; i < one.size(); ++i) {
    std::string bent = one;
    bent[i] = bent[i] == 'A' ? 'B' : 'A';
    CHECK(ticket::verify({key}, bent, 1000, claims) != ticket::Verdict::valid);
  }
  CHECK(ticket::verify({key}, "", 1000, claims) == ticket::Verdict::malformed);
  CHECK(ticket::verify({key}, ".", 1000, claims) == ticket::Verdict::malformed);
}
