// RTSP 2.0 messages (RFC 7826, section 5 and appendix B.1) as bytes and back: no socket, no meaning. Both the
// director's media edge and the lab's stand-in nodes use it.
// Errors: Reader::next throws RtspParseError on bytes that can never become a message; the connection is of
// no further use then. A reader holds no more than `headMost + bodyMost` bytes of an unfinished message.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.h"

namespace lupinsill::media {

struct RtspParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Message {
  // A request has a method and a URI; a response a status.
  std::string method;
  std::string uri;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool isRequest() const { return !method.empty(); }
  // Header names compare without case. The value is trimmed; empty where the header is missing.
  std::string_view header(std::string_view name) const;
  // -1 where it is missing or no number.
  long long cseq() const;
  std::string serialize() const;
};

const char* reasonPhrase(int status);

class MessageParser {
 public:
  explicit MessageParser(std::size_t headMost = 8192, std::size_t bodyMost = 65536)
      : headMost_(headMost), bodyMost_(bodyMost) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  std::optional<Message> next();

 private:
  std::size_t headMost_;
  std::size_t bodyMost_;
  std::size_t start_ = 0;
  std::string buffer_;
};

// The load report a node puts in its answers: ORCA's text form (`TEXT application_utilization=0.6,
// named_metrics.uplink=0.7`). Link use is application_utilization, which may pass 1. Names not known are
// skipped, as the format asks.
std::string formatOrca(const LoadReport& report, std::optional<double> delivered = std::nullopt);
struct OrcaReport {
  LoadReport report;
  std::optional<double> delivered;
};
OrcaReport parseOrca(std::string_view value);

// What an RTSP status says of a set-up that it answers (docs/design/director.md, "What proves that a join
// never ran"). This is the one place that says so.
Outcome outcomeForStatus(int status);

}  // namespace lupinsill::media
