// Converts a day file of the operators' bench (JSON) into a day of the lab: the same kinds of fault at the
// same relative times, scaled down to a fleet that one machine can run. Only numbers are taken over, no
// names. Errors: settings::SettingsError with a one-line message.
#pragma once

#include <string>

namespace lupinsill::lab {

// Writes `folder`/day.xml and `folder`/settings.xml. Returns a summary for people: how far the day was scaled
// down, and which faults were left out because the lab has no such kind.
std::string importDay(const std::string& benchDay, const std::string& folder);

}  // namespace lupinsill::lab
