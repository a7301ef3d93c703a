// Messages of the operators' protocol that viewers, directors and media nodes exchange: one JSON object per
// line. This package parses, validates and serializes them; it uses no socket and no clock. Because lines are
// validated here for both sides, only fields that were understood are ever sent on.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lupinsill::jsonl {

constexpr std::size_t maxMessageBytes = 16 * 1024;  // including the line feed

// Operations, named as in the protocol; `other` is any operation that is not known here.
enum class Op { offer, ringing, accept, end, ended, test, tested, info, redirect, set, other };

// Reason codes of the protocol (the `why` field) that are interpreted here.
namespace reason_code {
constexpr int testPassed = 1, finished = 16, cancelled = 31, noCapacity = 34, failed = 41, nodeError = 47,
              invalidRequest = 100, notSent = 102;
}

// One protocol message.
struct Message {
  Op op = Op::other;
  std::string call;                           // call ID: 16 hex digits, passed on unchanged
  std::map<std::string, std::string> fields;  // the `with` object; numbers keep their original spelling
  int reasonCode = 0;                         // the `why` field
  std::optional<std::string> description;     // the `desc` field: the session description

  // Returns the value of a field, or null if it is absent.
  const std::string* find(const std::string& field) const {
    const auto it = fields.find(field);
    return it == fields.end() ? nullptr : &it->second;
  }
};

// Thrown for input that is not a valid message.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses a line without its line feed; throws ParseError.
Message parse(std::string_view line);
// Returns the message as one line, line feed included.
std::string serialize(const Message& message);

// Splits the byte stream of one connection into messages. After next() has thrown, the position in the stream
// is lost and the connection cannot be used any more.
class Reader {
 public:
  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Returns the next complete message, or nothing until more bytes are fed. Throws ParseError.
  std::optional<Message> next();
  // Whether no partial message is buffered.
  bool empty() const { return buffer_.size() == consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

// Parses the whole text as a number in [min, max]; returns nothing if it is anything else.
std::optional<double> parseNumber(const std::string& text, double min, double max);
std::optional<long long> parseInteger(const std::string& text, long long min, long long max);
// Parses a list of the form `home:4;copies:3`; throws ParseError for any other form.
std::map<std::string, std::string> parsePairs(std::string_view text);

}  // namespace lupinsill::jsonl
