// gRPC's framing over HTTP/2 as text and bytes, no socket: length-prefixed messages, grpc-timeout, status and
// its percent-encoding. Source: gRPC's published "PROTOCOL-HTTP2" and "gRPC Retry Design" (A6).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "control.h"

namespace lupinsill::grpc {

// The published numbers; those that are used here.
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

// Takes bytes of a stream as they come and gives whole messages.
class MessageReader {
 public:
  explicit MessageReader(std::size_t most) : most_(most) {}
  enum class Fault { none, tooLarge, compressed, badFlag };
  // False where the bytes cannot be gRPC, or not for us; see fault().
  bool feed(std::string_view bytes);
  std::optional<std::string> next();
  Fault fault() const { return fault_; }
  bool atMessageBoundary() const { return held_.empty(); }  // no part of a message is waiting

 private:
  std::size_t most_;
  std::string held_;
  Fault fault_ = Fault::none;
};

std::string lengthPrefixed(std::string_view message);

// "1500m": up to eight digits and one of H M S m u n. None where it is not that.
std::optional<Micros> parseTimeout(std::string_view text);
std::string formatTimeout(Micros span);

std::string percentEncode(std::string_view message);
std::string percentDecode(std::string_view message);

}  // namespace lupinsill::grpc
