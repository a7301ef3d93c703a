#include "admission/request_translator.h"

#include <algorithm>
#include <utility>

namespace lupinsill::admission {

RequestTranslator::RequestTranslator(Names names, std::vector<RoomType> roomTypes)
    : names_(std::move(names)), roomTypes_(std::move(roomTypes)) {}

std::optional<session::PlayRequest> RequestTranslator::translate(session::CallId callId,
                                                                 const session_api::PlayMessage& ask,
                                                                 std::optional<Micros> left,
                                                                 const fleet::Membership& fleet,
                                                                 std::string& why) const {
  const auto room = std::find(names_.roomTypes.begin(), names_.roomTypes.end(), ask.room);
  if (room == names_.roomTypes.end()) return why = "room: unknown room type", std::nullopt;
  const auto tenant = std::find(names_.tenants.begin(), names_.tenants.end(), ask.tenant);
  if (!names_.tenants.empty() && tenant == names_.tenants.end())
    return why = "tenant: unknown tenant", std::nullopt;
  const auto index = static_cast<std::size_t>(room - names_.roomTypes.begin());
  const RoomType& type = roomTypes_[index];
  // A paid key names the director that it is for, so that another one knows it for a stranger's even where
  // the player does not say that it asked before.
  const std::size_t colon = ask.key.find(':');
  const bool unsafe = type.effect != Effect::repeatable;
  if (unsafe && (colon == std::string::npos || colon + 1 == ask.key.size()))
    return why = "key: the director's name, a colon and more expected for this room type", std::nullopt;
  const bool foreign = unsafe && ask.key.compare(0, colon, names_.director) != 0;
  const fleet::TitlePlacement at = fleet.placementOf(ask.title);
  session::PlayRequest out;
  out.callId = callId;
  out.idempotencyKey = ask.key;
  out.viewer = ask.viewer;
  out.title = ask.title;
  out.roomType = static_cast<int>(index);
  out.party = names_.tenants.empty() ? -1 : static_cast<int>(tenant - names_.tenants.begin());
  out.firstCell = at.firstCell;
  out.holders = at.holders;
  out.top = std::min(ask.top, type.top);
  // The shortest of three: the room type's, the player's own, and what its protocol cuts the call off at.
  out.timeout = names_.clientTimeouts[index];
  if (ask.timeout) out.timeout = std::min(out.timeout, *ask.timeout);
  if (left) out.timeout = std::min(out.timeout, *left);
  out.length = ask.length;
  out.sinceFirstSent = ask.sinceFirstSent;
  out.repeat = foreign || (!ask.previousDirector.empty() && ask.previousDirector != names_.director)
                   ? session::PlayRequest::Repeat::elsewhere
               : ask.previousDirector.empty() ? session::PlayRequest::Repeat::no
                                              : session::PlayRequest::Repeat::here;
  return out;
}

}  // namespace lupinsill::admission
