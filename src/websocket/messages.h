// The session protocol's messages as JSON and back (docs/protocol/session-websocket.md). No socket, no
// meaning. Errors: BadMessage, with the close code that the page names for it. Times on the wire are
// milliseconds.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "control.h"

namespace lupinsill::websocket {

struct BadMessage : std::runtime_error {
  BadMessage(int closeCode, const std::string& what) : std::runtime_error(what), code(closeCode) {}
  int code;
};

// Player to director.
struct AskMessage {
  std::string id;  // names the ask on this socket
  std::string key;
  std::string viewer;
  std::string title;
  std::string room;
  std::string tenant;
  int top = 0;
  std::optional<Micros> timeout;
  std::optional<Micros> length;
  std::string again;  // the director this key was sent to before; empty: none
};
struct LeaveMessage {
  std::string id;
};
using PlayerMessage = std::variant<AskMessage, LeaveMessage>;

// Director to player.
enum class Said { hello, playing, rung, ended, throttled, terminated, error };
struct AnswerMessage {
  Said said = Said::error;
  std::string id;
  std::string subscription;
  std::string node;  // host:port
  int rung = 0;
  std::string ticket;
  std::string director;
  std::string reason;
  Micros retryAfter = 0;
};

PlayerMessage readPlayerMessage(std::string_view text);
std::string textOf(const AskMessage& ask);
std::string textOf(const LeaveMessage& leave);
AnswerMessage readAnswer(std::string_view text);
std::string textOf(const AnswerMessage& answer);

}  // namespace lupinsill::websocket
