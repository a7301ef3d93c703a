#include "websocket/handshake.h"

#include <openssl/evp.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace lupinsill::websocket {
namespace {

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string headerOf(std::string_view head, std::string_view name) {
  std::size_t at = head.find("\r\n");
  while (at != std::string_view::npos && at + 2 < head.size()) {
    const std::size_t start = at + 2;
    at = head.find("\r\n", start);
    const std::string_view line = head.substr(start, at == std::string_view::npos ? at : at - start);
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
  std::size_t at = 0;
  while (at <= list.size()) {
    const std::size_t comma = std::min(list.find(',', at), list.size());
    std::string one = list.substr(at, comma - at);
    while (!one.empty() && one.front() == ' ') one.erase(0, 1);
    while (!one.empty() && one.back() == ' ') one.pop_back();
    if (lower(one) == wanted) return true;
    at = comma + 1;
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
  const std::string whole = std::string(key) + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(whole.data(), whole.size(), digest.data(), &size, EVP_sha1(), nullptr);
  return base64(digest.data(), size);
}

std::string generateKey() {
  std::array<unsigned char, 16> bytes{};
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
  const std::string_view first = head.substr(0, head.find("\r\n"));
  if (!first.starts_with("GET ") || !first.ends_with(" HTTP/1.1"))
    return {false, refusal(405, "Method Not Allowed", 0)};
  if (lower(headerOf(head, "upgrade")) != "websocket" || !listHas(headerOf(head, "connection"), "upgrade"))
    return {false, refusal(400, "Bad Request", 0)};
  if (headerOf(head, "sec-websocket-version") != "13") return {false, refusal(426, "Upgrade Required", 0)};
  const std::string key = headerOf(head, "sec-websocket-key");
  if (key.size() != 24 || !listHas(headerOf(head, "sec-websocket-protocol"), subprotocol))
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
