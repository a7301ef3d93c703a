// Remembers the releases that a media node sent for subscriptions that this process does not hold.
//
// A process that has just started learns from the viewers which subscriptions play. A node repeats the
// release of one that ended meanwhile on the first connection that it accepts, which may be before the viewer
// has reported the subscription. If such a release were dropped, the subscription would be adopted later and
// never released, since the node does not send it again.
//
// One object per node, since a node can release only what plays there. No I/O and no clock: the caller clears
// the object once subscriptions are no longer adopted.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "control.h"

namespace lupinsill::session {

class EarlyReleases {
 public:
  static constexpr std::size_t capacity = 1'000;

  // Records how the subscription of a call ended; the first release of a call counts. Returns false if it was
  // not recorded, because the call is known already or the capacity is reached.
  bool record(const std::string& call, Outcome outcome);
  // Returns how the subscription ended and forgets it, or nothing if no release of the call was recorded.
  std::optional<Outcome> take(const std::string& call);
  void clear() { outcomes_.clear(); }
  std::size_t size() const { return outcomes_.size(); }

 private:
  std::map<std::string, Outcome> outcomes_;  // by call ID
};

}  // namespace lupinsill::session
