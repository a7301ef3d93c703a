// Faults injected into a director to test the audit: each breaks one rule, and the audit must report it. An
// audit that never reported a violation would prove nothing. The faults act through director::FaultHooks,
// behind the guards or with the guards disabled; code in service never enables them.
#pragma once

#include <string>
#include <vector>

#include "director/director.h"

namespace lupinsill::lab {

// A fault, the number of the audit rule that must report it, and what it does.
struct PlantedFault {
  const char* name;
  int rule;  // from 1
  const char* description;
};
const std::vector<PlantedFault>& plantedFaults();
// The fault of that name, or null.
const PlantedFault* findPlantedFault(const std::string& name);
// The hooks that inject a fault into a director. Two more names are known: "titles" injects the faults that
// the titles of client scripts name (src/client_script), and "titles-unrecorded" does so without a ledger.
// Throws std::runtime_error for an unknown name.
director::FaultHooks hooksForFault(const std::string& name);

}  // namespace lupinsill::lab
