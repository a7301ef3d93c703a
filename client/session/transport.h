// The interface between SessionClient and a protocol. A transport opens one link for each attempt and passes
// on the director's name, the request and the answers. It makes no retry decisions; those belong to
// core/core.h. Handlers are called from the event loop, never from within a call to these classes, and not
// after the link was destroyed.
#pragma once

#include <memory>
#include <string>

#include "net/handles.h"
#include "session_api/messages.h"

namespace lupinsill::client {

// Receives the events of one link.
struct LinkHandler {
  virtual ~LinkHandler() = default;
  // The connection is established and the director has named itself: the request can be sent.
  virtual void onHello(const std::string& director) = 0;
  virtual void onAnswer(const session_api::AnswerMessage& answer) = 0;
  // No further answer will arrive; called at most once. `unread`: the peer proved that it never read the
  // request.
  virtual void onLost(bool unread) = 0;
};

// One attempt at one director. Destroying the link abandons the attempt.
class Link {
 public:
  virtual ~Link() = default;
  // Sends the request; once per link, after onHello.
  virtual void sendPlay(const session_api::PlayMessage& message) = 0;
  // Ends the subscription that was requested on this link.
  virtual void leave() = 0;
  // Nothing is left to send, or it can no longer be sent.
  virtual bool flushed() const = 0;
};

class Transport {
 public:
  virtual ~Transport() = default;
  // Opens a link to `address` (host:port); null if the address is unusable. `handler` has to outlive the
  // link.
  virtual std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkHandler& handler) = 0;
  // Checks time-outs; to be called regularly.
  virtual void tick(Micros now) = 0;
};

}  // namespace lupinsill::client
