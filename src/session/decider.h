// The interface through which the session core (front.h) asks for placement decisions. Production uses
// ControlDecider, which wraps the decision module of control.h; tests and comparisons substitute other
// deciders. Guards and answers are therefore the same whoever decides. Events, actions and units (whole
// microseconds) are those of control.h.
#pragma once

#include <vector>

#include "control.h"

namespace lupinsill::session {

// Turns events into actions. Called once or more per turn of the front.
class Decider {
 public:
  virtual ~Decider() = default;
  // Decides on the events that arrived since the last call. Appends to `actions` without changing the entries
  // that are already there. Never throws.
  virtual void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) = 0;
};

// Passes events to the decision module and returns its actions, both unchanged.
class ControlDecider final : public Decider {
 public:
  ControlDecider(ControlSettings settings, std::uint64_t seed) : control_(std::move(settings), seed) {}
  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    control_.handle(now, events, actions);
  }

 private:
  Control control_;
};

}  // namespace lupinsill::session
