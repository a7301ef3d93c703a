#include "jsonl/message.h"

#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lupinsill::jsonl {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 10> names = {"offer", "ringing", "accept", "end",      "ended",
                                               "test",  "tested",  "info",   "redirect", "set"};

std::string textOf(const Json& value, const char* what) {
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_number()) throw BadLine(std::string(what) + ": neither text nor a number");
  return value.dump();
}

}  // namespace

Message parse(std::string_view line) {
  // Strict, UTF-8 included; nothing throws in here but BadLine.
  const Json json = Json::parse(line, nullptr, false);
  if (!json.is_object()) throw BadLine("not a JSON object");
  Message message;
  const auto op = json.find("op");
  if (op == json.end() || !op->is_string()) throw BadLine("op: missing or not text");
  for (std::size_t i = 0; i < names.size(); ++i)
    if (op->get_ref<const std::string&>() == names[i]) message.op = static_cast<Op>(i);
  const auto call = json.find("call");
  if (call == json.end() || !call->is_string()) throw BadLine("call: missing or not text");
  message.call = call->get<std::string>();
  if (message.call.size() != 16 ||
      message.call.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    throw BadLine("call: not 16 hex digits");
  if (const auto with = json.find("with"); with != json.end() && !with->is_null()) {
    if (!with->is_object()) throw BadLine("with: not an object");
    for (const auto& [key, value] : with->items()) message.with[key] = textOf(value, "with");
  }
  if (const auto why = json.find("why"); why != json.end() && !why->is_null()) {
    if (!why->is_number_integer()) throw BadLine("why: not a whole number");
    const double value = why->get<double>();
    if (!(value >= 0 && value <= 1e6)) throw BadLine("why: out of range");
    message.why = why->get<int>();
  }
  if (const auto desc = json.find("desc"); desc != json.end() && !desc->is_null()) {
    if (!desc->is_string()) throw BadLine("desc: not text");
    message.desc = desc->get<std::string>();
  }
  return message;
}

std::string bytesOf(const Message& message) {
  Json json = {{"op", names[static_cast<std::size_t>(message.op)]}, {"call", message.call}};
  json["with"] = message.with;
  const bool caused = message.op == Op::end || message.op == Op::test || message.op == Op::tested;
  if (caused) json["why"] = message.why;
  if (message.desc) json["desc"] = *message.desc;
  return json.dump() + "\n";
}

std::optional<Message> Reader::next() {
  const std::size_t end = held_.find('\n', read_);
  if (end == std::string::npos) {
    held_.erase(0, read_);
    read_ = 0;
    if (held_.size() >= longest) throw BadLine("longer than a message may be");
    return std::nullopt;
  }
  if (end - read_ >= longest) throw BadLine("longer than a message may be");
  const std::string_view line(held_.data() + read_, end - read_);
  read_ = end + 1;
  return parse(line);
}

std::optional<double> realOf(const std::string& text, double least, double most) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end || !std::isfinite(value) || value < least || value > most)
    return std::nullopt;
  return value;
}

std::optional<long long> wholeOf(const std::string& text, long long least, long long most) {
  const auto value = realOf(text, static_cast<double>(least), static_cast<double>(most));
  if (!value || *value != std::floor(*value)) return std::nullopt;
  return static_cast<long long>(*value);
}

std::map<std::string, std::string> pairsOf(std::string_view text) {
  std::map<std::string, std::string> pairs;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos || colon == 0) throw BadLine("not a list of pairs");
    pairs[std::string(pair.substr(0, colon))] = pair.substr(colon + 1);
  }
  return pairs;
}

}  // namespace lupinsill::jsonl
