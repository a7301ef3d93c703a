// The seam behind the desk: a protocol's edge as the director uses it: it carries what the desk lets through,
// and what is due by time.
#pragma once

#include "admission/call_manager.h"
#include "session_api/messages.h"

namespace lupinsill::admission {

struct PlayerServer {
  virtual ~PlayerServer() = default;
  // False where the line is not of this door. `ends`: the call is over with it.
  virtual bool send(session::CallId callId, const session_api::AnswerMessage& message, bool ends) = 0;
  // Passed over where the peer is not of this door.
  virtual void send(const DueAction& due) = 0;
  // As if the connection, or where there is such a thing the call, had broken.
  virtual void cut(session::CallId callId) = 0;
  virtual void closeAll() = 0;
  virtual void tick(Micros now) = 0;  // frees what has died; some times a second
  virtual std::size_t sockets() const = 0;
};

}  // namespace lupinsill::admission
