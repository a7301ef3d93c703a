// TLS on libevent's OpenSSL bufferevents, for players' listeners and for connections to media nodes. TLS 1.2
// and up. A reload replaces the certificates for connections from then on; those that stand keep theirs.
// Errors: TlsError with one line that names the file, at the start and on reload (the old ones then stay in
// force).
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <stdexcept>
#include <string>

#include "net/handles.h"

namespace lupinsill::net {

struct TlsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct TlsFiles {
  std::string certificate;  // PEM, the chain; empty: shows none
  std::string key;          // PEM
  std::string authority;    // PEM; empty: a server asks for no certificate of its clients
  bool empty() const { return certificate.empty() && authority.empty(); }
};

class Tls {
 public:
  enum class Side { server, client };
  // `protocol`: what ALPN offers or insists on, "h2" or "http/1.1"; empty: none.
  Tls(Side side, TlsFiles files, std::string protocol);
  Tls(const Tls&) = delete;
  Tls& operator=(const Tls&) = delete;
  // The other's certificates from now on.
  void takeOver(Tls& other);

  // Server: null where the socket cannot be served.
  BufferEvent accept(event_base* base, evutil_socket_t fd) const;
  // Client: verifies the peer against the authority and the host it was asked for.
  BufferEvent connect(event_base* base, const std::string& host, int port) const;

 private:
  struct Free {
    void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  };
  using Context = std::unique_ptr<SSL_CTX, Free>;
  Context make() const;
  static int choose(SSL* ssl, const unsigned char** out, unsigned char* outSize, const unsigned char* in,
                    unsigned inSize, void* me);

  Side side_;
  TlsFiles files_;
  std::string protocol_;
  std::string offered_;  // as ALPN wants it: a length, then the name
  Context context_;
};

}  // namespace lupinsill::net
