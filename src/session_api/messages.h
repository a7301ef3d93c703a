// The messages that players and a director exchange, independent of the protocol that carries them, and the
// interface through which a protocol's server passes requests to the director. See docs/protocol for the
// encodings.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "control.h"

namespace lupinsill::session_api {

// Identifies a request and all that follows it; assigned by the director and never reused.
using CallId = std::uint64_t;

// Player to director: starts a session.
struct PlayMessage {
  std::string id;   // identifies the request on its connection, where the protocol needs that
  std::string key;  // idempotency key, the same in every repeat of the request
  std::string viewer;
  std::string title;
  std::string room;               // name of the room type
  std::string tenant;             // empty: none
  int top = 1000;                 // highest rung that the player wants
  std::optional<Micros> timeout;  // how long the player waits for the answer
  std::optional<Micros> length;   // of the session, if the player knows it
  std::string previousDirector;   // the director this key was sent to before; empty: none
  std::optional<Micros> sinceFirstSent = std::nullopt;  // time since the key was first sent, if repeated
};
// Player to director: ends a session or withdraws its request.
struct LeaveMessage {
  std::string id;
};

// Director to player. `hello` opens a connection; `playing`, `throttled`, `terminated` and `error` answer a
// request; `rung` and `ended` follow on a session that plays.
enum class AnswerKind { hello, playing, rung, ended, throttled, terminated, error };
struct AnswerMessage {
  AnswerKind kind = AnswerKind::error;
  std::string id;            // of the request
  std::string subscription;  // name of the subscription
  std::string node;          // the media node, as host:port
  int rung = 0;
  std::string ticket;  // grants access to the media node
  std::string director;
  std::string reason;
  Micros retryAfter = 0;  // 0: none
};

// Longest text field of a message.
inline constexpr std::size_t maxFieldBytes = 128;
// Longest duration that a message may state: 24 h.
inline constexpr Micros maxDuration = 24LL * 3600 * 1'000'000;

// Returns why a text field from outside is invalid, or null if it is valid. A valid field has 1 to
// `maxFieldBytes` bytes without control characters; it may be empty unless it is `required`.
inline const char* fieldError(std::string_view field, bool required) {
  if ((required && field.empty()) || field.size() > maxFieldBytes) return "1 to 128 bytes expected";
  for (const char c : field)
    if (static_cast<unsigned char>(c) < 0x20) return "control character";
  return nullptr;
}

// Receives the requests that a protocol's server has read. Implemented by the director.
struct Handler {
  virtual ~Handler() = default;
  // Handles a well-formed request. Returns false and the reason in `error` if it is invalid in this
  // deployment, for instance names an unknown room type; it has no effect then.
  virtual bool onRequest(CallId callId, const PlayMessage& message, std::string& error) = 0;
  // The player left the call.
  virtual void onLeave(CallId callId) = 0;
  // The call or its connection broke off; the player may repeat the request with the same key.
  virtual void onClosed(CallId callId) = 0;
};

}  // namespace lupinsill::session_api
