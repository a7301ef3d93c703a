// Serialization of the session protocol's messages as JSON (docs/protocol/session-websocket.md). Pure
// functions. Times are milliseconds in JSON and microseconds in the structs.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "session_api/messages.h"

namespace lupinsill::websocket {

// An invalid message, with the WebSocket close code for it.
struct BadMessage : std::runtime_error {
  BadMessage(int closeCode, const std::string& what) : std::runtime_error(what), code(closeCode) {}
  int code;
};

using session_api::AnswerKind;
using session_api::AnswerMessage;
using session_api::LeaveMessage;
using session_api::PlayMessage;
using PlayerMessage = std::variant<PlayMessage, LeaveMessage>;

// Throws BadMessage.
PlayerMessage parsePlayerMessage(std::string_view text);
std::string toJson(const PlayMessage& request);
std::string toJson(const LeaveMessage& leave);
// Throws BadMessage.
AnswerMessage parseAnswer(std::string_view text);
std::string toJson(const AnswerMessage& answer);

}  // namespace lupinsill::websocket
