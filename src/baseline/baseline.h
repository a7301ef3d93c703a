// Simple placement policies behind the interface of the decision module, for comparison in measurements. They
// are not meant for production.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "session/decider.h"

namespace lupinsill::baseline {

// Creates a policy by name: "first-open" takes the ready holder with the lowest node id, "random-lowest" a
// random ready holder. Both start at the lowest rung that the room type allows, and try another holder where
// the rules allow it. Returns null for an unknown name.
std::unique_ptr<session::Decider> makePolicy(const std::string& name, const ControlSettings& settings,
                                             std::uint64_t seed);
std::vector<std::string> policyNames();

}  // namespace lupinsill::baseline
