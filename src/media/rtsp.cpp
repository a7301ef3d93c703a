#include "media/rtsp.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace lupinsill::media {
namespace {

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

long long numberOf(std::string_view text, long long instead) {
  long long value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty() ? value : instead;
}

Message parseHead(std::string_view head) {
  Message message;
  std::size_t at = 0;
  bool first = true;
  while (at <= head.size()) {
    const std::size_t end = std::min(head.find("\r\n", at), head.size());
    const std::string_view line = head.substr(at, end - at);
    at = end + 2;
    if (first) {
      first = false;
      if (line.starts_with("RTSP/2.0 ")) {
        message.status = static_cast<int>(numberOf(line.substr(9, 3), -1));
        if (message.status < 100 || message.status > 599 || (line.size() > 12 && line[12] != ' '))
          throw RtspParseError("status line is not RTSP 2.0");
        continue;
      }
      const std::size_t one = line.find(' ');
      const std::size_t two = one == std::string_view::npos ? one : line.find(' ', one + 1);
      if (two == std::string_view::npos || one == 0 || line.substr(two + 1) != "RTSP/2.0")
        throw RtspParseError("first line is neither a request nor a response of RTSP 2.0");
      message.method = line.substr(0, one);
      message.uri = line.substr(one + 1, two - one - 1);
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

long long Message::cseq() const { return numberOf(header("CSeq"), -1); }

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
  // Guards against a buffer that is moved for each of many small messages read in one heap.
  if (start_ > 65536 || start_ == buffer_.size()) buffer_.erase(0, start_), start_ = 0;
  std::string_view rest = std::string_view(buffer_).substr(start_);
  // RFC 7826 allows empty lines between messages.
  while (rest.starts_with("\r\n")) rest.remove_prefix(2), start_ += 2;
  const std::size_t end = rest.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (rest.size() > headMost_) throw RtspParseError("head over " + std::to_string(headMost_) + " bytes");
    return std::nullopt;
  }
  if (end > headMost_) throw RtspParseError("head over " + std::to_string(headMost_) + " bytes");
  Message message = parseHead(rest.substr(0, end));
  const std::string_view told = message.header("Content-Length");
  const long long length = told.empty() ? 0 : numberOf(told, -1);
  if (length < 0 || static_cast<std::size_t>(length) > bodyMost_)
    throw RtspParseError("Content-Length out of range");
  const std::size_t whole = end + 4 + static_cast<std::size_t>(length);
  if (rest.size() < whole) return std::nullopt;
  message.body = rest.substr(end + 4, static_cast<std::size_t>(length));
  start_ += whole;
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
    // Guards against a report that is no number: it would poison every average that it enters.
    if (end == text.c_str() || *end != 0 || !std::isfinite(number) || number < 0 || number > 1e6) continue;
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
  // RFC 7826 17.4.24 and 17.5.4: refused for want of bandwidth, or not served now. Neither runs the set-up.
  if (status == 453 || status == 503) return Outcome::full;
  return Outcome::error;
}

}  // namespace lupinsill::media
