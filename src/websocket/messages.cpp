#include "websocket/messages.h"

#include <nlohmann/json.hpp>

namespace lupinsill::websocket {
namespace {

using Json = nlohmann::json;
constexpr std::int64_t maxDuration = 24LL * 3600 * 1000;

Json parse(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw BadMessage(1007, "not JSON");
  if (!json.is_object()) throw BadMessage(1008, "not an object");
  return json;
}

std::string word(const Json& json, const char* key, bool needed) {
  const auto it = json.find(key);
  if (it == json.end() || it->is_null()) {
    if (needed) throw BadMessage(1008, std::string(key) + ": missing");
    return {};
  }
  if (!it->is_string()) throw BadMessage(1008, std::string(key) + ": not text");
  const auto& value = it->get_ref<const std::string&>();
  if (const char* fault = session_api::fieldError(value, needed); fault != nullptr)
    throw BadMessage(1008, std::string(key) + ": " + fault);
  return value;
}

std::optional<std::int64_t> number(const Json& json, const char* key, std::int64_t least, std::int64_t most) {
  const auto it = json.find(key);
  if (it == json.end() || it->is_null()) return std::nullopt;
  if (!it->is_number_integer() || (it->is_number_unsigned() && it->get<std::uint64_t>() > 1'000'000'000'000))
    throw BadMessage(1008, std::string(key) + ": not a whole number in range");
  const auto value = it->get<std::int64_t>();
  if (value < least || value > most) throw BadMessage(1008, std::string(key) + ": out of range");
  return value;
}

std::optional<Micros> span(const Json& json, const char* key) {
  const auto ms = number(json, key, 1, maxDuration);
  return ms ? std::optional<Micros>(*ms * 1000) : std::nullopt;
}

constexpr std::pair<AnswerKind, const char*> words[] = {
    {AnswerKind::hello, "hello"},         {AnswerKind::playing, "playing"},
    {AnswerKind::rung, "rung"},           {AnswerKind::ended, "ended"},
    {AnswerKind::throttled, "throttled"}, {AnswerKind::terminated, "terminated"},
    {AnswerKind::error, "error"}};

}  // namespace

PlayerMessage parsePlayerMessage(std::string_view text) {
  const Json json = parse(text);
  const std::string type = word(json, "type", true);
  if (type == "leave") return LeaveMessage{word(json, "id", true)};
  if (type != "ask") throw BadMessage(1008, "type: ask or leave expected");
  PlayMessage ask;
  ask.id = word(json, "id", true);
  ask.key = word(json, "key", true);
  ask.viewer = word(json, "viewer", true);
  ask.title = word(json, "title", true);
  ask.room = word(json, "room", true);
  ask.tenant = word(json, "tenant", false);
  ask.top = static_cast<int>(number(json, "top", 0, 1000).value_or(1000));
  ask.previousDirector = word(json, "again", false);
  if (const auto ms = number(json, "againMs", 0, maxDuration)) ask.sinceFirstSent = *ms * 1000;
  ask.timeout = span(json, "timeoutMs");
  ask.length = span(json, "lengthMs");
  return ask;
}

std::string toJson(const PlayMessage& ask) {
  Json json{{"type", "ask"},      {"id", ask.id},     {"key", ask.key}, {"viewer", ask.viewer},
            {"title", ask.title}, {"room", ask.room}, {"top", ask.top}};
  if (!ask.tenant.empty()) json["tenant"] = ask.tenant;
  if (!ask.previousDirector.empty()) json["again"] = ask.previousDirector;
  // Rounded up: the key must not look younger than it is.
  if (ask.sinceFirstSent) json["againMs"] = (*ask.sinceFirstSent + 999) / 1000;
  if (ask.timeout) json["timeoutMs"] = *ask.timeout / 1000;
  if (ask.length) json["lengthMs"] = *ask.length / 1000;
  return json.dump();
}

std::string toJson(const LeaveMessage& leave) { return Json{{"type", "leave"}, {"id", leave.id}}.dump(); }

AnswerMessage parseAnswer(std::string_view text) {
  const Json json = parse(text);
  AnswerMessage answer;
  const std::string type = word(json, "type", true);
  bool known = false;
  for (const auto& [said, name] : words)
    if (type == name) answer.kind = said, known = true;
  if (!known) throw BadMessage(1008, "type: unknown");
  answer.id = word(json, "id", false);
  answer.subscription = word(json, "subscription", false);
  answer.node = word(json, "node", false);
  answer.director = word(json, "director", false);
  answer.rung = static_cast<int>(number(json, "rung", 0, 1000).value_or(0));
  const auto ticket = json.find("ticket");
  if (ticket != json.end() && ticket->is_string()) answer.ticket = ticket->get<std::string>();
  answer.reason = word(json, "reason", false);
  answer.retryAfter = number(json, "retryAfterMs", 0, maxDuration).value_or(0) * 1000;
  return answer;
}

std::string toJson(const AnswerMessage& answer) {
  Json json = Json::object();
  if (!answer.id.empty()) json["id"] = answer.id;
  if (!answer.director.empty()) json["director"] = answer.director;
  for (const auto& [said, name] : words)
    if (said == answer.kind) json["type"] = name;
  if (answer.kind == AnswerKind::playing) {
    json["subscription"] = answer.subscription;
    json["node"] = answer.node;
    json["ticket"] = answer.ticket;
  }
  if (answer.kind == AnswerKind::playing || answer.kind == AnswerKind::rung) json["rung"] = answer.rung;
  if (!answer.reason.empty()) json["reason"] = answer.reason;
  // Rounded up: a client that comes back a moment early is a client that comes twice.
  if (answer.retryAfter > 0) json["retryAfterMs"] = (answer.retryAfter + 999) / 1000;
  return json.dump();
}

}  // namespace lupinsill::websocket
