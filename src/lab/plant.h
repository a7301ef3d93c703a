// Faults planted on purpose, each of which the audit must catch by the rule it breaks: an audit that has
// caught nothing proves nothing. They sit behind the guards or take the guards away, in a director that the
// lab starts; nothing of them is in the product's path.
#pragma once

#include <string>
#include <vector>

#include "director/director.h"

namespace lupinsill::lab {

struct PlantedFault {
  const char* name;
  int rule;  // that must catch it
  const char* description;
};
const std::vector<PlantedFault>& plantedFaults();
const PlantedFault* findPlantedFault(const std::string& name);
// Besides plants: "titles", the faults that scripted titles name (src/client_script); "titles-unrecorded",
// the same without a ledger. Throws std::runtime_error for a name not known.
director::Hooks hooksForFault(const std::string& name);

}  // namespace lupinsill::lab
