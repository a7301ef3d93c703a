// The opening handshake of RFC 6455, section 4, for client and server. Pure functions on text.
#pragma once

#include <string>
#include <string_view>

namespace lupinsill::websocket {

inline constexpr std::string_view subprotocol = "lupinsill.session.v1";
// Limit on the request or response of a handshake.
constexpr std::size_t maxHeadBytes = 4096;

// A server's response to a handshake request.
struct HandshakeReply {
  bool accepted = false;
  std::string response;  // the complete HTTP response, also if not accepted
};
// `head`: the request, including the empty line at its end.
HandshakeReply answerHandshake(std::string_view head);
// An HTTP response that rejects a connection, with a Retry-After header if the number of seconds is above 0.
std::string refusal(int status, std::string_view reason, int retryAfterSeconds);

// A client's handshake request.
std::string handshakeRequest(const std::string& host, const std::string& key);
// Whether a server's response accepts the handshake with that key.
bool isValidHandshakeReply(std::string_view reply, const std::string& key);
// The Sec-WebSocket-Accept value for a Sec-WebSocket-Key.
std::string acceptKeyFor(std::string_view key);
// A random Sec-WebSocket-Key.
std::string generateKey();

}  // namespace lupinsill::websocket
