// Parses the settings object of a deployment into ControlSettings. The simulator's protocol and the
// configuration of a director on the operators' platform use the same object. Its field names and its times
// in nanoseconds are translated here and used nowhere else.
#pragma once

#include <string>
#include <vector>

#include "control.h"
#include "control_settings/json_reader.h"

namespace lupinsill::control_settings {

// Names from the settings, by index. Messages refer to room types, tenants and node kinds by these names.
struct Names {
  std::vector<std::string> roomTypes;
  std::vector<std::string> parties;
  std::vector<std::string> kinds;
};

// The fields of a load report, by their names in both protocols.
struct LoadReportField {
  const char* name;
  std::optional<double> LoadReport::*into;
};
inline constexpr LoadReportField loadReportFields[] = {
    {"cpu", &LoadReport::linkShare}, {"x0", &LoadReport::linkUse}, {"x1", &LoadReport::uplinkUse}};

// Throws InvalidInput, with the field in its text.
ControlSettings parseControlSettings(const Json& json, Names& names);

}  // namespace lupinsill::control_settings
