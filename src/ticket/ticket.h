// What a player shows the media node to be let in: subscription, node, rung and expiry under a keyed MAC
// (libsodium's crypto_auth). Form: base64url(payload) "." base64url(mac); the payload is
// "subscription|node|rung|expiry in UTC seconds". Checked in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lupinsill::ticket {

using Key = std::array<unsigned char, 32>;

struct Claims {
  std::string subscription;
  std::string node;
  int rung = 0;
  std::int64_t expires = 0;  // UTC seconds
};

Key freshKey();
// 64 hex digits. Throws std::runtime_error naming the file.
Key readKey(const std::string& file);
std::string sign(const Key& key, const Claims& claims);

enum class Verdict { good, malformed, forged, expired };
Verdict check(const Key& key, std::string_view ticket, std::int64_t nowSeconds, Claims& claims);

}  // namespace lupinsill::ticket
