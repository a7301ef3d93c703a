// What an ask means at this director: its names against those of the deployment, its bounds under the room
// type's, and whose a key is. No I/O, no clock. The same words mean the same over every protocol, so that a
// repeat over another one is known for what it is.
// An ask that names what is not there is refused with a reason, and nothing of it is taken.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/membership.h"
#include "player/words.h"
#include "session/front.h"

namespace lupinsill::intake {

class Reception {
 public:
  struct Names {
    std::string director;
    std::vector<std::string> roomTypes, tenants;  // by the index that Terms uses
    std::vector<Micros> clientTimeouts;           // by room type
  };
  Reception(Names names, std::vector<RoomType> roomTypes);

  // `left`: what the protocol itself leaves the ask, where it says so.
  std::optional<session::Ask> read(session::Line line, const player::AskMessage& ask,
                                   std::optional<Micros> left, const fleet::Membership& fleet,
                                   std::string& why) const;

 private:
  Names names_;
  std::vector<RoomType> roomTypes_;
};

}  // namespace lupinsill::intake
