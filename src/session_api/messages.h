// What players and a director say to each other, whatever protocol carries it, and the two seams between a
// protocol's edge and the director. Plain values; no socket, no format. Source: docs/protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "control.h"

namespace lupinsill::session_api {

using CallId = std::uint64_t;  // one ask and what follows, named by the director; see session/front.h

// Player to director.
struct PlayMessage {
  std::string id;  // names the ask on its connection, where the protocol needs a name for that
  std::string key;
  std::string viewer;
  std::string title;
  std::string room;
  std::string tenant;
  int top = 1000;
  std::optional<Micros> timeout;
  std::optional<Micros> length;
  std::string previousDirector;  // the director this key was sent to before; empty: none
  std::optional<Micros> sinceFirstSent = std::nullopt;  // how long before this message that was first
};
struct LeaveMessage {
  std::string id;
};

// Director to player.
enum class AnswerKind { hello, playing, rung, ended, throttled, terminated, error };
struct AnswerMessage {
  AnswerKind kind = AnswerKind::error;
  std::string id;
  std::string subscription;
  std::string node;  // host:port
  int rung = 0;
  std::string ticket;
  std::string director;
  std::string reason;
  Micros retryAfter = 0;
};

inline constexpr std::size_t maxFieldBytes = 128;
inline constexpr Micros maxDuration = 24LL * 3600 * 1'000'000;

// Whether a word from outside may be carried on: 1 to `maxFieldBytes` bytes without control characters (or
// none, where it is not needed). A plain reason where it may not.
inline const char* fieldError(std::string_view word, bool needed) {
  if ((needed && word.empty()) || word.size() > maxFieldBytes) return "1 to 128 bytes expected";
  for (const char c : word)
    if (static_cast<unsigned char>(c) < 0x20) return "control character";
  return nullptr;
}

// The director, to the protocols' edges.
struct Handler {
  virtual ~Handler() = default;
  // A well-formed ask. False with a reason where it names what this deployment does not have: nothing of it
  // was taken then.
  virtual bool onRequest(CallId callId, const PlayMessage& ask, std::string& why) = 0;
  virtual void onLeave(CallId callId) = 0;
  virtual void onClosed(CallId callId) = 0;
};

}  // namespace lupinsill::session_api
