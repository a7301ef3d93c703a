// Encoding of gRPC over HTTP/2: length-prefixed messages, the grpc-timeout header, and status codes and
// messages. Pure functions on text and bytes. Sources: gRPC's "PROTOCOL-HTTP2" and "gRPC Retry Design" (A6).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "control.h"

namespace lupinsill::grpc {

// The gRPC status codes that are used here.
enum class Status {
  ok = 0,
  cancelled = 1,
  unknown = 2,
  invalidArgument = 3,
  deadlineExceeded = 4,
  notFound = 5,
  alreadyExists = 6,
  resourceExhausted = 8,
  failedPrecondition = 9,
  aborted = 10,
  unimplemented = 12,
  internal = 13,
  unavailable = 14,
};

// Splits the bytes of a stream into messages.
class MessageReader {
 public:
  explicit MessageReader(std::size_t maxMessageBytes) : maxMessageBytes_(maxMessageBytes) {}
  enum class Fault { none, tooLarge, compressed, badFlag };
  // Adds received bytes. Returns false if they are not valid; see fault().
  bool feed(std::string_view bytes);
  // The next complete message, if there is one.
  std::optional<std::string> next();
  Fault fault() const { return fault_; }
  std::size_t bufferedBytes() const { return buffer_.size(); }
  bool atMessageBoundary() const { return buffer_.empty(); }  // no incomplete message is buffered

 private:
  std::size_t maxMessageBytes_;
  std::string buffer_;
  Fault fault_ = Fault::none;
};

// Puts the five-byte prefix (no compression, length) before a message.
std::string lengthPrefixed(std::string_view message);

// Parses a grpc-timeout such as "1500m": up to eight digits and one of the units H, M, S, m, u, n. Returns
// nothing if the text is invalid.
std::optional<Micros> parseTimeout(std::string_view text);
// Formats a grpc-timeout, in the finest unit in which the duration fits into eight digits.
std::string formatTimeout(Micros duration);

// The percent-encoding of grpc-message; characters outside printable ASCII are encoded.
std::string percentEncode(std::string_view message);
std::string percentDecode(std::string_view message);

}  // namespace lupinsill::grpc
