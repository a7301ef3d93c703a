// The interface through which the director uses the server of a player protocol (WebSocket or gRPC): it sends
// what the call manager lets through and carries out the actions that are due.
#pragma once

#include "admission/call_manager.h"
#include "session_api/messages.h"

namespace lupinsill::admission {

struct PlayerServer {
  virtual ~PlayerServer() = default;
  // Sends a message on a call. Returns false if the call is not one of this server's. `ends`: the call ends
  // with the message.
  virtual bool send(session::CallId callId, const session_api::AnswerMessage& message, bool ends) = 0;
  // Carries out an action. Ignored if its peer is not one of this server's.
  virtual void send(const DueAction& due) = 0;
  // Aborts the connection of a call, or only the call where the protocol can do that, as if it had broken.
  virtual void cut(session::CallId callId) = 0;
  // Closes all connections.
  virtual void closeAll() = 0;
  // Frees closed connections; call it several times a second.
  virtual void tick(Micros now) = 0;
  // Number of connections.
  virtual std::size_t sockets() const = 0;
};

}  // namespace lupinsill::admission
