#include "websocket/messages.h"

#include <nlohmann/json.hpp>

namespace lupinsill::websocket {
namespace {

using Json = nlohmann::json;
constexpr std::int64_t maxDurationMs = 24LL * 3600 * 1000;
// Integers above this are rejected before they are converted.
constexpr std::uint64_t maxInteger = 1'000'000'000'000;
constexpr int maxRung = 1000;
// Close codes of RFC 6455, section 7.4.
constexpr int invalidPayloadData = 1007;
constexpr int policyViolation = 1008;

Json parse(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw BadMessage(invalidPayloadData, "not JSON");
  if (!json.is_object()) throw BadMessage(policyViolation, "not an object");
  return json;
}

std::string textField(const Json& json, const char* key, bool required) {
  const auto it = json.find(key);
  if (it == json.end() || it->is_null()) {
    if (required) throw BadMessage(policyViolation, std::string(key) + ": missing");
    return {};
  }
  if (!it->is_string()) throw BadMessage(policyViolation, std::string(key) + ": not text");
  const auto& value = it->get_ref<const std::string&>();
  if (const char* error = session_api::fieldError(value, required); error != nullptr)
    throw BadMessage(policyViolation, std::string(key) + ": " + error);
  return value;
}

std::optional<std::int64_t> integerField(const Json& json, const char* key, std::int64_t min,
                                         std::int64_t max) {
  const auto it = json.find(key);
  if (it == json.end() || it->is_null()) return std::nullopt;
  if (!it->is_number_integer() || (it->is_number_unsigned() && it->get<std::uint64_t>() > maxInteger))
    throw BadMessage(policyViolation, std::string(key) + ": not a whole number in range");
  const auto value = it->get<std::int64_t>();
  if (value < min || value > max) throw BadMessage(policyViolation, std::string(key) + ": out of range");
  return value;
}

std::optional<Micros> durationField(const Json& json, const char* key) {
  const auto ms = integerField(json, key, 1, maxDurationMs);
  return ms ? std::optional<Micros>(*ms * 1000) : std::nullopt;
}

constexpr std::pair<AnswerKind, const char*> kindNames[] = {
    {AnswerKind::hello, "hello"},         {AnswerKind::playing, "playing"},
    {AnswerKind::rung, "rung"},           {AnswerKind::ended, "ended"},
    {AnswerKind::throttled, "throttled"}, {AnswerKind::terminated, "terminated"},
    {AnswerKind::error, "error"}};

}  // namespace

PlayerMessage parsePlayerMessage(std::string_view text) {
  const Json json = parse(text);
  const std::string type = textField(json, "type", true);
  if (type == "leave") return LeaveMessage{textField(json, "id", true)};
  if (type != "ask") throw BadMessage(policyViolation, "type: ask or leave expected");
  PlayMessage request;
  request.id = textField(json, "id", true);
  request.key = textField(json, "key", true);
  request.viewer = textField(json, "viewer", true);
  request.title = textField(json, "title", true);
  request.room = textField(json, "room", true);
  request.tenant = textField(json, "tenant", false);
  request.top = static_cast<int>(integerField(json, "top", 0, maxRung).value_or(maxRung));
  request.previousDirector = textField(json, "again", false);
  if (const auto ms = integerField(json, "againMs", 0, maxDurationMs)) request.sinceFirstSent = *ms * 1000;
  request.timeout = durationField(json, "timeoutMs");
  request.length = durationField(json, "lengthMs");
  return request;
}

std::string toJson(const PlayMessage& request) {
  Json json{
      {"type", "ask"},          {"id", request.id},     {"key", request.key}, {"viewer", request.viewer},
      {"title", request.title}, {"room", request.room}, {"top", request.top}};
  if (!request.tenant.empty()) json["tenant"] = request.tenant;
  if (!request.previousDirector.empty()) json["again"] = request.previousDirector;
  // Rounded up, so that the key never seems newer than it is.
  if (request.sinceFirstSent) json["againMs"] = (*request.sinceFirstSent + 999) / 1000;
  if (request.timeout) json["timeoutMs"] = *request.timeout / 1000;
  if (request.length) json["lengthMs"] = *request.length / 1000;
  return json.dump();
}

std::string toJson(const LeaveMessage& leave) { return Json{{"type", "leave"}, {"id", leave.id}}.dump(); }

AnswerMessage parseAnswer(std::string_view text) {
  const Json json = parse(text);
  AnswerMessage answer;
  const std::string type = textField(json, "type", true);
  bool known = false;
  for (const auto& [kind, name] : kindNames)
    if (type == name) answer.kind = kind, known = true;
  if (!known) throw BadMessage(policyViolation, "type: unknown");
  answer.id = textField(json, "id", false);
  answer.subscription = textField(json, "subscription", false);
  answer.node = textField(json, "node", false);
  answer.director = textField(json, "director", false);
  answer.rung = static_cast<int>(integerField(json, "rung", 0, maxRung).value_or(0));
  const auto ticket = json.find("ticket");
  if (ticket != json.end() && ticket->is_string()) answer.ticket = ticket->get<std::string>();
  answer.reason = textField(json, "reason", false);
  answer.retryAfter = integerField(json, "retryAfterMs", 0, maxDurationMs).value_or(0) * 1000;
  return answer;
}

std::string toJson(const AnswerMessage& answer) {
  Json json = Json::object();
  if (!answer.id.empty()) json["id"] = answer.id;
  if (!answer.director.empty()) json["director"] = answer.director;
  for (const auto& [kind, name] : kindNames)
    if (kind == answer.kind) json["type"] = name;
  if (answer.kind == AnswerKind::playing) {
    json["subscription"] = answer.subscription;
    json["node"] = answer.node;
    json["ticket"] = answer.ticket;
  }
  if (answer.kind == AnswerKind::playing || answer.kind == AnswerKind::rung) json["rung"] = answer.rung;
  if (!answer.reason.empty()) json["reason"] = answer.reason;
  // Rounded up: a client that returns a moment too early would be throttled again.
  if (answer.retryAfter > 0) json["retryAfterMs"] = (answer.retryAfter + 999) / 1000;
  return json.dump();
}

}  // namespace lupinsill::websocket
