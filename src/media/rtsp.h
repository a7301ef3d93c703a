// Parsing and serialization of RTSP 2.0 messages (RFC 7826, section 5 and appendix B.1), of ORCA load reports
// in their headers, and the meaning of response statuses. No I/O. Used by the director's media client and by
// the simulated nodes of the lab.
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

// The bytes received cannot be an RTSP 2.0 message; the connection has to be closed.
struct RtspParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A request has a method and a URI, a response has a status.
struct Message {
  std::string method;
  std::string uri;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool isRequest() const { return !method.empty(); }
  // The value of the first header of that name, compared case-insensitively; empty if there is none.
  std::string_view header(std::string_view name) const;
  // The sequence number; -1 if it is missing or not a number.
  long long cseq() const;
  // The message as it is sent, with Content-Length added if there is a body.
  std::string serialize() const;
};

// The reason phrase of a status line; "Status" for statuses not used here.
const char* reasonPhrase(int status);

// Incremental parser of the messages of one connection.
class MessageParser {
 public:
  // Limits in bytes. At most `maxHeadBytes + maxBodyBytes` bytes of an incomplete message are accepted.
  explicit MessageParser(std::size_t maxHeadBytes = 8192, std::size_t maxBodyBytes = 65536)
      : maxHeadBytes_(maxHeadBytes), maxBodyBytes_(maxBodyBytes) {}
  // Appends received bytes.
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete message, or nothing until more bytes have been fed. Throws RtspParseError on malformed
  // or oversized messages.
  std::optional<Message> next();

 private:
  std::size_t maxHeadBytes_;
  std::size_t maxBodyBytes_;
  std::size_t start_ = 0;  // of the unparsed bytes in buffer_
  std::string buffer_;
};

// The value of an Endpoint-Load-Metrics header: a load report in the text format of ORCA (Open Request Cost
// Aggregation), such as `TEXT application_utilization=0.6, named_metrics.uplink=0.7`. Link use is
// application_utilization and may exceed 1.
std::string formatOrca(const LoadReport& report, std::optional<double> delivered = std::nullopt);
struct OrcaReport {
  LoadReport report;
  std::optional<double> delivered;  // share of the rung's rate that was delivered
};
// Unknown metrics are skipped, as ORCA requires, and so are invalid values. The result is empty if `value` is
// not in the text format.
OrcaReport parseOrca(std::string_view value);

// The outcome of a join whose SETUP or PLAY was answered with `status`. Outcome::full proves that the node
// did not run the request, so that the join may be tried on another node; Outcome::error proves nothing.
Outcome outcomeForStatus(int status);

}  // namespace lupinsill::media
