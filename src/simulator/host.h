// Hosts the instances of one process: each has a module and names of its own, and they share nothing.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "codec.h"

namespace lupinsill::simulator {

class Host {
 public:
  // Plays one batch and returns the reply's line; throws InvalidInput on what the wire does not allow.
  std::string play(const std::string& line);

 private:
  struct Instance {
    Names names;
    Control control;
    std::vector<Event> turn;  // what this batch holds for it so far
  };
  void play(const Json& message);

  std::map<std::int64_t, Instance> instances_;
  std::array<Json, 16> pages_;
};

}  // namespace lupinsill::simulator
