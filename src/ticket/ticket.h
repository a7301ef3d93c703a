// What a player shows the media node to be let in: subscription, node, rung and expiry under a keyed MAC
// (libsodium's crypto_auth). Form: base64url(payload) "." base64url(mac); the payload is
// "subscription|node|rung|expiry in UTC seconds". Checked in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lupinsill::ticket {

using Key = std::array<unsigned char, 32>;

struct Claims {
  std::string subscription;
  std::string node;
  int rung = 0;
  std::int64_t expires = 0;  // UTC seconds
};

Key generateKey();
// Keys in force, the newest first: it signs, all of them check. While a key is rotated both stand here, so
// that tickets of the old one live out their time.
using KeyRing = std::vector<Key>;
// One key a line, 64 hex digits each, one to four of them. Throws std::runtime_error naming file and line.
KeyRing readKeys(const std::string& file);
std::string sign(const Key& key, const Claims& claims);

enum class Verdict { valid, malformed, forged, expired, wrongNode };
const char* nameOf(Verdict verdict);
// `atNode`: the host:port it was shown at; a good ticket for another one is foreign there. Empty: any.
Verdict verify(const KeyRing& keys, std::string_view ticket, std::int64_t nowSeconds, Claims& claims,
               std::string_view atNode = {});

}  // namespace lupinsill::ticket
