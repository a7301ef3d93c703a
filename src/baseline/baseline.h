// Plain policies behind the same seam as the module, to measure against: never the product's choice.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "session/decider.h"

namespace lupinsill::baseline {

// "first-open": the first ready holder in the list's order; "random-lowest": any ready holder, by chance.
// Both at the lowest rung, and both try another holder where the rules let them. Null for a name not known.
std::unique_ptr<session::Decider> makePolicy(const std::string& name, const ControlSettings& terms,
                                             std::uint64_t seed);
std::vector<std::string> policyNames();

}  // namespace lupinsill::baseline
