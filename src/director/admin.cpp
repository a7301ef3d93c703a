#include "director/admin.h"

#include <event2/keyvalq_struct.h>

#include <utility>

namespace lupinsill::director {

Admin::Admin(event_base* base, const settings::Endpoint& at, Serve serve)
    : http_(evhttp_new(base)), serve_(std::move(serve)) {
  evhttp_set_max_headers_size(http_.get(), 8192);
  evhttp_set_max_body_size(http_.get(), 8192);
  evhttp_set_timeout(http_.get(), 10);
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(http_.get(), at.host.c_str(), static_cast<ev_uint16_t>(at.port));
  if (bound == nullptr)
    throw net::ListenError("admin " + at.host + ":" + std::to_string(at.port) + ": in use?");
  port_ = net::portOf(evhttp_bound_socket_get_listener(bound));
  evhttp_set_gencb(http_.get(), onRequest, this);
}

void Admin::onRequest(evhttp_request* request, void* me) {
  const std::string method = evhttp_request_get_command(request) == EVHTTP_REQ_POST ? "POST" : "GET";
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  const AdminResponse answer = static_cast<Admin*>(me)->serve_(method, path == nullptr ? "" : path);
  evbuffer* body = evhttp_request_get_output_buffer(request);
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", answer.type.c_str());
  evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

namespace {
struct Pending {
  event_base* base;
  AdminResponse answer;
};
void onReply(evhttp_request* request, void* user) {
  auto& pending = *static_cast<Pending*>(user);
  if (request != nullptr) {
    pending.answer.status = evhttp_request_get_response_code(request);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    pending.answer.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, pending.answer.body.data(), pending.answer.body.size());
  }
  event_base_loopexit(pending.base, nullptr);
}
}  // namespace

AdminResponse sendAdminRequest(const settings::Endpoint& at, const std::string& method,
                               const std::string& path) {
  const net::EventBase base(event_base_new());
  Pending pending{base.get(), {0, "", ""}};
  evhttp_connection* connection =
      evhttp_connection_base_new(base.get(), nullptr, at.host.c_str(), static_cast<ev_uint16_t>(at.port));
  evhttp_connection_set_timeout(connection, 5);
  evhttp_request* request = evhttp_request_new(onReply, &pending);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", at.host.c_str());
  if (evhttp_make_request(connection, request, method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                          path.c_str()) == 0)
    event_base_dispatch(base.get());
  evhttp_connection_free(connection);
  return pending.answer;
}

}  // namespace lupinsill::director
