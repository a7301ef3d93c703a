// Tickets: bearer tokens that admit a player to a media node. A ticket states subscription, node, rung and
// expiry, authenticated by a MAC (libsodium's crypto_auth).
//
// Format: base64url(payload) "." base64url(mac), without padding; the payload is
// "subscription|node|rung|expiry in UTC seconds". MACs are verified in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lupinsill::ticket {

using Key = std::array<unsigned char, 32>;

// What a ticket states.
struct Claims {
  std::string subscription;
  std::string node;  // host:port
  int rung = 0;
  std::int64_t expires = 0;  // UTC seconds
};

// A random key.
Key generateKey();
// The keys in use, newest first. The first signs; all of them verify. During a key rotation the previous key
// is still listed, so that tickets signed with it stay valid until they expire.
using KeyRing = std::vector<Key>;
// Reads one to four keys, one per line of 64 hex digits. Throws std::runtime_error naming file and line.
KeyRing readKeys(const std::string& file);
// Makes a ticket.
std::string sign(const Key& key, const Claims& claims);

enum class Verdict {
  valid,
  malformed,  // not a ticket
  forged,     // no key in use matches the MAC
  expired,
  wrongNode  // valid only at another node
};
// The name used in output and statistics.
const char* nameOf(Verdict verdict);
// Verifies a ticket presented at the node `atNode` (host:port; empty to accept a ticket for any node).
// `claims` is set unless the ticket is malformed or forged.
Verdict verify(const KeyRing& keys, std::string_view ticket, std::int64_t nowSeconds, Claims& claims,
               std::string_view atNode = {});

}  // namespace lupinsill::ticket
