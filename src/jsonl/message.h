// The platform's messages: one JSON object a line, as viewers, directors and media nodes speak it. Bytes to
// messages and back, nothing else: no socket, no clock. What a line may hold is checked here once for both
// sides, so that only what was understood is ever written anew. Source: the operators' protocol page.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lupinsill::jsonl {

constexpr std::size_t longest = 16 * 1024;  // of one message, its line feed included

enum class Op { offer, ringing, accept, end, ended, test, tested, info, redirect, set, other };

// Causes that have a meaning of their own.
namespace cause {
constexpr int passed = 1, over = 16, cancelled = 31, full = 34, broken = 41, error = 47, invalid = 100,
              notSent = 102;
}

struct Message {
  Op op = Op::other;
  std::string call;                         // 16 hex digits, passed on as they came
  std::map<std::string, std::string> with;  // numbers as they were written
  int why = 0;
  std::optional<std::string> desc;

  const std::string* find(const std::string& field) const {
    const auto it = with.find(field);
    return it == with.end() ? nullptr : &it->second;
  }
};

struct BadLine : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Message parse(std::string_view line);  // without its line feed; throws BadLine
std::string bytesOf(const Message& message);

// Cuts what came in on one connection into messages. After a throw nothing that follows can be told apart.
class Reader {
 public:
  void feed(std::string_view bytes) { held_ += bytes; }
  std::optional<Message> next();
  bool empty() const { return held_.size() == read_; }

 private:
  std::string held_;
  std::size_t read_ = 0;
};

// A whole text as a number within bounds, or nothing.
std::optional<double> realOf(const std::string& text, double least, double most);
std::optional<long long> wholeOf(const std::string& text, long long least, long long most);
// `home:4;copies:3`; throws BadLine where it has another form.
std::map<std::string, std::string> pairsOf(std::string_view text);

}  // namespace lupinsill::jsonl
