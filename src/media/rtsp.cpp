#include "media/rtsp.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace lupinsill::media {
namespace {

// Consumed bytes are erased from the parser's buffer once there are this many.
constexpr std::size_t compactionThresholdBytes = 65536;
// Values of ORCA metrics above this are ignored as invalid.
constexpr double maxMetricValue = 1e6;

bool sameName(std::string_view a, std::string_view b) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

long long parseInteger(std::string_view text, long long fallback) {
  long long value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty() ? value : fallback;
}

Message parseHead(std::string_view head) {
  Message message;
  std::size_t position = 0;
  bool isFirstLine = true;
  while (position <= head.size()) {
    const std::size_t end = std::min(head.find("\r\n", position), head.size());
    const std::string_view line = head.substr(position, end - position);
    position = end + 2;
    if (isFirstLine) {
      isFirstLine = false;
      // A status line is "RTSP/2.0", a status of three digits and a reason phrase, separated by spaces.
      if (line.starts_with("RTSP/2.0 ")) {
        message.status = static_cast<int>(parseInteger(line.substr(9, 3), -1));
        if (message.status < 100 || message.status > 599 || (line.size() > 12 && line[12] != ' '))
          throw RtspParseError("status line is not RTSP 2.0");
        continue;
      }
      const std::size_t firstSpace = line.find(' ');
      const std::size_t secondSpace =
          firstSpace == std::string_view::npos ? firstSpace : line.find(' ', firstSpace + 1);
      if (secondSpace == std::string_view::npos || firstSpace == 0 ||
          line.substr(secondSpace + 1) != "RTSP/2.0")
        throw RtspParseError("first line is neither a request nor a response of RTSP 2.0");
      message.method = line.substr(0, firstSpace);
      message.uri = line.substr(firstSpace + 1, secondSpace - firstSpace - 1);
      continue;
    }
    if (line.empty()) continue;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) throw RtspParseError("header line without a name");
    message.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
  }
  return message;
}

}  // namespace

std::string_view Message::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (sameName(key, name)) return value;
  return {};
}

long long Message::cseq() const { return parseInteger(header("CSeq"), -1); }

std::string Message::serialize() const {
  std::string out;
  out.reserve(256 + body.size());
  if (isRequest())
    out.append(method).append(" ").append(uri).append(" RTSP/2.0\r\n");
  else
    out.append("RTSP/2.0 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reasonPhrase(status))
        .append("\r\n");
  for (const auto& [key, value] : headers) out.append(key).append(": ").append(value).append("\r\n");
  if (!body.empty()) out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return out.append("\r\n").append(body);
}

const char* reasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 453:
      return "Not Enough Bandwidth";
    case 454:
      return "Session Not Found";
    case 455:
      return "Method Not Valid in This State";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::optional<Message> MessageParser::next() {
  // Consumed bytes are erased in large steps: erasing after each of many small messages would move the rest
  // of the buffer each time.
  if (start_ > compactionThresholdBytes || start_ == buffer_.size()) buffer_.erase(0, start_), start_ = 0;
  std::string_view rest = std::string_view(buffer_).substr(start_);
  // Empty lines between messages are allowed (RFC 7826, section 5).
  while (rest.starts_with("\r\n")) rest.remove_prefix(2), start_ += 2;
  const std::size_t end = rest.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (rest.size() > maxHeadBytes_)
      throw RtspParseError("head over " + std::to_string(maxHeadBytes_) + " bytes");
    return std::nullopt;
  }
  if (end > maxHeadBytes_) throw RtspParseError("head over " + std::to_string(maxHeadBytes_) + " bytes");
  Message message = parseHead(rest.substr(0, end));
  const std::string_view contentLength = message.header("Content-Length");
  const long long length = contentLength.empty() ? 0 : parseInteger(contentLength, -1);
  if (length < 0 || static_cast<std::size_t>(length) > maxBodyBytes_)
    throw RtspParseError("Content-Length out of range");
  const std::size_t messageSize = end + 4 + static_cast<std::size_t>(length);
  if (rest.size() < messageSize) return std::nullopt;
  message.body = rest.substr(end + 4, static_cast<std::size_t>(length));
  start_ += messageSize;
  return message;
}

std::string formatOrca(const LoadReport& report, std::optional<double> delivered) {
  std::string out = "TEXT ";
  const auto add = [&](const char* name, const std::optional<double>& value) {
    if (!value) return;
    char text[64];
    std::snprintf(text, sizeof text, "%s%s=%.4f", out.size() > 5 ? ", " : "", name, *value);
    out += text;
  };
  add("application_utilization", report.linkUse);
  add("named_metrics.link", report.linkShare);
  add("named_metrics.uplink", report.uplinkUse);
  add("named_metrics.delivered", delivered);
  return out;
}

OrcaReport parseOrca(std::string_view value) {
  OrcaReport orca;
  value = trim(value);
  if (!value.starts_with("TEXT ")) return orca;
  value.remove_prefix(5);
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    const std::string_view pair = trim(value.substr(0, comma));
    value.remove_prefix(std::min(comma + 1, value.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string text(trim(pair.substr(equals + 1)));
    char* end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    // NaN, infinite or absurd values would spoil every average that they enter.
    if (end == text.c_str() || *end != 0 || !std::isfinite(number) || number < 0 || number > maxMetricValue)
      continue;
    const std::string_view name = trim(pair.substr(0, equals));
    if (name == "application_utilization") orca.report.linkUse = number;
    if (name == "named_metrics.link") orca.report.linkShare = number;
    if (name == "named_metrics.uplink") orca.report.uplinkUse = number;
    if (name == "named_metrics.delivered") orca.delivered = number;
  }
  return orca;
}

Outcome outcomeForStatus(int status) {
  if (status >= 200 && status < 300) return Outcome::ok;
  // 453 Not Enough Bandwidth and 503 Service Unavailable (RFC 7826, sections 17.4.24 and 17.5.4): the request
  // was refused without being run.
  if (status == 453 || status == 503) return Outcome::full;
  return Outcome::error;
}

}  // namespace lupinsill::media
