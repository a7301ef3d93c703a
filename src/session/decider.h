// What decides for a front: the module (Control), or a baseline beside it in a measurement. The session core
// asks through this seam only, so that guards and answers are the same whoever decides.
// Source: src/control.h, whose events, actions and units (whole microseconds) it passes on unchanged.
#pragma once

#include <vector>

#include "control.h"

namespace lupinsill::session {

class Decider {
 public:
  virtual ~Decider() = default;
  // Never throws; appends to `actions` and leaves what stands there.
  virtual void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions) = 0;
};

class ControlDecider final : public Decider {
 public:
  ControlDecider(ControlSettings terms, std::uint64_t seed) : control_(std::move(terms), seed) {}
  void handle(Micros now, const std::vector<Event>& turn, std::vector<Action>& actions) override {
    control_.handle(now, turn, actions);
  }

 private:
  Control control_;
};

}  // namespace lupinsill::session
