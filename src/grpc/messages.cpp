#include "grpc/messages.h"

#include <algorithm>
#include <cstdlib>

#include <google/protobuf/stubs/logging.h>

#include "grpc/health/v1/health.pb.h"
#include "lupinsill/session/v1/session.pb.h"

namespace lupinsill::grpc {
namespace {

namespace wire = lupinsill::session::v1;
using session_api::AnswerKind;
using session_api::AnswerMessage;
using session_api::PlayMessage;

// Disables protobuf's own log, which would let any client write to the director's log with invalid messages.
[[maybe_unused]] const bool logSilenced = (google::protobuf::SetLogHandler(nullptr), true);

// Limits that keep received numbers in the range of their types.
constexpr std::uint32_t maxRung = 1000;
constexpr std::uint64_t maxMilliseconds = 1'000'000'000;

template <class Message>
bool parse(Message& message, std::string_view bytes) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

// Zero stands for an absent field.
std::optional<Micros> durationOf(std::uint64_t ms) {
  if (ms == 0) return std::nullopt;
  return std::min<Micros>(session_api::maxDuration,
                          static_cast<Micros>(std::min(ms, std::uint64_t{maxMilliseconds})) * 1000);
}

struct ReasonStatus {
  const char* reason;
  Status status;
};
// The status of each reason, for clients that know only gRPC.
constexpr ReasonStatus reasonStatuses[] = {
    {"no-room", Status::resourceExhausted},
    {"busy", Status::resourceExhausted},
    {"late", Status::unavailable},
    {"draining", Status::unavailable},
    {"unknown-title", Status::unavailable},
    {"may-have-run", Status::aborted},
    {"ended", Status::alreadyExists},
    {"elsewhere", Status::failedPrecondition},
    {"failed", Status::internal},
    {"node-lost", Status::unavailable},
    {"director-drains", Status::unavailable},
    {"finished", Status::ok},
};

Status statusOf(const AnswerMessage& answer) {
  if (answer.kind == AnswerKind::error) return Status::invalidArgument;
  for (const ReasonStatus& entry : reasonStatuses)
    if (answer.reason == entry.reason) return entry.status;
  return answer.kind == AnswerKind::throttled ? Status::unavailable : Status::internal;
}

const char* nameOf(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::throttled:
      return "throttled";
    case AnswerKind::terminated:
      return "terminated";
    case AnswerKind::ended:
      return "ended";
    default:
      return "error";
  }
}

}  // namespace

PlayerMessage parsePlayerMessage(std::string_view bytes) {
  PlayerMessage out;
  wire::FromPlayer from;
  if (!parse(from, bytes)) return out.error = "not a message of this service", out;
  if (from.has_leave()) return out.kind = PlayerMessage::Kind::leave, out;
  if (!from.has_ask()) return out.error = "ask or leave expected", out;
  const wire::Ask& request = from.ask();
  const auto check = [&](const char* name, const std::string& text, bool required) {
    const char* error = session_api::fieldError(text, required);
    if (error != nullptr && out.error.empty()) out.error = std::string(name) + ": " + error;
    return text;
  };
  out.request.key = check("key", request.key(), true);
  out.request.viewer = check("viewer", request.viewer(), true);
  out.request.title = check("title", request.title(), true);
  out.request.room = check("room", request.room(), true);
  out.request.tenant = check("tenant", request.tenant(), false);
  out.request.previousDirector = check("again", request.again(), false);
  if (request.has_top()) out.request.top = static_cast<int>(std::min<std::uint32_t>(request.top(), maxRung));
  out.request.timeout = durationOf(request.timeout_ms());
  out.request.length = durationOf(request.length_ms());
  if (request.has_again_ms()) out.request.sinceFirstSent = durationOf(request.again_ms()).value_or(0);
  if (out.error.empty()) out.kind = PlayerMessage::Kind::request;
  return out;
}

std::string serialize(const PlayMessage& message) {
  wire::FromPlayer from;
  wire::Ask& ask = *from.mutable_ask();
  ask.set_key(message.key);
  ask.set_viewer(message.viewer);
  ask.set_title(message.title);
  ask.set_room(message.room);
  ask.set_tenant(message.tenant);
  ask.set_again(message.previousDirector);
  ask.set_top(static_cast<std::uint32_t>(message.top));
  if (message.timeout) ask.set_timeout_ms(static_cast<std::uint64_t>(*message.timeout / 1000));
  // Rounded up, so that the key never seems newer than it is.
  if (message.sinceFirstSent)
    ask.set_again_ms(static_cast<std::uint64_t>((*message.sinceFirstSent + 999) / 1000));
  if (message.length) ask.set_length_ms(static_cast<std::uint64_t>(*message.length / 1000));
  return from.SerializeAsString();
}

std::string serializeLeave() {
  wire::FromPlayer from;
  from.mutable_leave();
  return from.SerializeAsString();
}

std::string serialize(const AnswerMessage& answer) {
  wire::ToPlayer to;
  if (answer.kind == AnswerKind::playing) {
    wire::Playing& playing = *to.mutable_playing();
    playing.set_subscription(answer.subscription);
    playing.set_node(answer.node);
    playing.set_rung(static_cast<std::uint32_t>(answer.rung));
    playing.set_ticket(answer.ticket);
  } else if (answer.kind == AnswerKind::rung) {
    to.mutable_rung()->set_rung(static_cast<std::uint32_t>(answer.rung));
  } else {
    to.mutable_ended()->set_reason(answer.reason);
    to.mutable_ended()->set_retry_after_ms(static_cast<std::uint64_t>((answer.retryAfter + 999) / 1000));
  }
  return to.SerializeAsString();
}

