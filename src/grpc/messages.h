// The session protocol's messages as protobuf and back (docs/protocol/session-grpc.md), and how an answer
// becomes a gRPC status. No socket, no meaning. Errors: none thrown; a bad message is told by its fault.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "grpc/http2.h"
#include "grpc/wire.h"
#include "session_api/messages.h"

namespace lupinsill::grpc {

inline constexpr std::string_view playPath = "/lupinsill.session.v1.Sessions/Play";
inline constexpr std::string_view whoPath = "/lupinsill.session.v1.Sessions/Who";
inline constexpr std::string_view checkPath = "/grpc.health.v1.Health/Check";
inline constexpr std::string_view watchPath = "/grpc.health.v1.Health/Watch";
inline constexpr std::string_view sessionsService = "lupinsill.session.v1.Sessions";

struct PlayerMessage {
  enum class Kind { ask, leave, bad } kind = Kind::bad;
  session_api::PlayMessage ask;
  std::string fault;
};
PlayerMessage parsePlayerMessage(std::string_view bytes);
std::string bytesOf(const session_api::PlayMessage& ask);
std::string serializeLeave();

// Playing, rung and ended; the other answers are statuses.
std::string bytesOf(const session_api::AnswerMessage& answer);
std::optional<session_api::AnswerMessage> parseAnswer(std::string_view bytes);

std::string serializeWhoReply(const std::string& director);
std::optional<std::string> parseWhoReply(std::string_view bytes);

// Health: the service that is asked after, and the reply.
std::optional<std::string> parseHealthRequest(std::string_view bytes);
enum class Serving { yes, no, unknownService };
std::string serializeHealthReply(Serving serving);

// The trailers that carry an answer which ends a call. `throttled` may be tried again by gRPC itself
// (grpc-retry-pushback-ms says when); the others say that it must not be.
Headers trailersOf(const session_api::AnswerMessage& answer);
Headers trailersOf(Status status, std::string_view message);
// What a client makes of them. `said` is error where they hold no answer of ours.
struct Trailers {
  int status = 2;
  std::string message;
  session_api::AnswerMessage answer;
  bool fromDirector = false;
};
Trailers parseTrailers(const Headers& headers);
std::string_view headerValue(const Headers& headers, std::string_view name);

}  // namespace lupinsill::grpc
