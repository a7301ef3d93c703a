#include "director/admin.h"

#include <event2/keyvalq_struct.h>

#include <utility>

namespace lupinsill::director {
namespace {

constexpr int maxHeaderBytes = 8192;
constexpr int maxBodyBytes = 8192;
constexpr int serverTimeoutSeconds = 10;
constexpr int clientTimeoutSeconds = 5;

}  // namespace

Admin::Admin(event_base* base, const settings::Endpoint& endpoint, RequestHandler handler)
    : http_(evhttp_new(base)), handler_(std::move(handler)) {
  evhttp_set_max_headers_size(http_.get(), maxHeaderBytes);
  evhttp_set_max_body_size(http_.get(), maxBodyBytes);
  evhttp_set_timeout(http_.get(), serverTimeoutSeconds);
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http_.get(), endpoint.host.c_str(),
                                                              static_cast<ev_uint16_t>(endpoint.port));
  if (bound == nullptr)
    throw net::ListenError("admin " + endpoint.host + ":" + std::to_string(endpoint.port) +
                           ": cannot listen (port in use?)");
  port_ = net::portOf(evhttp_bound_socket_get_listener(bound));
  evhttp_set_gencb(http_.get(), onRequest, this);
}

void Admin::onRequest(evhttp_request* request, void* context) {
  const std::string method = evhttp_request_get_command(request) == EVHTTP_REQ_POST ? "POST" : "GET";
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  const AdminResponse response = static_cast<Admin*>(context)->handler_(method, path == nullptr ? "" : path);
  evbuffer* body = evhttp_request_get_output_buffer(request);
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", response.type.c_str());
  evhttp_send_reply(request, response.status, nullptr, nullptr);
}

namespace {

// The state of sendAdminRequest while its event loop runs.
struct PendingRequest {
  event_base* base;
  AdminResponse response;
};
void onResponse(evhttp_request* request, void* context) {
  auto& pending = *static_cast<PendingRequest*>(context);
  if (request != nullptr) {
    pending.response.status = evhttp_request_get_response_code(request);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    pending.response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, pending.response.body.data(), pending.response.body.size());
  }
  event_base_loopexit(pending.base, nullptr);
}
}  // namespace

AdminResponse sendAdminRequest(const settings::Endpoint& endpoint, const std::string& method,
                               const std::string& path) {
  const net::EventBase base(event_base_new());
  PendingRequest pending{base.get(), {0, "", ""}};
  evhttp_connection* connection = evhttp_connection_base_new(base.get(), nullptr, endpoint.host.c_str(),
                                                             static_cast<ev_uint16_t>(endpoint.port));
  evhttp_connection_set_timeout(connection, clientTimeoutSeconds);
  evhttp_request* request = evhttp_request_new(onResponse, &pending);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", endpoint.host.c_str());
  if (evhttp_make_request(connection, request, method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                          path.c_str()) == 0)
    event_base_dispatch(base.get());
  evhttp_connection_free(connection);
  return pending.response;
}

}  // namespace lupinsill::director