std::optional<AnswerMessage> parseAnswer(std::string_view bytes) {
  wire::ToPlayer to;
  if (!parse(to, bytes)) return std::nullopt;
  AnswerMessage answer;
  if (to.has_playing()) {
    answer.kind = AnswerKind::playing;
    answer.subscription = to.playing().subscription();
    answer.node = to.playing().node();
    answer.rung = static_cast<int>(std::min(std::uint32_t{maxRung}, to.playing().rung()));
    answer.ticket = to.playing().ticket();
  } else if (to.has_rung()) {
    answer.kind = AnswerKind::rung;
    answer.rung = static_cast<int>(std::min(std::uint32_t{maxRung}, to.rung().rung()));
  } else if (to.has_ended()) {
    answer.kind = AnswerKind::ended;
    answer.reason = to.ended().reason();
    answer.retryAfter = durationOf(to.ended().retry_after_ms()).value_or(0);
  } else {
    return std::nullopt;  // a message of a newer protocol version
  }
  return answer;
}

std::string serializeWhoReply(const std::string& director) {
  wire::WhoReply reply;
  reply.set_director(director);
  return reply.SerializeAsString();
}
std::optional<std::string> parseWhoReply(std::string_view bytes) {
  wire::WhoReply reply;
  if (!parse(reply, bytes) || reply.director().empty()) return std::nullopt;
  return reply.director();
}

std::optional<std::string> parseHealthRequest(std::string_view bytes) {
  ::grpc::health::v1::HealthCheckRequest request;
  if (!parse(request, bytes)) return std::nullopt;
  return request.service();
}

std::string serializeHealthReply(Serving serving) {
  using Response = ::grpc::health::v1::HealthCheckResponse;
  Response response;
  response.set_status(serving == Serving::yes  ? Response::SERVING
                      : serving == Serving::no ? Response::NOT_SERVING
                                               : Response::SERVICE_UNKNOWN);
  return response.SerializeAsString();
}

Headers trailersOf(Status status, std::string_view message) {
  Headers out{{"grpc-status", std::to_string(static_cast<int>(status))}};
  if (!message.empty()) out.emplace_back("grpc-message", percentEncode(message));
  return out;
}

Headers trailersOf(MessageReader::Fault fault, bool mayHaveRun) {
  if (fault == MessageReader::Fault::compressed)
    return trailersOf(Status::unimplemented, "compressed messages are not taken");
  if (fault == MessageReader::Fault::badFlag) return trailersOf(Status::internal, "not a gRPC message");
  if (mayHaveRun) {
    AnswerMessage answer;
    answer.kind = AnswerKind::terminated;
    answer.reason = "may-have-run";
    return trailersOf(answer);
  }
  return trailersOf(Status::resourceExhausted, fault == MessageReader::Fault::tooLarge
                                                   ? "message too large"
                                                   : "too many unfinished messages");
}

Headers trailersOf(const AnswerMessage& answer) {
  Headers out = trailersOf(statusOf(answer), answer.reason);
  out.emplace_back("lupinsill-answer", nameOf(answer.kind));
  out.emplace_back("lupinsill-reason", percentEncode(answer.reason));
  const std::string ms = std::to_string((answer.retryAfter + 999) / 1000);
  if (answer.retryAfter > 0) out.emplace_back("lupinsill-retry-after-ms", ms);
  // A negative pushback forbids gRPC's automatic retries, whatever the client's policy, since the request may
  // have run. After a throttle nothing has run, and a retry is allowed after the given time.
  if (answer.kind != AnswerKind::throttled)
    out.emplace_back("grpc-retry-pushback-ms", "-1");
  else if (answer.retryAfter > 0)
    out.emplace_back("grpc-retry-pushback-ms", ms);
  return out;
}

std::string_view headerValue(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers)
    if (key == name) return value;
  return {};
}

Trailers parseTrailers(const Headers& headers) {
  Trailers out;
  const std::string status(headerValue(headers, "grpc-status"));
  out.status = status.empty() ? static_cast<int>(Status::unknown) : std::atoi(status.c_str());
  out.message = percentDecode(headerValue(headers, "grpc-message"));
  const std::string_view text = headerValue(headers, "lupinsill-answer");
  out.fromDirector = !text.empty();
  out.answer.kind = text == "throttled"    ? AnswerKind::throttled
                    : text == "terminated" ? AnswerKind::terminated
                    : text == "ended"      ? AnswerKind::ended
                                           : AnswerKind::error;
  out.answer.reason =
      out.fromDirector ? percentDecode(headerValue(headers, "lupinsill-reason")) : out.message;
  const std::string ms(headerValue(headers, "lupinsill-retry-after-ms"));
  out.answer.retryAfter =
      std::clamp<Micros>(std::atoll(ms.c_str()), 0, session_api::maxDuration / 1000) * 1000;
  return out;
}

}  // namespace lupinsill::grpc
