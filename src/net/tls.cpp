#include "net/tls.h"

#include <arpa/inet.h>
#include <event2/bufferevent_ssl.h>
#include <netinet/in.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>
#include <sys/socket.h>

#include <utility>

namespace lupinsill::net {
namespace {

std::string openSslError() {
  char text[200] = "unknown";
  if (const unsigned long code = ERR_get_error(); code != 0) ERR_error_string_n(code, text, sizeof text);
  ERR_clear_error();
  return text;
}

}  // namespace

Tls::Tls(Side side, TlsFiles files, std::string protocol)
    : side_(side), files_(std::move(files)), protocol_(std::move(protocol)) {
  if (!protocol_.empty()) alpnProtocols_ = std::string(1, static_cast<char>(protocol_.size())) + protocol_;
  context_ = makeContext();
}

void Tls::takeOver(Tls& other) {
  files_ = other.files_;
  context_ = std::move(other.context_);
  // The ALPN callback of the context still refers to `other`.
  if (side_ == Side::server && !protocol_.empty())
    SSL_CTX_set_alpn_select_cb(context_.get(), selectAlpn, this);
}

Tls::Context Tls::makeContext() const {
  ERR_clear_error();
  Context context(SSL_CTX_new(side_ == Side::server ? TLS_server_method() : TLS_client_method()));
  if (!context) throw TlsError("TLS cannot start: " + openSslError());
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);
  if (!files_.certificate.empty()) {
    if (SSL_CTX_use_certificate_chain_file(context.get(), files_.certificate.c_str()) != 1)
      throw TlsError(files_.certificate + ": certificate cannot be used: " + openSslError());
    // Also fails if the key does not match the certificate, as when only the certificate was renewed.
    if (SSL_CTX_use_PrivateKey_file(context.get(), files_.key.c_str(), SSL_FILETYPE_PEM) != 1)
      throw TlsError(files_.key + ": key cannot be used: " + openSslError());
  }
  if (!files_.authority.empty() &&
      SSL_CTX_load_verify_locations(context.get(), files_.authority.c_str(), nullptr) != 1)
    throw TlsError(files_.authority + ": authority cannot be used: " + openSslError());
  if (side_ == Side::client)
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
  else if (!files_.authority.empty())
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  if (side_ == Side::server) {
    // One protocol per listener: the handshake fails for a client that offers only other protocols.
    if (!protocol_.empty()) SSL_CTX_set_alpn_select_cb(context.get(), selectAlpn, const_cast<Tls*>(this));
  } else if (!alpnProtocols_.empty()) {
    SSL_CTX_set_alpn_protos(context.get(), reinterpret_cast<const unsigned char*>(alpnProtocols_.data()),
                            static_cast<unsigned>(alpnProtocols_.size()));
  }
  return context;
}

int Tls::selectAlpn(SSL*, const unsigned char** out, unsigned char* outSize, const unsigned char* in,
                    unsigned inSize, void* self) {
  const std::string& offered = static_cast<const Tls*>(self)->alpnProtocols_;
  unsigned char* chosen = nullptr;
  if (SSL_select_next_proto(&chosen, outSize, reinterpret_cast<const unsigned char*>(offered.data()),
                            static_cast<unsigned>(offered.size()), in, inSize) != OPENSSL_NPN_NEGOTIATED)
    return SSL_TLSEXT_ERR_ALERT_FATAL;
  *out = chosen;
  return SSL_TLSEXT_ERR_OK;
}

BufferEvent Tls::accept(event_base* base, evutil_socket_t fd) const {
  SSL* ssl = SSL_new(context_.get());
  BufferEvent bufferEvent(
      ssl == nullptr ? nullptr
                     : bufferevent_openssl_socket_new(base, fd, ssl, BUFFEREVENT_SSL_ACCEPTING,
                                                      BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!bufferEvent) {
    if (ssl != nullptr) SSL_free(ssl);
    evutil_closesocket(fd);
    return nullptr;
  }
  // Treat a close without a TLS close_notify as a normal close.
  bufferevent_openssl_set_allow_dirty_shutdown(bufferEvent.get(), 1);
  return bufferEvent;
}

BufferEvent Tls::connect(event_base* base, const std::string& host, int port) const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const std::string plain = host == "localhost" ? "127.0.0.1" : host;
  if (inet_pton(AF_INET, plain.c_str(), &address.sin_addr) != 1) return nullptr;
  SSL* ssl = SSL_new(context_.get());
  if (ssl == nullptr) return nullptr;
  X509_VERIFY_PARAM* verify = SSL_get0_param(ssl);
  if (host == "localhost")
    X509_VERIFY_PARAM_set1_host(verify, host.c_str(), host.size());
  else
    X509_VERIFY_PARAM_set1_ip_asc(verify, host.c_str());
  BufferEvent bufferEvent(bufferevent_openssl_socket_new(base, -1, ssl, BUFFEREVENT_SSL_CONNECTING,
                                                         BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!bufferEvent) {
    SSL_free(ssl);
    return nullptr;
  }
  bufferevent_openssl_set_allow_dirty_shutdown(bufferEvent.get(), 1);
  if (bufferevent_socket_connect(bufferEvent.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0)
    return nullptr;
  noDelay(bufferevent_getfd(bufferEvent.get()));
  return bufferEvent;
}

}  // namespace lupinsill::net
