// The admin interface of a director: an HTTP listener of its own, meant for the loopback interface. It serves
// GET /metrics (Prometheus text), /status and /nodes (JSON), and POST /drain and /undrain. The client
// function used by the command line is here as well.
#pragma once

#include <functional>
#include <string>

#include "net/handles.h"
#include "settings/deployment.h"

namespace lupinsill::director {

struct AdminResponse {
  int status = 200;  // HTTP status
  std::string type;  // Content-Type
  std::string body;
};

// Listens for admin requests and answers them through the given handler.
class Admin {
 public:
  using RequestHandler = std::function<AdminResponse(const std::string& method, const std::string& path)>;
  // Throws net::ListenError.
  Admin(event_base* base, const settings::Endpoint& endpoint, RequestHandler handler);
  int port() const { return port_; }

 private:
  static void onRequest(evhttp_request* request, void* context);
  net::Http http_;
  RequestHandler handler_;
  int port_ = 0;
};

// Sends one request to a director's admin listener. The status is 0 if there is no answer within 5 s.
AdminResponse sendAdminRequest(const settings::Endpoint& endpoint, const std::string& method,
                               const std::string& path);

}  // namespace lupinsill::director
