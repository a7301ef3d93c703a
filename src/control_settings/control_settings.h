// What a deployment's settings object says, as the decisions read it: on the drill's wire and in a director's
// configuration alike. Names and nanoseconds of the operators end here.
#pragma once

#include <string>
#include <vector>

#include "control.h"
#include "control_settings/json_reader.h"

namespace lupinsill::control_settings {

// The names that the settings state and that events then refer to.
struct Names {
  std::vector<std::string> roomTypes;
  std::vector<std::string> parties;
  std::vector<std::string> kinds;
};

// The figures of a load report, by the names that both wires give them.
struct LoadReportField {
  const char* name;
  std::optional<double> LoadReport::*into;
};
inline constexpr LoadReportField loadReportFields[] = {
    {"cpu", &LoadReport::linkShare}, {"x0", &LoadReport::linkUse}, {"x1", &LoadReport::uplinkUse}};

ControlSettings parseControlSettings(const Json& options, Names& names);

}  // namespace lupinsill::control_settings
