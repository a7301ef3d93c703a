// The operators' side of a director: HTTP on a listener of its own, meant for loopback. GET /metrics
// (Prometheus text), /status and /nodes (JSON), POST /drain and /undrain. And the client that the command
// line uses.
#pragma once

#include <functional>
#include <string>

#include "net/handles.h"
#include "settings/deployment.h"

namespace lupinsill::director {

struct AdminResponse {
  int status = 200;
  std::string type;
  std::string body;
};

class Admin {
 public:
  using Serve = std::function<AdminResponse(const std::string& method, const std::string& path)>;
  // Throws net::ListenError.
  Admin(event_base* base, const settings::Endpoint& at, Serve serve);
  int port() const { return port_; }

 private:
  static void onRequest(evhttp_request* request, void* me);
  net::Http http_;
  Serve serve_;
  int port_ = 0;
};

// One request to a director's admin listener; status 0 where none answers within five seconds.
AdminResponse sendAdminRequest(const settings::Endpoint& at, const std::string& method,
                               const std::string& path);

}  // namespace lupinsill::director
