// A day of the operators' bench as a day of the lab: the same kinds of trouble at the same times, on a fleet
// that one machine carries. Reads the bench's day file from where it lies; nothing of it is kept but figures.
// Errors: settings::SettingsError, one line.
#pragma once

#include <string>

namespace lupinsill::lab {

// Writes `folder`/day.xml and `folder`/settings.xml. Returns what it did, in lines for people: how far it was
// scaled, and which troubles have no like here.
std::string importDay(const std::string& benchDay, const std::string& folder);

}  // namespace lupinsill::lab
