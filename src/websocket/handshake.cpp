#include "websocket/handshake.h"

#include <openssl/evp.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace lupinsill::websocket {
namespace {

// RFC 6455, section 1.3.
constexpr char handshakeGuid[] = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
// A Sec-WebSocket-Key is 16 random bytes in base64.
constexpr std::size_t keyBytes = 16;
constexpr std::size_t encodedKeyLength = 24;

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string headerOf(std::string_view head, std::string_view name) {
  std::size_t position = head.find("\r\n");
  while (position != std::string_view::npos && position + 2 < head.size()) {
    const std::size_t start = position + 2;
    position = head.find("\r\n", start);
    const std::string_view line =
        head.substr(start, position == std::string_view::npos ? position : position - start);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || lower(line.substr(0, colon)) != name) continue;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ') value.remove_suffix(1);
    return std::string(value);
  }
  return {};
}

bool listHas(const std::string& list, std::string_view wanted) {
  std::size_t position = 0;
  while (position <= list.size()) {
    const std::size_t comma = std::min(list.find(',', position), list.size());
    std::string item = list.substr(position, comma - position);
    while (!item.empty() && item.front() == ' ') item.erase(0, 1);
    while (!item.empty() && item.back() == ' ') item.pop_back();
    if (lower(item) == wanted) return true;
    position = comma + 1;
  }
  return false;
}

std::string base64(const unsigned char* bytes, std::size_t size) {
  std::string out(sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(out.data(), out.size(), bytes, size, sodium_base64_VARIANT_ORIGINAL);
  out.resize(out.find('\0'));
  return out;
}

}  // namespace

std::string acceptKeyFor(std::string_view key) {
  const std::string keyAndGuid = std::string(key) + handshakeGuid;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(keyAndGuid.data(), keyAndGuid.size(), digest.data(), &size, EVP_sha1(), nullptr);
  return base64(digest.data(), size);
}

std::string generateKey() {
  std::array<unsigned char, keyBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return base64(bytes.data(), bytes.size());
}

std::string refusal(int status, std::string_view reason, int retryAfterSeconds) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
  if (status == 426) out += "Sec-WebSocket-Version: 13\r\n";
  if (retryAfterSeconds > 0) out += "Retry-After: " + std::to_string(retryAfterSeconds) + "\r\n";
  return out + "Content-Length: 0\r\nConnection: close\r\n\r\n";
}

HandshakeReply answerHandshake(std::string_view head) {
  const std::string_view requestLine = head.substr(0, head.find("\r\n"));
  if (!requestLine.starts_with("GET ") || !requestLine.ends_with(" HTTP/1.1"))
    return {false, refusal(405, "Method Not Allowed", 0)};
  if (lower(headerOf(head, "upgrade")) != "websocket" || !listHas(headerOf(head, "connection"), "upgrade"))
    return {false, refusal(400, "Bad Request", 0)};
  if (headerOf(head, "sec-websocket-version") != "13") return {false, refusal(426, "Upgrade Required", 0)};
  const std::string key = headerOf(head, "sec-websocket-key");
  if (key.size() != encodedKeyLength || !listHas(headerOf(head, "sec-websocket-protocol"), subprotocol))
    return {false, refusal(400, "Bad Request", 0)};
  return {true,
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
          "Sec-WebSocket-Accept: " +
              acceptKeyFor(key) + "\r\nSec-WebSocket-Protocol: " + std::string(subprotocol) + "\r\n\r\n"};
}

std::string handshakeRequest(const std::string& host, const std::string& key) {
  return "GET /session HTTP/1.1\r\nHost: " + host +
         "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " +
         key + "\r\nSec-WebSocket-Protocol: " + std::string(subprotocol) + "\r\n\r\n";
}

bool isValidHandshakeReply(std::string_view reply, const std::string& key) {
  return reply.starts_with("HTTP/1.1 101") && headerOf(reply, "sec-websocket-accept") == acceptKeyFor(key);
}

}  // namespace lupinsill::websocket
