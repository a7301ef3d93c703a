#include "jsonl/message.h"

#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lupinsill::jsonl {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 10> operationNames = {"offer", "ringing", "accept", "end",      "ended",
                                                        "test",  "tested",  "info",   "redirect", "set"};

std::string fieldText(const Json& value, const char* field) {
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_number()) throw ParseError(std::string(field) + ": neither text nor a number");
  return value.dump();
}

}  // namespace

Message parse(std::string_view line) {
  // With exceptions off, malformed JSON and invalid UTF-8 give a discarded value, which is not an object.
  const Json json = Json::parse(line, nullptr, false);
  if (!json.is_object()) throw ParseError("not a JSON object");
  Message message;
  const auto op = json.find("op");
  if (op == json.end() || !op->is_string()) throw ParseError("op: missing or not text");
  for (std::size_t i = 0; i < operationNames.size(); ++i)
    if (op->get_ref<const std::string&>() == operationNames[i]) message.op = static_cast<Op>(i);
  const auto call = json.find("call");
  if (call == json.end() || !call->is_string()) throw ParseError("call: missing or not text");
  message.call = call->get<std::string>();
  if (message.call.size() != 16 ||
      message.call.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    throw ParseError("call: not 16 hex digits");
  if (const auto with = json.find("with"); with != json.end() && !with->is_null()) {
    if (!with->is_object()) throw ParseError("with: not an object");
    for (const auto& [key, value] : with->items()) message.fields[key] = fieldText(value, "with");
  }
  if (const auto why = json.find("why"); why != json.end() && !why->is_null()) {
    if (!why->is_number_integer()) throw ParseError("why: not a whole number");
    const double value = why->get<double>();
    if (!(value >= 0 && value <= 1e6)) throw ParseError("why: out of range");
    message.reasonCode = why->get<int>();
  }
  if (const auto desc = json.find("desc"); desc != json.end() && !desc->is_null()) {
    if (!desc->is_string()) throw ParseError("desc: not text");
    message.description = desc->get<std::string>();
  }
  return message;
}

std::string serialize(const Message& message) {
  Json json = {{"op", operationNames[static_cast<std::size_t>(message.op)]}, {"call", message.call}};
  json["with"] = message.fields;
  const bool hasReasonCode = message.op == Op::end || message.op == Op::test || message.op == Op::tested;
  if (hasReasonCode) json["why"] = message.reasonCode;
  if (message.description) json["desc"] = *message.description;
  return json.dump() + "\n";
}

std::optional<Message> Reader::next() {
  const std::size_t end = buffer_.find('\n', consumed_);
  if (end == std::string::npos) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    if (buffer_.size() >= maxMessageBytes) throw ParseError("longer than a message may be");
    return std::nullopt;
  }
  if (end - consumed_ >= maxMessageBytes) throw ParseError("longer than a message may be");
  const std::string_view line(buffer_.data() + consumed_, end - consumed_);
  consumed_ = end + 1;
  return parse(line);
}

std::optional<double> parseNumber(const std::string& text, double min, double max) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsedEnd, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsedEnd != end || !std::isfinite(value) || value < min || value > max)
    return std::nullopt;
  return value;
}

std::optional<long long> parseInteger(const std::string& text, long long min, long long max) {
  const auto value = parseNumber(text, static_cast<double>(min), static_cast<double>(max));
  if (!value || *value != std::floor(*value)) return std::nullopt;
  return static_cast<long long>(*value);
}

std::map<std::string, std::string> parsePairs(std::string_view text) {
  std::map<std::string, std::string> pairs;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos || colon == 0) throw ParseError("not a list of pairs");
    pairs[std::string(pair.substr(0, colon))] = pair.substr(colon + 1);
  }
  return pairs;
}

}  // namespace lupinsill::jsonl
