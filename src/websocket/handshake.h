// The opening handshake of RFC 6455, section 4, as text: no socket. Both sides use it.
#pragma once

#include <string>
#include <string_view>

namespace lupinsill::websocket {

inline constexpr std::string_view subprotocol = "lupinsill.session.v1";
constexpr std::size_t headMost = 4096;

struct HandshakeReply {
  bool accepted = false;
  std::string response;  // the whole answer, good or not
};
// `head`: the request up to and with its empty line.
HandshakeReply answerHandshake(std::string_view head);
// A refusal before any handshake, with when to come back.
std::string refusal(int status, std::string_view reason, int retryAfterSeconds);

std::string handshakeRequest(const std::string& host, const std::string& key);
bool isValidHandshakeReply(std::string_view reply, const std::string& key);
std::string acceptKeyFor(std::string_view key);
std::string generateKey();

}  // namespace lupinsill::websocket
