// What an ask means at this director: its names against those of the deployment, its bounds under the room
// type's, and whose a key is. No I/O, no clock. The same words mean the same over every protocol, so that a
// repeat over another one is known for what it is.
// An ask that names what is not there is refused with a reason, and nothing of it is taken.
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
    std::string director;
    std::vector<std::string> roomTypes, tenants;  // by the index that ControlSettings uses
    std::vector<Micros> clientTimeouts;           // by room type
  };
  RequestTranslator(Names names, std::vector<RoomType> roomTypes);

  // `left`: what the protocol itself leaves the ask, where it says so.
  std::optional<session::PlayRequest> translate(session::CallId callId, const session_api::PlayMessage& ask,
                                                std::optional<Micros> left, const fleet::Membership& fleet,
                                                std::string& why) const;

 private:
  Names names_;
  std::vector<RoomType> roomTypes_;
};

}  // namespace lupinsill::admission
