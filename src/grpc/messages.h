// Serialization of the session protocol's messages as protobuf (docs/protocol/session-grpc.md), and the
// mapping of answers to gRPC statuses. Pure functions. Nothing throws; errors are returned.
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

// A message of a player on a Play call: a request, a leave, or an invalid message with the reason in `error`.
struct PlayerMessage {
  enum class Kind { request, leave, invalid } kind = Kind::invalid;
  session_api::PlayMessage request;
  std::string error;
};
PlayerMessage parsePlayerMessage(std::string_view bytes);
std::string serialize(const session_api::PlayMessage& request);
std::string serializeLeave();

// Only playing, rung and ended are sent as messages; the other answers are sent as a status.
std::string serialize(const session_api::AnswerMessage& answer);
std::optional<session_api::AnswerMessage> parseAnswer(std::string_view bytes);

std::string serializeWhoReply(const std::string& director);
std::optional<std::string> parseWhoReply(std::string_view bytes);

// The service that a request to the health service names; nothing if the request is invalid.
std::optional<std::string> parseHealthRequest(std::string_view bytes);
// The status of a service as the health service reports it.
enum class Serving { yes, no, unknownService };
std::string serializeHealthReply(Serving serving);

// The trailers for an answer that ends a call. Through grpc-retry-pushback-ms, `throttled` allows an
// automatic retry by gRPC after the given time; all other answers forbid it.
Headers trailersOf(const session_api::AnswerMessage& answer);
Headers trailersOf(Status status, std::string_view message);
// For a call that ends since its client's bytes are no message, or, with Fault::none, since too many of its
// messages are unfinished. `mayHaveRun`: its request has been passed on; no status that allows a retry is
// returned then.
Headers trailersOf(MessageReader::Fault fault, bool mayHaveRun);
// Trailers as received by a client. `answer` has the kind `error` if they carry no answer of a director.
struct Trailers {
  int status = static_cast<int>(Status::unknown);
  std::string message;
  session_api::AnswerMessage answer;
  bool fromDirector = false;
};
Trailers parseTrailers(const Headers& headers);
// The value of the first header of that name; empty if there is none.
std::string_view headerValue(const Headers& headers, std::string_view name);

}  // namespace lupinsill::grpc
