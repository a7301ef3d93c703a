// Translates a player's request into the front's form: resolves its names against those of the deployment,
// applies the limits of its room type, and determines whether its idempotency key was sent before, and where.
//
// The result does not depend on the protocol, so a request that is repeated over another protocol is
// recognised as a repeat. A request with an unknown name is rejected with a reason and has no effect.
//
// No I/O and no clock.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/membership.h"
#include "session/front.h"
#include "session_api/messages.h"

namespace lupinsill::admission {

class RequestTranslator {
 public:
  struct Names {
    std::string director;                         // the name of this director
    std::vector<std::string> roomTypes, tenants;  // by their index in ControlSettings
    std::vector<Micros> clientTimeouts;           // by room type
  };
  RequestTranslator(Names names, std::vector<RoomType> roomTypes);

  // Returns the request for the front, or nothing and the reason in `error`. `timeLeft`: until the deadline
  // of the call, if its protocol has one.
  std::optional<session::PlayRequest> translate(session::CallId callId,
                                                const session_api::PlayMessage& message,
                                                std::optional<Micros> timeLeft,
                                                const fleet::Membership& fleet, std::string& error) const;

 private:
  Names names_;
  std::vector<RoomType> roomTypes_;
};

}  // namespace lupinsill::admission
