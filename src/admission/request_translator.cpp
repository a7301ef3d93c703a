#include "admission/request_translator.h"

#include <algorithm>
#include <utility>

namespace lupinsill::admission {

RequestTranslator::RequestTranslator(Names names, std::vector<RoomType> roomTypes)
    : names_(std::move(names)), roomTypes_(std::move(roomTypes)) {}

std::optional<session::PlayRequest> RequestTranslator::translate(session::CallId callId,
                                                                 const session_api::PlayMessage& message,
                                                                 std::optional<Micros> timeLeft,
                                                                 const fleet::Membership& fleet,
                                                                 std::string& error) const {
  const auto room = std::find(names_.roomTypes.begin(), names_.roomTypes.end(), message.room);
  if (room == names_.roomTypes.end()) return error = "room: unknown room type", std::nullopt;
  const auto tenant = std::find(names_.tenants.begin(), names_.tenants.end(), message.tenant);
  if (!names_.tenants.empty() && tenant == names_.tenants.end())
    return error = "tenant: unknown tenant", std::nullopt;
  const auto index = static_cast<std::size_t>(room - names_.roomTypes.begin());
  const RoomType& type = roomTypes_[index];
  // The key of a request that must not run twice starts with the name of the director it was first sent to.
  // Any other director thus recognises it as foreign even if the player does not say that this is a repeat.
  const std::size_t colon = message.key.find(':');
  const bool unsafe = type.effect != Effect::repeatable;
  if (unsafe && (colon == std::string::npos || colon + 1 == message.key.size()))
    return error = "key: the director's name, a colon and more expected for this room type", std::nullopt;
  const bool foreign = unsafe && message.key.compare(0, colon, names_.director) != 0;
  const fleet::TitlePlacement placement = fleet.placementOf(message.title);
  session::PlayRequest request;
  request.callId = callId;
  request.idempotencyKey = message.key;
  request.viewer = message.viewer;
  request.title = message.title;
  request.roomType = static_cast<int>(index);
  request.party = names_.tenants.empty() ? -1 : static_cast<int>(tenant - names_.tenants.begin());
  request.firstCell = placement.firstCell;
  request.holders = placement.holders;
  request.top = std::min(message.top, type.top);
  // The shortest of the room type's client timeout, the player's own timeout and the deadline of the call.
  request.timeout = names_.clientTimeouts[index];
  if (message.timeout) request.timeout = std::min(request.timeout, *message.timeout);
  if (timeLeft) request.timeout = std::min(request.timeout, *timeLeft);
  request.length = message.length;
  request.sinceFirstSent = message.sinceFirstSent;
  request.repeat =
      foreign || (!message.previousDirector.empty() && message.previousDirector != names_.director)
          ? session::PlayRequest::Repeat::elsewhere
      : message.previousDirector.empty() ? session::PlayRequest::Repeat::no
                                         : session::PlayRequest::Repeat::here;
  return request;
}

}  // namespace lupinsill::admission
