#include "session/early_releases.h"

namespace lupinsill::session {

bool EarlyReleases::record(const std::string& call, Outcome outcome) {
  if (outcomes_.size() >= capacity) return false;
  return outcomes_.emplace(call, outcome).second;
}

std::optional<Outcome> EarlyReleases::take(const std::string& call) {
  const auto it = outcomes_.find(call);
  if (it == outcomes_.end()) return std::nullopt;
  const Outcome outcome = it->second;
  outcomes_.erase(it);
  return outcome;
}

}  // namespace lupinsill::session
