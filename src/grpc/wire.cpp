#include "grpc/wire.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace lupinsill::grpc {
namespace {

constexpr std::size_t headSize = 5;

std::size_t lengthOf(const std::string& head) {
  std::size_t size = 0;
  for (std::size_t i = 1; i < headSize; ++i) size = size << 8 | static_cast<unsigned char>(head[i]);
  return size;
}

int hexOf(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

// Guards against a length that is believed: the head alone decides, before a byte of the message is held.
bool MessageReader::feed(std::string_view bytes) {
  if (fault_ != Fault::none) return false;
  held_ += bytes;
  std::size_t at = 0;
  while (held_.size() - at >= headSize) {
    const std::string head = held_.substr(at, headSize);
    if (head[0] == 1) return fault_ = Fault::compressed, false;
    if (head[0] != 0) return fault_ = Fault::badFlag, false;
    if (lengthOf(head) > most_) return fault_ = Fault::tooLarge, false;
    at += headSize + lengthOf(head);
    if (at > held_.size()) break;
  }
  return true;
}

std::optional<std::string> MessageReader::next() {
  if (held_.size() < headSize || fault_ != Fault::none) return std::nullopt;
  const std::size_t size = lengthOf(held_);
  if (held_.size() < headSize + size) return std::nullopt;
  std::string message = held_.substr(headSize, size);
  held_.erase(0, headSize + size);
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

std::string formatTimeout(Micros span) {
  span = std::max<Micros>(0, span);
  if (span < 100'000'000) return std::to_string(span) + "u";
  if (span / 1'000 < 100'000'000) return std::to_string(span / 1'000) + "m";
  return std::to_string(std::min<Micros>(99'999'999, span / 1'000'000)) + "S";
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
    if (message[i] == '%' && i + 2 < message.size() && hexOf(message[i + 1]) >= 0 &&
        hexOf(message[i + 2]) >= 0) {
      out += static_cast<char>(hexOf(message[i + 1]) * 16 + hexOf(message[i + 2]));
      i += 2;
    } else {
      out += message[i];
    }
  }
  return out;
}

}  // namespace lupinsill::grpc
