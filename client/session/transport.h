// What a client library needs of a protocol: one link a try, from the director's hello to what became of its
// one ask. A transport decides nothing; whether and where to ask again is the core's.
// Callbacks come from the loop, never from within a call of these classes, and not after the link was freed.
#pragma once

#include <memory>
#include <string>

#include "net/handles.h"
#include "session_api/messages.h"

namespace lupinsill::client {

struct LinkHandler {
  virtual ~LinkHandler() = default;
  // The connection stands and names its director: the ask may be handed over.
  virtual void onHello(const std::string& director) = 0;
  virtual void onAnswer(const session_api::AnswerMessage& answer) = 0;
  // No answer will come any more; told once. `unread`: the other side proved that it never read the ask.
  virtual void onLost(bool unread) = 0;
};

// Freeing it abandons what it carries.
class Link {
 public:
  virtual ~Link() = default;
  virtual void sendPlay(const session_api::PlayMessage& ask) = 0;
  virtual void leave() = 0;
  virtual bool flushed() const = 0;
};

class Transport {
 public:
  virtual ~Transport() = default;
  // Null where the address is unusable. `ear` outlives the link.
  virtual std::unique_ptr<Link> open(const std::string& address, Micros timeLeft, LinkHandler& handler) = 0;
  virtual void tick(Micros now) = 0;
};

}  // namespace lupinsill::client
