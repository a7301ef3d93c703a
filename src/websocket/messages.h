// The session protocol's messages as JSON and back (docs/protocol/session-websocket.md). No socket, no
// meaning. Errors: BadMessage, with the close code that the page names for it. Times on the wire are
// milliseconds.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "session_api/messages.h"

namespace lupinsill::websocket {

struct BadMessage : std::runtime_error {
  BadMessage(int closeCode, const std::string& what) : std::runtime_error(what), code(closeCode) {}
  int code;
};

using session_api::AnswerKind;
using session_api::AnswerMessage;
using session_api::LeaveMessage;
using session_api::PlayMessage;
using PlayerMessage = std::variant<PlayMessage, LeaveMessage>;

PlayerMessage parsePlayerMessage(std::string_view text);
std::string toJson(const PlayMessage& ask);
std::string toJson(const LeaveMessage& leave);
AnswerMessage parseAnswer(std::string_view text);
std::string toJson(const AnswerMessage& answer);

}  // namespace lupinsill::websocket
