// Runs any number of decision modules for the operators' simulator in one process. Each instance has its own
// module and names; node lists that the simulator has stored in a numbered buffer are available to all.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "codec.h"

namespace lupinsill::simulator {

class Host {
 public:
  // Handles one batch, a JSON object on one line, and returns the reply without a line end. Throws
  // InvalidInput when the batch is not valid.
  std::string handleBatch(const std::string& line);

 private:
  struct Instance {
    Names names;
    Control control;
    std::vector<Event> pendingEvents;  // of the current batch, given to the module together at its end
  };
  void handleMessage(const Json& message);

  std::map<std::int64_t, Instance> instances_;
  std::array<Json, 16> listBuffers_;  // node lists by buffer number
};

}  // namespace lupinsill::simulator
