#include "grpc/wire.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace lupinsill::grpc {
namespace {

// A flag byte for compression and the message length in four bytes.
constexpr std::size_t prefixBytes = 5;

std::size_t messageLength(const std::string& prefix) {
  std::size_t size = 0;
  for (std::size_t i = 1; i < prefixBytes; ++i) size = size << 8 | static_cast<unsigned char>(prefix[i]);
  return size;
}

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

// A length over the limit is rejected as soon as the prefix is complete, before more of the message is
// buffered.
bool MessageReader::feed(std::string_view bytes) {
  if (fault_ != Fault::none) return false;
  buffer_ += bytes;
  std::size_t at = 0;
  while (buffer_.size() - at >= prefixBytes) {
    const std::string prefix = buffer_.substr(at, prefixBytes);
    if (prefix[0] == 1) return fault_ = Fault::compressed, false;
    if (prefix[0] != 0) return fault_ = Fault::badFlag, false;
    if (messageLength(prefix) > maxMessageBytes_) return fault_ = Fault::tooLarge, false;
    at += prefixBytes + messageLength(prefix);
    if (at > buffer_.size()) break;
  }
  return true;
}

std::optional<std::string> MessageReader::next() {
  if (buffer_.size() < prefixBytes || fault_ != Fault::none) return std::nullopt;
  const std::size_t size = messageLength(buffer_);
  if (buffer_.size() < prefixBytes + size) return std::nullopt;
  std::string message = buffer_.substr(prefixBytes, size);
  buffer_.erase(0, prefixBytes + size);
  return message;
}

std::string lengthPrefixed(std::string_view message) {
  const auto size = static_cast<std::uint32_t>(message.size());
  std::string out(1, '\0');
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(size >> shift & 255);
  return out.append(message);
}

std::optional<Micros> parseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > 9) return std::nullopt;
  Micros n = 0;
  for (const char c : text.substr(0, text.size() - 1)) {
    if (c < '0' || c > '9') return std::nullopt;
    n = n * 10 + (c - '0');
  }
  switch (text.back()) {
    case 'H':
      return n * 3'600'000'000;
    case 'M':
      return n * 60'000'000;
    case 'S':
      return n * 1'000'000;
    case 'm':
      return n * 1'000;
    case 'u':
      return n;
    case 'n':
      return n / 1'000;
    default:
      return std::nullopt;
  }
}

std::string formatTimeout(Micros duration) {
  duration = std::max<Micros>(0, duration);
  if (duration < 100'000'000) return std::to_string(duration) + "u";
  if (duration / 1'000 < 100'000'000) return std::to_string(duration / 1'000) + "m";
  return std::to_string(std::min<Micros>(99'999'999, duration / 1'000'000)) + "S";
}

std::string percentEncode(std::string_view message) {
  static constexpr char digits[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : message) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte <= 0x7e && c != '%') {
      out += c;
    } else {
      out += '%';
      out += digits[byte >> 4];
      out += digits[byte & 15];
    }
  }
  return out;
}

std::string percentDecode(std::string_view message) {
  std::string out;
  for (std::size_t i = 0; i < message.size(); ++i) {
    if (message[i] == '%' && i + 2 < message.size() && hexDigit(message[i + 1]) >= 0 &&
        hexDigit(message[i + 2]) >= 0) {
      out += static_cast<char>(hexDigit(message[i + 1]) * 16 + hexDigit(message[i + 2]));
      i += 2;
    } else {
      out += message[i];
    }
  }
  return out;
}

}  // namespace lupinsill::grpc
