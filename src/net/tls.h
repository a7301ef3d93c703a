// TLS 1.2 or later on libevent's OpenSSL bufferevents, for players' listeners and connections to media nodes.
// A reload replaces the certificates for new connections; established ones keep theirs.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <stdexcept>
#include <string>

#include "net/handles.h"

namespace lupinsill::net {

// Thrown at start and on reload for unusable files; the text is one line that names the file. After a failed
// reload the previous certificates stay in use.
struct TlsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Paths of PEM files.
struct TlsFiles {
  std::string certificate;  // certificate chain; empty: presents none
  std::string key;          // private key of the certificate
  std::string authority;    // trusted CAs; empty: a server requests no client certificates
  bool empty() const { return certificate.empty() && authority.empty(); }
};

// The TLS configuration of one listener or of outgoing connections.
class Tls {
 public:
  enum class Side { server, client };
  // `protocol`: the ALPN protocol that a client offers or a server requires, "h2" or "http/1.1"; empty: no
  // ALPN.
  Tls(Side side, TlsFiles files, std::string protocol);
  Tls(const Tls&) = delete;
  Tls& operator=(const Tls&) = delete;
  // Takes the certificates of `other` into use for new connections; `other` is unusable afterwards.
  void takeOver(Tls& other);

  // Server side of an accepted socket. Returns null, with the socket closed, on failure.
  BufferEvent accept(event_base* base, evutil_socket_t fd) const;
  // Client side: connects and verifies the peer against the authority and the host. Returns null if the
  // address is invalid or the connection cannot be started.
  BufferEvent connect(event_base* base, const std::string& host, int port) const;

 private:
  struct Free {
    void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  };
  using Context = std::unique_ptr<SSL_CTX, Free>;
  Context makeContext() const;
  static int selectAlpn(SSL* ssl, const unsigned char** out, unsigned char* outSize, const unsigned char* in,
                        unsigned inSize, void* self);

  Side side_;
  TlsFiles files_;
  std::string protocol_;
  std::string alpnProtocols_;  // in ALPN wire format: a length byte, then the name
  Context context_;
};

}  // namespace lupinsill::net
