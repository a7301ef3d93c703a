#include "ticket/ticket.h"

#include <sodium.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <vector>

namespace lupinsill::ticket {
namespace {

constexpr std::size_t maxKeys = 4;
constexpr std::size_t maxTicketBytes = 1024;
constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

std::string base64Encode(const unsigned char* bytes, std::size_t size) {
  std::string out(sodium_base64_encoded_len(size, base64Variant), '\0');
  sodium_bin2base64(out.data(), out.size(), bytes, size, base64Variant);
  out.resize(out.size() - 1);
  return out;
}

bool base64Decode(std::string_view text, std::vector<unsigned char>& out) {
  if (text.empty()) return false;
  out.resize(text.size());
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_base642bin(out.data(), out.size(), text.data(), text.size(), nullptr, &size, &end,
                        base64Variant) != 0 ||
      end != text.data() + text.size())
    return false;
  out.resize(size);
  return true;
}

}  // namespace

Key generateKey() {
  Key key{};
  randombytes_buf(key.data(), key.size());
  return key;
}

KeyRing readKeys(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error(file + ": ticket keys cannot be read");
  KeyRing keys;
  std::string text;
  for (int line = 1; std::getline(in, text); ++line) {
    if (text.empty()) continue;
    Key key{};
    std::size_t size = 0;
    const char* end = nullptr;
    if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, &end) != 0 ||
        size != key.size() || end != text.data() + text.size())
      throw std::runtime_error(file + ":" + std::to_string(line) + ": ticket key: expected 64 hex digits");
    keys.push_back(key);
  }
  if (keys.empty() || keys.size() > maxKeys)
    throw std::runtime_error(file + ": ticket keys: expected one to four lines");
  return keys;
}

std::string sign(const Key& key, const Claims& claims) {
  const std::string payload = claims.subscription + "|" + claims.node + "|" + std::to_string(claims.rung) +
                              "|" + std::to_string(claims.expires);
  const auto* bytes = reinterpret_cast<const unsigned char*>(payload.data());
  std::array<unsigned char, crypto_auth_BYTES> mac{};
  crypto_auth(mac.data(), bytes, payload.size(), key.data());
  return base64Encode(bytes, payload.size()) + "." + base64Encode(mac.data(), mac.size());
}

const char* nameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::valid:
      return "good";
    case Verdict::malformed:
      return "malformed";
    case Verdict::forged:
      return "forged";
    case Verdict::expired:
      return "expired";
    case Verdict::wrongNode:
      return "foreign";
  }
  return "?";
}

Verdict verify(const KeyRing& keys, std::string_view ticket, std::int64_t nowSeconds, Claims& claims,
               std::string_view atNode) {
  const std::size_t dot = ticket.find('.');
  if (dot == std::string_view::npos || ticket.size() > maxTicketBytes) return Verdict::malformed;
  std::vector<unsigned char> payload, mac;
  if (!base64Decode(ticket.substr(0, dot), payload) || !base64Decode(ticket.substr(dot + 1), mac) ||
      mac.size() != crypto_auth_BYTES)
    return Verdict::malformed;
  // All keys are tried even after a match, so that the time taken does not reveal which key matched.
  bool authentic = false;
  for (const Key& key : keys)
    authentic |= crypto_auth_verify(mac.data(), payload.data(), payload.size(), key.data()) == 0;
  if (!authentic) return Verdict::forged;
  const std::string text(payload.begin(), payload.end());
  const std::size_t nodeBar = text.find('|');
  const std::size_t rungBar = nodeBar == std::string::npos ? nodeBar : text.find('|', nodeBar + 1);
  const std::size_t expiryBar = rungBar == std::string::npos ? rungBar : text.find('|', rungBar + 1);
  if (expiryBar == std::string::npos) return Verdict::malformed;
  claims = {text.substr(0, nodeBar), text.substr(nodeBar + 1, rungBar - nodeBar - 1),
            std::atoi(text.c_str() + rungBar + 1), std::atoll(text.c_str() + expiryBar + 1)};
  // The node is checked before the expiry: a renewed ticket would not be valid at this node either.
  if (!atNode.empty() && claims.node != atNode) return Verdict::wrongNode;
  return claims.expires < nowSeconds ? Verdict::expired : Verdict::valid;
}

}  // namespace lupinsill::ticket
